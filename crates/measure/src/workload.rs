//! The workloads of both deployments, as the brief sizes them.

use std::time::Duration;

use base::{AdapterKey, AdapterNo, BrandNo, Class, Time, Version};
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

/// How long a run takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The first part, in which all caches are still cold; it is not counted.
    pub warm: Duration,
    /// The counted part.
    pub counted: Duration,
}

impl Span {
    /// That of the report.
    pub const FULL: Span = Span {
        warm: Duration::from_secs(60),
        counted: Duration::from_secs(240),
    };

    /// That of tests over all worlds.
    pub const SHORT: Span = Span {
        warm: Duration::from_secs(10),
        counted: Duration::from_secs(20),
    };

    /// Returns when the count begins.
    #[must_use]
    pub fn start(&self) -> Time {
        Time::ZERO + self.warm
    }

    /// Returns when the run ends.
    #[must_use]
    pub fn end(&self) -> Time {
        Time::ZERO + self.warm + self.counted
    }

    /// Returns where a second of a full run stands in this one.
    fn at(&self, secs: u64) -> Time {
        let full = Span::FULL.end().0 / 1_000_000;
        Time(self.end().0 * secs / full)
    }
}

/// How long somebody who watches waits for the first token before leaving.
const LIVE_PATIENCE: Duration = Duration::from_secs(5);

/// How long somebody takes to read a token.
const READING: Duration = Duration::from_millis(50);

/// How long a listing page or receipt may take.
const CRITICAL_PATIENCE: Duration = Duration::from_secs(5);

/// One request of a workload.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it comes.
    pub at: Time,
    /// Which entry instance the platform's balancer gives it to.
    pub entry: usize,
    /// The adapter; none for the plain service.
    pub key: Option<AdapterKey>,
    /// Whose it is.
    pub brand: BrandNo,
    /// How urgent it is.
    pub class: Class,
    /// Hash of its conversation's head.
    pub prefix: u64,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens of its answer.
    pub tokens: u32,
    /// First token by then; for batch work, the last one.
    pub deadline: Time,
}

impl Arrival {
    /// Returns when the whole answer is due: as soon as somebody has read it who
    /// began at the deadline; for batch work, the deadline.
    #[must_use]
    pub fn whole_by(&self) -> Time {
        match self.class {
            Class::Batch => self.deadline,
            Class::Critical | Class::Live => self.deadline + READING * self.tokens,
        }
    }

    /// Returns what its answer is worth: its tokens by the weight of its class.
    #[must_use]
    pub fn worth(&self) -> u64 {
        let weight = match self.class {
            Class::Critical => 8,
            Class::Live => 4,
            Class::Batch => 1,
        };
        weight * u64::from(self.tokens)
    }
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine goes down and loses everything.
    Down(usize),
    /// The engine comes back empty.
    Up(usize),
    /// The zone is cut off from all others.
    Cut(usize),
    /// The zone is joined again.
    Joined,
}

/// A deployment's sizes.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Its name.
    pub name: &'static str,
    /// Availability zones.
    pub zones: usize,
    /// Model engines, dealt over the zones.
    pub engines: usize,
    /// Plain service replicas, dealt over the zones.
    pub portals: usize,
    /// Entry instances, dealt over the zones.
    pub entries: usize,
    /// Adapters.
    pub adapters: u32,
    /// Adapter slots of an engine.
    pub slots: u32,
    /// Places in an engine's batch.
    pub batch: u32,
    /// Loads a second from the weight store.
    pub loads: f64,
    /// Loads that the store serves at full speed at once.
    pub parallel: u32,
    /// Time that an engine takes for what the plain one does in a unit.
    pub pace: f64,
    /// Brands; adapters are dealt over them.
    pub brands: u32,
}

