//! Counts of copies by need and of loads held back, for logs and metrics.

use base::Time;

use super::ZoneOwner;

/// What a zone owner has done by need since it was last asked, and its part of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    /// Copies ordered by need.
    pub by_need: u64,
    /// Copies beyond their adapters' need that made room.
    pub surplus: u64,
    /// Copies that adapters lacked after the last plan.
    pub short: usize,
    /// Loads on their way.
    pub coming: usize,
    /// Loads that may be on their way.
    pub limit: usize,
    /// Adapters that callers wait for and whose load the limit holds back.
    pub held_back: usize,
    /// Loads over all zones that the store serves at full speed.
    pub window: usize,
}

impl ZoneOwner {
    /// Returns what was done by need since the last call; `None` where goals aren't tight.
    pub fn take_store_stats(&mut self, now: Time) -> Option<StoreStats> {
        if !self.tight {
            return None;
        }
        let done = std::mem::take(&mut self.by_need);
        let own = self.own_use(now, self.coming);
        Some(StoreStats {
            by_need: done.ordered,
            surplus: done.surplus,
            short: self.sizing.short,
            coming: self.coming,
            limit: self.load_limit(now, self.coming),
            held_back: self.withheld,
            window: self.joint.window(now, &own) as usize,
        })
    }
}

/// Copies ordered and let go by need.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ByNeed {
    pub(super) ordered: u64,
    pub(super) surplus: u64,
}
