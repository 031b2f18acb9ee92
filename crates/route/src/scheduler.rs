//! The owner's scheduler: request queues, loads, and shares of classes and brands.

mod admit;
mod engines;
mod loads;
mod owned;
mod queue;
mod retire;
mod room;
mod send;

use std::collections::{BTreeMap, BTreeSet};

use base::{BrandNo, Class, Failure, Refusal, Seed, TargetNo, Ticket, Time};
use place::{Backoff, Budget, Demand};
use rest::Rests;

use crate::{
    BrandShare, Input, Output, RequestSpec,
    rng::Rng,
    scheduler::{owned::OwnedEngine, queue::Item},
};

/// The engines that this instance owns, and the requests for them.
#[derive(Clone, Debug)]
pub struct Scheduler {
    engines: BTreeMap<TargetNo, OwnedEngine>,
    requests: BTreeMap<Ticket, Request>,
    /// Engines that have asked this instance for rest.
    rests: Rests<TargetNo>,
    demand: Demand,
    budget: Budget,
    backoff: Backoff,
    brands: BTreeMap<BrandNo, Brand>,
    rng: Rng,
    /// Seconds that a load takes: moving average.
    load_secs: f64,
    /// Start of each load in progress.
    loading: BTreeMap<(TargetNo, base::AdapterKey), Time>,
    /// What kept loads from starting at the last check.
    blocked: loads::Blocked,
    /// Loads started since the last one for batch requests.
    loads_since_batch: u32,
    /// Resident adapter versions that the text in force no longer names.
    retired: BTreeSet<base::AdapterKey>,
    /// Time of the last [`Output::Wake`], until it has passed.
    wake: Option<Time>,
}

/// A request known to the scheduler.
#[derive(Clone, Copy, Debug)]
struct Request {
    target: TargetNo,
    spec: RequestSpec,
    /// When the request arrived.
    since: Time,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Queued,
    /// Sent to this incarnation of the engine.
    Sent(base::Incarnation),
}

/// A brand's weight and counters.
#[derive(Clone, Debug)]
struct Brand {
    weight: u32,
    share: BrandShare,
}

