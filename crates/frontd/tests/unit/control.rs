//! Which incarnation number an empty data folder gets.

use std::time::Duration;

use base::Incarnation;
use googletest::prelude::*;

use super::next_incarnation;

/// Guards against an instance that stays out of the log after its disk is lost while the
/// wall clock is five seconds behind: it was refused until the clock had caught up. A few
/// refusals have to be enough.
#[gtest]
fn refused_incarnations_overtake_a_clock_that_was_stepped_back() {
    let before = Duration::from_secs(1_000);
    let known = next_incarnation(before, Incarnation(0));
    let stepped = before - Duration::from_secs(5);
    let mut incarnation = next_incarnation(stepped, Incarnation(0));
    let mut refused = 0;
    while incarnation <= known {
        incarnation = next_incarnation(stepped, incarnation);
        refused += 1;
    }
    assert_that!(refused, le(6));
}

#[gtest]
fn an_incarnation_follows_a_clock_that_is_ahead() {
    let incarnation = next_incarnation(Duration::from_secs(2_000), Incarnation(7));
    assert_that!(incarnation, eq(Incarnation(2_000_000_000)));
}
