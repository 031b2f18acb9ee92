//! A fake network that delays, loses and duplicates messages and has partitions.

use std::collections::BTreeSet;

use base::InstanceName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Faults of the links between instances.
#[derive(Clone, Debug)]
pub struct Net {
    /// Links that lose all messages, each in one direction.
    cuts: BTreeSet<(InstanceName, InstanceName)>,
    /// Share of messages that are lost, in parts per thousand.
    pub loss: u32,
    /// Share of messages that arrive twice, in parts per thousand.
    pub duplicated: u32,
    /// Longest delay of a message, in microseconds.
    pub delay: u64,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            cuts: BTreeSet::new(),
            loss: 0,
            duplicated: 0,
            delay: 3_000,
        }
    }
}

impl Net {
    /// Cuts the link in one direction.
    pub fn cut(&mut self, from: &InstanceName, to: &InstanceName) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Restores the link in one direction.
    pub fn restore(&mut self, from: &InstanceName, to: &InstanceName) {
        self.cuts.remove(&(from.clone(), to.clone()));
    }

    /// Restores all links and resets loss, duplication and delay to the defaults.
    pub fn heal(&mut self) {
        *self = Net::default();
    }

    /// Returns whether the link carries messages.
    #[must_use]
    pub fn carries(&self, from: &InstanceName, to: &InstanceName) -> bool {
        !self.cuts.contains(&(from.clone(), to.clone()))
    }

    /// Returns the delay of each copy of a message that arrives, in microseconds; none if the
    /// message is lost.
    pub fn delays(&self, from: &InstanceName, to: &InstanceName, rng: &mut ChaCha8Rng) -> Vec<u64> {
        if !self.carries(from, to) || rng.random_range(0..1_000) < self.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_range(0..1_000) < self.duplicated);
        let delay = |_| rng.random_range(200..=self.delay);
        (0..copies).map(delay).collect()
    }
}
