//! Which software version began a stream, and what follows for its rest.
//!
//! Each instance remembers the streams that it has passed on, and tells two control
//! instances. A caller whose connection broke may come to any instance, which asks them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use base::{Fingerprint, SoftwareVersion, Time};
use daemon::lock;
use futures::{StreamExt, stream::FuturesUnordered};
use gateway::{
    streams::{RecentStreams, StreamRegister, only_origin},
    table::{Kind, Route},
};
use hyper::{HeaderMap, header::HOST};
use telemetry::{event, prom_metrics};
use tokio::{
    sync::{Mutex, Notify},
    time::{Instant, sleep, timeout_at},
};
use wire::{
    call::{Call, Reply},
    stream::{
        BegunStreams, FindStream, SoftwareWant, StreamOrigin, StreamSync, StreamSynced,
        TargetSoftware,
    },
};

use super::{
    answer::{RequestError, Why},
    headers,
    state::State,
    sync::ControlPeer,
};

/// Time from the beginning of a stream until it is told with those that begin meanwhile.
const TELL_DELAY: Duration = Duration::from_millis(100);

/// Control instances that are told of each stream.
const TOLD: usize = 2;

/// Interval at which a control instance is asked for the software of targets.
const SOFTWARE_INTERVAL: Duration = Duration::from_secs(1);

/// Time-out of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after an exchange that failed: an instance of an earlier build refuses it.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Longest time that control instances are asked where a stream began.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);

/// Retry-After for the rest of a stream whose origin nobody in reach knows.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Most streams that a control instance is told again with one exchange.
const RETOLD_MAX: usize = 500;

/// Most streams that are kept for a control instance that doesn't answer.
const MAX_UNTOLD: usize = 4_096;

/// The streams that this instance knows.
#[derive(Debug, Default)]
pub(super) struct Streams {
    register: std::sync::Mutex<StreamRegister>,
    recent: std::sync::Mutex<RecentStreams>,
    untold: Notify,
}

/// What a control instance has to be told, and was.
#[derive(Debug, Default)]
pub(super) struct Untold {
    begun: Vec<BegunStreams>,
    wants: Vec<SoftwareWant>,
    /// Streams that it was told of in an earlier incarnation, or never, the next ones first.
    retold: VecDeque<BegunStreams>,
    /// Its incarnation.
    incarnation: u64,
    /// Number of the last change of targets' software that it has sent.
    revision: u64,
    /// When the next exchange is due that nothing else calls for.
    next: Time,
    /// When an exchange may be tried again after one has failed.
    paused_until: Time,
}

/// Serialises the exchanges with one control instance, so that no answer overtakes another.
pub(super) type Turn = Mutex<()>;

impl Untold {
    fn begin(&mut self, key: Fingerprint, origin: &StreamOrigin) {
        if self.begun.iter().map(|b| b.keys.len()).sum::<usize>() >= MAX_UNTOLD {
            return;
        }
        match self.begun.iter_mut().find(|b| b.origin == *origin) {
            Some(begun) => begun.keys.push(key),
            None => self.begun.push(BegunStreams {
                origin: origin.clone(),
                keys: vec![key],
            }),
        }
    }

    /// Tells all these streams again, some with each exchange.
    fn retell(&mut self, all: Vec<BegunStreams>) {
        self.retold.clear();
        for BegunStreams { origin, keys } in all {
            let parts = keys.chunks(RETOLD_MAX).map(|keys| BegunStreams {
                origin: origin.clone(),
                keys: keys.to_vec(),
            });
            self.retold.extend(parts);
        }
    }

    fn want(&mut self, want: SoftwareWant) {
        if !self.wants.contains(&want) {
            self.wants.push(want);
        }
    }

    /// Returns what has to be sent now, if anything.
    fn take(&mut self, now: Time, lacks_software: bool) -> Option<StreamSync> {
        let due = lacks_software || now >= self.next;
        let nothing = self.begun.is_empty() && self.wants.is_empty() && self.retold.is_empty();
        if nothing && !due || now < self.paused_until {
            return None;
        }
        self.next = now + SOFTWARE_INTERVAL;
        self.begun.extend(self.retold.pop_front());
        Some(StreamSync {
            revision: if lacks_software { 0 } else { self.revision },
            begun: std::mem::take(&mut self.begun),
            wants: std::mem::take(&mut self.wants),
        })
    }

    /// Keeps what was lost, to send it again. Adapters are asked for again by those who wait.
    fn keep(&mut self, now: Time, sync: StreamSync) {
        self.paused_until = now + FAILED_PAUSE;
        for begun in sync.begun {
            for key in begun.keys {
                self.begin(key, &begun.origin);
            }
        }
    }
}

/// The part of a stream that its caller has.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Begun {
    /// Nothing: any target may run the request.
    No,
    /// Events of this origin.
    At(StreamOrigin),
    /// Events of a target whose software isn't known.
    Unknown,
}

