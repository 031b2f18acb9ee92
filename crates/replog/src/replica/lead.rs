//! A leader: takes proposals, counts acknowledgements, hands over.

use std::collections::{BTreeMap, VecDeque};

use base::Time;

use super::{Replica, Role, not_accepted, progress::Progress};
use crate::{
    Entry, Index, Message, Output, Outputs, Payload, Position, Record, ReplicaId, WhyNot,
    journal::entry_size,
};

/// Election timeouts that a write of the leader may take before it hands over
/// to a replica whose disk answers.
const STALL_MAX: u32 = 4;

/// Election timeouts that a handover waits for a follower to catch up.
const HANDOVER_MAX: u32 = 4;

/// What a leader knows in its term.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// The number of the newest heartbeat round.
    pub(super) round: u64,
    /// When the latest rounds began.
    rounds: VecDeque<(u64, Time)>,
    next_beat: Time,
    /// When it was elected.
    since: Time,
    /// The entry that began its term.
    pub(super) noop: Index,
    /// Proposals without an answer: ticket if any, and size.
    waiting: BTreeMap<Index, (Option<u64>, u64)>,
    /// When a handover gives up, if one is under way.
    handover: Option<Time>,
    /// Since when the disk owes an acknowledgement.
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
        self.next_beat
    }

    /// Forgets a replica that was removed.
    pub(super) fn forget(&mut self, id: &ReplicaId) {
        self.progress.remove(id);
    }

    /// Returns the replicas that entries go to.
    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        self.progress.keys().cloned().collect()
    }

    /// Returns how far a follower's log agrees.
    pub(super) fn matched(&self, id: &ReplicaId) -> Option<Index> {
        self.progress.get(id).map(|progress| progress.matched)
    }

    /// Returns when a follower was heard last; the beginning of the term, or
    /// of sending to it, if it never was.
    pub(super) fn last_heard(&self, id: &ReplicaId) -> Time {
        let progress = self.progress.get(id);
        progress.map_or(self.since, |p| p.acked.unwrap_or(p.since))
    }

    /// Returns since when the leader sends to a follower.
    pub(super) fn tracked_since(&self, id: &ReplicaId) -> Option<Time> {
        self.progress.get(id).map(|progress| progress.since)
    }

    fn backlog(&self) -> u64 {
        self.waiting.values().map(|(_, size)| size).sum()
    }

    /// Returns when a round began, if that is not long ago.
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
            next_beat: now,
            since: now,
            noop: last.next(),
            waiting: BTreeMap::new(),
            handover: None,
            stalled: None,
        }));
        self.leader = Some(self.id().clone());
        self.heard = None;
        self.tries = 0;
        self.track_members(now, last);
        // Entries of earlier terms are committed only together with one of
        // this term, so there has to be one.
        self.push_entry(None, Payload::Noop);
        self.beat(now, out);
    }

    /// Puts a proposal into the log, or says why not.
    pub(super) fn propose(&mut self, ticket: u64, payload: Payload, out: &mut Outputs) {
        let Err(why) = self.may_propose(&payload) else {
            self.push_entry(Some(ticket), payload);
            return;
        };
        out.push(not_accepted(ticket, why, self.leader.clone()));
    }

    fn may_propose(&self, payload: &Payload) -> Result<(), WhyNot> {
        let Role::Leader(leader) = &self.role else {
            return Err(WhyNot::NotLeader);
        };
        if leader.handover.is_some() {
            return Err(WhyNot::NotLeader);
        }
        if self.full {
            // With the rest of the disk used up by proposals, not even a vote
            // could be written, and the log would stop for good.
            base::hit!(refused_when_full);
            return Err(WhyNot::DiskFull);
        }
        let size = match payload {
            Payload::Command(command) => command.len() as u64,
            _ => 0,
        };
        if leader.backlog() + size > self.settings.raw.backlog.get() {
            return Err(WhyNot::Overloaded);
        }
        Ok(())
    }

    /// Appends an entry of this term.
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

    /// Follows the replicas that the log names from here on.
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
    /// A leader that is cut off alone would keep proposals waiting for ever,
    /// and callers would not look for the new leader. This is done before any
    /// input is looked at: after a freeze, the first thing that happens is
    /// that the old leader stops being one.
    pub(super) fn check_quorum(&mut self, now: Time, out: &mut Outputs) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let contact = self.contact(leader, now);
        let contact = contact.unwrap_or(leader.since).max(leader.since);
        if now >= contact + self.settings.raw.election {
            base::hit!(quorum_lost);
            self.step_down(now, self.term, out);
        }
    }

    /// Returns the moment until which a majority of voters has answered: the
    /// beginning of the newest round that so many have answered.
    pub(super) fn contact(&self, leader: &Leader, now: Time) -> Option<Time> {
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

    /// Begins a heartbeat round when one is due.
    pub(super) fn beat(&mut self, now: Time, out: &mut Outputs) {
        let settings = &self.settings.raw;
        let clean = self.writes.clean();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now < leader.next_beat {
            return;
        }
        leader.next_beat = now + settings.heartbeat;
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
            self.beat_one(&id, out);
        }
        self.pass_on_trouble(now);
        self.retire_silent(now);
    }

    /// Hands over when this replica's disk is full or doesn't answer, and
    /// another one's may.
    fn pass_on_trouble(&mut self, now: Time) {
        let limit = self.settings.raw.election * STALL_MAX;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let stuck = leader.stalled.is_some_and(|since| now >= since + limit);
        let better = |progress: &Progress| !progress.full && progress.matched >= self.commit;
        let other = leader.progress.values().any(better);
        if (stuck || self.full) && other {
            base::hit!(trouble_passed_on);
            self.hand_over(now);
        }
    }

    /// Begins to hand leadership over.
    pub(super) fn hand_over(&mut self, now: Time) {
        let limit = self.settings.raw.election * HANDOVER_MAX;
        if let Role::Leader(leader) = &mut self.role
            && !leader.progress.is_empty()
        {
            leader.handover.get_or_insert(now + limit);
        }
    }

    /// Hands over once a follower has everything and every proposal is
    /// answered; gives up leadership in any case when that takes too long.
    pub(super) fn finish_handover(&mut self, now: Time, out: &mut Outputs) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(deadline) = leader.handover else {
            return;
        };
        let last = self.journal.last().index;
        let ready = leader.waiting.is_empty();
        let heir = ready.then(|| self.heir(leader, last)).flatten();
        if heir.is_none() && now < deadline {
            return;
        }
        if let Some(heir) = heir {
            base::hit!(handed_over);
            out.push(Output::Send {
                to: heir.instance,
                message: Message::TimeoutNow { term: self.term },
            });
        }
        // From here on the follower may be elected without waiting for the
        // lease, so this replica stops being leader first.
        self.step_down(now, self.term, out);
        self.deadline = self.deadline + self.settings.raw.election;
    }

    /// Returns the voter that has the whole log and answered last.
    fn heir(&self, leader: &Leader, last: Index) -> Option<ReplicaId> {
        let members = self.journal.members()?;
        let fit = |(id, progress): &(&ReplicaId, &Progress)| {
            members.voters.contains(id) && progress.matched == last
        };
        let fit = leader.progress.iter().filter(fit);
        let best = fit.max_by_key(|(_, progress)| (!progress.full, progress.acked))?;
        Some(best.0.clone())
    }

    /// Commits what a majority has on disk.
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
        // An entry of an earlier term on a majority can still be replaced by a
        // leader that never saw it; only an entry of this term in front of it
        // keeps such a leader from being elected.
        if self.journal.term_at(upto) != Some(self.term) {
            base::hit!(commit_own_term);
            return;
        }
        self.commit = upto;
        self.apply(out);
    }
}
