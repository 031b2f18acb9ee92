//! What an engine says that it has in its host memory.

use std::collections::BTreeMap;

use super::engine::{EVICTED_MAX, Engine, Evicted};

impl Engine {
    /// Takes over adapters that the engine says it can load from its host memory.
    ///
    /// Failure: the owner of a zone had just changed and knew of no eviction. Adapters that an
    /// engine could load in a tenth of the time waited for the store.
    pub(super) fn remember(&mut self, in_memory: BTreeMap<String, u32>) {
        for (adapter, version) in in_memory {
            if self.adapters.contains_key(&adapter) || self.evicted.len() >= EVICTED_MAX {
                continue;
            }
            let at = self.evictions;
            let known = self.evicted.entry(adapter);
            known.or_insert(Evicted { at, version });
        }
    }
}
