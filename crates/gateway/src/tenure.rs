//! Who may give orders to the engines of a zone, and for how long.
//!
//! Each zone's engines have one owner, a control instance, by an entry of the
//! log. The owner renews its tenure at the leader several times a second, and
//! goes on without a leader until the tenure runs out. Tenures are long: a lost
//! leader, an election or a cut of some seconds then stops no loads, and a zone
//! that is cut off goes on by itself. The price is paid by a zone whose owner is
//! gone for good: nobody orders there until the old tenure has surely ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceName, Time};

/// How long an owner may give orders after it last asked a leader. Cuts and
/// elections of the users' deployments last some five seconds.
pub const TENURE: Duration = Duration::from_secs(8);

/// How long a leader that has not heard an owner waits before it makes another
/// one: the tenure, a twentieth for clocks that run apart, and the time within
/// which engines without fencing must not see two holders.
pub fn takeover(turns: Duration) -> Duration {
    TENURE + TENURE / 20 + turns
}

/// A control instance not heard for so long gets no zones.
const FRESH: Duration = Duration::from_millis(1_500);

/// How long a new leader waits for the zones' own instances to be heard before
/// it gives a zone without an owner to any instance.
const GATHER: Duration = Duration::from_millis(1_500);

/// The leader's part.
#[derive(Debug, Default)]
pub struct Granter {
    leads: Option<Time>,
    /// Instances by name: their zone, and when they were last heard.
    heard: BTreeMap<InstanceName, (String, Time)>,
}

impl Granter {
    /// Begins to lead. What was heard before counts for nothing: another leader
    /// may have renewed tenures since.
    pub fn lead(&mut self, now: Time) {
        self.leads = Some(now);
        self.heard.clear();
    }

    /// Leads no more.
    pub fn follow(&mut self) {
        self.leads = None;
    }

    /// Notes that an instance of `zone` renews its tenures now.
    pub fn renew(&mut self, now: Time, instance: &InstanceName, zone: &str) {
        let heard = (zone.to_owned(), now);
        self.heard.insert(instance.clone(), heard);
    }

    /// Returns zones that need an owner, with the instance that should be it.
    #[must_use]
    pub fn due(
        &self,
        now: Time,
        zones: &BTreeSet<String>,
        owners: &BTreeMap<String, InstanceName>,
        turns: Duration,
    ) -> Vec<(String, InstanceName)> {
        let Some(since) = self.leads else {
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
                Some(owner) => self.surely_over(now, since, owner, turns),
            };
            if !free {
                continue;
            }
            let gathered = now.since(since) >= GATHER;
            let fresh = self.heard.iter();
            let fresh = fresh.filter(|(_, (_, at))| now.since(*at) < FRESH);
            let best = fresh
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

    /// Tells whether an owner's tenure has ended for certain.
    ///
    /// Failure: a new leader doesn't know when the one before renewed a tenure
    /// last. It has to lead for the whole time itself, or two owners would give
    /// orders by turns.
    fn surely_over(&self, now: Time, since: Time, owner: &InstanceName, turns: Duration) -> bool {
        let last = self.heard.get(owner).map_or(since, |(_, at)| *at);
        now.since(last.max(since)) >= takeover(turns)
    }
}

/// The owner's part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenure {
    /// Owned zones and fencing numbers.
    zones: BTreeMap<String, u64>,
    /// When the request was sent that the leader granted last.
    asked: Option<Time>,
}

impl Tenure {
    /// Takes a leader's answer to a request sent at `asked`.
    pub fn granted(&mut self, asked: Time, zones: impl IntoIterator<Item = (String, u64)>) {
        if self.asked.is_some_and(|last| last > asked) {
            return;
        }
        self.asked = Some(asked);
        self.zones = zones.into_iter().collect();
    }

    /// Returns the fencing number for a zone, if this instance may give orders
    /// there now.
    #[must_use]
    pub fn fence(&self, now: Time, zone: &str) -> Option<u64> {
        let held = self.asked.is_some_and(|asked| now < asked + TENURE);
        held.then(|| self.zones.get(zone).copied()).flatten()
    }

    /// Returns the zones where this instance may give orders now.
    #[must_use]
    pub fn zones(&self, now: Time) -> Vec<String> {
        let zones = self.zones.keys();
        let held = zones.filter(|zone| self.fence(now, zone).is_some());
        held.cloned().collect()
    }
}
