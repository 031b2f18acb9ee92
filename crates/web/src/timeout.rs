//! Timeouts that don't count the time during which this process was too busy to check
//! for the answer.

use std::{pin::pin, time::Duration};

use tokio::time::{Instant, timeout, timeout_at};

/// Delay of a timer from which on the process counts as having been busy or stopped.
const LATE: Duration = Duration::from_millis(4);

/// The longest extension of a timeout.
pub const MAX_EXTENSION: Duration = Duration::from_millis(200);

/// Waits for an answer until the time `until`; returns `None` if it doesn't arrive by then.
///
/// In an overloaded process an answer may have arrived in time and wait to be read when
/// the timer fires. If the timer were polled first, the answer would count as lost, and
/// querying or repeating the operation would add to the overload. So if the timer fires
/// late, the answer may arrive later by the same delay, at most by [`MAX_EXTENSION`].
pub async fn answer_by<T>(until: Instant, answer: impl Future<Output = T>) -> Option<T> {
    let mut answer = pin!(answer);
    if let Ok(answer) = timeout_at(until, &mut answer).await {
        return Some(answer);
    }
    let late = until.elapsed();
    if late < LATE {
        return None;
    }
    base::hit!(looked_late);
    timeout(late.min(MAX_EXTENSION), answer).await.ok()
}
