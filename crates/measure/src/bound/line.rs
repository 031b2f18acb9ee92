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
pub(super) struct Ask {
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
pub(super) struct Line {
    asks: Vec<Ask>,
    /// Slices in which some request can be served, in order. Prices are the same at all
    /// times, so the others don't matter: instead of being resident in another slice, a
    /// plan can be resident in the listed slice before it at no higher cost.
    slices: Vec<usize>,
    /// Number of slices of the longest wait among requests that can't wait until the end.
    widest: usize,
}

/// Buffers for the computation of one adapter, reused for the next one.
#[derive(Clone, Debug, Default)]
pub(super) struct Scratch {
    /// Profit of requests with a last slice, by the slice of their arrival and the minimum
    /// number of slices that they wait; row-major, with rows of the longest wait.
    closed: Vec<f64>,
    /// Profit of requests that can wait until the end and arrived by each slice.
    open: Vec<f64>,
    /// Highest profit of plans in which the adapter is last resident in each slice.
    best: Vec<f64>,
    /// Highest profit of all plans up to each slice, minus the profit of requests that can
    /// wait until the end.
    top: Vec<f64>,
}

impl Line {
    pub(super) fn new(asks: Vec<Ask>) -> Self {
        let mut slices: Vec<usize> = asks
            .iter()
            .flat_map(|ask| ask.from..=ask.to.unwrap_or(ask.from))
            .collect();
        slices.sort_unstable();
        slices.dedup();
        let waits = asks.iter().filter_map(|ask| Some(ask.to? - ask.from + 1));
        let widest = waits.max().unwrap_or(1);
        Line {
            asks,
            slices,
            widest,
        }
    }

    /// Returns the worth of all requests.
    pub(super) fn asked(&self) -> f64 {
        self.asks.iter().map(|ask| ask.worth).sum()
    }

    /// Returns the profit of the best plan: worth served minus the cost of resources.
    pub(super) fn best(&self, price: &Price, scratch: &mut Scratch) -> f64 {
        self.earn(price, scratch);
        scratch.best.clear();
        scratch.top.clear();
        let mut most = 0.0_f64;
        // Highest profit of plans that still hold the slot at the end of the previous slice.
        let mut held = f64::NEG_INFINITY;
        for n in 0..self.slices.len() {
            let load = self.load(n, scratch) - price.load;
            let keep = held - self.gap(n) * price.slice + self.added(n, scratch);
            let best = load.max(keep);
            // A plan that stays resident throughout a slice pays for it, or for another load.
            held = load.max(keep - price.slice.min(price.load));
            let open = best - scratch.open[n];
            let top = scratch.top.last().map_or(open.max(0.0), |t| t.max(open));
            scratch.best.push(best);
            scratch.top.push(top);
            most = most.max(best);
        }
        most
    }

    /// Sums up the profit of requests: worth minus the cost of engine time.
    fn earn(&self, price: &Price, scratch: &mut Scratch) {
        let (count, widest) = (self.slices.len(), self.widest);
        scratch.closed.clear();
        scratch.closed.resize(count * widest, 0.0);
        scratch.open.clear();
        scratch.open.resize(count, 0.0);
        for ask in &self.asks {
            let cost = ask.cost[0] * price.engine[0] + ask.cost[1] * price.engine[1];
            let earned = (ask.worth - cost).max(0.0);
            let n = self.slices.partition_point(|slice| *slice < ask.from);
            match ask.to {
                Some(to) => scratch.closed[n * widest + to - ask.from] += earned,
                None => scratch.open[n] += earned,
            }
        }
        for row in scratch.closed.chunks_mut(widest) {
            for k in (1..widest).rev() {
                row[k - 1] += row[k];
            }
        }
        for n in 1..count {
            scratch.open[n] += scratch.open[n - 1];
        }
    }

    /// Returns the highest profit of plans that load the adapter in the `n`-th slice, before
    /// the price of that load.
    fn load(&self, n: usize, scratch: &Scratch) -> f64 {
        let mut earned = 0.0;
        let mut best = f64::NEG_INFINITY;
        let mut first = n + 1;
        while first > 0 && self.slices[n] - self.slices[first - 1] < self.widest {
            first -= 1;
            let waited = self.slices[n] - self.slices[first];
            earned += scratch.closed[first * self.widest + waited];
            // The plan was last resident in the slice before `first`.
            if first > 0 {
                let before = scratch.best[first - 1] - scratch.open[first - 1];
                best = best.max(before + earned);
            }
        }
        let top = match first {
            0 => 0.0,
            _ => scratch.top[first - 1],
        };
        best.max(top + earned) + scratch.open[n]
    }

    /// Returns the profit of requests that arrive in the `n`-th slice.
    fn added(&self, n: usize, scratch: &Scratch) -> f64 {
        let before = n.checked_sub(1).map_or(0.0, |n| scratch.open[n]);
        scratch.closed[n * self.widest] + scratch.open[n] - before
    }

    /// Counts the slices of time between the `n`-th listed slice and the one before.
    fn gap(&self, n: usize) -> f64 {
        let before = n.checked_sub(1).map_or(0, |n| self.slices[n] + 1);
        (self.slices[n] - before) as f64
    }
}
