//! The exchange with control instances. This instance sends load and demand, and receives
//! targets, the adapters that they hold, and the number of the newest edition.
//!
//! Each control instance reports the targets of the zones that it owns, so an entry
//! instance exchanges with all of them, each at its own pace. When one is lost or cut
//! off, only the updates of its own zones are missing.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Fingerprint, Time, stable_hash};
use daemon::lock;
use gateway::timing::{OWNER_TIMEOUT, SYNC_INTERVAL, SYNC_INTERVAL_UNRESPONSIVE, SYNC_TIMEOUT};
use telemetry::event;
use tokio::{
    sync::{Notify, Semaphore},
    time::{Instant, interval, sleep_until},
};
use wire::{
    call::{Call, Reply},
    fleet::{Sync, Synced},
    list::{ListAge, SyncedLists},
    quarantine::{CrashReport, CrashedRun},
};

use super::{
    admission, crash, helping, limits, lists, rests,
    state::State,
    streams::{self, Turn, Untold},
};
use crate::names;

/// Interval for a control instance that owns no zone: like the others it announces
/// editions, but it reports no targets.
const SYNC_INTERVAL_IDLE: Duration = Duration::from_millis(500);

/// Interval until a restarted instance has a configuration and knows the targets of all
/// zones. Callers wait for that, and after a restart of the whole deployment the log has
/// a leader within a tenth of a second.
const SYNC_INTERVAL_STARTING: Duration = Duration::from_millis(40);

/// Interval between two reports on whether this instance can help others.
const HELPING_INTERVAL: Duration = Duration::from_secs(2);

/// Most crashed runs, and most answered requests, that are kept for a control instance
/// that doesn't answer.
const MAX_UNREPORTED: usize = 8_192;

/// Most concurrent exchanges with one control instance that request loads.
const MAX_CONCURRENT_SYNCS: usize = 3;

/// All known control instances.
#[derive(Default)]
pub(super) struct ControlPeers {
    peers: Mutex<BTreeMap<SocketAddr, Arc<ControlPeer>>>,
}

/// One control instance.
pub(super) struct ControlPeer {
    pub(super) address: SocketAddr,
    /// Notified when a load is requested from it.
    wanted: Notify,
    inner: Mutex<Inner>,
    /// What it has to be told of streams.
    pub(super) untold: Mutex<Untold>,
    pub(super) stream_turn: Turn,
}

#[derive(Default)]
struct Inner {
    wants: Vec<String>,
    /// Adapters of which one more copy is requested.
    copies: BTreeSet<String>,
    /// Number of the last change of adapter versions that it has sent.
    revision: u64,
    /// Number of the last target update of it that was applied here.
    update: u64,
    last_heard: Option<Time>,
    /// Zones that it owns.
    zones: Vec<String>,
    demand: BTreeMap<String, u32>,
    /// Runs that ended as their target crashed, and when, not reported to it yet.
    crashes: VecDeque<(Time, CrashedRun)>,
    /// Requests that were answered though there is evidence against them, not reported to
    /// it yet.
    answered: BTreeSet<Fingerprint>,
    /// Index of the last verdict on a request that it has sent.
    verdict: u64,
    /// When it was last told whether this instance can help others.
    told_helping: Option<Time>,
}

impl ControlPeers {
    /// Reports a run that ended as its target crashed at `at` to every control instance.
    pub(super) fn report_crash(&self, at: Time, run: CrashedRun) {
        for peer in lock(&self.peers).values() {
            lock(&peer.inner).add_crash(at, run.clone());
            peer.wanted.notify_one();
        }
    }

    /// Reports a request that was answered in full to every control instance.
    pub(super) fn report_answered(&self, fingerprint: Fingerprint) {
        for peer in lock(&self.peers).values() {
            lock(&peer.inner).add_answered(fingerprint);
            peer.wanted.notify_one();
        }
    }

    /// Returns whether any control instance was heard from lately.
    pub(super) fn any_heard(&self, now: Time) -> bool {
        lock(&self.peers).values().any(|peer| peer.heard(now))
    }

