//! Timeouts in a process that is too busy to check for the answer.

use std::{thread, time::Duration};

use googletest::prelude::*;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};
use web::timeout::{MAX_EXTENSION, answer_by};

const LIMIT: Duration = Duration::from_millis(30);

/// The answer arrives in time, but the process is busy until long after the timeout. If
/// the timer decided alone, an order that was carried out would count as lost.
#[gtest]
#[tokio::test]
async fn an_answer_that_waits_to_be_read_counts() {
    base::covers!(looked_late);
    let (answer, received) = oneshot::channel();
    tokio::spawn(async move {
        sleep(LIMIT / 3).await;
        thread::sleep(LIMIT * 4);
        // Other tasks run before the answer is forwarded.
        sleep(LIMIT / 3).await;
        answer.send(7).ok();
    });
    let got = answer_by(Instant::now() + LIMIT, received).await;
    assert_that!(got, some(ok(eq(&7))));
}

#[gtest]
#[tokio::test]
async fn an_answer_that_does_not_come_ends_in_time() {
    let start = Instant::now();
    let (answer, received) = oneshot::channel::<u8>();
    let got = answer_by(start + LIMIT, received).await;
    assert_that!(got, none());
    assert_that!(start.elapsed(), lt(LIMIT + MAX_EXTENSION * 2));
    drop(answer);
}
