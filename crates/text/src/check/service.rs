//! Checks of a brand's services and of their dependencies.

use std::collections::{BTreeMap, BTreeSet};

use base::{AdapterName, BaseName, BrandName, Class, Mark, PoolName, ServiceName};

use crate::{
    check::Check,
    fault::Fault,
    model::{Model, PoolKind, Service, ServiceKind},
    order,
    raw::{Located, RawBrand, RawEachAdapter, RawKind, RawService},
};

/// Checks the services of `brand` and adds them to `model`.
pub(super) fn check(check: &mut Check<'_>, brand: &RawBrand, model: &mut Model) {
    let mut services = BTreeMap::new();
    for raw in &brand.services {
        if let Some(service) = service(check, &brand.name.value, raw) {
            services.insert(raw.name.value.clone(), service);
        }
    }
    if let Some(each) = &brand.each {
        each_adapter(check, brand, each, &mut services);
    }
    check_needs(check, brand);
    check_cycles(check, brand, &services);
    if !services.is_empty() {
        model.services.insert(brand.name.value.clone(), services);
    }
}

fn service(check: &mut Check<'_>, brand: &BrandName, raw: &RawService) -> Option<Service> {
    let kind = match raw.kind.as_ref()? {
        RawKind::Plain => plain(check, raw.pool.as_ref()),
        RawKind::Assistant(adapter) => assistant(check, brand, adapter.as_ref(), raw.pool.as_ref()),
    };
    Some(Service {
        kind: kind?,
        pool: raw.pool.as_ref()?.value.clone(),
        class: raw.class?,
        mark: raw.mark?,
        needs: raw.needs.iter().map(|need| need.value.clone()).collect(),
    })
}

fn plain(check: &mut Check<'_>, pool: Option<&Located<PoolName>>) -> Option<ServiceKind> {
    let pool = pool?;
    match find_pool(check, pool)? {
        PoolKind::Plain { .. } => Some(ServiceKind::Plain),
        PoolKind::Engine { .. } => {
            check.report(pool.at, Fault::EnginePool(pool.value.clone()));
            None
        }
    }
}

fn assistant(
    check: &mut Check<'_>,
    brand: &BrandName,
    adapter: Option<&Located<AdapterName>>,
    pool: Option<&Located<PoolName>>,
) -> Option<ServiceKind> {
    let base = adapter.and_then(|adapter| adapter_base(check, brand, adapter));
    let runs = pool.and_then(|pool| engine_base(check, pool));
    let (adapter, pool) = (adapter?, pool?);
    let (base, runs) = (base?, runs?);
    if base != runs {
        let (adapter, pool) = (adapter.value.clone(), pool.clone());
        check.report(
            pool.at,
            Fault::OtherBase {
                adapter,
                base,
                pool: pool.value,
                runs,
            },
        );
        return None;
    }
    Some(ServiceKind::Assistant {
        adapter: adapter.value.clone(),
    })
}

/// Returns the base model of an adapter, if it exists and belongs to the brand.
fn adapter_base(
    check: &mut Check<'_>,
    brand: &BrandName,
    adapter: &Located<AdapterName>,
) -> Option<BaseName> {
    let Some(found) = check.adapters.get(&adapter.value) else {
        check.report(adapter.at, Fault::UnknownAdapter(adapter.value.clone()));
        return None;
    };
    let owner = &found.brand.name.value;
    if owner != brand {
        let (adapter, at) = (adapter.value.clone(), adapter.at);
        let fault = Fault::OtherBrand {
            adapter,
            owner: owner.clone(),
            brand: brand.clone(),
        };
        check.report(at, fault);
        return None;
    }
    let base = found.adapter.base.as_ref().or(found.brand.base.as_ref());
    base.map(|base| base.value.clone())
}

/// Returns the base model that a pool's engines run.
fn engine_base(check: &mut Check<'_>, pool: &Located<PoolName>) -> Option<BaseName> {
    match find_pool(check, pool)? {
        PoolKind::Engine { base, .. } => Some(base.clone()),
        PoolKind::Plain { .. } => {
            check.report(pool.at, Fault::PlainPool(pool.value.clone()));
            None
        }
    }
}

