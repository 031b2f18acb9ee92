//! Injected faults, and actions of operators and the platform.

use std::time::Duration;

use base::{TextVersion, Time};
use control::Input;
use owner::Input as LeaseInput;
use wire::{
    operator::Apply,
    platform::{List, State, Target},
};

use super::{Msg, Pending, Proc, Step, World};
use crate::{engine::Engine, entry::change};

impl World {
    pub(crate) fn add_engine(&mut self, name: &str, zone: &str, fencing: bool, slots: u64) {
        let slots = usize::try_from(slots).unwrap();
        let engine = Engine::new(fencing, slots);
        self.add(name, zone, Proc::Engine(Box::new(engine)), 1);
    }

    pub(crate) fn cut(&mut self, from: &str, to: &str) {
        self.log(|| format!("cut {from} -> {to}"));
        for a in self.matching(from) {
            for b in self.matching(to) {
                if a != b {
                    self.cuts.insert((a.clone(), b));
                }
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.log(|| "heal".to_owned());
        self.cuts.clear();
    }

    pub(crate) fn pause(&mut self, name: &str, ms: u64) {
        self.log(|| format!("freeze {name} for {ms} ms"));
        let until = self.now + Duration::from_millis(ms);
        if let Some(node) = self.nodes.get_mut(name) {
            node.paused_until = until;
        }
    }

    pub(crate) fn resume_all(&mut self) {
        for node in self.nodes.values_mut() {
            node.paused_until = Time::ZERO;
        }
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.log(|| format!("kill {name}"));
        let disk = self
            .control_node(name)
            .map(|control_node| control_node.disk.clone());
        if let Some(disk) = disk {
            self.disks.insert(name.to_owned(), disk);
        }
        if let Some(node) = self.nodes.get_mut(name) {
            node.up = false;
        }
        // The kernel closes the connections of a dead process, and an engine cancels
        // requests whose caller is gone.
        let theirs: Vec<_> = {
            let asked = self.pending.iter().filter(|(_, (owner, ..))| owner == name);
            asked.map(|(id, _)| *id).collect()
        };
        for node in self.nodes.values_mut() {
            if let Proc::Engine(engine) = &mut node.proc {
                engine.running.retain(|id, _| !theirs.contains(id));
            }
        }
    }

    pub(crate) fn restart(&mut self, name: &str) {
        self.log(|| format!("restart {name}"));
        let node = &self.nodes[name];
        let (zone, incarnation) = (node.zone.clone(), node.incarnation + 1);
        match &node.proc {
            Proc::Control(_) => {
                if self.nodes[name].up {
                    self.kill(name);
                }
                self.start_control(name, &zone, incarnation);
            }
            Proc::Entry(_) => self.start_entry(name, &zone, incarnation),
            Proc::Engine(_) => {
                let engine = self.engine(name).unwrap();
                engine.restart();
            }
            Proc::Service | Proc::Operator => {}
        }
    }

    pub(crate) fn renounce(&mut self, name: &str) {
        self.log(|| format!("renounce {name}"));
        self.drive_lessee(name, LeaseInput::Renounce);
    }

    pub(crate) fn hand_over(&mut self, name: &str) {
        self.log(|| format!("hand over {name}"));
        if self.nodes.contains_key(name) {
            self.drive_control(name, Input::HandOver);
        }
    }

    pub(crate) fn leader(&self) -> Option<String> {
        let leads = |name: &String| match &self.nodes[name].proc {
            Proc::Control(control_node) => {
                self.nodes[name].up && control_node.is_leader(self.local(name))
            }
            _ => false,
        };
        self.control_nodes.iter().find(|name| leads(name)).cloned()
    }

    /// Sends a change of the text that any control instance has, based on a version that is
    /// `back` versions older.
    pub(crate) fn operate(&mut self, id: &str, back: u64) {
        let control_nodes = self.names(|p| matches!(p, Proc::Control(_)));
        let Some(any) = self.pick(&control_nodes) else {
            return;
        };
        let current = self.control_node(&any).unwrap().control.text();
        let base = TextVersion(current.version.get().saturating_sub(back));
        let apply = Apply {
            change: change(id),
            base,
            by: "operator".to_owned(),
            text: format!("{}# {id}\n", current.text),
        };
        self.send_change(apply);
    }

    pub(crate) fn send_change(&mut self, apply: Apply) {
        let control_nodes = self.control_nodes.clone();
        let to = self.pick(&control_nodes).unwrap();
        let pending = Pending::Change(apply.clone());
        self.call("op", &to, pending, |id| Msg::Apply(id, apply));
        let id = self.last_call();
        self.step("op", 3_000, Step::RetryChange(id));
    }

    /// Retries a change that was not answered.
    pub(crate) fn retry_change(&mut self, id: u64) {
        if let Some((_, _, Pending::Change(apply))) = self.pending.remove(&id) {
            self.send_change(apply);
        }
    }

    pub(crate) fn platform_list(&self) -> List {
        let engines = self.nodes.iter();
        let engines = engines.filter(|(_, n)| matches!(n.proc, Proc::Engine(_)));
        let targets = engines.map(|(name, node)| Target {
            name: name.parse().unwrap(),
            pool: "pool".parse().unwrap(),
            zone: node.zone.parse().unwrap(),
            address: name.clone(),
            state: State::Live,
            software: "v1".parse().ok(),
        });
        List {
            serial: 1,
            instances: Vec::new(),
            targets: targets.collect(),
        }
    }

    /// Returns the nodes that `what` names: a node, a zone, `not ZONE`, or `*` for all.
    fn matching(&self, what: &str) -> Vec<String> {
        if what == "*" {
            return self.nodes.keys().cloned().collect();
        }
        if let Some(zone) = what.strip_prefix("not ") {
            let others = self.nodes.iter().filter(|(_, node)| node.zone != zone);
            return others.map(|(name, _)| name.clone()).collect();
        }
        if self.nodes.contains_key(what) {
            return vec![what.to_owned()];
        }
        let here = self.nodes.iter().filter(|(_, node)| node.zone == what);
        here.map(|(name, _)| name.clone()).collect()
    }
}
