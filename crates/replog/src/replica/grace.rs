//! The grace period after a restart, and when it may end early.
//!
//! A restarted replica grants no vote for an election timeout, because it may have been
//! bound to a leader before. If all processes were killed together, no leader is left,
//! and the whole deployment would wait for nothing. So the replica asks all voters. A
//! lease ends with the process of the leader that holds it: if none of the voters leads
//! after the restart, no earlier lease is valid.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use rand::RngExt;

use super::{Replica, Role};
use crate::{Message, Output, Outputs, ReplicaId};

/// Interval between two rounds of queries; the other processes start within some hundred
/// milliseconds.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// Delay between the elections of consecutive voters once the grace period has ended. A
/// vote takes two messages and a sync, which is less; two candidates at once would split
/// the vote.
const ELECTION_STAGGER: Duration = Duration::from_millis(25);

/// The grace period of a restarted replica.
#[derive(Clone, Debug)]
pub(crate) struct Grace {
    /// Distinguishes the queries of this process from those before a restart, whose
    /// answers may still arrive.
    number: u64,
    next_query: Time,
    /// When the grace period ends without answers.
    until: Time,
    idle: BTreeSet<ReplicaId>,
}

impl Replica {
    /// Starts the grace period.
    ///
    /// Failure: before its restart this replica answered a heartbeat round and thereby
    /// committed itself not to vote for an election timeout. That commitment was only in
    /// memory. If it were lost, a new leader could be elected while the old one's lease
    /// is still valid.
    pub(super) fn begin_grace(&mut self, now: Time) {
        base::hit!(restart_grace);
        self.heard = Some(now);
        if !self.is_voter() {
            return;
        }
        self.grace = Some(Grace {
            number: self.rng.random(),
            next_query: now,
            until: now + self.settings.raw.election,
            idle: BTreeSet::new(),
        });
    }

    /// Returns when to query the voters again.
    pub(super) fn grace_wake(&self) -> Option<Time> {
        self.grace.as_ref().map(|grace| grace.next_query)
    }

    /// Queries the voters that haven't answered yet.
    pub(super) fn query_voters(&mut self, now: Time, out: &mut Outputs) {
        let Some(grace) = &mut self.grace else {
            return;
        };
        if now >= grace.until {
            self.grace = None;
            return;
        }
        if now < grace.next_query {
            return;
        }
        grace.next_query = now + QUERY_INTERVAL;
        let number = grace.number;
        let Some(members) = self.journal.members() else {
            return;
        };
        let me = self.settings.id();
        let voters = members.voters.iter().filter(|id| *id != me);
        for id in voters.filter(|id| !grace.idle.contains(id)) {
            out.push(Output::Send {
                to: id.instance.clone(),
                message: Message::Leading { number },
            });
        }
    }

    /// Answers the query of a restarted replica, unless this one may hold a lease.
    pub(super) fn answer_leading(&self, from: &ReplicaId, number: u64, out: &mut Outputs) {
        if matches!(self.role, Role::Leader(_)) {
            return;
        }
        out.push(Output::Send {
            to: from.instance.clone(),
            message: Message::Idle { number },
        });
    }

    /// Ends the grace period once every voter has answered that it doesn't lead.
    ///
    /// Failure: a membership change hides a leader, which isn't a voter by this replica's
    /// log and so is not queried. A replica that elected it has its vote on disk and
    /// keeps waiting; the others are no majority.
    pub(super) fn record_idle(&mut self, now: Time, from: &ReplicaId, number: u64) {
        let (Some(grace), Some(members)) = (&mut self.grace, self.journal.members()) else {
            return;
        };
        let voters = &members.voters;
        if grace.number != number || !voters.contains(from) {
            return;
        }
        grace.idle.insert(from.clone());
        let me = self.settings.id();
        let known = |id: &ReplicaId| id == me || grace.idle.contains(id);
        let hidden = self.voted.as_ref().is_some_and(|id| !voters.contains(id));
        if hidden || !voters.iter().all(known) {
            return;
        }
        base::hit!(restart_grace_ended);
        let rank = voters.iter().take_while(|id| *id != me).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.grace = None;
        self.heard = None;
        self.deadline = now + ELECTION_STAGGER * (rank + 1);
    }
}