/// Where a stream began that its caller takes up, and how that is known.
struct Found {
    origin: StreamOrigin,
    /// `own`, `control` or `only_version`.
    source: &'static str,
}

/// A request as a stream, or as the rest of one.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    /// Names the stream over all attempts of its caller; absent where none may be resumed.
    key: Option<Fingerprint>,
    begun: Begun,
    told: bool,
}

impl Stream {
    fn new(key: Option<Fingerprint>) -> Self {
        Stream {
            key,
            begun: Begun::No,
            told: false,
        }
    }

    /// Returns where the caller's part of the stream comes from.
    pub(super) fn origin(&self) -> Option<&StreamOrigin> {
        match &self.begun {
            Begun::At(origin) => Some(origin),
            Begun::No | Begun::Unknown => None,
        }
    }

    /// Returns the software version at which it has to go on, if its caller has part of it.
    pub(super) fn software(&self) -> Option<&SoftwareVersion> {
        Some(&self.origin()?.software)
    }

    /// Returns whether it is known where it may go on.
    pub(super) fn may_go_on(&self, state: &State) -> bool {
        let register = lock(&state.streams.register);
        let doubted = |key| register.is_contradicted(state.now(), &key);
        self.begun != Begun::Unknown && !self.key.is_some_and(doubted)
    }

    /// Returns whether its first events were noted.
    pub(super) fn is_told(&self) -> bool {
        self.told
    }

    /// Notes that the first events, of a target that runs `software`, were passed on.
    pub(super) fn passed_on(
        &mut self,
        state: &State,
        service: &str,
        (target, software): (&str, Option<&SoftwareVersion>),
    ) {
        self.told = true;
        if self.begun == Begun::No {
            self.begun = software.map_or(Begun::Unknown, |software| {
                Begun::At(StreamOrigin {
                    service: service.to_owned(),
                    software: software.clone(),
                })
            });
        }
        let (Some(key), Some(origin)) = (self.key, self.origin()) else {
            return;
        };
        lock(&state.streams.recent).note(state.now(), target, key, origin);
        note(state, key, origin);
    }
}

/// Notes where a stream began, and has control instances told.
fn note(state: &State, key: Fingerprint, origin: &StreamOrigin) {
    lock(&state.streams.register).note(state.now(), key, origin);
    for peer in state.nearest_controls(TOLD) {
        lock(&peer.untold).begin(key, origin);
    }
    state.streams.untold.notify_one();
}

/// Takes over the software of targets.
///
/// Failure: a target starts again under its id with another version, and the list shows that
/// late. Streams that have begun there meanwhile would go on at the version before.
pub(super) fn set_software(state: &State, told: impl Iterator<Item = TargetSoftware>) {
    let told = told.map(|told| (told.target, told.software));
    let changed = state.view().set_software(told);
    for (target, software) in changed {
        let now = state.now();
        let doubted = lock(&state.streams.recent).doubted(now, &target, &software);
        for (key, origin) in doubted {
            note(state, key, &origin);
        }
    }
}

/// Finds out which stream a request is the rest of, if it is one.
///
/// # Errors
///
/// Fails if the caller has part of a stream, and it isn't known which software version began
/// that or the route no longer leads there.
pub(super) async fn resumed(
    state: &State,
    route: &Route,
    request: &HeaderMap,
    path: &str,
    until: Instant,
) -> Result<Stream, RequestError> {
    let Kind::Stream { resumable } = route.kind else {
        return Ok(Stream::new(None));
    };
    let names = &state.platform.header_names;
    let host = headers::text(request, &HOST).unwrap_or_default();
    let key = |id: &str| Fingerprint::of(&[host.as_bytes(), path.as_bytes(), id.as_bytes()]);
    if request
        .get(&names.last_event)
        .is_none_or(|id| id.is_empty())
    {
        let own = headers::single(request, &names.request_id);
        return Ok(Stream::new(own.filter(|_| resumable).map(key)));
    }
    let resumes = headers::single(request, &names.resumes);
    let key = resumes.map(key);
    match taken_up(state, route, key, until).await {
        Ok(found) => {
            log_taken_up(state, request, &found);
            Ok(Stream {
                begun: Begun::At(found.origin),
                ..Stream::new(key)
            })
        }
        Err(why) => Err(refuse(state, request, why)),
    }
}

/// Returns where a stream began that its caller takes up.
///
/// # Errors
///
/// Fails with what is missing.
async fn taken_up(
    state: &State,
    route: &Route,
    key: Option<Fingerprint>,
    until: Instant,
) -> Result<Found, &'static str> {
    let only_service = match route.split.as_slice() {
        [(service, _)] => Some(service.clone()),
        _ => None,
    };
    let asked = FindStream {
        key,
        service: only_service,
    };
    let unknown = key.map_or("no_attempt_named", |_| "unknown");
    let found = find(state, &asked, until).await.ok_or(unknown)?;
    if !route.leads_to(&found.origin.service) {
        return Err("service_changed");
    }
    Ok(found)
}

