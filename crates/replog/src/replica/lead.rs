//! Leader: accepts proposals, counts acknowledgements and transfers leadership.

use std::collections::{BTreeMap, VecDeque};

use base::Time;

use super::{Replica, Role, not_accepted, progress::Progress};
use crate::{
    Entry, Index, Message, Output, Outputs, Payload, Position, Record, RejectReason, ReplicaId,
    journal::entry_size,
};

/// Election timeouts that a write of the leader may take before leadership is transferred
/// to a replica whose disk answers.
const STALL_TIMEOUTS: u32 = 4;

/// Election timeouts that a leadership transfer waits for a follower to catch up.
const TRANSFER_TIMEOUTS: u32 = 4;

/// State of a leader in its term.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// The number of the newest heartbeat round.
    pub(super) round: u64,
    /// Numbers and start times of the latest heartbeat rounds.
    rounds: VecDeque<(u64, Time)>,
    next_heartbeat: Time,
    /// When this leader was elected.
    since: Time,
    /// The no-op entry appended at the start of its term.
    pub(super) noop: Index,
    /// Unanswered entries: the proposal's ticket, if there is one, and the entry's size
    /// in bytes.
    waiting: BTreeMap<Index, (Option<u64>, u64)>,
    /// Deadline of the leadership transfer, if one is in progress.
    transfer_deadline: Option<Time>,
    /// Since when a write has been unacknowledged by the disk.
    stalled: Option<Time>,
}

impl Leader {
    pub(super) fn tickets(&self) -> impl Iterator<Item = u64> {
        self.waiting.values().filter_map(|(ticket, _)| *ticket)
    }

    pub(super) fn take_ticket(&mut self, index: Index) -> Option<u64> {
        self.waiting.remove(&index)?.0
    }

    pub(super) fn next_wake(&self) -> Time {
        self.next_heartbeat
    }

    /// Drops the progress of a removed replica.
    pub(super) fn forget(&mut self, id: &ReplicaId) {
        self.progress.remove(id);
    }

