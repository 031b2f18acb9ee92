//! One instance of a cluster: its disk, its process and its clock.

use base::{Incarnation, InstanceName, Time};
use replog::{Index, Replica, ReplicaId};

use super::carry::Event;
use crate::{FakeDisk, history::Digest};

#[derive(Debug)]
pub(super) struct Host {
    pub(super) disk: FakeDisk,
    pub(super) life: Incarnation,
    pub(super) running: Option<Running>,
    /// Events that wait while the process is frozen.
    pub(super) held: Option<Vec<Event>>,
    pub(super) full: bool,
    /// Whether syncs take for ever.
    pub(super) stalled: bool,
    pub(super) skew: i64,
    pub(super) offset: u64,
}

#[derive(Debug)]
pub(super) struct Running {
    pub(super) replica: Replica,
    pub(super) boot: u64,
    pub(super) wake: u64,
    pub(super) last: Index,
    pub(super) commit: Index,
    pub(super) state: Digest,
}

impl Host {
    /// Returns the process's own clock at the real time `now`.
    pub(super) fn local(&self, now: u64) -> Time {
        let skewed = now * (1_000 + self.skew) as u64 / 1_000;
        Time(skewed + self.offset)
    }

    /// Returns the first real time at which its own clock shows `at`.
    pub(super) fn global(&self, at: Time) -> u64 {
        let skewed = at.0.saturating_sub(self.offset) * 1_000;
        skewed.div_ceil((1_000 + self.skew) as u64) + 1
    }

    pub(super) fn leads(&self, now: u64) -> bool {
        let running = self.running.as_ref();
        running.is_some_and(|running| running.replica.leads(self.local(now)))
    }
}

pub(super) fn replica_id(name: &InstanceName, incarnation: Incarnation) -> ReplicaId {
    ReplicaId {
        instance: name.clone(),
        incarnation,
    }
}