fn log_taken_up(state: &State, request: &HeaderMap, found: &Found) {
    let names = &state.platform.header_names;
    prom_metrics().stream_taken_up("known", found.source);
    event!(
        telemetry::Event::StreamTakenUp,
        request = headers::text(request, &names.request_id).unwrap_or_default(),
        resumes = headers::text(request, &names.resumes).unwrap_or_default(),
        service = found.origin.service,
        software = found.origin.software.to_string(),
        source = found.source,
        up_ms = state.now().since(Time::ZERO).as_millis()
    );
}

/// Refuses the rest of a stream of an unknown origin.
fn refuse(state: &State, request: &HeaderMap, why: &str) -> RequestError {
    let names = &state.platform.header_names;
    prom_metrics().stream_taken_up("refused", why);
    event!(
        telemetry::Event::StreamRefused,
        request = headers::text(request, &names.request_id).unwrap_or_default(),
        resumes = headers::text(request, &names.resumes).unwrap_or_default(),
        why = why
    );
    RequestError::NotRun {
        again: UNKNOWN_RETRY_AFTER,
        why: Why::UnknownStream,
    }
}

/// Returns where a stream began and how that is known.
async fn find(state: &State, asked: &FindStream, until: Instant) -> Option<Found> {
    let own = asked.key.and_then(|key| {
        let register = lock(&state.streams.register);
        let now = state.now();
        let doubted = register.is_contradicted(now, &key);
        let origin = register.find(now, &key).cloned();
        (doubted || origin.is_some()).then_some(origin)
    });
    // Control instances may not have been told yet that it is in doubt.
    if let Some(origin) = own {
        let origin = origin?;
        return Some(Found {
            origin,
            source: "own",
        });
    }
    let until = until.min(Instant::now() + FIND_TIMEOUT);
    let calls = state.nearest_controls(usize::MAX).into_iter();
    let calls = calls.map(|peer| async move {
        let link = state.links.to(peer.address);
        let call = Call::FindStream(asked.clone());
        match link.call(call, FIND_TIMEOUT).await {
            Ok(Reply::FoundStream(found)) => Some(found),
            _ => None,
        }
    });
    let mut answers: FuturesUnordered<_> = calls.collect();
    let mut all = Vec::new();
    while let Ok(Some(answer)) = timeout_at(until, answers.next()).await {
        let Some(found) = answer else { continue };
        let now = state.now();
        for (target, ago) in &found.ended {
            state.view().ended(now - *ago, target);
        }
        if let Some(origin) = found.origin {
            return Some(Found {
                origin,
                source: "control",
            });
        }
        all.push(found);
    }
    let service = asked.service.as_ref()?;
    let origin = only_origin(state.now(), &state.view(), &state.zones, service, &all)?;
    Some(Found {
        origin,
        source: "only_version",
    })
}

/// Tells control instances of streams that begin, for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    loop {
        state.streams.untold.notified().await;
        sleep(TELL_DELAY).await;
        for peer in state.nearest_controls(usize::MAX) {
            if !lock(&peer.untold).begun.is_empty() {
                let state = Arc::clone(&state);
                tokio::spawn(async move { exchange(&state, &peer).await });
            }
        }
    }
}

/// Asks the owner of `zone` for an adapter at a target of one software version.
pub(super) fn want(state: &Arc<State>, zone: &str, want: SoftwareWant) {
    let Some(peer) = state.controls.owner(state.now(), zone) else {
        return;
    };
    lock(&peer.untold).want(want);
    let state = Arc::clone(state);
    tokio::spawn(async move { exchange(&state, &peer).await });
}

/// Makes one exchange, if one is due.
pub(super) async fn exchange(state: &State, peer: &ControlPeer) {
    let _turn = peer.stream_turn.lock().await;
    let lacks = state.view().lacks_software(&peer.zones());
    let Some(sync) = lock(&peer.untold).take(state.now(), lacks) else {
        return;
    };
    let sent = sync.clone();
    let link = state.links.to(peer.address);
    match link.call(Call::Streams(sync), EXCHANGE_TIMEOUT).await {
        Ok(Reply::Streams(synced)) => apply(state, peer, synced),
        _ => lock(&peer.untold).keep(state.now(), sent),
    }
}

fn apply(state: &State, peer: &ControlPeer, synced: StreamSynced) {
    let mut untold = lock(&peer.untold);
    untold.revision = synced.revision;
    if untold.incarnation != synced.incarnation() {
        untold.incarnation = synced.incarnation();
        // Failure: all control instances are restarted in turn, and then the entry instance
        // ends where a stream began: nobody knows any more which version began it.
        let is_told = state.nearest_controls(TOLD);
        if is_told.iter().any(|told| told.address == peer.address) {
            let register = lock(&state.streams.register);
            untold.retell(register.all(state.now()));
        }
    }
    drop(untold);
    if synced.software.is_empty() {
        return;
    }
    set_software(state, synced.software.into_iter());
    state.changed.notify_waiters();
}
