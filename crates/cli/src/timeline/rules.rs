//! What a failed request is explained by beside its own lines.
//!
//! The rows follow the tables of `docs/operations.md`: for each reason what to
//! look at.

/// Whose lines a [`Rule`] takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Of {
    /// Those of the instances that wrote the request's own lines.
    Entry,
    /// Those about the request's adapter, whoever wrote them.
    Adapter,
    /// Everybody's.
    Anyone,
}

/// Lines that belong to a story as context.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rule {
    /// The reason of an own line that asks for it; every request if `None`.
    pub(super) why: Option<&'static str>,
    pub(super) event: &'static str,
    pub(super) of: Of,
    /// Whether it holds until the next one, so that the newest before the request
    /// counts, however old.
    pub(super) lasting: bool,
}

const fn rule(why: Option<&'static str>, event: &'static str, of: Of, lasting: bool) -> Rule {
    Rule {
        why,
        event,
        of,
        lasting,
    }
}

pub(super) const RULES: &[Rule] = &[
    rule(None, "E1001", Of::Entry, true),
    rule(None, "E1007", Of::Entry, false),
    rule(None, "E6001", Of::Entry, true),
    rule(None, "E6002", Of::Entry, true),
    rule(None, "E7003", Of::Entry, true),
    rule(None, "E4001", Of::Adapter, true),
    rule(None, "E4002", Of::Adapter, true),
    rule(None, "E4003", Of::Adapter, true),
    rule(Some("Queue"), "E3001", Of::Anyone, true),
    rule(Some("Queue"), "E4003", Of::Anyone, false),
    rule(Some("Queue"), "E4013", Of::Anyone, false),
    rule(Some("Waited"), "E3001", Of::Anyone, true),
    rule(Some("Waited"), "E4013", Of::Anyone, false),
    rule(Some("Repeats"), "E4013", Of::Anyone, false),
    rule(Some("NoOrders"), "E2001", Of::Anyone, true),
    rule(Some("NoOrders"), "E2002", Of::Anyone, true),
    rule(Some("NoOrders"), "E3001", Of::Anyone, true),
    rule(Some("NoTarget"), "E6006", Of::Entry, true),
    rule(Some("Deadline"), "E1006", Of::Entry, false),
];

/// What each event means as the last own line of a request, and which of its
/// fields say how.
pub(super) const ENDINGS: &[(&str, &str, &[&str])] = &[
    ("E5001", "done", &["adapter", "version"]),
    ("E5002", "given up", &["why", "how", "target"]),
    ("E5003", "answered from another adapter", &["target"]),
    ("E5005", "its stream went on elsewhere", &["from", "target"]),
    ("E5006", "refused, as it was marked", &["why"]),
    ("E5009", "answered late", &["head_ms", "place_ms", "target"]),
];
