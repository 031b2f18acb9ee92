//! What targets say of themselves for all further requests of this instance: that they want rest,
//! and that they leave.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode};
use telemetry::{event, prom_metrics};
use web::rest::asked_rest;
use wire::{
    call::Call,
    rest::{RestReport, RestingTarget},
};

use super::{headers, lists, state::State};

/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Value by which a target says that it leaves.
const LEAVING: &str = "1";

/// Takes over what an answer of a target says: for how long it wants nothing from this instance,
/// and that it leaves. A value that can't be read changes nothing.
pub(super) fn note_answer(
    state: &Arc<State>,
    target: &str,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let name = &state.platform.header_names.target_leaving;
    if headers::text(headers, name).map(str::trim) == Some(LEAVING) {
        note_leaving(state, target);
    }
    let Some(rest) = asked_rest(status, headers) else {
        return;
    };
    prom_metrics().rest_asked();
    note_rest(state, target, rest);
    let addr = state.view().addr(target).and_then(|raw| raw.parse().ok());
    if let Some(addr) = addr.filter(|_| state.paths.is_cut()) {
        let paths = Arc::clone(&state.paths);
        tokio::spawn(async move { paths.tell_rest(addr, rest).await });
    }
}

/// Takes over that the target at an address has asked this instance for rest, as another one has
/// read that it reaches through this one.
pub(super) fn note_told(state: &Arc<State>, addr: SocketAddr, rest: Duration) {
    let target = state.view().id_at(addr).map(str::to_owned);
    if let Some(target) = target {
        note_rest(state, &target, rest);
    }
}

fn note_rest(state: &Arc<State>, target: &str, rest: Duration) {
    let (now, target) = (state.now(), target.to_owned());
    if !state.view().rests().asked(now, &target, rest) {
        return;
    }
    event!(
        telemetry::Event::TargetResting,
        target = target,
        rest_ms = rest.as_millis()
    );
    let state = Arc::clone(state);
    tokio::spawn(async move { report(&state, target).await });
}

/// Reports a target that rests to the owner of its zone, who has its adapters loaded elsewhere
/// if it rests for many.
async fn report(state: &State, target: String) {
    let now = state.now();
    let zone = state.view().zone_of(&target).map(str::to_owned);
    let left = state.view().rests().left(now, target.as_str());
    let owner = zone.and_then(|zone| state.controls.owner(now, &zone));
    let (Some(owner), Some(left)) = (owner, left) else {
        return;
    };
    let report = RestReport {
        instance: state.name.clone(),
        resting: vec![RestingTarget { target, left }],
    };
    let link = state.links.to(owner.address);
    // Without it, the owner hears of the next rest.
    link.call(Call::Rests(report), REPORT_TIMEOUT).await.ok();
}

fn note_leaving(state: &State, target: &str) {
    let now = state.now();
    state.view().says_leaving(now, target);
    lists::log_left(state, "answer", now);
}

/// Logs the rests that are over.
pub(super) fn log_ended(state: &State) {
    let ended = state.view().take_ended_rests(state.now());
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
