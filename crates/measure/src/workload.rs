//! The workloads of both deployments, with the sizes given by their requirements.

use std::time::Duration;

use base::{AdapterKey, AdapterNo, BrandNo, Class, Time, Version};
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

/// Length of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Warm-up with initially cold caches; it is not counted.
    pub warm_up: Duration,
    /// The counted period, which follows the warm-up.
    pub counted: Duration,
}

impl Span {
    /// Span of a full measurement.
    pub const FULL: Span = Span {
        warm_up: Duration::from_secs(60),
        counted: Duration::from_secs(240),
    };

    /// Short span, for tests that run all worlds.
    pub const SHORT: Span = Span {
        warm_up: Duration::from_secs(10),
        counted: Duration::from_secs(20),
    };

    /// Returns the start of the counted period.
    #[must_use]
    pub fn start(&self) -> Time {
        Time::ZERO + self.warm_up
    }

    /// Returns the end of the run, which is also the end of the counted period.
    #[must_use]
    pub fn end(&self) -> Time {
        Time::ZERO + self.warm_up + self.counted
    }

    /// Scales a time in seconds of a full run to this run.
    fn at(&self, secs: u64) -> Time {
        let full = Span::FULL.end().0 / 1_000_000;
        Time(self.end().0 * secs / full)
    }
}

/// How long an interactive caller waits for the first token before disconnecting.
const LIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a reader takes per token.
const READ_TIME: Duration = Duration::from_millis(50);

/// Time limit of a listing page or receipt.
const CRITICAL_TIMEOUT: Duration = Duration::from_secs(5);

/// One request of a workload.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of arrival.
    pub at: Time,
    /// Index of the entry instance to which the platform's load balancer sends it.
    pub entry: usize,
    /// The adapter; `None` for the plain service.
    pub key: Option<AdapterKey>,
    /// The brand that sends it.
    pub brand: BrandNo,
    /// Its priority class.
    pub class: Class,
    /// Hash of the conversation's prefix, which engines cache.
    pub prefix: u64,
    /// Number of tokens of its prompt.
    pub prompt: u32,
    /// Number of tokens of its answer.
    pub tokens: u32,
    /// Deadline of the first token; for batch work, of the last one.
    pub deadline: Time,
}

impl Arrival {
    /// Returns when the complete answer is due: when a reader who began at the deadline
    /// reaches its end; for batch work, the deadline.
    #[must_use]
    pub fn complete_by(&self) -> Time {
        match self.class {
            Class::Batch => self.deadline,
            Class::Critical | Class::Live => self.deadline + READ_TIME * self.tokens,
        }
    }

    /// Returns the worth of its answer: its number of tokens times the weight of its class.
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

/// A fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine goes down and loses its adapters, cache and requests.
    Down(usize),
    /// The engine comes back empty.
    Up(usize),
    /// A network partition cuts the zone off from all others.
    Cut(usize),
    /// The network partition ends.
    Healed,
}

/// Sizes of a deployment.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of model engines, distributed round-robin over the zones.
    pub engines: usize,
    /// Number of plain service replicas, distributed round-robin over the zones.
    pub replicas: usize,
    /// Number of entry instances, distributed round-robin over the zones.
    pub entries: usize,
    /// Number of adapters.
    pub adapters: u32,
    /// Adapter slots of an engine.
    pub slots: u32,
    /// Places in an engine's batch.
    pub batch: u32,
    /// Loads per second that the weight store can serve.
    pub load_rate: f64,
    /// Number of concurrent loads that the store serves at full speed.
    pub parallel: u32,
    /// Step time of an engine relative to the reference engine; 1.0 is equal.
    pub pace: f64,
    /// Number of brands; adapters are distributed round-robin over them.
    pub brands: u32,
}

/// The requests and faults of a run over time.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name of the workload, as tables print it.
    pub name: String,
    /// Length of the run.
    pub span: Span,
    /// Sizes of the deployment that it runs on.
    pub sizes: Sizes,
    /// Requests in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Faults in order of time.
    pub faults: Vec<(Time, Fault)>,
    /// Adapters whose loads always fail.
    pub unloadable: Vec<AdapterNo>,
    /// Probability with which a load of any other adapter fails.
    pub failure_rate: f64,
}

