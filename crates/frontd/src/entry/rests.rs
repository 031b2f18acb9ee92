//! What targets ask for as they turn requests away: rest for a while.

use gateway::rest::Rest;
use hyper::{HeaderMap, StatusCode, header::RETRY_AFTER};
use telemetry::{event, prom_metrics};

use super::{headers, state::State};

/// Takes over for how long a target that has turned a request away wants nothing from this
/// instance. A value that can't be read changes nothing.
pub(super) fn note_answer(state: &State, target: &str, status: StatusCode, headers: &HeaderMap) {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let said = headers::text(headers, &RETRY_AFTER);
    let Some(rest) = said.and_then(|raw| raw.parse::<Rest>().ok()) else {
        return;
    };
    prom_metrics().rest_asked();
    if state.view().rests().asked(state.now(), target, rest) {
        event!(
            telemetry::Event::TargetResting,
            target = target,
            rest_ms = rest.time().as_millis()
        );
    }
}

/// Logs the rests that are over.
pub(super) fn log_ended(state: &State) {
    let ended = state.view().rests().take_ended(state.now());
    for rest in ended {
        prom_metrics().sent_within_rest(rest.sent);
        event!(
            telemetry::Event::TargetRested,
            target = rest.target,
            lasted_ms = rest.lasted.as_millis(),
            sent = rest.sent
        );
    }
}