/// What is asked for over time.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// How long it takes.
    pub span: Span,
    /// The deployment.
    pub sizes: Sizes,
    /// Requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Faults in order of time.
    pub faults: Vec<(Time, Fault)>,
    /// Adapters whose loads fail, always.
    pub broken: Vec<AdapterNo>,
    /// Part of all loads that fail.
    pub failing: f64,
}

impl Workload {
    /// Returns whether a request counts: what comes so late that its time is
    /// not over by the end is left out.
    #[must_use]
    pub fn counts(&self, arrival: &Arrival) -> bool {
        arrival.at >= self.span.start() && arrival.deadline <= self.span.end()
    }

    /// Returns whether a request's worth counts: one to an engine that can be
    /// answered, and whose whole answer is due before the end.
    #[must_use]
    pub fn weighs(&self, arrival: &Arrival) -> bool {
        let within = self.counts(arrival) && arrival.whole_by() <= self.span.end();
        within && arrival.key.is_some() && self.possible(arrival)
    }

    /// Returns whether anybody can load what a request asks for.
    #[must_use]
    pub fn possible(&self, arrival: &Arrival) -> bool {
        let key = arrival.key;
        key.is_none_or(|key| !self.broken.contains(&key.adapter))
    }
}

/// How a workload differs from the plain day. Times are those of a full run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) name: &'static str,
    /// Live requests a second, per engine.
    pub(crate) live: f64,
    /// Batch requests a second, per engine.
    pub(crate) batch: f64,
    /// Skew of popularity: the n-th most popular adapter is asked for by live
    /// callers in proportion to n to the minus this.
    pub(crate) skew: f64,
    /// When the popularity of adapters is dealt anew.
    pub(crate) shifts: &'static [u64],
    /// Part of live requests that the first brand makes; it is else dealt by
    /// popularity alone.
    pub(crate) flood: f64,
    pub(crate) faults: &'static [(u64, Fault)],
    /// Part of adapters that can't be loaded.
    pub(crate) broken: f64,
    pub(crate) failing: f64,
}

pub(crate) const DAY: Shape = Shape {
    name: "day",
    live: 3.0,
    batch: 0.0,
    skew: 1.3,
    shifts: &[],
    flood: 0.0,
    faults: &[],
    broken: 0.0,
    failing: 0.0,
};

const SHAPES: [Shape; 7] = [
    DAY,
    Shape {
        name: "night",
        live: 1.5,
        batch: 6.0,
        ..DAY
    },
    Shape {
        name: "shift",
        shifts: &[140],
        ..DAY
    },
    Shape {
        name: "restart",
        faults: &[(120, Fault::Down(0)), (130, Fault::Up(0))],
        ..DAY
    },
    Shape {
        name: "failing",
        broken: 0.01,
        failing: 0.1,
        ..DAY
    },
    Shape {
        name: "cut",
        faults: &[(120, Fault::Cut(0)), (180, Fault::Joined)],
        ..DAY
    },
    Shape {
        name: "overload",
        live: 16.0,
        batch: 2.0,
        flood: 0.6,
        ..DAY
    },
];

/// Skew of batch work, which screens every call that has closed.
const BATCH_SKEW: f64 = 0.8;

/// Requests of one live conversation, on average.
const TURNS: f64 = 4.0;

/// Seconds between two requests of one conversation, on average.
const THINK_SECS: f64 = 8.0;

/// Requests of one screening, on average.
const SCREENED: f64 = 40.0;

/// Critical requests a second to each plain service replica.
const RECEIPTS: f64 = 5.0;

/// One live request in this many is critical, as an urgent confirmation.
const URGENT_IN: u32 = 100;

/// Returns the sizes of both deployments.
#[must_use]
pub fn deployments() -> [Sizes; 2] {
    let agency = Sizes {
        name: "agency",
        zones: 4,
        engines: 12,
        portals: 4,
        entries: 7,
        adapters: 3_000,
        slots: 8,
        batch: 32,
        loads: 5.0,
        parallel: 2,
        pace: 1.0,
        brands: 3,
    };
    let consortium = Sizes {
        name: "consortium",
        zones: 3,
        engines: 18,
        portals: 3,
        entries: 6,
        loads: 6.0,
        ..agency
    };
    [agency, consortium]
}

