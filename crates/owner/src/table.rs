//! The table of entry instances and engine owners, part of the replicated state.
//!
//! Every change states what it expects to find. A proposal that is applied twice, or late
//! under another leader, therefore has no effect.

use std::collections::BTreeMap;

use base::{Fence, Incarnation, InstanceName, TargetName, ZoneName, record};
use wire::call::Peer;

/// Number of removed instances that are remembered. An instance whose roster is older
/// than all of them gets the full table instead of a list of changes.
const GONE_MAX: usize = 256;

record! {
    /// Identifies one incarnation of an entry instance.
    #[derive(PartialOrd, Ord)]
    pub struct InstanceId {
        /// The instance's name.
        pub instance: InstanceName,
        /// Number of the incarnation; a later one is higher.
        pub incarnation: Incarnation,
    }

    /// A change of the table, as stored in the log.
    #[derive(PartialOrd, Ord)]
    pub enum Change {
        /// An instance started or restarted. It may not own engines yet.
        Join {
            /// The instance.
            id: InstanceId,
            /// Its availability zone.
            zone: ZoneName,
            /// IP and port of its peer listener.
            peer: String,
        },
        /// Every owner in the zone knows the instance, which may own engines from now on.
        Admit {
            /// The instance.
            id: InstanceId,
        },
        /// The instance owns no engine and is removed.
        Dismiss {
            /// The instance.
            id: InstanceId,
        },
        /// An engine gets an owner. The index of this log entry is the owner's fencing
        /// number.
        Assign {
            /// The engine.
            target: TargetName,
            /// The new owner.
            id: InstanceId,
            /// The fencing number that must be in force for the change to apply; 0 for an
            /// engine without owner.
            expect: Fence,
        },
        /// A former owner certainly has no request left on the engine.
        Account {
            /// The engine.
            target: TargetName,
            /// The fencing number of the former owner.
            fence: Fence,
        },
        /// The engine is no longer in the platform's list.
        Forget {
            /// The engine.
            target: TargetName,
            /// The fencing number that must be in force for the change to apply.
            expect: Fence,
        },
    }

    /// An entry instance in the table.
    pub struct Member {
        /// Its current incarnation.
        pub incarnation: Incarnation,
        /// Its availability zone.
        pub zone: ZoneName,
        /// IP and port of its peer listener.
        pub peer: String,
        /// Index of the log entry by which it joined.
        pub joined: u64,
        /// Whether it may own engines.
        pub admitted: bool,
        /// Index of the last log entry that changed it or the set of engines it owns.
        pub changed: u64,
    }

    /// A former owner that may still have requests running on an engine.
    pub struct Former {
        /// The owner.
        pub id: InstanceId,
        /// Its fencing number at the time.
        pub fence: Fence,
        /// IP and port of its peer listener.
        pub peer: String,
    }

    /// An engine in the table.
    pub struct Engine {
        /// Its owner.
        pub owner: InstanceId,
        /// IP and port of the owner's peer listener.
        pub peer: String,
        /// The owner's fencing number.
        pub fence: Fence,
        /// The owner's availability zone, which is also the engine's.
        pub zone: ZoneName,
        /// Former owners that may still have requests running on it.
        pub former: Vec<Former>,
    }

    /// Entry instances and engine owners; identical on all replicas that have applied the
    /// log up to the same index.
    #[derive(Default)]
    pub struct Table {
        members: BTreeMap<InstanceName, Member>,
        engines: BTreeMap<TargetName, Engine>,
        /// Names of removed instances, by the index of the log entry that removed them.
        gone: BTreeMap<u64, InstanceName>,
        /// Index of the last log entry that changed instances or owners.
        changed: u64,
        /// Index of the last removal that is no longer in `gone`.
        floor: u64,
    }
}

impl Table {
    /// Applies the change in the log entry at `index`; returns whether it had an effect.
    pub fn apply(&mut self, index: u64, change: &Change) -> bool {
        let done = match change {
            Change::Join { id, zone, peer } => self.join(index, id, zone, peer),
            Change::Admit { id } => self.admit(index, id),
            Change::Dismiss { id } => self.dismiss(index, id),
            Change::Assign { target, id, expect } => self.assign(index, target, id, *expect),
            Change::Account { target, fence } => self.account(target, *fence),
            Change::Forget { target, expect } => self.forget(index, target, *expect),
        };
        if done && !matches!(change, Change::Account { .. }) {
            self.changed = index;
        }
        done
    }

