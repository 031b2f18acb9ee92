//! The start of a log that nobody has yet.
//!
//! The first instance by name founds the log when every configured instance
//! has told it that it is unstarted. While one of them holds a log, or can't
//! be asked, nothing is founded: an emptied folder can't make a second log
//! beside the one that the others hold.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, InstanceName, Time};

use super::{Replica, Role};
use crate::{Index, Members, Message, Output, Outputs, Position, Record, ReplicaId, Snapshot};

/// What an unstarted replica knows of the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Founding {
    /// The unstarted replicas that have called out.
    seen: BTreeMap<InstanceName, Incarnation>,
    /// Instances that a member named as members.
    pub(crate) called: BTreeSet<InstanceName>,
    /// Those that have the founding members on disk.
    ready: BTreeSet<ReplicaId>,
}

impl Replica {
    /// Tells whether this replica has no entry of any log yet. Founding
    /// members alone don't count: no leader has been elected by them.
    pub(super) fn unstarted(&self) -> bool {
        self.journal.last().index == Index(0)
    }

    /// Tells whether `id` may be elected without an entry in its log.
    ///
    /// Were replicas without entries free to elect each other, emptied folders
    /// could make a majority and found a second log beside one that holds
    /// accepted changes.
    pub(super) fn is_founder(&self, id: &ReplicaId) -> bool {
        let members = self.journal.members();
        members.is_some_and(|members| members.voters.first() == Some(id))
    }

    /// Asks all other instances to be taken in, again and again.
    ///
    /// A replica that no leader sends to may have been removed, or the entry
    /// that took it in was lost with its leader's term. Either way a member
    /// answers: by its removal, or by taking it in.
    pub(super) fn call_out(&mut self, now: Time, out: &mut Outputs) {
        self.deadline = now + self.settings.raw.election;
        for to in self.to_call() {
            out.push(Output::Send {
                to,
                message: Message::Join,
            });
        }
        if self.unstarted() {
            self.try_found(now, out);
        }
    }

    /// Another replica is unstarted.
    pub(super) fn join(&mut self, now: Time, from: &ReplicaId, out: &mut Outputs) {
        if self.tell_removed(from, out) {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.take_in(now, from, out);
            return;
        }
        if !self.unstarted() {
            self.point_out_members(from, out);
            return;
        }
        let seen = self.founding.seen.entry(from.instance.clone());
        let life = seen.or_insert(from.life);
        *life = (*life).max(from.life);
        self.try_found(now, out);
    }

    /// The founder names the founding members.
    pub(super) fn found(&mut self, from: &ReplicaId, members: Members, out: &mut Outputs) {
        if !self.settings.raw.founds || !self.unstarted() || !members.voters.contains(self.id()) {
            return;
        }
        if self
            .journal
            .members()
            .is_some_and(|old| !renews(old, &members))
        {
            base::hit!(founded_once);
            return;
        }
        self.adopt(&members);
        let reply = Message::Founded { members };
        self.writes.send_after(from.instance.clone(), reply, out);
    }

    /// Another replica has the founding members on disk.
    pub(super) fn founded(&mut self, now: Time, from: &ReplicaId, members: &Members) {
        if !self.unstarted() || self.journal.members() != Some(members) {
            return;
        }
        self.founding.ready.insert(from.clone());
        if self.all_ready() {
            self.deadline = now;
        }
    }

    /// Tells whether all founding members have them on disk.
    ///
    /// If the founder stood for election earlier and lost its folder then, its
    /// next life could found the log anew with those that know nothing yet.
    fn all_ready(&self) -> bool {
        let Some(members) = self.journal.members() else {
            return false;
        };
        let mut others = members.voters.iter().filter(|id| *id != self.id());
        others.all(|id| self.founding.ready.contains(id)) && self.writes.clean()
    }

    fn try_found(&mut self, now: Time, out: &mut Outputs) {
        if !self.settings.raw.founds {
            base::hit!(emptied_never_founds);
            return;
        }
        let me = self.id().clone();
        let first = self.settings.raw.peers.iter().min();
        if first != Some(&me.instance) {
            return;
        }
        let Some(members) = self.founders() else {
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

    /// Returns the founding members once all have called out.
    fn founders(&self) -> Option<Members> {
        let mut ids = vec![self.id().clone()];
        for instance in self.others() {
            let life = *self.founding.seen.get(&instance)?;
            ids.push(ReplicaId { instance, life });
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

    /// Names the members to a replica that asks to be taken in.
    ///
    /// Failure: the settings of a new instance name only members that don't
    /// lead. They can't take it in, and it would call them for ever.
    fn point_out_members(&self, from: &ReplicaId, out: &mut Outputs) {
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

    /// Returns the instances to ask to be taken in: the peers that are set, and
    /// the members that the log or another member names. Peers may have been
    /// replaced since they were set.
    fn to_call(&self) -> BTreeSet<InstanceName> {
        let mut all: BTreeSet<_> = self.others().into_iter().collect();
        all.extend(self.founding.called.iter().cloned());
        if !self.unstarted()
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

/// Tells whether the founder of `old` has brought it up to date as `new`.
///
/// Another life of the founder may have led already; what it says then must
/// not replace members that a majority may have elected it by.
fn renews(old: &Members, new: &Members) -> bool {
    let later = |(instance, life): (&InstanceName, &Incarnation)| {
        let other = new.lives.get(instance);
        other.is_some_and(|other| other >= life)
    };
    old.voters.first() == new.voters.first() && old.lives.iter().all(later)
}
