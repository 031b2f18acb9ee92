//! Handles messages that arrive at a node.

use std::collections::BTreeSet;

use base::{Fence, Incarnation, TargetName, Ticket, Time};
use control::Input;
use member::Observation;
use owner::{Input as LeaseInput, Ownership};
use wire::{
    call::{Call, ClaimOutcome, ClaimReply, HeartbeatReply, Reply},
    operator::Applied,
};

use super::{Msg, Pending, Proc, Step, World};
use crate::{
    engine::{Answer, Evicted, Order},
    entry::resident,
};

impl World {
    pub(crate) fn deliver(&mut self, from: &str, to: &str, msg: Msg) {
        match msg {
            Msg::Call(id, call) => self.on_call(from, to, id, call),
            Msg::Apply(id, apply) => {
                if let Some(control_node) = self.control_node(to) {
                    let ticket = control_node.ticket(from, id);
                    self.drive_control(to, Input::Apply { ticket, apply });
                }
            }
            Msg::Order(id, order, sender) => {
                let now = self.now;
                let Some(engine) = self.engine(to) else {
                    return;
                };
                let fencing = engine.fencing;
                let (answer, evicted) = engine.order(&order, sender.fence);
                if let Some(evicted) = &evicted {
                    engine
                        .running
                        .retain(|id, _| !evicted.requests.contains(id));
                }
                let evicted = evicted.and_then(|evicted| self.without_unlisted(evicted));
                if answer != Answer::Refused {
                    self.check.order(now, to, fencing, &sender, &order, evicted);
                }
                self.send(to, from, Msg::Ordered(id, answer));
            }
            Msg::Request(id, adapter) => {
                let Some(engine) = self.engine(to) else {
                    return;
                };
                if engine.start(id, &adapter) {
                    self.check.requests += 1;
                    let wait = self.random(30..2_500);
                    self.step(to, wait, Step::EndRequest(id));
                } else {
                    self.check.refusals += 1;
                    self.send(to, from, Msg::Requested(id));
                }
            }
            Msg::Report(id) => {
                if let Some(engine) = self.engine(to) {
                    let report = Msg::Reported(id, engine.incarnation, engine.resident.clone());
                    self.send(to, from, report);
                }
            }
            Msg::Execute(id, key) => {
                let now = self.now;
                self.check.ran(now, &key);
                self.send(to, from, Msg::Executed(id));
            }
            Msg::Reply(id, _)
            | Msg::Ordered(id, _)
            | Msg::Requested(id)
            | Msg::Reported(id, ..)
            | Msg::Executed(id)
            | Msg::Applied(id, _) => self.on_answer(to, id, msg),
        }
    }

    /// Leaves out requests of instances that the platform no longer lists.
    ///
    /// Once an instance was not heard from within ten minutes, the leader relies on the
    /// platform's list, and its requests may be interrupted. The design notes list this as
    /// a known limitation.
    fn without_unlisted(&mut self, mut evicted: Evicted) -> Option<Evicted> {
        let (pending, listed) = (&self.pending, &self.listed);
        let before = evicted.requests.len();
        evicted.requests.retain(|id| {
            let owner = pending.get(id).map(|(owner, ..)| owner);
            owner.is_none_or(|owner| listed.contains(owner))
        });
        let left = evicted.requests.len();
        self.check.unlisted += u32::try_from(before - left).unwrap();
        (left > 0).then_some(evicted)
    }

    fn on_call(&mut self, from: &str, to: &str, id: u64, call: Call) {
        if let Some(control_node) = self.control_node(to) {
            let ticket = control_node.ticket(from, id);
            self.drive_control(to, Input::Call { ticket, call });
            return;
        }
        let now = self.local(to);
        let Some(entry) = self.entry(to) else {
            return;
        };
        match call {
            Call::Confirm(confirm) => {
                let mut out = Vec::new();
                let granted = entry.lessee.confirm(now, &confirm, &mut out);
                self.lessee_outputs(to, out);
                self.send(to, from, Msg::Reply(id, Reply::Confirm { granted }));
            }
            Call::Handover(handover) => self.drive_lessee(to, LeaseInput::Handover(handover)),
            _ => {}
        }
    }

