//! Random faults from fixed seeds; `cargo xtask soak` runs many more seeds.

use faults::random;

/// Seeds of one case; few enough for a debug build.
const SEEDS: u64 = 60;

/// Processes die, folders are lost, links are cut and clocks stop, several at once and in
/// any order. Every accepted change is still there afterwards, in the same order on all
/// replicas, and the log accepts changes again once the faults are over.
fn check(first: u64) {
    let mut accepted = 0;
    for seed in first..first + SEEDS {
        match random::run(seed) {
            Ok(tally) => accepted += tally.accepted,
            Err(broken) => panic!("{}\nseed {}: {}", broken.trace, broken.seed, broken.reason),
        }
    }
    assert!(accepted > 0, "no run accepted anything");
}

base::cases! {
    /// Separate cases, so that they run in parallel threads.
    survives_random_faults: check => {
        first: 1,
        second: 1_001,
        third: 2_001,
        fourth: 3_001,
    }
}
