//! Home engines by rendezvous hashing.

use base::StableHash;

/// Ranks an engine for an adapter: the engine with the greatest rank is the
/// adapter's first home.
///
/// Every node ranks alike, because both hashes come from names, and an engine
/// that comes or goes moves only the adapters whose home it is.
#[must_use]
pub fn home_rank(adapter: StableHash, target: StableHash) -> u64 {
    // Two rounds of multiply and fold; a plain xor alone would rank the
    // engines in one order for whole groups of adapters.
    let mut x = adapter ^ target.rotate_left(32);
    x = (x ^ (x >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}