    fn on_answer(&mut self, name: &str, id: u64, msg: Msg) {
        let Some((owner, incarnation, pending)) = self.pending.remove(&id) else {
            return;
        };
        if owner != name || self.nodes[name].incarnation != incarnation {
            return;
        }
        match (pending, msg) {
            (Pending::Heartbeat, Msg::Reply(_, Reply::Heartbeat(reply))) => {
                self.on_heartbeat(name, id, reply)
            }
            (Pending::Heartbeat, Msg::Reply(_, Reply::Redirect { leader })) => {
                if let (Some(leader), Some(entry)) = (leader, self.entry(name)) {
                    entry.leader = Some(leader.to_string());
                    self.step(name, 20, Step::Heartbeat { again: false });
                }
            }
            (Pending::Confirm(from, target, round), Msg::Reply(_, Reply::Confirm { granted })) => {
                let from = from.parse().unwrap();
                let input = LeaseInput::Confirmed {
                    from,
                    target,
                    round,
                    granted,
                };
                self.drive_lessee(name, input);
            }
            (
                Pending::Other,
                Msg::Reply(_, Reply::Text { version, .. } | Reply::Patches { version, .. }),
            ) => {
                let Some(entry) = self.entry(name) else {
                    return;
                };
                entry.text = entry.text.max(version);
                let text = entry.text;
                let (now, incarnation) = (self.now, self.nodes[name].incarnation);
                self.check.text(now, (name.to_owned(), incarnation), text);
            }
            (Pending::Claim(marked), Msg::Reply(_, reply)) => self.on_claim(name, marked, &reply),
            (Pending::Execute(marked), Msg::Executed(_)) => {
                self.settle(name, marked, ClaimOutcome::Ran(None));
            }
            (Pending::Forward(ticket), Msg::Reply(_, reply)) => {
                self.on_forwarded(name, ticket, reply)
            }
            (Pending::Change(apply), Msg::Applied(_, applied)) => {
                let now = self.now;
                let (change, base) = (apply.change.to_string(), apply.base.get());
                self.check
                    .applied(now, &change, base, &apply.text, &applied);
                self.log(|| format!("op {change} from {base}: {applied:?}"));
                if matches!(applied, Applied::Unknown { .. }) {
                    self.send_change(apply);
                }
            }
            (pending, msg) => self.on_engine_answer(name, id, pending, msg),
        }
    }

    fn on_forwarded(&mut self, name: &str, ticket: Ticket, reply: Reply) {
        let open = self
            .control_node(name)
            .is_some_and(|k| k.callers.contains_key(&ticket));
        if open {
            let reply = Some(reply);
            self.drive_control(name, Input::Forwarded { ticket, reply });
        }
    }

    fn on_heartbeat(&mut self, name: &str, id: u64, reply: HeartbeatReply) {
        let from = self.last_sender(id);
        let Some(entry) = self.entry(name) else {
            return;
        };
        entry.list_engines |= reply.want_engines;
        let have = entry.text;
        let newer = reply.text > have;
        entry.leader.clone_from(&from);
        self.drive_lessee(name, LeaseInput::Reply(reply));
        if let (true, Some(to)) = (newer, from) {
            let call = Call::Text { have };
            self.call(name, &to, Pending::Other, |id| Msg::Call(id, call));
        }
    }

    /// Returns the leader, which alone answers heartbeats.
    fn last_sender(&mut self, _id: u64) -> Option<String> {
        let control_nodes = self.control_nodes.clone();
        control_nodes.into_iter().find(|name| {
            let now = self.local(name);
            let up = self.nodes[name].up;
            up && self.control_node(name).is_some_and(|k| k.is_leader(now))
        })
    }

    fn on_claim(&mut self, name: &str, id: u64, reply: &Reply) {
        let Some(entry) = self.entry(name) else {
            return;
        };
        match reply {
            Reply::Claim(ClaimReply::Granted) => {
                let Some(marked) = entry.marked.get_mut(&id).filter(|m| !m.sent) else {
                    return;
                };
                marked.sent = true;
                let wait = self.random(0..20);
                if self.random(0..10) == 0 {
                    self.settle(name, id, ClaimOutcome::NotRun);
                } else {
                    self.step(name, wait, Step::SendMarked(id));
                }
            }
            Reply::Redirect { leader } => {
                entry.leader = leader.as_ref().map(ToString::to_string);
            }
            Reply::Claim(_) => {
                entry.marked.remove(&id);
            }
            _ => {}
        }
    }

