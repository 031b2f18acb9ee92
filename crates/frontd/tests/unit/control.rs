//! Which life an empty folder gets.

use std::time::Duration;

use base::Incarnation;
use googletest::prelude::*;

use super::next_life;

/// A disk is lost while the wall clock is five seconds behind. The instance kept
/// out of the log until the clock had caught up; now a few refusals are enough.
#[gtest]
fn refused_lives_overtake_a_clock_that_was_stepped_back() {
    let before = Duration::from_secs(1_000);
    let known = next_life(before, Incarnation(0));
    let stepped = before - Duration::from_secs(5);
    let mut life = next_life(stepped, Incarnation(0));
    let mut refused = 0;
    while life <= known {
        life = next_life(stepped, life);
        refused += 1;
    }
    assert_that!(refused, le(6));
}

#[gtest]
fn a_life_follows_the_clock_where_that_is_ahead() {
    let life = next_life(Duration::from_secs(2_000), Incarnation(7));
    assert_that!(life, eq(Incarnation(2_000_000_000)));
}
