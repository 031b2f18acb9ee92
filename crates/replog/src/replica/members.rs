//! Membership changes, one at a time.
//!
//! Majorities of two memberships that differ by one voter always overlap. So a change
//! begins only after the previous one is committed, and changes at most one voter.

use base::Time;

use super::{Replica, Role, not_accepted};
use crate::{
    HaltReason, Index, Members, Message, Output, Outputs, Payload, RejectReason, ReplicaId,
};

/// Voters that have to remain when an unresponsive one is removed: with fewer, the loss
/// of another one would leave no quorum.
const VOTERS_MIN: usize = 3;

/// Divides the time until an unresponsive voter is removed if a replacement has joined
/// already.
const REPLACED_DIVISOR: u32 = 4;

impl Replica {
    /// Adds a replica as a learner.
    pub(super) fn add_replica(
        &mut self,
        now: Time,
        ticket: Option<u64>,
        id: ReplicaId,
        out: &mut Outputs,
    ) {
        let result = self.changeable_members(now).and_then(|members| {
            let newest = members.incarnations.get(&id.instance);
            let older = newest.is_some_and(|incarnation| *incarnation >= id.incarnation);
            let next = members.with_learner(id);
            if older || next.voters.is_empty() {
                return Err(RejectReason::BadChange);
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
        let result = self.changeable_members(now).and_then(|members| {
            let next = members.without(&id.instance);
            if !members.contains(id) || next.voters.is_empty() {
                return Err(RejectReason::BadChange);
            }
            Ok(next)
        });
        self.change(now, Some(ticket), result, out);
    }

    /// Adds a replica that has sent a join request, if its instance should have a
    /// replica.
    pub(super) fn admit(&mut self, now: Time, from: &ReplicaId, out: &mut Outputs) {
        let meant = self.settings.raw.admit_any || self.settings.raw.peers.contains(&from.instance);
        let known = self.journal.members();
        let known = known.is_some_and(|members| members.contains(from));
        if meant && !known {
            self.add_replica(now, None, from.clone(), out);
        }
    }

    /// Promotes a learner that has caught up to a voter.
    ///
    /// A new replica that voted at once would count towards a majority with an empty log:
    /// a committed entry held by only one of two other voters would be lost with that
    /// one.
    pub(super) fn promote(&mut self, now: Time) {
        let Ok(members) = self.changeable_members(now) else {
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

    /// Removes a voter that has been unresponsive for too long.
    ///
    /// Failure: an instance is replaced permanently by an empty one under another name.
    /// The dead voter still counts, so a majority of four is three, and the next loss
    /// stops the log although two of three would suffice. A voter is only removed if at
    /// least [`VOTERS_MIN`] voters remain and all of them answer; one whose replacement
    /// has become a voter since is removed much sooner.
    pub(super) fn remove_unresponsive(&mut self, now: Time) {
        let Some(limit) = self.settings.raw.remove_after else {
            return;
        };
        let Ok(members) = self.changeable_members(now) else {
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
        let limit = if replaced {
            limit / REPLACED_DIVISOR
        } else {
            limit
        };
        if now.since(last) < limit {
            return;
        }
        base::hit!(silent_voter_removed);
        let next = members.without(&id.instance);
        self.push_members(now, None, next);
    }

    /// Handles a committed membership change: notifies removed replicas.
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
            out.push(removed_message(id));
        }
    }

    /// Notifies `id` if it is a removed replica; returns whether it is one.
    ///
    /// A committed removal is final, so any member may report it. The removed replica may
    /// not know any member that still leads.
    pub(super) fn notify_removed(&self, id: &ReplicaId, out: &mut Outputs) -> bool {
        let members = self.journal.members();
        let gone =
            self.membership_committed() && members.is_some_and(|members| members.removed(id));
        if gone {
            base::hit!(removed_never_elected);
            out.push(removed_message(id.clone()));
        }
        gone
    }

    /// Returns the membership if a change may begin now.
    fn changeable_members(&self, now: Time) -> Result<Members, RejectReason> {
        let Role::Leader(leader) = &self.role else {
            return Err(RejectReason::NotLeader);
        };
        // Before an entry of its own term is committed, a leader can't know whether an
        // earlier membership change is committed.
        if !self.leads(now) || self.commit < leader.noop {
            return Err(RejectReason::NotLeader);
        }
        if !self.membership_committed() {
            base::hit!(one_change_at_a_time);
            return Err(RejectReason::Changing);
        }
        self.journal
            .members()
            .cloned()
            .ok_or(RejectReason::NotLeader)
    }

    fn change(
        &mut self,
        now: Time,
        ticket: Option<u64>,
        result: Result<Members, RejectReason>,
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

fn removed_message(id: ReplicaId) -> Output {
    Output::Send {
        to: id.instance.clone(),
        message: Message::Removed { id },
    }
}
