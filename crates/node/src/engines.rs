//! The engines that this instance owns: leases, queues, orders, reports.
//!
//! The lessee (see [`owner`]) says what the lease on an engine permits at a
//! given time, the scheduler (see [`route`]) which requests and orders to send.
//! Nothing is sent to an engine unless both agree.

mod calls;
mod measure;
mod orders;
mod ownership;
mod reports;
mod residents;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use base::{
    AdapterKey, AdapterNo, Failure, Incarnation, Refusal, TargetName, TargetNo, Ticket, Time,
    Version,
};
use member::Observation;
use owner::Lessee;
use route::{Input as SchedulerInput, Output as SchedulerOutput, RouterUpdate, Scheduler};
use wire::platform::State;

use self::{
    orders::{Sent, fencing},
    reports::Poll,
};
use crate::{
    io::{Event, Input, Output},
    msg::{ENGINES, ENTRY, Msg},
    shared::{Out, Shared},
};

/// Time without a reply from the leader after which this instance loads
/// adapters only within its zone's fixed share of the weight store's rate; the
/// duration of a lease.
const LEADER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// An engine that this instance owns or has owned.
#[derive(Debug, Default)]
struct Engine {
    /// Incarnation in its last report; none before the first report under the
    /// current lease, and for an engine that is lost or leaving.
    incarnation: Option<Incarnation>,
    /// Adapters resident according to its last report.
    resident: Vec<AdapterKey>,
    /// When it was last asked for its report.
    last_poll: Time,
    /// Adapters used by the requests that this instance has running there.
    using: BTreeMap<Ticket, AdapterKey>,
    /// What the lease permits; none if the engine is not owned.
    owned: Option<owner::Ownership>,
    /// Whether the last poll failed.
    silent: bool,
    /// Resident adapters as last published to the other entry instances.
    published: BTreeSet<AdapterKey>,
    // The load figures as last published; see `route::Residents`.
    running: u32,
    queued: u32,
    worth: u32,
}

/// The service that manages owned engines.
#[derive(Debug)]
pub(crate) struct Engines {
    lessee: Lessee,
    scheduler: Scheduler,
    engines: BTreeMap<TargetNo, Engine>,
    /// Outstanding orders by number.
    orders: BTreeMap<u64, (Sent, Observation)>,
    next_order: u64,
    /// Outstanding polls by number.
    polls: BTreeMap<u64, Poll>,
    next_poll: u64,
    /// Serials of the published changes, by engine.
    serials: BTreeMap<TargetNo, u64>,
    /// Position in the published changes of engines that others own.
    remote: BTreeMap<TargetNo, residents::Position>,
    /// Engines of this zone as last reported to the leader; none if they have
    /// to be reported with the next heartbeat.
    reported: Option<Vec<TargetName>>,
    /// The version of each adapter that the text in force serves.
    serving: BTreeMap<AdapterNo, Version>,
    /// When the leader last replied to a heartbeat.
    leader_heard: Time,
    waits: measure::Waits,
}

impl Engines {
    pub(crate) fn new(shared: &Shared, now: Time) -> Self {
        let settings = &shared.settings;
        let (name, zone) = (settings.name.clone(), settings.zone.clone());
        Engines {
            lessee: Lessee::new(owner::Config::default(), name, zone, now),
            scheduler: Scheduler::new(settings.seed.get()),
            engines: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_order: 0,
            polls: BTreeMap::new(),
            next_poll: 0,
            serials: BTreeMap::new(),
            remote: BTreeMap::new(),
            reported: None,
            serving: BTreeMap::new(),
            leader_heard: now,
            waits: measure::Waits::default(),
        }
    }

