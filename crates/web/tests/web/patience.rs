//! Time limits while the process itself is behind.

use std::{thread, time::Duration};

use googletest::prelude::*;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};
use web::patience::{MOST, answer_by};

const LIMIT: Duration = Duration::from_millis(30);

/// The answer comes in time, to a process that is busy until long after. Had the timer
/// been believed, an order that was carried out would count as lost.
#[gtest]
#[tokio::test]
async fn an_answer_that_waits_to_be_read_counts() {
    base::covers!(looked_late);
    let (answer, come) = oneshot::channel();
    tokio::spawn(async move {
        sleep(LIMIT / 3).await;
        thread::sleep(LIMIT * 4);
        // Somebody else's work comes before the answer is handed on.
        sleep(LIMIT / 3).await;
        answer.send(7).ok();
    });
    let got = answer_by(Instant::now() + LIMIT, come).await;
    assert_that!(got, some(ok(eq(&7))));
}

#[gtest]
#[tokio::test]
async fn an_answer_that_does_not_come_ends_in_time() {
    let begun = Instant::now();
    let (answer, come) = oneshot::channel::<u8>();
    let got = answer_by(begun + LIMIT, come).await;
    assert_that!(got, none());
    assert_that!(begun.elapsed(), lt(LIMIT + MOST * 2));
    drop(answer);
}
