//! What all requests of an entry instance share.

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use base::{InstanceName, Time};
use daemon::{Clock, Links, lock};
use gateway::{budget::Budget, table::Table, view::View};
use tokio::sync::Notify;
use web::client::Client;

use super::Setup;
use crate::{Outside, names};

/// Handles that every request uses.
pub(super) struct State {
    pub(super) name: InstanceName,
    pub(super) port: u16,
    pub(super) outside: Outside,
    pub(super) client: Client,
    pub(super) links: Links,
    /// Rung when something about targets has changed.
    pub(super) changed: Notify,
    /// Rung when a caller waits for an adapter that nobody holds.
    pub(super) wanted: Notify,
    clock: Clock,
    stopping: AtomicBool,
    entries: AtomicU32,
    table: Mutex<Option<(u64, Arc<Table>)>>,
    view: Mutex<View>,
    budget: Mutex<Budget>,
    /// When the leader was heard last, and from when it may give orders.
    orders: Mutex<(Time, Time)>,
    pub(super) wants: Mutex<Vec<String>>,
}

/// Without an answer of the leader for so long, two exchanges in a row were
/// lost, and another leader is probably due.
const LEADER_SILENT: Duration = Duration::from_millis(900);

/// Time until a new leader gives orders: an election of about a second, and
/// the time that it leaves to orders of the one before.
const NEXT_LEADER: Duration = Duration::from_millis(4_000);

/// Entry instances taken for alive before the leader has said how many are: a
/// greater number gives each a smaller share of what all share.
const ENTRIES_AT_FIRST: u32 = 12;

impl State {
    pub(super) fn new(setup: &Setup, outside: Outside) -> Self {
        let name = names::instance(setup.ip);
        State {
            links: Links::new(name.clone()),
            name,
            port: setup.peers,
            outside,
            client: Client::default(),
            changed: Notify::new(),
            wanted: Notify::new(),
            clock: Clock::start(),
            stopping: AtomicBool::new(false),
            entries: AtomicU32::new(ENTRIES_AT_FIRST),
            table: Mutex::default(),
            view: Mutex::new(View::new(setup.zone.clone())),
            budget: Mutex::new(Budget::new(setup.repeats)),
            orders: Mutex::new((Time::ZERO, Time::ZERO)),
            wants: Mutex::default(),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    pub(super) fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table)
            .as_ref()
            .map(|(_, table)| Arc::clone(table))
    }

    pub(super) fn edition(&self) -> u64 {
        lock(&self.table).as_ref().map_or(0, |(number, _)| *number)
    }

    /// Puts a table into force unless a newer one is.
    ///
    /// Failure: answers of two control instances cross, and the older one comes
    /// last. Callers would see the new configuration, then the one before. The
    /// number never goes down while the process runs.
    pub(super) fn set_table(&self, number: u64, table: Table) -> bool {
        let mut held = lock(&self.table);
        if held.as_ref().is_some_and(|(old, _)| *old >= number) {
            return false;
        }
        *held = Some((number, Arc::new(table)));
        true
    }

    pub(super) fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Counts a caller's request for the budget of repeats.
    pub(super) fn request(&self, service: &str) {
        lock(&self.budget).request(self.now(), service);
    }

    /// Tells whether a request may be sent once more, and counts it if so.
    pub(super) fn repeat(&self, service: &str) -> bool {
        let entries = self.entries.load(Ordering::Relaxed);
        lock(&self.budget).repeat(self.now(), service, entries)
    }

    pub(super) fn set_orders(&self, now: Time, hold: Duration) {
        *lock(&self.orders) = (now, now + hold);
    }

    /// Returns how long it will take until an adapter that nobody holds can be
    /// ordered: zero while a leader is heard that gives orders.
    pub(super) fn no_orders_for(&self) -> Duration {
        let now = self.now();
        let (heard, from) = *lock(&self.orders);
        if now.since(heard) > LEADER_SILENT {
            return NEXT_LEADER;
        }
        from.since(now)
    }

    /// Asks the leader for an adapter.
    pub(super) fn want(&self, adapter: &str) {
        let mut wants = lock(&self.wants);
        if !wants.iter().any(|want| want == adapter) {
            wants.push(adapter.to_owned());
        }
        drop(wants);
        self.wanted.notify_one();
    }

    pub(super) fn ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && lock(&self.table).is_some()
    }

    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(super) fn seeds(&self) -> Vec<IpAddr> {
        (self.outside.seeds)().unwrap_or_default()
    }
}
