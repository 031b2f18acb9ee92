//! Which requests may be sent while their instance is being stopped.

use std::time::Duration;

use base::Time;
use gateway::stop::{RunTimes, Stop};
use googletest::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A request: now, its deadline, how long its like ran, and whether it may be sent.
fn check((now, deadline, ran, expected): (u64, u64, &[u64], bool)) {
    let mut times = RunTimes::default();
    for ms in ran {
        times.note("r", Duration::from_millis(*ms));
    }
    times.note("other", Duration::from_secs(60));
    let typical = times.typical("r");
    let stop = Stop {
        taken_until: at(2_700),
        ends: at(7_800),
    };
    assert_eq!(stop.may_begin(at(now), at(deadline), typical), expected);
}

base::cases! {
    /// Guards against requests that begin to run and can't end before their instance does, and
    /// against a refusal of those that can.
    what_can_end_may_begin: check => {
        known_and_in_time: (5_000, 20_000, &[2_000, 2_500, 2_800], true),
        known_and_late: (5_500, 20_000, &[2_000, 2_500, 2_800], false),
        half_of_them_short: (7_000, 20_000, &[100, 6_000, 200, 7_000], true),
        known_and_long: (100, 20_000, &[9_000], false),
        unknown_while_connections_are_taken: (2_700, 20_000, &[], true),
        unknown_later: (2_701, 20_000, &[], false),
        ended_by_its_deadline: (7_000, 7_800, &[9_000], true),
    }
}

#[gtest]
fn the_last_runs_count() {
    let mut times = RunTimes::default();
    for _ in 0..40 {
        times.note("r", Duration::from_secs(9));
    }
    for _ in 0..16 {
        times.note("r", Duration::from_secs(1));
    }
    expect_that!(times.typical("r"), some(eq(Duration::from_secs(1))));
    expect_that!(times.typical("s"), none());
}
