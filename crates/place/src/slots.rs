//! The adapter slots of one engine.

use base::{AdapterKey, Time};

use crate::Faded;

/// What a slot is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// The load order is out.
    Loading,
    /// Requests may be sent.
    Ready,
    /// The unload order is out; `next` is loaded into the slot afterwards.
    Unloading {
        /// What the slot is cleared for.
        next: Option<AdapterKey>,
    },
}

/// One slot in use.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// What it holds.
    pub key: AdapterKey,
    /// What it is doing.
    pub state: SlotState,
    /// Requests sent to the engine and not ended.
    pub pins: u32,
    /// Whether requests of the owner before may still run on it.
    pub inherited: bool,
    /// Whether a newer version has taken its place.
    pub retired: bool,
    /// How often it was used here; fades.
    pub used: Faded,
    /// When it was last used here.
    pub last: Time,
}

/// All slots of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slots {
    /// How many there are.
    pub total: u32,
    slots: Vec<Slot>,
}

impl Slots {
    /// Makes `total` free slots.
    #[must_use]
    pub fn new(total: u32) -> Self {
        Slots {
            total,
            slots: Vec::new(),
        }
    }

    /// Returns the slots in use, oldest first.
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

    /// Returns the slot of `key` for a change.
    pub fn get_mut(&mut self, key: AdapterKey) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|s| s.key == key)
    }

    /// Returns whether requests for `key` may be sent.
    #[must_use]
    pub fn is_ready(&self, key: AdapterKey) -> bool {
        self.get(key).is_some_and(|s| s.state == SlotState::Ready)
    }

    /// Returns whether `key` is held, or is on its way in.
    #[must_use]
    pub fn has_or_gets(&self, key: AdapterKey) -> bool {
        self.slots.iter().any(|s| match s.state {
            SlotState::Loading | SlotState::Ready => s.key == key,
            SlotState::Unloading { next } => next == Some(key),
        })
    }

    /// Takes a slot for `key`.
    pub fn put(&mut self, now: Time, key: AdapterKey, state: SlotState, used: Faded) {
        self.slots.push(Slot {
            key,
            state,
            pins: 0,
            inherited: false,
            retired: false,
            used,
            last: now,
        });
    }

    /// Frees the slot of `key`.
    pub fn remove(&mut self, key: AdapterKey) -> Option<Slot> {
        let at = self.slots.iter().position(|s| s.key == key)?;
        Some(self.slots.remove(at))
    }

    /// Returns the slot to clear, by least `worth`, among those that nothing
    /// uses.
    ///
    /// Guards against evicting an adapter under a running request, which the
    /// engine would break off: a pinned slot is never offered, nor one that
    /// the owner before may still use.
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
