//! Tests of what counts as a load stall.

use base::{AdapterNo, Version};
use googletest::prelude::*;

use super::*;

const KEY: AdapterKey = AdapterKey {
    adapter: AdapterNo(1),
    version: Version(1),
};
const LOAD: (TargetNo, AdapterKey) = (TargetNo(2), KEY);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn waited(stall: u64, queued: Option<u64>) -> Option<Waited> {
    Some(Waited {
        class: Class::Live,
        stall: Duration::from_millis(stall),
        queued: queued.map(Duration::from_millis),
    })
}

/// A request starts a load, a second one arrives during the load, a third one
/// after it. The adapter is published as resident from the beginning of the
/// load, so without a look at running loads the stall of the second request
/// would be counted as time in the queue.
#[test]
fn a_request_that_arrives_during_a_load_is_stalled() {
    base::covers!(joins_a_load);
    let mut waits = Waits::default();
    waits.arrived(at(0), Ticket(1), LOAD, Class::Live, false);
    waits.load_begun(LOAD);
    waits.arrived(at(20), Ticket(2), LOAD, Class::Live, true);
    waits.load_ended(at(50), LOAD, true);
    waits.arrived(at(55), Ticket(3), LOAD, Class::Live, true);
    assert_that!(waits.sent(at(60), Ticket(1)), eq(waited(50, Some(10))));
    assert_that!(waits.sent(at(60), Ticket(2)), eq(waited(30, Some(10))));
    assert_that!(waits.sent(at(60), Ticket(3)), eq(waited(0, Some(5))));
    assert_that!(waits.sent(at(70), Ticket(1)), none());
}

/// A load fails and the request is refused before another load ends: all its
/// time in the queue is a stall, as it never got a place in the batch.
#[test]
fn a_refused_request_is_stalled() {
    let mut waits = Waits::default();
    waits.arrived(at(0), Ticket(1), LOAD, Class::Live, false);
    waits.arrived(at(0), Ticket(2), LOAD, Class::Live, false);
    waits.load_begun(LOAD);
    waits.load_ended(at(40), LOAD, false);
    waits.left(Ticket(2));
    assert_that!(waits.refused(at(90), Ticket(1)), eq(waited(90, None)));
    assert_that!(waits.refused(at(90), Ticket(2)), none());
}
