//! Builds the model from raw types and checks that each name refers to something that
//! exists and has the right kind.

mod brand;
mod service;

use std::collections::BTreeMap;

use base::{AdapterName, BrandName};

use crate::{
    errors::{Errors, Problem},
    fault::Fault,
    model::{Model, Pool, PoolKind},
    raw::{Raw, RawAdapter, RawBrand},
    read,
};

impl TryFrom<&str> for Model {
    type Error = Errors;

    fn try_from(source: &str) -> Result<Self, Errors> {
        let (raw, mut problems) = read::read(source);
        match Model::try_from(raw) {
            Ok(model) if problems.is_empty() => return Ok(model),
            Ok(_) => {}
            Err(more) => problems.extend(more),
        }
        Err(Errors::new(source, problems))
    }
}

impl TryFrom<Raw> for Model {
    type Error = Vec<Problem>;

    fn try_from(raw: Raw) -> Result<Self, Vec<Problem>> {
        let mut check = Check::new(&raw);
        let mut model = Model {
            limits: raw.limits.clone(),
            store: raw.store.clone(),
            ..Model::default()
        };
        for pool in &raw.pools {
            let Some(kind) = &pool.kind else { continue };
            model
                .pools
                .insert(pool.name.clone(), Pool { kind: kind.clone() });
        }
        for brand in &raw.brands {
            brand::check(&mut check, brand, &mut model);
            service::check(&mut check, brand, &mut model);
        }
        if check.problems.is_empty() {
            Ok(model)
        } else {
            Err(check.problems)
        }
    }
}

/// Tables in which the checks look up names, and the problems found so far.
struct Check<'r> {
    pools: BTreeMap<&'r str, &'r Option<PoolKind>>,
    adapters: BTreeMap<&'r AdapterName, Declared<'r>>,
    keys: BTreeMap<[u8; 32], &'r BrandName>,
    problems: Vec<Problem>,
}

/// An adapter and the brand that declared its name first.
struct Declared<'r> {
    brand: &'r RawBrand,
    adapter: &'r RawAdapter,
}

impl<'r> Check<'r> {
    fn new(raw: &'r Raw) -> Self {
        let mut check = Check {
            pools: raw
                .pools
                .iter()
                .map(|pool| (pool.name.as_str(), &pool.kind))
                .collect(),
            adapters: BTreeMap::new(),
            keys: BTreeMap::new(),
            problems: Vec::new(),
        };
        for brand in &raw.brands {
            for adapter in &brand.adapters {
                check.declare(brand, adapter);
            }
        }
        check
    }

    fn declare(&mut self, brand: &'r RawBrand, adapter: &'r RawAdapter) {
        let name = &adapter.name.value;
        if let Some(first) = self.adapters.get(name) {
            let brand = first.brand.name.value.clone();
            let fault = Fault::AdapterTaken {
                adapter: name.clone(),
                brand,
            };
            return self.report(adapter.name.at, fault);
        }
        self.adapters.insert(name, Declared { brand, adapter });
    }

    fn report(&mut self, at: usize, fault: Fault) {
        self.problems.push(Problem { at, fault });
    }
}
