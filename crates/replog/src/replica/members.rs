//! Changes of the replicas themselves, one at a time.
//!
//! Two majorities of member sets that differ by one voter always share a
//! replica. So a change begins only after the last one is committed, and
//! never moves more than one voter.

use base::Time;

use super::{Replica, Role, not_accepted};
use crate::{HaltReason, Index, Members, Message, Output, Outputs, Payload, ReplicaId, WhyNot};

/// Voters that remain at least when a silent one is removed: fewer could not
/// lose another and go on.
const VOTERS_MIN: usize = 3;

/// How many times sooner a silent voter goes that has been replaced already.
const REPLACED: u32 = 4;

impl Replica {
    /// Adds a replica as a learner.
    pub(super) fn add_replica(
        &mut self,
        now: Time,
        ticket: Option<u64>,
        id: ReplicaId,
        out: &mut Outputs,
    ) {
        let result = self.idle_members(now).and_then(|members| {
            let newest = members.lives.get(&id.instance);
            let older = newest.is_some_and(|life| *life >= id.life);
            let next = members.with_learner(id);
            if older || next.voters.is_empty() {
                return Err(WhyNot::BadChange);
            }
            Ok(next)
        });
        self.change(now, ticket, result, out);
    }

    /// Removes a replica.
    pub(super) fn remove_replica(
        &mut self,
        now: Time,
        ticket: u64,
        id: &ReplicaId,
        out: &mut Outputs,
    ) {
        let result = self.idle_members(now).and_then(|members| {
            let next = members.without(&id.instance);
            if !members.contains(id) || next.voters.is_empty() {
                return Err(WhyNot::BadChange);
            }
            Ok(next)
        });
        self.change(now, Some(ticket), result, out);
    }

    /// Takes in an unstarted replica that has called out, if its instance is
    /// meant to have one.
    pub(super) fn take_in(&mut self, now: Time, from: &ReplicaId, out: &mut Outputs) {
        let meant = self.settings.raw.open || self.settings.raw.peers.contains(&from.instance);
        let known = self.journal.members();
        let known = known.is_some_and(|members| members.contains(from));
        if meant && !known {
            self.add_replica(now, None, from.clone(), out);
        }
    }

    /// Makes voters of learners that have caught up.
    ///
    /// A new replica that voted at once would count towards a majority with
    /// an empty log: an entry that one of two others holds could be lost with
    /// that one alone.
    pub(super) fn promote(&mut self, now: Time) {
        let Ok(members) = self.idle_members(now) else {
            return;
        };
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let ready = |id: &&ReplicaId| leader.matched(id) >= Some(self.commit);
        let Some(id) = members.learners.iter().find(ready) else {
            return;
        };
        base::hit!(learner_caught_up);
        let next = members.promoted(id);
        self.push_members(now, None, next);
    }

    /// Removes a voter that has been silent for too long.
    ///
    /// Failure: an instance is replaced for good by an empty one under another
    /// name. The dead voter stays in the count, so a majority of four is three
    /// and the next loss stops the log although two of three would do. Only a
    /// voter is removed whose absence leaves [`VOTERS_MIN`] that all answer; one
    /// that has been replaced by a voter taken in since goes much sooner.
    pub(super) fn retire_silent(&mut self, now: Time) {
        let Some(limit) = self.settings.raw.retire else {
            return;
        };
        let Ok(members) = self.idle_members(now) else {
            return;
        };
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if members.voters.len() <= VOTERS_MIN {
            return;
        }
        let fresh = self.settings.raw.election;
        let others = members.voters.iter().filter(|id| *id != self.id());
        let silent: Vec<_> = others
            .filter(|id| now.since(leader.last_heard(id)) >= fresh)
            .collect();
        let [id] = silent.as_slice() else {
            return;
        };
        let last = leader.last_heard(id);
        let replaced = members
            .voters
            .iter()
            .any(|other| leader.tracked_since(other) > Some(last));
        let limit = if replaced { limit / REPLACED } else { limit };
        if now.since(last) < limit {
            return;
        }
        base::hit!(silent_voter_removed);
        let next = members.without(&id.instance);
        self.push_members(now, None, next);
    }

    /// A change of members is committed: takes leave of those removed.
    pub(super) fn members_committed(&mut self, members: &Members, out: &mut Outputs) {
        if members.removed(self.id()) {
            self.halt(HaltReason::Removed, out);
            return;
        }
        let newest = self.journal.members_index() == self.applied;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !newest {
            return;
        }
        for id in leader.followers() {
            if members.contains(&id) {
                continue;
            }
            leader.forget(&id);
            out.push(removal(id));
        }
    }

    /// Tells a removed replica that stands for election that it is none;
    /// returns whether it was one.
    ///
    /// A committed removal is final, so any member may say so. The removed
    /// one may know no member that leads by now.
    pub(super) fn tell_removed(&self, id: &ReplicaId, out: &mut Outputs) -> bool {
        let members = self.journal.members();
        let gone = self.members_settled() && members.is_some_and(|members| members.removed(id));
        if gone {
            base::hit!(removed_never_elected);
            out.push(removal(id.clone()));
        }
        gone
    }

    /// Returns the members if a change may begin now.
    fn idle_members(&self, now: Time) -> Result<Members, WhyNot> {
        let Role::Leader(leader) = &self.role else {
            return Err(WhyNot::NotLeader);
        };
        // Before an entry of its own term is committed, a leader can't know
        // whether an earlier change of members holds.
        if !self.leads(now) || self.commit < leader.noop {
            return Err(WhyNot::NotLeader);
        }
        if !self.members_settled() {
            base::hit!(one_change_at_a_time);
            return Err(WhyNot::Changing);
        }
        self.journal.members().cloned().ok_or(WhyNot::NotLeader)
    }

    fn change(
        &mut self,
        now: Time,
        ticket: Option<u64>,
        result: Result<Members, WhyNot>,
        out: &mut Outputs,
    ) {
        match (result, ticket) {
            (Ok(members), _) => self.push_members(now, ticket, members),
            (Err(why), Some(ticket)) => {
                out.push(not_accepted(ticket, why, self.leader.clone()));
            }
            (Err(_), None) => {}
        }
    }

    fn push_members(&mut self, now: Time, ticket: Option<u64>, members: Members) {
        self.push_entry(ticket, Payload::Members(members));
        self.track_members(now, Index(0));
    }
}

fn removal(id: ReplicaId) -> Output {
    Output::Send {
        to: id.instance.clone(),
        message: Message::Removed { id },
    }
}
