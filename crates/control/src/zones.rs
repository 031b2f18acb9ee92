//! The zone owners: which control instance gives orders to the engines of each
//! availability zone.

use std::collections::BTreeMap;

use base::{InstanceName, record};

record! {
    /// Records which control instance owns a zone.
    pub struct ZoneOwner {
        /// The control instance.
        pub instance: InstanceName,
        /// Its fencing number: the index of the log entry that made it the zone owner.
        pub fence: u64,
    }

    /// The zone owners, by zone.
    #[derive(Default)]
    pub struct ZoneOwners {
        owners: BTreeMap<String, ZoneOwner>,
    }
}

impl ZoneOwners {
    /// Returns the zone owners, by zone.
    #[must_use]
    pub fn all(&self) -> &BTreeMap<String, ZoneOwner> {
        &self.owners
    }

    /// Returns the zones that `instance` owns, each with its fencing number.
    pub fn of(&self, instance: &InstanceName) -> impl Iterator<Item = (&str, u64)> {
        let all = self.owners.iter();
        let own = all.filter(move |(_, owner)| owner.instance == *instance);
        own.map(|(zone, owner)| (zone.as_str(), owner.fence))
    }

    /// Makes `instance` the owner of `zone` by the log entry at `index`.
    pub(crate) fn own(&mut self, index: u64, zone: &str, instance: &InstanceName) {
        let owner = ZoneOwner {
            instance: instance.clone(),
            fence: index,
        };
        self.owners.insert(zone.to_owned(), owner);
    }
}
