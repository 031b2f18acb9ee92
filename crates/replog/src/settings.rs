//! Settings of a replica, checked against each other.

use std::time::Duration;

use base::{Bytes, DriftMargin, InstanceName, Seed};
use thiserror::Error;

use crate::ReplicaId;

/// Says why settings can't work.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadSettings {
    /// A leader needs several heartbeats within an election timeout.
    #[error("the election timeout has to be at least three heartbeats")]
    ElectionTooShort,
    /// A duration or size of zero.
    #[error("`{0}` may not be zero")]
    Zero(&'static str),
    /// One message couldn't carry what the window allows.
    #[error("the window has to hold at least one message")]
    WindowTooSmall,
}

/// Settings as given by whoever starts the replica.
#[derive(Clone, Debug)]
pub struct RawSettings {
    /// This replica; the life comes from its data folder.
    pub id: ReplicaId,
    /// All instances that are meant to have a replica. The first one by name
    /// founds the log once all of them have reported that they are unstarted.
    pub peers: Vec<InstanceName>,
    /// Whether an instance that is none of the peers is taken in as well when
    /// it calls out.
    pub open: bool,
    /// Whether this replica may take part in founding a log. Cleared where the
    /// deployment has run before: an emptied folder then only joins.
    pub founds: bool,
    /// How long a voter may be silent before the leader removes it, provided
    /// that enough others answer; never if absent.
    pub retire: Option<Duration>,
    /// Seed of the election timeouts; differs between replicas and lives.
    pub seed: Seed,
    /// How often a leader reports to its followers.
    pub heartbeat: Duration,
    /// How long a follower waits at least before it stands for election, and
    /// how long a leader without a majority goes on.
    pub election: Duration,
    /// How far two clocks may run apart.
    pub drift: DriftMargin,
    /// Applied entries between two snapshots.
    pub compact: u64,
    /// Bytes of applied entries after which a snapshot is asked for as well. A
    /// disk holds the old snapshot with entries of this size, the last entry
    /// and those of the backlog, and while the files are replaced also the new
    /// snapshot with what came after it.
    pub compact_bytes: Bytes,
    /// Entries that stay in memory behind a snapshot, for followers that lag.
    pub keep: u64,
    /// The most that these entries take; a follower that lags by more gets the
    /// snapshot.
    pub keep_bytes: Bytes,
    /// The most that a message carries in entries or parts of a snapshot.
    pub message: Bytes,
    /// The most that is on its way to one follower unacknowledged.
    pub window: Bytes,
    /// The most that may wait for a majority before proposals are refused.
    pub backlog: Bytes,
}

impl RawSettings {
    /// Makes settings with the usual times and sizes.
    #[must_use]
    pub fn usual(id: ReplicaId, peers: Vec<InstanceName>, seed: Seed) -> Self {
        RawSettings {
            id,
            peers,
            open: false,
            founds: true,
            retire: None,
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

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) raw: RawSettings,
    /// How long a leader may act on one round of acknowledgements.
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

    /// Returns how long a leader may act on one round of acknowledgements:
    /// less than followers wait before they elect another, by the drift
    /// margin.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.lease
    }
}

/// Returns the longest duration that, stretched by `drift`, is at most `d`.
fn shrink(d: Duration, drift: DriftMargin) -> Duration {
    d * 1_000 / (1_000 + drift.0)
}
