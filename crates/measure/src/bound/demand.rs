//! One adapter's requests, and the most profitable plan for them at given prices.
//!
//! A plan says in which slices of time the adapter is resident. Its profit is the worth of
//! the requests that it serves, minus the prices of loads, slots and engine time.

/// Prices of the resources that serving consumes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Price {
    /// Price of a load.
    pub(super) load: f64,
    /// Price of a slot for one slice of time.
    pub(super) slice: f64,
    /// Price of an engine millisecond, for each of the two ways to compute it.
    pub(super) engine: [f64; 2],
}

/// A request for the adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// First slice in which it can be served.
    pub(super) from: usize,
    /// Last slice in which it can be served; `None` if it can wait until the end.
    pub(super) to: Option<usize>,
    /// Worth of its answer, in weighted tokens.
    pub(super) worth: f64,
    /// Engine milliseconds that it takes, computed in two ways.
    pub(super) cost: [f64; 2],
}

/// All requests for one adapter.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    requests: Vec<Request>,
    /// Slices in which some request can be served, in order. Prices are the same at all
    /// times, so the others don't matter: instead of being resident in another slice, a
    /// plan can be resident in the listed slice before it at no higher cost.
    slices: Vec<usize>,
    /// Number of slices of the longest wait among requests that can't wait until the end.
    max_wait: usize,
}

/// Buffers for the computation of one adapter, reused for the next one.
#[derive(Clone, Debug, Default)]
pub(super) struct Scratch {
    /// Profit of requests with a last slice, by the slice of their arrival and the minimum
    /// number of slices that they wait; row-major, with rows of the longest wait.
    limited: Vec<f64>,
    /// Profit of requests that can wait until the end and arrived by each slice.
    unlimited: Vec<f64>,
    /// Highest profit of plans in which the adapter is last resident in each slice.
    best: Vec<f64>,
    /// Highest profit of all plans up to each slice, minus the profit of requests that can
    /// wait until the end.
    best_so_far: Vec<f64>,
}

impl Demand {
    pub(super) fn new(requests: Vec<Request>) -> Self {
        let mut slices: Vec<usize> = requests
            .iter()
            .flat_map(|request| request.from..=request.to.unwrap_or(request.from))
            .collect();
        slices.sort_unstable();
        slices.dedup();
        let waits = requests
            .iter()
            .filter_map(|request| Some(request.to? - request.from + 1));
        let max_wait = waits.max().unwrap_or(1);
        Demand {
            requests,
            slices,
            max_wait,
        }
    }

    /// Returns the worth of all requests.
    pub(super) fn total_worth(&self) -> f64 {
        self.requests.iter().map(|request| request.worth).sum()
    }

    /// Returns the profit of the best plan: worth served minus the cost of resources.
    pub(super) fn best_profit(&self, price: &Price, scratch: &mut Scratch) -> f64 {
        self.sum_profits(price, scratch);
        scratch.best.clear();
        scratch.best_so_far.clear();
        let mut most = 0.0_f64;
        // Highest profit of plans that still hold the slot at the end of the previous slice.
        let mut held = f64::NEG_INFINITY;
        for n in 0..self.slices.len() {
            let load = self.profit_with_load(n, scratch) - price.load;
            let keep = held - self.gap(n) * price.slice + self.added_profit(n, scratch);
            let best = load.max(keep);
            // A plan that stays resident throughout a slice pays for it, or for another load.
            held = load.max(keep - price.slice.min(price.load));
            let others = best - scratch.unlimited[n];
            let top = scratch
                .best_so_far
                .last()
                .map_or(others.max(0.0), |t| t.max(others));
            scratch.best.push(best);
            scratch.best_so_far.push(top);
            most = most.max(best);
        }
        most
    }

    /// Sums up the profit of requests: worth minus the cost of engine time.
    fn sum_profits(&self, price: &Price, scratch: &mut Scratch) {
        let (count, max_wait) = (self.slices.len(), self.max_wait);
        scratch.limited.clear();
        scratch.limited.resize(count * max_wait, 0.0);
        scratch.unlimited.clear();
        scratch.unlimited.resize(count, 0.0);
        for request in &self.requests {
            let cost = request.cost[0] * price.engine[0] + request.cost[1] * price.engine[1];
            let profit = (request.worth - cost).max(0.0);
            let n = self.slices.partition_point(|slice| *slice < request.from);
            match request.to {
                Some(to) => scratch.limited[n * max_wait + to - request.from] += profit,
                None => scratch.unlimited[n] += profit,
            }
        }
        for row in scratch.limited.chunks_mut(max_wait) {
            for k in (1..max_wait).rev() {
                row[k - 1] += row[k];
            }
        }
        for n in 1..count {
            scratch.unlimited[n] += scratch.unlimited[n - 1];
        }
    }

    /// Returns the highest profit of plans that load the adapter in the `n`-th slice, before
    /// the price of that load.
    fn profit_with_load(&self, n: usize, scratch: &Scratch) -> f64 {
        let mut profit = 0.0;
        let mut best = f64::NEG_INFINITY;
        let mut first = n + 1;
        while first > 0 && self.slices[n] - self.slices[first - 1] < self.max_wait {
            first -= 1;
            let waited = self.slices[n] - self.slices[first];
            profit += scratch.limited[first * self.max_wait + waited];
            // The plan was last resident in the slice before `first`.
            if first > 0 {
                let before = scratch.best[first - 1] - scratch.unlimited[first - 1];
                best = best.max(before + profit);
            }
        }
        let top = match first {
            0 => 0.0,
            _ => scratch.best_so_far[first - 1],
        };
        best.max(top + profit) + scratch.unlimited[n]
    }

    /// Returns the profit of requests that arrive in the `n`-th slice.
    fn added_profit(&self, n: usize, scratch: &Scratch) -> f64 {
        let before = n.checked_sub(1).map_or(0.0, |n| scratch.unlimited[n]);
        scratch.limited[n * self.max_wait] + scratch.unlimited[n] - before
    }

    /// Counts the slices of time between the `n`-th listed slice and the one before.
    fn gap(&self, n: usize) -> f64 {
        let before = n.checked_sub(1).map_or(0, |n| self.slices[n] + 1);
        (self.slices[n] - before) as f64
    }
}
