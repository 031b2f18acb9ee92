//! An offline upper bound on the worth that any policy can serve in a world, even a
//! clairvoyant one that knows all requests in advance.
//!
//! The bound is a Lagrangian relaxation. Serving consumes three resources: loads from the
//! store, time in engines' adapter slots, and engine time. Each resource gets a price, its
//! Lagrange multiplier. At any prices, the worth that a policy serves is at most the cost
//! of all capacity plus, summed over adapters, the profit (worth minus cost) of the
//! adapter's best plan. So any choice of prices gives a valid bound, and a search looks for
//! prices that give a low one. A best plan evicts as Belady's algorithm does: an adapter
//! stays resident only if its next request is so near that its slot costs less than
//! another load, so the adapter with the farthest next request is evicted. Requests worth
//! less than the engine time that they take are not served.
//!
//! Every relaxation can only raise the bound:
//!
//! - all engines are pooled into one: an adapter in any slot serves requests on every
//!   engine, and no zone is ever cut off;
//! - a plan chooses which adapters are resident at the start of the counted period, at the
//!   price of a load for each;
//! - loads never fail, run at full speed, and occupy their slots no longer than that;
//! - a slot is paid for only if it is held for a whole slice of time, and an adapter that
//!   is resident at any moment of a slice serves all requests that wait for their first
//!   token in it;
//! - each request shares its steps with the highest number of requests for its adapter
//!   that can be in progress at once during its lifetime; either the batch or the slots
//!   are always full, which gives two separate constraints; prompts' prefixes are cached;
//! - plans may be mixed fractionally, and capacity limits hold only in total over the
//!   counted period, not at each moment.
//!
//! The bound relies on one rule of every world: a load occupies its slot from its start.

mod demand;

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use crate::{
    bound::demand::{Demand, Price, Request, Scratch},
    engine::least_ms,
    store::Store,
    workload::{Arrival, Fault, Workload},
};

/// Microseconds of a slice of time.
const SLICE: u64 = 1_000_000;

/// Initial step of the search, in units of the price at which a capacity costs as much as
/// the worth of all requests.
const FIRST_STEP: f64 = 0.25;

/// Smallest step of the search.
const LAST_STEP: f64 = 1.0 / 512.0;

/// Relative allowance for rounding errors in sums.
const ROUNDING: f64 = 1e-9;

/// Capacities over the counted period, in the order of the search's coordinates: loads,
/// slots times slices, and engine milliseconds, computed in the two ways of [`least_ms`].
type Capacity = [f64; 4];

/// Returns an upper bound on the worth of any policy without rule violations, in the unit
/// of [`Figures::worth`](crate::figures::Figures::worth).
#[must_use]
pub fn bound(work: &Workload) -> f64 {
    let demands = demands(work);
    let total_worth: f64 = demands.iter().map(Demand::total_worth).sum();
    let capacity = capacity(work);
    let load_slices = load_slices(work);
    let mut scratch = Scratch::default();
    let least = search(|at| {
        // The price of an empty capacity does not matter; this avoids a division by zero.
        let price = |i: usize| at[i] * total_worth / capacity[i].max(1.0);
        let price = Price {
            load: price(0) + price(1) * load_slices,
            slice: price(1),
            engine: [price(2), price(3)],
        };
        let profit: f64 = demands
            .iter()
            .map(|d| d.best_profit(&price, &mut scratch))
            .sum();
        profit + total_worth * at.iter().sum::<f64>()
    });
    least * (1.0 + ROUNDING)
}

/// Returns the requests whose worth counts, grouped by adapter.
fn demands(work: &Workload) -> Vec<Demand> {
    let mut groups: BTreeMap<_, Vec<&Arrival>> = BTreeMap::new();
    for arrival in work.arrivals.iter().filter(|a| work.counts_worth(a)) {
        groups.entry(arrival.key).or_default().push(arrival);
    }
    let demands = groups.values().map(|group| {
        let sharers = sharers(work, group);
        let requests = group.iter().zip(sharers);
        Demand::new(
            requests
                .map(|(a, sharers)| request(work, a, sharers))
                .collect(),
        )
    });
    demands.collect()
}

