//! Home engines by rendezvous hashing.

use base::StableHash;

/// Returns the rank of an engine as a home of an adapter: loads of the adapter prefer the
/// engines with the greatest ranks.
///
/// Both hashes are computed from names, so every node computes the same ranks. An engine
/// that joins or leaves changes the first home only of adapters that it is the first home
/// of.
#[must_use]
pub fn home_rank(adapter: StableHash, target: StableHash) -> u64 {
    // Two rounds of multiply and fold. With a plain xor, whole groups of adapters would
    // rank the engines in the same order.
    let mut x = adapter ^ target.rotate_left(32);
    x = (x ^ (x >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}
