//! The zone in which an adapter is loaded that no target holds.
//!
//! Every entry instance has to choose the same zone, or each zone would load its own copy
//! and all engines together would hold fewer different adapters: a quarter as many with
//! four zones. Rendezvous hashing gives each adapter its own order of zones; if the owner
//! of the first can't give orders, only the adapters of that zone move to their next one.
//!
//! Pattern: most engines of a zone name limits, so that nothing is loaded there. Zones have
//! weights, and a zone whose weight falls passes on some of its own adapters only.

use base::stable_hash;

/// A zone in which adapters can be loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedZone {
    /// The zone.
    pub name: String,
    /// Part of its engines on which adapters are loaded.
    pub weight: f64,
}

/// Returns the zone for try number `round` to have `adapter` loaded.
///
/// Zones without weight come last.
#[must_use]
pub fn home<'a>(adapter: &str, zones: &'a [WeightedZone], round: usize) -> Option<&'a str> {
    let open = zones.iter().filter(|zone| zone.weight > 0.0).count();
    let mut ranked: Vec<_> = zones
        .iter()
        .map(|zone| (rank(adapter, zone), zone))
        .collect();
    ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
    let count = if open > 0 { open } else { ranked.len() };
    let at = round % count.max(1);
    ranked.get(at).map(|(_, zone)| zone.name.as_str())
}

/// Returns the rank of a zone for an adapter; the lowest is its home. Among zones of equal
/// weight it is ordered as the hash is.
fn rank(adapter: &str, zone: &WeightedZone) -> f64 {
    let hash = stable_hash(&[adapter.as_bytes(), zone.name.as_bytes()]);
    let part = (hash as f64 / u64::MAX as f64).min(1.0 - f64::EPSILON);
    if zone.weight > 0.0 {
        return -(-part).ln_1p() / zone.weight;
    }
    f64::MAX * part.max(0.5)
}
