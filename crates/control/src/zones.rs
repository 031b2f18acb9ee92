//! The zone owners: which control instance gives orders to the engines of each
//! availability zone.

use std::collections::BTreeMap;

use base::{InstanceName, record};

record! {
    /// Records which control instance owns a zone.
    pub struct ZoneGrant {
        /// The control instance.
        pub instance: InstanceName,
        /// Its fencing number: the index of the log entry that made it the zone owner.
        pub fence: u64,
    }

    /// The zone owners, by zone.
    #[derive(Default)]
    pub struct ZoneGrants {
        grants: BTreeMap<String, ZoneGrant>,
    }
}

impl ZoneGrants {
    /// Returns the zone owners, by zone.
    #[must_use]
    pub fn all(&self) -> &BTreeMap<String, ZoneGrant> {
        &self.grants
    }

    /// Returns the zones that `instance` owns, each with its fencing number.
    pub fn of(&self, instance: &InstanceName) -> impl Iterator<Item = (&str, u64)> {
        let all = self.grants.iter();
        let own = all.filter(move |(_, grant)| grant.instance == *instance);
        own.map(|(zone, grant)| (zone.as_str(), grant.fence))
    }

    /// Makes `instance` the owner of `zone` by the log entry at `index`.
    pub(crate) fn grant(&mut self, index: u64, zone: &str, instance: &InstanceName) {
        let grant = ZoneGrant {
            instance: instance.clone(),
            fence: index,
        };
        self.grants.insert(zone.to_owned(), grant);
    }
}
