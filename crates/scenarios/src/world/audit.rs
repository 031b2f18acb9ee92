//! Invariants checked during a run, and convergence at its end.

use std::collections::{BTreeMap, BTreeSet};

use owner::Ownership;

use super::{Proc, World};

impl World {
    /// Checks that no two instances have full ownership of one engine, each by its own
    /// clock; a paused instance counts too, as it may resume at any moment.
    pub(crate) fn check_owners(&mut self) {
        let mut full: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, node) in &self.nodes {
            let Proc::Entry(entry) = &node.proc else {
                continue;
            };
            let now = self.local(name);
            for target in entry.engines.iter().filter(|_| node.up) {
                if matches!(entry.lessee.ownership(now, target), Ownership::Full { .. }) {
                    full.entry(target.to_string())
                        .or_default()
                        .push(name.clone());
                }
            }
        }
        let now = self.now;
        for (target, owners) in full {
            self.check.owners(now, &target, &owners);
        }
    }

    /// Returns the instance that has full ownership of an engine by its own clock.
    pub(crate) fn owner_of(&self, target: &str) -> Option<String> {
        let target = target.parse().unwrap();
        let owner = self.nodes.iter().find(|(name, node)| match &node.proc {
            Proc::Entry(entry) if node.up => {
                let now = self.local(name);
                matches!(entry.lessee.ownership(now, &target), Ownership::Full { .. })
            }
            _ => false,
        });
        owner.map(|(name, _)| name.clone())
    }

    /// Returns the ownership that an instance has of an engine, as scripts name it.
    pub(crate) fn ownership_name(&self, name: &str, target: &str) -> String {
        let Proc::Entry(entry) = &self.nodes[name].proc else {
            return "none".to_owned();
        };
        let target = target.parse().unwrap();
        let own = match entry.lessee.ownership(self.local(name), &target) {
            Ownership::Full { .. } => "full",
            Ownership::Restricted { .. } => "restricted",
            Ownership::None => "none",
        };
        own.to_owned()
    }

    /// Checks that every engine has an owner and all instances have the newest text, once
    /// faults are over.
    pub(crate) fn converged(&mut self) -> Result<(), String> {
        let engines = self.names(|p| matches!(p, Proc::Engine(_)));
        let zones = self.names(World::is_entry).into_iter();
        let zones: BTreeSet<_> = zones.map(|name| self.nodes[&name].zone.clone()).collect();
        for engine in engines {
            if zones.contains(&self.nodes[&engine].zone) && self.owner_of(&engine).is_none() {
                return Err(format!("{engine} has no owner"));
            }
        }
        let control_nodes = self.names(|p| matches!(p, Proc::Control(_)));
        let mut histories = Vec::new();
        for name in &control_nodes {
            let control_node = self.control_node(name).unwrap();
            let history = control_node
                .control
                .history(base::TextVersion(0))
                .into_iter();
            let history: BTreeMap<_, _> =
                history.map(|e| (e.version, e.change.to_string())).collect();
            histories.push((control_node.control.state().texts().version(), history));
        }
        let newest = histories
            .iter()
            .max_by_key(|(version, _)| *version)
            .unwrap()
            .clone();
        for name in self.names(World::is_entry) {
            let text = self.entry(&name).unwrap().text;
            if text != newest.0 {
                return Err(format!("{name} has text {text}, not {}", newest.0));
            }
        }
        let now = self.now;
        self.check.history(now, &newest.1);
        Ok(())
    }
}
