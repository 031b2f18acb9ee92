//! Large editions on the way to an entry instance whose link is thin: real
//! shells over loopback, with a throttle between entry and control instances.

#[path = "editions/deployment.rs"]
mod deployment;

use std::time::Duration;

use googletest::prelude::*;
use tokio::sync::{Mutex, MutexGuard};
use deployment::World;

/// A change has to be in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Bytes a second that a node spends for control at most.
const QUIET: usize = 2_000;

/// A change has to be acknowledged within this time.
const TAKEN: Duration = Duration::from_secs(4);

/// Routes of a large edition; written down they have some 500 KB.
const ROUTES: usize = 2_000;

/// Waits for the turn of a test. Their times are measured; each runs a deployment, and
/// all at once would wait for each other's disks.
async fn turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

/// An operator adds 2,000 routes. Callers of the new routes get 404 for as long as
/// the entry instance runs, and all others wait for a link that is full without end.
/// 1. Every control instance answers the next exchange with the whole edition.
/// 2. The link can't carry that in the time of one exchange; what came is dropped.
/// 3. The next exchange begins anew.
///
/// Cause: what grows with the state was sent whole, under a time limit that doesn't
/// grow. Evidence: this throttle alone brings it about, on an idle machine.
#[tokio::test]
async fn added_routes_reach_an_entry_instance_behind_a_thin_link() {
    let _turn = turn().await;
    let world = World::start().await;
    let entry = world.entry(1).await;
    entry.until_ready(IN_FORCE).await;
    let link = entry.link();
    let body = deployment::body(ROUTES);
    world.publish(2, &body).await;
    assert_that!(
        entry.until_served("/added/", IN_FORCE).await,
        ok(anything())
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    // It came once and packed; at most one exchange with each control instance was
    // lost, after which a new connection is made.
    let used = entry.link().since(link);
    assert_that!(used.bytes, lt(body.len() / 4));
    assert_that!(used.connections, le(usize::from(deployment::CONTROLS)));
}

/// All processes are killed, with the same edition in force. Entry instances stay
/// unready for tens of seconds, for the same cause: without any configuration each
/// asks all control instances, and none of the answers arrives whole.
#[tokio::test]
async fn a_restarted_entry_instance_gets_a_large_edition() {
    let _turn = turn().await;
    let world = World::start().await;
    world.publish(2, &deployment::body(ROUTES)).await;
    let entry = world.entry(2).await;
    entry.until_ready(IN_FORCE).await;
    assert_that!(
        entry.until_served("/added/", IN_FORCE).await,
        ok(anything())
    );
}

/// An operator changes the configuration while the control instance that an entry
/// instance gets editions from has fallen silent: bytes stay on the way, and the
/// connection stands. The change is in force in time all the same, by another one.
#[tokio::test]
async fn an_edition_comes_while_a_control_instance_is_silent() {
    let _turn = turn().await;
    let world = World::start().await;
    let entry = world.entry(6).await;
    entry.until_ready(IN_FORCE).await;
    for control in 1..=deployment::CONTROLS {
        let number = u64::from(control) + 1;
        world
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

/// An edition takes its link longer than any exchange may last, however it is
/// packed. It comes all the same, and no exchange is lost meanwhile.
#[tokio::test]
async fn an_edition_may_take_longer_than_an_exchange() {
    let _turn = turn().await;
    let world = World::start().await;
    let entry = world.entry(3).await;
    entry.until_ready(IN_FORCE).await;
    let link = entry.link();
    world.publish(2, &deployment::noise(1_200_000)).await;
    assert_that!(
        entry.until_served("/added/", IN_FORCE).await,
        ok(anything())
    );
    // After a lost exchange a new connection is made.
    let used = entry.link().since(link);
    assert_that!(used.connections, le(usize::from(deployment::CONTROLS)));
}

/// An operator sends the largest configuration that may come, and no control
/// instance ever acknowledges it.
/// 1. The leader sends it to all others as one message of the log.
/// 2. Writing and reading that takes longer than a message may take.
/// 3. The leader sends it anew, without end; nothing else is replicated meanwhile.
///
/// Cause: the message was written as a list of numbers. As one string of bytes it is
/// copied, and the same build on the same machine takes it in time.
#[tokio::test]
async fn the_largest_edition_is_taken() {
    let _turn = turn().await;
    let world = World::start().await;
    let body = deployment::noise(4 << 20);
    let taken = tokio::time::timeout(TAKEN, world.publish(2, &body)).await;
    assert_that!(taken, ok(anything()));
}

/// Operators name versions of adapters one after the other while a large configuration
/// is in force. Each took a hundred milliseconds, and with some ten a second the
/// leader was lost: every control instance read the whole configuration anew for each.
#[tokio::test]
async fn a_named_version_reads_no_configuration_again() {
    let _turn = turn().await;
    let world = World::start().await;
    world.publish(2, &deployment::body(ROUTES)).await;
    world.set_version("m/a1", 1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let read = world.read();
    for version in 2..12 {
        world.set_version("m/a1", version).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_that!(world.read(), eq(read));
}

/// Many versions of adapters have been named. Entry instances hear nothing of use any
/// more, as their links carry the names again and again: every control instance told
/// all of them in each exchange, whether or not the asker knew them.
#[tokio::test]
async fn versions_that_are_known_are_not_told_again() {
    let _turn = turn().await;
    let world = World::start().await;
    let entry = world.entry(5).await;
    entry.until_ready(IN_FORCE).await;
    // A new instance asks more often at first.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for adapter in 0..100 {
        world
            .set_version(&format!("model/adapter-{adapter}"), 1)
            .await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_that!(entry.carried(Duration::from_secs(1)).await, lt(QUIET));
}

/// Editions follow each other faster than one can be carried. Each overtakes the
/// one on its way; an entry instance that began anew with each would get none
/// before the last.
#[tokio::test]
async fn editions_in_quick_succession_arrive_one_by_one() {
    let _turn = turn().await;
    let world = World::start().await;
    let entry = world.entry(4).await;
    entry.until_ready(IN_FORCE).await;
    for number in 2..12 {
        // The link needs longer for each than until the next.
        let body = deployment::noise(400_000) + &format!("a.example /v{number}/\n");
        world.publish(number, &body).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        if number == 9 {
            // One came before the last was sent.
            let early = entry
                .until_served("/added/", Duration::from_millis(300))
                .await;
            assert_that!(early, ok(anything()));
        }
    }
    assert_that!(entry.until_served("/v11/", IN_FORCE).await, ok(anything()));
}