/// Returns the names of all workloads, those of the agency first.
#[must_use]
pub fn names() -> Vec<String> {
    pairs()
        .iter()
        .map(|(sizes, shape)| name(sizes, shape))
        .collect()
}

/// Makes the `i`-th workload of [`names`].
///
/// # Panics
///
/// Panics when there is no such workload.
#[must_use]
pub fn one(i: usize, seed: u64) -> Workload {
    within(i, seed, Span::FULL)
}

/// Makes the `i`-th workload of [`names`] for a run of another length, with
/// its faults at the same part of it.
///
/// # Panics
///
/// Panics when there is no such workload.
#[must_use]
pub fn within(i: usize, seed: u64, span: Span) -> Workload {
    let (sizes, shape) = &pairs()[i];
    make(sizes, shape, span, seed.wrapping_mul(1_000) + i as u64)
}

fn pairs() -> Vec<(Sizes, Shape)> {
    let sizes = deployments().into_iter();
    sizes
        .flat_map(|sizes| SHAPES.map(|shape| (sizes.clone(), shape)))
        .collect()
}

fn name(sizes: &Sizes, shape: &Shape) -> String {
    format!("{} {}", sizes.name, shape.name)
}

/// Makes a workload from its seed.
pub(crate) fn make(sizes: &Sizes, shape: &Shape, span: Span, seed: u64) -> Workload {
    let mut maker = Maker {
        rng: ChaCha8Rng::seed_from_u64(seed),
        sizes,
        span,
        arrivals: Vec::new(),
        end: (span.warm + span.counted).as_secs_f64(),
    };
    let mut ranks: Vec<u32> = (0..sizes.adapters).collect();
    ranks.shuffle(&mut maker.rng);
    let broken = (f64::from(sizes.adapters) * shape.broken) as usize;
    // Broken ones are spread over all ranks, hot ones included.
    let broken: Vec<_> = (0..broken)
        .map(|i| AdapterNo(ranks[i * 97 % ranks.len()]))
        .collect();
    let mut later = Vec::new();
    for secs in shape.shifts {
        let mut anew = ranks.clone();
        anew.shuffle(&mut maker.rng);
        later.push((span.at(*secs), anew));
    }
    maker.live(shape, &ranks, &later);
    maker.screening(shape, &ranks);
    maker.receipts();
    let mut arrivals = maker.arrivals;
    arrivals.sort_by_key(|a| a.at);
    let faults = shape.faults.iter();
    Workload {
        name: name(sizes, shape),
        span,
        sizes: sizes.clone(),
        arrivals,
        faults: faults.map(|(secs, f)| (span.at(*secs), *f)).collect(),
        broken,
        failing: shape.failing,
    }
}

/// Draws one workload's arrivals.
struct Maker<'a> {
    rng: ChaCha8Rng,
    sizes: &'a Sizes,
    span: Span,
    arrivals: Vec<Arrival>,
    end: f64,
}

