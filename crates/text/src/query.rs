//! Lookups in the model for other crates.

use std::collections::BTreeMap;

use base::{BrandName, PoolName, ServiceName, Version};

use crate::{
    model::{Adapter, Model, Service},
    order,
};

/// Placeholder for the version in the path of weights.
pub(crate) const VERSION_PLACEHOLDER: &str = "{version}";
/// Placeholder for the adapter's name in the path of weights.
pub(crate) const ADAPTER_PLACEHOLDER: &str = "{adapter}";

impl Model {
    /// Returns a service of a brand.
    #[must_use]
    pub fn service(&self, brand: &BrandName, service: &ServiceName) -> Option<&Service> {
        self.services.get(brand)?.get(service)
    }

    /// Returns the services of a brand, each after all services that it needs.
    #[must_use]
    pub fn order(&self, brand: &BrandName) -> Vec<&ServiceName> {
        let Some(services) = self.services.get(brand) else {
            return Vec::new();
        };
        let needs = services
            .iter()
            .map(|(name, service)| (name, service.needs.iter().collect()));
        order::order(&needs.collect()).0
    }

    /// Returns for each pool the services that run on it.
    #[must_use]
    pub fn pool_services(&self) -> BTreeMap<&PoolName, Vec<(&BrandName, &ServiceName)>> {
        let mut pools: BTreeMap<_, Vec<_>> =
            self.pools.keys().map(|pool| (pool, Vec::new())).collect();
        for (brand, services) in &self.services {
            for (name, service) in services {
                pools.entry(&service.pool).or_default().push((brand, name));
            }
        }
        pools
    }
}

impl Adapter {
    /// Returns the path of the weights of `version` in the weight store.
    #[must_use]
    pub fn weights_of(&self, version: Version) -> String {
        self.weights
            .replace(VERSION_PLACEHOLDER, &version.to_string())
    }
}
