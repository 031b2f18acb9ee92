//! Starts the services of the text in the order of their dependencies.
//!
//! A service comes up as soon as its pool has a live target and all services
//! that it needs are up; until then its requests are refused as `not run`.
//! Once up, it stays up as long as the text names it: the later failure of a
//! dependency takes no other service down, because a zone that is cut off goes
//! on serving what it can.

use std::collections::{BTreeMap, BTreeSet};

use base::{BrandName, PoolName, ServiceName};
use text::model::{Model, Service};
use wire::platform::State;

use crate::{
    io::{Event, Output},
    msg::Msg,
    shared::{Out, Shared},
};

/// The services that are up, by brand.
#[derive(Clone, Debug, Default)]
pub(crate) struct Up(BTreeMap<BrandName, BTreeSet<ServiceName>>);

impl Up {
    /// Returns whether a service has come up.
    pub(crate) fn has(&self, brand: &BrandName, service: &ServiceName) -> bool {
        self.0.get(brand).is_some_and(|up| up.contains(service))
    }

    /// Removes the services that the text no longer names.
    fn retain(&mut self, model: &Model) {
        self.0.retain(|brand, up| {
            up.retain(|service| model.service(brand, service).is_some());
            model.services.contains_key(brand)
        });
    }
}

pub(crate) fn handle(shared: &mut Shared, msg: &Msg, out: &mut Out) {
    match msg {
        Msg::TextChanged => {
            let model = shared.model.clone();
            shared.up.retain(&model);
            bring_up(shared, out);
        }
        Msg::FleetChanged => bring_up(shared, out),
        _ => {}
    }
}

/// Marks every service as up that can come up now, after those it needs.
fn bring_up(shared: &mut Shared, out: &mut Out) {
    let model = shared.model.clone();
    let live = live_pools(shared);
    for (brand, services) in &model.services {
        let up = shared.up.0.entry(brand.clone()).or_default();
        if up.len() == services.len() {
            continue;
        }
        let before = up.len();
        for name in model.order(brand) {
            let Some(service) = services.get(name).filter(|_| !up.contains(name)) else {
                continue;
            };
            if may_come_up(service, up, &live) {
                up.insert(name.clone());
            }
        }
        let (now_up, all) = (up.len(), services.len());
        if now_up > before || now_up < all {
            let (up, waiting) = (now_up - before, all - now_up);
            let brand = brand.clone();
            out.emit(Output::Event(Event::Services { brand, up, waiting }));
        }
    }
}

fn may_come_up(service: &Service, up: &BTreeSet<ServiceName>, live: &BTreeSet<PoolName>) -> bool {
    live.contains(&service.pool) && service.needs.iter().all(|need| up.contains(need))
}

fn live_pools(shared: &Shared) -> BTreeSet<PoolName> {
    let targets = shared.targets.values();
    let live = targets.filter(|info| info.listed.state == State::Live && info.pool.is_some());
    live.map(|info| info.listed.pool.clone()).collect()
}
