//! Settings of a replica and their validation.

use std::time::Duration;

use base::{Bytes, DriftMargin, InstanceName, Seed};
use thiserror::Error;

use crate::ReplicaId;

/// Why settings are invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadSettings {
    /// The election timeout is shorter than three heartbeat intervals.
    #[error("the election timeout has to be at least three heartbeats")]
    ElectionTooShort,
    /// A duration or size is zero.
    #[error("`{0}` may not be zero")]
    Zero(&'static str),
    /// The window is smaller than one message.
    #[error("the window has to hold at least one message")]
    WindowTooSmall,
}

/// Unvalidated settings.
#[derive(Clone, Debug)]
pub struct RawSettings {
    /// This replica's identity; the incarnation is read from its data folder.
    pub id: ReplicaId,
    /// All instances that should have a replica. The first one by name founds the log
    /// once all of them have reported that they have no log.
    pub peers: Vec<InstanceName>,
    /// Whether an instance that is not among the peers is added as well when it sends a
    /// join request.
    pub admit_any: bool,
    /// Whether this replica may take part in founding a log. Cleared if the deployment
    /// has run before: a replica with an emptied folder then only joins.
    pub may_found: bool,
    /// How long a voter may be unresponsive before the leader removes it, provided that
    /// enough others answer; never removed if `None`.
    pub remove_after: Option<Duration>,
    /// Seed of the randomised election timeouts; differs between replicas and
    /// incarnations.
    pub seed: Seed,
    /// Interval between heartbeats of a leader.
    pub heartbeat: Duration,
    /// Minimum time without a leader before a follower starts an election, and time
    /// without a quorum after which a leader steps down.
    pub election: Duration,
    /// Maximum rate difference between two clocks.
    pub drift: DriftMargin,
    /// Applied entries after which a snapshot is taken.
    pub compact: u64,
    /// Bytes of applied entries after which a snapshot is taken as well. A disk holds the
    /// old snapshot, entries of this size, the last entry and the backlog; while the
    /// files are replaced it also holds the new snapshot and the entries after it.
    pub compact_bytes: Bytes,
    /// Entries covered by the snapshot that stay in memory for lagging followers.
    pub keep: u64,
    /// Maximum size of these entries; a follower that lags further is sent the snapshot.
    pub keep_bytes: Bytes,
    /// Maximum bytes of entries or snapshot data per message.
    pub message: Bytes,
    /// Maximum unacknowledged bytes in flight to one follower.
    pub window: Bytes,
    /// Maximum bytes of uncommitted proposals before further ones are rejected.
    pub backlog: Bytes,
}

impl RawSettings {
    /// Returns settings with the default times and sizes.
    #[must_use]
    pub fn with_defaults(id: ReplicaId, peers: Vec<InstanceName>, seed: Seed) -> Self {
        RawSettings {
            id,
            peers,
            admit_any: false,
            may_found: true,
            remove_after: None,
            seed,
            heartbeat: Duration::from_millis(200),
            election: Duration::from_millis(1_000),
            drift: DriftMargin::DEFAULT,
            compact: 1_000,
            compact_bytes: Bytes(16 << 20),
            keep: 200,
            keep_bytes: Bytes(8 << 20),
            message: Bytes(32 << 10),
            window: Bytes(256 << 10),
            backlog: Bytes(8 << 20),
        }
    }
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) raw: RawSettings,
    /// How long a quorum's acknowledgement of a heartbeat round keeps the leader's lease
    /// valid.
    pub(crate) lease: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = BadSettings;

    fn try_from(raw: RawSettings) -> Result<Self, BadSettings> {
        if raw.heartbeat.is_zero() {
            return Err(BadSettings::Zero("heartbeat"));
        }
        if raw.compact == 0 {
            return Err(BadSettings::Zero("compact"));
        }
        if raw.compact_bytes.get() == 0 {
            return Err(BadSettings::Zero("compact_bytes"));
        }
        if raw.message.get() == 0 {
            return Err(BadSettings::Zero("message"));
        }
        if raw.window < raw.message {
            return Err(BadSettings::WindowTooSmall);
        }
        if raw.election < raw.heartbeat * 3 {
            return Err(BadSettings::ElectionTooShort);
        }
        let lease = shrink(raw.election, raw.drift);
        Ok(Settings { raw, lease })
    }
}

impl Settings {
    /// Returns this replica's identity.
    #[must_use]
    pub fn id(&self) -> &ReplicaId {
        &self.raw.id
    }

    /// Returns the lease duration, counted from the start of a heartbeat round that a
    /// quorum has acknowledged. It is shorter than the election timeout by the drift
    /// margin.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.lease
    }
}

/// Returns the longest duration that is at most `d` when measured by a clock that runs
/// off by `drift`.
fn shrink(d: Duration, drift: DriftMargin) -> Duration {
    d * 1_000 / (1_000 + drift.0)
}
