//! Which control instance gives the orders to the engines of each availability
//! zone.

use std::collections::BTreeMap;

use base::{InstanceName, record};

record! {
    /// The owner of a zone's engines.
    pub struct ZoneOwner {
        /// The instance.
        pub instance: InstanceName,
        /// Its fencing number: the index of the entry that made it the owner.
        pub fence: u64,
    }

    /// Owners by zone.
    #[derive(Default)]
    pub struct ZoneOwners {
        owners: BTreeMap<String, ZoneOwner>,
    }
}

impl ZoneOwners {
    /// Returns the owners by zone.
    #[must_use]
    pub fn all(&self) -> &BTreeMap<String, ZoneOwner> {
        &self.owners
    }

    /// Returns the zones that `instance` owns, with its fencing numbers.
    pub fn of(&self, instance: &InstanceName) -> impl Iterator<Item = (&str, u64)> {
        let all = self.owners.iter();
        let own = all.filter(move |(_, owner)| owner.instance == *instance);
        own.map(|(zone, owner)| (zone.as_str(), owner.fence))
    }

    /// Makes `instance` the owner of a zone by the entry at `index`.
    pub(crate) fn own(&mut self, index: u64, zone: &str, instance: &InstanceName) {
        let owner = ZoneOwner {
            instance: instance.clone(),
            fence: index,
        };
        self.owners.insert(zone.to_owned(), owner);
    }
}
