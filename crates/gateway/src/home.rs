//! Which zone an adapter that nobody holds should be loaded in.
//!
//! Every entry instance has to name the same zone, or each zone would load its
//! own copy and all engines together would hold a quarter as many adapters.
//! Rendezvous hashing gives each adapter its order of zones; when the first
//! can't give orders, only its adapters go to their next one.

use base::stable_hash;

/// Returns the zone for the `round`th try to have `adapter` loaded.
#[must_use]
pub fn home<'a>(adapter: &str, zones: &'a [String], round: usize) -> Option<&'a str> {
    let mut ranked: Vec<_> = zones
        .iter()
        .map(|zone| (stable_hash(&[adapter.as_bytes(), zone.as_bytes()]), zone))
        .collect();
    ranked.sort_unstable();
    let at = round % ranked.len().max(1);
    ranked.get(at).map(|(_, zone)| zone.as_str())
}
