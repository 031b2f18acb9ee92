//! State that all requests of an entry instance share.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use account::Meter;
use admission::Gate;
use base::{InstanceName, Seed, SoftwareVersion, Time, stable_hash};
use daemon::{Clock, Links, lock};
use gateway::{
    budget::Budget,
    hedge::Hedging,
    home::{WeightedZone, home},
    list_fallback::{ListFallback, Timing},
    silence::Silences,
    stop::{RunTimes, Stop},
    table::Table,
    view::View,
    warmup::Warmup,
};
use quarantine::Guard;
use telemetry::{event, prom_metrics};
use tokio::{sync::Notify, time::sleep_until};
use tokio_util::sync::CancellationToken;
use web::client::Client;
use wire::{fleet::Target, stream::SoftwareWant};

use super::{
    Setup,
    crash::EndedRuns,
    editions::Editions,
    paths::Paths,
    streams::{self, Streams},
    sync::{ControlPeer, ControlPeers},
};
use crate::{Platform, names};

/// The memory is divided into so many parts, one of which is for events of targets that are held
/// back until they are complete.
const ANSWER_SHARE: u64 = 32;

/// Shared by all requests and by the exchange with control instances.
pub(super) struct State {
    pub(super) name: InstanceName,
    pub(super) port: u16,
    pub(super) platform: Platform,
    pub(super) client: Client,
    pub(super) paths: Arc<Paths>,
    pub(super) links: Links,
    /// Notified when something about targets, zone owners or the configuration has
    /// changed.
    pub(super) changed: Notify,
    /// Notified when a retry was needed where instances lend them to each other.
    pub(super) retry_needed: Notify,
    clock: Clock,
    /// Cancelled once a planned stop has begun.
    stopping: CancellationToken,
    stop: OnceLock<Stop>,
    run_times: Mutex<RunTimes>,
    table: Mutex<Option<(u64, Arc<Table>)>>,
    view: Arc<Mutex<View>>,
    settle: Mutex<Warmup>,
    lists: Mutex<ListFallback>,
    budget: Mutex<Budget>,
    hedging: Mutex<Hedging>,
    silences: Mutex<Silences>,
    ended_runs: Mutex<EndedRuns>,
    guard: Mutex<Guard>,
    meter: Mutex<Meter<SocketAddr>>,
    gate: Mutex<Gate<SocketAddr>>,
    /// Whether requests for engines are let in by shares while room is short.
    admission: AtomicBool,
    pub(super) controls: ControlPeers,
    pub(super) editions: Editions,
    pub(super) streams: Streams,
    /// Availability zone of this instance.
    pub(super) zone: String,
    /// All availability zones.
    pub(super) zones: Vec<String>,
}

/// Backlog of all holders of an adapter, as the time they need to read the prompts sent
/// to them, from which one more copy is requested: the time that a load takes according
/// to the users' data sheets.
const COPY_BACKLOG: Duration = Duration::from_millis(250);

impl State {
    pub(super) fn new(setup: &Setup, platform: Platform) -> Self {
        let name = names::instance_name(setup.ip);
        let clock = Clock::start();
        let mut view = View::new(setup.zone.clone(), Seed(rand::random()));
        view.set_leaving_bound(setup.drain);
        let view = Arc::new(Mutex::new(view));
        let address = Arc::clone(&platform.map_address);
        let paths = Paths::new(setup, clock, address, Arc::clone(&view));
        State {
            gate: Mutex::new(Gate::new(name.clone(), Seed(rand::random()))),
            admission: AtomicBool::new(false),
            links: Links::new(name.clone()),
            name,
            port: setup.peer_port,
            platform,
            client: Client::new(paths.dialer())
                .with_memory(daemon::answers(setup.machine, ANSWER_SHARE)),
            paths,
            changed: Notify::new(),
            retry_needed: Notify::new(),
            settle: Mutex::new(Warmup::new(clock.now(), &setup.zones)),
            clock,
            stopping: CancellationToken::new(),
            stop: OnceLock::new(),
            run_times: Mutex::default(),
            table: Mutex::default(),
            view,
            lists: Mutex::new(ListFallback::new(
                clock.now(),
                &setup.zones,
                Timing::within(setup.drain),
                stable_hash(&[setup.ip.to_string().as_bytes()]),
            )),
            budget: Mutex::new(Budget::new(
                setup.retries,
                clock.now(),
                Seed(rand::random()),
            )),
            hedging: Mutex::new(Hedging::new(setup.hedge_limit, clock.now())),
            silences: Mutex::default(),
            ended_runs: Mutex::default(),
            guard: Mutex::default(),
            meter: Mutex::new(Meter::new(setup.slack, rand::random())),
            controls: ControlPeers::default(),
            editions: Editions::default(),
            streams: Streams::default(),
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

    /// Returns what decides which requests are refused as they crash targets.
    pub(super) fn guard(&self) -> MutexGuard<'_, Guard> {
        lock(&self.guard)
    }

    /// Returns how old the lists of targets are.
    pub(super) fn lists(&self) -> MutexGuard<'_, ListFallback> {
        lock(&self.lists)
    }

