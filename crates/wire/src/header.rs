//! Names of the HTTP headers that the serving layer reads and writes.

/// Marks a request as at-most-once and carries its idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Request class that a caller asks for: `critical`, `live` or `batch`.
pub const CLASS: &str = "x-quetzal-class";
/// Milliseconds until the caller no longer needs the answer.
pub const DEADLINE: &str = "x-quetzal-deadline-ms";
/// On a failure: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = "x-quetzal-verdict";
/// On a failure: its reason, as [`base::Refusal::as_str`] writes it.
pub const REASON: &str = "x-quetzal-reason";
/// On a request: the adapter to use; on an answer: the adapter that was used.
pub const ADAPTER: &str = "x-quetzal-adapter";
/// The adapter's version.
pub const VERSION: &str = "x-quetzal-version";
/// Between instances: the target that was chosen.
pub const TARGET: &str = "x-quetzal-target";
/// Between instances: the brand that the request belongs to.
pub const BRAND: &str = "x-quetzal-brand";
/// Between instances: hash of the prompt's prefix, for prefix caches.
pub const PREFIX: &str = "x-quetzal-prefix";
/// Between instances: the version of the configuration text that the sender used for
/// routing.
pub const TEXT: &str = "x-quetzal-text";
/// On an order to an engine: the fencing number.
pub const FENCE: &str = "x-quetzal-fence";
/// Between instances and to engines: priority; smaller values go first.
pub const PRIORITY: &str = "x-quetzal-priority";
/// On an engine's refusal: `false` if the engine did not start the request.
pub const STARTED: &str = "x-engine-started";
/// On any answer of a target: `true` if the target will stop and takes no further requests.
pub const LEAVING: &str = "x-engine-leaving";
/// To an engine: number of tokens of an interrupted stream that the caller already has;
/// on its answer: number of tokens after which the answer begins.
pub const RESUME_FROM: &str = "x-engine-resume-from";