impl Scheduler {
    /// Creates a scheduler without engines; `seed` is used to spread `Retry-After`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Scheduler {
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            rests: Rests::new(Seed(seed)),
            demand: Demand::new(),
            budget: Budget::new(Time::ZERO, 0),
            backoff: Backoff::default(),
            brands: BTreeMap::new(),
            rng: Rng::new(seed),
            load_secs: loads::LOAD_SECS,
            loading: BTreeMap::new(),
            blocked: loads::Blocked::default(),
            loads_since_batch: 0,
            retired: BTreeSet::new(),
            wake: None,
        }
    }

    /// Handles one event at `now` and appends the actions that follow to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
        }
        match input {
            Input::Brand { brand, weight } => self.brand(brand).weight = weight.max(1),
            Input::Rests(target, rest) => self.rest(now, target, rest, out),
            Input::Adapter { adapter, .. } => self.demand.reserve(adapter),
            Input::Owned {
                engine,
                held,
                inherited,
            } => self.owned(now, engine, held, inherited, out),
            Input::Lost(target) => self.lost(target, out),
            Input::Arrive {
                ticket,
                target,
                spec,
            } => self.arrive(now, ticket, target, spec, out),
            Input::Cancel(ticket) => self.cancel(ticket),
            Input::FirstToken(_) => {}
            Input::Finished { ticket, ok } => self.finished(now, ticket, ok),
            Input::Report {
                target,
                incarnation,
                taken,
                held,
            } => self.report(now, target, incarnation, taken, &held, out),
            Input::Loaded { target, key, end } => self.loaded(now, target, key, end, out),
            Input::Unloaded { target, key, ok } => self.unloaded(now, target, key, ok, out),
            Input::Budget(rate) => self.budget.set_rate(now, rate),
            Input::VersionChanged { old, new } => self.version_changed(old, new),
            Input::Retired(keys) => self.retired(keys),
            Input::ResidentsRequested(target) => {
                if let Some(owned) = self.engines.get_mut(&target) {
                    owned.publish_full(now, out);
                }
            }
            Input::Wake => {}
        }
        self.advance(now, out);
    }

    /// Returns the number of adapters waiting to be loaded, by which this instance's part
    /// of the store's budget is computed.
    #[must_use]
    pub fn loads_wanted(&self) -> u32 {
        self.count_waiting()
    }

    /// Returns each brand's counters, for `status`.
    #[must_use]
    pub fn shares(&self) -> Vec<BrandShare> {
        self.brands.values().map(|b| b.share.clone()).collect()
    }

    /// Does what has become possible: refuses requests past their deadline, sends
    /// requests, starts loads, and publishes changes of load.
    fn advance(&mut self, now: Time, out: &mut Vec<Output>) {
        self.expire(now, out);
        self.send_all(now, out);
        self.unload_retired(now, out);
        self.load(now, out);
        for owned in self.engines.values_mut() {
            owned.publish_load(now, out);
        }
        self.request_wake(now, out);
    }

    fn arrive(
        &mut self,
        now: Time,
        ticket: Ticket,
        target: TargetNo,
        spec: RequestSpec,
        out: &mut Vec<Output>,
    ) {
        if let Some(key) = spec.key {
            self.demand.note(now, key.adapter, use_weight(spec.class));
        }
        if let Err(failure) = self.admit(now, target, &spec) {
            self.brand(spec.brand).share.refused += 1;
            out.push(Output::Refuse { ticket, failure });
            return;
        }
        let request = Request {
            target,
            spec,
            since: now,
            state: State::Queued,
        };
        self.requests.insert(ticket, request);
        self.enqueue(ticket, &request, false);
    }

    fn enqueue(&mut self, ticket: Ticket, request: &Request, first: bool) {
        let Some(owned) = self.engines.get_mut(&request.target) else {
            return;
        };
        let item = request.item(ticket);
        match first {
            true => owned.queue.push_front(item),
            false => owned.queue.push(item),
        }
        owned.due[item.class as usize].insert((request.spec.deadline, ticket));
        owned.count_batch(&item, request.spec.deadline, true);
        self.brand(item.brand).share.queued += 1;
    }

    fn dequeue(&mut self, ticket: Ticket, request: &Request) {
        if let Some(owned) = self.engines.get_mut(&request.target) {
            let item = request.item(ticket);
            owned.queue.remove(&item);
            owned.due[item.class as usize].remove(&(request.spec.deadline, ticket));
            owned.count_batch(&item, request.spec.deadline, false);
        }
        self.brand(request.spec.brand).share.queued -= 1;
    }

    fn cancel(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket).copied() else {
            return;
        };
        if request.state == State::Queued {
            self.dequeue(ticket, &request);
            self.requests.remove(&ticket);
            return;
        }
        let owned = self.engines.get_mut(&request.target);
        if let Some(sent) = owned.and_then(|b| b.sent.get_mut(&ticket)) {
            sent.caller_gone = true;
        }
    }

    fn finished(&mut self, now: Time, ticket: Ticket, ok: bool) {
        let Some(mut request) = self.requests.remove(&ticket) else {
            return;
        };
        let State::Sent(incarnation) = request.state else {
            self.dequeue(ticket, &request);
            return;
        };
        self.brand(request.spec.brand).share.running -= 1;
        let Some(owned) = self.engines.get_mut(&request.target) else {
            return;
        };
        let Some(sent) = owned.sent.remove(&ticket) else {
            return;
        };
        owned.running[sent.item.class as usize] -= 1;
        owned.preempting -= u32::from(sent.preempted);
        // A request of a former incarnation must not release a pin on the same adapter
        // loaded again since: the adapter would look unused while a request is running on
        // it.
        let slot = request.spec.key.and_then(|key| owned.slots.get_mut(key));
        if let Some(slot) = slot.filter(|_| incarnation == owned.engine.incarnation) {
            slot.pins = slot.pins.saturating_sub(1);
            slot.last_used = now;
        }
        if ok && !sent.preempted {
            owned.record_speed(sent.item.tokens, now.since(sent.at));
        }
        owned.count_batch(&sent.item, request.spec.deadline, false);
        if sent.preempted && !sent.caller_gone {
            request.state = State::Queued;
            self.requests.insert(ticket, request);
            self.enqueue(ticket, &request, true);
        }
    }

    fn brand(&mut self, brand: BrandNo) -> &mut Brand {
        self.brands.entry(brand).or_insert_with(|| Brand {
            weight: 1,
            share: BrandShare {
                brand,
                ..BrandShare::default()
            },
        })
    }

    fn weight(&self, brand: BrandNo) -> u32 {
        self.brands.get(&brand).map_or(1, |b| b.weight)
    }

    fn refuse(&mut self, ticket: Ticket, failure: Failure, out: &mut Vec<Output>) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        self.dequeue(ticket, &request);
        self.brand(request.spec.brand).share.refused += 1;
        out.push(Output::Refuse { ticket, failure });
    }

    /// Refuses queued requests whose deadline has passed.
    fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut late = Vec::new();
        for owned in self.engines.values() {
            for due in &owned.due {
                late.extend(due.range(..=(now, Ticket(u64::MAX))).map(|(_, t)| *t));
            }
        }
        for ticket in late {
            base::hit!(late_refused);
            let wait = self.retry_after(loads::LOAD_SECS);
            let failure = Failure::not_run(Refusal::Deadline).retry_after(wait);
            self.refuse(ticket, failure, out);
        }
    }

    fn request_wake(&mut self, now: Time, out: &mut Vec<Output>) {
        let due = self.engines.values().flat_map(|b| b.due.iter());
        let due = due.filter_map(|d| d.first().map(|(at, _)| *at)).min();
        let load = self.blocked.next(now, &self.budget);
        let waits = |owned: &OwnedEngine| owned.due.iter().any(|due| !due.is_empty());
        let waiting = self.engines.iter().filter(|(_, owned)| waits(owned));
        let rests = waiting.filter_map(|(target, _)| self.rests.wait(now, target));
        let rest = rests.min().map(|wait| now + wait);
        let Some(at) = due.into_iter().chain(load).chain(rest).min() else {
            return;
        };
        if self.wake.is_none_or(|before| at < before) {
            self.wake = Some(at);
            out.push(Output::Wake(at));
        }
    }
}

impl Request {
    fn item(&self, ticket: Ticket) -> Item {
        Item {
            ticket,
            brand: self.spec.brand,
            key: self.spec.key,
            class: self.spec.class,
            tokens: self.spec.tokens.get(),
            since: self.since,
        }
    }
}

/// Returns the weight of one request in an adapter's usage rate, by which adapters are
/// kept: batch requests can wait for a load, interactive ones can't.
fn use_weight(class: Class) -> f32 {
    match class {
        Class::Critical | Class::Live => 1.0,
        Class::Batch => 0.02,
    }
}
