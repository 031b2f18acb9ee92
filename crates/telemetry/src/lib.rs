//! Logs, metrics and traces of a process.
//!
//! Logs are JSON lines with numbered events (see `docs/logs.md`). Metrics and
//! traces use OpenTelemetry and leave the process only where a collector is
//! set; some metrics are also served in the Prometheus text format. Keys and
//! prompts never go into any of them: wrap secrets in a [`Secret`], which is
//! formatted and serialised as `***`.

pub mod catalogue;

mod events;
mod export;
mod fields;
mod logs;
mod metrics;
mod prom;
mod queue;
mod secret;
mod start;
mod trace;

#[doc(hidden)]
pub use serde_json;
#[doc(hidden)]
pub use tracing;

pub use settings::{LogLevel, Telemetry as TelemetrySettings};

pub use crate::{
    events::Event,
    fields::Fields,
    logs::{enabled, event},
    metrics::{LoadOutcome, Metrics, metrics},
    prom::{PromMetrics, prom_metrics},
    secret::Secret,
    start::{Guard, start},
    trace::{TARGET, parent, set_parent, trace_id, traceparent},
};