    /// Returns the budget of retries.
    pub(super) fn budget(&self) -> MutexGuard<'_, Budget> {
        lock(&self.budget)
    }

    /// Returns what decides which requests are sent to a second target when they are late.
    pub(super) fn hedging(&self) -> MutexGuard<'_, Hedging> {
        lock(&self.hedging)
    }

    /// Returns how long silent targets are waited for.
    pub(super) fn silences(&self) -> MutexGuard<'_, Silences> {
        lock(&self.silences)
    }

    /// Returns what decides which requests are within the limits of accounts.
    pub(super) fn meter(&self) -> MutexGuard<'_, Meter<SocketAddr>> {
        lock(&self.meter)
    }

    /// Returns what decides which requests are let in while room is short.
    pub(super) fn gate(&self) -> MutexGuard<'_, Gate<SocketAddr>> {
        lock(&self.gate)
    }

    /// Returns whether requests for engines are let in by shares while room is short.
    pub(super) fn has_admission(&self) -> bool {
        self.admission.load(Ordering::Relaxed)
    }

    /// Exchanges with a control instance at once.
    pub(super) fn hurry(&self) {
        self.controls.hurry(self.now(), &self.zone);
    }

    pub(super) fn ended_runs(&self) -> MutexGuard<'_, EndedRuns> {
        lock(&self.ended_runs)
    }

    pub(super) fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table)
            .as_ref()
            .map(|(_, table)| Arc::clone(table))
    }

    /// Returns the table in force and the number of its edition.
    pub(super) fn edition_table(&self) -> Option<(u64, Arc<Table>)> {
        lock(&self.table).clone()
    }

    /// Sets the full list of targets of `zones`, as their owner has sent it.
    pub(super) fn set_targets(&self, now: Time, zones: &[String], targets: Vec<Target>) {
        lock(&self.settle).heard(&targets);
        self.view().set_targets(now, zones, targets);
    }

    /// Applies changes of single targets, as the owner of their zones has sent them.
    pub(super) fn change_targets(&self, now: Time, targets: Vec<Target>, gone: &[String]) {
        lock(&self.settle).heard(&targets);
        self.view().change_targets(now, targets, gone);
    }

    /// Returns whether some zones have not been heard from since the start, so that an
    /// unknown target or adapter may still be reported.
    pub(super) fn settling(&self) -> bool {
        lock(&self.settle).pending(self.now())
    }

    pub(super) fn edition(&self) -> u64 {
        lock(&self.table).as_ref().map_or(0, |(number, _)| *number)
    }

    /// Puts a table of routes into force unless a newer one is in force, and returns
    /// whether it did.
    ///
    /// Failure: answers of two control instances cross, and the older one arrives last.
    /// Callers would see the new configuration and then the previous one. The number in
    /// force never decreases while the process runs.
    pub(super) fn set_table(&self, number: u64, table: Table) -> bool {
        let mut held = lock(&self.table);
        if held.as_ref().is_some_and(|(old, _)| *old >= number) {
            return false;
        }
        let admission = table.has_admission();
        self.admission.store(admission, Ordering::Relaxed);
        *held = Some((number, Arc::new(table)));
        true
    }

    /// Returns the rank of a control instance that owns `zones` as a source of editions;
    /// lower ranks are asked first.
    ///
    /// The owner of this instance's own zone ranks first: it usually runs in that zone,
    /// and traffic between zones costs money. The order of the others differs between
    /// instances, so that they don't all ask the same one.
    pub(super) fn source_rank(&self, source: SocketAddr, zones: &[String]) -> u64 {
        let far = !zones.contains(&self.zone);
        let spread = stable_hash(&[self.name.as_str().as_bytes(), source.to_string().as_bytes()]);
        (u64::from(far) << 63) | (spread >> 1)
    }

    pub(super) fn set_entry_count(&self, count: u32) {
        self.meter().set_instances(count);
        self.view().set_instances(self.now(), count);
    }

    /// Counts a request of a caller, which adds to the budget of retries.
    pub(super) fn count_request(&self, service: &str) {
        self.budget().request(self.now(), service);
        self.hedging().request(self.now(), service);
    }

    /// Returns whether anyone's request for `service` of this rank or a more urgent one waits for
    /// room or is refused.
    pub(super) fn is_pressed(&self, service: &str, rank: u8) -> bool {
        let now = self.now();
        let elsewhere = self.has_admission() && self.gate().is_pressed(now, service, rank);
        elsewhere || self.hedging().is_pressed(now)
    }

    /// Returns whether the budget of retries allows an extra send, and charges it if so.
    pub(super) fn may_hedge(&self, service: &str) -> bool {
        let allowance = self.budget().try_early(self.now(), service);
        allowance.allowed
    }

    /// Returns whether the budget allows a retry, and charges it if so.
    pub(super) fn try_retry(&self, service: &str) -> bool {
        let (allowance, instances, tight) = {
            let mut budget = self.budget();
            let allowance = budget.try_retry(self.now(), service);
            (allowance, budget.instances(), budget.is_tight())
        };
        if tight {
            self.retry_needed.notify_one();
        }
        if !allowance.allowed {
            prom_metrics().retries("denied", 1);
            event!(
                telemetry::Event::RetryDenied,
                service = service,
                requests = allowance.requests,
                retries = allowance.retries,
                share = format!("{:.1}", allowance.share),
                instances = instances.unwrap_or_default()
            );
        }
        allowance.allowed
    }

    /// Returns whether any zone owner can order a load of an adapter of `service` now.
    pub(super) fn can_order(&self, service: &str) -> bool {
        !self.orderable_zones(service, None).is_empty()
    }

    /// Requests a load of an adapter in its home zone; a later `round` requests it in its
    /// next zone.
    pub(super) fn request_load(&self, service: &str, adapter: &str, round: usize) {
        let Some(zone) = self.load_zone(service, adapter, round) else {
            return;
        };
        if self.view().has_resting_holder(self.now(), adapter) {
            // The owner loads nothing that is held, unless more copies are asked for.
            self.controls.copy(&zone, adapter);
        }
        self.controls.want(&zone, adapter);
    }

    /// Returns the zone in which a load of an adapter is requested.
    pub(super) fn load_zone(&self, service: &str, adapter: &str, round: usize) -> Option<String> {
        let zones = self.orderable_zones(service, None);
        home(adapter, &zones, round).map(str::to_owned)
    }

    /// Requests a load of an adapter at a target of one software version, in the adapter's
    /// home zone among those that have one; a later `round` requests it in its next zone.
    pub(super) fn request_load_at(
        self: &Arc<Self>,
        service: &str,
        want: SoftwareWant,
        round: usize,
    ) {
        let zones = self.orderable_zones(service, Some(&want.software));
        if let Some(zone) = home(&want.adapter, &zones, round) {
            streams::want(self, zone, want);
        }
    }

    /// Returns the control instances that were heard from lately, `most` at most: the owner
    /// of this instance's own zone first, the others in an order that differs between
    /// instances.
    pub(super) fn nearest_controls(&self, most: usize) -> Vec<Arc<ControlPeer>> {
        let mut heard = self.controls.heard(self.now());
        heard.sort_by_cached_key(|peer| self.source_rank(peer.address, &peer.zones()));
        heard.truncate(most);
        heard
    }

    /// Requests one more copy of an adapter if all its holders have a long backlog.
    pub(super) fn request_copy(&self, service: &str, adapter: &str) {
        if let Some(zone) = self.copy_zone(service, adapter) {
            self.controls.copy(&zone, adapter);
        }
    }

    /// Returns the zone in which one more copy of an adapter is requested, if one is.
    pub(super) fn copy_zone(&self, service: &str, adapter: &str) -> Option<String> {
        let now = self.now();
        let view = self.view();
        let zone = view.zone_for_copy(now, service, adapter, COPY_BACKLOG);
        zone.map(str::to_owned)
    }

    /// Returns the zones that have targets of `service`, of the software `wanted` if any is,
    /// and an owner that gives orders to them.
    fn orderable_zones(
        &self,
        service: &str,
        wanted: Option<&SoftwareVersion>,
    ) -> Vec<WeightedZone> {
        let mut with_targets = self.view().zones_of(self.now(), service, wanted);
        let heard = self.controls.zones(self.now());
        with_targets.retain(|zone| heard.contains(&zone.name));
        with_targets
    }

    pub(super) fn ready(&self) -> bool {
        !self.is_stopping() && lock(&self.table).is_some()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Begins a planned stop, in which new connections are taken for the time `taken` and requests
    /// run on for the time `run`.
    pub(super) fn stop(&self, taken: Duration, run: Duration) {
        let now = self.now();
        // A second stop changes nothing.
        self.stop.get_or_init(|| Stop {
            taken_until: now + taken,
            ends: now + run,
        });
        self.stopping.cancel();
    }

    /// Waits until what still runs has to be answered, as the instance ends.
    pub(super) async fn ended(&self) {
        self.stopping.cancelled().await;
        if let Some(stop) = self.stop.get() {
            sleep_until(self.clock.instant(stop.ends)).await;
        }
    }

    /// Notes how long a request of a route has run.
    pub(super) fn note_run(&self, route: &str, ran: Duration) {
        lock(&self.run_times).note(route, ran);
    }

    /// Returns whether a request of a route can still end if it is sent now, whose caller waits
    /// for the time `left`.
    pub(super) fn may_begin(&self, route: &str, left: Duration) -> bool {
        let Some(stop) = self.stop.get() else {
            return true;
        };
        let now = self.now();
        let typical = lock(&self.run_times).typical(route);
        stop.may_begin(now, now + left, typical)
    }

    pub(super) fn seeds(&self) -> Vec<IpAddr> {
        (self.platform.read_seeds)().unwrap_or_default()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/state.rs"]
pub(super) mod tests;
