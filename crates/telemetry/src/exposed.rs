//! Counters and histograms that a process serves as text, by the usual
//! exposition format.
//!
//! They tell what the lines of the log tell, for all requests and not only for
//! those worth a line. Labels are events, outcomes and kinds only: no adapter,
//! target or caller makes a series.

use std::{sync::LazyLock, time::Duration};

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::Event;

/// Bounds in seconds: from a hop inside a zone to the longest time limit, with
/// what the users' sheets promise for a first piece (0.3, 0.6, 0.8 and 1 s).
const SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.0, 1.5, 3.0, 6.0, 15.0,
];

static EXPOSED: LazyLock<Exposed> = LazyLock::new(Exposed::new);

/// All that is served.
#[derive(Debug)]
pub struct Exposed {
    registry: Registry,
    events: IntCounterVec,
    left_out: IntCounter,
    requests: IntCounterVec,
    head: HistogramVec,
    place: Histogram,
    sends: IntCounterVec,
    orders: IntCounterVec,
    zones: IntGauge,
    edition_bytes: IntCounter,
}

/// Returns what the process serves.
#[must_use]
pub fn exposed() -> &'static Exposed {
    &EXPOSED
}

pub(crate) fn count(event: Event) {
    let number = event.to_string();
    EXPOSED.events.with_label_values(&[&number]).inc();
}

pub(crate) fn line_left_out() {
    EXPOSED.left_out.inc();
}

impl Exposed {
    fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let made = IntCounterVec::new(Opts::new(name, help), &[label]);
            added(&registry, made.expect("a valid name"))
        };
        let events = counters("quetzal_events_total", "Events of the log", "event");
        let requests = counters(
            "quetzal_requests_total",
            "Requests that ended here",
            "outcome",
        );
        let sends = counters("quetzal_sends_total", "Requests sent to targets", "outcome");
        let orders = counters("quetzal_orders_total", "Orders to engines", "outcome");
        let left_out = IntCounter::new("quetzal_log_left_out_total", "Lines that found no room");
        let left_out = added(&registry, left_out.expect("a valid name"));
        let head = HistogramOpts::new(
            "quetzal_head_seconds",
            "Seconds from a request's arrival to the head of its answer",
        );
        let head = HistogramVec::new(head.buckets(SECONDS.to_vec()), &["kind"]);
        let head = added(&registry, head.expect("a valid name"));
        let place = HistogramOpts::new(
            "quetzal_place_seconds",
            "Seconds from a request's arrival to its first target",
        );
        let place = Histogram::with_opts(place.buckets(SECONDS.to_vec()));
        let place = added(&registry, place.expect("a valid name"));
        let zones = IntGauge::new(
            "quetzal_zones_owned",
            "Zones whose engines are ordered here",
        );
        let zones = added(&registry, zones.expect("a valid name"));
        let edition_bytes = IntCounter::new(
            "quetzal_edition_bytes_total",
            "Bytes of editions handed out to entry instances",
        );
        let edition_bytes = added(&registry, edition_bytes.expect("a valid name"));
        Exposed {
            registry,
            events,
            left_out,
            requests,
            head,
            place,
            sends,
            orders,
            zones,
            edition_bytes,
        }
    }

    /// Counts a request that ended with `outcome`.
    pub fn request(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    /// Records how long a request waited for its target and for the head of its
    /// answer.
    pub fn answered(&self, kind: &str, place: Duration, head: Duration) {
        self.place.observe(place.as_secs_f64());
        let heads = self.head.with_label_values(&[kind]);
        heads.observe(head.as_secs_f64());
    }

    /// Counts a request sent to a target.
    pub fn send(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    /// Counts an order to an engine.
    pub fn order(&self, outcome: &str) {
        self.orders.with_label_values(&[outcome]).inc();
    }

    /// Sets how many zones this instance gives orders in.
    pub fn zones(&self, owned: usize) {
        self.zones.set(i64::try_from(owned).unwrap_or(i64::MAX));
    }

    /// Counts bytes of an edition that were handed out to an entry instance.
    pub fn edition_bytes(&self, bytes: usize) {
        self.edition_bytes.inc_by(bytes as u64);
    }

    /// Returns all as text.
    #[must_use]
    pub fn text(&self) -> String {
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|err| format!("# {err}\n"))
    }
}

fn added<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, made: C) -> C {
    let result = registry.register(Box::new(made.clone()));
    result.expect("each name is registered once");
    made
}