    /// Reports to every control instance whether this instance can help others.
    pub(super) fn report_helping(&self, state: &Arc<State>) {
        for peer in lock(&self.peers).values() {
            let (state, peer) = (Arc::clone(state), Arc::clone(peer));
            tokio::spawn(async move { helping::report(&state, &peer).await });
        }
    }

    /// Returns the zones whose owner can give orders now.
    pub(super) fn zones(&self, now: Time) -> Vec<String> {
        let peers = lock(&self.peers);
        let heard = peers.values().filter(|peer| peer.heard(now));
        let zones = heard.flat_map(|peer| lock(&peer.inner).zones.clone());
        zones.collect()
    }

    /// Requests a load of an adapter from the owner of `zone`.
    pub(super) fn want(&self, zone: &str, adapter: &str) {
        let peers = lock(&self.peers);
        for peer in peers.values() {
            let mut inner = lock(&peer.inner);
            if !inner.zones.iter().any(|own| own == zone) {
                continue;
            }
            if !inner.wants.iter().any(|want| want == adapter) {
                inner.wants.push(adapter.to_owned());
            }
            peer.wanted.notify_one();
        }
    }

    /// Requests one more copy of an adapter from the owner of `zone`, with the next
    /// regular exchange.
    pub(super) fn copy(&self, zone: &str, adapter: &str) {
        for peer in lock(&self.peers).values() {
            let mut inner = lock(&peer.inner);
            if inner.zones.iter().any(|own| own == zone) {
                inner.copies.insert(adapter.to_owned());
            }
        }
    }

    /// Exchanges at once with one control instance that was heard from lately, that of
    /// `zone` if it can be.
    pub(super) fn hurry(&self, now: Time, zone: &str) {
        let peers = lock(&self.peers);
        let heard = peers.values().filter(|peer| peer.heard(now));
        let near = |peer: &&Arc<ControlPeer>| {
            let own = &lock(&peer.inner).zones;
            own.iter().any(|own| own == zone)
        };
        if let Some(peer) = heard.max_by_key(near) {
            peer.wanted.notify_one();
        }
    }

    /// Returns the control instances that were heard from lately.
    pub(super) fn heard(&self, now: Time) -> Vec<Arc<ControlPeer>> {
        let peers = lock(&self.peers);
        let heard = peers.values().filter(|peer| peer.heard(now));
        heard.map(Arc::clone).collect()
    }

    /// Returns the owner of `zone`, if it was heard from lately.
    pub(super) fn owner(&self, now: Time, zone: &str) -> Option<Arc<ControlPeer>> {
        let peers = lock(&self.peers);
        let mut heard = peers.values().filter(|peer| peer.heard(now));
        heard.find(|peer| peer.owns(zone)).map(Arc::clone)
    }

    /// Returns the control instance that passes on retries between entry instances: the same
    /// for all that hear from the same control instances.
    pub(super) fn broker(&self, now: Time) -> Option<Arc<ControlPeer>> {
        let peers = self.heard(now).into_iter();
        peers.max_by_key(|peer| stable_hash(&[peer.address.to_string().as_bytes()]))
    }

    /// Returns the control instance that reads the list of `zone` for others than its owner: the
    /// same for all entry instances that hear from the same control instances, so that the
    /// platform gets few calls.
    pub(super) fn reader(&self, now: Time, zone: &str) -> Option<Arc<ControlPeer>> {
        let peers = self.heard(now).into_iter();
        let others = peers.filter(|peer| !peer.owns(zone));
        others.max_by_key(|peer| {
            let address = peer.address.to_string();
            stable_hash(&[zone.as_bytes(), address.as_bytes()])
        })
    }

    /// Makes the owner of `zone` send a full update next time.
    pub(super) fn reset_updates(&self, zone: &str) {
        for peer in lock(&self.peers).values() {
            let mut inner = lock(&peer.inner);
            if inner.zones.iter().any(|own| own == zone) {
                inner.update = 0;
            }
        }
    }

