//! The zone in which an adapter is loaded that no target holds.
//!
//! Every entry instance has to choose the same zone, or each zone would load its own copy
//! and all engines together would hold fewer different adapters: a quarter as many with
//! four zones. Rendezvous hashing gives each adapter its own order of zones; if the owner
//! of the first can't give orders, only the adapters of that zone move to their next one.

use base::stable_hash;

/// Returns the zone for try number `round` to have `adapter` loaded.
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
