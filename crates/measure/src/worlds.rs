//! Synthetic workloads whose adapter slots, store bandwidth, engine speed and demand are
//! far from the deployments that the policy was designed for.

use crate::workload::{DAY, Shape, Sizes, Span, Workload, make};

/// Parameters of one synthetic world.
#[derive(Clone, Copy, Debug)]
struct World {
    name: &'static str,
    /// Adapter slots of an engine.
    slots: u32,
    /// Number of concurrent loads that the store serves at full speed.
    parallel: u32,
    /// Step time of the engines relative to the reference engine; 1.0 is equal.
    pace: f64,
    /// Exponent of the Zipf distribution of adapter popularity.
    skew: f64,
    /// Seconds of a full run at which the adapters' popularity is reshuffled.
    reshuffles: &'static [u64],
}

const PLAIN: World = World {
    name: "6 places, 8 loads",
    slots: 6,
    parallel: 8,
    pace: 1.0,
    skew: 1.0,
    reshuffles: &[],
};

/// Reshuffles the adapters' popularity every 40 seconds.
const RESHUFFLED: &[u64] = &[60, 100, 140, 180, 220, 260];

#[rustfmt::skip]
const WORLDS: [World; 13] = [
    PLAIN,
    World { name: "3 places", slots: 3, ..PLAIN },
    World { name: "12 places", slots: 12, ..PLAIN },
    World { name: "40 places", slots: 40, ..PLAIN },
    World { name: "2 loads", parallel: 2, ..PLAIN },
    World { name: "40 loads", parallel: 40, ..PLAIN },
    World { name: "engines 3 times faster", pace: 1.0 / 3.0, ..PLAIN },
    World { name: "engines 3 times slower", pace: 3.0, ..PLAIN },
    World { name: "skew 0.6, moving", skew: 0.6, reshuffles: RESHUFFLED, ..PLAIN },
    World { name: "skew 1.4, moving", skew: 1.4, reshuffles: RESHUFFLED, ..PLAIN },
    World { name: "3 places, 2 loads", slots: 3, parallel: 2, ..PLAIN },
    World { name: "3 places, 40 loads, skew 0.6, moving", slots: 3, parallel: 40, skew: 0.6, reshuffles: RESHUFFLED, ..PLAIN },
    World { name: "40 places, 2 loads, skew 1.4, moving", slots: 40, parallel: 2, skew: 1.4, reshuffles: RESHUFFLED, ..PLAIN },
];

/// Seconds that a load takes at full speed.
const LOAD_SECS: f64 = 0.25;

/// Demand per engine, the same in every world.
const DEMAND: Shape = Shape {
    live: 6.0,
    batch: 1.0,
    ..DAY
};

/// Offset that keeps the seeds of these worlds distinct from those of the deployments.
const SEED_OFFSET: u64 = 500;

/// Returns the names of all worlds.
#[must_use]
pub fn names() -> Vec<String> {
    WORLDS.iter().map(|world| world.name.to_owned()).collect()
}

/// Creates the `i`-th world of [`names`].
///
/// # Panics
///
/// Panics when there is no such world.
#[must_use]
pub fn nth(i: usize, seed: u64, span: Span) -> Workload {
    let world = &WORLDS[i];
    let shape = Shape {
        skew: world.skew,
        reshuffles: world.reshuffles,
        ..DEMAND
    };
    // The seed does not depend on `i`, so worlds of one seed differ only in their parameters.
    let seed = seed.wrapping_mul(1_000) + SEED_OFFSET;
    let mut work = make(&sizes(world), &shape, span, seed);
    work.name = world.name.to_owned();
    work
}

fn sizes(world: &World) -> Sizes {
    Sizes {
        name: "world",
        zones: 3,
        engines: 12,
        replicas: 3,
        entries: 6,
        adapters: 3_000,
        slots: world.slots,
        batch: 32,
        load_rate: f64::from(world.parallel) / LOAD_SECS,
        parallel: world.parallel,
        pace: world.pace,
        brands: 3,
    }
}
