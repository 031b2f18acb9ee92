//! One instance of a cluster: its disk, its process and its clock.

use base::{Incarnation, InstanceName, Time};
use replog::{Index, Replica, ReplicaId};

use super::drive::Event;
use crate::{FakeDisk, history::Digest};

#[derive(Debug)]
pub(super) struct Host {
    pub(super) disk: FakeDisk,
    pub(super) incarnation: Incarnation,
    pub(super) running: Option<Running>,
    /// Events that arrived while the process is paused; `None` while it is not.
    pub(super) paused: Option<Vec<Event>>,
    /// Whether the disk is full.
    pub(super) full: bool,
    /// Whether syncs never finish.
    pub(super) stalled: bool,
    /// Clock drift, in parts per thousand.
    pub(super) drift: i64,
    /// Local time at the real time zero, in microseconds.
    pub(super) offset: u64,
}

#[derive(Debug)]
pub(super) struct Running {
    pub(super) replica: Replica,
    /// Number of this process start.
    pub(super) boot: u64,
    /// Real time of the latest wake-up asked for, in microseconds; earlier ones are ignored.
    pub(super) wake: u64,
    /// Last applied index.
    pub(super) last: Index,
    pub(super) commit: Index,
    pub(super) state: Digest,
}

impl Host {
    /// Returns the process's clock at the real time `now`, in microseconds.
    pub(super) fn local_time(&self, now: u64) -> Time {
        let drifted = now * (1_000 + self.drift) as u64 / 1_000;
        Time(drifted + self.offset)
    }

    /// Returns the first real time at which the process's clock shows `at`.
    pub(super) fn real_time(&self, at: Time) -> u64 {
        let drifted = at.0.saturating_sub(self.offset) * 1_000;
        drifted.div_ceil((1_000 + self.drift) as u64) + 1
    }

    pub(super) fn leads(&self, now: u64) -> bool {
        let running = self.running.as_ref();
        running.is_some_and(|running| running.replica.leads(self.local_time(now)))
    }
}

pub(super) fn replica_id(name: &InstanceName, incarnation: Incarnation) -> ReplicaId {
    ReplicaId {
        instance: name.clone(),
        incarnation,
    }
}
