//! Counters and histograms that a process serves in the Prometheus text format.
//!
//! They cover what the log covers, but for all requests and not only for those that
//! are logged. Labels are only events, outcomes and kinds, so that the number of time
//! series doesn't grow with adapters, targets or callers.

use std::{sync::LazyLock, time::Duration};

use base::Bytes;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::Event;

/// Bucket bounds in seconds: from a network hop inside a zone to the longest time limit,
/// including the service levels for the first piece of an answer (0.3, 0.6, 0.8 and
/// 1 s).
const SECONDS_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.0, 1.5, 3.0, 6.0, 15.0,
];

static PROM_METRICS: LazyLock<PromMetrics> = LazyLock::new(PromMetrics::new);

/// The Prometheus metrics of a process.
#[derive(Debug)]
pub struct PromMetrics {
    registry: Registry,
    events: IntCounterVec,
    dropped: IntCounter,
    requests: IntCounterVec,
    head: HistogramVec,
    place: Histogram,
    waits: Histogram,
    sends: IntCounterVec,
    orders: IntCounterVec,
    broken_runs: IntCounterVec,
    taken_up: IntCounterVec,
    answer_ends: IntCounterVec,
    permits: IntCounterVec,
    rests: IntCounterVec,
    retries: IntCounterVec,
    hedges: Hedges,
    admission: IntCounterVec,
    tunnels: IntCounterVec,
    helped: IntCounterVec,
    gauges: Gauges,
    edition_bytes: IntCounter,
    client_limits: IntCounterVec,
    bad_answers: IntCounterVec,
}

#[derive(Debug)]
struct Gauges {
    suspects: IntGauge,
    held_requests: IntGauge,
    zones: IntGauge,
    list_age: IntGauge,
    held_bytes: IntGauge,
}

impl Gauges {
    fn new(registry: &Registry) -> Self {
        let gauge = |name, help| {
            let made = IntGauge::new(name, help);
            register(registry, made.expect("a valid name"))
        };
        Gauges {
            suspects: gauge(
                "quetzal_suspect_requests",
                "Contents of requests that were part of a crash of their target",
            ),
            held_requests: gauge(
                "quetzal_held_requests",
                "Contents of requests that are refused because they crash targets",
            ),
            zones: gauge(
                "quetzal_zones_owned",
                "Zones of which this instance is the zone owner",
            ),
            list_age: gauge(
                "quetzal_list_age_milliseconds",
                "Age of the oldest list of a zone's targets by which this instance chooses",
            ),
            held_bytes: gauge(
                "quetzal_client_bytes_held",
                "Bytes that clients' requests held when one of them last met a limit",
            ),
        }
    }
}

#[derive(Debug)]
struct Hedges {
    outcomes: IntCounterVec,
    withheld: IntCounterVec,
    vain: IntCounter,
}

impl Hedges {
    fn new(registry: &Registry) -> Self {
        Hedges {
            outcomes: counters(
                registry,
                "quetzal_hedges_total",
                "Extra sends to a second target, and what became of them",
                &["outcome"],
            ),
            withheld: counters(
                registry,
                "quetzal_hedges_withheld_total",
                "Extra sends that were due and did not go out, by reason",
                &["reason"],
            ),
            vain: counter(
                registry,
                "quetzal_hedges_vain_milliseconds_total",
                "Time for which targets had requests that a second target answered, or for nothing",
            ),
        }
    }
}

/// Returns the process's Prometheus metrics.
#[must_use]
pub fn prom_metrics() -> &'static PromMetrics {
    &PROM_METRICS
}

pub(crate) fn count_event(event: Event) {
    let number = event.to_string();
    PROM_METRICS.events.with_label_values(&[&number]).inc();
}

pub(crate) fn count_dropped_line() {
    PROM_METRICS.dropped.inc();
}