impl Workload {
    /// Returns whether a request counts: it arrives in the counted period and its deadline
    /// is not after the end of the run.
    #[must_use]
    pub fn counts(&self, arrival: &Arrival) -> bool {
        arrival.at >= self.span.start() && arrival.deadline <= self.span.end()
    }

    /// Returns whether a request's worth counts: it asks for an adapter that can be loaded,
    /// and its complete answer is due by the end of the run.
    #[must_use]
    pub fn counts_worth(&self, arrival: &Arrival) -> bool {
        let within = self.counts(arrival) && arrival.complete_by() <= self.span.end();
        within && arrival.key.is_some() && self.loadable(arrival)
    }

    /// Returns whether the adapter that a request asks for can be loaded at all.
    #[must_use]
    pub fn loadable(&self, arrival: &Arrival) -> bool {
        let key = arrival.key;
        key.is_none_or(|key| !self.unloadable.contains(&key.adapter))
    }
}

/// Demand and faults of a workload. Times are seconds of a full run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) name: &'static str,
    /// Live requests per second and engine.
    pub(crate) live: f64,
    /// Batch requests per second and engine.
    pub(crate) batch: f64,
    /// Exponent of the Zipf distribution of popularity among live callers: requests for the
    /// n-th most popular adapter are proportional to n^-skew.
    pub(crate) skew: f64,
    /// Seconds at which the popularity of adapters is reshuffled.
    pub(crate) reshuffles: &'static [u64],
    /// Probability with which a live conversation is moved to the first brand; brands
    /// otherwise get requests by the popularity of their adapters alone.
    pub(crate) flood: f64,
    pub(crate) faults: &'static [(u64, Fault)],
    /// Fraction of adapters that can't be loaded.
    pub(crate) unloadable: f64,
    /// Probability with which a load of any other adapter fails.
    pub(crate) failure_rate: f64,
}

