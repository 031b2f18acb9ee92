//! Callers that send one request after the other.

use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::time::sleep;

use crate::deployment::{Deployment, Told};

/// Time from an answer to the next request of the same caller, at least.
const PAUSE: Duration = Duration::from_millis(20);

/// Callers at each entry instance, each with one request at a time.
const CALLERS: u8 = 5;

/// Sends requests to entry instances until `until`, and returns what was answered.
pub(crate) async fn ask_until(
    deployment: &Deployment,
    entries: impl IntoIterator<Item = u8>,
    until: Instant,
) -> Vec<Told> {
    let entries = entries.into_iter();
    let callers = entries.flat_map(|entry| (0..CALLERS).map(move |no| (entry, no)));
    let callers = callers.map(|(entry, no)| call_until(deployment, entry, no, until));
    join_all(callers).await.into_iter().flatten().collect()
}

/// Sends requests of one caller, who comes back after a refusal when told.
async fn call_until(deployment: &Deployment, entry: u8, no: u8, until: Instant) -> Vec<Told> {
    let mut answers = Vec::new();
    sleep(u32::from(no) * PAUSE).await;
    while Instant::now() < until {
        let told = deployment.ask(entry, "harmless").await;
        sleep(told.again.unwrap_or(PAUSE)).await;
        answers.push(told);
    }
    answers
}
