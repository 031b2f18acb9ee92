//! The exchange with the leader: load and demand go there, editions, targets
//! and residents come back.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{InstanceName, Time};
use daemon::lock;
use telemetry::event;
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep_until},
};
use wire::{
    call::{Call, Reply},
    fleet::{Sync, Synced},
};

use super::state::State;
use crate::names;

/// Time between two exchanges. A change of the configuration has two seconds to
/// be in force; this leaves room for several lost ones.
const EVERY: Duration = Duration::from_millis(250);

/// How long one exchange may take. The leader answers within 150 ms at the
/// longest; a message between availability zones takes 2 ms.
const LIMIT: Duration = Duration::from_millis(400);

/// Without an answer of a leader for so long, the platform's list is read here.
const ALONE: Duration = Duration::from_millis(1_500);

/// How often it is then read; all instances together stay far below what the
/// platform allows.
const LIST_EVERY: Duration = Duration::from_millis(1_000);

/// Exchanges for wanted adapters under way at once.
const AT_ONCE: usize = 3;

/// Knows where the leader is looked for.
struct Search {
    leader: Option<SocketAddr>,
    /// Control instances to ask, the next one first.
    others: VecDeque<SocketAddr>,
    heard: Time,
    listed: Time,
}

struct Exchange {
    state: Arc<State>,
    search: std::sync::Mutex<Search>,
    /// The news of targets in force here.
    news: AtomicU64,
}

/// Exchanges with the leader for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    let exchange = Arc::new(Exchange {
        search: std::sync::Mutex::new(Search {
            leader: None,
            others: VecDeque::new(),
            heard: state.now(),
            listed: Time::ZERO,
        }),
        news: AtomicU64::new(0),
        state: Arc::clone(&state),
    });
    exchange.look_at_seeds();
    let at_once = Arc::new(Semaphore::new(AT_ONCE));
    let mut next = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next) => {
                next = Instant::now() + EVERY;
                exchange.go(true).await;
                exchange.alone().await;
            }
            () = state.wanted.notified() => {
                let Ok(permit) = Arc::clone(&at_once).acquire_owned().await else {
                    return;
                };
                let exchange = Arc::clone(&exchange);
                tokio::spawn(async move {
                    exchange.go(false).await;
                    drop(permit);
                });
            }
        }
    }
}

impl Exchange {
    /// Makes one exchange; a regular one also carries demand.
    async fn go(&self, regular: bool) {
        let Some(address) = self.address() else {
            self.look_at_seeds();
            return;
        };
        let sync = self.sync(regular);
        let answer = self.state.links.to(address);
        let answer = answer.call(Call::Sync(sync), LIMIT).await;
        match answer {
            Ok(Reply::Sync(synced)) => self.take(address, *synced),
            Ok(Reply::Elsewhere { leader }) => self.elsewhere(address, leader),
            Ok(_) | Err(_) => self.failed(address),
        }
        if !regular {
            self.state.changed.notify_waiters();
        }
    }

    fn sync(&self, regular: bool) -> Sync {
        let mut view = self.state.view();
        Sync {
            instance: Some(self.state.name.clone()),
            edition: self.state.edition(),
            news: self.news.load(Ordering::Relaxed),
            running: view.running(),
            demand: if regular {
                view.take_demand()
            } else {
                Vec::new()
            },
            wants: std::mem::take(&mut *lock(&self.state.wants)),
            failing: view.failing(self.state.now()),
        }
    }

    fn take(&self, address: SocketAddr, synced: Synced) {
        let state = &self.state;
        let now = state.now();
        {
            let mut search = lock(&self.search);
            if search.leader != Some(address) {
                event!(telemetry::Event::PeerBack, leader = address.to_string());
            }
            search.leader = Some(address);
            search.heard = now;
            let known = synced.controls.iter();
            let known = known.filter_map(|name| names::address(name, state.port));
            search.others = known.filter(|a| *a != address).collect();
        }
        if let Some(edition) = synced.edition {
            self.put_in_force(edition.number, &edition.body);
        }
        let mut view = state.view();
        if let Some(versions) = synced.versions {
            view.set_versions(versions);
        }
        if let Some(targets) = synced.targets
            && synced.news > self.news.load(Ordering::Relaxed)
        {
            self.news.store(synced.news, Ordering::Relaxed);
            view.set_targets(now, targets);
        }
        view.set_others(synced.running);
        drop(view);
        state.set_entries(synced.entries);
        state.set_orders(now, synced.hold);
        state.changed.notify_waiters();
    }

    fn put_in_force(&self, number: u64, body: &str) {
        match (self.state.outside.decode)(body) {
            Ok(decoded) => {
                if self.state.set_table(number, decoded.table) {
                    event!(telemetry::Event::TextInForce, version = number);
                }
            }
            Err(why) => event!(telemetry::Event::TextBroken, why = why),
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        let mut search = lock(&self.search);
        if let Some(leader) = search.leader {
            return Some(leader);
        }
        let next = search.others.pop_front()?;
        search.others.push_back(next);
        Some(next)
    }

    fn elsewhere(&self, asked: SocketAddr, leader: Option<InstanceName>) {
        let leader = leader.and_then(|name| names::address(&name, self.state.port));
        let mut search = lock(&self.search);
        if search.leader.is_none() || search.leader == Some(asked) {
            search.leader = leader;
        }
    }

    fn failed(&self, asked: SocketAddr) {
        let mut search = lock(&self.search);
        if search.leader == Some(asked) {
            event!(telemetry::Event::PeerSilent, leader = asked.to_string());
            search.leader = None;
        }
        drop(search);
        self.look_at_seeds();
    }

    /// Adds the control instances of the settings to those that are asked.
    fn look_at_seeds(&self) {
        let seeds = self.state.seeds();
        let mut search = lock(&self.search);
        for ip in seeds {
            let address = SocketAddr::new(ip, self.state.port);
            if !search.others.contains(&address) {
                search.others.push_back(address);
            }
        }
    }

    /// Reads the platform's list here while no leader answers.
    async fn alone(&self) {
        let now = self.state.now();
        {
            let mut search = lock(&self.search);
            if now.since(search.heard) < ALONE || now.since(search.listed) < LIST_EVERY {
                return;
            }
            search.listed = now;
        }
        let Some(list) = (self.state.outside.list)().await else {
            event!(telemetry::Event::ListStale);
            return;
        };
        let targets = list.iter().map(gateway::holder::Listed::target).collect();
        self.news.store(0, Ordering::Relaxed);
        let mut view = self.state.view();
        view.set_targets(now, targets);
        view.set_others([]);
        drop(view);
        self.state.changed.notify_waiters();
    }
}
