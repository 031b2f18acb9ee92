//! How many refusals brittle targets get from all instances together, and how much of their
//! room is used. Virtual time, no network.

use std::{collections::VecDeque, time::Duration};

use base::{PerSecond, Time};
use gateway::brittle::{BrittleTargets, Load};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGET: &str = "t";
const STEP: Duration = Duration::from_millis(5);

/// Time between two exchanges of an instance with the zone owner.
const EXCHANGE: u64 = 250;

/// Time in which instances have to hear that a target is brittle.
const CONTACT: u64 = 3_000;

const END: u64 = 30_000;

/// A brittle target and the instances that send to it.
struct Case {
    instances: usize,
    slots: u32,
    bears: u32,
    /// Mean time that a request runs, in milliseconds.
    run: f64,
    /// Requests that are offered, as a multiple of what the target can run.
    demand: f64,
}

struct Instance {
    known: BrittleTargets,
    /// When each of its own requests ends.
    own: Vec<u64>,
    /// What it has last told the zone owner.
    told: u32,
    next: u64,
}

/// What came of a case.
struct Outcome {
    /// Most refusals within a second.
    refusals: usize,
    /// Part of the slots in use.
    used: f64,
}

fn play(case: &Case, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all: Vec<_> = (0..case.instances)
        .map(|no| Instance {
            known: BrittleTargets::new(seed * 1_000 + no as u64, case.instances as u32),
            own: Vec::new(),
            told: 0,
            next: rng.random_range(0..EXCHANGE),
        })
        .collect();
    let step = STEP.as_millis() as u64;
    let arrivals = case.demand * f64::from(case.slots) / case.run * step as f64;
    let (mut refused, mut recent, mut used) = (VecDeque::new(), 0, 0.0);
    for ms in (0..END).step_by(step as usize) {
        let now = Time(1_000_000) + Duration::from_millis(ms);
        for instance in &mut all {
            instance.own.retain(|end| *end > ms);
        }
        let told: u32 = all.iter().map(|instance| instance.told).sum();
        for instance in all.iter_mut().filter(|instance| instance.next <= ms) {
            instance.next += EXCHANGE;
            let own = instance.own.len() as u32;
            let others = told - instance.told;
            instance.told = own;
            let slots = case.slots;
            instance.known.heard(TARGET, Load { slots, own, others });
        }
        let running: usize = all.iter().map(|instance| instance.own.len()).sum();
        if ms >= CONTACT {
            used += running as f64 / f64::from(case.slots);
        }
        let mut free = (case.slots as usize).saturating_sub(running);
        let count = arrivals.floor() as usize + usize::from(rng.random_bool(arrivals.fract()));
        for _ in 0..count {
            let no = rng.random_range(0..case.instances);
            let instance = &mut all[no];
            let own = instance.own.len() as u32;
            if instance.known.blocked_for(now, TARGET, own).is_some() {
                continue;
            }
            let load = Load {
                slots: case.slots,
                own,
                others: told.saturating_sub(own),
            };
            if free > 0 {
                free -= 1;
                let run = -case.run * (1.0 - rng.random::<f64>()).ln();
                instance.own.push(ms + 1 + run as u64);
            } else {
                refused.push_back(ms);
            }
            instance
                .known
                .seen(TARGET, Some(PerSecond(case.bears)), load);
            if refused.back() == Some(&ms) && free == 0 {
                instance.known.refused(now, TARGET);
            }
        }
        refused.retain(|at| at + 1_000 > ms);
        if ms >= CONTACT {
            recent = recent.max(refused.len());
        }
    }
    let steps = (END - CONTACT) / step;
    Outcome {
        refusals: recent,
        used: used / steps as f64,
    }
}

fn check(case: Case) {
    for seed in 0..20 {
        let outcome = play(&case, seed);
        assert_that!(outcome.refusals, le(case.bears as usize), "seed {seed}");
    }
}

const SMALL: Case = Case {
    instances: 7,
    slots: 32,
    bears: 3,
    run: 800.0,
    demand: 2.0,
};

base::cases! {
    /// A target that says that it is brittle must not have to refuse more than it bears,
    /// summed over all instances.
    a_brittle_target_bears_what_it_refuses: check => {
        small: SMALL,
        many: Case { instances: 57, ..SMALL },
        short_runs: Case { run: 100.0, ..SMALL },
        few_slots: Case { slots: 4, ..SMALL },
        little_demand: Case { demand: 0.5, ..SMALL },
        bears_one: Case { bears: 1, ..SMALL },
        bears_none: Case { bears: 0, ..SMALL },
    }
}

/// Prints how much of the slots is used.
#[gtest]
#[ignore = "prints a table"]
fn used_slots() {
    for (name, case) in [
        ("small", SMALL),
        (
            "many",
            Case {
                instances: 57,
                ..SMALL
            },
        ),
        (
            "short runs",
            Case {
                run: 100.0,
                ..SMALL
            },
        ),
        ("few slots", Case { slots: 4, ..SMALL }),
        (
            "little demand",
            Case {
                demand: 0.5,
                ..SMALL
            },
        ),
    ] {
        let played: Vec<_> = (0..20).map(|seed| play(&case, seed)).collect();
        let used = played.iter().map(|one| one.used).sum::<f64>() / played.len() as f64;
        let most = played.iter().map(|one| one.refusals).max();
        println!("{name}: {used:.2} used, {most:?} refused in a second");
    }
}
