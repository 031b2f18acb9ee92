//! Steps that processes take without a message from elsewhere.

use base::{TargetName, Time};
use control::Input;
use owner::{Input as LeaseInput, Order as LeaseOrder, Output as LeaseOutput, Ownership};
use wire::call::{Call, Claim, ClaimOutcome, Settle};

use super::{Msg, Pending, Proc, Step, World};
use crate::{
    engine::{Order, Sender},
    entry::{Marked, Permit, resident},
};

/// Time after which an entry instance gives up a request and closes its connection.
const REQUEST_MS: u64 = 8_000;
/// Idempotency keys in use; few, so that retries of a key overlap.
const KEYS: u64 = 40;

impl World {
    pub(crate) fn take_step(&mut self, name: &str, step: Step) {
        match step {
            Step::Wake(_) => match self.nodes[name].proc {
                Proc::Control(_) => self.drive_control(name, Input::Wake),
                _ => self.drive_lessee(name, LeaseInput::Wake),
            },
            Step::Heartbeat { again } => self.heartbeat(name, again),
            Step::Work => self.work(name),
            Step::BeginMarked => self.begin_marked(name),
            Step::RetryClaim(id) => self.send_claim(name, id),
            Step::SendOrder(permit, order) => self.send_order(name, permit, order),
            Step::SendRequest(permit, id, adapter) => {
                let target = permit.target.clone();
                let pending = Pending::Request(target.clone(), id);
                self.call(name, target.as_str(), pending, |_| {
                    Msg::Request(id, adapter)
                });
                self.alias_last_call(id);
            }
            Step::SendMarked(id) => self.send_marked(name, id),
            Step::MarkedTimedOut(id) => self.settle(name, id, ClaimOutcome::MayHaveRun),
            Step::Sync => {
                let upto = self
                    .control_node(name)
                    .and_then(crate::control_node::ControlNode::sync);
                if let Some(upto) = upto {
                    self.drive_control(name, Input::Synced { upto });
                }
            }
            Step::PlatformInput => {
                let ms = self.now.as_millis() + 1_000_000_000;
                let instances = self.listed.iter().map(|n| n.parse().unwrap()).collect();
                self.drive_control(name, Input::Wall { ms });
                self.drive_control(name, Input::List { instances });
                self.step(name, 5_000, Step::PlatformInput);
            }
            Step::ForwardTimedOut(ticket) => {
                let reply = None;
                let open = self
                    .control_node(name)
                    .is_some_and(|k| k.callers.contains_key(&ticket));
                if open {
                    self.drive_control(name, Input::Forwarded { ticket, reply });
                }
            }
            Step::EndRequest(id) => self.end_request(name, id),
            Step::RetryChange(id) => self.retry_change(id),
        }
    }

    /// Passes one input to an instance's [`owner::Lessee`] and carries out its outputs.
    pub(crate) fn drive_lessee(&mut self, name: &str, input: LeaseInput) {
        let now = self.local(name);
        let mut out = Vec::new();
        if let Some(entry) = self.entry(name) {
            entry.lessee.handle(now, input, &mut out);
        }
        self.lessee_outputs(name, out);
    }

    pub(crate) fn lessee_outputs(&mut self, name: &str, out: Vec<LeaseOutput>) {
        for output in out {
            match output {
                LeaseOutput::Ask { to, round, confirm } => {
                    let target = confirm.target.clone();
                    let pending = Pending::Confirm(to.to_string(), target, round);
                    let call = Call::Confirm(confirm);
                    self.call(name, to.as_str(), pending, |id| Msg::Call(id, call));
                }
                LeaseOutput::Changed { target, ownership } => {
                    self.log(|| format!("{name} {target} {ownership:?}"));
                    if ownership == Ownership::None {
                        self.report_in_use(name, &target);
                    }
                }
                LeaseOutput::Handover { to, handover } => {
                    let call = Call::Handover(handover);
                    self.call(name, to.as_str(), Pending::Other, |id| Msg::Call(id, call));
                }
                LeaseOutput::Wake(at) => {
                    let wait = self.after_local(name, at);
                    self.wake(name, wait);
                }
            }
        }
    }

    pub(crate) fn report_in_use(&mut self, name: &str, target: &TargetName) {
        let Some(entry) = self.entry(name) else {
            return;
        };
        let adapters = entry.in_use(target);
        let target = target.clone();
        self.drive_lessee(name, LeaseInput::InUse { target, adapters });
    }

