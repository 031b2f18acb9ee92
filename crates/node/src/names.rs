//! Interns names as small numbers, so that routing tables are indexed by
//! number. A number is never reused for another name.

use std::{collections::HashMap, hash::Hash};

use base::{
    AdapterKey, AdapterName, AdapterNo, BrandName, BrandNo, PoolName, TargetName, TargetNo,
    ZoneName, stable_hash,
};
use route::{PoolNo, ZoneNo};
use wire::engine::Resident;

/// Interns names of one kind as consecutive numbers from zero.
///
/// The hash map is only used for look-ups and never iterated over, so its
/// random order can't make the node's decisions differ between runs.
#[derive(Clone, Debug)]
struct Interner<N> {
    numbers: HashMap<N, u32>,
    names: Vec<N>,
}

impl<N> Default for Interner<N> {
    fn default() -> Self {
        Interner {
            numbers: HashMap::new(),
            names: Vec::new(),
        }
    }
}

impl<N: Clone + Eq + Hash> Interner<N> {
    /// Returns the number of `name`, and whether it was assigned just now.
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

/// The interned names of one node.
#[derive(Clone, Debug, Default)]
pub struct Names {
    adapters: Interner<AdapterName>,
    brands: Interner<BrandName>,
    targets: Interner<TargetName>,
    pools: Interner<PoolName>,
    zones: Interner<ZoneName>,
    new_adapters: Vec<AdapterNo>,
}

impl Names {
    /// Returns an adapter's number, assigning one if it is new.
    pub fn adapter(&mut self, name: &AdapterName) -> AdapterNo {
        let (no, new) = self.adapters.intern(name);
        if new {
            self.new_adapters.push(AdapterNo(no));
        }
        AdapterNo(no)
    }

    /// Returns the key of one version of an adapter.
    pub fn key(&mut self, resident: &Resident) -> AdapterKey {
        AdapterKey {
            adapter: self.adapter(&resident.adapter),
            version: resident.version,
        }
    }

    /// Returns a brand's number, assigning one if it is new.
    pub fn brand(&mut self, name: &BrandName) -> BrandNo {
        BrandNo(self.brands.intern(name).0)
    }

    /// Returns a target's number, assigning one if it is new.
    pub fn target(&mut self, name: &TargetName) -> TargetNo {
        TargetNo(self.targets.intern(name).0)
    }

    /// Returns a pool's number, assigning one if it is new.
    pub fn pool(&mut self, name: &PoolName) -> PoolNo {
        PoolNo(self.pools.intern(name).0)
    }

    /// Returns an availability zone's number, assigning one if it is new.
    pub fn zone(&mut self, name: &ZoneName) -> ZoneNo {
        ZoneNo(self.zones.intern(name).0)
    }

    /// Returns the adapter name and version of `key`.
    ///
    /// # Panics
    ///
    /// Panics if `key` was not returned by this `Names`.
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
    /// Panics if `no` was not returned by this `Names`.
    #[must_use]
    pub fn target_name(&self, no: TargetNo) -> &TargetName {
        self.targets.name(no.0)
    }

    /// Returns the name of a brand.
    ///
    /// # Panics
    ///
    /// Panics if `no` was not returned by this `Names`.
    #[must_use]
    pub fn brand_name(&self, no: BrandNo) -> &BrandName {
        self.brands.name(no.0)
    }

    /// Returns the adapters added since the last call, each with the stable
    /// hash of its name, which is the same on every node.
    pub fn take_new_adapters(&mut self) -> Vec<(AdapterNo, u64)> {
        let new_adapters = std::mem::take(&mut self.new_adapters);
        let hashed = new_adapters.into_iter().map(|no| {
            let name = self.adapters.name(no.0).as_str();
            (no, stable_hash(&[name.as_bytes()]))
        });
        hashed.collect()
    }
}
