//! The exchange with control instances: load and demand go there, targets,
//! residents and the number of the newest edition come back.
//!
//! Each control instance speaks for the targets of the zones that it owns, so
//! an entry instance exchanges with all of them, each at its own pace. One that
//! is lost or cut off takes only its own zones' news with it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Time, stable_hash};
use daemon::lock;
use gateway::{
    alone::{Alone, Read},
    holder::Listed,
};
use telemetry::event;
use tokio::{
    sync::{Notify, Semaphore},
    time::{Instant, interval, sleep_until},
};
use wire::{
    call::{Call, Reply},
    fleet::{Sync, Synced},
};

use super::state::State;
use crate::names;

/// Time between two exchanges with one control instance. A change of the
/// configuration has two seconds to be in force; this leaves room for several
/// lost ones.
const EVERY: Duration = Duration::from_millis(250);

/// The same with one that gives no orders: it tells of editions as the others do, and of
/// nothing else until it gets a zone.
const EVERY_IDLE: Duration = Duration::from_millis(500);

/// The same until a restarted instance has a configuration and knows the targets
/// of all zones. Callers wait for that, and after a restart of all the log has
/// a leader within a tenth of a second.
const EVERY_EMPTY: Duration = Duration::from_millis(40);

/// The same while it doesn't answer.
const EVERY_SILENT: Duration = Duration::from_millis(300);

/// How long one exchange may take. The other end answers within 150 ms at the
/// longest; a message between availability zones takes 2 ms.
const LIMIT: Duration = Duration::from_millis(400);

/// Without an answer for so long, a control instance gives no orders that an
/// entry instance could count on.
const SILENT: Duration = Duration::from_millis(900);

/// Exchanges for wanted adapters under way at once with one instance.
const AT_ONCE: usize = 3;

/// All control instances that are known.
#[derive(Default)]
pub(super) struct Sources {
    all: Mutex<BTreeMap<SocketAddr, Arc<Source>>>,
}

/// One control instance.
struct Source {
    address: SocketAddr,
    /// Rung when an adapter is wanted from it.
    wanted: Notify,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    wants: Vec<String>,
    /// Adapters of which one more copy would serve sooner.
    copies: BTreeSet<String>,
    /// Which named versions it has told.
    revision: u64,
    /// The news of its targets in force here.
    news: u64,
    heard: Option<Time>,
    /// Zones that it gives orders in.
    zones: Vec<String>,
    demand: BTreeMap<String, u32>,
}

impl Sources {
    /// Returns the zones where orders can be given now.
    pub(super) fn zones(&self, now: Time) -> Vec<String> {
        let all = lock(&self.all);
        let heard = all.values().filter(|source| source.heard(now));
        let zones = heard.flat_map(|source| lock(&source.inner).zones.clone());
        zones.collect()
    }

    /// Asks whoever gives orders in `zone` for an adapter.
    pub(super) fn want(&self, zone: &str, adapter: &str) {
        let all = lock(&self.all);
        for source in all.values() {
            let mut inner = lock(&source.inner);
            if !inner.zones.iter().any(|own| own == zone) {
                continue;
            }
            if !inner.wants.iter().any(|want| want == adapter) {
                inner.wants.push(adapter.to_owned());
            }
            source.wanted.notify_one();
        }
    }

    /// Tells whoever gives orders in `zone` with the next exchange that one more
    /// copy of an adapter would serve sooner.
    pub(super) fn copy(&self, zone: &str, adapter: &str) {
        for source in lock(&self.all).values() {
            let mut inner = lock(&source.inner);
            if inner.zones.iter().any(|own| own == zone) {
                inner.copies.insert(adapter.to_owned());
            }
        }
    }

    /// Notes requests for adapters, to be told to every source.
    fn count(&self, demand: &[(String, u32)]) {
        for source in lock(&self.all).values() {
            let mut inner = lock(&source.inner);
            for (adapter, count) in demand {
                *inner.demand.entry(adapter.clone()).or_default() += count;
            }
        }
    }
}

impl Inner {
    /// Tells whether an answer to whoever had the news `known` fits what is in force.
    ///
    /// Failure: answers to questions that were under way at once arrive in another
    /// order. What has changed since an older number would undo a newer change, and
    /// changes since a number that was forgotten leave out what is not known here.
    fn takes(&self, known: u64, synced: &Synced) -> bool {
        if synced.whole {
            return known == self.news || synced.news > self.news;
        }
        known <= self.news && synced.news >= self.news
    }
}

impl Source {
    fn heard(&self, now: Time) -> bool {
        let heard = lock(&self.inner).heard;
        heard.is_some_and(|at| now.since(at) < SILENT)
    }
}

/// Exchanges with control instances for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    let mut tick = interval(EVERY);
    let spread = stable_hash(&[state.name.as_str().as_bytes()]);
    let mut alone = Alone::new(state.now(), &state.zones, spread);
    loop {
        tick.tick().await;
        for ip in state.seeds() {
            add(&state, SocketAddr::new(ip, state.port));
        }
        let demand = state.view().take_demand();
        state.sources.count(&demand);
        let now = state.now();
        alone.heard(now, &state.sources.zones(now));
        if let Some(due) = alone.due(now).filter(|_| state.table().is_some()) {
            read(&state, now, due).await;
        }
    }
}

/// Begins to exchange with a control instance unless that is done already.
fn add(state: &Arc<State>, address: SocketAddr) {
    let mut all = lock(&state.sources.all);
    if all.contains_key(&address) {
        return;
    }
    let source = Arc::new(Source {
        address,
        wanted: Notify::new(),
        inner: Mutex::default(),
    });
    all.insert(address, Arc::clone(&source));
    tokio::spawn(keep_up(Arc::clone(state), source));
}

