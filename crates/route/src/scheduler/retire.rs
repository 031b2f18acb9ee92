//! Unloads adapters that the text in force no longer names.

use std::collections::BTreeSet;

use base::{AdapterKey, Class, Time};
use place::SlotState;

use crate::{LoadPolicy, Output, scheduler::Scheduler};

impl Scheduler {
    /// Replaces the set of adapter versions that are resident somewhere but no longer
    /// named by the text in force.
    pub(super) fn retired(&mut self, keys: BTreeSet<AdapterKey>) {
        self.retired = keys;
    }

    /// Unloads the retired adapters that no request uses or waits for.
    ///
    /// Eviction alone would leave them resident until their slot is needed: an adapter
    /// that an operator has removed could still be loaded days later.
    pub(super) fn unload_retired(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.retired.is_empty() {
            return;
        }
        for owned in self.engines.values_mut() {
            if owned.engine.policy != LoadPolicy::Full {
                continue;
            }
            let target = owned.engine.target;
            let idle = owned.slots.iter().filter(|slot| {
                let unused = slot.state == SlotState::Ready && slot.pins == 0 && !slot.inherited;
                let failed = self.backoff.until(now, target, slot.key).is_some();
                unused && !failed && self.retired.contains(&slot.key)
            });
            let idle: Vec<AdapterKey> = idle.map(|slot| slot.key).collect();
            for key in idle {
                if owned.queue.waits_for(key, Class::Batch) {
                    continue;
                }
                base::hit!(retired_unloaded);
                if let Some(slot) = owned.slots.get_mut(key) {
                    slot.state = SlotState::Unloading { next: None };
                }
                owned.publish(now, Vec::new(), vec![key], out);
                out.push(Output::Unload { target, key });
            }
        }
    }
}
