//! Checks of a brand, its keys and its adapters.

use std::collections::BTreeSet;

use base::Version;

use crate::{
    check::Check,
    fault::Fault,
    model::{Adapter, Brand, Model, PoolKind},
    query::{ADAPTER_PLACEHOLDER, VERSION_PLACEHOLDER},
    raw::{Located, RawAdapter, RawBrand},
};

/// Checks `brand` and adds it and its adapters to `model`.
pub(super) fn check<'r>(check: &mut Check<'r>, brand: &'r RawBrand, model: &mut Model) {
    let keys = keys(check, brand);
    let name = brand.name.value.clone();
    model.brands.insert(
        name,
        Brand {
            weight: brand.weight,
            keys,
        },
    );
    if let Some(weights) = &brand.weights
        && !weights.value.contains(ADAPTER_PLACEHOLDER)
    {
        check.report(weights.at, Fault::WeightsWithoutAdapter);
    }
    if let Some(base) = &brand.base {
        check_base(check, base);
    }
    if let Some(weights) = &brand.weights {
        check_weights(check, weights);
    }
    for raw in &brand.adapters {
        if let Some(adapter) = adapter(check, brand, raw) {
            model.adapters.insert(raw.name.value.clone(), adapter);
        }
    }
}

fn keys<'r>(check: &mut Check<'r>, brand: &'r RawBrand) -> Vec<[u8; 32]> {
    let Some(keys) = &brand.keys else {
        return Vec::new();
    };
    if keys.is_empty() {
        check.report(brand.name.at, Fault::NoKeys(brand.name.value.clone()));
    }
    for key in keys {
        if let Some(other) = check.keys.insert(key.value, &brand.name.value) {
            check.report(key.at, Fault::KeyTaken(other.clone()));
        }
    }
    keys.iter().map(|key| key.value).collect()
}

fn adapter(check: &mut Check<'_>, brand: &RawBrand, raw: &RawAdapter) -> Option<Adapter> {
    let name = &raw.name;
    if let Some(base) = &raw.base {
        check_base(check, base);
    }
    if let Some(weights) = &raw.weights {
        check_weights(check, weights);
    }
    let base = raw.base.as_ref().or(brand.base.as_ref());
    if base.is_none() {
        check.report(name.at, Fault::NoBase(name.value.clone()));
    }
    let weights = raw.weights.as_ref().or(brand.weights.as_ref());
    if weights.is_none() {
        check.report(name.at, Fault::NoWeights(name.value.clone()));
    }
    let (serve, versions) = versions(check, raw)?;
    Some(Adapter {
        brand: brand.name.value.clone(),
        base: base?.value.clone(),
        serve,
        versions,
        weights: weights?
            .value
            .replace(ADAPTER_PLACEHOLDER, name.value.as_str()),
    })
}

fn versions(check: &mut Check<'_>, raw: &RawAdapter) -> Option<(Version, Vec<Version>)> {
    let listed = raw.versions.as_ref()?;
    let mut versions = BTreeSet::new();
    for version in listed {
        if !versions.insert(version.value) {
            check.report(version.at, Fault::DuplicateVersion(version.value));
        }
    }
    let name = || raw.name.value.clone();
    let serve = match (&raw.serve, versions.len()) {
        (_, 0) => {
            check.report(raw.name.at, Fault::NoVersions(name()));
            return None;
        }
        (Some(serve), _) => serve.clone(),
        (None, 1) => listed[0].clone(),
        (None, _) => {
            check.report(raw.name.at, Fault::AmbiguousServe(name()));
            return None;
        }
    };
    if !versions.contains(&serve.value) {
        check.report(
            serve.at,
            Fault::ServeUnknown {
                adapter: name(),
                serve: serve.value,
            },
        );
    }
    Some((serve.value, versions.into_iter().collect()))
}

fn check_base(check: &mut Check<'_>, base: &Located<base::BaseName>) {
    let mut runs = check.pools.values().map(|kind| match kind {
        Some(PoolKind::Engine { base: runs, .. }) => *runs == base.value,
        Some(PoolKind::Plain { .. }) => false,
        // A pool whose kind could not be read may run this base model.
        None => true,
    });
    if !runs.any(|runs| runs) {
        check.report(base.at, Fault::UnknownBase(base.value.clone()));
    }
}

fn check_weights(check: &mut Check<'_>, weights: &Located<String>) {
    if !weights.value.contains(VERSION_PLACEHOLDER) {
        check.report(weights.at, Fault::WeightsWithoutVersion);
    }
}