impl PromMetrics {
    fn new() -> Self {
        let registry = Registry::new();
        let counters = |name, help, label| counters(&registry, name, help, &[label]);
        let (head, place) = time_histograms(&registry);
        let waits = histogram(
            &registry,
            "quetzal_longest_wait_seconds",
            "Seconds of the longest wait for a piece of each stream",
        );
        PromMetrics {
            events: counters("quetzal_events_total", "Events of the log", "event"),
            dropped: counter(
                &registry,
                "quetzal_log_left_out_total",
                "Log lines dropped because the queue was full",
            ),
            requests: counters(
                "quetzal_requests_total",
                "Requests that ended at this instance",
                "outcome",
            ),
            head,
            place,
            waits,
            sends: counters("quetzal_sends_total", "Requests sent to targets", "outcome"),
            orders: counters("quetzal_orders_total", "Orders to engines", "outcome"),
            taken_up: self::counters(
                &registry,
                "quetzal_streams_taken_up_total",
                "Streams whose caller asked for the rest, by outcome and by source or reason",
                &["outcome", "source"],
            ),
            broken_runs: counters(
                "quetzal_broken_runs_total",
                "Runs whose connection to their target broke, by what became of the target",
                "fate",
            ),
            answer_ends: self::counters(
                &registry,
                "quetzal_answer_ends_total",
                "Answers of targets, by their framing and how they ended",
                &["framing", "end"],
            ),
            permits: counters(
                "quetzal_permits_total",
                "Permits for requests to targets that name a limit",
                "outcome",
            ),
            rests: counters(
                "quetzal_rests_total",
                "Wishes of targets for rest, and requests that were sent to them all the same",
                "what",
            ),
            retries: counters(
                "quetzal_retries_total",
                "Retries that were denied, lent to other entry instances or borrowed from them",
                "outcome",
            ),
            hedges: Hedges::new(&registry),
            admission: self::counters(
                &registry,
                "quetzal_admission_total",
                "Requests that asked to be let in, by rank and outcome",
                &["rank", "outcome"],
            ),
            tunnels: counters(
                "quetzal_tunnels_total",
                "Tunnels to targets that this instance asked other instances for",
                "outcome",
            ),
            helped: counters(
                "quetzal_helped_total",
                "Tunnels to targets that other instances asked this instance for",
                "outcome",
            ),
            gauges: Gauges::new(&registry),
            client_limits: counters(
                "quetzal_client_limits_total",
                "Limits that clients met which protect the process, by what was refused or closed",
                "what",
            ),
            bad_answers: counters(
                "quetzal_bad_answers_total",
                "Answers that targets spoilt, by the rule that they break",
                "rule",
            ),
            edition_bytes: counter(
                &registry,
                "quetzal_edition_bytes_total",
                "Bytes of editions sent to entry instances",
            ),
            registry,
        }
    }

