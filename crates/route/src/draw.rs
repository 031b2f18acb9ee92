//! Seeded draws.

/// A small generator of random numbers (SplitMix64), so that the same seed
/// and inputs give the same choices.
#[derive(Clone, Debug)]
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(seed: u64) -> Self {
        Draw(seed)
    }

    /// Draws a number from zero to below one.
    pub(crate) fn part(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