async fn keep_up(state: Arc<State>, source: Arc<Source>) {
    let at_once = Arc::new(Semaphore::new(AT_ONCE));
    let mut next = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next) => {
                let heard = exchange(&state, &source, true).await;
                next = Instant::now() + pause(&state, &source, heard);
            }
            () = source.wanted.notified() => {
                let Ok(permit) = Arc::clone(&at_once).acquire_owned().await else {
                    return;
                };
                let (state, source) = (Arc::clone(&state), Arc::clone(&source));
                tokio::spawn(async move {
                    exchange(&state, &source, false).await;
                    drop(permit);
                });
            }
        }
    }
}

/// Returns the time to the next regular exchange.
fn pause(state: &State, source: &Source, heard: bool) -> Duration {
    if !heard {
        EVERY_SILENT
    } else if state.table().is_none() || state.settling() {
        EVERY_EMPTY
    } else if lock(&source.inner).zones.is_empty() {
        EVERY_IDLE
    } else {
        EVERY
    }
}

/// Makes one exchange and returns whether it was answered; a regular one also
/// carries demand.
async fn exchange(state: &Arc<State>, source: &Source, regular: bool) -> bool {
    let sync = sync(state, source, regular);
    let asked = (sync.news, sync.brief);
    let link = state.links.to(source.address);
    let answer = link.call(Call::Sync(Box::new(sync)), LIMIT).await;
    let Ok(Reply::Sync(synced)) = answer else {
        let mut inner = lock(&source.inner);
        if inner.heard.take().is_some() {
            let why = answer.map_or_else(|err| err.to_string(), |_| "another reply".to_owned());
            event!(
                telemetry::Event::PeerSilent,
                control = source.address.to_string(),
                edition = state.edition(),
                why = why
            );
        }
        // What was to be told again has to come with all the rest.
        inner.news = 0;
        drop(inner);
        state.editions.lost(source.address);
        state.changed.notify_waiters();
        return false;
    };
    take(state, source, asked, *synced);
    true
}

fn sync(state: &State, source: &Source, regular: bool) -> Sync {
    let mut view = state.view();
    let mut inner = lock(&source.inner);
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
        news: inner.news,
        again: view.take_doubted(&inner.zones),
        brief: !regular,
        running: load.0,
        unread: load.1,
        copies: std::mem::take(&mut inner.copies).into_iter().collect(),
        demand: demand.into_iter().collect(),
        wants: std::mem::take(&mut inner.wants),
        failing: view.failing(state.now()),
        firsts: view.take_firsts(&inner.zones),
        paces: if regular {
            view.take_paces(&inner.zones)
        } else {
            Vec::new()
        },
        elsewhere: (!state.settling()).then(|| view.elsewhere(state.now(), &inner.zones)),
    }
}

/// Takes an answer to a question that said which news were `known`, and whether it was
/// a brief one.
fn take(state: &Arc<State>, source: &Source, (known, brief): (u64, bool), synced: Synced) {
    let now = state.now();
    let rank = state.rank(source.address, &synced.zones);
    state.editions.told(source.address, synced.edition, rank);
    for name in &synced.controls {
        if let Some(address) = names::instance_address(name, state.port) {
            add(state, address);
        }
    }
    let mut inner = lock(&source.inner);
    if inner.heard.replace(now).is_none() {
        event!(
            telemetry::Event::PeerBack,
            control = source.address.to_string()
        );
    }
    inner.zones.clone_from(&synced.zones);
    inner.revision = synced.revision;
    let fits = inner.takes(known, &synced);
    if fits {
        inner.news = synced.news;
    }
    drop(inner);
    state.view().set_versions(state.now(), synced.versions);
    match synced.targets {
        Some(targets) if fits && synced.whole => {
            state.set_targets(now, &synced.zones, targets);
        }
        targets if fits => {
            state.change_targets(now, targets.unwrap_or_default(), &synced.gone);
        }
        _ => {}
    }
    let mut view = state.view();
    if !brief {
        view.set_others(&synced.zones, synced.running);
        view.set_unread(&synced.zones, synced.unread);
    }
    view.set_waits(now, synced.waits);
    drop(view);
    state.set_entries(synced.entries);
    state.changed.notify_waiters();
}

/// Reads the platform's list for zones that nobody speaks for.
async fn read(state: &Arc<State>, now: Time, due: Read) {
    let (zones, lists) = match due {
        Read::All(zones) => (zones, vec![None]),
        Read::Zones(zones) => (zones.clone(), zones.into_iter().map(Some).collect()),
    };
    let mut targets = Vec::new();
    for zone in lists {
        let Some(list) = (state.platform.list_targets)(zone).await else {
            event!(telemetry::Event::ListStale);
            return;
        };
        let own = list.iter().filter(|listed| zones.contains(&listed.zone));
        targets.extend(own.map(Listed::target));
    }
    let mut view = state.view();
    view.set_targets(now, &zones, targets);
    view.set_others(&zones, []);
    view.set_unread(&zones, []);
    drop(view);
    state.sources.forget_news(&zones);
    state.changed.notify_waiters();
}

impl Sources {
    /// Makes whoever speaks for one of the zones tell all again.
    fn forget_news(&self, zones: &[String]) {
        for source in lock(&self.all).values() {
            let mut inner = lock(&source.inner);
            if inner.zones.iter().any(|zone| zones.contains(zone)) {
                inner.news = 0;
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/sync.rs"]
mod tests;