    /// Returns the replicas that this leader replicates to.
    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        self.progress.keys().cloned().collect()
    }

    /// Returns the last matching entry of a follower.
    pub(super) fn matched(&self, id: &ReplicaId) -> Option<Index> {
        self.progress.get(id).map(|progress| progress.matched)
    }

    /// Returns when a follower was last heard from; if it never was, when replication to
    /// it or the term began.
    pub(super) fn last_heard(&self, id: &ReplicaId) -> Time {
        let progress = self.progress.get(id);
        progress.map_or(self.since, |p| p.acked.unwrap_or(p.since))
    }

    /// Returns when the leader began to replicate to a follower.
    pub(super) fn tracked_since(&self, id: &ReplicaId) -> Option<Time> {
        self.progress.get(id).map(|progress| progress.since)
    }

    fn backlog(&self) -> u64 {
        self.waiting.values().map(|(_, size)| size).sum()
    }

    /// Returns the start of a heartbeat round, if it is recent enough to be recorded.
    pub(super) fn round_start(&self, round: u64) -> Option<Time> {
        let found = self.rounds.iter().find(|(no, _)| *no == round);
        found.map(|(_, start)| *start)
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Time, out: &mut Outputs) {
        let last = self.journal.last().index;
        self.role = Role::Leader(Box::new(Leader {
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: now,
            since: now,
            noop: last.next(),
            waiting: BTreeMap::new(),
            transfer_deadline: None,
            stalled: None,
        }));
        self.leader = Some(self.id().clone());
        self.heard = None;
        self.attempts = 0;
        self.track_members(now, last);
        // Entries of earlier terms are committed only through an entry of the current
        // term, so a new leader appends one.
        self.push_entry(None, Payload::Noop);
        self.heartbeat(now, out);
    }

    /// Appends a proposal to the log, or rejects it with a reason.
    pub(super) fn propose(&mut self, ticket: u64, payload: Payload, out: &mut Outputs) {
        let Err(why) = self.may_propose(&payload) else {
            self.push_entry(Some(ticket), payload);
            return;
        };
        out.push(not_accepted(ticket, why, self.leader.clone()));
    }

    fn may_propose(&self, payload: &Payload) -> Result<(), RejectReason> {
        let Role::Leader(leader) = &self.role else {
            return Err(RejectReason::NotLeader);
        };
        if leader.transfer_deadline.is_some() {
            return Err(RejectReason::NotLeader);
        }
        if self.full {
            // If proposals used up the remaining space, not even a vote could be written,
            // and the log would stop permanently.
            base::hit!(refused_when_full);
            return Err(RejectReason::DiskFull);
        }
        let size = match payload {
            Payload::Command(command) => command.len() as u64,
            _ => 0,
        };
        if leader.backlog() + size > self.settings.raw.backlog.get() {
            return Err(RejectReason::Overloaded);
        }
        Ok(())
    }

    /// Appends an entry in the current term.
    pub(super) fn push_entry(&mut self, ticket: Option<u64>, payload: Payload) {
        let index = self.journal.last().index.next();
        let term = self.term;
        let entry = Entry {
            at: Position { term, index },
            payload,
        };
        if let Role::Leader(leader) = &mut self.role {
            leader.waiting.insert(index, (ticket, entry_size(&entry)));
        }
        self.writes.propose(Record::Entry(entry.clone()));
        self.journal.append(entry);
    }

    /// Starts replicating to members that were added.
    pub(super) fn track_members(&mut self, now: Time, last: Index) {
        let me = self.settings.id();
        let (Role::Leader(leader), Some(members)) = (&mut self.role, self.journal.members()) else {
            return;
        };
        for id in members.all().filter(|id| *id != me) {
            let new = || Progress::new(last, now);
            leader.progress.entry(id.clone()).or_insert_with(new);
        }
    }

    /// Steps down when no majority has answered for an election timeout.
    ///
    /// A partitioned leader would keep proposals waiting indefinitely, and callers would
    /// not look for the new leader. This check runs before any input is handled: after a
    /// process was suspended, an outdated leader steps down first.
    pub(super) fn check_quorum(&mut self, now: Time, out: &mut Outputs) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let contact = self.quorum_contact(leader, now);
        let contact = contact.unwrap_or(leader.since).max(leader.since);
        if now >= contact + self.settings.raw.election {
            base::hit!(quorum_lost);
            self.step_down(now, self.term, out);
        }
    }

    /// Returns the start of the newest heartbeat round that a majority of voters has
    /// answered.
    pub(super) fn quorum_contact(&self, leader: &Leader, now: Time) -> Option<Time> {
        let members = self.journal.members()?;
        let heard = |id| match leader.progress.get(id) {
            _ if id == self.id() => Some(now),
            Some(progress) => progress.acked,
            None => None,
        };
        let mut times: Vec<_> = members.voters.iter().map(heard).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(members.majority() - 1).copied().flatten()
    }

    /// Starts a heartbeat round when one is due.
    pub(super) fn heartbeat(&mut self, now: Time, out: &mut Outputs) {
        let settings = &self.settings.raw;
        let clean = self.writes.all_durable();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = now + settings.heartbeat;
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        while let Some((_, start)) = leader.rounds.front()
            && now.since(*start) > settings.election
        {
            leader.rounds.pop_front();
        }
        leader.stalled = match leader.stalled {
            _ if clean => None,
            None => Some(now),
            since => since,
        };
        for id in leader.followers() {
            self.send_heartbeat(&id, out);
        }
        self.transfer_from_failing_disk(now);
        self.remove_unresponsive(now);
    }

    /// Starts a leadership transfer when this replica's disk is full or doesn't answer,
    /// and another replica has caught up and reports space.
    fn transfer_from_failing_disk(&mut self, now: Time) {
        let limit = self.settings.raw.election * STALL_TIMEOUTS;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let stuck = leader.stalled.is_some_and(|since| now >= since + limit);
        let better = |progress: &Progress| !progress.full && progress.matched >= self.commit;
        let other = leader.progress.values().any(better);
        if (stuck || self.full) && other {
            base::hit!(trouble_passed_on);
            self.transfer_leadership(now);
        }
    }

    /// Starts a leadership transfer.
    pub(super) fn transfer_leadership(&mut self, now: Time) {
        let limit = self.settings.raw.election * TRANSFER_TIMEOUTS;
        if let Role::Leader(leader) = &mut self.role
            && !leader.progress.is_empty()
        {
            leader.transfer_deadline.get_or_insert(now + limit);
        }
    }

    /// Completes a leadership transfer once a follower has caught up and every proposal
    /// is answered; steps down in any case at the deadline.
    pub(super) fn finish_transfer(&mut self, now: Time, out: &mut Outputs) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(deadline) = leader.transfer_deadline else {
            return;
        };
        let last = self.journal.last().index;
        let ready = leader.waiting.is_empty();
        let successor = ready.then(|| self.successor(leader, last)).flatten();
        if successor.is_none() && now < deadline {
            return;
        }
        if let Some(successor) = successor {
            base::hit!(handed_over);
            out.push(Output::Send {
                to: successor.instance,
                message: Message::TimeoutNow { term: self.term },
            });
        }
        // From here on the follower may be elected without waiting for the lease to
        // expire, so this replica steps down first.
        self.step_down(now, self.term, out);
        self.deadline = self.deadline + self.settings.raw.election;
    }

    /// Returns the most recently heard voter that has the full log, preferring one whose
    /// disk isn't full.
    fn successor(&self, leader: &Leader, last: Index) -> Option<ReplicaId> {
        let members = self.journal.members()?;
        let fit = |(id, progress): &(&ReplicaId, &Progress)| {
            members.voters.contains(id) && progress.matched == last
        };
        let fit = leader.progress.iter().filter(fit);
        let best = fit.max_by_key(|(_, progress)| (!progress.full, progress.acked))?;
        Some(best.0.clone())
    }

    /// Commits entries that a majority has on disk.
    pub(super) fn advance_commit(&mut self, out: &mut Outputs) {
        let (Role::Leader(leader), Some(members)) = (&self.role, self.journal.members()) else {
            return;
        };
        let have = |id| match leader.progress.get(id) {
            _ if id == self.id() => self.writes.durable(),
            Some(progress) => progress.matched,
            None => Index(0),
        };
        let mut have: Vec<_> = members.voters.iter().map(have).collect();
        have.sort_unstable_by(|a, b| b.cmp(a));
        let Some(upto) = have.get(members.majority() - 1).copied() else {
            return;
        };
        if upto <= self.commit {
            return;
        }
        // An entry of an earlier term on a majority can still be replaced by a leader
        // that never received it. Only an entry of the current term after it prevents the
        // election of such a leader.
        if self.journal.term_at(upto) != Some(self.term) {
            base::hit!(commit_own_term);
            return;
        }
        self.commit = upto;
        self.apply(out);
    }
}
