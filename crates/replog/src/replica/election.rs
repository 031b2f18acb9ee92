//! Votes: asking for them, giving them, counting them.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use rand::RngExt;

use super::{Replica, Role};
use crate::{Index, Message, Output, Outputs, Position, ReplicaId, Term, VoteKind, WriteNo};

/// Part of the election timeout after which a candidacy that failed is tried
/// again for the first time; that leaves room for a vote's two round trips and
/// its sync.
const FIRST_RETRY: u32 = 4;

/// The votes that a candidate has.
#[derive(Clone, Debug)]
pub(crate) struct Votes {
    kind: VoteKind,
    from: BTreeSet<ReplicaId>,
    /// The write of the candidate's own vote, until it is on disk.
    own: Option<WriteNo>,
}

impl Replica {
    /// Stands for election, or asks whether that has a chance.
    pub(super) fn campaign(&mut self, now: Time, kind: VoteKind, out: &mut Outputs) {
        self.retry_later(now);
        self.leader = None;
        let me = self.id().clone();
        let mut votes = Votes {
            kind,
            from: BTreeSet::new(),
            own: None,
        };
        let term = self.term.next();
        if kind == VoteKind::Pre {
            // A replica that was cut off would come back with a higher term
            // and depose a leader that serves everybody else. Asking first
            // changes no term; a majority that hears its leader declines.
            base::hit!(pre_vote);
            votes.from.insert(me);
        } else {
            self.set_term(term, Some(me));
            votes.own = Some(self.writes.current());
        }
        self.role = Role::Candidate(votes);
        let last = self.journal.last();
        self.send_voters(&Message::Vote { term, kind, last }, out);
        self.count(now, out);
    }

    /// Sets the time of the next candidacy, should this one fail.
    ///
    /// Failure: two replicas stand at nearly the same time, or one stands while
    /// the others still keep their promise to a leader that is gone. Had they to
    /// wait a whole election timeout again, nothing is served for up to another
    /// second. The first tries follow soon; each further one waits twice as
    /// long, so that votes that need a slow disk are counted in the end.
    fn retry_later(&mut self, now: Time) {
        let election = self.settings.raw.election;
        let wait = (election / FIRST_RETRY) * 2_u32.saturating_pow(self.tries);
        let wait = wait.min(election);
        self.tries += 1;
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
        // A replica without a log has promised nothing yet, but an earlier
        // life of its folder may have: only members that have been given the
        // log vote.
        if self.journal.members().is_none() {
            base::hit!(empty_never_votes);
            return;
        }
        if self.tell_removed(from, out) {
            return;
        }
        if kind != VoteKind::Transfer && self.promised(now) {
            self.take_in(now, from, out);
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
            self.rearm(now);
        }
        let reply = Message::VoteReply {
            term: self.term,
            kind,
            granted,
        };
        // A vote that a crash makes forgotten could be given twice, and two
        // leaders elected in one term; so it leaves only after the sync.
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
            self.count(now, out);
        }
    }

    /// Counts the candidate's own vote, which is on disk up to `upto`.
    pub(super) fn count_own_vote(&mut self, now: Time, upto: WriteNo, out: &mut Outputs) {
        let me = self.settings.id().clone();
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        if votes.own.is_some_and(|no| no <= upto) {
            votes.own = None;
            votes.from.insert(me);
            self.count(now, out);
        }
    }

    /// Stands for election at once, because the leader wishes it.
    pub(super) fn timeout_now(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        out: &mut Outputs,
    ) {
        let follows = matches!(self.role, Role::Follower) && self.leader.as_ref() == Some(from);
        if term == self.term && follows && self.may_vote() {
            self.campaign(now, VoteKind::Transfer, out);
        }
    }

    fn count(&mut self, now: Time, out: &mut Outputs) {
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

    /// Tells whether a leader counts on this replica not to elect another.
    ///
    /// Without the promise a lease would mean nothing: a majority could elect
    /// a second leader while the first still acts.
    fn promised(&self, now: Time) -> bool {
        let election = self.settings.raw.election;
        let heard = self.heard.is_some_and(|heard| now < heard + election);
        if heard {
            base::hit!(vote_promised_away);
        }
        heard || matches!(&self.role, Role::Leader(_) if self.leads(now))
    }

    /// Tells whether this replica is a voter by its own log.
    pub(super) fn may_vote(&self) -> bool {
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
