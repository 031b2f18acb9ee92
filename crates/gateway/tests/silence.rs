//! How long silent targets are waited for before another one is tried.

use std::time::Duration;

use base::Time;
use gateway::silence::{LONGEST, SHORTEST, Silences};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SERVICE: &str = "s";

/// Silences that are played for each case.
const SILENCES: u32 = 10_000;

/// Time between two silences.
const APART: Duration = Duration::from_secs(2);

/// Time until another target that is tried has answered.
const ANSWERS_AFTER: Duration = Duration::from_millis(250);

/// Most runs for nothing: one in twenty silences that end by themselves.
const NOTHING_PART: f64 = 0.05;

/// What is drawn: how long targets say nothing, in milliseconds, and how often one hangs for good.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    shortest: u64,
    longest: u64,
    hangs_part: f64,
}

/// Plays silences and returns how many runs of other targets were for nothing, among how many
/// silences that ended by themselves.
fn play(drawn: Drawn, seed: u64) -> (u32, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut silences = Silences::default();
    let (mut nothing, mut ended) = (0, 0);
    for no in 0..SILENCES {
        let now = Time::ZERO + APART * no;
        let patience = silences.patience(now, SERVICE);
        assert_that!(patience, all![ge(SHORTEST), le(LONGEST)]);
        if rng.random_bool(drawn.hangs_part) {
            continue;
        }
        let length = Duration::from_millis(rng.random_range(drawn.shortest..=drawn.longest));
        ended += 1;
        nothing += u32::from(length > patience);
        if length < patience + ANSWERS_AFTER {
            silences.ended(now + length, SERVICE, length);
        }
    }
    (nothing, ended)
}

fn check(drawn: Drawn) {
    for seed in 0..20 {
        let (nothing, ended) = play(drawn, seed);
        assert_that!(
            f64::from(nothing),
            le(f64::from(ended) * NOTHING_PART),
            "seed {seed}"
        );
    }
}

base::cases! {
    /// Guards against runs of other targets that are for nothing, as sound targets say nothing
    /// for up to two seconds and go on.
    silences_up_to_two_seconds_start_few_runs_for_nothing: check => {
        all_lengths: Drawn { shortest: 500, longest: 2_000, hangs_part: 0.0 },
        long_ones: Drawn { shortest: 1_500, longest: 2_000, hangs_part: 0.0 },
        beside_targets_that_hang: Drawn { shortest: 500, longest: 2_000, hangs_part: 0.5 },
    }
}

/// Guards against targets that hang and are noticed later, though no target of the service has
/// gone on after a silence lately.
#[test]
fn targets_that_hang_are_noticed_soon() {
    let mut silences = Silences::default();
    assert_that!(silences.patience(Time::ZERO, SERVICE), eq(SHORTEST));
    silences.ended(Time::ZERO, "other", LONGEST);
    silences.ended(Time::ZERO, SERVICE, SHORTEST / 2);
    assert_that!(silences.patience(Time::ZERO, SERVICE), eq(SHORTEST));
    silences.ended(Time::ZERO, SERVICE, LONGEST);
    assert_that!(silences.patience(Time::ZERO, SERVICE), eq(LONGEST));
    let later = Time::ZERO + Duration::from_mins(6);
    assert_that!(silences.patience(later, SERVICE), eq(SHORTEST));
}