    /// Adds the requests counted for each adapter, which are sent to every control
    /// instance.
    fn add_demand(&self, demand: &[(String, u32)]) {
        for peer in lock(&self.peers).values() {
            let mut inner = lock(&peer.inner);
            for (adapter, count) in demand {
                *inner.demand.entry(adapter.clone()).or_default() += count;
            }
        }
    }
}

impl Inner {
    fn add_crash(&mut self, at: Time, run: CrashedRun) {
        self.crashes.push_back((at, run));
        if self.crashes.len() > MAX_UNREPORTED {
            self.crashes.pop_front();
        }
    }

    fn add_answered(&mut self, fingerprint: Fingerprint) {
        self.answered.insert(fingerprint);
        if self.answered.len() > MAX_UNREPORTED {
            self.answered.pop_first();
        }
    }

    /// Takes what has to be reported about requests that crash targets.
    fn take_report(&mut self, now: Time) -> CrashReport {
        let runs = self.crashes.drain(..).map(|(at, run)| CrashedRun {
            ago: now.since(at),
            ..run
        });
        CrashReport {
            runs: runs.collect(),
            answered: std::mem::take(&mut self.answered).into_iter().collect(),
            known: self.verdict,
        }
    }

    /// Keeps a report that was lost, to send it again.
    fn keep_report(&mut self, asked: Time, report: CrashReport) {
        for run in report.runs {
            self.add_crash(asked - run.ago, run);
        }
        for fingerprint in report.answered {
            self.add_answered(fingerprint);
        }
    }

    /// Returns whether a target update can be applied that answers a request which said
    /// that update `known` was in force.
    ///
    /// Failure: answers to concurrent requests arrive in another order. Changes since an
    /// older update would undo a newer one, and changes since an update that was reset
    /// leave out what is not known here.
    fn accepts(&self, known: u64, synced: &Synced) -> bool {
        if synced.full {
            return known == self.update || synced.update > self.update;
        }
        known <= self.update && synced.update >= self.update
    }
}

impl ControlPeer {
    /// Returns whether it owns a zone.
    pub(super) fn owns(&self, zone: &str) -> bool {
        lock(&self.inner).zones.iter().any(|own| own == zone)
    }

    /// Returns the zones that it owns.
    pub(super) fn zones(&self) -> Vec<String> {
        lock(&self.inner).zones.clone()
    }

    /// Returns whether the regular report on helping others is due, and takes it as made.
    fn helping_due(&self, now: Time) -> bool {
        let mut inner = lock(&self.inner);
        let last = inner.told_helping;
        if last.is_some_and(|at| now.since(at) < HELPING_INTERVAL) {
            return false;
        }
        inner.told_helping = Some(now);
        true
    }

    fn heard(&self, now: Time) -> bool {
        self.silent_for(now)
            .is_some_and(|time| time < OWNER_TIMEOUT)
    }

    /// Returns the time since it was last heard from.
    pub(super) fn silent_for(&self, now: Time) -> Option<Duration> {
        let heard = lock(&self.inner).last_heard;
        heard.map(|at| now.since(at))
    }
}

/// Exchanges with control instances for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    let mut tick = interval(SYNC_INTERVAL);
    loop {
        tick.tick().await;
        for ip in state.seeds() {
            add_peer(&state, SocketAddr::new(ip, state.port));
        }
        state.meter().expire(state.now());
        state.view().expire_limits(state.now());
        rests::log_ended(&state);
        admission::expire(&state);
        state.view().expire_software(state.now());
        let demand = state.view().take_demand();
        state.controls.add_demand(&demand);
        crash::report_ripe(&state);
        crash::judge_alone(&state);
    }
}

