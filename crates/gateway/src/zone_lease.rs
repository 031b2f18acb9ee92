//! Zone leases: the time-limited right of one control instance, the zone owner, to give
//! orders to the engines of a zone.
//!
//! An entry of the replicated log says which instance owns a zone. The owner renews its
//! lease at the leader several times a second, and goes on without a leader until the
//! lease expires.
//! Leases are long, so that the loss of a leader, an election or a network partition of
//! some seconds stops no loads, and a zone that is cut off goes on by itself. The price
//! is paid by a zone whose owner is gone for good: no orders are given there until the
//! old lease has certainly expired.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceName, Time};

/// How long an owner may give orders after it sent the last request that the leader
/// granted. Partitions and elections last some five seconds in the deployments that this
/// is made for.
pub const LEASE_TIME: Duration = Duration::from_secs(8);

/// Returns how long a leader waits after it last heard from an owner before it appoints
/// another one: the lease, a twentieth of it for clocks that run at different speeds, and
/// `owner_gap`, the time within which engines without fencing must not get orders from two
/// owners.
pub fn takeover_time(owner_gap: Duration) -> Duration {
    LEASE_TIME + LEASE_TIME / 20 + owner_gap
}

/// A control instance not heard from within this time is not made owner of a zone.
const HEARD_WITHIN: Duration = Duration::from_millis(1_500);

/// How long a new leader waits to hear from each zone's own instances before it makes an
/// instance of another zone the owner.
const GATHER_TIME: Duration = Duration::from_millis(1_500);

/// The leader's side: decides which zones need an owner and which instance that should
/// be.
#[derive(Debug, Default)]
pub struct LeaseGranter {
    leading_since: Option<Time>,
    /// Instances by name: their zone, and when they last renewed their leases.
    heard: BTreeMap<InstanceName, (String, Time)>,
}

impl LeaseGranter {
    /// Starts leading. Discards what was heard before, as another leader may have renewed
    /// leases since.
    pub fn lead(&mut self, now: Time) {
        self.leading_since = Some(now);
        self.heard.clear();
    }

    /// Stops leading.
    pub fn follow(&mut self) {
        self.leading_since = None;
    }

    /// Records that an instance of `zone` renews its leases now.
    pub fn renew(&mut self, now: Time, instance: &InstanceName, zone: &str) {
        let heard = (zone.to_owned(), now);
        self.heard.insert(instance.clone(), heard);
    }

    /// Returns the zones that need an owner, each with the instance to appoint. For
    /// `owner_gap` see [`takeover_time`].
    #[must_use]
    pub fn due(
        &self,
        now: Time,
        zones: &BTreeSet<String>,
        owners: &BTreeMap<String, InstanceName>,
        owner_gap: Duration,
    ) -> Vec<(String, InstanceName)> {
        let Some(since) = self.leading_since else {
            return Vec::new();
        };
        let mut due = Vec::new();
        let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
        for owner in owners.values() {
            *counts.entry(owner).or_default() += 1;
        }
        for zone in zones {
            let free = match owners.get(zone) {
                None => true,
                Some(owner) => self.has_expired(now, since, owner, owner_gap),
            };
            if !free {
                continue;
            }
            let gathered = now.since(since) >= GATHER_TIME;
            let recent = self.heard.iter();
            let recent = recent.filter(|(_, (_, at))| now.since(*at) < HEARD_WITHIN);
            let best = recent
                .filter(|(_, (of, _))| gathered || of == zone)
                .min_by_key(|(name, (of, _))| {
                    let count = counts.get(name).copied().unwrap_or(0);
                    (of != zone, count, (*name).clone())
                });
            if let Some((name, _)) = best {
                *counts.entry(name).or_default() += 1;
                due.push((zone.clone(), name.clone()));
            }
        }
        due
    }

    /// Returns whether an owner's lease has certainly expired.
    ///
    /// Failure: a new leader doesn't know when its predecessor last renewed a lease. It
    /// has to lead for the full lease time itself, or two owners would give orders
    /// alternately.
    fn has_expired(
        &self,
        now: Time,
        since: Time,
        owner: &InstanceName,
        owner_gap: Duration,
    ) -> bool {
        let last = self.heard.get(owner).map_or(since, |(_, at)| *at);
        now.since(last.max(since)) >= takeover_time(owner_gap)
    }
}

/// The owner's side: the zones that an instance owns, and until when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneLease {
    /// Owned zones, with the fencing number of each.
    zones: BTreeMap<String, u64>,
    /// When the last request was sent that the leader granted.
    requested: Option<Time>,
}

impl ZoneLease {
    /// Applies a leader's answer to a request sent at `asked`; ignores it if an answer to
    /// a later request was applied before.
    pub fn granted(&mut self, asked: Time, zones: impl IntoIterator<Item = (String, u64)>) {
        if self.requested.is_some_and(|last| last > asked) {
            return;
        }
        self.requested = Some(asked);
        self.zones = zones.into_iter().collect();
    }

    /// Returns the fencing number of a zone if this instance may give orders there now.
    #[must_use]
    pub fn fence(&self, now: Time, zone: &str) -> Option<u64> {
        let valid = self.requested.is_some_and(|asked| now < asked + LEASE_TIME);
        valid.then(|| self.zones.get(zone).copied()).flatten()
    }

    /// Returns the zones where this instance may give orders now.
    #[must_use]
    pub fn zones(&self, now: Time) -> Vec<String> {
        let zones = self.zones.keys();
        let valid = zones.filter(|zone| self.fence(now, zone).is_some());
        valid.cloned().collect()
    }
}
