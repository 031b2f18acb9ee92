//! What the shells need from an outside system, as plain values and closures.

use std::{fmt, net::IpAddr, sync::Arc};

use futures::future::BoxFuture;
use gateway::{
    holder::{Ended, Listed, Order, Report},
    table::Table,
};
use hyper::header::HeaderName;

/// Names of headers by which callers, targets and this system speak.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id of the request; targets repeat it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits.
    pub deadline: HeaderName,
    /// The id of the target that a request is meant for.
    pub target: HeaderName,
    /// The version of the adapter that a request is meant for.
    pub adapter_version: HeaderName,
    /// The version of the weights that an answer was made with.
    pub weights_version: HeaderName,
    /// Urgency at an engine; 0 is first.
    pub priority: HeaderName,
    /// Says in an answer that the request has not run.
    pub not_run: HeaderName,
    /// The model, and the adapter after a slash.
    pub model: HeaderName,
    /// Prompt tokens, and after a comma the most tokens of the answer.
    pub tokens: HeaderName,
    /// The last event that a resumed stream goes on after.
    pub last_event: HeaderName,
    /// Where a run's memory is to be kept as well.
    pub cache_backup: HeaderName,
    /// Where a run's memory is taken from.
    pub cache_source: HeaderName,
    /// Headers that only this system may set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

/// A configuration as the outside system wrote it, decoded and checked.
#[derive(Clone, Debug)]
pub struct Decoded {
    /// Its number.
    pub number: u64,
    /// Its routes.
    pub table: Table,
}

/// Decodes and checks a configuration; errors are for operators.
pub type Decode = Arc<dyn Fn(&str) -> Result<Decoded, String> + Send + Sync>;
/// Reads the list of targets, of one zone or of all; nothing if it can't be
/// had.
pub type ListTargets =
    Arc<dyn Fn(Option<String>) -> BoxFuture<'static, Option<Vec<Listed>>> + Send + Sync>;
/// Gives an order to an engine.
pub type SendOrder = Arc<dyn Fn(Order) -> BoxFuture<'static, Ended> + Send + Sync>;
/// Asks the engine with this id at this address for its report.
pub type ReadReport =
    Arc<dyn Fn(String, String) -> BoxFuture<'static, Option<Report>> + Send + Sync>;
/// Reads where control instances are to be looked for.
pub type ReadSeeds = Arc<dyn Fn() -> Option<Vec<IpAddr>> + Send + Sync>;

/// An outside system.
#[derive(Clone)]
pub struct Platform {
    /// Names of headers.
    pub header_names: Arc<HeaderNames>,
    /// Decodes a configuration.
    pub decode: Decode,
    /// Reads the list of targets.
    pub list_targets: ListTargets,
    /// Gives an order.
    pub send_order: SendOrder,
    /// Asks for a report.
    pub read_report: ReadReport,
    /// Reads the control instances that are set.
    pub read_seeds: ReadSeeds,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}
