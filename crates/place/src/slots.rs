//! The adapter slots of one engine.

use base::{AdapterKey, Time};

use crate::DecayingRate;

/// The state of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load order was sent.
    Loading,
    /// The adapter is resident: requests may be sent.
    Ready,
    /// An unload order was sent; `next` is loaded into the slot afterwards.
    Unloading {
        /// The adapter version to load next, if the slot is emptied for one.
        next: Option<AdapterKey>,
    },
}

/// An occupied slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// The adapter version in the slot.
    pub key: AdapterKey,
    /// The state of the slot.
    pub state: SlotState,
    /// Requests for the adapter that were sent to the engine and have not ended.
    pub pins: u32,
    /// Whether requests sent by the previous owner may still run on it.
    pub inherited: bool,
    /// Whether a newer version of the adapter is resident on the engine.
    pub superseded: bool,
    /// Decaying usage of the adapter; initialised from the demand that this instance has
    /// seen.
    pub usage: DecayingRate,
    /// When this instance last sent or ended a request for the adapter.
    pub last_used: Time,
}

/// All slots of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slots {
    /// Number of slots.
    pub total: u32,
    slots: Vec<Slot>,
}

impl Slots {
    /// Creates `total` free slots.
    #[must_use]
    pub fn new(total: u32) -> Self {
        Slots {
            total,
            slots: Vec::new(),
        }
    }

    /// Returns the occupied slots, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter()
    }

    /// Returns whether a slot is free.
    #[must_use]
    pub fn has_free(&self) -> bool {
        self.slots.len() < self.total as usize
    }

    /// Returns the slot of `key`.
    #[must_use]
    pub fn get(&self, key: AdapterKey) -> Option<&Slot> {
        self.slots.iter().find(|s| s.key == key)
    }

    /// Returns the slot of `key` for modification.
    pub fn get_mut(&mut self, key: AdapterKey) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|s| s.key == key)
    }

    /// Returns whether requests for `key` may be sent.
    #[must_use]
    pub fn is_ready(&self, key: AdapterKey) -> bool {
        self.get(key).is_some_and(|s| s.state == SlotState::Ready)
    }

    /// Returns whether `key` is resident, being loaded, or about to be loaded into a slot
    /// that is being emptied.
    #[must_use]
    pub fn has_or_loads(&self, key: AdapterKey) -> bool {
        self.slots.iter().any(|s| match s.state {
            SlotState::Loading | SlotState::Ready => s.key == key,
            SlotState::Unloading { next } => next == Some(key),
        })
    }

    /// Occupies a slot with `key`.
    pub fn put(&mut self, now: Time, key: AdapterKey, state: SlotState, usage: DecayingRate) {
        self.slots.push(Slot {
            key,
            state,
            pins: 0,
            inherited: false,
            superseded: false,
            usage,
            last_used: now,
        });
    }

    /// Frees the slot of `key`.
    pub fn remove(&mut self, key: AdapterKey) -> Option<Slot> {
        let at = self.slots.iter().position(|s| s.key == key)?;
        Some(self.slots.remove(at))
    }

    /// Returns the slot to evict and its worth: the one with the least `worth` among the
    /// resident adapters that no request uses. Slots for which `worth` returns `None` are
    /// left out.
    ///
    /// Guards against evicting an adapter under a running request, whose answer the
    /// engine would break off: a pinned slot is never returned, nor one that the previous
    /// owner's requests may still use.
    pub fn victim(&self, worth: impl Fn(&Slot) -> Option<f32>) -> Option<(AdapterKey, f32)> {
        let mut best: Option<(AdapterKey, f32)> = None;
        for slot in &self.slots {
            if slot.state != SlotState::Ready {
                continue;
            }
            if slot.pins > 0 || slot.inherited {
                base::hit!(used_slot_kept);
                continue;
            }
            let Some(worth) = worth(slot) else { continue };
            if best.is_none_or(|(_, least)| worth < least) {
                best = Some((slot.key, worth));
            }
        }
        best
    }
}
