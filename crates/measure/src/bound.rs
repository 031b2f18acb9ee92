//! A bound on what anybody could serve in a world, even knowing all of its
//! requests in advance.
//!
//! Whoever serves needs loads of the store, time in engines' slots and time of
//! engines. Each gets a price. At any prices, what a policy earns is no more
//! than what its capacities cost and what each adapter's best plan earns
//! beyond what it pays; so every choice of prices gives a bound, and a search
//! takes a low one. A plan at these prices is Belady's choice: an adapter stays
//! only where its next request is so near that its slot costs less than a load,
//! so that the one with the farthest next request gives way, and requests that
//! are worth less than the engine's time are left out.
//!
//! All that is relaxed helps the clairvoyant:
//!
//! - all engines are one: an adapter in any slot serves every engine, and no
//!   zone is ever cut off;
//! - the caches at the beginning of the count are as wished, at the price of a
//!   load for each adapter in a slot;
//! - loads never fail, go at full speed, and hold their slots no longer;
//! - a slot is paid for only where it is held for a whole slice of time, and an
//!   adapter that is there at any moment of a slice serves all who wait for
//!   their first token then;
//! - each request shares its steps with as many of its adapter as can be under
//!   way at once in its time; batches, or else all slots, are always full, each
//!   of the two a constraint of its own; prompts' heads are cached;
//! - fractions of plans may be mixed, and capacities need hold over the whole
//!   count only, not at each moment.
//!
//! One thing is taken for granted that is a rule of every world: a load holds
//! its slot from its start on.

mod line;

use std::{collections::BTreeMap, time::Duration};

use base::Time;

use crate::{
    bound::line::{Ask, Line, Price, Scratch},
    engine::least_ms,
    store::Store,
    workload::{Arrival, Fault, Workload},
};

/// Microseconds of a slice of time.
const SLICE: u64 = 1_000_000;

/// First step of the search, as a part of the price at which a capacity costs
/// all that is asked for.
const FIRST_STEP: f64 = 0.25;

/// Step at which the search ends.
const LAST_STEP: f64 = 1.0 / 512.0;

/// Allowance for the rounding of sums, as a part of them.
const ROUNDING: f64 = 1e-9;

/// Capacities over the whole count, in the order of a search's coordinates:
/// loads, slots times slices, and milliseconds of engines, counted in two ways.
type Capacity = [f64; 4];

/// Returns a worth that no policy which keeps the rules exceeds, in the unit of
/// [`Figures::worth`](crate::figures::Figures::worth).
#[must_use]
pub fn bound(work: &Workload) -> f64 {
    let lines = lines(work);
    let asked: f64 = lines.iter().map(Line::asked).sum();
    let capacity = capacity(work);
    let load_slices = load_slices(work);
    let mut scratch = Scratch::default();
    let least = search(|at| {
        // A capacity of nothing has any price.
        let price = |i: usize| at[i] * asked / capacity[i].max(1.0);
        let price = Price {
            load: price(0) + price(1) * load_slices,
            slice: price(1),
            engine: [price(2), price(3)],
        };
        let earned: f64 = lines.iter().map(|l| l.best(&price, &mut scratch)).sum();
        earned + asked * at.iter().sum::<f64>()
    });
    least * (1.0 + ROUNDING)
}

/// Returns the requests that count, by adapter.
fn lines(work: &Workload) -> Vec<Line> {
    let mut groups: BTreeMap<_, Vec<&Arrival>> = BTreeMap::new();
    for arrival in work.arrivals.iter().filter(|a| work.weighs(a)) {
        groups.entry(arrival.key).or_default().push(arrival);
    }
    let lines = groups.values().map(|group| {
        let sharers = sharers(work, group);
        let asks = group.iter().zip(sharers);
        Line::new(asks.map(|(a, sharers)| ask(work, a, sharers)).collect())
    });
    lines.collect()
}

/// Returns, for each request for one adapter, how many of them, itself among
/// them, can be under way at once in its time.
fn sharers(work: &Workload, group: &[&Arrival]) -> Vec<u32> {
    let slices = |a: &Arrival| slice(work, a.at)..=slice(work, a.whole_by());
    let mut counts = vec![0; slice(work, work.span.end()) + 1];
    for arrival in group {
        for n in slices(arrival) {
            counts[n] += 1;
        }
    }
    let most = |a: &&Arrival| slices(a).map(|n| counts[n]).max().unwrap_or(1);
    group.iter().map(most).collect()
}

fn ask(work: &Workload, arrival: &Arrival, sharers: u32) -> Ask {
    let last = slice(work, work.span.end()) - 1;
    let to = slice(work, arrival.deadline).min(last);
    Ask {
        from: slice(work, arrival.at).min(last),
        to: Some(to).filter(|to| *to < last),
        worth: arrival.worth() as f64,
        cost: least_ms(&work.sizes, arrival, sharers),
    }
}

/// Returns for how many slices a load holds its slot at least.
fn load_slices(work: &Workload) -> f64 {
    let store = Store::new(work.sizes.loads, work.sizes.parallel);
    store.least_secs() * 1e6 / SLICE as f64
}

/// Returns the slice of the count in which a moment lies.
fn slice(work: &Workload, at: Time) -> usize {
    let micros = at.0 - work.span.start().0;
    usize::try_from(micros / SLICE).unwrap_or(usize::MAX)
}

fn capacity(work: &Workload) -> Capacity {
    let sizes = &work.sizes;
    let secs = work.span.counted.as_secs_f64();
    let slots = f64::from(sizes.slots);
    let up = up(work).as_secs_f64();
    let loads = Store::new(sizes.loads, sizes.parallel).most(secs);
    // What is there as the count begins was loaded before: both a load and its
    // time come on top.
    let there = slots * sizes.engines as f64;
    [
        loads + there,
        slots * up * 1e6 / SLICE as f64 + there * load_slices(work),
        up * 1e3,
        up * 1e3,
    ]
}

/// Returns for how long engines are up during the count, added up.
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

/// Looks for the least value of a convex function from nothing up: polls all
/// neighbours, and halves the step where none is lower.
fn search(mut value: impl FnMut(Capacity) -> f64) -> f64 {
    let mut at = [0.0; 4];
    let mut least = value(at);
    let mut lower = |at, step, least: f64| {
        neighbours(at, step).into_iter().find_map(|next| {
            let here = value(next);
            (here < least).then_some((next, here))
        })
    };
    // What is no lower one small step away is no lower farther off.
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

/// Returns the points one step away in one or two coordinates, none below 0.
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