    fn heartbeat(&mut self, name: &str, again: bool) {
        if again {
            self.step(name, 1_000, Step::Heartbeat { again });
        }
        let Some(serial) = self.entry(name).map(|entry| entry.serial + 1) else {
            return;
        };
        self.drive_lessee(name, LeaseInput::Sent { serial });
        let control_nodes = self.control_nodes.clone();
        let any = self.pick(&control_nodes).unwrap();
        let Some(entry) = self.entry(name) else {
            return;
        };
        let heartbeat = entry.heartbeat();
        // The leader is used once: without an answer the next heartbeat goes to any control
        // instance.
        let to = entry.leader.take().unwrap_or(any);
        let call = Call::Heartbeat(heartbeat);
        self.call(name, &to, Pending::Heartbeat, |id| Msg::Call(id, call));
    }

    fn work(&mut self, name: &str) {
        let wait = self.random(60..200);
        self.step(name, wait, Step::Work);
        let now = self.local(name);
        let Some(entry) = self.entry(name) else {
            return;
        };
        entry.expire(now, REQUEST_MS);
        let engines = entry.engines.clone();
        for target in &engines {
            self.report_in_use(name, target);
        }
        let Some(target) = self.pick(&engines) else {
            return;
        };
        let own = self.entry(name).unwrap().lessee.ownership(now, &target);
        if own == Ownership::None {
            return;
        }
        if matches!(own, Ownership::Full { .. }) && self.random(0..3) == 0 {
            self.report(name, now, &target);
        }
        match self.random(0..10) {
            0..5 => self.request(name, now, &target),
            5..8 => self.load(name, now, &target),
            _ => self.unload(name, now, &target),
        }
    }

    fn report(&mut self, name: &str, now: Time, target: &TargetName) {
        let Some(observation) = self.entry(name).and_then(|e| e.targets.begin(target)) else {
            return;
        };
        let pending = Pending::Report(target.clone(), observation, now);
        self.call(name, target.as_str(), pending, Msg::Report);
    }

    fn request(&mut self, name: &str, now: Time, target: &TargetName) {
        let fencing = self.fencing(target);
        let entry = self.entry(name).unwrap();
        let Some(fence) = entry.lessee.may_send(now, target, fencing) else {
            return self.send_first_order(name, now, target);
        };
        let adapters: Vec<_> = entry.view(target).resident.iter().cloned().collect();
        let Some(adapter) = self.pick(&adapters) else {
            return;
        };
        self.next += 1;
        let id = self.next;
        let view = self.entry(name).unwrap().view(target);
        view.running.insert(id, (adapter.clone(), now));
        let (target, at) = (target.clone(), self.now);
        let permit = Permit { target, fence, at };
        self.step(name, 0, Step::SendRequest(permit, id, adapter));
    }

    /// Sends the first order to an engine that checks fencing numbers: no request may be sent
    /// to it before it has accepted an order of this owner.
    fn send_first_order(&mut self, name: &str, now: Time, target: &TargetName) {
        let adapters: Vec<_> = {
            let view = self.entry(name).unwrap().view(target);
            view.resident.iter().cloned().collect()
        };
        match self.pick(&adapters) {
            Some(adapter) => self.order(name, now, target, Order::Load(adapter)),
            None => self.load(name, now, target),
        }
    }

    fn load(&mut self, name: &str, now: Time, target: &TargetName) {
        let adapter = self.adapter();
        let entry = self.entry(name).unwrap();
        let slots = entry.slots;
        let view = entry.view(target);
        let known = view.resident.contains(&adapter) || view.unloading.contains_key(&adapter);
        if view.resident.len() + view.orders.len() < slots && !known {
            self.order(name, now, target, Order::Load(adapter));
        }
    }

    fn unload(&mut self, name: &str, now: Time, target: &TargetName) {
        let view = self.entry(name).unwrap().view(target);
        let used = |adapter: &String| {
            view.loading.contains_key(adapter) || view.running.values().any(|(a, _)| a == adapter)
        };
        let idle = view.resident.iter().filter(|adapter| !used(adapter));
        let idle: Vec<_> = idle.cloned().collect();
        if let Some(adapter) = self.pick(&idle) {
            self.order(name, now, target, Order::Unload(adapter));
        }
    }

