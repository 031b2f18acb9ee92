//! Limits that targets name in their answers, and permits for requests to such targets.

use std::{sync::Arc, time::Duration};

use base::{AccountName, PerSecond, RequestRate};
use gateway::target_limit::Access;
use hyper::HeaderMap;
use telemetry::{event, prom_metrics};
use tokio::time::sleep;
use wire::{
    call::{Call, Reply},
    limit::{LimitReport, Permit, PermitRequest},
};

use super::{headers, state::State, sync::ControlPeer};
use crate::limit_log::log_change;

/// Time-out of a request for a permit: some times what a message between zones takes.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which a request looks again whether another one got permits.
const ASKED_PAUSE: Duration = Duration::from_millis(5);

/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// A request that waits for a permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender<'a> {
    /// The account that it counts for.
    pub(super) account: Option<&'a AccountName>,
    /// Rank of the request; 0 goes first.
    pub(super) priority: u8,
}

/// A request that waits for a target which is blocked; it no longer does when this is
/// dropped.
pub(super) struct Waiting<'a> {
    state: &'a State,
    target: &'a str,
}

impl<'a> Waiting<'a> {
    pub(super) fn new(state: &'a State, target: &'a str) -> Self {
        Waiting { state, target }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.state.view().limits().waited(self.target);
    }
}

/// Takes over the limit that an answer of a target names, or that it names none, and
/// reports a change to the zone owner. A value that can't be read changes nothing.
pub(super) fn note_answer(state: &Arc<State>, target: &str, headers: &HeaderMap) {
    note_brittle(state, target, headers);
    let name = &state.platform.header_names.target_limit;
    let limit = match headers.get(name) {
        None => None,
        Some(_) => match headers::text(headers, name).map(str::parse::<RequestRate>) {
            Some(Ok(limit)) => Some(limit),
            _ => return,
        },
    };
    let change = state.view().limits().seen(state.now(), target, limit);
    let Some(change) = change else {
        return;
    };
    log_change(&change, "answer");
    if let Some(owner) = owner(state, target) {
        let state = Arc::clone(state);
        tokio::spawn(async move { report(&state, &owner).await });
    }
}

/// Takes over how many refusals a second a target bears, as an answer of it says. A value
/// that can't be read changes nothing.
fn note_brittle(state: &State, target: &str, headers: &HeaderMap) {
    let name = &state.platform.header_names.target_brittle;
    let bears = match headers.get(name) {
        None => None,
        Some(_) => match headers::text(headers, name).and_then(whole_number) {
            Some(number) => Some(PerSecond(number)),
            None => return,
        },
    };
    if !state.view().seen_brittle(target, bears) {
        return;
    }
    match bears {
        Some(bears) => event!(
            telemetry::Event::TargetBrittle,
            target = target,
            bears = bears.get()
        ),
        None => event!(telemetry::Event::TargetSturdy, target = target),
    }
}

/// Reads a number, of which the fraction is left out.
fn whole_number(raw: &str) -> Option<u32> {
    let number: f64 = raw.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number as u32)
}

/// Counts a request that is sent to a target.
pub(super) fn note_sent(state: &State, target: &str) {
    let Some(traffic) = state.view().limits().sent(state.now(), target) else {
        return;
    };
    event!(
        telemetry::Event::LimitedTraffic,
        target = target,
        limit = traffic.limit.per_second(),
        sent = traffic.sent,
        denied = traffic.denied,
        ms = traffic.during.as_millis()
    );
}

/// Logs what a control instance has said of limits.
pub(super) fn log_told(state: &State, peer: &ControlPeer) {
    let changes = state.view().take_limit_changes();
    for change in changes {
        log_change(&change, &peer.address.to_string());
    }
}

/// Reports what was heard of limits to the owner of the targets' zones.
pub(super) async fn report(state: &State, owner: &ControlPeer) {
    let report = next_report(state, owner, None);
    if report.seen.is_empty() && report.before.is_empty() {
        return;
    }
    call(state, owner, report, REPORT_TIMEOUT).await;
}

/// Gets a permit for a request to a target, if that names a limit.
///
/// # Errors
///
/// Returns the time after which a permit may be had.
pub(super) async fn permit(
    state: &State,
    target: &str,
    sender: Sender<'_>,
) -> Result<(), Duration> {
    loop {
        let access = state.view().limits().take(state.now(), target);
        let access = match access {
            // Boxed, as few requests ask and each would hold the space for it.
            Access::Ask => Box::pin(ask(state, target, sender)).await,
            access => access,
        };
        match access {
            Access::Blocked(wait) => return Err(wait),
            Access::Free | Access::Ask => return Ok(()),
            Access::Asked => sleep(ASKED_PAUSE).await,
        }
    }
}

/// Asks the zone owner for a permit. Without an answer, this instance keeps to its own
/// part of the limit.
async fn ask(state: &State, target: &str, sender: Sender<'_>) -> Access {
    let access = match owner(state, target) {
        Some(owner) => ask_owner(state, target, sender, &owner).await,
        None => Access::Ask,
    };
    if access != Access::Ask {
        return access;
    }
    let access = state.view().limits().take_alone(state.now(), target);
    let outcome = match access {
        Access::Blocked(_) => "denied_alone",
        Access::Free | Access::Ask | Access::Asked => "granted_alone",
    };
    prom_metrics().permit(outcome);
    access
}

async fn ask_owner(state: &State, target: &str, sender: Sender<'_>, owner: &ControlPeer) -> Access {
    let want = PermitRequest {
        target: target.to_owned(),
        account: sender.account.cloned(),
        priority: sender.priority,
    };
    let report = next_report(state, owner, Some(want));
    let Some(permit) = call(state, owner, report, PERMIT_TIMEOUT).await else {
        return Access::Ask;
    };
    prom_metrics().permit(match permit {
        Permit::Granted(_) => "granted",
        Permit::Denied { .. } => "denied",
        Permit::Unlimited | Permit::NotOwner => "unknown",
    });
    state.view().limits().permitted(state.now(), target, permit)
}

fn next_report(state: &State, owner: &ControlPeer, want: Option<PermitRequest>) -> LimitReport {
    let now = state.now();
    let (seen, before) = state.view().take_limit_report(now, |zone| owner.owns(zone));
    LimitReport {
        instance: state.name.clone(),
        seen,
        before,
        want,
    }
}

/// Sends a report; one that is lost is sent again later.
async fn call(
    state: &State,
    owner: &ControlPeer,
    report: LimitReport,
    within: Duration,
) -> Option<Permit> {
    let (seen, before) = (report.seen.clone(), report.before.clone());
    let link = state.links.to(owner.address);
    match link.call(Call::Limits(report), within).await {
        Ok(Reply::Limits(permit)) => permit,
        _ => {
            state.view().limits().keep_report(&seen, &before);
            None
        }
    }
}

fn owner(state: &State, target: &str) -> Option<Arc<ControlPeer>> {
    let zone = state.view().zone_of(target).map(str::to_owned)?;
    state.controls.owner(state.now(), &zone)
}
