//! The wait after a restart, and when it may end early.
//!
//! A restarted replica gives no vote for an election timeout, because it may
//! have promised that to a leader before. Where all processes were killed
//! together nobody leads any more, and the whole deployment would wait for
//! nothing. So the replica asks all voters. A lease ends with the leader that
//! holds it: if none of them leads after the restart, no earlier promise binds.

use std::{collections::BTreeSet, time::Duration};

use base::Time;
use rand::RngExt;

use super::{Replica, Role};
use crate::{Message, Output, Outputs, ReplicaId};

/// Pause between two rounds of questions; the other processes start within
/// some hundred milliseconds.
const ASK_EVERY: Duration = Duration::from_millis(20);

/// Time between the voters' candidacies once the wait has ended. A vote takes
/// two messages and a sync, which is less; two candidates at once would split
/// it.
const STAGGER: Duration = Duration::from_millis(25);

/// The wait of a restarted replica.
#[derive(Clone, Debug)]
pub(crate) struct Grace {
    /// Tells this life's questions from those of an earlier one, whose answers
    /// may still be under way.
    number: u64,
    ask_at: Time,
    /// When the wait ends by itself.
    until: Time,
    idle: BTreeSet<ReplicaId>,
}

impl Replica {
    /// Begins the wait.
    ///
    /// Failure: before its restart this replica answered a leader's round and
    /// thereby promised not to vote for a while. The promise was only in memory;
    /// were it forgotten, a new leader could be elected while the old one's
    /// lease still runs.
    pub(super) fn begin_grace(&mut self, now: Time) {
        base::hit!(restart_grace);
        self.heard = Some(now);
        if !self.may_vote() {
            return;
        }
        self.grace = Some(Grace {
            number: self.rng.random(),
            ask_at: now,
            until: now + self.settings.raw.election,
            idle: BTreeSet::new(),
        });
    }

    /// Returns when the voters have to be asked again.
    pub(super) fn grace_wake(&self) -> Option<Time> {
        self.grace.as_ref().map(|grace| grace.ask_at)
    }

    /// Asks the voters that haven't answered yet.
    pub(super) fn ask_voters(&mut self, now: Time, out: &mut Outputs) {
        let Some(grace) = &mut self.grace else {
            return;
        };
        if now >= grace.until {
            self.grace = None;
            return;
        }
        if now < grace.ask_at {
            return;
        }
        grace.ask_at = now + ASK_EVERY;
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

    /// Answers a restarted replica, unless this one may hold a lease.
    pub(super) fn leading(&self, from: &ReplicaId, number: u64, out: &mut Outputs) {
        if matches!(self.role, Role::Leader(_)) {
            return;
        }
        out.push(Output::Send {
            to: from.instance.clone(),
            message: Message::Idle { number },
        });
    }

    /// Ends the wait once every voter has said that it doesn't lead.
    ///
    /// Failure: a change of members hides a leader: it isn't a voter by this
    /// replica's log, so nobody asks it. Whoever elected it has its vote on
    /// disk and keeps waiting; the others are no majority.
    pub(super) fn idle(&mut self, now: Time, from: &ReplicaId, number: u64) {
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
        self.deadline = now + STAGGER * (rank + 1);
    }
}
