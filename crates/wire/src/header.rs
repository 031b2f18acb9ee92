//! Names of the HTTP headers that the system reads and writes.

/// Marks a request as not to be repeated, and names it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// The class a caller asks for: `critical`, `live` or `batch`.
pub const CLASS: &str = "x-quetzal-class";
/// Milliseconds until the caller no longer needs the answer.
pub const DEADLINE: &str = "x-quetzal-deadline-ms";
/// On a failure: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = "x-quetzal-verdict";
/// On a failure: the reason's short name.
pub const REASON: &str = "x-quetzal-reason";
/// The adapter that a request is for, and on an answer the one it ran on.
pub const ADAPTER: &str = "x-quetzal-adapter";
/// The adapter's version.
pub const VERSION: &str = "x-quetzal-version";
/// Between instances: the target chosen.
pub const TARGET: &str = "x-quetzal-target";
/// Between instances: the brand asking.
pub const BRAND: &str = "x-quetzal-brand";
/// Between instances: hash of the prompt's head, for prefix caches.
pub const PREFIX: &str = "x-quetzal-prefix";
/// Between instances: the version of the text the sender decided under.
pub const TEXT: &str = "x-quetzal-text";
/// On an order to an engine: the fencing number.
pub const FENCE: &str = "x-quetzal-fence";
/// Between instances and to engines: how urgent, smaller is sooner.
pub const PRIORITY: &str = "x-quetzal-priority";
/// On an engine's refusal: `false` says that the request was not started.
pub const STARTED: &str = "x-engine-started";
/// To an engine: the tokens of a broken stream that the caller already has;
/// on its answer: after which token it begins.
pub const RESUME_FROM: &str = "x-engine-resume-from";
