//! Lends retries to other entry instances and borrows from them, by way of a control instance,
//! where a route has a tight goal. The design is in docs/design/retry-shares.md.

use std::{sync::Arc, time::Duration};

use gateway::timing::SYNC_INTERVAL;
use telemetry::{event, prom_metrics};
use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::{
    call::{Call, Reply},
    retry::{RetryAnswer, RetryReport},
};

use super::{state::State, sync::ControlPeer};

/// Pause between two reports while this instance wants retries.
const WANTING_PAUSE: Duration = Duration::from_millis(100);

/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Reports what this instance wants and lends, for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    let mut tick = interval(SYNC_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due = tokio::select! {
            _ = tick.tick() => true,
            () = state.retry_needed.notified() => false,
        };
        if !state.budget().is_tight() {
            continue;
        }
        let wanted = state.budget().wanted(state.now());
        let broker = state.controls.broker(state.now());
        if let Some(broker) = broker.filter(|_| due || !wanted.is_empty()) {
            report(&state, &broker, wanted).await;
            sleep(WANTING_PAUSE).await;
        }
    }
}

/// Tells the broker what this instance wants, takes what it grants, and lends what it asks for.
async fn report(state: &State, broker: &ControlPeer, wanted: Vec<(String, u32)>) {
    let first = RetryReport {
        instance: state.name.clone(),
        ask: 0,
        lent: Vec::new(),
        wanted,
    };
    let answer = exchange(state, broker, first).await;
    let Some(answer) = answer.filter(|answer| !answer.asked.is_empty()) else {
        return;
    };
    let lent = answer.asked.iter();
    let lent = lent.map(|(service, asked)| (service.clone(), lend(state, service, *asked)));
    let second = RetryReport {
        instance: state.name.clone(),
        ask: answer.ask,
        lent: lent.collect(),
        wanted: state.budget().wanted(state.now()),
    };
    exchange(state, broker, second).await;
}

fn lend(state: &State, service: &str, asked: u32) -> u32 {
    let lent = state.budget().lend(state.now(), service, asked);
    if lent > 0 {
        prom_metrics().retries("lent", lent);
        event!(
            telemetry::Event::RetriesLent,
            service = service,
            asked = asked,
            lent = lent
        );
    }
    lent
}

/// Sends a report and takes over what the answer grants. What a lost report lends is lost: it
/// still counts here.
async fn exchange(state: &State, broker: &ControlPeer, report: RetryReport) -> Option<RetryAnswer> {
    let asked = state.now();
    let link = state.links.to(broker.address);
    let call = link.call(Call::Retries(report), REPORT_TIMEOUT);
    let Ok(Reply::Retries(answer)) = call.await else {
        return None;
    };
    for grant in &answer.granted {
        let mut budget = state.budget();
        budget.granted(asked, &grant.service, grant.count, grant.life);
        drop(budget);
        prom_metrics().retries("borrowed", grant.count);
        event!(
            telemetry::Event::RetriesBorrowed,
            service = grant.service,
            count = grant.count,
            life_ms = grant.life.as_millis()
        );
    }
    Some(answer)
}
