//! What all requests of an entry instance share.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use base::{InstanceName, Seed, Time, stable_hash};
use daemon::{Clock, Links, lock};
use gateway::{budget::Budget, home::home, settle::Settle, table::Table, view::View};
use tokio::sync::Notify;
use web::client::Client;
use wire::fleet::Target;

use super::{Setup, editions::Editions, sync::Sources};
use crate::{Platform, names};

/// Handles that every request uses.
pub(super) struct State {
    pub(super) name: InstanceName,
    pub(super) port: u16,
    pub(super) platform: Platform,
    pub(super) client: Client,
    pub(super) links: Links,
    /// Rung when something about targets has changed.
    pub(super) changed: Notify,
    clock: Clock,
    stopping: AtomicBool,
    entries: AtomicU32,
    table: Mutex<Option<(u64, Arc<Table>)>>,
    view: Mutex<View>,
    settle: Mutex<Settle>,
    budget: Mutex<Budget>,
    pub(super) sources: Sources,
    pub(super) editions: Editions,
    /// The own availability zone.
    zone: String,
    /// All availability zones.
    pub(super) zones: Vec<String>,
}

/// Entry instances taken for alive before the leader has said how many are: a
/// greater number gives each a smaller share of what all share.
const ENTRIES_AT_FIRST: u32 = 12;

/// How far all holders of an adapter have to be behind before one more copy is
/// asked for: what a load takes, by the users' sheets.
const COPY_AFTER: Duration = Duration::from_millis(250);

impl State {
    pub(super) fn new(setup: &Setup, platform: Platform) -> Self {
        let name = names::instance_name(setup.ip);
        let clock = Clock::start();
        State {
            links: Links::new(name.clone()),
            name,
            port: setup.peer_port,
            platform,
            client: Client::default(),
            changed: Notify::new(),
            settle: Mutex::new(Settle::new(clock.now(), &setup.zones)),
            clock,
            stopping: AtomicBool::new(false),
            entries: AtomicU32::new(ENTRIES_AT_FIRST),
            table: Mutex::default(),
            view: Mutex::new(View::new(setup.zone.clone(), Seed(rand::random()))),
            budget: Mutex::new(Budget::new(setup.retries)),
            sources: Sources::default(),
            editions: Editions::default(),
            zone: setup.zone.clone(),
            zones: setup.zones.clone(),
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

    /// Takes what the owner of some zones says of their targets.
    pub(super) fn set_targets(&self, now: Time, zones: &[String], targets: Vec<Target>) {
        lock(&self.settle).heard(&targets);
        self.view().set_targets(now, zones, targets);
    }

    /// Takes what has changed at targets, by the word of the owner of their zones.
    pub(super) fn change_targets(&self, now: Time, targets: Vec<Target>, gone: &[String]) {
        lock(&self.settle).heard(&targets);
        self.view().change_targets(now, targets, gone);
    }

    /// Tells whether this instance may still be told of what it doesn't know.
    pub(super) fn settling(&self) -> bool {
        lock(&self.settle).pending(self.now())
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

    /// Returns the rank of a control instance that owns `zones` as a source of editions.
    /// The owner of the own zone comes first: it usually stands there, and bytes
    /// between zones cost. Beyond that instances differ in whom they ask.
    pub(super) fn rank(&self, source: SocketAddr, zones: &[String]) -> u64 {
        let far = !zones.contains(&self.zone);
        let spread = stable_hash(&[self.name.as_str().as_bytes(), source.to_string().as_bytes()]);
        (u64::from(far) << 63) | (spread >> 1)
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

    /// Tells whether an adapter of `service` that nobody holds can be ordered
    /// anywhere now.
    pub(super) fn orderable(&self, service: &str) -> bool {
        !self.order_zones(service).is_empty()
    }

    /// Asks for an adapter in the zone where it belongs; a later `round` asks
    /// in its next zone.
    pub(super) fn want(&self, service: &str, adapter: &str, round: usize) {
        let zones = self.order_zones(service);
        if let Some(zone) = home(adapter, &zones, round) {
            self.sources.want(zone, adapter);
        }
    }

    /// Asks for one more copy of an adapter whose holders are all behind.
    pub(super) fn spread(&self, service: &str, adapter: &str) {
        let now = self.now();
        let view = self.view();
        let zone = view.crowded(now, service, adapter, COPY_AFTER);
        let zone = zone.map(str::to_owned);
        drop(view);
        if let Some(zone) = zone {
            self.sources.copy(&zone, adapter);
        }
    }

    /// Returns the zones that have targets of `service` and somebody who gives
    /// orders to them.
    fn order_zones(&self, service: &str) -> Vec<String> {
        let with_targets = self.view().zones_of(service);
        let mut zones = self.sources.zones(self.now());
        zones.retain(|zone| with_targets.contains(zone));
        zones
    }

    pub(super) fn ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && lock(&self.table).is_some()
    }

    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(super) fn seeds(&self) -> Vec<IpAddr> {
        (self.platform.read_seeds)().unwrap_or_default()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/state.rs"]
mod tests;
