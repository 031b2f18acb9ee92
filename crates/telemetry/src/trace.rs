//! Spans joined from hop to hop by W3C `traceparent`.

use std::collections::HashMap;

use opentelemetry::{
    Context,
    propagation::TextMapPropagator,
    trace::{TraceContextExt, TraceId},
};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// Target of the system's own spans; spans of libraries are left out, because
/// each heartbeat between instances would be a trace of its own.
pub const TARGET: &str = "quetzalarch";

const HEADER: &str = "traceparent";

/// Makes a span of one hop: `span!("entry", brand = %brand)`, or below another
/// span: `span!(parent: &entry, "attempt")`.
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

/// Reads the caller's `traceparent`; a malformed one begins a new trace.
#[must_use]
pub fn parent(header: &str) -> Context {
    let carrier = HashMap::from([(HEADER.to_owned(), header.to_owned())]);
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

/// Puts `span` below the caller's span named by `header`. It must be called
/// before the span is entered.
pub fn set_parent(span: &Span, header: Option<&str>) {
    let Some(header) = header else { return };
    let parent = parent(header);
    if parent.span().span_context().is_valid() {
        // A disabled span has no parent to set, which loses nothing.
        let _ = span.set_parent(parent);
    }
}

/// Returns the `traceparent` to send along to the next hop, or an empty text
/// when the span isn't recorded anywhere.
#[must_use]
pub fn traceparent(span: &Span) -> String {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(HEADER).unwrap_or_default()
}

/// Returns the trace that `span` belongs to, as 32 hex digits.
#[must_use]
pub fn trace_id(span: &Span) -> Option<String> {
    let id = span.context().span().span_context().trace_id();
    (id != TraceId::INVALID).then(|| id.to_string())
}
