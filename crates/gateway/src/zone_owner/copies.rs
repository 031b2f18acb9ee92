//! How many copies of each adapter are needed where goals are tight, and their loads.
//!
//! Pattern: Little's law. The requests of an adapter occupy its rate times the time that a
//! request stays. Its holders offer what other requests leave of them, up to a target use.
//! What they lack is loaded at once, before callers wait; what they have too much of may go.
//!
//! Failure: demand moved to adapters with one copy each. Entry instances asked for one more
//! copy after their callers had waited, and the next one followed after a load and a pause:
//! holders had up to 2.3 times as many requests as slots for seconds, while two thirds of all
//! slots were free.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;

use super::{Output, ZoneOwner, placement::Placement, plan::Candidate, rates::Rates};

/// Interval at which the needed copies are counted. Entry instances report what runs four
/// times a second, each at another time.
const SIZE_INTERVAL: Duration = Duration::from_millis(100);

/// Part of an engine's slots up to which its adapters are given requests; the rest is for
/// rises until further copies are loaded.
const TARGET_USE: f64 = 0.7;

/// Room that is kept for an adapter, relative to the need that is seen.
const HEADROOM: f64 = 1.2;

/// The same from which a copy is surplus, by the highest need of late. It lies well above
/// [`HEADROOM`], so that no copy is given up and loaded again as demand varies.
const SURPLUS_ROOM: f64 = 2.4;

/// Half-life of the highest need that was seen: waves come again after some ten seconds.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(8);

/// Highest need, decayed, from which it is forgotten.
const MIN_PEAK: f64 = 0.5;

/// Number of requests below which an adapter gets no further copy by its need; entry
/// instances ask for one if its holders are full.
const MIN_NEED: f64 = 4.0;

/// Part of an engine's slots that has to be free up to [`TARGET_USE`] for a further copy.
const MIN_ROOM: f64 = 0.15;

/// Part of the store's loads at full speed up to which copies by need are loaded from it, while
/// no caller waits for it; those in an engine's host memory are loaded in any case.
pub(super) const STORE_PART: usize = 4;

/// What each adapter needs in the zones of an owner.
#[derive(Debug, Default)]
pub(super) struct Sizing {
    pub(super) rates: Rates,
    /// When the needs were last counted.
    counted: Time,
    needs: BTreeMap<String, Need>,
    /// The highest number of requests of each adapter of late, decaying.
    peaks: BTreeMap<String, f64>,
}

/// What an adapter needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Number of copies that it has to have.
    least: usize,
    /// Number of copies from which on further ones are surplus.
    most: usize,
    /// Number of requests that each further copy takes over.
    relief: f64,
}

/// What the holders of an adapter offer.
#[derive(Clone, Copy, Debug, Default)]
struct Offer {
    holders: usize,
    /// Requests of the adapter.
    running: f64,
    /// Requests that they take up to the target use, besides those of other adapters.
    room: f64,
}

/// A shortage of copies.
pub(super) struct Shortage {
    adapter: String,
    /// Number of copies to load.
    count: usize,
    /// Number of requests that each takes over.
    relief: f64,
}

impl Sizing {
    /// Returns whether an adapter has lately had so many requests that a copy which is given
    /// up has to be loaded again.
    pub(super) fn is_busy(&self, adapter: &str) -> bool {
        self.peaks
            .get(adapter)
            .is_some_and(|peak| *peak >= MIN_NEED)
    }

    /// Lets the highest needs decay by `time` and raises them to those `seen` now.
    fn note_peaks(&mut self, time: Duration, seen: &BTreeMap<String, f64>) {
        let part = 0.5_f64.powf(time.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
        self.peaks.retain(|_, peak| {
            *peak *= part;
            *peak >= MIN_PEAK
        });
        for (adapter, seen) in seen {
            let peak = self.peaks.entry(adapter.clone()).or_default();
            *peak = peak.max(*seen);
        }
    }

    /// Returns whether an adapter has more copies than it needs.
    ///
    /// Failure: an adapter's demand fell for a second and rose again. Its copies were the first
    /// to make room and were loaded anew, up to 136 times in 40 s, while callers of others
    /// waited for the store.
    pub(super) fn is_surplus(&self, adapter: &str, copies: usize) -> bool {
        let need = self.needs.get(adapter);
        need.is_some_and(|need| copies > need.most)
    }
}

impl ZoneOwner {
    /// Counts the copies that each adapter needs, ten times a second.
    pub(super) fn size_copies(&mut self, now: Time) {
        if !self.tight || now.since(self.sizing.counted) < SIZE_INTERVAL {
            return;
        }
        let passed = now.since(self.sizing.counted);
        self.sizing.counted = now;
        let open = self.open_engines();
        let running: u32 = open.iter().map(|id| self.traffic.at(id)).sum();
        let further = self.further_room(&open);
        let offers = self.offers(&open);
        let steps = open
            .iter()
            .map(|id| self.engines[*id].adapters.len() as u64 + 1);
        let steps: u64 = steps.sum();
        self.steps += steps;
        self.sizing.rates.expire(now);
        let known = self.traffic.is_known(now);
        if self.traffic.is_steady(now) {
            self.sizing.rates.observe_stay(now, f64::from(running));
        }
        let adapters = offers.keys().chain(self.wants.keys());
        let adapters: BTreeSet<_> = adapters.filter(|a| !self.is_model(a)).collect();
        let seen = adapters.into_iter().map(|adapter| {
            let running = offers.get(adapter).map_or(0.0, |offer| offer.running);
            let expected = self.sizing.rates.requests(now, adapter);
            (adapter.clone(), running.max(expected))
        });
        let seen: BTreeMap<String, f64> = seen.collect();
        self.sizing.note_peaks(passed, &seen);
        let needs = seen.into_iter().filter_map(|(adapter, seen)| {
            let offer = offers.get(&adapter).copied().unwrap_or_default();
            let peak = self.sizing.peaks.get(&adapter).copied().unwrap_or(seen);
            Some((adapter, need(&offer, seen, peak, further, known)?))
        });
        self.sizing.needs = needs.collect();
        let placement = self.placement(now);
        self.plan_due |= !self.shortages(&placement).is_empty();
        self.placement = Some(placement);
    }

