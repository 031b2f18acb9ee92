//! OpenTelemetry metrics, with the units and labels that `docs/logs.md` lists.
//!
//! Labels are limited to brands, classes, pools, zones and outcomes: a label with
//! the adapter's name would create 48,000 time series.

use std::{sync::OnceLock, time::Duration};

use base::{BrandName, Class, PoolName, Refusal, TextVersion, Verdict};
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Gauge, Histogram, Meter},
};

/// Bucket bounds of histograms in seconds: from a network hop inside a zone to the
/// queueing time of overnight batch requests.
const SECONDS_BUCKETS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.037, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 5.0, 10.0, 60.0,
    3600.0,
];
/// Bucket bounds of histograms of a fraction.
const FRACTION_BUCKETS: [f64; 10] = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

static METRICS: OnceLock<Metrics> = OnceLock::new();

/// Returns the process's metrics. [`start`](crate::start()) must be called first:
/// the instruments bind to the global meter provider at the first call, and those
/// created before a provider is set discard all values.
#[must_use]
pub fn metrics() -> &'static Metrics {
    METRICS.get_or_init(|| Metrics::new(&global::meter("quetzalarch")))
}

/// How a load of an adapter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The adapter is loaded.
    Done,
    /// The engine or the store refused.
    Failed,
    /// The engine refused the order because its fencing number is stale.
    Fenced,
}

impl LoadOutcome {
    fn as_str(self) -> &'static str {
        match self {
            LoadOutcome::Done => "done",
            LoadOutcome::Failed => "failed",
            LoadOutcome::Fenced => "fenced",
        }
    }
}

/// The OpenTelemetry instruments of a process.
#[derive(Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    tokens: Counter<u64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_wait: Histogram<f64>,
    load_stall: Histogram<f64>,
    loads: Counter<u64>,
    load_time: Histogram<f64>,
    batch: Histogram<f64>,
    owned: Gauge<u64>,
    restricted: Gauge<u64>,
    text: Gauge<u64>,
    apply_lag: Histogram<f64>,
    silent: Counter<u64>,
    control_bytes: Counter<u64>,
}

impl Metrics {
    fn new(meter: &Meter) -> Self {
        let seconds = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(SECONDS_BUCKETS.to_vec())
                .build()
        };
        let fraction = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("1")
                .with_boundaries(FRACTION_BUCKETS.to_vec())
                .build()
        };
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        Metrics {
            requests: counter("quetzal.requests"),
            tokens: counter("quetzal.tokens"),
            first_token: seconds("quetzal.first_token"),
            token_gap: seconds("quetzal.token_gap"),
            queue_wait: seconds("quetzal.queue_wait"),
            load_stall: seconds("quetzal.load_stall"),
            loads: counter("quetzal.loads"),
            load_time: seconds("quetzal.load_time"),
            batch: fraction("quetzal.batch_efficiency"),
            owned: gauge("quetzal.engines_owned"),
            restricted: gauge("quetzal.engines_restricted"),
            text: gauge("quetzal.text_version"),
            apply_lag: seconds("quetzal.apply_lag"),
            silent: counter("quetzal.silent_connections"),
            control_bytes: counter("quetzal.control_bytes"),
        }
    }

    /// Counts a request that was answered in full.
    pub fn answered(&self, brand: &BrandName, class: Class) {
        self.requests
            .add(1, &outcome(brand, class, "ok", Verdict::Ran));
    }

    /// Counts a request that failed.
    pub fn failed(&self, brand: &BrandName, class: Class, reason: Refusal, verdict: Verdict) {
        self.requests
            .add(1, &outcome(brand, class, reason.as_str(), verdict));
    }

    /// Counts generated tokens.
    pub fn tokens(&self, brand: &BrandName, tokens: u64) {
        self.tokens.add(tokens, &[brand_label(brand)]);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, class: Class, wait: Duration) {
        self.first_token
            .record(wait.as_secs_f64(), &[class_label(class)]);
    }

    /// Records the mean time between the tokens of one answer.
    pub fn token_gap(&self, class: Class, gap: Duration) {
        self.token_gap
            .record(gap.as_secs_f64(), &[class_label(class)]);
    }

    /// Records how long a request waited in the queue for an engine with free capacity.
    pub fn queue_wait(&self, class: Class, wait: Duration) {
        self.queue_wait
            .record(wait.as_secs_f64(), &[class_label(class)]);
    }

    /// Records how long a request waited for its adapter to be loaded, which is zero
    /// if it was resident. This is the agency deployment's most important metric.
    pub fn load_stall(&self, class: Class, wait: Duration) {
        self.load_stall
            .record(wait.as_secs_f64(), &[class_label(class)]);
    }

    /// Counts a load of an adapter and records how long it took.
    pub fn load(&self, pool: &PoolName, outcome: LoadOutcome, took: Duration) {
        let labels = [pool_label(pool), KeyValue::new("outcome", outcome.as_str())];
        self.loads.add(1, &labels);
        self.load_time.record(took.as_secs_f64(), &labels);
    }

    /// Records which fraction of an engine's batch was used: `used` of `places`. This is
    /// the consortium deployment's most important metric.
    pub fn batch_efficiency(&self, pool: &PoolName, used: u32, places: u32) {
        let share = f64::from(used) / f64::from(places.max(1));
        self.batch.record(share, &[pool_label(pool)]);
    }

    /// Sets how many engines this instance owns, and how many of them are restricted
    /// because their lease expired and no instance could confirm it.
    pub fn engines(&self, owned: u64, restricted: u64) {
        self.owned.record(owned, &[]);
        self.restricted.record(restricted, &[]);
    }

    /// Sets the version of the text that is in force on this instance.
    pub fn text_version(&self, version: TextVersion) {
        self.text.record(version.get(), &[]);
    }

    /// Records the time from the acceptance of a change of the text until it is in
    /// force on this instance.
    pub fn apply_lag(&self, lag: Duration) {
        self.apply_lag.record(lag.as_secs_f64(), &[]);
    }

    /// Counts a connection that was replaced because it was unresponsive.
    pub fn silent_connection(&self) {
        self.silent.add(1, &[]);
    }

    /// Counts bytes of control messages between instances; `way` is `in` or
    /// `out`.
    pub fn control_bytes(&self, way: &'static str, bytes: u64) {
        self.control_bytes.add(bytes, &[KeyValue::new("way", way)]);
    }
}

fn outcome(
    brand: &BrandName,
    class: Class,
    outcome: &'static str,
    verdict: Verdict,
) -> [KeyValue; 4] {
    [
        brand_label(brand),
        class_label(class),
        KeyValue::new("outcome", outcome),
        KeyValue::new("verdict", verdict.as_str()),
    ]
}

fn brand_label(brand: &BrandName) -> KeyValue {
    KeyValue::new("brand", brand.to_string())
}

fn class_label(class: Class) -> KeyValue {
    KeyValue::new("class", class.as_str())
}

fn pool_label(pool: &PoolName) -> KeyValue {
    KeyValue::new("pool", pool.to_string())
}
