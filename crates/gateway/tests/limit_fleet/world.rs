//! Entry instances, a zone owner and one target that names a limit, in virtual time.

use std::{collections::VecDeque, time::Duration};

use account::{Account, Limit, Meter, Slack, Tally, Unit};
use base::{AccountName, InstanceName, RequestRate, Time, Tokens};
use gateway::target_limit::{Access, Granter, KnownLimits, Standing};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::limit::{LimitReport, Permit, PermitRequest};

/// Time between two steps of the world, and on the way from one instance to another.
const STEP: Duration = Duration::from_millis(5);

/// The target, and where its limit is counted as an account's.
const TARGET: &str = "t";

/// When the run begins.
pub(crate) const START: Time = Time(10_000_000);

/// When the target names its limit, after [`START`].
pub(crate) const NAMED: Duration = Duration::from_secs(6);

/// Window over which a limit counts, the ratio by which it may be exceeded in it, and the
/// requests beyond that.
const WINDOW: Duration = Duration::from_secs(4);
const RATIO: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// An instance counts from this time after it has heard the limit in an answer.
const TOLD_FOR: Duration = Duration::from_millis(500);

/// How entry instances keep to the limit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Each one has an equal part.
    Equal,
    /// Each one takes all of it at first, and an equal part for those that it hears of.
    Widening,
    /// Counts exchanged, as for accounts.
    Counts,
    /// Permits of the zone owner.
    Permits,
}

/// What goes wrong, from `at` to `until` after the limit was named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trouble {
    pub(crate) at: Duration,
    pub(crate) until: Duration,
    pub(crate) kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// The target's zone is cut off from the others, with its zone owner.
    Cut,
    /// The zone owner is gone; a new one begins empty.
    NoOwner,
    /// This part of the calls between instances is lost.
    Lossy(f64),
    /// This part of the entry instances is down, and begins empty.
    EntriesDown(f64),
    /// The target names this part of its limit.
    Limit(f64),
    /// The target names no limit.
    Unlimited,
}

/// A deployment and what is asked of the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) entries: usize,
    pub(crate) zones: usize,
    /// Requests a second that would go to the target.
    pub(crate) demand: f64,
    /// The limit that it names.
    pub(crate) limit: f64,
    /// Interval between two exchanges with the zone owner.
    pub(crate) exchange: Duration,
    /// Time after the target has named a limit from which that has to be kept.
    pub(crate) contact: Duration,
}

struct Entry {
    limits: KnownLimits,
    meter: Meter<usize>,
    /// Requests that may be sent, of the ways by parts.
    level: f64,
    /// Instances that it has heard of.
    heard: usize,
    /// When an answer first named the limit to it.
    told: Option<Time>,
    phase: u64,
    down: bool,
    /// It has begun anew and knows no targets yet, so that it has no callers.
    fresh: bool,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// The most requests within a window, as a part of what is allowed.
    pub(crate) worst: f64,
    /// Requests that one instance for all would have sent under the limit.
    pub(crate) owed: f64,
    /// Requests that were sent under the limit.
    pub(crate) sent: f64,
}

enum Event {
    /// The head of an answer, with the limit that it names.
    Answer(usize, Option<RequestRate>),
    /// A report and a request for a permit.
    Report(usize, LimitReport),
    /// The answer to it.
    Permit(usize, Option<Permit>),
}

pub(crate) struct World {
    way: Way,
    load: Load,
    troubles: Vec<Trouble>,
    now: Time,
    entries: Vec<Entry>,
    granter: Granter,
    tally: Tally,
    events: VecDeque<(Time, Event)>,
    /// Arrivals at the target, and from which instance.
    arrivals: VecDeque<(Time, usize)>,
    ideal: VecDeque<Time>,
    ideal_level: f64,
    serial: u64,
    outcome: Outcome,
    rng: ChaCha8Rng,
}

fn name(entry: usize) -> InstanceName {
    InstanceName::try_from(format!("e{entry}").as_str()).expect("it is a name")
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_millis((per_second * 1_000.0).round() as u32)
}