    /// Returns the entry instances by name.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<InstanceName, Member> {
        &self.members
    }

    /// Returns the engines by name.
    #[must_use]
    pub fn engines(&self) -> &BTreeMap<TargetName, Engine> {
        &self.engines
    }

    /// Returns the index of the last log entry that changed instances or owners.
    #[must_use]
    pub fn roster(&self) -> u64 {
        self.changed
    }

    /// Returns whether the table holds this very incarnation of the instance.
    #[must_use]
    pub fn knows(&self, id: &InstanceId) -> bool {
        let member = self.members.get(&id.instance);
        member.is_some_and(|m| m.incarnation == id.incarnation)
    }

    /// Returns the engines that `id` owns.
    pub fn owned<'a>(
        &'a self,
        id: &'a InstanceId,
    ) -> impl Iterator<Item = (&'a TargetName, &'a Engine)> {
        self.engines.iter().filter(|(_, e)| e.owner == *id)
    }

    /// Returns what changed after the log index `have`: whether the result is the full
    /// table rather than a delta, the instances added or changed, and the names of those
    /// removed.
    #[must_use]
    pub fn since(&self, have: u64) -> (bool, Vec<Peer>, Vec<InstanceName>) {
        let full = have < self.floor || have > self.changed;
        let from = if full { 0 } else { have };
        let fresh = self.members.iter().filter(|(_, m)| m.changed > from);
        let peers = fresh.map(|(name, m)| self.peer(name, m)).collect();
        let gone = if full {
            Vec::new()
        } else {
            let gone = self.gone.range(have + 1..).map(|(_, name)| name);
            gone.filter(|name| !self.members.contains_key(*name))
                .cloned()
                .collect()
        };
        (full, peers, gone)
    }

    fn peer(&self, name: &InstanceName, member: &Member) -> Peer {
        let id = InstanceId {
            instance: name.clone(),
            incarnation: member.incarnation,
        };
        Peer {
            instance: name.clone(),
            zone: member.zone.clone(),
            address: member.peer.clone(),
            owns: self.owned(&id).map(|(t, e)| (t.clone(), e.fence)).collect(),
        }
    }

    fn join(&mut self, index: u64, id: &InstanceId, zone: &ZoneName, peer: &str) -> bool {
        if self.knows(id) {
            return false;
        }
        let member = Member {
            incarnation: id.incarnation,
            zone: zone.clone(),
            peer: peer.to_owned(),
            joined: index,
            admitted: false,
            changed: index,
        };
        self.members.insert(id.instance.clone(), member);
        true
    }

    fn admit(&mut self, index: u64, id: &InstanceId) -> bool {
        let Some(member) = self.member_mut(id) else {
            return false;
        };
        if member.admitted {
            return false;
        }
        member.admitted = true;
        member.changed = index;
        true
    }

    fn dismiss(&mut self, index: u64, id: &InstanceId) -> bool {
        if !self.knows(id) || self.owned(id).next().is_some() {
            return false;
        }
        self.members.remove(&id.instance);
        self.gone.insert(index, id.instance.clone());
        if self.gone.len() > GONE_MAX
            && let Some((dropped, _)) = self.gone.pop_first()
        {
            self.floor = dropped;
        }
        true
    }

    fn assign(&mut self, index: u64, target: &TargetName, id: &InstanceId, expect: Fence) -> bool {
        let current = self.engines.get(target);
        // Guard: of two proposals for one engine, or one made before a change of leader,
        // only the first may take effect, so each states the fencing number that it
        // found. Otherwise the second would move an engine whose lease is still valid.
        if current.map_or(Fence(0), |e| e.fence) != expect {
            base::hit!(stale_assign);
            return false;
        }
        let Some(member) = self.members.get(&id.instance) else {
            return false;
        };
        if member.incarnation != id.incarnation || !member.admitted {
            return false;
        }
        let (zone, peer) = (member.zone.clone(), member.peer.clone());
        let old = self.engines.remove(target);
        let former = old.as_ref().map(|e| former_of(e, id)).unwrap_or_default();
        let engine = Engine {
            owner: id.clone(),
            peer,
            fence: Fence(index),
            zone,
            former,
        };
        self.engines.insert(target.clone(), engine);
        self.mark_changed(index, &id.instance);
        if let Some(old) = old {
            self.mark_changed(index, &old.owner.instance);
        }
        true
    }

    fn account(&mut self, target: &TargetName, fence: Fence) -> bool {
        let Some(engine) = self.engines.get_mut(target) else {
            return false;
        };
        let before = engine.former.len();
        engine.former.retain(|f| f.fence != fence);
        engine.former.len() < before
    }

    fn forget(&mut self, index: u64, target: &TargetName, expect: Fence) -> bool {
        let fence = self.engines.get(target).map(|e| e.fence);
        if fence != Some(expect) {
            return false;
        }
        if let Some(engine) = self.engines.remove(target) {
            self.mark_changed(index, &engine.owner.instance);
        }
        true
    }

    fn mark_changed(&mut self, index: u64, instance: &InstanceName) {
        if let Some(member) = self.members.get_mut(instance) {
            member.changed = index;
        }
    }

    fn member_mut(&mut self, id: &InstanceId) -> Option<&mut Member> {
        let member = self.members.get_mut(&id.instance)?;
        (member.incarnation == id.incarnation).then_some(member)
    }
}

/// Returns the former owners of `engine` once `next` owns it. Each incarnation is listed
/// once, so that their number is bounded by the instances of a zone.
fn former_of(engine: &Engine, next: &InstanceId) -> Vec<Former> {
    let last = Former {
        id: engine.owner.clone(),
        fence: engine.fence,
        peer: engine.peer.clone(),
    };
    let mut all = engine.former.clone();
    all.retain(|f| f.id != last.id);
    all.push(last);
    all.retain(|f| f.id != *next);
    all
}
