//! Large editions on the way to an entry instance behind a slow link: real control and
//! entry instances over loopback, with a bandwidth limit between them.

#[path = "editions/deployment.rs"]
mod deployment;
#[path = "common/platform.rs"]
mod platform;

use std::time::Duration;

use deployment::Deployment;
use googletest::prelude::*;
use tokio::sync::{Mutex, MutexGuard};

/// A change has to be in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Most bytes per second that a node may spend on control traffic while nothing changes.
const IDLE_BYTES_MAX: usize = 2_000;

/// A change has to be acknowledged within this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Routes of a large edition; its text has some 500 KB.
const ROUTES: usize = 2_000;

/// Runs the tests of this file one at a time. They measure times, and each runs a
/// deployment: concurrent ones would wait for each other's disk writes.
async fn exclusive() -> MutexGuard<'static, ()> {
    static EXCLUSIVE: Mutex<()> = Mutex::const_new(());
    EXCLUSIVE.lock().await
}

/// Guards against editions that are sent whole, under a time-out that doesn't grow with
/// their size. An operator adds 2,000 routes, and every control instance answers the next
/// exchange with the full edition. The link can't carry that within the time-out of one
/// exchange; what has arrived is dropped, and the next exchange starts again. The new
/// routes answer 404 for as long as the entry instance runs, and the link stays full.
#[tokio::test]
async fn added_routes_reach_an_entry_instance_behind_a_thin_link() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    let entry = deployment.entry(1).await;
    entry.until_ready(IN_FORCE).await;
    let link = entry.link();
    let body = deployment::body(ROUTES);
    deployment.publish(2, &body).await;
    assert_that!(
        entry.until_served("/added/", IN_FORCE).await,
        ok(anything())
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    // It was sent once and compressed. At most one exchange with each control instance
    // was lost, after which a new connection is made.
    let used = entry.link().since(link);
    assert_that!(used.bytes, lt(body.len() / 4));
    assert_that!(used.connections, le(usize::from(deployment::CONTROLS)));
}

/// Guards against the same failure after a restart: without a configuration an entry
/// instance asked all control instances, none of their answers arrived in full, and it
/// stayed unready for tens of seconds.
#[tokio::test]
async fn a_restarted_entry_instance_gets_a_large_edition() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    deployment.publish(2, &deployment::body(ROUTES)).await;
    let entry = deployment.entry(2).await;
    entry.until_ready(IN_FORCE).await;
    assert_that!(
        entry.until_served("/added/", IN_FORCE).await,
        ok(anything())
    );
}

/// Guards against a download that waits for an unresponsive source. The bytes of the
/// control instance that the entry instance downloads from are held back while the
/// connection stays open; the change has to come from another one in time.
#[tokio::test]
async fn an_edition_comes_while_a_control_instance_is_silent() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    let entry = deployment.entry(6).await;
    entry.until_ready(IN_FORCE).await;
    for control in 1..=deployment::CONTROLS {
        let number = u64::from(control) + 1;
        deployment
            .publish(
                number,
                &(deployment::body(ROUTES) + &format!("a.example /v{number}/\n")),
            )
            .await;
        entry.silence(control);
        let served = entry.until_served(&format!("/v{number}/"), IN_FORCE).await;
        assert_that!(served, ok(anything()));
    }
}

/// The link needs more time for an edition than one exchange may take, however well it is
/// compressed. The edition arrives, and no exchange is lost meanwhile.
#[tokio::test]
async fn an_edition_may_take_longer_than_an_exchange() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    let entry = deployment.entry(3).await;
    entry.until_ready(IN_FORCE).await;
    let link = entry.link();
    deployment
        .publish(2, &deployment::incompressible_body(1_200_000))
        .await;
    assert_that!(
        entry.until_served("/added/", IN_FORCE).await,
        ok(anything())
    );
    // A lost exchange is followed by a new connection.
    let used = entry.link().since(link);
    assert_that!(used.connections, le(usize::from(deployment::CONTROLS)));
}

/// Guards against an edition that is never acknowledged because the leader sends it to
/// the others as one message of the log. The message was encoded as a list of numbers,
/// and writing and reading it took longer than its time-out; the leader sent it again
/// without end, and nothing else was replicated. As one byte string it is copied and
/// arrives in time.
#[tokio::test]
async fn the_largest_edition_is_taken() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    let body = deployment::incompressible_body(4 << 20);
    let taken = tokio::time::timeout(ACK_TIMEOUT, deployment.publish(2, &body)).await;
    assert_that!(taken, ok(anything()));
}

/// Guards against control instances that decode the whole configuration for every version
/// of an adapter that an operator sets. Each took a hundred milliseconds, and at ten a
/// second the leader was lost.
#[tokio::test]
async fn a_named_version_reads_no_configuration_again() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    deployment.publish(2, &deployment::body(ROUTES)).await;
    deployment.set_version("m/a1", 1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = deployment.decode_count();
    for version in 2..12 {
        deployment.set_version("m/a1", version).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_that!(deployment.decode_count(), eq(before));
}

/// Guards against exchanges that carry all versions ever set, whether or not the
/// requester knows them, so that nothing else fits on the link.
#[tokio::test]
async fn versions_that_are_known_are_not_told_again() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    let entry = deployment.entry(5).await;
    entry.until_ready(IN_FORCE).await;
    // A new instance exchanges more often at first.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for adapter in 0..100 {
        deployment
            .set_version(&format!("model/adapter-{adapter}"), 1)
            .await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_that!(
        entry.carried(Duration::from_secs(1)).await,
        lt(IDLE_BYTES_MAX)
    );
}

/// Guards against a download that starts again with each newer edition. Editions are
/// published faster than the link carries one, so no edition would arrive before the
/// last.
#[tokio::test]
async fn editions_in_quick_succession_arrive_one_by_one() {
    let _exclusive = exclusive().await;
    let deployment = Deployment::start().await;
    let entry = deployment.entry(4).await;
    entry.until_ready(IN_FORCE).await;
    for number in 2..12 {
        // The link needs more time for one edition than passes until the next.
        let body = deployment::incompressible_body(400_000) + &format!("a.example /v{number}/\n");
        deployment.publish(number, &body).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        if number == 9 {
            // One edition has arrived before the last is published.
            let early = entry
                .until_served("/added/", Duration::from_millis(300))
                .await;
            assert_that!(early, ok(anything()));
        }
    }
    assert_that!(entry.until_served("/v11/", IN_FORCE).await, ok(anything()));
}
