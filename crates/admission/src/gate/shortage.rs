//! Whether a service is short of room at an entry instance, and the parts that it lets in
//! then.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use wire::admission::{Ended, Offered};

use super::wait::Waits;
use crate::{Offerer, TOLD_FROM, share};

/// Requests under way, as a part of the places, from which on a service is short: a quarter
/// more, as targets aren't filled evenly.
const SHORT_FROM: f64 = 1.25;

/// Requests under way, as a part of the places, that are aimed at while a service is short:
/// what waits beyond is the least urgent work, and grows old.
const AIM: f64 = 1.1;

/// Part of its places below which nothing is refused.
const CALM_BELOW: f64 = 0.7;

/// A shortage ends once everything could have been let in for this long.
const CALM_FOR: Duration = Duration::from_secs(1);

/// Time within which free places are filled, and requests beyond the places are worked off:
/// twice what it takes until the effect of a part is known.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Parts that are older than this go towards the mean part.
const FRESH_FOR: Duration = Duration::from_secs(1);

/// Time in which old parts go half of the way to the mean part.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Parts that are older than this are forgotten.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// Smallest part of any kind of request.
const MIN_PART: f64 = 0.05;

/// Smallest change of the mean part that is told.
const TOLD_CHANGE: f64 = 0.1;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// Places and requests of a service over all zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RoomSum {
    pub(super) slots: u64,
    pub(super) running: u64,
    pub(super) queued: u64,
}

/// How short a service is, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Requests that its targets can work on at the same time.
    pub slots: u64,
    /// Requests under way at its targets.
    pub running: u64,
    /// Requests among these that wait at targets.
    pub queued: u64,
    /// Units a second that callers offer.
    pub offered: f64,
    /// Units a second that end.
    pub ended: f64,
    /// Part of the offered units that is let in.
    pub part: f64,
}

/// A change of what is let in to a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It has become short, or the part that is let in has changed by a tenth or more.
    Short(String, Shortage),
    /// It is short no more.
    Over {
        /// The service.
        service: String,
        /// How long it was short.
        lasted: Duration,
        /// Requests that were refused meanwhile.
        refused: u64,
    },
}

/// The parts that are let in while a service is short.
#[derive(Clone, Debug)]
pub(super) struct Parts {
    begun: Time,
    at: Time,
    /// Since when everything could have been let in.
    calm_since: Option<Time>,
    kinds: BTreeMap<Offerer, f64>,
    waits: Waits,
    mean: f64,
    told: f64,
    pub(super) refused: u64,
}

/// What a control instance has told of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rates<'a> {
    pub(super) offered: &'a [Offered],
    pub(super) ended: &'a Ended,
}

/// Computes the parts of a service anew. `parts` is absent while it isn't short.
pub(super) fn update(
    now: Time,
    service: &str,
    parts: &mut Option<Parts>,
    room: RoomSum,
    rates: Option<Rates<'_>>,
) -> Option<Change> {
    if room.slots == 0 {
        return None;
    }
    let taken = room.running as f64 / room.slots as f64;
    if taken < CALM_BELOW {
        return end(now, service, parts);
    }
    if parts.is_none() && taken < SHORT_FROM {
        return None;
    }
    let rates = rates?;
    let shortage = divide(now, room, rates, parts);
    let parts_now = parts.as_mut()?;
    if shortage.part < 1.0 {
        parts_now.calm_since = None;
    } else if now.since(*parts_now.calm_since.get_or_insert(now)) >= CALM_FOR {
        return end(now, service, parts);
    }
    if (parts_now.told - shortage.part).abs() < TOLD_CHANGE {
        return None;
    }
    parts_now.told = shortage.part;
    Some(Change::Short(service.to_owned(), shortage))
}

/// Ends a shortage, if there is one.
pub(super) fn end(now: Time, service: &str, parts: &mut Option<Parts>) -> Option<Change> {
    let ended = parts.take()?;
    // One that began and ended without a part below 1 was never told.
    (ended.told < 1.0 || ended.refused > 0).then(|| Change::Over {
        service: service.to_owned(),
        lasted: now.since(ended.begun),
        refused: ended.refused,
    })
}

/// Divides the room among all who offer work.
fn divide(now: Time, room: RoomSum, rates: Rates<'_>, parts: &mut Option<Parts>) -> Shortage {
    let demands = rates.offered.iter().map(|offered| share::Demand {
        account: &offered.account,
        rank: offered.rank,
        weight: offered.weight as f64,
        offered: offered.units as f64,
    });
    let demands: Vec<_> = demands.collect();
    let divided = share::parts(allowed(room, rates.ended), &demands);
    let offered: f64 = demands.iter().map(|demand| demand.offered).sum();
    let given = demands.iter().zip(&divided);
    let given: f64 = given.map(|(demand, part)| demand.offered * part).sum();
    let mean = if offered > 0.0 { given / offered } else { 1.0 };
    let parts = parts.get_or_insert_with(|| Parts::new(now));
    let ranks = demands.iter().zip(&divided);
    parts
        .waits
        .update(ranks.map(|(demand, part)| (demand.rank, demand.offered, demand.offered * part)));
    let kinds = rates.offered.iter().zip(divided);
    parts.kinds = kinds
        .map(|(offered, part)| ((offered.account.clone(), offered.rank), part))
        .collect();
    parts.mean = mean;
    parts.at = now;
    Shortage {
        slots: room.slots,
        running: room.running,
        queued: room.queued,
        offered,
        ended: rates.ended.units as f64,
        part: mean,
    }
}

/// Returns the units a second that may be let in.
fn allowed(room: RoomSum, ended: &Ended) -> f64 {
    let per_second = ended.units as f64;
    let requests = ended.requests as f64 / MILLI;
    let mean = per_second / requests.max(f64::MIN_POSITIVE);
    let free = AIM * room.slots as f64 - room.running as f64;
    // Also where little has ended lately, as after a loss of targets, some is let in.
    let least = TOLD_FROM * MIN_PART * per_second;
    (per_second + free * mean / SETTLE_TIME.as_secs_f64()).max(least)
}

impl Parts {
    fn new(now: Time) -> Self {
        Parts {
            begun: now,
            at: now,
            calm_since: None,
            kinds: BTreeMap::new(),
            waits: Waits::default(),
            mean: 1.0,
            told: 1.0,
            refused: 0,
        }
    }

    /// Returns the part that is let in of what `offerer` offers.
    pub(super) fn of(&self, now: Time, offerer: &Offerer) -> f64 {
        let age = now.since(self.at);
        if age >= KEPT_FOR {
            return 1.0;
        }
        // What isn't known of over a second is little.
        let part = self.kinds.get(offerer).copied().unwrap_or(1.0);
        let old = age.saturating_sub(FRESH_FOR).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let part = self.mean + (part - self.mean) * 0.5_f64.powf(old);
        part.clamp(MIN_PART, 1.0)
    }

    /// Returns whether a part is refused of what anyone offers at this rank or a more urgent one.
    pub(super) fn refuses(&self, now: Time, rank: u8) -> bool {
        let mut kinds = self.kinds.keys().filter(|(_, other)| *other <= rank);
        kinds.any(|kind| self.of(now, kind) < 1.0)
    }

    /// Returns whether the parts are so old that they are forgotten.
    pub(super) fn forgotten(&self, now: Time) -> bool {
        now.since(self.at) >= KEPT_FOR
    }

    /// Returns the time after which a refused caller comes back.
    pub(super) fn again(&mut self, rank: u8, left: Duration, drawn: (f64, f64)) -> Duration {
        self.waits.again(rank, left, drawn)
    }
}
