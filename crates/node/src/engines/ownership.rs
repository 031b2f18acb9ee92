//! Drives the lessee: carries out its outputs, and tells the scheduler what a
//! change of ownership permits.

use base::{Fence, Incarnation, TargetName, TargetNo, Time};
use owner::{Input as LesseeInput, Output as LesseeOutput, Ownership};
use route::{Engine as Owned, Input as SchedulerInput, LoadPolicy};
use wire::call::{Call, HeartbeatReply};

use super::{Engines, orders::Sent};
use crate::{
    io::{Event, Order, Output},
    msg::ENGINES,
    shared::{CALL_TIMEOUT, Out, Purpose, Shared},
};

impl Engines {
    /// Hands one input to the lessee and carries out its outputs.
    pub(super) fn drive_lessee(
        &mut self,
        shared: &mut Shared,
        now: Time,
        input: LesseeInput,
        out: &mut Out,
    ) {
        let mut outputs = Vec::new();
        self.lessee.handle(now, input, &mut outputs);
        self.carry_out_lessee(shared, now, outputs, out);
    }

    /// Carries out outputs of the lessee.
    pub(super) fn carry_out_lessee(
        &mut self,
        shared: &mut Shared,
        now: Time,
        outputs: Vec<LesseeOutput>,
        out: &mut Out,
    ) {
        for output in outputs {
            match output {
                LesseeOutput::Ask { to, round, confirm } => {
                    let Some(address) = shared.peers.get(&to).copied() else {
                        continue;
                    };
                    let target = confirm.target.clone();
                    let purpose = Purpose::Confirm { to, target, round };
                    let body = Call::Confirm(confirm);
                    shared.call(ENGINES, purpose, address, body, CALL_TIMEOUT, out);
                }
                LesseeOutput::Changed { target, ownership } => {
                    self.on_changed(shared, now, &target, ownership, out);
                }
                LesseeOutput::Handover { to, handover } => {
                    if let Some(address) = shared.peers.get(&to).copied() {
                        let body = Call::Handover(handover);
                        let purpose = Purpose::Handover;
                        shared.call(ENGINES, purpose, address, body, CALL_TIMEOUT, out);
                    }
                }
                LesseeOutput::Wake(at) => shared.wake(ENGINES, at),
            }
        }
    }

    fn on_changed(
        &mut self,
        shared: &mut Shared,
        now: Time,
        name: &TargetName,
        own: Ownership,
        out: &mut Out,
    ) {
        let target = shared.names.target(name);
        let engine = self.engines.entry(target).or_default();
        engine.owned = (own != Ownership::None).then_some(own);
        if own == Ownership::None {
            engine.incarnation = None;
            out.emit(Output::Event(Event::Lost(name.clone())));
            self.drive_scheduler(shared, now, SchedulerInput::Lost(target), out);
            self.report_in_use(shared, now, target, out);
            return;
        }
        // Polls the engine at once, as its resident adapters are not known.
        engine.last_poll = Time::ZERO;
        let event = match own {
            Ownership::Full { fence } => Some(Event::Owns(name.clone(), fence)),
            Ownership::Restricted { fence } => Some(Event::Restricted(name.clone(), fence)),
            Ownership::None => None,
        };
        if let Some(event) = event {
            out.emit(Output::Event(event));
        }
        self.publish_owned(shared, now, target, out);
    }

    /// Sends the scheduler an engine that is owned and has reported.
    pub(super) fn publish_owned(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        out: &mut Out,
    ) {
        let Some(engine) = self.engines.get(&target) else {
            return;
        };
        let (Some(own), Some(incarnation)) = (engine.owned, engine.incarnation) else {
            return;
        };
        if !super::is_live(shared, target) {
            return;
        }
        let held = engine.resident.clone();
        let Some(owned) = owned(shared, target, own, incarnation) else {
            return;
        };
        let input = SchedulerInput::Owned {
            engine: owned,
            held,
            inherited: true,
        };
        self.drive_scheduler(shared, now, input, out);
        self.update_retired(shared, now, out);
        self.raise_fence(shared, now, target, out);
    }

    /// Orders the load of an adapter that is resident already, if earlier owners
    /// may still give orders: an engine that checks fencing numbers refuses
    /// theirs once it has received this one.
    pub(super) fn raise_fence(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        out: &mut Out,
    ) {
        let name = shared.names.target_name(target).clone();
        let due = self.lessee.unfenced().any(|open| *open == name);
        let Some(engine) = self.engines.get(&target) else {
            return;
        };
        let Some(key) = engine.resident.first().copied().filter(|_| due) else {
            return;
        };
        let resident = shared.names.resident(key);
        let (Some(weights), Some(fence)) = (
            super::orders::weights(shared, &resident),
            self.fence(now, &name),
        ) else {
            return;
        };
        let body = Order::Load(resident, weights);
        self.order(
            shared,
            target,
            body,
            fence,
            Sent::RaiseFence(target, key, fence),
            out,
        );
    }

    /// Tells the lessee of a load that the engine confirmed. `fresh` is false if
    /// the adapter was resident before.
    pub(super) fn note_loaded(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        key: base::AdapterKey,
        (fence, fresh): (Fence, bool),
        out: &mut Out,
    ) {
        let input = LesseeInput::Loaded {
            target: shared.names.target_name(target).clone(),
            fence,
            resident: shared.names.resident(key),
            fresh,
        };
        self.drive_lessee(shared, now, input, out);
    }

    /// Tells the lessee which adapters this instance's requests still use on an
    /// engine that it no longer owns; the lessee reports it to the new owner.
    pub(super) fn report_in_use(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        out: &mut Out,
    ) {
        let Some(engine) = self.engines.get(&target) else {
            return;
        };
        if engine.owned.is_some() {
            return;
        }
        let adapters = engine.using.values();
        let adapters = adapters.map(|key| shared.names.resident(*key)).collect();
        let target = shared.names.target_name(target).clone();
        self.drive_lessee(shared, now, LesseeInput::InUse { target, adapters }, out);
    }

    pub(super) fn on_heartbeat_reply(
        &mut self,
        shared: &mut Shared,
        now: Time,
        reply: HeartbeatReply,
        out: &mut Out,
    ) {
        self.leader_heard = now;
        if reply.want_engines {
            self.reported = None;
        }
        self.drive_scheduler(shared, now, SchedulerInput::Budget(reply.loads), out);
        self.drive_lessee(shared, now, LesseeInput::Reply(reply), out);
        self.update_peers(shared, out);
    }

    /// Returns the fencing number under which `target` is owned here.
    pub(super) fn fence(&self, now: Time, target: &TargetName) -> Option<Fence> {
        match self.lessee.ownership(now, target) {
            Ownership::Full { fence } | Ownership::Restricted { fence } => Some(fence),
            Ownership::None => None,
        }
    }
}

/// Returns the scheduler's view of an owned engine; none unless the text in
/// force names the target's pool as one of engines.
fn owned(
    shared: &Shared,
    target: TargetNo,
    own: Ownership,
    incarnation: Incarnation,
) -> Option<Owned> {
    let engine = shared.targets.get(&target)?.engine()?;
    let policy = match own {
        Ownership::Full { .. } => LoadPolicy::Full,
        Ownership::Restricted { .. } if engine.fencing => LoadPolicy::Full,
        Ownership::Restricted { .. } => LoadPolicy::FreeSlotsOnly,
        Ownership::None => LoadPolicy::None,
    };
    Some(Owned {
        target,
        incarnation,
        slots: engine.slots,
        batch: engine.batch,
        policy,
    })
}
