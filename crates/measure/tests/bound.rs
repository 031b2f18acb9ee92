//! The bound: no policy exceeds it in any world, and it is as low as it can be
//! told by hand in the smallest ones.

use std::time::Duration;

use base::{AdapterKey, AdapterNo, BrandNo, Class, Time, Version};
use googletest::prelude::*;
use measure::{
    Policy, bound,
    workload::{self, Arrival, Fault, Sizes, Span, Workload},
    world, worlds,
};

/// A seed, and the worlds that it runs in.
type Worlds = (u64, fn() -> Vec<String>, fn(usize, u64) -> Workload);

base::cases! {
    /// Guards against a relaxation that forbids what a policy does.
    nobody_exceeds_the_bound: check_holds => {
        deployments_1: (1, workload::names, deployment),
        deployments_2: (2, workload::names, deployment),
        deployments_3: (3, workload::names, deployment),
        other_worlds_1: (1, worlds::names, other),
        other_worlds_2: (2, worlds::names, other),
        other_worlds_3: (3, worlds::names, other),
    }
}

fn deployment(i: usize, seed: u64) -> Workload {
    workload::within(i, seed, Span::SHORT)
}

fn other(i: usize, seed: u64) -> Workload {
    worlds::one(i, seed, Span::SHORT)
}

fn check_holds((seed, names, make): Worlds) {
    for (i, world) in names().iter().enumerate() {
        let work = make(i, seed);
        let bound = bound(&work);
        for policy in Policy::ALL {
            let figures = world::run(&work, policy, seed);
            let (asked, given) = (figures.worth.0 as f64, figures.worth.1 as f64);
            let name = format!("{world}, {}", policy.name());
            assert_that!(given, all![gt(0.0), le(bound)], "{name}");
            assert_that!(bound, le(asked * (1.0 + 1e-6)), "{name}");
            assert_that!(figures.broken, eq(0), "{name}");
        }
    }
}

/// How the smallest world is changed, and the bound in requests of 100 tokens.
type Small = (fn(&mut Workload), f64);

base::cases! {
    /// Where the least of its capacities is the only one that matters, the bound
    /// can be told by hand. Guards against one that is always the whole.
    bound_by_hand: check_small => {
        // A hundred requests, one a second, and nothing that is short.
        all: (|w| w.sizes.slots = 2, 100.0),
        // One load in four seconds, and one adapter there before.
        store: (|w| w.sizes.loads = 0.25, 26.0),
        // Steps of 10.749 ms for one request alone in the only slot.
        slots: (|w| each(w, 2, |_, _| {}), 100_000.0 / 1074.9),
        // Steps of 10.999 ms for two requests that share the only adapter.
        places: (|w| each(w, 4, one_adapter), 100_000.0 / 549.95),
        // The same, with half of them worth twice as much.
        worth: (|w| each(w, 4, urgent), 2.0 * 100_000.0 / 549.95),
        // The same while the engine is up, which is for half of the time.
        down: (|w| {
            each(w, 4, one_adapter);
            w.faults = vec![(secs(60.0), Fault::Down(0))];
        }, 50_000.0 / 549.95),
        // No load at all, but what is there may stay.
        kept: (|w| {
            each(w, 1, one_adapter);
            w.sizes.loads = 1e-6;
        }, 100.0),
        // Every other request is for an adapter that has no slot.
        displaced: (|w| {
            each(w, 1, |i, a| a.key = key(i % 2));
            w.sizes.loads = 1e-6;
        }, 50.0),
        // What nobody can load is not asked for.
        broken: (|w| w.broken = (50..100).map(AdapterNo).collect(), 50.0),
    }
}

fn check_small((change, requests): Small) {
    // The search stops near the least; it never goes below.
    check_between((change, requests * 0.9999, requests * 1.01));
}

/// How the smallest world is changed, the requests that a plan told by hand
/// serves, and what the bound stays under.
type Planned = (fn(&mut Workload), f64, f64);

base::cases! {
    /// Guards against a bound that is under a plan which keeps every rule.
    bound_by_plan: check_between => {
        // Every load serves the five that have come in the four seconds before;
        // there are five loads, and one adapter there before.
        patience: (|w| {
            each(w, 1, |i, a| a.key = key(i / 5));
            w.sizes.loads = 0.05;
        }, 30.0, 30.5),
        // One of two adapters stays. It takes 20 s of the slot to be loaded and
        // stays for 84 s at least; with the time of what was there before there
        // are 120 s, which parts of such plans can share out.
        stays: (|w| {
            each(w, 1, |i, a| a.key = key(i % 2));
            w.sizes.loads = 0.05;
        }, 50.0, 60.0),
    }
}

fn check_between((change, reached, most): Planned) {
    let mut work = small();
    change(&mut work);
    let requests = bound(&work) / f64::from(TOKENS) / 4.0;
    assert_that!(requests, all![ge(reached), le(most)]);
}

/// Tokens of each answer in the smallest world.
const TOKENS: u32 = 100;

/// One engine with one slot, and a hundred adapters asked for once each.
fn small() -> Workload {
    let [agency, _] = workload::deployments();
    let mut work = Workload {
        name: "small".to_owned(),
        span: Span {
            warm: Duration::from_secs(10),
            counted: Duration::from_secs(100),
        },
        sizes: Sizes {
            engines: 1,
            slots: 1,
            batch: 2,
            loads: 1_000.0,
            parallel: 1,
            ..agency
        },
        arrivals: Vec::new(),
        faults: Vec::new(),
        broken: Vec::new(),
        failing: 0.0,
    };
    each(&mut work, 1, |_, _| {});
    work
}

/// Asks a hundred times as often as this, evenly over the time in which an
/// answer is still due before the end, and changes each request.
fn each(work: &mut Workload, times: u32, change: fn(u32, &mut Arrival)) {
    let one = |i: u32| {
        let at = secs(10.0 + 0.89 * f64::from(i) / f64::from(times));
        let mut arrival = Arrival {
            at,
            entry: 0,
            key: key(i),
            brand: BrandNo(0),
            class: Class::Live,
            prefix: 1,
            prompt: 0,
            tokens: TOKENS,
            deadline: at + Duration::from_secs(5),
        };
        change(i, &mut arrival);
        arrival
    };
    work.arrivals = (0..100 * times).map(one).collect();
}

fn one_adapter(_: u32, arrival: &mut Arrival) {
    arrival.key = key(0);
}

fn urgent(i: u32, arrival: &mut Arrival) {
    arrival.key = key(0);
    if i.is_multiple_of(2) {
        arrival.class = Class::Critical;
    }
}

fn key(adapter: u32) -> Option<AdapterKey> {
    Some(AdapterKey {
        adapter: AdapterNo(adapter),
        version: Version(1),
    })
}

fn secs(secs: f64) -> Time {
    Time((secs * 1e6) as u64)
}