/// Starts to exchange with a control instance unless it is known already.
fn add_peer(state: &Arc<State>, address: SocketAddr) {
    let mut peers = lock(&state.controls.peers);
    if peers.contains_key(&address) {
        return;
    }
    let peer = Arc::new(ControlPeer {
        address,
        wanted: Notify::new(),
        inner: Mutex::default(),
        untold: Mutex::default(),
        stream_turn: Turn::default(),
    });
    peers.insert(address, Arc::clone(&peer));
    tokio::spawn(run_peer(Arc::clone(state), peer));
}

async fn run_peer(state: Arc<State>, peer: Arc<ControlPeer>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_SYNCS));
    let mut next = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next) => {
                let heard = exchange(&state, &peer, true).await;
                next = Instant::now() + pause(&state, &peer, heard);
            }
            () = peer.wanted.notified() => {
                let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                    return;
                };
                let (state, peer) = (Arc::clone(&state), Arc::clone(&peer));
                tokio::spawn(async move {
                    exchange(&state, &peer, false).await;
                    drop(permit);
                });
            }
        }
    }
}

/// Returns the time until the next regular exchange.
fn pause(state: &State, peer: &ControlPeer, heard: bool) -> Duration {
    if !heard {
        SYNC_INTERVAL_UNRESPONSIVE
    } else if state.table().is_none() || state.settling() {
        SYNC_INTERVAL_STARTING
    } else if lock(&peer.inner).zones.is_empty() {
        SYNC_INTERVAL_IDLE
    } else {
        SYNC_INTERVAL
    }
}

/// Makes one exchange and returns whether it was answered. Only a regular one carries
/// load and demand; any other is made early to request a load.
async fn exchange(state: &Arc<State>, peer: &ControlPeer, regular: bool) -> bool {
    let sync = next_sync(state, peer, regular);
    let asked = (sync.update, sync.brief);
    let asked_at = state.now();
    let report = CrashReport::clone(&sync.crashes);
    let usage = state.meter().usage(asked_at);
    let call = Call::SyncStarts {
        sync: Box::new(sync),
        usage: usage.clone(),
    };
    let link = state.links.to(peer.address);
    let answer = match link.call(call, SYNC_TIMEOUT).await {
        Ok(Reply::SyncStarts(answer)) => SyncedLists::from(*answer),
        answer => {
            lock(&peer.inner).keep_report(asked_at, report);
            let why = answer.map_or_else(|err| err.to_string(), |_| "another reply".to_owned());
            note_silent(state, peer, &why);
            return false;
        }
    };
    let now = state.now();
    state
        .meter()
        .told(now, peer.address, &usage, &answer.others);
    if let Some(sharers) = answer.sharers {
        state.budget().told(now, sharers);
    }
    let overtaken = lists::note_sent(state, asked_at, &answer.ages);
    let lists = HeardLists {
        asked: asked_at,
        ages: &answer.ages,
        overtaken: &overtaken,
    };
    apply(state, peer, asked, answer.synced, lists);
    for zone in &overtaken {
        state.controls.reset_updates(zone);
    }
    let age = answer.ages.iter().map(|list| list.age).max();
    let as_of = asked_at - age.unwrap_or_default();
    lists::log_left(state, &peer.address.to_string(), as_of);
    limits::log_told(state, peer);
    if regular {
        limits::report(state, peer).await;
        admission::report(state, peer).await;
        streams::exchange(state, peer).await;
        if peer.helping_due(now) {
            helping::report(state, peer).await;
        }
    }
    true
}

/// Notes that a control instance didn't answer.
fn note_silent(state: &State, peer: &ControlPeer, why: &str) {
    let mut inner = lock(&peer.inner);
    if inner.last_heard.take().is_some() {
        event!(
            telemetry::Event::PeerSilent,
            control = peer.address.to_string(),
            edition = state.edition(),
            why = why
        );
    }
    // The lost request may have asked for single targets to be sent again, so the next
    // answer has to be a full update.
    inner.update = 0;
    drop(inner);
    state.editions.lost(peer.address);
    state.changed.notify_waiters();
}

