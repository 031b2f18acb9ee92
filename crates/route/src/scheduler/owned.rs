//! One engine as its owner sees it.

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

/// Seconds that one token of an answer takes, before anything was measured.
const TOKEN_SECS: f64 = 0.025;

/// Weight of the newest measurement of the seconds a token takes.
const TOKEN_GAIN: f64 = 0.02;

/// One place in this many is kept free of live work for critical requests.
const CRITICAL_PART: u32 = 32;

/// One place in this many is kept free of batch work, so that a live request
/// starts without waiting for a running one to give way.
const LIVE_PART: u32 = 8;

/// Batch work gets this much more than it needs by its measured speed.
const URGENT_MARGIN: f64 = 1.25;

/// Entry instances hear of the load at most this often unless what is held
/// changes.
const TELL_EVERY: Duration = Duration::from_millis(50);

/// Entry instances hear of a change in what a load would evict by one part in
/// this many.
const WORTH_STEP: u32 = 4;

/// Told where every slot is in use: another engine is better.
const ALL_IN_USE: u32 = 1_000_000;

/// A sent request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) item: Item,
    pub(crate) at: Time,
    /// Whether it was told to give way.
    pub(crate) yields: bool,
    /// Whether its caller has left.
    pub(crate) gone: bool,
}

/// One engine, its queue, and what runs there.
#[derive(Clone, Debug)]
pub(crate) struct OwnedEngine {
    pub(crate) engine: Engine,
    pub(crate) slots: Slots,
    pub(crate) queue: Queue,
    pub(crate) sent: BTreeMap<Ticket, Sent>,
    /// Queued requests by deadline, a set for each class.
    pub(crate) due: [BTreeSet<(Time, Ticket)>; 3],
    /// Batch requests admitted and not ended, by deadline, and their tokens.
    pub(crate) batch_due: BTreeSet<(Time, Ticket)>,
    pub(crate) batch_tokens: u64,
    /// Adapters to load from spare budget, best first.
    pub(crate) ahead: VecDeque<AdapterKey>,
    /// Newer versions to load, with the versions they replace.
    pub(crate) rolls: Vec<(AdapterKey, AdapterKey)>,
    /// A slot being emptied: nothing more is sent to it.
    pub(crate) clearing: Option<AdapterKey>,
    pub(crate) running: [u32; 3],
    pub(crate) yielding: u32,
    /// From when an inherited adapter may be believed to be unused.
    pub(crate) owned_at: Time,
    token_secs: f64,
    told: (u32, u32),
    told_worth: u32,
    told_at: Time,
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
            ahead: VecDeque::new(),
            rolls: Vec::new(),
            clearing: None,
            running: [0; 3],
            yielding: 0,
            owned_at: now,
            token_secs: TOKEN_SECS,
            told: (0, 0),
            told_worth: 0,
            told_at: now,
        }
    }

    /// Counts a batch request in or out of what has to end by its time.
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

    pub(crate) fn in_batch(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Requests admitted and not ended: critical and live ones, batch ones.
    fn admitted(&self) -> (u32, u32) {
        let of = |class: Class| self.queue.queued(class) + self.running[class as usize];
        (of(Class::Critical) + of(Class::Live), of(Class::Batch))
    }

    /// Adapters that requests of `class` may be sent for now; those in use
    /// first, so that batch work adds few adapters to the engine's batch.
    pub(crate) fn ready(&self, class: Class) -> Vec<Option<AdapterKey>> {
        let slots = self.slots.iter().filter(|s| s.state == SlotState::Ready);
        let slots = slots.filter(|s| class == Class::Critical || self.clearing != Some(s.key));
        let mut keys: Vec<_> = slots.map(|s| (u32::MAX - s.pins, Some(s.key))).collect();
        keys.sort_unstable();
        let keys = keys.into_iter().map(|(_, key)| key);
        std::iter::once(None).chain(keys).collect()
    }

    /// Places that batch work keeps even while live work waits: as many as it
    /// needs to end by its earliest deadline, up to half of all.
    ///
    /// Running work counts as well: else sending a request would lower the
    /// share, and the same request would at once be told to give way.
    pub(crate) fn guaranteed(&self, now: Time) -> u32 {
        let Some((due, _)) = self.batch_due.first() else {
            return 0;
        };
        let places = f64::from(self.engine.batch);
        let work = self.batch_tokens as f64 * self.token_secs;
        let slack = due.since(now).as_secs_f64().max(1.0);
        let need = work * URGENT_MARGIN / slack;
        if need < 1.0 {
            return 0;
        }
        base::hit!(batch_share_guaranteed);
        need.min(places / 2.0).ceil() as u32
    }

    /// Whether batch work waits, but has no slot to run on.
    pub(crate) fn batch_without_slot(&self) -> bool {
        let class = Class::Batch;
        self.running[class as usize] == 0 && self.queue.ready(class, &self.ready(class)) == 0
    }

    /// Places that live work may fill.
    pub(crate) fn live_places(&self) -> u32 {
        self.engine.batch - (self.engine.batch / CRITICAL_PART).min(self.engine.batch - 1)
    }

    /// Places that batch work may fill while no live work waits.
    pub(crate) fn batch_places(&self) -> u32 {
        self.engine.batch
            - (self.engine.batch / LIVE_PART)
                .max(1)
                .min(self.engine.batch - 1)
    }

    /// Estimates how long `tokens` take if all places work on them.
    pub(crate) fn drain_secs(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_secs / f64::from(self.engine.batch.max(1))
    }

    /// Estimates how long one request of `tokens` runs.
    pub(crate) fn run_secs(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.token_secs
    }

    pub(crate) fn measured(&mut self, tokens: u32, took: Duration) {
        let secs = took.as_secs_f64() / f64::from(tokens.max(1));
        self.token_secs += TOKEN_GAIN * (secs - self.token_secs);
    }

    /// Tells entry instances what changed.
    pub(crate) fn tell(
        &mut self,
        now: Time,
        added: Vec<AdapterKey>,
        removed: Vec<AdapterKey>,
        out: &mut Vec<Output>,
    ) {
        self.told = self.admitted();
        self.told_worth = self.worth(now);
        self.told_at = now;
        out.push(Output::Residents {
            target: self.engine.target,
            whole: false,
            added,
            removed,
            running: self.told.0,
            queued: self.told.1,
            worth: self.told_worth,
        });
    }

    /// Thousandths of a live use a second that the next load would evict.
    fn worth(&self, now: Time) -> u32 {
        if self.slots.has_free() {
            return 0;
        }
        let victim = self.slots.victim(|slot| Some(slot_worth(now, slot)));
        match victim {
            Some((_, worth)) => (worth.max(0.0) * 1_000.0) as u32 + 1,
            None => ALL_IN_USE,
        }
    }

    /// Tells entry instances all that is held.
    pub(crate) fn tell_whole(&mut self, now: Time, out: &mut Vec<Output>) {
        let ready = self.slots.iter().filter(|s| s.state == SlotState::Ready);
        let (running, queued) = self.admitted();
        out.push(Output::Residents {
            target: self.engine.target,
            whole: true,
            added: ready.map(|s| s.key).collect(),
            removed: Vec::new(),
            running,
            queued,
            worth: self.worth(now),
        });
    }

    /// Tells entry instances the load, if it changed by a good part since.
    pub(crate) fn tell_load(&mut self, now: Time, out: &mut Vec<Output>) {
        let load = self.admitted();
        let moved = load.0.abs_diff(self.told.0) + load.1.abs_diff(self.told.1);
        let step = (self.engine.batch / 16).max(1);
        let worth = self.worth(now);
        let shifted = worth.abs_diff(self.told_worth) * WORTH_STEP > self.told_worth.max(worth);
        if (moved >= step || shifted) && now.since(self.told_at) >= TELL_EVERY {
            self.tell(now, Vec::new(), Vec::new(), out);
        }
    }
}

/// What keeping the slot is worth: live uses a second.
pub(crate) fn slot_worth(now: Time, slot: &Slot) -> f32 {
    if slot.retired {
        return -1.0;
    }
    slot.used.slow(now).max(slot.used.quick(now))
}
