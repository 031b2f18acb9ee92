//! Log lines on the limits that targets name.

use gateway::target_limit::LimitChange;
use telemetry::event;

/// Logs a change of a target's limit, and where it was heard.
pub(crate) fn log_change(change: &LimitChange, source: &str) {
    let target = change.target.as_str();
    let age = change.age.unwrap_or_default().as_millis();
    match change.limit {
        Some(limit) => event!(
            telemetry::Event::TargetLimited,
            target = target,
            limit = limit.per_second(),
            source = source,
            age_ms = age
        ),
        None => event!(
            telemetry::Event::TargetUnlimited,
            target = target,
            source = source,
            age_ms = age
        ),
    }
}