impl Maker<'_> {
    /// Conversations: each stays with one adapter for a few requests.
    fn live(&mut self, shape: &Shape, ranks: &[u32], later: &[(Time, Vec<u32>)]) {
        let popular = Zipf::new(self.sizes.adapters, shape.skew);
        let rate = shape.live * self.sizes.engines as f64 / TURNS;
        let mut at = 0.0;
        loop {
            at += self.gap(1.0 / rate);
            if at > self.end {
                return;
            }
            let dealt = later.iter().rev();
            let mut dealt = dealt.filter(|(from, _)| at >= from.0 as f64 / 1e6);
            let ranks = dealt.next().map_or(ranks, |(_, ranks)| ranks);
            let mut adapter = ranks[popular.draw(&mut self.rng)];
            if shape.flood > 0.0 && self.rng.random_bool(shape.flood) {
                adapter -= adapter % self.sizes.brands;
            }
            self.conversation(at, adapter);
        }
    }

    fn conversation(&mut self, start: f64, adapter: u32) {
        let prefix = self.rng.random_range(1..u64::MAX);
        let mut at = start;
        while at < self.end {
            let class = match self.rng.random_ratio(1, URGENT_IN) {
                true => Class::Critical,
                false => Class::Live,
            };
            let prompt = self.rng.random_range(200..1_000);
            let tokens = self.rng.random_range(40..200);
            self.push(
                at,
                Some(adapter),
                class,
                (prefix, prompt, tokens),
                LIVE_PATIENCE,
            );
            if !self.rng.random_bool(1.0 - 1.0 / TURNS) {
                return;
            }
            at += 2.0 + self.gap(THINK_SECS - 2.0);
        }
    }

    /// Screenings: many requests at once for one adapter, done by morning,
    /// which is the end of the run.
    fn screening(&mut self, shape: &Shape, ranks: &[u32]) {
        if shape.batch == 0.0 {
            return;
        }
        let popular = Zipf::new(self.sizes.adapters, BATCH_SKEW);
        let rate = shape.batch * self.sizes.engines as f64 / SCREENED;
        // Work stops coming early enough that all of it can be done.
        let last = self.end - self.span.counted.as_secs_f64() / 3.0;
        let mut at = 0.0;
        loop {
            at += self.gap(1.0 / rate);
            if at > last {
                return;
            }
            let adapter = ranks[popular.draw(&mut self.rng)];
            let count = self.gap(SCREENED).ceil() as u32;
            let left = Duration::from_secs_f64(self.end - at);
            for _ in 0..count {
                let head = u64::from(adapter) + 1;
                let prompt = self.rng.random_range(400..1_500);
                let tokens = self.rng.random_range(20..120);
                self.push(
                    at,
                    Some(adapter),
                    Class::Batch,
                    (head, prompt, tokens),
                    left,
                );
            }
        }
    }

    fn receipts(&mut self) {
        let mut at = 0.0;
        loop {
            at += self.gap(1.0 / (RECEIPTS * self.sizes.portals as f64));
            if at > self.end {
                return;
            }
            self.push(at, None, Class::Critical, (0, 0, 1), CRITICAL_PATIENCE);
        }
    }

    fn push(
        &mut self,
        secs: f64,
        adapter: Option<u32>,
        class: Class,
        (prefix, prompt, tokens): (u64, u32, u32),
        patience: Duration,
    ) {
        let at = Time((secs * 1e6) as u64);
        let key = adapter.map(|adapter| AdapterKey {
            adapter: AdapterNo(adapter),
            version: Version(1),
        });
        self.arrivals.push(Arrival {
            at,
            entry: self.rng.random_range(0..self.sizes.entries),
            key,
            brand: BrandNo(adapter.unwrap_or(0) % self.sizes.brands),
            class,
            prefix,
            prompt,
            tokens,
            deadline: at + patience,
        });
    }

    /// Draws from the exponential distribution.
    fn gap(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }
}

/// A Zipf distribution over ranks.
struct Zipf {
    sums: Vec<f64>,
}

impl Zipf {
    fn new(count: u32, skew: f64) -> Self {
        let weights = (1..=count).map(|n| f64::from(n).powf(-skew));
        let sums = weights.scan(0.0, |sum, w| {
            *sum += w;
            Some(*sum)
        });
        Zipf {
            sums: sums.collect(),
        }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let all = self.sums[self.sums.len() - 1];
        let x = rng.random::<f64>() * all;
        self.sums
            .partition_point(|sum| *sum < x)
            .min(self.sums.len() - 1)
    }
}
