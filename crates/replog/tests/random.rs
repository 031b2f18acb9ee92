//! Random faults from fixed seeds; `cargo xtask soak` runs many more.

use faults::random;

/// Seeds of one case; few enough for a development build.
const SEEDS: u64 = 60;

/// An operator's change is accepted, then processes die, folders vanish, links
/// are cut and clocks stand still, several at once and in any order. Whatever
/// was accepted is still there, in the same order everywhere, and the log takes
/// changes again once the faults are over.
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
    /// Each case runs in a thread of its own.
    survives_random_faults: check => {
        first: 1,
        second: 1_001,
        third: 2_001,
        fourth: 3_001,
    }
}
