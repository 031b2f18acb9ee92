//! Turns the node's events into log lines and metrics.

use std::time::Duration;

use base::{BrandName, Class, Failure, PoolName, TargetName};
use node::{Event, OrderEnd};
use telemetry::{Event as Line, LoadOutcome, event, metrics};
use wire::engine::Resident;

/// Logs one event of the node or records it in a metric.
pub(crate) fn write(event: Event) {
    match event {
        Event::BadText(version) => event!(Line::TextBroken, version = version),
        Event::TextInForce(version) => {
            metrics().text_version(version);
            event!(Line::TextInForce, version = version);
        }
        Event::Quarantine(change) => daemon::log_quarantine(&change, "log"),
        Event::Services { brand, up, waiting } => services(&brand, up, waiting),
        Event::Owns(engine, fence) => event!(Line::EngineTaken, engine = engine, fence = fence),
        Event::Restricted(engine, fence) => {
            event!(Line::LeaseRestricted, engine = engine, fence = fence);
        }
        Event::EngineSilent(engine, true) => event!(Line::EngineSilent, engine = engine),
        Event::EngineSilent(engine, false) => event!(Line::EngineBack, engine = engine),
        Event::EngineLeaving(engine) => event!(Line::TargetLeaving, engine = engine),
        Event::Lost(engine) => event!(Line::LeaseLost, engine = engine),
        Event::EngineRestarted(engine) => event!(Line::EngineRestarted, engine = engine),
        Event::Fenced(engine, fence) => {
            event!(Line::OrderFenced, engine = engine, fence = fence);
        }
        Event::LoadFailed(engine, resident) => load_failed(&engine, &resident),
        Event::WrongAdapter(target) => event!(Line::WrongAdapter, target = target),
        Event::Stalled(class, wait) => metrics().load_stall(class, wait),
        Event::Queued(class, wait) => metrics().queue_wait(class, wait),
        Event::Batch {
            pool,
            running,
            places,
        } => metrics().batch_efficiency(&pool, running, places),
        Event::Loaded {
            target,
            pool,
            resident,
            end,
            took,
        } => loaded(&target, &pool, &resident, end, took),
        Event::Unloaded(engine, resident) => unloaded(&engine, &resident),
        Event::Streamed {
            brand,
            class,
            tokens,
            first,
            rest,
        } => streamed(&brand, class, tokens, (first, rest)),
        Event::Ended {
            brand,
            class,
            failure,
            took,
        } => ended(&brand, class, failure, took),
        Event::LeaderSilent => event!(Line::LeaderLost),
        Event::LeaderBack => event!(Line::LeaderElected),
    }
}

fn services(brand: &BrandName, up: usize, waiting: usize) {
    if waiting > 0 {
        event!(Line::ServiceDown, brand = brand, up = up, waiting = waiting);
    } else {
        event!(Line::ServiceUp, brand = brand, up = up);
    }
}

fn streamed(brand: &BrandName, class: Class, tokens: u32, (first, rest): (Duration, Duration)) {
    metrics().tokens(brand, u64::from(tokens));
    metrics().first_token(class, first);
    if tokens > 1 {
        metrics().token_gap(class, rest / (tokens - 1));
    }
}

fn loaded(
    engine: &TargetName,
    pool: &PoolName,
    resident: &Resident,
    end: OrderEnd,
    took: Duration,
) {
    let outcome = match end {
        OrderEnd::Done | OrderEnd::AlreadyLoaded => LoadOutcome::Done,
        OrderEnd::Fenced => LoadOutcome::Fenced,
        OrderEnd::Failed | OrderEnd::Unknown => LoadOutcome::Failed,
    };
    metrics().load(pool, outcome, took);
    if end == OrderEnd::Done {
        let (adapter, ms) = (resident.to_string(), millis(took));
        event!(
            Line::AdapterLoaded,
            engine = engine,
            adapter = adapter,
            ms = ms
        );
    }
}

fn load_failed(engine: &TargetName, resident: &Resident) {
    let adapter = resident.to_string();
    event!(Line::LoadFailed, engine = engine, adapter = adapter);
}

fn unloaded(engine: &TargetName, resident: &Resident) {
    let adapter = resident.to_string();
    event!(Line::AdapterUnloaded, engine = engine, adapter = adapter);
}

fn millis(took: Duration) -> u64 {
    u64::try_from(took.as_millis()).unwrap_or(u64::MAX)
}

fn ended(brand: &BrandName, class: Class, failure: Option<Failure>, took: Duration) {
    let ms = millis(took);
    let Some(failure) = failure else {
        metrics().answered(brand, class);
        event!(Line::RequestDone, brand = brand, class = class, ms = ms);
        return;
    };
    metrics().failed(brand, class, failure.reason, failure.verdict);
    event!(
        Line::RequestFailed,
        brand = brand,
        class = class,
        reason = failure.reason,
        verdict = failure.verdict,
        ms = ms,
    );
}