    /// Checks and records an order; it is sent in a separate step, so that a pause may
    /// come in between.
    fn order(&mut self, name: &str, now: Time, target: &TargetName, order: Order) {
        let fencing = self.fencing(target);
        let entry = self.entry(name).unwrap();
        let fence = match &order {
            Order::Load(adapter) => {
                entry.view(target).loading.insert(adapter.clone(), now);
                entry
                    .lessee
                    .may_order(now, target, LeaseOrder::Load, fencing)
            }
            Order::Unload(adapter) => {
                let wanted = resident(adapter);
                let fence =
                    entry
                        .lessee
                        .may_order(now, target, LeaseOrder::Unload(&wanted), fencing);
                if fence.is_some() {
                    let (target, resident) = (target.clone(), wanted);
                    let input = LeaseInput::Unloading { target, resident };
                    entry.lessee.handle(now, input, &mut Vec::new());
                }
                if fence.is_some() {
                    let view = entry.view(target);
                    view.resident.remove(adapter);
                    view.unloading.insert(adapter.clone(), now);
                }
                fence
            }
        };
        if let Some(fence) = fence {
            let (target, at) = (target.clone(), self.now);
            let permit = Permit { target, fence, at };
            self.step(name, 0, Step::SendOrder(permit, order));
        }
    }

    fn send_order(&mut self, name: &str, permit: Permit, order: Order) {
        let incarnation = (name.to_owned(), self.nodes[name].incarnation);
        let sender = Sender {
            incarnation,
            fence: permit.fence,
            checked: permit.at,
        };
        let target = permit.target.clone();
        let observation = self.entry(name).and_then(|e| e.targets.begin(&target));
        let pending = Pending::Order(target.clone(), order.clone(), permit, observation);
        self.call(name, target.as_str(), pending, |id| {
            Msg::Order(id, order, sender)
        });
        let id = self.last_call();
        self.entry(name).unwrap().view(&target).orders.insert(id);
    }

    fn begin_marked(&mut self, name: &str) {
        let wait = self.random(200..900);
        self.step(name, wait, Step::BeginMarked);
        let key = u8::try_from(self.random(0..KEYS)).unwrap();
        let incarnation = self.nodes[name].incarnation;
        let Some(entry) = self.entry(name) else {
            return;
        };
        entry.attempts += 1;
        let id = incarnation << 32 | entry.attempts;
        let marked = Marked {
            key,
            attempt: id,
            tries: 0,
            sent: false,
        };
        entry.marked.insert(id, marked);
        self.send_claim(name, id);
    }

    pub(crate) fn send_claim(&mut self, name: &str, id: u64) {
        let control_nodes = self.control_nodes.clone();
        let any = self.pick(&control_nodes).unwrap();
        let epoch = self.key_epoch();
        let Some(entry) = self.entry(name) else {
            return;
        };
        let Some(marked) = entry.marked.get_mut(&id) else {
            return;
        };
        marked.tries += 1;
        if marked.tries > 6 || marked.sent {
            return;
        }
        let claim = Claim {
            brand: "brand".parse().unwrap(),
            key: [marked.key; 16],
            body: [1; 16],
            instance: name.parse().unwrap(),
            attempt: marked.attempt,
            dated: (marked.key % 2 == 0).then_some(epoch),
        };
        let to = entry.leader.clone().unwrap_or(any);
        self.call(name, &to, Pending::Claim(id), |n| {
            Msg::Call(n, Call::Claim(claim))
        });
        self.step(name, 700, Step::RetryClaim(id));
    }

    /// Returns the date of dated keys, which is constant so that retries of a key agree.
    fn key_epoch(&self) -> u64 {
        1_000_000_000
    }

    fn send_marked(&mut self, name: &str, id: u64) {
        let key = self
            .entry(name)
            .and_then(|e| e.marked.get(&id))
            .map(|m| m.key);
        if let Some(key) = key {
            let key = key.to_string();
            self.call(name, "svc", Pending::Execute(id), |n| Msg::Execute(n, key));
            self.step(name, 3_000, Step::MarkedTimedOut(id));
        }
    }

    pub(crate) fn settle(&mut self, name: &str, id: u64, outcome: ClaimOutcome) {
        let control_nodes = self.control_nodes.clone();
        let any = self.pick(&control_nodes).unwrap();
        let Some(entry) = self.entry(name) else {
            return;
        };
        let Some(marked) = entry.marked.remove(&id) else {
            return;
        };
        let settle = Settle {
            brand: "brand".parse().unwrap(),
            key: [marked.key; 16],
            instance: name.parse().unwrap(),
            attempt: marked.attempt,
            outcome,
        };
        let to = entry.leader.clone().unwrap_or(any);
        self.call(name, &to, Pending::Other, |n| {
            Msg::Call(n, Call::Settle(settle))
        });
    }

    fn adapter(&mut self) -> String {
        format!("a{}", self.random(0..6))
    }

    pub(crate) fn fencing(&mut self, target: &TargetName) -> bool {
        self.engine(target.as_str())
            .is_some_and(|engine| engine.fencing)
    }
}