    /// Returns the number of requests that an engine takes up to the target use.
    fn capacity(&self, id: &str) -> f64 {
        let slots = self.targets.get(id).map_or(1, |listed| listed.slots.max(1));
        let slowness = f64::from(self.slowness.factor(id)) / 100.0;
        f64::from(slots) * TARGET_USE / slowness.max(1.0)
    }

    /// Returns what the holders of each adapter offer it.
    fn offers(&self, open: &BTreeSet<&str>) -> BTreeMap<String, Offer> {
        let mut offers: BTreeMap<String, Offer> = BTreeMap::new();
        for id in open.iter().copied() {
            let engine = &self.engines[id];
            let (capacity, running) = (self.capacity(id), f64::from(self.traffic.at(id)));
            let loading = engine.about_to_load().into_iter();
            let held = engine.adapters.keys().map(String::as_str);
            let held = held.filter(|adapter| self.current(engine, adapter));
            for adapter in held.chain(loading) {
                let own = f64::from(self.traffic.of(id, adapter));
                let offer = offers.entry(adapter.to_owned()).or_default();
                offer.holders += 1;
                offer.running += own;
                offer.room += (capacity - (running - own)).max(0.0);
            }
        }
        offers
    }

    /// Returns the mean number of requests that a further copy takes: that of the engines
    /// with room, or `None` without any.
    fn further_room(&self, open: &BTreeSet<&str>) -> Option<f64> {
        let rooms = open.iter().map(|id| {
            let capacity = self.capacity(id);
            (capacity - f64::from(self.traffic.at(id)), capacity)
        });
        let rooms = rooms.filter(|(room, capacity)| *room >= capacity * MIN_ROOM / TARGET_USE);
        let rooms: Vec<_> = rooms.map(|(room, _)| room).collect();
        (!rooms.is_empty()).then(|| rooms.iter().sum::<f64>() / rooms.len() as f64)
    }

    /// Returns the adapters that lack copies, the one whose copies take over most first.
    pub(super) fn shortages(&self, placement: &Placement) -> Vec<Shortage> {
        if !self.tight {
            return Vec::new();
        }
        let short = self.sizing.needs.iter();
        let short = short.filter_map(|(adapter, need)| {
            let count = need.least.saturating_sub(placement.copies(adapter));
            (count > 0).then(|| Shortage {
                adapter: adapter.clone(),
                count,
                relief: need.relief,
            })
        });
        let mut short: Vec<_> = short.collect();
        short.sort_by(|a, b| b.relief.total_cmp(&a.relief));
        short
    }

    /// Loads the copies that are short, at engines that have room for their requests; from the
    /// store up to `limit` loads.
    pub(super) fn load_copies(
        &mut self,
        now: Time,
        limit: usize,
        short: &[Shortage],
        candidates: &mut Vec<Candidate>,
        placement: &mut Placement,
        out: &mut Vec<Output>,
    ) {
        let most = TARGET_USE - MIN_ROOM;
        let mut idle: Vec<_> = candidates
            .extract_if(.., |candidate| candidate.load <= most)
            .collect();
        for short in short {
            for _ in 0..short.count {
                let use_store = placement.loading < limit;
                if idle.is_empty() {
                    return;
                }
                if !self.place(now, &short.adapter, use_store, &mut idle, placement, out) {
                    break;
                }
            }
        }
        candidates.append(&mut idle);
    }
}

/// Returns the number of copies that an adapter has to have and may have.
///
/// `seen` requests need room now, and `peak` of late; a `further` copy takes so many, if an
/// engine has room.
fn need(offer: &Offer, seen: f64, peak: f64, further: Option<f64>, known: bool) -> Option<Need> {
    let lacking = seen * HEADROOM - offer.room;
    let short = seen >= MIN_NEED && lacking > 0.0;
    let more = further.filter(|_| short);
    let more = more.map_or(0, |room| (lacking / room).ceil() as usize);
    let each = (offer.room / offer.holders.max(1) as f64).max(1.0);
    let most = ((peak * SURPLUS_ROOM / each).ceil() as usize).max(1);
    let most = if known && more == 0 { most } else { usize::MAX };
    if more == 0 && most >= offer.holders {
        return None;
    }
    Some(Need {
        least: if more > 0 { offer.holders + more } else { 0 },
        most,
        relief: lacking.max(0.0) / more.max(1) as f64,
    })
}
