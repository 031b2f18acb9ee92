//! Timeouts that don't count the time during which this process was too busy to check
//! for the answer.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

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
    tokio::select! {
        biased;
        answer = answer => Some(answer),
        () = passed(until) => None,
    }
}

/// Waits until the time `until`, and longer where what has arrived by then may still wait to
/// be read, as for [`answer_by`].
pub async fn passed(until: Instant) {
    sleep_until(until).await;
    let late = until.elapsed();
    if late >= LATE {
        base::hit!(looked_late);
        sleep(late.min(MAX_EXTENSION)).await;
    }
}
