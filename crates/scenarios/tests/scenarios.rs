//! Runs each script with its seeds.
//!
//! `cargo xtask soak-control --from SEED --seeds N` runs every script with many
//! seeds and prints the first failure with its trace.

use std::{
    ops::Range,
    sync::atomic::{AtomicUsize, Ordering},
};

use googletest::prelude::*;
use scenarios::SCRIPTS;

/// Threads of a soak run, which leaves the other cores of its machine to other work.
const THREADS: usize = 4;

fn check((name, seeds): (&str, Range<u64>)) {
    for seed in seeds {
        let result = scenarios::run(name, seed);
        assert_that!(result, ok(anything()), "script {name}, seed {seed}");
    }
}

base::cases! {
    /// Seeds of an ordinary test run; together some two hundred.
    scenario: check => {
        calm: ("calm", 1..5),
        isolated: ("isolated", 1..21),
        frozen: ("frozen", 1..25),
        replaced: ("replaced", 1..7),
        zone_cut: ("zone_cut", 1..17),
        newcomer: ("newcomer", 1..31),
        one_way: ("one_way", 1..21),
        handover: ("handover", 1..31),
        rolling: ("rolling", 1..17),
        operators: ("operators", 1..21),
        claims: ("claims", 1..21),
        chaos: ("chaos", 1..11),
    }
}

#[test]
#[ignore = "runs for minutes; started by `cargo xtask soak-control`"]
fn soak() {
    let raw = std::env::var("QUETZALARCH_SEEDS").unwrap_or_else(|_| "1000..1100".to_owned());
    let (from, to) = raw.split_once("..").expect("QUETZALARCH_SEEDS is FROM..TO");
    let seeds = from.parse().expect("a seed")..to.parse().expect("a seed");
    let only = std::env::var("QUETZALARCH_SCRIPT").ok();
    let wanted = |name: &str| only.as_ref().is_none_or(|only| only == name);
    let names: Vec<_> = SCRIPTS
        .iter()
        .map(|(name, _)| *name)
        .filter(|n| wanted(n))
        .collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(name) = names.get(next.fetch_add(1, Ordering::Relaxed)) {
                    check((name, seeds.clone()));
                    println!("{name}: seeds {seeds:?} pass");
                }
            });
        }
    });
}
