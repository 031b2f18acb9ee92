//! One adapter's requests, and the best plan for them at given prices.

/// Prices of what serving needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Price {
    /// Of a load.
    pub(super) load: f64,
    /// Of a slot for one slice of time.
    pub(super) slice: f64,
    /// Of a millisecond of an engine, counted in each of two ways.
    pub(super) engine: [f64; 2],
}

/// A request for the adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    /// First slice in which it can be served.
    pub(super) from: usize,
    /// Last one; none when it can wait until the end.
    pub(super) to: Option<usize>,
    pub(super) worth: f64,
    /// Milliseconds of an engine that it takes, counted in two ways.
    pub(super) cost: [f64; 2],
}

/// All requests for one adapter.
#[derive(Clone, Debug)]
pub(super) struct Line {
    asks: Vec<Ask>,
    /// Slices in which being there can earn anything more than before, in
    /// order. At equal prices of all moments no other matters: a plan that is
    /// there only in another slice can be there in the one before as well.
    slices: Vec<usize>,
    /// Slices from the first to the last of the longest wait that ends.
    widest: usize,
}

/// Room for the sums of one line, used again for the next.
#[derive(Clone, Debug, Default)]
pub(super) struct Scratch {
    /// By slice in which they come and by slices that they wait at least: what
    /// requests earn that wait no longer than the widest.
    closed: Vec<f64>,
    /// What requests earn that come by each slice and can wait until the end.
    open: Vec<f64>,
    /// The best until each slice in which the adapter was there last.
    best: Vec<f64>,
    /// The best of all until each slice, less what open requests earned.
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

    /// Returns the most that any plan earns beyond what it pays.
    pub(super) fn best(&self, price: &Price, scratch: &mut Scratch) -> f64 {
        self.earn(price, scratch);
        scratch.best.clear();
        scratch.top.clear();
        let mut most = 0.0_f64;
        // The best that still holds its slot at the end of the last slice.
        let mut held = f64::NEG_INFINITY;
        for n in 0..self.slices.len() {
            let load = self.load(n, scratch) - price.load;
            let keep = held - self.gap(n) * price.slice + self.added(n, scratch);
            let best = load.max(keep);
            // Who is there through all of a slice pays for it, or loads again.
            held = load.max(keep - price.slice.min(price.load));
            let open = best - scratch.open[n];
            let top = scratch.top.last().map_or(open.max(0.0), |t| t.max(open));
            scratch.best.push(best);
            scratch.top.push(top);
            most = most.max(best);
        }
        most
    }

    /// Sums up what requests earn beyond the engine's time.
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

    /// Returns the best that comes anew in the `n`-th slice, before it pays for
    /// its load.
    fn load(&self, n: usize, scratch: &Scratch) -> f64 {
        let mut earned = 0.0;
        let mut best = f64::NEG_INFINITY;
        let mut first = n + 1;
        while first > 0 && self.slices[n] - self.slices[first - 1] < self.widest {
            first -= 1;
            let waited = self.slices[n] - self.slices[first];
            earned += scratch.closed[first * self.widest + waited];
            // Served last in the slice before `first`.
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

    /// Returns what requests earn that come in the `n`-th slice.
    fn added(&self, n: usize, scratch: &Scratch) -> f64 {
        let before = n.checked_sub(1).map_or(0.0, |n| scratch.open[n]);
        scratch.closed[n * self.widest] + scratch.open[n] - before
    }

    /// Counts the whole slices between the `n`-th and the one before.
    fn gap(&self, n: usize) -> f64 {
        let before = n.checked_sub(1).map_or(0, |n| self.slices[n] + 1);
        (self.slices[n] - before) as f64
    }
}
