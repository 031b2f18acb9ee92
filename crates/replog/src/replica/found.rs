//! Founding of a new log.
//!
//! The first instance by name founds the log once every configured instance has reported
//! that it has no log. While one of them holds a log or is unreachable, nothing is
//! founded, so a replica with an emptied folder can't create a second log beside the one
//! that the others hold.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, InstanceName, Time};

use super::{Replica, Role};
use crate::{Index, Members, Message, Output, Outputs, Position, Record, ReplicaId, Snapshot};

/// State of founding at a replica that has no log yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Founding {
    /// The replicas that have sent a join request, by instance with the newest
    /// incarnation.
    joining: BTreeMap<InstanceName, Incarnation>,
    /// Instances that a member has named in [`Message::Ask`].
    pub(crate) named: BTreeSet<InstanceName>,
    /// Replicas that have the initial membership on disk.
    ready: BTreeSet<ReplicaId>,
}

impl Replica {
    /// Returns whether this replica has no log entry yet. An initial membership alone
    /// doesn't count: no leader has been elected with it.
    pub(super) fn log_is_empty(&self) -> bool {
        self.journal.last().index == Index(0)
    }

    /// Returns whether `id` may be elected without an entry in its log.
    ///
    /// If replicas without entries could elect each other, replicas with emptied folders
    /// could form a majority and found a second log beside one that holds committed
    /// changes.
    pub(super) fn is_founder(&self, id: &ReplicaId) -> bool {
        let members = self.journal.members();
        members.is_some_and(|members| members.voters.first() == Some(id))
    }

    /// Sends a join request to all other instances and sets the timer to repeat it.
    ///
    /// A replica that hears no leader may have been removed, or the entry that added it
    /// was lost with its leader's term. In both cases a member answers: with the removal,
    /// or by adding it again.
    pub(super) fn request_join(&mut self, now: Time, out: &mut Outputs) {
        self.deadline = now + self.settings.raw.election;
        for to in self.join_contacts() {
            out.push(Output::Send {
                to,
                message: Message::Join,
            });
        }
        if self.log_is_empty() {
            self.try_found(now, out);
        }
    }

    /// Handles a join request of another replica.
    pub(super) fn join(&mut self, now: Time, from: &ReplicaId, out: &mut Outputs) {
        if self.notify_removed(from, out) {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.admit(now, from, out);
            return;
        }
        if !self.log_is_empty() {
            self.send_members(from, out);
            return;
        }
        let joining = self.founding.joining.entry(from.instance.clone());
        let incarnation = joining.or_insert(from.incarnation);
        *incarnation = (*incarnation).max(from.incarnation);
        self.try_found(now, out);
    }

    /// Handles the initial membership sent by the founder.
    pub(super) fn found(&mut self, from: &ReplicaId, members: Members, out: &mut Outputs) {
        if !self.settings.raw.may_found
            || !self.log_is_empty()
            || !members.voters.contains(self.id())
        {
            return;
        }
        if self
            .journal
            .members()
            .is_some_and(|old| !updates(old, &members))
        {
            base::hit!(founded_once);
            return;
        }
        self.adopt(&members);
        let reply = Message::Founded { members };
        self.writes.send_after(from.instance.clone(), reply, out);
    }

    /// Records that another replica has the initial membership on disk.
    pub(super) fn founded(&mut self, now: Time, from: &ReplicaId, members: &Members) {
        if !self.log_is_empty() || self.journal.members() != Some(members) {
            return;
        }
        self.founding.ready.insert(from.clone());
        if self.all_ready() {
            self.deadline = now;
        }
    }

    /// Returns whether all founding members have the initial membership on disk.
    ///
    /// Without this check, a founder that starts an election and then loses its folder
    /// could, as a new incarnation, found the log a second time with replicas that don't
    /// know the first membership yet.
    fn all_ready(&self) -> bool {
        let Some(members) = self.journal.members() else {
            return false;
        };
        let mut others = members.voters.iter().filter(|id| *id != self.id());
        others.all(|id| self.founding.ready.contains(id)) && self.writes.all_durable()
    }

    fn try_found(&mut self, now: Time, out: &mut Outputs) {
        if !self.settings.raw.may_found {
            base::hit!(emptied_never_founds);
            return;
        }
        let me = self.id().clone();
        let first = self.settings.raw.peers.iter().min();
        if first != Some(&me.instance) {
            return;
        }
        let Some(members) = self.initial_members() else {
            return;
        };
        if self.journal.members() != Some(&members) {
            self.founding.ready.clear();
            self.adopt(&members);
        }
        if self.all_ready() {
            self.campaign(now, crate::VoteKind::Real, out);
            return;
        }
        for to in self.others() {
            let members = members.clone();
            out.push(Output::Send {
                to,
                message: Message::Found { members },
            });
        }
    }

    /// Returns the initial membership once all peers have sent a join request.
    fn initial_members(&self) -> Option<Members> {
        let mut ids = vec![self.id().clone()];
        for instance in self.others() {
            let incarnation = *self.founding.joining.get(&instance)?;
            ids.push(ReplicaId {
                instance,
                incarnation,
            });
        }
        Some(Members::founding(ids))
    }

    fn adopt(&mut self, members: &Members) {
        if self.journal.members() == Some(members) {
            return;
        }
        self.journal.install(Snapshot {
            at: Position::default(),
            members: members.clone(),
            data: crate::Blob::default(),
        });
        self.writes.push(Record::Found(members.clone()));
    }

    /// Names the members to a replica that has sent a join request.
    ///
    /// Failure: the settings of a new instance list only members that don't lead. They
    /// can't add it, and without this answer it would ask only them forever.
    fn send_members(&self, from: &ReplicaId, out: &mut Outputs) {
        let Some(members) = self.journal.members() else {
            return;
        };
        let instances = members.all().map(|id| id.instance.clone());
        let instances = instances.collect();
        out.push(Output::Send {
            to: from.instance.clone(),
            message: Message::Ask { instances },
        });
    }

    /// Returns the instances to send a join request to: the configured peers and the
    /// members named by the log or by another member. Members may have been replaced
    /// since the peers were configured.
    fn join_contacts(&self) -> BTreeSet<InstanceName> {
        let mut all: BTreeSet<_> = self.others().into_iter().collect();
        all.extend(self.founding.named.iter().cloned());
        if !self.log_is_empty()
            && let Some(members) = self.journal.members()
        {
            all.extend(members.all().map(|id| id.instance.clone()));
        }
        all.remove(&self.id().instance);
        all
    }

    fn others(&self) -> Vec<InstanceName> {
        let peers = self.settings.raw.peers.iter();
        let others = peers.filter(|peer| **peer != self.id().instance);
        others.cloned().collect()
    }
}

/// Returns whether `new` updates `old`: it comes from the same incarnation of the founder
/// and names no older incarnation of any instance.
///
/// The founder may have been elected with `old`; a membership from another incarnation of
/// it must not replace `old`.
fn updates(old: &Members, new: &Members) -> bool {
    let later = |(instance, incarnation): (&InstanceName, &Incarnation)| {
        let other = new.incarnations.get(instance);
        other.is_some_and(|other| other >= incarnation)
    };
    old.voters.first() == new.voters.first() && old.incarnations.iter().all(later)
}