pub(crate) const DAY: Shape = Shape {
    name: "day",
    live: 3.0,
    batch: 0.0,
    skew: 1.3,
    reshuffles: &[],
    flood: 0.0,
    faults: &[],
    unloadable: 0.0,
    failure_rate: 0.0,
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
        reshuffles: &[140],
        ..DAY
    },
    Shape {
        name: "restart",
        faults: &[(120, Fault::Down(0)), (130, Fault::Up(0))],
        ..DAY
    },
    Shape {
        name: "failing",
        unloadable: 0.01,
        failure_rate: 0.1,
        ..DAY
    },
    Shape {
        name: "cut",
        faults: &[(120, Fault::Cut(0)), (180, Fault::Healed)],
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

/// Zipf exponent of batch work, which screens the submissions to every casting call that
/// has closed; so its demand is spread more evenly than that of live callers.
const BATCH_SKEW: f64 = 0.8;

/// Mean number of requests of a live conversation.
const CONVERSATION_LENGTH: f64 = 4.0;

/// Mean number of seconds between two requests of a conversation.
const THINK_SECS: f64 = 8.0;

/// Mean number of requests of a screening.
const SCREENING_SIZE: f64 = 40.0;

/// Critical requests per second and plain service replica.
const RECEIPT_RATE: f64 = 5.0;

/// One live request in this many is critical, such as an urgent confirmation.
const CRITICAL_ONE_IN: u32 = 100;

/// Returns the sizes of both deployments.
#[must_use]
pub fn deployments() -> [Sizes; 2] {
    let agency = Sizes {
        name: "agency",
        zones: 4,
        engines: 12,
        replicas: 4,
        entries: 7,
        adapters: 3_000,
        slots: 8,
        batch: 32,
        load_rate: 5.0,
        parallel: 2,
        pace: 1.0,
        brands: 3,
    };
    let consortium = Sizes {
        name: "consortium",
        zones: 3,
        engines: 18,
        replicas: 3,
        entries: 6,
        load_rate: 6.0,
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

/// Creates the `i`-th workload of [`names`].
///
/// # Panics
///
/// Panics when there is no such workload.
#[must_use]
pub fn nth(i: usize, seed: u64) -> Workload {
    nth_with_span(i, seed, Span::FULL)
}

/// Creates the `i`-th workload of [`names`] for a run of another length, with the times
/// of faults scaled to it.
///
/// # Panics
///
/// Panics when there is no such workload.
#[must_use]
pub fn nth_with_span(i: usize, seed: u64, span: Span) -> Workload {
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

/// Creates a workload from its seed.
pub(crate) fn make(sizes: &Sizes, shape: &Shape, span: Span, seed: u64) -> Workload {
    let mut generator = Generator {
        rng: ChaCha8Rng::seed_from_u64(seed),
        sizes,
        span,
        arrivals: Vec::new(),
        end: (span.warm_up + span.counted).as_secs_f64(),
    };
    let mut ranks: Vec<u32> = (0..sizes.adapters).collect();
    ranks.shuffle(&mut generator.rng);
    let unloadable = (f64::from(sizes.adapters) * shape.unloadable) as usize;
    // Adapters that can't be loaded are spread over all ranks, popular ones included.
    let unloadable: Vec<_> = (0..unloadable)
        .map(|i| AdapterNo(ranks[i * 97 % ranks.len()]))
        .collect();
    let mut later = Vec::new();
    for secs in shape.reshuffles {
        let mut shuffled = ranks.clone();
        shuffled.shuffle(&mut generator.rng);
        later.push((span.at(*secs), shuffled));
    }
    generator.live(shape, &ranks, &later);
    generator.screening(shape, &ranks);
    generator.receipts();
    let mut arrivals = generator.arrivals;
    arrivals.sort_by_key(|a| a.at);
    let faults = shape.faults.iter();
    Workload {
        name: name(sizes, shape),
        span,
        sizes: sizes.clone(),
        arrivals,
        faults: faults.map(|(secs, f)| (span.at(*secs), *f)).collect(),
        unloadable,
        failure_rate: shape.failure_rate,
    }
}

/// Generates the arrivals of one workload.
struct Generator<'a> {
    rng: ChaCha8Rng,
    sizes: &'a Sizes,
    span: Span,
    arrivals: Vec<Arrival>,
    end: f64,
}

impl Generator<'_> {
    /// Generates live conversations, each a few requests for one adapter.
    fn live(&mut self, shape: &Shape, ranks: &[u32], later: &[(Time, Vec<u32>)]) {
        let popular = Zipf::new(self.sizes.adapters, shape.skew);
        let rate = shape.live * self.sizes.engines as f64 / CONVERSATION_LENGTH;
        let mut at = 0.0;
        loop {
            at += self.exponential(1.0 / rate);
            if at > self.end {
                return;
            }
            let current = later.iter().rev();
            let mut current = current.filter(|(from, _)| at >= from.0 as f64 / 1e6);
            let ranks = current.next().map_or(ranks, |(_, ranks)| ranks);
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
            let class = match self.rng.random_ratio(1, CRITICAL_ONE_IN) {
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
                LIVE_TIMEOUT,
            );
            if !self.rng.random_bool(1.0 - 1.0 / CONVERSATION_LENGTH) {
                return;
            }
            at += 2.0 + self.exponential(THINK_SECS - 2.0);
        }
    }

    /// Generates screenings: many batch requests at once for one adapter, due by the end of
    /// the run.
    fn screening(&mut self, shape: &Shape, ranks: &[u32]) {
        if shape.batch == 0.0 {
            return;
        }
        let popular = Zipf::new(self.sizes.adapters, BATCH_SKEW);
        let rate = shape.batch * self.sizes.engines as f64 / SCREENING_SIZE;
        // The last third of the counted period brings no new work, so that all can be done.
        let last = self.end - self.span.counted.as_secs_f64() / 3.0;
        let mut at = 0.0;
        loop {
            at += self.exponential(1.0 / rate);
            if at > last {
                return;
            }
            let adapter = ranks[popular.draw(&mut self.rng)];
            let count = self.exponential(SCREENING_SIZE).ceil() as u32;
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
            at += self.exponential(1.0 / (RECEIPT_RATE * self.sizes.replicas as f64));
            if at > self.end {
                return;
            }
            self.push(at, None, Class::Critical, (0, 0, 1), CRITICAL_TIMEOUT);
        }
    }

    fn push(
        &mut self,
        secs: f64,
        adapter: Option<u32>,
        class: Class,
        (prefix, prompt, tokens): (u64, u32, u32),
        timeout: Duration,
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
            deadline: at + timeout,
        });
    }

    /// Draws from the exponential distribution with this mean.
    fn exponential(&mut self, mean: f64) -> f64 {
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
