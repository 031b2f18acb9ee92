//! The interface to the hosting platform, as plain values and closures.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use futures::future::BoxFuture;
use gateway::{
    table::Table,
    zone_owner::{ListedTarget, Order, OrderOutcome, Report},
};
use hyper::header::HeaderName;

/// Names of the headers that callers, targets and this system exchange.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id of the request; targets repeat it in their answers.
    pub request_id: HeaderName,
    /// How long the sender waits for the answer, in milliseconds.
    pub deadline: HeaderName,
    /// The id of the target that a request is meant for.
    pub target: HeaderName,
    /// The version of the adapter that a request is meant for.
    pub adapter_version: HeaderName,
    /// The version of the weights that an answer was computed with.
    pub weights_version: HeaderName,
    /// The priority of a request at an engine; 0 is served first.
    pub priority: HeaderName,
    /// Says in an answer that the request has not run.
    pub not_run: HeaderName,
    /// The requests a second that a target takes from all instances together; absent in the
    /// answers of a target that doesn't limit them.
    pub target_limit: HeaderName,
    /// How many requests a second a target may have to refuse for want of room before it
    /// falls over; absent in the answers of a target that bears any number.
    pub target_brittle: HeaderName,
    /// Says in an answer that the target that gave it will stop and takes no further requests.
    pub target_leaving: HeaderName,
    /// The model, followed by a slash and the adapter if there is one.
    pub model: HeaderName,
    /// The number of prompt tokens, a comma, and the most tokens of the answer.
    pub tokens: HeaderName,
    /// The parts of the prompt in their order, as ID:TOKENS pairs separated by commas. The last
    /// one belongs to the request alone.
    pub prompt_parts: HeaderName,
    /// The id of the last event that the caller has of a stream that is resumed.
    pub last_event: HeaderName,
    /// The request id of the caller's attempt that brought the first event of a stream that is
    /// resumed.
    pub resumes: HeaderName,
    /// The address of the engine that keeps a copy of the run's KV cache.
    pub cache_backup: HeaderName,
    /// The place of the copy of a KV cache that a run continues from.
    pub cache_source: HeaderName,
    /// The caller's key. It is never passed on where callers have accounts.
    pub key: HeaderName,
    /// The name of the account that a request is sent for; set by this system only.
    pub account: HeaderName,
    /// Headers that only this system may set; those of a caller are dropped.
    pub reserved: Vec<HeaderName>,
    /// What shows that a success is the answer of a target to its request.
    pub signs: AnswerSigns,
}

/// What shows that a success is the answer of a target to its request. By default nothing has to.
#[derive(Clone, Debug, Default)]
pub struct AnswerSigns {
    /// Header by which targets sign their successes, once each; none if they don't.
    pub signature: Option<HeaderName>,
    /// Whether their successes repeat the id of the request.
    pub repeats_id: bool,
    /// Whether their bodies are never encoded.
    pub unencoded: bool,
}

/// A configuration of the platform, decoded and checked.
#[derive(Clone, Debug)]
pub struct Decoded {
    /// Its number; a configuration with a higher number replaces it.
    pub number: u64,
    /// Its routes and services.
    pub table: Table,
}

/// Decodes and checks a configuration; error texts are for operators.
pub type Decode = Arc<dyn Fn(&str) -> Result<Decoded, String> + Send + Sync>;
/// Reads the list of targets of one zone, or of all for `None`; `None` if it can't be
/// read.
pub type ListTargets =
    Arc<dyn Fn(Option<String>) -> BoxFuture<'static, Option<Vec<ListedTarget>>> + Send + Sync>;
/// Sends an order to an engine.
pub type SendOrder = Arc<dyn Fn(Order) -> BoxFuture<'static, OrderOutcome> + Send + Sync>;
/// Reads the report of the engine with this id at this address.
pub type ReadReport =
    Arc<dyn Fn(String, String) -> BoxFuture<'static, Option<Report>> + Send + Sync>;
/// Reads the addresses of control instances from the settings.
pub type ReadSeeds = Arc<dyn Fn() -> Option<Vec<IpAddr>> + Send + Sync>;

/// Returns the address at which this instance reaches the one that a target listens on.
pub type MapAddress = Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>;

/// The hosting platform.
#[derive(Clone)]
pub struct Platform {
    /// Names of headers.
    pub header_names: Arc<HeaderNames>,
    /// Decodes a configuration.
    pub decode: Decode,
    /// Reads the list of targets.
    pub list_targets: ListTargets,
    /// Sends an order to an engine.
    pub send_order: SendOrder,
    /// Reads an engine's report.
    pub read_report: ReadReport,
    /// Reads the configured control instances.
    pub read_seeds: ReadSeeds,
    /// Translates the addresses of targets.
    pub map_address: MapAddress,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}
