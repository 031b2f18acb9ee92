//! Spans of several processes, connected by the W3C `traceparent` header.

use std::collections::HashMap;

use opentelemetry::{
    Context,
    propagation::TextMapPropagator,
    trace::{TraceContextExt, TraceId},
};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Tracing target of this system's spans. Spans of libraries are not exported, because
/// each heartbeat between instances would become a trace of its own.
pub const TARGET: &str = "quetzalarch";

const HEADER: &str = "traceparent";

/// Creates a span for one hop: `span!("entry", brand = %brand)`, or as a child of
/// another span: `span!(parent: &entry, "attempt")`.
#[macro_export]
macro_rules! span {
    (parent: $parent:expr, $name:expr $(, $($fields:tt)*)?) => {
        $crate::tracing::info_span!(
            target: $crate::TARGET, parent: $parent, $name $(, $($fields)*)?
        )
    };
    ($name:expr $(, $($fields:tt)*)?) => {
        $crate::tracing::info_span!(target: $crate::TARGET, $name $(, $($fields)*)?)
    };
}

/// Parses the caller's `traceparent`; a malformed one gives an empty context, which
/// starts a new trace.
#[must_use]
pub fn parent(header: &str) -> Context {
    let carrier = HashMap::from([(HEADER.to_owned(), header.to_owned())]);
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

/// Makes the caller's span, named by `header`, the parent of `span`. It must be called
/// before the span is entered.
pub fn set_parent(span: &Span, header: Option<&str>) {
    let Some(header) = header else { return };
    let parent = parent(header);
    if parent.span().span_context().is_valid() {
        // This fails only for a disabled span, which isn't exported.
        let _ = span.set_parent(parent);
    }
}

/// Returns the `traceparent` to send to the next hop, or an empty string
/// when `span` is disabled.
#[must_use]
pub fn traceparent(span: &Span) -> String {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(HEADER).unwrap_or_default()
}

/// Returns the id of the trace that `span` belongs to, as 32 hex digits.
#[must_use]
pub fn trace_id(span: &Span) -> Option<String> {
    let id = span.context().span().span_context().trace_id();
    (id != TraceId::INVALID).then(|| id.to_string())
}
