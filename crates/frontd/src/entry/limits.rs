//! Limits that targets name in their answers.

use base::RequestRate;
use gateway::target_limit::Change;
use hyper::HeaderMap;
use telemetry::event;

use super::{headers, state::State};

/// Takes over the limit that an answer of a target names, or that it names none. A value
/// that can't be read changes nothing.
pub(super) fn note_answer(state: &State, target: &str, headers: &HeaderMap) {
    let name = &state.platform.header_names.target_limit;
    let limit = match headers.get(name) {
        None => None,
        Some(_) => match headers::text(headers, name).map(str::parse::<RequestRate>) {
            Some(Ok(limit)) => Some(limit),
            _ => return,
        },
    };
    let change = state.limits().seen(state.now(), target, limit);
    match change {
        Some(Change::Named(limit)) => event!(
            telemetry::Event::TargetLimited,
            target = target,
            limit = limit.per_second()
        ),
        Some(Change::Ended) => event!(telemetry::Event::TargetUnlimited, target = target),
        None => {}
    }
}

/// Counts a request that is sent to a target.
pub(super) fn note_sent(state: &State, target: &str) {
    let Some(traffic) = state.limits().sent(state.now(), target) else {
        return;
    };
    event!(
        telemetry::Event::LimitedTraffic,
        target = target,
        limit = traffic.limit.per_second(),
        sent = traffic.sent,
        ms = traffic.during.as_millis()
    );
}
