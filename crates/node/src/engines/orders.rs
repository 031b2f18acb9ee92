//! Orders to engines. Each is checked against the lease immediately before it
//! is sent, and its result is ignored if the engine restarted meanwhile.

use base::{AdapterKey, Fence, TargetNo, Time};
use owner::Order as OrderKind;
use route::{Input as SchedulerInput, LoadEnd};
use wire::engine::Resident;

use super::{Engines, measure};
use crate::{
    io::{Event, Order, OrderEnd, Output},
    shared::{Out, Shared},
};

/// An outstanding order, with the fencing number it was sent under.
#[derive(Clone, Copy, Debug)]
pub(super) enum Sent {
    /// A load, and when it was sent.
    Load(TargetNo, AdapterKey, Fence, Time),
    Unload(TargetNo, AdapterKey, Fence),
    /// A load of an adapter that is already resident, which makes the engine
    /// refuse the orders of earlier owners.
    RaiseFence(TargetNo, AdapterKey, Fence),
}

impl Sent {
    fn target(self) -> TargetNo {
        match self {
            Sent::Load(target, ..) | Sent::Unload(target, ..) | Sent::RaiseFence(target, ..) => {
                target
            }
        }
    }

    fn fence(self) -> Fence {
        match self {
            Sent::Load(_, _, fence, _)
            | Sent::Unload(_, _, fence)
            | Sent::RaiseFence(_, _, fence) => fence,
        }
    }
}

impl Engines {
    pub(super) fn load(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        key: AdapterKey,
        out: &mut Out,
    ) -> Option<SchedulerInput> {
        let end = LoadEnd::Failed;
        let failed = SchedulerInput::Loaded { target, key, end };
        let resident = shared.names.resident(key);
        let Some(weights) = weights(shared, &resident) else {
            return Some(failed);
        };
        let name = shared.names.target_name(target).clone();
        let may = self
            .lessee
            .may_order(now, &name, OrderKind::Load, fencing(shared, target));
        let Some(fence) = may else {
            return Some(failed);
        };
        self.waits.load_begun((target, key));
        let body = Order::Load(resident, weights);
        self.order(
            shared,
            target,
            body,
            fence,
            Sent::Load(target, key, fence, now),
            out,
        );
        None
    }

    pub(super) fn unload(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        key: AdapterKey,
        out: &mut Out,
    ) -> Option<SchedulerInput> {
        let resident = shared.names.resident(key);
        let name = shared.names.target_name(target).clone();
        let fencing = fencing(shared, target);
        let kind = OrderKind::Unload(&resident);
        let Some(fence) = self.lessee.may_order(now, &name, kind, fencing) else {
            return Some(SchedulerInput::Unloaded {
                target,
                key,
                ok: false,
            });
        };
        let input = owner::Input::Unloading {
            target: name,
            resident: resident.clone(),
        };
        self.drive_lessee(shared, now, input, out);
        let body = Order::Unload(resident);
        let sent = Sent::Unload(target, key, fence);
        self.order(shared, target, body, fence, sent, out);
        None
    }

    pub(super) fn order(
        &mut self,
        shared: &mut Shared,
        target: TargetNo,
        body: Order,
        fence: Fence,
        sent: Sent,
        out: &mut Out,
    ) {
        let Some(info) = shared.targets.get(&target) else {
            return;
        };
        let (name, address) = (info.listed.name.clone(), info.address);
        let Some(watch) = shared.watched.begin(&name) else {
            return;
        };
        self.next_order += 1;
        self.orders.insert(self.next_order, (sent, watch));
        out.emit(Output::Order {
            order: self.next_order,
            target: name,
            address,
            body,
            fence,
        });
    }

    pub(super) fn on_ordered(
        &mut self,
        shared: &mut Shared,
        now: Time,
        order: u64,
        end: OrderEnd,
        out: &mut Out,
    ) {
        let Some((sent, watch)) = self.orders.remove(&order) else {
            return;
        };
        let name = shared.names.target_name(sent.target()).clone();
        // An engine that restarted since has lost the effect of the order.
        let valid = shared.watched.finish_order(&name, watch).is_ok();
        if end == OrderEnd::Fenced {
            let fence = sent.fence();
            out.emit(Output::Event(Event::Fenced(name.clone(), fence)));
        }
        let fresh = end == OrderEnd::Done;
        let done = valid && (fresh || end == OrderEnd::AlreadyLoaded);
        match sent {
            Sent::Load(target, key, fence, begun) => {
                self.waits.load_ended(now, (target, key), done);
                measure::load_ended(shared, (target, key), end, now.since(begun), out);
                if done {
                    self.note_loaded(shared, now, target, key, (fence, fresh), out);
                } else {
                    let resident = shared.names.resident(key);
                    out.emit(Output::Event(Event::LoadFailed(name, resident)));
                }
                let end = self.load_end(target, done, fresh);
                let input = SchedulerInput::Loaded { target, key, end };
                self.drive_scheduler(shared, now, input, out);
            }
            Sent::Unload(target, key, _) => {
                if done {
                    measure::unloaded(shared, target, key, out);
                }
                let ok = done;
                let input = SchedulerInput::Unloaded { target, key, ok };
                self.drive_scheduler(shared, now, input, out);
            }
            Sent::RaiseFence(target, key, fence) if done => {
                self.note_loaded(shared, now, target, key, (fence, fresh), out);
            }
            Sent::RaiseFence(..) => {}
        }
    }

    /// Returns the result of a load for the scheduler, which only sends requests
    /// to an adapter whose load is `Done`.
    ///
    /// Guard: without a valid lease there may be another owner, which could
    /// unload an adapter that it has loaded while a request from here runs on
    /// it. Only an adapter that this order itself loaded is used.
    fn load_end(&self, target: TargetNo, done: bool, fresh: bool) -> LoadEnd {
        if done && (fresh || !self.restricted(target)) {
            LoadEnd::Done
        } else {
            LoadEnd::Failed
        }
    }
}

/// Returns the path of `resident`'s weights in the weight store; none if the
/// text in force doesn't name this adapter and version.
pub(super) fn weights(shared: &Shared, resident: &Resident) -> Option<String> {
    let adapter = shared.model.adapters.get(&resident.adapter)?;
    let known = adapter.versions.contains(&resident.version);
    known.then(|| adapter.weights_of(resident.version))
}

/// Returns whether an engine refuses orders with an old fencing number.
pub(super) fn fencing(shared: &Shared, target: TargetNo) -> bool {
    let info = shared.targets.get(&target).and_then(|info| info.engine());
    info.is_some_and(|engine| engine.fencing)
}
