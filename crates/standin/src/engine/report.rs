//! Reports of the engine's state, which may be delayed and dropped.

use std::{
    collections::VecDeque,
    sync::{Arc, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep};
use web::{Response, body::Body};
use wire::engine::{Held, Report};

use super::state::Engine;
use crate::server;

/// Interval at which reports are taken if they are delayed.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The report that is shown, and newer ones that are not old enough yet.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    serial: u64,
    taken: VecDeque<(Instant, Report)>,
    shown: Option<(Instant, Report)>,
}

/// Spawns a task that takes reports until the engine is dropped, if reports are delayed.
pub(crate) fn spawn_sampler(engine: &Arc<Engine>) {
    if engine.config.report_lag.is_zero() {
        return;
    }
    let engine = Arc::downgrade(engine);
    tokio::spawn(async move {
        while let Some(engine) = engine.upgrade() {
            engine.take_report();
            drop(engine);
            sleep(SAMPLE_INTERVAL).await;
        }
    });
}

pub(crate) fn answer(engine: &Engine) -> Response<Body> {
    if engine.config.report_lag.is_zero() {
        engine.take_report();
    }
    let mut reports = engine
        .reports
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    while let Some((at, report)) = reports.taken.pop_front() {
        if at.elapsed() < engine.config.report_lag {
            reports.taken.push_front((at, report));
            break;
        }
        reports.shown = Some((at, report));
    }
    let Some((at, report)) = &reports.shown else {
        return server::refuse(
            web::StatusCode::SERVICE_UNAVAILABLE,
            "no report is available yet",
        );
    };
    let mut report = report.clone();
    report.age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
    server::show(&report)
}

impl Engine {
    fn take_report(&self) {
        let mut report = self.report();
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.serial += 1;
        report.serial = reports.serial;
        let drop = self.config.report_drop;
        if drop == 0 || !reports.serial.is_multiple_of(drop) {
            reports.taken.push_back((Instant::now(), report));
        }
    }

    fn report(&self) -> Report {
        let (present, running) = self.batch.counts();
        let state = self.state();
        let held = state.resident.iter().map(|(resident, held)| Held {
            lora_name: resident.to_string(),
            in_use: held.running,
        });
        Report {
            incarnation: state.incarnation,
            serial: 0,
            age_ms: 0,
            resident: held.collect(),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(present - running).unwrap_or(u32::MAX),
            fence: state.fence.filter(|_| self.config.check_fence),
            cached: state.cached.iter().copied().collect(),
        }
    }
}
