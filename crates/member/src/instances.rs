//! Entry instances, according to the platform's list and to heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use base::{InstanceName, Time, ZoneName};
use wire::platform::{List, State};

/// Whether an instance is running, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Heard from recently and not shutting down.
    Live,
    /// Shutting down soon: gets no new work.
    Leaving,
    /// Listed but not heard from: may be gone, partitioned, or not started yet.
    Suspect,
}

#[derive(Clone, Debug)]
struct Instance {
    zone: ZoneName,
    peer: String,
    /// Its state in the platform's list; none if it is not listed.
    listed: Option<State>,
    /// When it was last heard from.
    heard: Option<Time>,
    /// Whether it announced that it is shutting down.
    leaving: bool,
}

/// The entry instances as one process sees them.
#[derive(Debug)]
pub struct Instances {
    /// An instance not heard from for this time is suspect.
    timeout: Duration,
    /// Serial of the newest list.
    serial: u64,
    all: BTreeMap<InstanceName, Instance>,
}

impl Instances {
    /// Creates an empty view. An instance not heard from for `timeout` is suspect.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Instances {
            timeout,
            serial: 0,
            all: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list; one older than the last is ignored.
    pub fn apply_list(&mut self, now: Time, list: &List) {
        if list.serial < self.serial {
            return;
        }
        self.serial = list.serial;
        for instance in self.all.values_mut() {
            instance.listed = None;
        }
        for entry in &list.instances {
            self.entry(&entry.name, &entry.zone, &entry.peer).listed = Some(entry.state);
        }
        let timeout = self.timeout;
        self.all
            .retain(|_, i| i.listed.is_some() || i.is_recent(now, timeout));
    }

    /// Records that an instance was heard from, by a heartbeat, a call or the leader's
    /// report.
    pub fn heard(
        &mut self,
        now: Time,
        name: &InstanceName,
        zone: &ZoneName,
        peer: &str,
        leaving: bool,
    ) {
        let instance = self.entry(name, zone, peer);
        instance.heard = Some(now);
        instance.leaving = leaving;
    }

    /// Returns the liveness of `name`; none if it is neither listed nor recently heard
    /// from.
    #[must_use]
    pub fn liveness(&self, now: Time, name: &InstanceName) -> Option<Liveness> {
        let instance = self.all.get(name)?;
        let leaving = instance.leaving || instance.listed == Some(State::Leaving);
        let recent = instance.is_recent(now, self.timeout);
        match (leaving, recent) {
            (true, _) => Some(Liveness::Leaving),
            (false, true) => Some(Liveness::Live),
            (false, false) if instance.listed.is_some() => Some(Liveness::Suspect),
            (false, false) => None,
        }
    }

    /// Returns every instance with its zone and the address of its peer listener.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &ZoneName, &str)> {
        let all = self.all.iter();
        all.map(|(name, i)| (name, &i.zone, i.peer.as_str()))
    }

    fn entry(&mut self, name: &InstanceName, zone: &ZoneName, peer: &str) -> &mut Instance {
        let new = || Instance {
            zone: zone.clone(),
            peer: peer.to_owned(),
            listed: None,
            heard: None,
            leaving: false,
        };
        let instance = self.all.entry(name.clone()).or_insert_with(new);
        if instance.peer != peer {
            peer.clone_into(&mut instance.peer);
            instance.leaving = false;
        }
        instance
    }
}

impl Instance {
    fn is_recent(&self, now: Time, timeout: Duration) -> bool {
        self.heard.is_some_and(|at| now.since(at) < timeout)
    }
}
