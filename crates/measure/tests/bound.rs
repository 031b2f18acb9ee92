//! Tests of the offline bound: no policy exceeds it in any world, and in the smallest
//! worlds it is close to the optimum computed by hand.

use std::time::Duration;

use base::{AdapterKey, AdapterNo, BrandNo, Class, Time, Version};
use googletest::prelude::*;
use measure::{
    Policy, bound,
    workload::{self, Arrival, Fault, Sizes, Span, Workload},
    world, worlds,
};

/// A seed, and the worlds that are run with it.
type Worlds = (u64, fn() -> Vec<String>, fn(usize, u64) -> Workload);

base::cases! {
    /// Guards against a relaxation that excludes something a policy can do: the bound would
    /// then be below the worth that a policy serves.
    no_policy_exceeds_the_bound: check_holds => {
        deployments_1: (1, workload::names, deployment),
        deployments_2: (2, workload::names, deployment),
        deployments_3: (3, workload::names, deployment),
        other_worlds_1: (1, worlds::names, other),
        other_worlds_2: (2, worlds::names, other),
        other_worlds_3: (3, worlds::names, other),
    }
}

fn deployment(i: usize, seed: u64) -> Workload {
    workload::nth_with_span(i, seed, Span::SHORT)
}

fn other(i: usize, seed: u64) -> Workload {
    worlds::nth(i, seed, Span::SHORT)
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
            assert_that!(figures.violations, eq(0), "{name}");
        }
    }
}

/// How the smallest world is changed, and the expected bound in requests of 100 tokens.
type Small = (fn(&mut Workload), f64);

base::cases! {
    /// In worlds with a single scarce capacity the optimum can be computed by hand. Guards
    /// against a bound that is too high, such as one that is always the worth of all
    /// requests.
    bound_is_near_the_optimum: check_near => {
        // A hundred requests, one per second, and no capacity is scarce.
        all: (|w| w.sizes.slots = 2, 100.0),
        // One load in four seconds, and one adapter resident from the start.
        store: (|w| w.sizes.load_rate = 0.25, 26.0),
        // Steps of 10.749 ms, each with one request: the only slot is never shared.
        slots: (|w| set_requests(w, 2, |_, _| {}), 100_000.0 / 1074.9),
        // Steps of 10.999 ms for two requests that share the only adapter.
        places: (|w| set_requests(w, 4, one_adapter), 100_000.0 / 549.95),
        // The same, with half of the requests worth twice as much.
        worth: (|w| set_requests(w, 4, half_critical), 2.0 * 100_000.0 / 549.95),
        // The same, but the engine is up for only half of the time.
        down: (|w| {
            set_requests(w, 4, one_adapter);
            w.faults = vec![(secs(60.0), Fault::Down(0))];
        }, 50_000.0 / 549.95),
        // No loads at all, but an adapter resident from the start may stay.
        kept: (|w| {
            set_requests(w, 1, one_adapter);
            w.sizes.load_rate = 1e-6;
        }, 100.0),
        // Every other request is for an adapter for which there is no slot.
        displaced: (|w| {
            set_requests(w, 1, |i, a| a.key = key(i % 2));
            w.sizes.load_rate = 1e-6;
        }, 50.0),
        // Requests for adapters that can't be loaded don't count.
        broken: (|w| w.unloadable = (50..100).map(AdapterNo).collect(), 50.0),
    }
}

fn check_near((change, requests): Small) {
    // The search ends close to the minimum and never goes below it.
    check_between((change, requests * 0.9999, requests * 1.01));
}

/// How the smallest world is changed, the number of requests that a plan made by hand
/// serves, and the highest bound allowed.
type Planned = (fn(&mut Workload), f64, f64);

base::cases! {
    /// Guards against a bound below what a plan without rule violations serves.
    bound_is_above_a_feasible_plan: check_between => {
        // Every load serves the five requests that arrived in the four seconds before; there
        // are five loads, and one adapter resident from the start.
        patience: (|w| {
            set_requests(w, 1, |i, a| a.key = key(i / 5));
            w.sizes.load_rate = 0.05;
        }, 30.0, 30.5),
        // One of two adapters stays resident. Its load takes 20 s of the slot, and it stays
        // for at least 84 s. With the load time granted for adapters resident from the start
        // there are 120 s of slot time, so fractions of such plans can be mixed: the bound
        // is above the 50 requests of the best plan.
        stays: (|w| {
            set_requests(w, 1, |i, a| a.key = key(i % 2));
            w.sizes.load_rate = 0.05;
        }, 50.0, 60.0),
    }
}

fn check_between((change, reached, most): Planned) {
    let mut work = small();
    change(&mut work);
    let requests = bound(&work) / f64::from(TOKENS) / 4.0;
    assert_that!(requests, all![ge(reached), le(most)]);
}

/// Number of tokens of each answer in the smallest world.
const TOKENS: u32 = 100;

/// Returns the smallest world: one engine with one slot, and a hundred adapters with one
/// request each.
fn small() -> Workload {
    let [agency, _] = workload::deployments();
    let mut work = Workload {
        name: "small".to_owned(),
        span: Span {
            warm_up: Duration::from_secs(10),
            counted: Duration::from_secs(100),
        },
        sizes: Sizes {
            engines: 1,
            slots: 1,
            batch: 2,
            load_rate: 1_000.0,
            parallel: 1,
            ..agency
        },
        arrivals: Vec::new(),
        faults: Vec::new(),
        unloadable: Vec::new(),
        failure_rate: 0.0,
    };
    set_requests(&mut work, 1, |_, _| {});
    work
}

/// Replaces the requests by `100 * times` requests, spread evenly over the time in which
/// answers are still due before the end, and applies `change` to each with its index.
fn set_requests(work: &mut Workload, times: u32, change: fn(u32, &mut Arrival)) {
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

fn half_critical(i: u32, arrival: &mut Arrival) {
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