    pub(crate) fn handle(&mut self, shared: &mut Shared, now: Time, msg: Msg, out: &mut Out) {
        match msg {
            Msg::Input(Input::Report { poll, report }) => {
                self.on_report(shared, now, poll, report, out);
            }
            Msg::Input(Input::OrderEnded { order, end }) => {
                self.on_ordered(shared, now, order, end, out);
            }
            Msg::SendHeartbeat {
                serial,
                control,
                address,
            } => self.send_heartbeat(shared, now, (serial, control), address, out),
            Msg::HeartbeatReply(reply) => self.on_heartbeat_reply(shared, now, *reply, out),
            Msg::Replied { purpose, reply } => self.on_reply(shared, now, purpose, reply, out),
            Msg::Called { call, body } => self.on_called(shared, now, call, body, out),
            Msg::Queue {
                ticket,
                target,
                ask,
            } => self.on_queue(shared, now, ticket, target, ask, out),
            Msg::Rests(target, rest) => {
                self.drive_scheduler(shared, now, SchedulerInput::Rests(target, rest), out);
            }
            Msg::Dequeue(ticket) => {
                self.waits.left(ticket);
                self.drive_scheduler(shared, now, SchedulerInput::Cancel(ticket), out);
            }
            Msg::Using {
                ticket,
                target,
                key,
            } => {
                let engine = self.engines.entry(target).or_default();
                engine.using.insert(ticket, key);
            }
            Msg::Began(ticket) => {
                self.drive_scheduler(shared, now, SchedulerInput::FirstToken(ticket), out)
            }
            Msg::Ended { ticket, ok } => self.on_ended(shared, now, ticket, ok, out),
            Msg::TextChanged => self.on_text(shared, now, out),
            Msg::FleetChanged => self.on_fleet(shared, now, out),
            Msg::Drain => self.drive_lessee(shared, now, owner::Input::Renounce, out),
            Msg::Wake => self.on_wake(shared, now, out),
            _ => {}
        }
        self.poll(shared, now, out);
    }

    fn on_wake(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        if now.since(self.leader_heard) >= LEADER_TIMEOUT {
            self.use_fixed_share(shared, now, out);
        }
        self.drive_lessee(shared, now, owner::Input::Wake, out);
        self.drive_scheduler(shared, now, SchedulerInput::Wake, out);
    }

    /// Adds a request to the queue of an engine that is owned here.
    fn on_queue(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        target: TargetNo,
        ask: route::RequestSpec,
        out: &mut Out,
    ) {
        let known = self.engines.get(&target);
        let live = is_live(shared, target);
        let ready = live && known.is_some_and(|engine| engine.owned.is_some());
        if !ready {
            let failure = Failure::not_run(Refusal::Moved);
            out.send(ENTRY, Msg::Refused { ticket, failure });
            return;
        }
        if let (Some(key), Some(engine)) = (ask.key, known) {
            let published = engine.published.contains(&key);
            self.waits
                .arrived(now, ticket, (target, key), ask.class, published);
        }
        let input = SchedulerInput::Arrive {
            ticket,
            target,
            spec: ask,
        };
        self.drive_scheduler(shared, now, input, out);
    }

    fn on_ended(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        ok: bool,
        out: &mut Out,
    ) {
        let used = self
            .engines
            .iter_mut()
            .find_map(|(target, engine)| engine.using.remove(&ticket).map(|_| *target));
        self.drive_scheduler(shared, now, SchedulerInput::Finished { ticket, ok }, out);
        if let Some(target) = used {
            self.report_in_use(shared, now, target, out);
        }
    }

