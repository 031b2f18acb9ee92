//! State of one owned engine.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use base::{AdapterKey, Class, Ticket, Time};
use place::{Slot, SlotState, Slots};

use crate::{
    Engine, Output,
    scheduler::queue::{Item, Queue},
};

/// Assumed seconds per generated token, before any was measured.
const TOKEN_SECS: f64 = 0.025;

/// Weight of the newest sample in the moving average of the seconds per token.
const TOKEN_GAIN: f64 = 0.02;

/// One in this many concurrent requests is reserved for critical requests.
const CRITICAL_RESERVE: u32 = 32;

/// One in this many concurrent requests is not given to batch work, so that a live
/// request starts without waiting for a preemption.
const LIVE_RESERVE: u32 = 8;

/// Factor by which the guaranteed batch share exceeds what the measured speed calls for.
const GUARANTEE_MARGIN: f64 = 1.25;

/// Shortest interval between publications of an engine's load, unless its resident
/// adapters change.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// A change of the eviction cost is published when it exceeds one part in this many.
const COST_CHANGE: u32 = 4;

/// Eviction cost published while every slot is in use, so that entry instances prefer
/// other engines.
const ALL_IN_USE_COST: u32 = 1_000_000;

/// A request sent to the engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) item: Item,
    pub(crate) at: Time,
    /// Whether its preemption was requested.
    pub(crate) preempted: bool,
    /// Whether its caller has left.
    pub(crate) caller_gone: bool,
}

/// One owned engine, its queue and its running requests.
#[derive(Clone, Debug)]
pub(crate) struct OwnedEngine {
    pub(crate) engine: Engine,
    pub(crate) slots: Slots,
    pub(crate) queue: Queue,
    pub(crate) sent: BTreeMap<Ticket, Sent>,
    /// Queued requests by deadline, indexed by class.
    pub(crate) due: [BTreeSet<(Time, Ticket)>; 3],
    /// Batch requests admitted and not ended, by deadline; `batch_tokens` is the sum of
    /// their tokens.
    pub(crate) batch_due: BTreeSet<(Time, Ticket)>,
    pub(crate) batch_tokens: u64,
    /// Adapters to load ahead of requests from spare budget, best first.
    pub(crate) prefetch: VecDeque<AdapterKey>,
    /// Pairs of an adapter version in use and the newer version to load in its place.
    pub(crate) upgrades: Vec<(AdapterKey, AdapterKey)>,
    /// The adapter whose slot is being cleared: no more live or batch requests are sent
    /// to it.
    pub(crate) clearing: Option<AdapterKey>,
    /// Requests sent and not ended, indexed by class.
    pub(crate) running: [u32; 3],
    /// Running batch requests whose preemption was requested.
    pub(crate) preempting: u32,
    /// When this instance took over; only a report taken later shows that an inherited
    /// adapter is unused.
    pub(crate) owned_at: Time,
    token_secs: f64,
    /// Admitted requests published last: critical and live ones, and batch ones.
    published: (u32, u32),
    published_cost: u32,
    published_at: Time,
}

impl OwnedEngine {
    pub(crate) fn new(now: Time, engine: Engine) -> Self {
        OwnedEngine {
            engine,
            slots: Slots::new(engine.slots),
            queue: Queue::default(),
            sent: BTreeMap::new(),
            due: Default::default(),
            batch_due: BTreeSet::new(),
            batch_tokens: 0,
            prefetch: VecDeque::new(),
            upgrades: Vec::new(),
            clearing: None,
            running: [0; 3],
            preempting: 0,
            owned_at: now,
            token_secs: TOKEN_SECS,
            published: (0, 0),
            published_cost: 0,
            published_at: now,
        }
    }

    /// Adds a batch request to, or removes it from, the work that the guaranteed share is
    /// computed from.
    pub(crate) fn count_batch(&mut self, item: &Item, deadline: Time, admitted: bool) {
        if item.class != Class::Batch {
            return;
        }
        let due = (deadline, item.ticket);
        let tokens = u64::from(item.tokens);
        if admitted && self.batch_due.insert(due) {
            self.batch_tokens += tokens;
        }
        if !admitted && self.batch_due.remove(&due) {
            self.batch_tokens -= tokens;
        }
    }