    fn on_engine_answer(&mut self, name: &str, id: u64, pending: Pending, msg: Msg) {
        match (pending, msg) {
            (Pending::Order(target, order, permit, observation), Msg::Ordered(_, answer)) => {
                let Some(entry) = self.entry(name) else {
                    return;
                };
                let known = observation.map(|w| entry.targets.finish_order(&target, w));
                entry.view(&target).orders.remove(&id);
                let known = known.is_some_and(|known| known.is_ok());
                self.on_ordered(name, target, &order, permit.fence, answer, known);
            }
            (Pending::Request(target, request), Msg::Requested(_)) => {
                let Some(entry) = self.entry(name) else {
                    return;
                };
                entry.view(&target).running.remove(&request);
                self.report_in_use(name, &target);
            }
            (
                Pending::Report(target, observation, began),
                Msg::Reported(_, incarnation, resident),
            ) => {
                self.on_report(name, target, observation, began, incarnation, resident);
            }
            _ => {}
        }
    }

    /// Handles an engine's answer to an order; `known` tells whether it is still the
    /// incarnation that the order was sent to.
    fn on_ordered(
        &mut self,
        name: &str,
        target: TargetName,
        order: &Order,
        fence: Fence,
        answer: Answer,
        known: bool,
    ) {
        let now = self.local(name);
        let Some(entry) = self.entry(name) else {
            return;
        };
        let view = entry.view(&target);
        let adapter = match order {
            Order::Load(adapter) => {
                view.loading.remove(adapter);
                adapter.clone()
            }
            Order::Unload(adapter) => {
                view.unloading.remove(adapter);
                return;
            }
        };
        if answer == Answer::Refused || !known {
            return;
        }
        // An adapter that another instance loaded is used only under full ownership.
        let fresh = answer == Answer::Done;
        let usable = match entry.lessee.ownership(now, &target) {
            Ownership::Full { .. } => true,
            Ownership::Restricted { .. } => fresh,
            Ownership::None => false,
        };
        if usable {
            entry.view(&target).resident.insert(adapter.clone());
        }
        let input = LeaseInput::Loaded {
            target,
            fence,
            resident: resident(&adapter),
            fresh,
        };
        self.drive_lessee(name, input);
    }

    /// Handles an engine's report of its loaded adapters.
    fn on_report(
        &mut self,
        name: &str,
        target: TargetName,
        observation: Observation,
        began: Time,
        incarnation: Incarnation,
        resident: BTreeSet<String>,
    ) {
        let now = self.local(name);
        let Some(entry) = self.entry(name) else {
            return;
        };
        let observed = entry
            .targets
            .finish(&target, observation, began, Some(incarnation));
        let full = matches!(entry.lessee.ownership(now, &target), Ownership::Full { .. });
        if observed.is_err() || !full {
            return;
        }
        let restarted = observed == Ok(member::Observed::Restarted);
        let view = entry.view(&target);
        let leaving = &view.unloading;
        let stay = resident.into_iter().filter(|a| !leaving.contains_key(a));
        view.resident = stay.collect();
        if restarted {
            self.drive_lessee(name, LeaseInput::Restarted { target });
        }
    }

    pub(crate) fn end_request(&mut self, engine: &str, id: u64) {
        let Some(fake) = self.engine(engine) else {
            return;
        };
        if fake.running.remove(&id).is_none() {
            return;
        }
        let owner = self.pending.get(&id).map(|(owner, ..)| owner.clone());
        if let Some(owner) = owner {
            self.send(engine, &owner, Msg::Requested(id));
        }
    }

    /// Registers the latest call under `id`, the request's own number, which its answer
    /// carries.
    pub(crate) fn alias_last_call(&mut self, id: u64) {
        let asked = self.last_call();
        if let Some(pending) = self.pending.remove(&asked) {
            self.pending.insert(id, pending);
        }
    }

    /// Returns the id of the latest call.
    pub(crate) fn last_call(&self) -> u64 {
        self.pending.last_key_value().map_or(0, |(id, _)| *id)
    }

    pub(crate) fn is_entry(proc: &Proc) -> bool {
        matches!(proc, Proc::Entry(_))
    }
}