    /// Hands one input to the scheduler and carries out its outputs.
    fn drive_scheduler(
        &mut self,
        shared: &mut Shared,
        now: Time,
        input: SchedulerInput,
        out: &mut Out,
    ) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.scheduler.handle(now, input, &mut outputs);
            for output in outputs {
                inputs.extend(self.carry_out(shared, now, output, out));
            }
        }
    }

    /// Carries out one output of the scheduler; returns the input that it has to
    /// receive next, if any.
    fn carry_out(
        &mut self,
        shared: &mut Shared,
        now: Time,
        output: SchedulerOutput,
        out: &mut Out,
    ) -> Option<SchedulerInput> {
        match output {
            SchedulerOutput::Send {
                ticket,
                target,
                priority,
            } => return self.send(shared, now, ticket, target, priority, out),
            SchedulerOutput::Refuse { ticket, failure } => {
                measure::waited(self.waits.refused(now, ticket), out);
                out.send(ENTRY, Msg::Refused { ticket, failure });
            }
            SchedulerOutput::Preempt(ticket) => out.send(ENTRY, Msg::Preempt(ticket)),
            SchedulerOutput::Load { target, key } => {
                return self.load(shared, now, target, key, out);
            }
            SchedulerOutput::Unload { target, key } => {
                return self.unload(shared, now, target, key, out);
            }
            SchedulerOutput::Residents {
                target,
                full: whole,
                added,
                removed,
                running,
                queued,
                evict_cost: worth,
            } => {
                let change = residents::Change {
                    full: whole,
                    added,
                    removed,
                    running,
                    queued,
                    worth,
                };
                self.publish_residents(shared, now, target, change, out);
            }
            SchedulerOutput::Wake(at) => shared.wake(ENGINES, at),
        }
        None
    }

    /// Dispatches a request to its engine, if the lease still permits it.
    fn send(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        target: TargetNo,
        priority: i32,
        out: &mut Out,
    ) -> Option<SchedulerInput> {
        let name = shared.names.target_name(target).clone();
        let fencing = fencing(shared, target);
        // Guard: after the lease expired, a new owner may be unloading the
        // adapter that the request needs. The lessee compares the lease with
        // the current time, not with a timer that may fire late.
        if self.lessee.may_send(now, &name, fencing).is_none() {
            base::hit!(send_without_lease);
            let failure = Failure::not_run(Refusal::Moved);
            self.waits.left(ticket);
            out.send(ENTRY, Msg::Refused { ticket, failure });
            return Some(SchedulerInput::Finished { ticket, ok: true });
        }
        measure::waited(self.waits.sent(now, ticket), out);
        out.send(ENTRY, Msg::Dispatch { ticket, priority });
        None
    }

    /// Sends the scheduler and the router the adapters that were interned since
    /// the last call.
    fn publish_new_adapters(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        for (adapter, hash) in shared.names.take_new_adapters() {
            self.drive_scheduler(shared, now, SchedulerInput::Adapter { adapter, hash }, out);
            out.send(
                ENTRY,
                Msg::TargetUpdate(RouterUpdate::Adapter { adapter, hash }),
            );
        }
    }

    /// Tells the scheduler which resident adapters the text in force does not
    /// name: adapters that operators removed, and unknown ones in an engine's
    /// report. The scheduler unloads them.
    fn update_retired(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let resident = self
            .engines
            .values()
            .flat_map(|engine| engine.resident.iter().chain(&engine.published));
        let retired =
            resident.filter(|key| orders::weights(shared, &shared.names.resident(**key)).is_none());
        let retired: BTreeSet<AdapterKey> = retired.copied().collect();
        self.drive_scheduler(shared, now, SchedulerInput::Retired(retired), out);
    }

    /// Empties the queues of owned engines that the platform lists as leaving.
    ///
    /// Guard: queued requests would still be sent to such an engine long after
    /// it was listed as leaving, and be cut off when it stops. They are refused
    /// as `not run`, so that each goes to another engine; running requests
    /// continue.
    fn on_fleet(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let owned = self.engines.iter();
        let owned =
            owned.filter(|(_, engine)| engine.owned.is_some() && engine.incarnation.is_some());
        let leaving = owned.map(|(target, _)| *target);
        let leaving: Vec<TargetNo> = leaving.filter(|target| !is_live(shared, *target)).collect();
        for target in leaving {
            base::hit!(leaving_engine_emptied);
            let name = shared.names.target_name(target).clone();
            out.emit(Output::Event(Event::EngineLeaving(name)));
            if let Some(engine) = self.engines.get_mut(&target) {
                engine.incarnation = None;
            }
            self.drive_scheduler(shared, now, SchedulerInput::Lost(target), out);
        }
    }

    fn on_text(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let model = Arc::clone(&shared.model);
        for (name, brand) in &model.brands {
            let input = SchedulerInput::Brand {
                brand: shared.names.brand(name),
                weight: brand.weight,
            };
            self.drive_scheduler(shared, now, input, out);
        }
        let mut rolled = Vec::new();
        for (name, adapter) in &model.adapters {
            let no = shared.names.adapter(name);
            let new = AdapterKey {
                adapter: no,
                version: adapter.serve,
            };
            match self.serving.insert(no, adapter.serve) {
                Some(version) if version != adapter.serve => {
                    rolled.push((
                        AdapterKey {
                            adapter: no,
                            version,
                        },
                        new,
                    ));
                }
                _ => {}
            }
        }
        self.publish_new_adapters(shared, now, out);
        self.update_retired(shared, now, out);
        for (old, new) in rolled {
            self.drive_scheduler(
                shared,
                now,
                SchedulerInput::VersionChanged { old, new },
                out,
            );
            out.send(
                ENTRY,
                Msg::TargetUpdate(RouterUpdate::VersionChanged { old, new }),
            );
        }
    }
}

/// Returns whether the platform lists a target as live.
fn is_live(shared: &Shared, target: TargetNo) -> bool {
    let info = shared.targets.get(&target);
    info.is_some_and(|info| info.listed.state == State::Live)
}
