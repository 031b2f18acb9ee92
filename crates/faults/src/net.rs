//! A network that delays, loses, doubles and cuts.

use std::collections::BTreeSet;

use base::InstanceName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// What the links between instances do to a message.
#[derive(Clone, Debug)]
pub struct Net {
    /// Links that carry nothing, each in one direction.
    cuts: BTreeSet<(InstanceName, InstanceName)>,
    /// The share of messages that get lost, in parts of a thousand.
    pub loss: u32,
    /// The share of messages that arrive twice, in parts of a thousand.
    pub doubled: u32,
    /// The longest delay, in microseconds.
    pub delay: u64,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            cuts: BTreeSet::new(),
            loss: 0,
            doubled: 0,
            delay: 3_000,
        }
    }
}

impl Net {
    /// Cuts the link in one direction.
    pub fn cut(&mut self, from: &InstanceName, to: &InstanceName) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Mends the link in one direction.
    pub fn mend(&mut self, from: &InstanceName, to: &InstanceName) {
        self.cuts.remove(&(from.clone(), to.clone()));
    }

    /// Mends all links, and ends all loss.
    pub fn heal(&mut self) {
        *self = Net::default();
    }

    /// Tells whether the link carries messages.
    #[must_use]
    pub fn carries(&self, from: &InstanceName, to: &InstanceName) -> bool {
        !self.cuts.contains(&(from.clone(), to.clone()))
    }

    /// Returns the delays of the copies that arrive, in microseconds.
    pub fn delays(&self, from: &InstanceName, to: &InstanceName, rng: &mut ChaCha8Rng) -> Vec<u64> {
        if !self.carries(from, to) || rng.random_range(0..1_000) < self.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_range(0..1_000) < self.doubled);
        let delay = |_| rng.random_range(200..=self.delay);
        (0..copies).map(delay).collect()
    }
}
