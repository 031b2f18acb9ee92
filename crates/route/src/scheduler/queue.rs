//! The queue before one engine: by class, then by brand, then by adapter.

use std::collections::{BTreeMap, VecDeque};

use base::{AdapterKey, BrandNo, Class, Ticket, Time};

/// Virtual time that one token costs a brand of weight one.
const TOKEN_COST: u64 = 1_000;

/// What one queued request is known by here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) ticket: Ticket,
    pub(crate) brand: BrandNo,
    pub(crate) key: Option<AdapterKey>,
    pub(crate) class: Class,
    pub(crate) tokens: u32,
    pub(crate) since: Time,
}

/// All requests that wait for one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: [Lanes; 3],
}

/// The requests of one class, a lane for each brand.
#[derive(Clone, Debug, Default)]
struct Lanes {
    lanes: BTreeMap<BrandNo, Lane>,
    clock: u64,
    queued: u32,
    tokens: u64,
}

/// The requests of one brand.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: BTreeMap<Option<AdapterKey>, VecDeque<Item>>,
    queued: u32,
    tokens: u64,
    /// Virtual time at which the brand's last request ends.
    finish: u64,
}

/// Requests of one class and brand that wait for one adapter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Want {
    pub(crate) key: AdapterKey,
    pub(crate) count: u32,
    pub(crate) since: Time,
}

impl Queue {
    /// Puts a request behind its like.
    pub(crate) fn push(&mut self, item: Item) {
        self.lane(&item).push_back(item);
    }

    /// Puts a request that gave way before its like.
    pub(crate) fn push_front(&mut self, item: Item) {
        self.lane(&item).push_front(item);
    }

    /// Takes out a request.
    pub(crate) fn remove(&mut self, item: &Item) {
        let lanes = &mut self.classes[item.class as usize];
        let Some(lane) = lanes.lanes.get_mut(&item.brand) else {
            return;
        };
        let Some(line) = lane.waiting.get_mut(&item.key) else {
            return;
        };
        let Some(at) = line.iter().position(|i| i.ticket == item.ticket) else {
            return;
        };
        line.remove(at);
        lane.forget(item);
        lanes.queued -= 1;
        lanes.tokens -= u64::from(item.tokens);
    }

    /// Takes the next request of `class` that runs on one of `ready`.
    ///
    /// The brand that had least for its weight goes first. Within it the
    /// oldest goes first, but batch work takes `ready` in its order.
    pub(crate) fn pop(
        &mut self,
        class: Class,
        ready: &[Option<AdapterKey>],
        weight: impl Fn(BrandNo) -> u32,
    ) -> Option<Item> {
        let lanes = &mut self.classes[class as usize];
        if lanes.queued == 0 {
            return None;
        }
        let least = lanes.lanes.iter().filter(|(_, lane)| lane.queued > 0);
        let least =
            least.filter_map(|(brand, lane)| Some((lane.finish, *brand, lane.next(class, ready)?)));
        let (start, brand, key) = least.min()?;
        let lane = lanes.lanes.get_mut(&brand)?;
        let item = lane.waiting.get_mut(&key)?.pop_front()?;
        lane.forget(&item);
        lane.finish += u64::from(item.tokens) * TOKEN_COST / u64::from(weight(brand).max(1));
        lanes.clock = lanes.clock.max(start);
        lanes.queued -= 1;
        lanes.tokens -= u64::from(item.tokens);
        Some(item)
    }

    /// Returns the requests of `class` that could run on one of `ready`.
    pub(crate) fn ready(&self, class: Class, ready: &[Option<AdapterKey>]) -> usize {
        let lanes = &self.classes[class as usize];
        if lanes.queued == 0 {
            return 0;
        }
        let lines = lanes
            .lanes
            .values()
            .flat_map(|lane| ready.iter().filter_map(|key| lane.waiting.get(key)));
        lines.map(VecDeque::len).sum()
    }

