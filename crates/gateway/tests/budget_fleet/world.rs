//! Entry instances that repeat failed requests, and the control instances that count them, in
//! virtual time.

#[path = "lending.rs"]
mod lending;

use std::{collections::VecDeque, time::Duration};

use base::{InstanceName, Seed, Time};
use gateway::{
    budget::{Broker, Budget, Limits, Sharers},
    hedge::{Due, Hedging, WINDOW_SECONDS},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::lending::Post;
pub(crate) use self::lending::{Lending, NOBODY};

const START: Time = Time(10_000_000);
const STEP: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

/// When callers begin to ask, after the start.
pub(crate) const TRAFFIC: Duration = Duration::from_secs(12);

/// Time that a killed instance takes to come back.
const RESTART: Duration = Duration::from_millis(600);

/// Interval between two exchanges with a control instance.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);

const SERVICE: &str = "s";

#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) entries: usize,
    /// Zones, with a control instance each.
    pub(crate) zones: usize,
    /// Repeats that are allowed in addition to the part of the requests.
    pub(crate) extra: f64,
    /// Requests a second over all instances.
    pub(crate) requests: f64,
    /// The part of the requests that fails and would be repeated.
    pub(crate) failing: f64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Trouble {
    pub(crate) at: Duration,
    pub(crate) until: Duration,
    pub(crate) kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// This part of the entry instances is killed at once.
    EntriesKilled(f64),
    /// All control instances are killed at once.
    ControlsKilled,
    /// The first zone is cut off from the others.
    ZoneCut,
    /// All zones are cut off from each other.
    ZonesApart,
    /// So many more instances begin, as a part of those that there were.
    Added(f64),
    /// Callers ask for a twentieth of before.
    Faded,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// The most repeats within a window, as a part of those allowed.
    pub(crate) worst: f64,
    /// Repeats, and requests that would have been repeated, within the last window.
    pub(crate) repeats: usize,
    pub(crate) wanted: usize,
    /// Repeats that were allowed within the last window.
    pub(crate) allowed: f64,
    /// Repeats that were needed, and those refused, in the whole run.
    pub(crate) needed: usize,
    pub(crate) refused: usize,
    /// Extra sends in the whole run, and the most within a window that ends with one, as a part
    /// of the requests in it.
    pub(crate) extra: usize,
    pub(crate) extra_part: f64,
}

struct Entry {
    zone: usize,
    name: InstanceName,
    budget: Budget,
    hedging: Hedging,
    phase: u64,
    down_until: Time,
    /// Number of its run.
    run: u32,
    reported: Time,
}

struct Control {
    sharers: Sharers,
    broker: Broker,
    down_until: Time,
}

pub(crate) struct World {
    load: Load,
    troubles: Vec<Trouble>,
    now: Time,
    entries: Vec<Entry>,
    controls: Vec<Control>,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
    wanted: VecDeque<Time>,
    extra: VecDeque<Time>,
    outcome: Outcome,
    rng: ChaCha8Rng,
    lending: Lending,
    post: Post,
}

impl World {
    pub(crate) fn new(load: Load, troubles: &[Trouble], seed: u64) -> Self {
        let mut world = World {
            load,
            troubles: troubles.to_vec(),
            now: START,
            entries: Vec::new(),
            controls: Vec::new(),
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            wanted: VecDeque::new(),
            extra: VecDeque::new(),
            outcome: Outcome::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            lending: NOBODY,
            post: Post::default(),
        };
        for zone in 0..load.zones {
            world.controls.push(Control {
                sharers: Sharers::default(),
                broker: Broker::new(zone as u64),
                down_until: START,
            });
        }
        for _ in 0..load.entries {
            world.add_entry();
        }
        world
    }

    fn add_entry(&mut self) {
        let phase = self.rng.random_range(0..250);
        let no = self.entries.len();
        let name = format!("e{no}");
        self.entries.push(Entry {
            zone: no % self.load.zones,
            name: name.as_str().try_into().expect("it is a name"),
            budget: Budget::new(limits(&self.load), self.now, Seed(self.rng.random())),
            hedging: hedging(&self.lending, self.now),
            phase,
            down_until: self.now,
            run: 0,
            reported: self.now,
        });
    }

    /// Runs for `time` and returns what came of it.
    pub(crate) fn run(&mut self, time: Duration) -> Outcome {
        let end = START + time;
        while self.now < end {
            let before = self.now;
            self.now = self.now + STEP;
            self.begin_troubles(before);
            self.exchange();
            self.lend();
            self.callers();
            self.judge();
        }
        self.outcome.repeats = count(&self.repeats, self.now - WINDOW, self.now);
        self.outcome.wanted = count(&self.wanted, self.now - WINDOW, self.now);
        self.outcome.allowed = self.allowed();
        self.outcome
    }

    fn begin_troubles(&mut self, before: Time) {
        let due = self.troubles.iter();
        let due =
            due.filter(|trouble| START + trouble.at >= before && START + trouble.at < self.now);
        let due: Vec<_> = due.map(|trouble| trouble.kind).collect();
        for kind in due {
            match kind {
                Kind::EntriesKilled(part) => self.kill_entries(part),
                Kind::ControlsKilled => self.kill_controls(),
                Kind::Added(part) => {
                    for _ in 0..(part * self.load.entries as f64) as usize {
                        self.add_entry();
                    }
                }
                Kind::ZoneCut | Kind::ZonesApart | Kind::Faded => {}
            }
        }
    }

    fn kill_entries(&mut self, part: f64) {
        for no in 0..self.entries.len() {
            if self.rng.random_bool(part) {
                let spread = Duration::from_millis(self.rng.random_range(0..300));
                let back = self.now + RESTART + spread;
                self.entries[no].budget =
                    Budget::new(limits(&self.load), back, Seed(self.rng.random()));
                self.entries[no].hedging = hedging(&self.lending, back);
                self.entries[no].down_until = back;
                self.entries[no].run += 1;
            }
        }
    }

    fn kill_controls(&mut self) {
        for control in &mut self.controls {
            control.sharers = Sharers::default();
            control.broker = Broker::new(self.rng.random());
            control.down_until = self.now + RESTART;
        }
    }

    fn is_on(&self, kind: Kind) -> bool {
        let since = self.now.since(START);
        let mut active = self.troubles.iter();
        active.any(|t| t.kind == kind && t.at <= since && since < t.until)
    }

    fn exchange(&mut self) {
        let cut = self.is_on(Kind::ZoneCut);
        let all_apart = self.is_on(Kind::ZonesApart);
        for control in &mut self.controls {
            // A cut zone has no leader.
            let up = control.down_until <= self.now;
            control.sharers.leader(self.now, up && !all_apart);
        }
        if cut {
            self.controls[0].sharers.leader(self.now, false);
        }
        let step = self.now.as_millis() / STEP.as_millis() as u64;
        let interval = (SYNC_INTERVAL.as_millis() / STEP.as_millis()) as u64;
        for entry in &mut self.entries {
            if entry.down_until > self.now || !(step + entry.phase).is_multiple_of(interval) {
                continue;
            }
            for (zone, control) in self.controls.iter_mut().enumerate() {
                let apart = cut && (zone == 0) != (entry.zone == 0);
                let apart = apart || all_apart && zone != entry.zone;
                if apart || control.down_until > self.now {
                    continue;
                }
                control.sharers.heard(self.now, &entry.name);
                if let Some(instances) = control.sharers.count() {
                    entry.budget.told(self.now, instances);
                }
            }
        }
    }

    fn callers(&mut self) {
        if self.now < START + TRAFFIC {
            return;
        }
        let faded = if self.is_on(Kind::Faded) { 0.05 } else { 1.0 };
        let rate = self.load.requests * faded * STEP.as_secs_f64();
        let mut due = rate.floor() as usize;
        due += usize::from(self.rng.random_bool(rate.fract()));
        for _ in 0..due {
            // Callers ask for it, also where the instance is down.
            self.requests.push_back(self.now);
            let no = self.rng.random_range(0..self.entries.len());
            let failing = self.rng.random_bool(self.load.failing) && self.needs(no);
            let entry = &mut self.entries[no];
            if entry.down_until > self.now {
                continue;
            }
            entry.budget.request(self.now, SERVICE);
            entry.hedging.request(self.now, SERVICE);
            if self.lending.late > 0.0 && self.rng.random_bool(self.lending.late) {
                self.send_extra(no);
            }
            if !failing {
                continue;
            }
            let entry = &mut self.entries[no];
            self.wanted.push_back(self.now);
            self.outcome.needed += 1;
            if entry.budget.try_retry(self.now, SERVICE).allowed {
                self.repeats.push_back(self.now);
            } else {
                self.outcome.refused += 1;
            }
        }
    }

    /// Sends a request to a second target while the first may still answer, if that is allowed.
    fn send_extra(&mut self, no: usize) {
        let Entry {
            budget, hedging, ..
        } = &mut self.entries[no];
        let due = Due {
            service: SERVICE,
            typical: Duration::from_millis(100),
            waited: Duration::from_millis(400),
            left: Duration::from_secs(5),
            may_repeat: true,
            suspect: false,
            pressed: false,
        };
        let choose = |_| Some(String::new());
        let charge = || budget.try_early(self.now, SERVICE).allowed;
        if hedging.decide(self.now, &due, choose, charge).is_ok() {
            self.repeats.push_back(self.now);
            self.extra.push_back(self.now);
            self.outcome.extra += 1;
            let from = self.now - Duration::from_secs(WINDOW_SECONDS);
            let extra = count(&self.extra, from, self.now) as f64;
            let part = extra / count(&self.requests, from, self.now) as f64;
            self.outcome.extra_part = self.outcome.extra_part.max(part);
        }
    }

    fn judge(&mut self) {
        let repeats = count(&self.repeats, self.now - WINDOW, self.now) as f64;
        self.outcome.worst = self.outcome.worst.max(repeats / self.allowed());
    }

    /// Returns the repeats that are allowed in the window that ends now: by the requests in it,
    /// in the one before or in the one half a window before.
    fn allowed(&self) -> f64 {
        let before = [Duration::ZERO, WINDOW / 2, WINDOW];
        let requests = before.map(|back| {
            let end = self.now - back;
            count(&self.requests, end - WINDOW, end)
        });
        let most = requests.into_iter().max().unwrap_or(0);
        RATIO * most as f64 + self.load.extra
    }
}

fn hedging(lending: &Lending, now: Time) -> Hedging {
    let limit = lending.limit.parse().expect("it is a limit");
    let mut hedging = Hedging::new(Some(limit), now);
    hedging.set_tight(true);
    hedging
}

fn limits(load: &Load) -> Limits {
    Limits {
        ratio: RATIO,
        extra: load.extra,
        window: WINDOW,
    }
}

fn count(times: &VecDeque<Time>, from: Time, to: Time) -> usize {
    let after = |bound: Time| times.partition_point(|at| *at <= bound);
    after(to) - after(from)
}
