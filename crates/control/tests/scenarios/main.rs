//! Scenarios of faults, written as rhai scripts over a small world of fakes.
//!
//! `cargo xtask soak-control --from SEED --seeds N` runs every script under many
//! seeds and prints the first that fails with its trace.

mod check;
mod engine;
mod entry;
mod keeper;
mod script;
mod world;

use std::{
    ops::Range,
    sync::atomic::{AtomicUsize, Ordering},
};

use googletest::prelude::*;

/// Threads of a soak; it shares its machine with other work.
const THREADS: usize = 4;

macro_rules! scenarios {
    ($($name:ident: $seeds:expr,)+) => {
        const SCRIPTS: &[(&str, &str)] = &[
            $((stringify!($name), include_str!(concat!(stringify!($name), ".rhai")))),+
        ];
        $(
            #[test]
            fn $name() {
                run(stringify!($name), $seeds);
            }
        )+
    };
}

// Seeds of an ordinary run; together some two hundred.
scenarios! {
    calm: 1..5,
    isolated: 1..21,
    frozen: 1..25,
    replaced: 1..7,
    zone_cut: 1..17,
    newcomer: 1..31,
    one_way: 1..21,
    handover: 1..31,
    rolling: 1..17,
    operators: 1..21,
    claims: 1..21,
    chaos: 1..11,
}

fn run(name: &str, seeds: Range<u64>) {
    let found = SCRIPTS.iter().find(|(known, _)| *known == name);
    let (_, text) = found.expect("the macro names only scripts that exist");
    for seed in seeds {
        let result = script::run(text, seed);
        assert_that!(result, ok(anything()), "script {name}, seed {seed}");
    }
}

#[test]
#[ignore = "runs for minutes; started by `cargo xtask soak`"]
fn soak() {
    let raw = std::env::var("QUETZALARCH_SEEDS").unwrap_or_else(|_| "1000..1100".to_owned());
    let (from, to) = raw.split_once("..").expect("QUETZALARCH_SEEDS is FROM..TO");
    let seeds = from.parse().expect("a seed")..to.parse().expect("a seed");
    let only = std::env::var("QUETZALARCH_SCRIPT").ok();
    let wanted = |name: &str| only.as_ref().is_none_or(|only| only == name);
    let scripts: Vec<_> = SCRIPTS.iter().filter(|(name, _)| wanted(name)).collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((name, _)) = scripts.get(next.fetch_add(1, Ordering::Relaxed)) {
                    run(name, seeds.clone());
                    println!("{name}: seeds {seeds:?} pass");
                }
            });
        }
    });
}
