//! The request queue of one engine: by class, then by brand, then by adapter. Brands
//! share an engine by weighted fair queueing.

use std::collections::{BTreeMap, VecDeque};

use base::{AdapterKey, BrandNo, Class, Ticket, Time};

/// Virtual time that one token costs a brand of weight one.
const TOKEN_COST: u64 = 1_000;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) ticket: Ticket,
    pub(crate) brand: BrandNo,
    pub(crate) key: Option<AdapterKey>,
    pub(crate) class: Class,
    /// Upper limit of the answer's length.
    pub(crate) tokens: u32,
    /// When the request arrived.
    pub(crate) since: Time,
}

/// All requests queued for one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: [ClassQueue; 3],
}

/// The requests of one class, with a queue for each brand.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    brands: BTreeMap<BrandNo, BrandQueue>,
    virtual_time: u64,
    queued: u32,
    tokens: u64,
}

/// The requests of one brand.
#[derive(Clone, Debug, Default)]
struct BrandQueue {
    waiting: BTreeMap<Option<AdapterKey>, VecDeque<Item>>,
    queued: u32,
    tokens: u64,
    /// Virtual finish time of the brand's last request that was taken from the queue.
    finish: u64,
}

/// Requests of one class and brand that wait for the same adapter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) key: AdapterKey,
    pub(crate) count: u32,
    /// When the first of them arrived.
    pub(crate) since: Time,
}

impl Queue {
    /// Appends a request to the queue of its class, brand and adapter.
    pub(crate) fn push(&mut self, item: Item) {
        self.brand_queue(&item).push_back(item);
    }

    /// Puts a preempted request first in the queue of its class, brand and adapter.
    pub(crate) fn push_front(&mut self, item: Item) {
        self.brand_queue(&item).push_front(item);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, item: &Item) {
        let class_queue = &mut self.classes[item.class as usize];
        let Some(queue) = class_queue.brands.get_mut(&item.brand) else {
            return;
        };
        let Some(fifo) = queue.waiting.get_mut(&item.key) else {
            return;
        };
        let Some(at) = fifo.iter().position(|i| i.ticket == item.ticket) else {
            return;
        };
        fifo.remove(at);
        queue.uncount(item);
        class_queue.queued -= 1;
        class_queue.tokens -= u64::from(item.tokens);
    }

    /// Takes the next request of `class` whose adapter is in `ready`.
    ///
    /// The brand that received least for its weight goes first. Within a brand the oldest
    /// request goes first; batch requests go by the order of `ready` instead.
    pub(crate) fn pop(
        &mut self,
        class: Class,
        ready: &[Option<AdapterKey>],
        weight: impl Fn(BrandNo) -> u32,
    ) -> Option<Item> {
        let class_queue = &mut self.classes[class as usize];
        if class_queue.queued == 0 {
            return None;
        }
        let least = class_queue
            .brands
            .iter()
            .filter(|(_, queue)| queue.queued > 0);
        let least = least
            .filter_map(|(brand, queue)| Some((queue.finish, *brand, queue.next(class, ready)?)));
        let (start, brand, key) = least.min()?;
        let queue = class_queue.brands.get_mut(&brand)?;
        let item = queue.waiting.get_mut(&key)?.pop_front()?;
        queue.uncount(&item);
        queue.finish += u64::from(item.tokens) * TOKEN_COST / u64::from(weight(brand).max(1));
        class_queue.virtual_time = class_queue.virtual_time.max(start);
        class_queue.queued -= 1;
        class_queue.tokens -= u64::from(item.tokens);
        Some(item)
    }

    /// Returns the number of requests of `class` whose adapter is in `ready`.
    pub(crate) fn ready(&self, class: Class, ready: &[Option<AdapterKey>]) -> usize {
        let class_queue = &self.classes[class as usize];
        if class_queue.queued == 0 {
            return 0;
        }
        let fifos = class_queue
            .brands
            .values()
            .flat_map(|queue| ready.iter().filter_map(|key| queue.waiting.get(key)));
        fifos.map(VecDeque::len).sum()
    }

    /// Returns the number of requests of `class`.
    pub(crate) fn queued(&self, class: Class) -> u32 {
        self.classes[class as usize].queued
    }

    /// Returns the tokens requested by all requests of `class`.
    pub(crate) fn tokens(&self, class: Class) -> u64 {
        self.classes[class as usize].tokens
    }

    /// Returns the number of requests and tokens of one brand in `class`.
    pub(crate) fn of_brand(&self, class: Class, brand: BrandNo) -> (u32, u64) {
        let queue = self.classes[class as usize].brands.get(&brand);
        queue.map_or((0, 0), |queue| (queue.queued, queue.tokens))
    }

    /// Returns the brands with requests queued in `class`.
    pub(crate) fn brands(&self, class: Class) -> impl Iterator<Item = BrandNo> {
        let queues = self.classes[class as usize].brands.iter();
        queues
            .filter(|(_, queue)| queue.queued > 0)
            .map(|(b, _)| *b)
    }

    /// Returns the requests of `class` that wait for adapters, grouped by brand and
    /// adapter.
    pub(crate) fn waiting(&self, class: Class) -> impl Iterator<Item = Waiting> {
        let queues = self.classes[class as usize].brands.values();
        let fifos = queues.flat_map(|queue| queue.waiting.iter());
        fifos.filter_map(move |(key, fifo)| {
            Some(Waiting {
                key: (*key)?,
                count: u32::try_from(fifo.len()).unwrap_or(u32::MAX),
                since: fifo.front()?.since,
            })
        })
    }

    /// Returns whether a request of `class` or a more urgent one waits for `key`.
    pub(crate) fn waits_for(&self, key: AdapterKey, class: Class) -> bool {
        let classes = Class::ALL.into_iter().filter(|c| *c >= class);
        let mut queues = classes.flat_map(|c| self.classes[c as usize].brands.values());
        queues.any(|queue| queue.waiting.contains_key(&Some(key)))
    }

    /// Removes and returns all requests.
    pub(crate) fn drain(&mut self) -> Vec<Item> {
        let classes = std::mem::take(&mut self.classes);
        let queues = classes.into_iter().flat_map(|c| c.brands.into_values());
        let fifos = queues.flat_map(|queue| queue.waiting.into_values());
        fifos.flatten().collect()
    }

    fn brand_queue(&mut self, item: &Item) -> &mut BrandQueue {
        let class_queue = &mut self.classes[item.class as usize];
        class_queue.queued += 1;
        class_queue.tokens += u64::from(item.tokens);
        let virtual_time = class_queue.virtual_time;
        let queue = class_queue.brands.entry(item.brand).or_default();
        if queue.queued == 0 {
            // A brand that was idle starts at the class's current virtual time: capacity
            // that it left unused is not made up for.
            queue.finish = queue.finish.max(virtual_time);
        }
        queue
    }
}

impl BrandQueue {
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

    fn uncount(&mut self, item: &Item) {
        self.queued -= 1;
        self.tokens -= u64::from(item.tokens);
        if self.waiting.get(&item.key).is_some_and(VecDeque::is_empty) {
            self.waiting.remove(&item.key);
        }
    }

    fn next(&self, class: Class, ready: &[Option<AdapterKey>]) -> Option<Option<AdapterKey>> {
        let fifos = ready
            .iter()
            .filter_map(|key| Some((key, self.waiting.get(key)?.front()?)));
        if class == Class::Batch {
            return fifos.map(|(key, _)| *key).next();
        }
        fifos
            .min_by_key(|(_, item)| (item.since, item.ticket))
            .map(|(key, _)| *key)
    }
}
