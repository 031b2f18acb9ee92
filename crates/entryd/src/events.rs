//! Turns what the node reports into log lines and metrics.

use node::Event;
use telemetry::{Event as Line, event, metrics};

/// Writes one report.
pub(crate) fn write(report: Event) {
    match report {
        Event::BadText(version) => event!(Line::TextBroken, version = version),
        Event::TextInForce(version) => {
            metrics().text_version(version);
            event!(Line::TextInForce, version = version);
        }
        Event::Services { brand, up, waiting } if waiting > 0 => {
            event!(Line::ServiceDown, brand = brand, up = up, waiting = waiting);
        }
        Event::Services { brand, up, .. } => event!(Line::ServiceUp, brand = brand, up = up),
        Event::Owns(engine, fence) => event!(Line::EngineTaken, engine = engine, fence = fence),
        Event::Lost(engine) => event!(Line::LeaseLost, engine = engine),
        Event::EngineRestarted(engine) => event!(Line::EngineRestarted, engine = engine),
        Event::Fenced(engine, fence) => {
            event!(Line::OrderFenced, engine = engine, fence = fence);
        }
        Event::LoadFailed(engine, resident) => {
            let adapter = resident.to_string();
            event!(Line::LoadFailed, engine = engine, adapter = adapter);
        }
        Event::WrongAdapter(target) => event!(Line::WrongAdapter, target = target),
        Event::Stalled(class, wait) => metrics().load_stall(class, wait),
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

fn ended(
    brand: &base::BrandName,
    class: base::Class,
    failure: Option<base::Failure>,
    took: std::time::Duration,
) {
    let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
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
