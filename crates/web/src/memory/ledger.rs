//! The account of the bytes and requests that callers have a process hold.
//!
//! It knows neither sockets nor a clock: the time since its creation is passed in.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Bytes;

/// Time without progress after which something unfinished may be given up for others.
const STALLED_AFTER: Duration = Duration::from_millis(250);

/// Part of the bytes that large holders may take, as numerator and denominator: the rest
/// is left for ordinary requests beside them.
const LARGE_PART: (u64, u64) = (3, 4);

/// How much callers may have a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Bytes, over all connections.
    pub bytes: Bytes,
    /// Requests under way.
    pub requests: usize,
}

impl Quota {
    /// Allows everything: for processes that serve no callers from outside.
    pub const UNLIMITED: Quota = Quota {
        bytes: Bytes(u64::MAX),
        requests: usize::MAX,
    };
}

/// Identifies a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HolderId(u64);

/// How much of the bytes a holder may help to fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Share {
    /// All.
    Ordinary,
    /// All but what is kept for ordinary requests.
    Large,
}

/// There is no room, also without everything that may be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    bytes: u64,
    /// Whether it counts as a request.
    request: bool,
    /// When it last made progress, while it is unfinished.
    unfinished: Option<Duration>,
}

/// The account.
#[derive(Debug)]
pub(super) struct Ledger {
    quota: Quota,
    bytes: u64,
    requests: usize,
    last: u64,
    holders: BTreeMap<HolderId, Holder>,
    /// Unfinished holders by the time of their last progress.
    unfinished: BTreeSet<(Duration, HolderId)>,
}

impl Ledger {
    pub(super) fn new(quota: Quota) -> Self {
        Ledger {
            quota,
            bytes: 0,
            requests: 0,
            last: 0,
            holders: BTreeMap::new(),
            unfinished: BTreeSet::new(),
        }
    }

    /// Opens a holder that holds nothing.
    pub(super) fn open(&mut self) -> HolderId {
        self.last += 1;
        let id = HolderId(self.last);
        self.holders.insert(id, Holder::default());
        id
    }

    /// Counts a holder as a request.
    ///
    /// # Errors
    ///
    /// Fails as [`Ledger::grow`] does.
    pub(super) fn begin_request(
        &mut self,
        now: Duration,
        id: HolderId,
    ) -> Result<Vec<HolderId>, Full> {
        let given_up = self.make_room(now, id, (0, 1), Share::Ordinary)?;
        if let Some(holder) = self.holders.get_mut(&id).filter(|h| !h.request) {
            holder.request = true;
            self.requests += 1;
        }
        Ok(given_up)
    }

    /// Has a holder hold `more` bytes. Returns the holders that were given up for it, those
    /// first that have made no progress for longest; they hold nothing any more.
    ///
    /// # Errors
    ///
    /// Fails if there is no room; nothing is given up then.
    pub(super) fn grow(
        &mut self,
        now: Duration,
        id: HolderId,
        more: u64,
        share: Share,
    ) -> Result<Vec<HolderId>, Full> {
        let given_up = self.make_room(now, id, (more, 0), share)?;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += more;
            self.bytes += more;
        }
        Ok(given_up)
    }

    /// Notes that a holder is unfinished and has made progress.
    pub(super) fn progress(&mut self, now: Duration, id: HolderId) {
        self.finish(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.unfinished = Some(now);
            self.unfinished.insert((now, id));
        }
    }

    /// Notes that a holder is finished, so that it can't be given up.
    pub(super) fn finish(&mut self, id: HolderId) {
        let holder = self.holders.get_mut(&id);
        if let Some(since) = holder.and_then(|holder| holder.unfinished.take()) {
            self.unfinished.remove(&(since, id));
        }
    }

    /// Takes back what a holder holds, and forgets it.
    pub(super) fn close(&mut self, id: HolderId) {
        self.give_up(id);
        self.holders.remove(&id);
    }

    /// Returns the bytes that are held.
    pub(super) fn bytes(&self) -> Bytes {
        Bytes(self.bytes)
    }

    pub(super) fn quota(&self) -> Quota {
        self.quota
    }

    /// Returns the number of requests under way.
    #[cfg(test)]
    pub(super) fn requests(&self) -> usize {
        self.requests
    }

    fn make_room(
        &mut self,
        now: Duration,
        for_id: HolderId,
        (bytes, requests): (u64, usize),
        share: Share,
    ) -> Result<Vec<HolderId>, Full> {
        let most = self.most(share);
        let (mut held, mut running) = (self.bytes, self.requests);
        let mut given_up = Vec::new();
        let fits = |held: u64, running: usize| {
            held.saturating_add(bytes) <= most
                && running.saturating_add(requests) <= self.quota.requests
        };
        for (since, id) in &self.unfinished {
            if fits(held, running) {
                break;
            }
            if now.saturating_sub(*since) < STALLED_AFTER {
                return Err(Full);
            }
            if *id != for_id {
                let holder = self.holders.get(id).copied().unwrap_or_default();
                held -= holder.bytes;
                running -= usize::from(holder.request);
                given_up.push(*id);
            }
        }
        if !fits(held, running) {
            return Err(Full);
        }
        for id in &given_up {
            self.give_up(*id);
        }
        Ok(given_up)
    }

    /// Returns the most bytes that holders may fill together, in which `share` is one of them.
    pub(super) fn most(&self, share: Share) -> u64 {
        let all = self.quota.bytes.get();
        match share {
            Share::Ordinary => all,
            Share::Large => all / LARGE_PART.1 * LARGE_PART.0,
        }
    }

    fn give_up(&mut self, id: HolderId) {
        self.finish(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            self.bytes -= holder.bytes;
            self.requests -= usize::from(holder.request);
            *holder = Holder::default();
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ledger.rs"]
mod tests;
