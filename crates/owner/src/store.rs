//! Divides the load budget of the weight store among the entry instances.
//!
//! Rates are in thousandths of a load per second.

use std::collections::BTreeMap;

use base::{InstanceName, PerSecond, ZoneName};

/// What one instance needs from the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Demand {
    pub(crate) zone: ZoneName,
    /// Number of loads that it waits to make.
    pub(crate) loads: u32,
}

/// Returns the load rate of an instance whose zone is partitioned from the leader, in
/// thousandths of a load per second: `rate` divided equally among `zones` zones, and
/// within the zone among its `instances`.
#[must_use]
pub fn fixed_share(rate: PerSecond, zones: usize, instances: usize) -> u32 {
    let parts = zones.max(1) * instances.max(1);
    thousandths(rate) / u32::try_from(parts).unwrap_or(u32::MAX)
}

/// Divides the store's rate among the instances that are heard from.
///
/// Zones in `silent` may be partitioned and then use their fixed shares, so these are set
/// aside first. Half of the rest is divided equally, so that an instance with a new load
/// to make needn't wait for its next heartbeat; the other half is divided in proportion
/// to the waiting loads.
#[must_use]
pub(crate) fn divide(
    rate: PerSecond,
    zones: usize,
    silent: usize,
    demands: &BTreeMap<InstanceName, Demand>,
) -> BTreeMap<InstanceName, u32> {
    let zones = u64::try_from(zones.max(1)).unwrap_or(u64::MAX);
    let silent = u64::try_from(silent).unwrap_or(u64::MAX).min(zones);
    let open = u64::from(thousandths(rate)) * (zones - silent) / zones;
    let waiting: u64 = demands.values().map(|demand| u64::from(demand.loads)).sum();
    let count = u64::try_from(demands.len().max(1)).unwrap_or(u64::MAX);
    let equal = if waiting == 0 { open } else { open / 2 };
    let part = |demand: &Demand| {
        let busy = ((open - equal) * u64::from(demand.loads)).checked_div(waiting);
        u32::try_from(equal / count + busy.unwrap_or(0)).unwrap_or(u32::MAX)
    };
    let parts = demands
        .iter()
        .map(|(name, demand)| (name.clone(), part(demand)));
    parts.collect()
}

/// Divides `rate` among instances, each given with its zone and its number of waiting
/// loads, while `silent` of `zones` zones are not heard from. Returns each instance's
/// rate in thousandths of a load per second.
#[must_use]
pub fn shares(
    rate: PerSecond,
    zones: usize,
    silent: usize,
    demands: &[(InstanceName, ZoneName, u32)],
) -> Vec<(InstanceName, u32)> {
    let demands = demands.iter().map(|(name, zone, loads)| {
        let demand = Demand {
            zone: zone.clone(),
            loads: *loads,
        };
        (name.clone(), demand)
    });
    divide(rate, zones, silent, &demands.collect())
        .into_iter()
        .collect()
}

fn thousandths(rate: PerSecond) -> u32 {
    rate.get().saturating_mul(1_000)
}