impl World {
    pub(crate) fn new(way: Way, load: Load, troubles: &[Trouble], seed: u64) -> Self {
        let mut world = World {
            way,
            load,
            troubles: troubles.to_vec(),
            now: START,
            entries: Vec::new(),
            granter: Granter::default(),
            tally: Tally::new(START, seed),
            events: VecDeque::new(),
            arrivals: VecDeque::new(),
            ideal: VecDeque::new(),
            ideal_level: 0.0,
            serial: 1,
            outcome: Outcome::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for _ in 0..load.entries {
            let entry = world.entry();
            world.entries.push(entry);
        }
        world
    }

    fn entry(&mut self) -> Entry {
        self.serial += 1;
        let instances = self.load.entries as u32;
        let mut meter = Meter::new(slack(), self.serial);
        meter.set_instances(instances);
        Entry {
            limits: KnownLimits::new(self.rng.random(), instances),
            meter,
            level: self.rng.random(),
            heard: 1,
            told: None,
            phase: self.rng.random_range(0..1_000),
            down: false,
            fresh: false,
        }
    }

    /// Runs for `time` and returns what came of it.
    pub(crate) fn run(&mut self, time: Duration) -> Outcome {
        let end = self.now + time;
        let mut step = 0_u64;
        while self.now < end {
            self.now = self.now + STEP;
            step += 1;
            self.step_troubles();
            self.step_events();
            self.step_callers();
            self.step_exchanges(step);
        }
        self.outcome
    }

    fn current<T>(&self, of: impl Fn(Kind) -> Option<T>) -> Option<T> {
        let named = START + NAMED;
        let active =
            |trouble: &&Trouble| self.now >= named + trouble.at && self.now < named + trouble.until;
        let mut active = self.troubles.iter().filter(active);
        active.find_map(|trouble| of(trouble.kind))
    }

    fn is(&self, kind: Kind) -> bool {
        self.current(|k| (k == kind).then_some(())).is_some()
    }

    fn limit_at(&self, at: Time) -> Option<f64> {
        let named = START + NAMED;
        let active = |trouble: &&Trouble| at >= named + trouble.at && at < named + trouble.until;
        let mut limit = Some(self.load.limit);
        for trouble in self.troubles.iter().filter(active) {
            match trouble.kind {
                Kind::Limit(part) => limit = Some(self.load.limit * part),
                Kind::Unlimited => limit = None,
                _ => {}
            }
        }
        limit
    }

    fn limit(&self) -> Option<f64> {
        (self.now >= START + NAMED).then_some(())?;
        self.limit_at(self.now)
    }

    fn step_troubles(&mut self) {
        let down = self.current(|kind| match kind {
            Kind::EntriesDown(part) => Some(part),
            _ => None,
        });
        let down = (down.unwrap_or(0.0) * self.load.entries as f64) as usize;
        for no in 0..self.load.entries {
            if self.entries[no].down != (no < down) {
                self.entries[no] = self.entry();
                self.entries[no].down = no < down;
                self.entries[no].fresh = true;
            }
        }
        if self.is(Kind::NoOwner) {
            self.granter = Granter::default();
            self.serial += 1;
            self.tally = Tally::new(self.now, self.serial);
        }
    }

    /// Returns whether an entry instance reaches the target.
    fn reaches(&self, entry: usize) -> bool {
        !self.is(Kind::Cut) || entry.is_multiple_of(self.load.zones)
    }

    /// Returns whether a call to the zone owner or its answer arrives.
    fn arrives(&mut self, entry: usize) -> bool {
        let lost = self.current(|kind| match kind {
            Kind::Lossy(part) => Some(part),
            _ => None,
        });
        let lost = self.rng.random_bool(lost.unwrap_or(0.0));
        !lost && self.reaches(entry) && !self.is(Kind::NoOwner)
    }

    fn step_callers(&mut self) {
        let step = STEP.as_secs_f64();
        if let Some(limit) = self.limit() {
            let burst = 1.0 + limit / 2.0;
            self.ideal_level = (self.ideal_level + limit * step).min(burst);
        }
        for entry in &mut self.entries {
            let part = match self.way {
                Way::Widening => 1.0 / entry.heard as f64,
                _ => 1.0 / self.load.entries as f64,
            };
            entry.level = (entry.level + self.load.limit * part * step).min(1.0);
        }
        // Callers are at the instances unevenly.
        let all = self.load.entries;
        let up: Vec<usize> = (0..all).filter(|no| self.serves(*no)).collect();
        if up.is_empty() || !self.rng.random_bool((self.load.demand * step).min(1.0)) {
            return;
        }
        let draw: f64 = self.rng.random();
        let no = up[((draw * draw) * up.len() as f64) as usize];
        if self.reaches(no) {
            self.request(no);
        }
    }

    fn serves(&self, no: usize) -> bool {
        !self.entries[no].down && !self.entries[no].fresh
    }

    fn request(&mut self, no: usize) {
        self.count_ideal();
        let now = self.now;
        match self.way {
            Way::Equal | Way::Widening => {
                if !self.entries[no].limits.is_limited(TARGET) {
                    self.send(no);
                } else if self.entries[no].level >= 1.0 {
                    self.entries[no].level -= 1.0;
                    self.send(no);
                }
            }
            Way::Counts => {
                let account = self.account();
                let limited = self.entries[no].limits.is_limited(TARGET);
                let admitted = self.entries[no].meter.admit(now, &account, 1.0);
                if !limited || admitted.is_ok() {
                    self.send(no);
                } else if admitted.is_err_and(|denied| denied.unsure) && self.arrives(no) {
                    self.exchange_counts(no);
                    let meter = &mut self.entries[no].meter;
                    if meter.admit_again(now, &account, 1.0).is_ok() {
                        self.send(no);
                    }
                }
            }
            Way::Permits => match self.entries[no].limits.standing(now, TARGET) {
                Standing::Blocked(_) => {}
                Standing::Free | Standing::Limited => self.request_permit(no),
            },
        }
    }

    fn request_permit(&mut self, no: usize) {
        match self.entries[no].limits.take(self.now, TARGET) {
            Access::Free => self.send(no),
            Access::Blocked(_) | Access::Asked => {}
            Access::Ask => {
                if self.arrives(no) {
                    let report = self.report(no, true);
                    self.events
                        .push_back((self.now + STEP, Event::Report(no, report)));
                } else {
                    self.alone(no);
                }
            }
        }
    }

    fn alone(&mut self, no: usize) {
        let access = self.entries[no].limits.take_alone(self.now, TARGET);
        if access == Access::Free {
            self.send(no);
        }
    }

    fn report(&mut self, no: usize, ask: bool) -> LimitReport {
        let (seen, before) = self.entries[no].limits.take_report(self.now, |_| true);
        LimitReport {
            instance: name(no),
            seen,
            before,
            want: ask.then(|| PermitRequest {
                target: TARGET.to_owned(),
                account: None,
                priority: 1,
            }),
        }
    }

    fn send(&mut self, no: usize) {
        self.entries[no].limits.sent(self.now, TARGET);
        self.arrivals.push_back((self.now, no));
        let named = self.limit().map(rate);
        let took = Duration::from_millis(self.rng.random_range(20..400));
        self.events
            .push_back((self.now + took, Event::Answer(no, named)));
        if self.limit().is_some() {
            self.outcome.sent += 1.0;
        }
        self.check();
    }

    /// Counts a request that one instance for all would send.
    fn count_ideal(&mut self) {
        let Some(limit) = self.limit() else {
            return;
        };
        let cut = self.is(Kind::Cut);
        let recent = |at: &Time| self.now.since(*at) < WINDOW;
        let before = self.arrivals.iter().map(|(at, _)| at);
        let before = before.filter(|at| **at < START + NAMED && recent(at));
        let own = self.ideal.iter().filter(|at| recent(at)).count();
        let all = before.count() + own;
        let fits = (all as f64) < limit * WINDOW.as_secs_f64() + EXTRA;
        if self.ideal_level >= 1.0 && fits && (!cut || self.reaches(0)) {
            self.ideal_level -= 1.0;
            self.ideal.push_back(self.now);
            self.outcome.owed += 1.0;
        }
    }

    fn check(&mut self) {
        let contact = START + NAMED + self.load.contact;
        if self.now < contact {
            return;
        }
        let (now, entries) = (self.now, &self.entries);
        let within = self.arrivals.iter().filter(|(at, no)| {
            let told = entries[*no].told;
            now.since(*at) < WINDOW && told.is_some_and(|told| now.since(told) >= TOLD_FOR)
        });
        let count = within.count() as f64;
        let slice = Duration::from_millis(100);
        let slices = (0..40).map(|no| self.limit_at(now - slice * no));
        if slices.clone().any(|limit| limit.is_none()) {
            return;
        }
        let limit: f64 = slices.flatten().sum::<f64>() * slice.as_secs_f64();
        let allowed = limit * RATIO + EXTRA;
        self.outcome.worst = self.outcome.worst.max(count / allowed);
    }

    fn step_events(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.events);
        let (due, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.events = rest.into();
        for (_, event) in due {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Answer(no, limit) => {
                let entry = &mut self.entries[no];
                if limit.is_some() {
                    entry.told.get_or_insert(now);
                }
                let change = entry.limits.seen(now, TARGET, limit);
                if change.is_some() && self.way == Way::Permits {
                    self.send_report(no);
                }
            }
            Event::Report(no, report) => {
                self.granter.report(now, &report);
                let instances = self.load.entries;
                let want = report.want.as_ref();
                let permit =
                    want.map(|want| self.granter.ask(now, &report.instance, want, instances));
                self.events
                    .push_back((now + STEP, Event::Permit(no, permit)));
            }
            Event::Permit(no, Some(permit)) => {
                match self.entries[no].limits.permitted(now, TARGET, permit) {
                    Access::Free => self.send(no),
                    Access::Ask => self.alone(no),
                    Access::Blocked(_) | Access::Asked => {}
                }
            }
            Event::Permit(_, None) => {}
        }
    }

    fn send_report(&mut self, no: usize) {
        let report = self.report(no, false);
        if report.seen.is_empty() && report.before.is_empty() {
            return;
        }
        if self.arrives(no) {
            self.events
                .push_back((self.now + STEP, Event::Report(no, report)));
        } else {
            let limits = &mut self.entries[no].limits;
            limits.keep_report(&report.seen, &report.before);
        }
    }

    fn step_exchanges(&mut self, step: u64) {
        let steps = (self.load.exchange.as_millis() / STEP.as_millis()) as u64;
        for no in 0..self.load.entries {
            let turn = (step + self.entries[no].phase).is_multiple_of(steps);
            if self.entries[no].down || !turn || !self.arrives(no) {
                continue;
            }
            self.entries[no].fresh = false;
            match self.way {
                Way::Permits => {
                    self.tell(no);
                    self.send_report(no);
                }
                Way::Counts => self.exchange_counts(no),
                Way::Widening => self.hear_of_others(no),
                Way::Equal => {}
            }
        }
    }

    /// Tells an entry instance what the zone owner knows.
    fn tell(&mut self, no: usize) {
        let now = self.now;
        let limits = &mut self.entries[no].limits;
        match self.granter.limit(TARGET) {
            Some(told) => drop(limits.told(now, TARGET, told)),
            None if limits.is_limited(TARGET) => limits.report_again(|_| true),
            None => {}
        }
    }

    fn hear_of_others(&mut self, no: usize) {
        let knowing = self.entries.iter().filter(|e| e.limits.is_limited(TARGET));
        let knowing = knowing.count().max(1);
        self.entries[no].heard = knowing;
    }

    fn account(&self) -> Account {
        let limit = self.limit().unwrap_or(self.load.limit);
        Account {
            name: AccountName::try_from(TARGET).expect("it is a name"),
            priority: None,
            limit: Some(Limit {
                rate: limit,
                burst: 1.0 + limit / 2.0,
                unit: Unit::Tokens { unknown: Tokens(1) },
            }),
        }
    }

    fn exchange_counts(&mut self, no: usize) {
        let (now, name) = (self.now, name(no));
        let usage = self.entries[no].meter.usage(now);
        self.tally.add(now, &name, &usage);
        let others = self.tally.others(now, &name, &usage);
        self.entries[no].meter.told(now, 0, &usage, &others);
    }
}

/// How far the limit may be exceeded, as accounts' meters want to know it.
fn slack() -> Slack {
    Slack {
        window: WINDOW,
        overrun: RATIO - 1.0,
        extra: EXTRA,
    }
}