    pub(crate) fn running_total(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns the requests admitted and not ended: critical and live ones, and batch
    /// ones.
    fn admitted(&self) -> (u32, u32) {
        let of = |class: Class| self.queue.queued(class) + self.running[class as usize];
        (of(Class::Critical) + of(Class::Live), of(Class::Batch))
    }

    /// Returns the adapters that requests of `class` may be sent to now; those with most
    /// requests come first, so that batch work adds few distinct adapters to the engine's
    /// batch.
    pub(crate) fn ready(&self, class: Class) -> Vec<Option<AdapterKey>> {
        let slots = self.slots.iter().filter(|s| s.state == SlotState::Ready);
        let slots = slots.filter(|s| class == Class::Critical || self.clearing != Some(s.key));
        let mut keys: Vec<_> = slots.map(|s| (u32::MAX - s.pins, Some(s.key))).collect();
        keys.sort_unstable();
        let keys = keys.into_iter().map(|(_, key)| key);
        std::iter::once(None).chain(keys).collect()
    }

    /// Returns the number of concurrent batch requests guaranteed even while live
    /// requests wait: as many as the batch work needs to end by its earliest deadline, up
    /// to half of all.
    ///
    /// Running batch requests count as remaining work: otherwise sending a request would
    /// lower the share, and the same request would be preempted at once.
    pub(crate) fn guaranteed(&self, now: Time) -> u32 {
        let Some((due, _)) = self.batch_due.first() else {
            return 0;
        };
        let concurrency = f64::from(self.engine.batch);
        let work = self.batch_tokens as f64 * self.token_secs;
        let slack = due.since(now).as_secs_f64().max(1.0);
        let need = work * GUARANTEE_MARGIN / slack;
        if need < 1.0 {
            return 0;
        }
        base::hit!(batch_share_guaranteed);
        need.min(concurrency / 2.0).ceil() as u32
    }

    /// Returns whether no batch request runs or could run on a resident adapter.
    pub(crate) fn batch_without_slot(&self) -> bool {
        let class = Class::Batch;
        self.running[class as usize] == 0 && self.queue.ready(class, &self.ready(class)) == 0
    }

    /// Returns the number of concurrent requests up to which live requests are sent.
    pub(crate) fn live_capacity(&self) -> u32 {
        self.engine.batch - (self.engine.batch / CRITICAL_RESERVE).min(self.engine.batch - 1)
    }

    /// Returns the number of concurrent requests up to which batch requests are sent
    /// while no live request waits.
    pub(crate) fn batch_capacity(&self) -> u32 {
        self.engine.batch
            - (self.engine.batch / LIVE_RESERVE)
                .max(1)
                .min(self.engine.batch - 1)
    }

    /// Estimates the seconds that `tokens` take at full concurrency.
    pub(crate) fn drain_secs(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_secs / f64::from(self.engine.batch.max(1))
    }

    /// Estimates the seconds that one request of `tokens` runs.
    pub(crate) fn run_secs(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_secs
    }

    /// Updates the seconds per token from a request that has ended.
    pub(crate) fn record_speed(&mut self, tokens: u32, took: Duration) {
        let secs = took.as_secs_f64() / f64::from(tokens.max(1));
        self.token_secs += TOKEN_GAIN * (secs - self.token_secs);
    }

    /// Publishes a delta of the resident adapters, and the load, to the entry instances.
    pub(crate) fn publish(
        &mut self,
        now: Time,
        added: Vec<AdapterKey>,
        removed: Vec<AdapterKey>,
        out: &mut Vec<Output>,
    ) {
        self.published = self.admitted();
        self.published_cost = self.evict_cost(now);
        self.published_at = now;
        out.push(Output::Residents {
            target: self.engine.target,
            full: false,
            added,
            removed,
            running: self.published.0,
            queued: self.published.1,
            evict_cost: self.published_cost,
        });
    }

    /// Returns the usage rate of the adapter that the next load would evict, in
    /// thousandths of a live request a second; zero while a slot is free.
    fn evict_cost(&self, now: Time) -> u32 {
        if self.slots.has_free() {
            return 0;
        }
        let victim = self.slots.victim(|slot| Some(slot_usage(now, slot)));
        match victim {
            Some((_, usage)) => (usage.max(0.0) * 1_000.0) as u32 + 1,
            None => ALL_IN_USE_COST,
        }
    }

    /// Publishes the full list of resident adapters to the entry instances.
    pub(crate) fn publish_full(&mut self, now: Time, out: &mut Vec<Output>) {
        let ready = self.slots.iter().filter(|s| s.state == SlotState::Ready);
        let (running, queued) = self.admitted();
        out.push(Output::Residents {
            target: self.engine.target,
            full: true,
            added: ready.map(|s| s.key).collect(),
            removed: Vec::new(),
            running,
            queued,
            evict_cost: self.evict_cost(now),
        });
    }

    /// Publishes the load to the entry instances if it changed notably since the last
    /// time.
    pub(crate) fn publish_load(&mut self, now: Time, out: &mut Vec<Output>) {
        let load = self.admitted();
        let moved = load.0.abs_diff(self.published.0) + load.1.abs_diff(self.published.1);
        let step = (self.engine.batch / 16).max(1);
        let cost = self.evict_cost(now);
        let shifted =
            cost.abs_diff(self.published_cost) * COST_CHANGE > self.published_cost.max(cost);
        if (moved >= step || shifted) && now.since(self.published_at) >= PUBLISH_INTERVAL {
            self.publish(now, Vec::new(), Vec::new(), out);
        }
    }
}

/// Returns the slot's usage in live requests a second; negative for a superseded version,
/// which is evicted first.
pub(crate) fn slot_usage(now: Time, slot: &Slot) -> f32 {
    if slot.superseded {
        return -1.0;
    }
    slot.usage.slow(now).max(slot.usage.fast(now))
}
