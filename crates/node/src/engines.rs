//! The engines that this instance owns: leases, queues, orders, reports.
//!
//! The holder says what this instance may do to an engine at this very
//! moment, the scheduler what it should do; nothing reaches an engine unless both
//! agree.

mod confirm;
mod measure;
mod orders;
mod own;
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
use route::{Input as SchedulerInput, News, Output as SchedulerOutput, Scheduler};
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

/// Silence of the leader after which only this zone's fixed part of the
/// store's budget is used.
const SILENT: Duration = Duration::from_millis(3_000);

/// One engine of this zone.
#[derive(Debug, Default)]
struct Engine {
    life: Option<Incarnation>,
    held: Vec<AdapterKey>,
    polled: Time,
    /// Requests running there through this instance, by what they use.
    using: BTreeMap<Ticket, AdapterKey>,
    owned: Option<owner::Ownership>,
    silent: bool,
    /// What the other entry instances were told that it holds.
    listed: BTreeSet<AdapterKey>,
    running: u32,
    queued: u32,
    worth: u32,
}

/// The engines and what is known of them.
#[derive(Debug)]
pub(crate) struct Engines {
    holder: Lessee,
    scheduler: Scheduler,
    engines: BTreeMap<TargetNo, Engine>,
    orders: BTreeMap<u64, (Sent, Observation)>,
    next_order: u64,
    polls: BTreeMap<u64, Poll>,
    next_poll: u64,
    serials: BTreeMap<TargetNo, u64>,
    /// What was heard of engines that others own.
    others: BTreeMap<TargetNo, residents::Heard>,
    /// Engines of this zone as last told to the leader.
    told: Option<Vec<TargetName>>,
    /// The version of each adapter that the text in force serves.
    serving: BTreeMap<AdapterNo, Version>,
    heard: Time,
    waits: measure::Waits,
}

impl Engines {
    pub(crate) fn new(shared: &Shared, now: Time) -> Self {
        let settings = &shared.settings;
        let (name, zone) = (settings.name.clone(), settings.zone.clone());
        Engines {
            holder: Lessee::new(owner::Config::default(), name, zone, now),
            scheduler: Scheduler::new(settings.seed.get()),
            engines: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_order: 0,
            polls: BTreeMap::new(),
            next_poll: 0,
            serials: BTreeMap::new(),
            others: BTreeMap::new(),
            told: None,
            serving: BTreeMap::new(),
            heard: now,
            waits: measure::Waits::default(),
        }
    }

    pub(crate) fn handle(&mut self, shared: &mut Shared, now: Time, msg: Msg, out: &mut Out) {
        match msg {
            Msg::Input(Input::Report { poll, report }) => {
                self.on_report(shared, now, poll, report, out);
            }
            Msg::Input(Input::Ordered { order, end }) => {
                self.on_ordered(shared, now, order, end, out);
            }
            Msg::SendBeat {
                serial,
                control,
                address,
            } => self.send_beat(shared, now, (serial, control), address, out),
            Msg::Beat(reply) => self.on_beat(shared, now, *reply, out),
            Msg::Replied { purpose, reply } => self.on_reply(shared, now, purpose, reply, out),
            Msg::Called { call, body } => self.on_called(shared, now, call, body, out),
            Msg::Queue {
                ticket,
                target,
                ask,
            } => self.on_queue(shared, now, ticket, target, ask, out),
            Msg::Dequeue(ticket) => {
                self.waits.left(ticket);
                self.scheduler(shared, now, SchedulerInput::Cancel(ticket), out);
            }
            Msg::Using {
                ticket,
                target,
                key,
            } => {
                let engine = self.engines.entry(target).or_default();
                engine.using.insert(ticket, key);
            }
            Msg::Began(ticket) => self.scheduler(shared, now, SchedulerInput::Began(ticket), out),
            Msg::Ended { ticket, ok } => self.on_ended(shared, now, ticket, ok, out),
            Msg::TextChanged => self.on_text(shared, now, out),
            Msg::FleetChanged => self.on_fleet(shared, now, out),
            Msg::Drain => self.hold(shared, now, owner::Input::Renounce, out),
            Msg::Wake => self.on_wake(shared, now, out),
            _ => {}
        }
        self.poll(shared, now, out);
    }

    fn on_wake(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        if now.since(self.heard) >= SILENT {
            self.budget_alone(shared, now, out);
        }
        self.hold(shared, now, owner::Input::Wake, out);
        self.scheduler(shared, now, SchedulerInput::Wake, out);
    }

    /// Takes a request into the queue of an engine that is owned here.
    fn on_queue(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        target: TargetNo,
        ask: route::Ask,
        out: &mut Out,
    ) {
        let known = self.engines.get(&target);
        let staying = stays(shared, target);
        let ready = staying && known.is_some_and(|engine| engine.owned.is_some());
        if !ready {
            let failure = Failure::not_run(Refusal::Moved);
            out.tell(ENTRY, Msg::Refused { ticket, failure });
            return;
        }
        if let (Some(key), Some(engine)) = (ask.key, known) {
            let listed = engine.listed.contains(&key);
            self.waits
                .arrived(now, ticket, (target, key), ask.class, listed);
        }
        let input = SchedulerInput::Arrive {
            ticket,
            target,
            ask,
        };
        self.scheduler(shared, now, input, out);
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
        self.scheduler(shared, now, SchedulerInput::Finished { ticket, ok }, out);
        if let Some(target) = used {
            self.tell_using(shared, now, target, out);
        }
    }

