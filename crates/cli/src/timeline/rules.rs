//! Which log lines explain a request's failure besides its own lines.
//!
//! The rows follow the tables of `docs/operations.md`, which list for each reason
//! of a failure the events to look at.

/// Which lines of its event a [`Rule`] selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Lines of the instances that wrote the request's own lines.
    Entry,
    /// Lines about the request's adapter, of any instance.
    Adapter,
    /// Lines of any instance.
    All,
}

/// Selects lines that belong to a timeline as context.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rule {
    /// Applies only to requests with this reason (`why`) in an own line; to all if
    /// `None`.
    pub(super) why: Option<&'static str>,
    pub(super) event: &'static str,
    pub(super) scope: Scope,
    /// Whether the event reports a state that holds until the next such event: then
    /// the latest one before the request is context, however old.
    pub(super) is_state: bool,
}

const fn rule(
    why: Option<&'static str>,
    event: &'static str,
    scope: Scope,
    is_state: bool,
) -> Rule {
    Rule {
        why,
        event,
        scope,
        is_state,
    }
}

pub(super) const RULES: &[Rule] = &[
    rule(None, "E1001", Scope::Entry, true),
    rule(None, "E1007", Scope::Entry, false),
    rule(None, "E6001", Scope::Entry, true),
    rule(None, "E6002", Scope::Entry, true),
    rule(None, "E7003", Scope::Entry, true),
    rule(None, "E4001", Scope::Adapter, true),
    rule(None, "E4002", Scope::Adapter, true),
    rule(None, "E4003", Scope::Adapter, true),
    rule(Some("Queue"), "E3001", Scope::All, true),
    rule(Some("Queue"), "E4003", Scope::All, false),
    rule(Some("Queue"), "E4013", Scope::All, false),
    rule(Some("Waited"), "E3001", Scope::All, true),
    rule(Some("Waited"), "E4013", Scope::All, false),
    rule(Some("Repeats"), "E4013", Scope::All, false),
    rule(Some("NoOrders"), "E2001", Scope::All, true),
    rule(Some("NoOrders"), "E2002", Scope::All, true),
    rule(Some("NoOrders"), "E3001", Scope::All, true),
    rule(Some("NoTarget"), "E6006", Scope::Entry, true),
    rule(Some("Deadline"), "E1006", Scope::Entry, false),
];

/// The line about a broken connection, which is written some time after the line about
/// what became of the request.
pub(super) const BROKEN: &str = "E5011";

/// What each event means as the last own line of a request, and which of its fields
/// give details.
pub(super) const ENDINGS: &[(&str, &str, &[&str])] = &[
    ("E5001", "done", &["adapter", "version"]),
    ("E5002", "given up", &["why", "how", "target"]),
    ("E5003", "answered from another adapter", &["target"]),
    ("E5005", "its stream went on elsewhere", &["from", "target"]),
    ("E5006", "refused, as it was marked", &["why"]),
    (
        BROKEN,
        "its connection to its target broke",
        &["target", "fate", "ran_ms"],
    ),
    (
        "E5027",
        "its stream stopped within an event",
        &["framing", "bytes", "last", "target"],
    ),
    ("E5009", "answered late", &["head_ms", "place_ms", "target"]),
];