/// Returns, for each request of `group`, the highest number of requests of the group,
/// itself included, that can be in progress at once during its lifetime.
fn sharers(work: &Workload, group: &[&Arrival]) -> Vec<u32> {
    let slices = |a: &Arrival| slice(work, a.at)..=slice(work, a.complete_by());
    let mut counts = vec![0; slice(work, work.span.end()) + 1];
    for arrival in group {
        for n in slices(arrival) {
            counts[n] += 1;
        }
    }
    let highest = |a: &&Arrival| slices(a).map(|n| counts[n]).max().unwrap_or(1);
    group.iter().map(highest).collect()
}

fn request(work: &Workload, arrival: &Arrival, sharers: u32) -> Request {
    let last = slice(work, work.span.end()) - 1;
    let to = slice(work, arrival.deadline).min(last);
    Request {
        from: slice(work, arrival.at).min(last),
        to: Some(to).filter(|to| *to < last),
        worth: arrival.worth() as f64,
        cost: least_ms(&work.sizes, arrival, sharers),
    }
}

/// Returns the shortest time, in slices, for which a load occupies its slot.
fn load_slices(work: &Workload) -> f64 {
    let store = Store::new(work.sizes.load_rate, work.sizes.parallel);
    store.min_load_secs() * 1e6 / SLICE as f64
}

/// Returns the slice of the counted period that contains `at`.
fn slice(work: &Workload, at: Time) -> usize {
    let micros = at.0 - work.span.start().0;
    usize::try_from(micros / SLICE).unwrap_or(usize::MAX)
}

fn capacity(work: &Workload) -> Capacity {
    let sizes = &work.sizes;
    let secs = work.span.counted.as_secs_f64();
    let slots = f64::from(sizes.slots);
    let up = up(work).as_secs_f64();
    let loads = Store::new(sizes.load_rate, sizes.parallel).max_loads(secs);
    // Adapters resident at the start of the counted period were loaded before it, so both
    // the loads and their slot time come on top.
    let resident = slots * sizes.engines as f64;
    [
        loads + resident,
        slots * up * 1e6 / SLICE as f64 + resident * load_slices(work),
        up * 1e3,
        up * 1e3,
    ]
}

/// Returns the time for which engines are up during the counted period, summed over all.
fn up(work: &Workload) -> Duration {
    let (start, end) = (work.span.start(), work.span.end());
    let within = |at: Time| at.clamp(start, end);
    let mut sum = Duration::ZERO;
    for i in 0..work.sizes.engines {
        let mut since = Some(start);
        for (at, fault) in &work.faults {
            match fault {
                Fault::Down(n) if *n == i => {
                    sum += since
                        .take()
                        .map_or(Duration::ZERO, |t| within(*at).since(t));
                }
                Fault::Up(n) if *n == i => since = Some(within(*at)),
                _ => {}
            }
        }
        sum += since.map_or(Duration::ZERO, |t| end.since(t));
    }
    sum
}

/// Minimises a convex function by pattern search, starting at zero: polls all neighbours
/// and halves the step when none is lower.
fn search(mut value: impl FnMut(Capacity) -> f64) -> f64 {
    let mut at = [0.0; 4];
    let mut least = value(at);
    let mut lower = |at, step, least: f64| {
        neighbours(at, step).into_iter().find_map(|next| {
            let here = value(next);
            (here < least).then_some((next, here))
        })
    };
    // The function is convex: if no neighbour at the smallest step is lower, none farther
    // away is.
    if lower(at, LAST_STEP, least).is_none() {
        return least;
    }
    let mut step = FIRST_STEP;
    while step >= LAST_STEP {
        match lower(at, step, least) {
            Some((next, here)) => (at, least) = (next, here),
            None => step /= 2.0,
        }
    }
    least
}

/// Returns the points one step away in one or two coordinates, clamped to 0 from below.
fn neighbours(at: [f64; 4], step: f64) -> Vec<[f64; 4]> {
    let moves = (0..at.len()).flat_map(|i| [(i, step), (i, -step)]);
    let moves: Vec<_> = moves.collect();
    let mut all = Vec::new();
    for (i, a) in &moves {
        for (k, b) in moves.iter().filter(|(k, _)| k >= i) {
            let mut next = at;
            next[*i] = (next[*i] + a).max(0.0);
            if k != i {
                next[*k] = (next[*k] + b).max(0.0);
            }
            all.push(next);
        }
    }
    all.retain(|next| *next != at);
    all
}