    /// Counts a request that ended with `outcome`.
    pub fn request(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    /// Records the time from a request's arrival to its first target (`place`) and to
    /// the head of its answer (`head`).
    pub fn answered(&self, kind: &str, place: Duration, head: Duration) {
        self.place.observe(place.as_secs_f64());
        let heads = self.head.with_label_values(&[kind]);
        heads.observe(head.as_secs_f64());
    }

    /// Records the longest wait for a piece of a stream that has ended.
    pub fn longest_wait(&self, wait: Duration) {
        self.waits.observe(wait.as_secs_f64());
    }

    /// Counts a request sent to a target, by its `outcome`.
    pub fn send(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    /// Counts an order to an engine, by its `outcome`.
    pub fn order(&self, outcome: &str) {
        self.orders.with_label_values(&[outcome]).inc();
    }

    /// Counts runs whose connection broke, by the `fate` of their target.
    pub fn broken_runs(&self, fate: &str, runs: usize) {
        let counter = self.broken_runs.with_label_values(&[fate]);
        counter.inc_by(runs as u64);
    }

    /// Counts a stream whose caller asked for the rest, by `outcome`, and by who knew where it
    /// began or why it is refused.
    pub fn stream_taken_up(&self, outcome: &str, source: &str) {
        self.taken_up.with_label_values(&[outcome, source]).inc();
    }

    /// Counts the end of a target's answer, by the `framing` that showed where it would be.
    pub fn answer_ended(&self, framing: &str, end: &str) {
        self.answer_ends.with_label_values(&[framing, end]).inc();
    }

    /// Counts a request for a permit at a target that names a limit, by its `outcome`.
    pub fn permit(&self, outcome: &str) {
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Counts an answer by which a target asked this instance for rest.
    pub fn rest_asked(&self) {
        self.rests.with_label_values(&["asked"]).inc();
    }

    /// Counts requests that were sent to a target while it rested.
    pub fn sent_within_rest(&self, count: u32) {
        let sent = self.rests.with_label_values(&["sent_within"]);
        sent.inc_by(u64::from(count));
    }

    /// Counts retries that were denied, lent or borrowed, by their `outcome`.
    pub fn retries(&self, outcome: &str, count: u32) {
        let retries = self.retries.with_label_values(&[outcome]);
        retries.inc_by(u64::from(count));
    }

    /// Counts an extra send, or what became of one.
    pub fn hedge(&self, outcome: &str) {
        self.hedges.outcomes.with_label_values(&[outcome]).inc();
    }

    /// Counts an extra send that was due and didn't go out.
    pub fn hedge_withheld(&self, reason: &str) {
        self.hedges.withheld.with_label_values(&[reason]).inc();
    }

    /// Adds the time for which a target had a request whose answer nobody took, as another one
    /// answered it as well.
    pub fn vain(&self, ran: Duration) {
        let millis = u64::try_from(ran.as_millis()).unwrap_or(u64::MAX);
        self.hedges.vain.inc_by(millis);
    }

    /// Counts a request that asked to be let in, where room is shared.
    pub fn admission(&self, rank: u8, let_in: bool) {
        let outcome = if let_in { "let_in" } else { "refused" };
        let rank = rank.to_string();
        self.admission.with_label_values(&[&rank, outcome]).inc();
    }

    /// Counts a tunnel that another instance was asked for, by its `outcome`.
    pub fn tunnel(&self, outcome: &str) {
        self.tunnels.with_label_values(&[outcome]).inc();
    }

    /// Counts a tunnel that another instance asked for, by its `outcome`.
    pub fn helped(&self, outcome: &str) {
        self.helped.with_label_values(&[outcome]).inc();
    }

    /// Counts a limit that a client met, and notes the bytes that clients' requests hold.
    pub fn client_limited(&self, what: &str, held: Bytes) {
        self.client_limits.with_label_values(&[what]).inc();
        let held = i64::try_from(held.get()).unwrap_or(i64::MAX);
        self.gauges.held_bytes.set(held);
    }

    /// Counts an answer that breaks a `rule` of answers.
    pub fn bad_answer(&self, rule: &str) {
        self.bad_answers.with_label_values(&[rule]).inc();
    }

    /// Sets the age of the oldest list of a zone's targets.
    pub fn list_age(&self, age: Duration) {
        let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.gauges.list_age.set(age);
    }

    /// Sets how many contents of requests there is evidence against.
    pub fn suspects(&self, count: usize) {
        self.gauges
            .suspects
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets how many contents of requests are refused.
    pub fn held_requests(&self, count: usize) {
        self.gauges
            .held_requests
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets of how many zones this instance is the zone owner.
    pub fn zones(&self, owned: usize) {
        self.gauges
            .zones
            .set(i64::try_from(owned).unwrap_or(i64::MAX));
    }

    /// Counts bytes of an edition that were sent to an entry instance.
    pub fn edition_bytes(&self, bytes: usize) {
        self.edition_bytes.inc_by(bytes as u64);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|err| format!("# {err}\n"))
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let made = IntCounter::new(name, help);
    register(registry, made.expect("a valid name"))
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let made = IntCounterVec::new(Opts::new(name, help), labels);
    register(registry, made.expect("a valid name"))
}

/// Returns the histograms of the time to the head of an answer, and to the first target.
fn time_histograms(registry: &Registry) -> (HistogramVec, Histogram) {
    let head = HistogramOpts::new(
        "quetzal_head_seconds",
        "Seconds from a request's arrival to the head of its answer",
    );
    let head = HistogramVec::new(head.buckets(SECONDS_BUCKETS.to_vec()), &["kind"]);
    let place = histogram(
        registry,
        "quetzal_place_seconds",
        "Seconds from a request's arrival to its first target",
    );
    (register(registry, head.expect("a valid name")), place)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let made = Histogram::with_opts(opts);
    register(registry, made.expect("a valid name"))
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, made: C) -> C {
    let result = registry.register(Box::new(made.clone()));
    result.expect("each name is registered once");
    made
}
