//! Numbers for names, given once and never to another name.

use std::{collections::HashMap, hash::Hash};

use base::{
    AdapterKey, AdapterName, AdapterNo, BrandName, BrandNo, PoolName, TargetName, TargetNo,
    ZoneName, stable_hash,
};
use route::{PoolNo, ZoneNo};
use wire::engine::Resident;

/// Numbers names of one kind from zero, without holes.
///
/// The map is only ever asked for one name; nothing walks it, so its order
/// reaches no decision.
#[derive(Clone, Debug)]
struct Table<N> {
    numbers: HashMap<N, u32>,
    names: Vec<N>,
}

impl<N> Default for Table<N> {
    fn default() -> Self {
        Table {
            numbers: HashMap::new(),
            names: Vec::new(),
        }
    }
}

impl<N: Clone + Eq + Hash> Table<N> {
    /// Returns the number of `name` and whether it is new.
    fn intern(&mut self, name: &N) -> (u32, bool) {
        if let Some(no) = self.numbers.get(name) {
            return (*no, false);
        }
        let no = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.numbers.insert(name.clone(), no);
        self.names.push(name.clone());
        (no, true)
    }

    fn name(&self, no: u32) -> &N {
        &self.names[no as usize]
    }
}

/// All numbers of one node.
#[derive(Clone, Debug, Default)]
pub struct Names {
    adapters: Table<AdapterName>,
    brands: Table<BrandName>,
    targets: Table<TargetName>,
    pools: Table<PoolName>,
    zones: Table<ZoneName>,
    fresh: Vec<AdapterNo>,
}

impl Names {
    /// Returns an adapter's number.
    pub fn adapter(&mut self, name: &AdapterName) -> AdapterNo {
        let (no, new) = self.adapters.intern(name);
        if new {
            self.fresh.push(AdapterNo(no));
        }
        AdapterNo(no)
    }

    /// Returns the number of one version of an adapter.
    pub fn key(&mut self, resident: &Resident) -> AdapterKey {
        AdapterKey {
            adapter: self.adapter(&resident.adapter),
            version: resident.version,
        }
    }

    /// Returns a brand's number.
    pub fn brand(&mut self, name: &BrandName) -> BrandNo {
        BrandNo(self.brands.intern(name).0)
    }

    /// Returns a target's number.
    pub fn target(&mut self, name: &TargetName) -> TargetNo {
        TargetNo(self.targets.intern(name).0)
    }

    /// Returns a pool's number.
    pub fn pool(&mut self, name: &PoolName) -> PoolNo {
        PoolNo(self.pools.intern(name).0)
    }

    /// Returns an availability zone's number.
    pub fn zone(&mut self, name: &ZoneName) -> ZoneNo {
        ZoneNo(self.zones.intern(name).0)
    }

    /// Returns the adapter's version that `key` stands for.
    ///
    /// # Panics
    ///
    /// Panics when `key` was not made by this value.
    #[must_use]
    pub fn resident(&self, key: AdapterKey) -> Resident {
        Resident {
            adapter: self.adapters.name(key.adapter.0).clone(),
            version: key.version,
        }
    }

    /// Returns the name of a target.
    ///
    /// # Panics
    ///
    /// Panics when `no` was not made by this value.
    #[must_use]
    pub fn target_name(&self, no: TargetNo) -> &TargetName {
        self.targets.name(no.0)
    }

    /// Returns the name of a brand.
    ///
    /// # Panics
    ///
    /// Panics when `no` was not made by this value.
    #[must_use]
    pub fn brand_name(&self, no: BrandNo) -> &BrandName {
        self.brands.name(no.0)
    }

    /// Takes the adapters numbered since the last call, with the hash of
    /// their names that is equal on every node.
    pub fn take_new_adapters(&mut self) -> Vec<(AdapterNo, u64)> {
        let fresh = std::mem::take(&mut self.fresh);
        let hashed = fresh.into_iter().map(|no| {
            let name = self.adapters.name(no.0).as_str();
            (no, stable_hash(&[name.as_bytes()]))
        });
        hashed.collect()
    }
}
