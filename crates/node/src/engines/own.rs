//! What changes of ownership mean for the scheduler, and the holder's messages.

use base::{Fence, Incarnation, TargetName, TargetNo, Time};
use owner::{Input as HolderInput, Output as HolderOutput, Ownership};
use route::{Engine as Owned, Input as SchedulerInput, Ordering};
use wire::call::{BeatReply, Call};

use super::{Engines, orders::Sent};
use crate::{
    io::{Event, Order, Output},
    msg::ENGINES,
    shared::{CALL_LIMIT, Out, Purpose, Shared},
};

impl Engines {
    /// Hands one input to the holder and carries out what it wants.
    pub(super) fn hold(
        &mut self,
        shared: &mut Shared,
        now: Time,
        input: HolderInput,
        out: &mut Out,
    ) {
        let mut wants = Vec::new();
        self.holder.handle(now, input, &mut wants);
        self.follow(shared, now, wants, out);
    }

    pub(super) fn follow(
        &mut self,
        shared: &mut Shared,
        now: Time,
        wants: Vec<HolderOutput>,
        out: &mut Out,
    ) {
        for want in wants {
            match want {
                HolderOutput::Ask { to, round, confirm } => {
                    let Some(address) = shared.peers.get(&to).copied() else {
                        continue;
                    };
                    let target = confirm.target.clone();
                    let purpose = Purpose::Confirm { to, target, round };
                    let body = Call::Confirm(confirm);
                    shared.call(ENGINES, purpose, address, body, CALL_LIMIT, out);
                }
                HolderOutput::Changed { target, ownership } => {
                    self.on_changed(shared, now, &target, ownership, out);
                }
                HolderOutput::Handover { to, handover } => {
                    if let Some(address) = shared.peers.get(&to).copied() {
                        let body = Call::Handover(handover);
                        let purpose = Purpose::Handover;
                        shared.call(ENGINES, purpose, address, body, CALL_LIMIT, out);
                    }
                }
                HolderOutput::Wake(at) => shared.wake(ENGINES, at),
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
            engine.life = None;
            out.emit(Output::Event(Event::Lost(name.clone())));
            self.scheduler(shared, now, SchedulerInput::Lost(target), out);
            self.tell_using(shared, now, target, out);
            return;
        }
        // What the engine holds now is for its next report to say.
        engine.polled = Time::ZERO;
        let event = match own {
            Ownership::Full { fence } => Some(Event::Owns(name.clone(), fence)),
            Ownership::Restricted { fence } => Some(Event::Restricted(name.clone(), fence)),
            Ownership::None => None,
        };
        if let Some(event) = event {
            out.emit(Output::Event(event));
        }
        self.own(shared, now, target, out);
    }

    /// Tells the scheduler of an engine that is owned and has been seen.
    pub(super) fn own(&mut self, shared: &mut Shared, now: Time, target: TargetNo, out: &mut Out) {
        let Some(engine) = self.engines.get(&target) else {
            return;
        };
        let (Some(own), Some(life)) = (engine.owned, engine.life) else {
            return;
        };
        if !super::stays(shared, target) {
            return;
        }
        let held = engine.held.clone();
        let Some(owned) = owned(shared, target, own, life) else {
            return;
        };
        let input = SchedulerInput::Owned {
            engine: owned,
            held,
            inherited: true,
        };
        self.scheduler(shared, now, input, out);
        self.retire(shared, now, out);
        self.touch(shared, now, target, out);
    }

    /// Orders a load of something resident, so that an engine that checks
    /// fencing numbers refuses earlier owners from now on.
    pub(super) fn touch(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        out: &mut Out,
    ) {
        let name = shared.names.target_name(target).clone();
        let due = self.holder.unfenced().any(|open| *open == name);
        let Some(engine) = self.engines.get(&target) else {
            return;
        };
        let Some(key) = engine.held.first().copied().filter(|_| due) else {
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
            Sent::Touch(target, key, fence),
            out,
        );
    }

    /// Notes a load that the engine confirmed.
    pub(super) fn note_loaded(
        &mut self,
        shared: &mut Shared,
        now: Time,
        target: TargetNo,
        key: base::AdapterKey,
        (fence, fresh): (Fence, bool),
        out: &mut Out,
    ) {
        let input = HolderInput::Loaded {
            target: shared.names.target_name(target).clone(),
            fence,
            resident: shared.names.resident(key),
            fresh,
        };
        self.hold(shared, now, input, out);
    }

    /// Tells the holder what this instance's requests still use at an engine
    /// that it lost.
    pub(super) fn tell_using(
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
        self.hold(shared, now, HolderInput::InUse { target, adapters }, out);
    }

    pub(super) fn on_beat(
        &mut self,
        shared: &mut Shared,
        now: Time,
        reply: BeatReply,
        out: &mut Out,
    ) {
        self.heard = now;
        if reply.tell {
            self.told = None;
        }
        self.scheduler(shared, now, SchedulerInput::Budget(reply.loads), out);
        self.hold(shared, now, HolderInput::Reply(reply), out);
        self.learn_peers(shared, out);
    }

    /// Returns the fencing number under which `target` is owned here.
    pub(super) fn fence(&self, now: Time, target: &TargetName) -> Option<Fence> {
        match self.holder.ownership(now, target) {
            Ownership::Full { fence } | Ownership::Restricted { fence } => Some(fence),
            Ownership::None => None,
        }
    }
}

fn owned(shared: &Shared, target: TargetNo, own: Ownership, life: Incarnation) -> Option<Owned> {
    let engine = shared.targets.get(&target)?.engine()?;
    let ordering = match own {
        Ownership::Full { .. } => Ordering::Full,
        Ownership::Restricted { .. } if engine.fencing => Ordering::Full,
        Ownership::Restricted { .. } => Ordering::FreeSlotsOnly,
        Ownership::None => Ordering::None,
    };
    Some(Owned {
        target,
        incarnation: life,
        slots: engine.slots,
        batch: engine.batch,
        ordering,
    })
}
