//! Lets requests for engines in while room is short, where the configuration calls for it.

use std::{sync::Arc, time::Duration};

use account::Account;
use admission::{Ask, Change, Refused};
use telemetry::{event, prom_metrics};
use wire::call::{Call, Reply};

use super::{
    answer::{RequestError, Why},
    state::State,
    sync::ControlPeer,
};

/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// A request that was let in, until it ends.
pub(super) struct Entered {
    state: Arc<State>,
    service: String,
    units: u64,
}

/// What is known of a request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entrant<'a> {
    pub(super) request: &'a str,
    pub(super) service: &'a str,
    pub(super) account: Option<&'a Account>,
    pub(super) rank: u8,
    /// Tokens of the prompt and the answer, if its caller says them.
    pub(super) tokens: Option<u64>,
    pub(super) left: Duration,
}

impl Drop for Entered {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.gate().ended(now, &self.service, self.units);
    }
}

impl<'a> Entrant<'a> {
    fn ask(&self, state: &State) -> Ask<'a> {
        let weight = state.table().map(|table| table.weight(self.account));
        Ask {
            service: self.service,
            account: self.account.map(|account| &account.name),
            weight: weight.unwrap_or(0),
            rank: self.rank,
            units: self.tokens,
            left: self.left,
        }
    }
}

/// Returns whether requests for `adapter` are let in by shares while room is short.
pub(super) fn concerns(state: &State, adapter: &str) -> bool {
    !adapter.is_empty() && state.has_admission()
}

/// Returns whether a request that comes for the first time would be let in now, and counts
/// nothing.
///
/// # Errors
///
/// Fails if it wouldn't.
pub(super) fn would_enter(state: &State, entrant: &Entrant<'_>) -> Result<(), Refused> {
    let mut gate = state.gate().clone();
    let asked = gate.offer(state.now(), &entrant.ask(state), rand::random);
    asked.map(|_| ())
}

/// Lets a request in, or refuses it. `id` is asked for what is the same when the request
/// comes back.
///
/// # Errors
///
/// Fails if too little room is left for requests of its account and rank.
pub(super) fn enter(
    state: &Arc<State>,
    entrant: &Entrant<'_>,
    id: impl FnOnce() -> u64,
) -> Result<Entered, RequestError> {
    let ask = entrant.ask(state);
    let asked = state.gate().offer(state.now(), &ask, id);
    prom_metrics().admission(entrant.rank, asked.is_ok());
    match asked {
        Ok(units) => Ok(Entered {
            state: Arc::clone(state),
            service: entrant.service.to_owned(),
            units,
        }),
        Err(refused) => {
            event!(
                telemetry::Event::NotLetIn,
                request = entrant.request,
                service = entrant.service,
                account = entrant.account.map_or("", |account| account.name.as_str()),
                rank = entrant.rank,
                part = rounded(refused.part),
                left_ms = refused.again.as_millis()
            );
            Err(RequestError::NotRun {
                again: refused.again,
                why: Why::Room,
            })
        }
    }
}

/// Reports to a control instance what was offered and what has ended, and takes over what it
/// tells, if the configuration calls for it.
pub(super) async fn report(state: &State, peer: &ControlPeer) {
    if !state.has_admission() {
        return;
    }
    let report = state.gate().report(state.now(), peer.address);
    let link = state.links.to(peer.address);
    // A lost report isn't sent again: rates are of the last second.
    let answer = link.call(Call::Admission(report), REPORT_TIMEOUT).await;
    if let Ok(Reply::Admission(told)) = answer {
        let changes = state.gate().told(state.now(), peer.address, told);
        changes.iter().for_each(log);
    }
}

/// Forgets what is old.
pub(super) fn expire(state: &State) {
    if state.has_admission() {
        let changes = state.gate().expire(state.now());
        changes.iter().for_each(log);
    }
}

fn log(change: &Change) {
    match change {
        Change::Short(service, shortage) => event!(
            telemetry::Event::RoomShort,
            service = service,
            slots = shortage.slots,
            running = shortage.running,
            queued = shortage.queued,
            offered = shortage.offered.round(),
            ended = shortage.ended.round(),
            part = rounded(shortage.part)
        ),
        Change::Over {
            service,
            lasted,
            refused,
        } => event!(
            telemetry::Event::RoomEnough,
            service = service,
            lasted_ms = lasted.as_millis(),
            refused = refused
        ),
    }
}

/// Rounds a part to thousandths.
fn rounded(part: f64) -> f64 {
    (part * 1_000.0).round() / 1_000.0
}