fn next_sync(state: &State, peer: &ControlPeer, regular: bool) -> Sync {
    let mut view = state.view();
    let mut inner = lock(&peer.inner);
    let demand = if regular {
        std::mem::take(&mut inner.demand)
    } else {
        BTreeMap::new()
    };
    let load = if regular {
        (view.running(&inner.zones), view.unread(&inner.zones))
    } else {
        Default::default()
    };
    Sync {
        instance: Some(state.name.clone()),
        edition: state.edition(),
        revision: inner.revision,
        update: inner.update,
        resend: view.take_stale(&inner.zones),
        brief: !regular,
        running: load.0,
        unread: load.1,
        copies: std::mem::take(&mut inner.copies).into_iter().collect(),
        demand: demand.into_iter().collect(),
        wants: std::mem::take(&mut inner.wants),
        failing: view.failing(state.now()),
        first_uses: view.take_firsts(&inner.zones),
        prompt_times: if regular {
            view.take_paces(&inner.zones)
        } else {
            Vec::new()
        },
        loading_elsewhere: (!state.settling())
            .then(|| view.loading_outside(state.now(), &inner.zones).into()),
        crashes: Box::new(inner.take_report(state.now())),
    }
}

/// The lists by which a zone owner has answered.
#[derive(Clone, Copy, Debug)]
struct HeardLists<'a> {
    /// When it was asked.
    asked: Time,
    /// How old they were.
    ages: &'a [ListAge],
    /// Zones of which a later list is known, which says which targets take requests.
    overtaken: &'a [String],
}

impl HeardLists<'_> {
    /// Returns the time as of which a zone's list was read, at the earliest.
    fn as_of(&self, zone: &str) -> Time {
        let list = self.ages.iter().find(|list| list.zone == zone);
        self.asked - list.map_or(Duration::ZERO, |list| list.age)
    }
}

/// Applies the answer to a request that said that update `known` was in force and whether
/// it was a `brief` one, without load and demand.
fn apply(
    state: &Arc<State>,
    peer: &ControlPeer,
    (known, brief): (u64, bool),
    mut synced: Synced,
    lists: HeardLists<'_>,
) {
    let now = state.now();
    for target in synced.targets.iter_mut().flatten() {
        if lists.overtaken.contains(&target.zone) {
            target.ready &= state.view().is_ready(&target.id);
        }
    }
    let rank = state.source_rank(peer.address, &synced.zones);
    state.editions.announced(peer.address, synced.edition, rank);
    for name in &synced.controls {
        if let Some(address) = names::instance_address(name, state.port) {
            add_peer(state, address);
        }
    }
    let knows_running = synced.knows_running();
    let mut inner = lock(&peer.inner);
    if inner.last_heard.replace(now).is_none() {
        event!(
            telemetry::Event::PeerBack,
            control = peer.address.to_string()
        );
    }
    inner.zones.clone_from(&synced.zones);
    inner.revision = synced.revision;
    inner.verdict = synced.quarantine.last;
    let fits = inner.accepts(known, &synced);
    if fits {
        inner.update = synced.update;
    }
    drop(inner);
    crash::apply_verdicts(state, &synced.quarantine.changes);
    state.view().set_versions(state.now(), synced.versions);
    match synced.targets {
        Some(targets) if fits && synced.full => {
            state.set_targets(now, &synced.zones, targets);
            state.view().report_limits_again(&synced.zones);
        }
        targets if fits => {
            state.change_targets(now, targets.unwrap_or_default(), &synced.removed);
        }
        _ => {}
    }
    lists::note_starts(state, synced.starts, |zone| lists.as_of(zone));
    let mut view = state.view();
    if !brief && knows_running {
        view.set_other_running(&synced.zones, synced.running);
        view.set_unread(&synced.zones, synced.unread);
        view.heard_load(now, &synced.zones, synced.entries);
    }
    view.set_waits(now, synced.waits);
    drop(view);
    state.set_entry_count(synced.entries);
    state.changed.notify_waiters();
}

#[cfg(test)]
#[path = "../../tests/unit/sync.rs"]
mod tests;
