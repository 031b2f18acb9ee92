//! Elections: requesting, granting and counting votes.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use rand::RngExt;

use super::{Replica, Role};
use crate::{Index, Message, Output, Outputs, Position, ReplicaId, Term, VoteKind, WriteNo};

/// Divides the election timeout to give the delay of the first retry of a failed
/// election. A quarter leaves room for the two round trips of a vote and its sync.
const FIRST_RETRY_DIVISOR: u32 = 4;

/// The votes that a candidate has received.
#[derive(Clone, Debug)]
pub(crate) struct Votes {
    kind: VoteKind,
    from: BTreeSet<ReplicaId>,
    /// The write that holds the candidate's own vote, until it is durable.
    own: Option<WriteNo>,
}

impl Replica {
    /// Starts an election or, with [`VoteKind::Pre`], a pre-vote.
    pub(super) fn campaign(&mut self, now: Time, kind: VoteKind, out: &mut Outputs) {
        self.schedule_retry(now);
        self.leader = None;
        let me = self.id().clone();
        let mut votes = Votes {
            kind,
            from: BTreeSet::new(),
            own: None,
        };
        let term = self.term.next();
        if kind == VoteKind::Pre {
            // A partitioned replica would return with a higher term and depose a working
            // leader. A pre-vote changes no term, and a majority that hears its leader
            // declines.
            base::hit!(pre_vote);
            votes.from.insert(me);
        } else {
            self.set_term(term, Some(me));
            votes.own = Some(self.writes.current());
        }
        self.role = Role::Candidate(votes);
        let last = self.journal.last();
        self.send_voters(&Message::Vote { term, kind, last }, out);
        self.count_votes(now, out);
    }

    /// Sets the time of the next election, should this one fail.
    ///
    /// Failure: two replicas start an election at nearly the same time, or one starts it
    /// while the others are still bound to a leader that is gone. If they had to wait a
    /// full election timeout again, nothing would be served for up to another second. The
    /// first retry follows soon; the delay doubles with each further one, so that votes
    /// on a slow disk are eventually counted.
    fn schedule_retry(&mut self, now: Time) {
        let election = self.settings.raw.election;
        let wait = (election / FIRST_RETRY_DIVISOR) * 2_u32.saturating_pow(self.attempts);
        let wait = wait.min(election);
        self.attempts += 1;
        let jitter = self.rng.random_range(0..wait.as_micros() as u64);
        self.deadline = now + wait + Duration::from_micros(jitter);
    }

    /// Handles a request for a vote.
    pub(super) fn vote(
        &mut self,
        now: Time,
        from: &ReplicaId,
        (term, kind): (Term, VoteKind),
        last: Position,
        out: &mut Outputs,
    ) {
        // A replica without a log is bound to no leader, but an earlier incarnation of
        // its folder may be: only members that have received the log vote.
        if self.journal.members().is_none() {
            base::hit!(empty_never_votes);
            return;
        }
        if self.notify_removed(from, out) {
            return;
        }
        if kind != VoteKind::Transfer && self.bound_to_leader(now) {
            self.admit(now, from, out);
            return;
        }
        let empty = last.index == Index(0);
        if empty && !self.is_founder(from) {
            base::hit!(fresh_elects_founder);
            return;
        }
        if kind == VoteKind::Pre {
            self.pre_vote(from, term, last, out);
            return;
        }
        if term > self.term {
            self.step_down(now, term, out);
        }
        let free = self.voted.as_ref().is_none_or(|voted| voted == from);
        let granted = term == self.term && free && last >= self.journal.last();
        if granted && self.voted.is_none() {
            self.set_term(term, Some(from.clone()));
            self.reset_election_timer(now);
        }
        let reply = Message::VoteReply {
            term: self.term,
            kind,
            granted,
        };
        // A vote that is lost in a crash could be given twice, and two leaders elected in
        // one term. So the reply is sent only after the sync.
        self.writes.send_after(from.instance.clone(), reply, out);
    }

    fn pre_vote(&self, from: &ReplicaId, term: Term, last: Position, out: &mut Outputs) {
        let granted = term > self.term && last >= self.journal.last();
        let reply = Message::VoteReply {
            term: if granted { term } else { self.term },
            kind: VoteKind::Pre,
            granted,
        };
        out.push(Output::Send {
            to: from.instance.clone(),
            message: reply,
        });
    }

    pub(super) fn vote_reply(
        &mut self,
        now: Time,
        from: &ReplicaId,
        (term, kind): (Term, VoteKind),
        granted: bool,
        out: &mut Outputs,
    ) {
        if !granted && term > self.term {
            self.step_down(now, term, out);
            return;
        }
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        let asked = match votes.kind {
            VoteKind::Pre => self.term.next(),
            VoteKind::Real | VoteKind::Transfer => self.term,
        };
        if granted && term == asked && kind == votes.kind {
            votes.from.insert(from.clone());
            self.count_votes(now, out);
        }
    }

    /// Counts the candidate's own vote once its write is durable; `upto` is the last
    /// durable write.
    pub(super) fn count_own_vote(&mut self, now: Time, upto: WriteNo, out: &mut Outputs) {
        let me = self.settings.id().clone();
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        if votes.own.is_some_and(|no| no <= upto) {
            votes.own = None;
            votes.from.insert(me);
            self.count_votes(now, out);
        }
    }

    /// Starts an election at once, at the request of a leader that transfers leadership.
    pub(super) fn timeout_now(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        out: &mut Outputs,
    ) {
        let follows = matches!(self.role, Role::Follower) && self.leader.as_ref() == Some(from);
        if term == self.term && follows && self.is_voter() {
            self.campaign(now, VoteKind::Transfer, out);
        }
    }

    fn count_votes(&mut self, now: Time, out: &mut Outputs) {
        let Role::Candidate(votes) = &self.role else {
            return;
        };
        let Some(members) = self.journal.members() else {
            return;
        };
        let got = votes.from.intersection(&members.voters).count();
        if got < members.majority() {
            return;
        }
        match votes.kind {
            VoteKind::Pre => self.campaign(now, VoteKind::Real, out),
            VoteKind::Real | VoteKind::Transfer => self.become_leader(now, out),
        }
    }

    /// Returns whether a leader may rely on this replica not to elect another one.
    ///
    /// Without this restriction leases would be unsafe: a majority could elect a second
    /// leader while the first one still acts.
    fn bound_to_leader(&self, now: Time) -> bool {
        let election = self.settings.raw.election;
        let heard = self.heard.is_some_and(|heard| now < heard + election);
        if heard {
            base::hit!(vote_promised_away);
        }
        heard || matches!(&self.role, Role::Leader(_) if self.leads(now))
    }

    /// Returns whether this replica is a voter according to its own log.
    pub(super) fn is_voter(&self) -> bool {
        let members = self.journal.members();
        members.is_some_and(|members| members.voters.contains(self.id()))
    }

    fn send_voters(&self, message: &Message, out: &mut Outputs) {
        let Some(members) = self.journal.members() else {
            return;
        };
        for id in members.voters.iter().filter(|id| *id != self.id()) {
            out.push(Output::Send {
                to: id.instance.clone(),
                message: message.clone(),
            });
        }
    }
}