fn find_pool<'r>(check: &mut Check<'r>, pool: &Located<PoolName>) -> Option<&'r PoolKind> {
    match check.pools.get(pool.value.as_str()) {
        Some(kind) => kind.as_ref(),
        None => {
            check.report(pool.at, Fault::UnknownPool(pool.value.clone()));
            None
        }
    }
}

/// Adds a service for every adapter of the brand, under the adapter's name. A problem
/// with the pool is reported once, not for each adapter.
fn each_adapter(
    check: &mut Check<'_>,
    brand: &RawBrand,
    each: &RawEachAdapter,
    services: &mut BTreeMap<ServiceName, Service>,
) {
    let declared: BTreeSet<_> = brand
        .services
        .iter()
        .map(|service| &service.name.value)
        .collect();
    let runs = each.pool.as_ref().and_then(|pool| engine_base(check, pool));
    for raw in &brand.adapters {
        let Ok(name) = ServiceName::try_from(raw.name.value.as_str()) else {
            continue;
        };
        if declared.contains(&name) {
            check.report(raw.name.at, Fault::ServiceTaken(name));
            continue;
        }
        let base = raw.base.as_ref().or(brand.base.as_ref());
        let (Some(pool), Some(runs), Some(base)) = (&each.pool, &runs, base) else {
            continue;
        };
        if base.value != *runs {
            let (adapter, base) = (raw.name.value.clone(), base.value.clone());
            let (pool, runs) = (pool.value.clone(), runs.clone());
            check.report(
                raw.name.at,
                Fault::OtherBase {
                    adapter,
                    base,
                    pool,
                    runs,
                },
            );
            continue;
        }
        let Some(class) = each.class else { continue };
        services.insert(
            name,
            adapter_service(raw.name.value.clone(), pool, class, each),
        );
    }
}

fn adapter_service(
    adapter: AdapterName,
    pool: &Located<PoolName>,
    class: Class,
    each: &RawEachAdapter,
) -> Service {
    Service {
        kind: ServiceKind::Assistant { adapter },
        pool: pool.value.clone(),
        class,
        mark: Mark::Repeatable,
        needs: each.needs.iter().map(|need| need.value.clone()).collect(),
    }
}

fn check_needs(check: &mut Check<'_>, brand: &RawBrand) {
    let mut known: BTreeSet<&str> = brand
        .services
        .iter()
        .map(|service| service.name.value.as_str())
        .collect();
    if brand.each.is_some() {
        known.extend(
            brand
                .adapters
                .iter()
                .map(|adapter| adapter.name.value.as_str()),
        );
    }
    for service in &brand.services {
        check_list(check, brand, &service.name.value, &service.needs, &known);
    }
    if let (Some(each), Some(first)) = (&brand.each, brand.adapters.first())
        && let Ok(name) = ServiceName::try_from(first.name.value.as_str())
    {
        check_list(check, brand, &name, &each.needs, &known);
    }
}

fn check_list(
    check: &mut Check<'_>,
    brand: &RawBrand,
    service: &ServiceName,
    needs: &[Located<ServiceName>],
    known: &BTreeSet<&str>,
) {
    let mut seen = BTreeSet::new();
    for need in needs {
        if !seen.insert(&need.value) {
            check.report(need.at, Fault::DuplicateNeed(need.value.clone()));
        }
        if !known.contains(need.value.as_str()) {
            let (service, need, at) = (service.clone(), need.value.clone(), need.at);
            let brand = brand.name.value.clone();
            check.report(
                at,
                Fault::UnknownNeed {
                    service,
                    need,
                    brand,
                },
            );
        }
    }
}

/// Reports each cycle once, at the first by name of its declared services.
///
/// The services of a cycle would wait for each other and never come up.
fn check_cycles(
    check: &mut Check<'_>,
    brand: &RawBrand,
    services: &BTreeMap<ServiceName, Service>,
) {
    let mut needs: order::Needs<'_> = brand
        .services
        .iter()
        .map(|raw| {
            (
                &raw.name.value,
                raw.needs.iter().map(|need| &need.value).collect(),
            )
        })
        .collect();
    for (name, service) in services {
        needs
            .entry(name)
            .or_insert_with(|| service.needs.iter().collect());
    }
    for cycle in order::cycles(&needs) {
        let first = brand
            .services
            .iter()
            .find(|service| cycle.0.contains(&service.name.value));
        let at = first.map_or(brand.name.at, |service| service.name.at);
        check.report(at, cycle.into());
    }
}
