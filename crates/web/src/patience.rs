//! Time limits that don't count the time in which this process couldn't look.

use std::{pin::pin, time::Duration};

use tokio::time::{Instant, timeout, timeout_at};

/// A timer that fires so much late shows that the process was busy or stopped.
const LATE: Duration = Duration::from_millis(4);

/// The most that is added to a time limit.
pub const MOST: Duration = Duration::from_millis(200);

/// Waits for an answer until a time; nothing if it hasn't come by then.
///
/// Failure: a process is behind with its work. The answer has come in time and waits to
/// be read, but the timer is looked at first: the answer counts as lost, what was asked
/// has to be found out or done again, and the process is further behind. As long as the
/// timer was late, the answer may still be read.
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
    timeout(late.min(MOST), answer).await.ok()
}