    /// Returns the requests of `class`.
    pub(crate) fn queued(&self, class: Class) -> u32 {
        self.classes[class as usize].queued
    }

    /// Returns the tokens asked for in `class`.
    pub(crate) fn tokens(&self, class: Class) -> u64 {
        self.classes[class as usize].tokens
    }

    /// Returns the requests and tokens of one brand in `class`.
    pub(crate) fn of_brand(&self, class: Class, brand: BrandNo) -> (u32, u64) {
        let lane = self.classes[class as usize].lanes.get(&brand);
        lane.map_or((0, 0), |lane| (lane.queued, lane.tokens))
    }

    /// Returns the brands with requests queued in `class`.
    pub(crate) fn brands(&self, class: Class) -> impl Iterator<Item = BrandNo> {
        let lanes = self.classes[class as usize].lanes.iter();
        lanes.filter(|(_, lane)| lane.queued > 0).map(|(b, _)| *b)
    }

    /// Returns what waits for adapters in `class`, by brand and adapter.
    pub(crate) fn wants(&self, class: Class) -> impl Iterator<Item = Want> {
        let lanes = self.classes[class as usize].lanes.values();
        let lines = lanes.flat_map(|lane| lane.waiting.iter());
        lines.filter_map(move |(key, line)| {
            Some(Want {
                key: (*key)?,
                count: u32::try_from(line.len()).unwrap_or(u32::MAX),
                since: line.front()?.since,
            })
        })
    }

    /// Returns whether a request of `class` or a more urgent one waits for
    /// `key`.
    pub(crate) fn waits_for(&self, key: AdapterKey, class: Class) -> bool {
        let classes = Class::ALL.into_iter().filter(|c| *c >= class);
        let mut lanes = classes.flat_map(|c| self.classes[c as usize].lanes.values());
        lanes.any(|lane| lane.waiting.contains_key(&Some(key)))
    }

    /// Returns all requests and empties the queue.
    pub(crate) fn drain(&mut self) -> Vec<Item> {
        let classes = std::mem::take(&mut self.classes);
        let lanes = classes.into_iter().flat_map(|c| c.lanes.into_values());
        let lines = lanes.flat_map(|lane| lane.waiting.into_values());
        lines.flatten().collect()
    }

    fn lane(&mut self, item: &Item) -> &mut Lane {
        let lanes = &mut self.classes[item.class as usize];
        lanes.queued += 1;
        lanes.tokens += u64::from(item.tokens);
        let clock = lanes.clock;
        let lane = lanes.lanes.entry(item.brand).or_default();
        if lane.queued == 0 {
            // A brand that was idle starts level with the others: what it
            // left unused was lent out, and is neither owed nor kept.
            lane.finish = lane.finish.max(clock);
        }
        lane
    }
}

impl Lane {
    fn push_back(&mut self, item: Item) {
        self.count(&item);
        self.waiting.entry(item.key).or_default().push_back(item);
    }

    fn push_front(&mut self, item: Item) {
        self.count(&item);
        self.waiting.entry(item.key).or_default().push_front(item);
    }

    fn count(&mut self, item: &Item) {
        self.queued += 1;
        self.tokens += u64::from(item.tokens);
    }

    fn forget(&mut self, item: &Item) {
        self.queued -= 1;
        self.tokens -= u64::from(item.tokens);
        if self.waiting.get(&item.key).is_some_and(VecDeque::is_empty) {
            self.waiting.remove(&item.key);
        }
    }

    fn next(&self, class: Class, ready: &[Option<AdapterKey>]) -> Option<Option<AdapterKey>> {
        let lines = ready
            .iter()
            .filter_map(|key| Some((key, self.waiting.get(key)?.front()?)));
        if class == Class::Batch {
            return lines.map(|(key, _)| *key).next();
        }
        lines
            .min_by_key(|(_, item)| (item.since, item.ticket))
            .map(|(key, _)| *key)
    }
}