    /// Hands one input to the scheduler and carries out what it wants.
    fn scheduler(&mut self, shared: &mut Shared, now: Time, input: SchedulerInput, out: &mut Out) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut wants = Vec::new();
            self.scheduler.handle(now, input, &mut wants);
            for want in wants {
                inputs.extend(self.carry_out(shared, now, want, out));
            }
        }
    }

    /// Carries out one wish of the scheduler; returns what it has to hear at once.
    fn carry_out(
        &mut self,
        shared: &mut Shared,
        now: Time,
        want: SchedulerOutput,
        out: &mut Out,
    ) -> Option<SchedulerInput> {
        match want {
            SchedulerOutput::Send {
                ticket,
                target,
                priority,
            } => return self.send(shared, now, ticket, target, priority, out),
            SchedulerOutput::Refuse { ticket, failure } => {
                measure::waited(self.waits.refused(now, ticket), out);
                out.tell(ENTRY, Msg::Refused { ticket, failure });
            }
            SchedulerOutput::Preempt(ticket) => out.tell(ENTRY, Msg::GiveWay(ticket)),
            SchedulerOutput::Load { target, key } => {
                return self.load(shared, now, target, key, out);
            }
            SchedulerOutput::Unload { target, key } => {
                return self.unload(shared, now, target, key, out);
            }
            SchedulerOutput::Residents {
                target,
                whole,
                added,
                removed,
                running,
                queued,
                worth,
            } => {
                let change = residents::Change {
                    whole,
                    added,
                    removed,
                    running,
                    queued,
                    worth,
                };
                self.tell_residents(shared, now, target, change, out);
            }
            SchedulerOutput::Wake(at) => shared.wake(ENGINES, at),
        }
        None
    }

    /// Lets a request go to its engine, if this instance may still send there.
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
        // Guard: a request sent after the lease lapsed could meet an engine
        // whose new owner is unloading the adapter. The holder compares the
        // lease with the clock now, not with a timer that may be late.
        if self.holder.may_send(now, &name, fencing).is_none() {
            base::hit!(send_without_lease);
            let failure = Failure::not_run(Refusal::Moved);
            self.waits.left(ticket);
            out.tell(ENTRY, Msg::Refused { ticket, failure });
            return Some(SchedulerInput::Finished { ticket, ok: true });
        }
        measure::waited(self.waits.sent(now, ticket), out);
        out.tell(ENTRY, Msg::Turn { ticket, priority });
        None
    }

    /// Tells the scheduler of adapters that were numbered since the last time.
    fn teach(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        for (adapter, hash) in shared.names.take_fresh() {
            self.scheduler(shared, now, SchedulerInput::Adapter { adapter, hash }, out);
            out.tell(ENTRY, Msg::News(News::Adapter { adapter, hash }));
        }
    }

    /// Tells the scheduler what its engines hold beyond the text in force: adapters
    /// that operators removed, and what nobody here has loaded.
    fn retire(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let held = self
            .engines
            .values()
            .flat_map(|engine| engine.held.iter().chain(&engine.listed));
        let gone =
            held.filter(|key| orders::weights(shared, &shared.names.resident(**key)).is_none());
        let gone: BTreeSet<AdapterKey> = gone.copied().collect();
        self.scheduler(shared, now, SchedulerInput::Retired(gone), out);
    }

    /// Takes the queues of engines that the platform calls leaving apart.
    ///
    /// Guard: what waits in the queue of such an engine would still be sent to
    /// it, long after the list's word, and be cut off when it stops. Refused as
    /// `not run`, each request goes to another engine; those running go on.
    fn on_fleet(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let owned = self.engines.iter();
        let owned = owned.filter(|(_, engine)| engine.owned.is_some() && engine.life.is_some());
        let leaving = owned.map(|(target, _)| *target);
        let leaving: Vec<TargetNo> = leaving.filter(|target| !stays(shared, *target)).collect();
        for target in leaving {
            base::hit!(leaving_engine_emptied);
            let name = shared.names.target_name(target).clone();
            out.emit(Output::Event(Event::EngineLeaving(name)));
            if let Some(engine) = self.engines.get_mut(&target) {
                engine.life = None;
            }
            self.scheduler(shared, now, SchedulerInput::Lost(target), out);
        }
    }

    fn on_text(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let model = Arc::clone(&shared.model);
        for (name, brand) in &model.brands {
            let input = SchedulerInput::Brand {
                brand: shared.names.brand(name),
                weight: brand.weight,
            };
            self.scheduler(shared, now, input, out);
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
        self.teach(shared, now, out);
        self.retire(shared, now, out);
        for (old, new) in rolled {
            self.scheduler(shared, now, SchedulerInput::Rolled { old, new }, out);
            out.tell(ENTRY, Msg::News(News::Rolled { old, new }));
        }
    }
}

/// Tells whether the platform lists a target as staying.
fn stays(shared: &Shared, target: TargetNo) -> bool {
    let info = shared.targets.get(&target);
    info.is_some_and(|info| info.listed.state == State::Live)
}
