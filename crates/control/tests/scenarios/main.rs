//! Scenarios of faults, written as rhai scripts over a small world of fakes.
//!
//! `QUETZALARCH_SEEDS=FROM..TO cargo test -p control --test scenarios -- --ignored soak`
//! runs every script under many seeds and prints the first that fails.

mod check;
mod engine;
mod entry;
mod keeper;
mod script;
mod world;

use std::ops::Range;

use googletest::prelude::*;

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
    for (name, _) in SCRIPTS {
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        run(name, seeds.clone());
        println!("{name}: seeds {seeds:?} pass");
    }
}
