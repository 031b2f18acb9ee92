//! What the log holds: entries, the members that vote on them, snapshots.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, InstanceName};

use crate::{Blob, Index, ReplicaId, Term};

base::record! {
    /// One entry of the log.
    pub struct Entry {
        /// Where it stands, and in which term it was proposed.
        pub at: Position,
        /// What it says.
        pub payload: Payload,
    }

    /// The meaning of an entry.
    pub enum Payload {
        /// Says nothing; a new leader commits one to learn what is committed.
        Noop,
        /// A command of the state machine, opaque here.
        Command(Blob),
        /// The replicas from here on, in force as soon as it is in the log.
        Members(Members),
    }

    /// The replicas of the log.
    #[derive(Default)]
    pub struct Members {
        /// Replicas that elect and acknowledge.
        pub voters: BTreeSet<ReplicaId>,
        /// Replicas that only receive, until they have caught up.
        pub learners: BTreeSet<ReplicaId>,
        /// The newest life of each instance that was ever a member, so that
        /// no removed life comes back by a late message.
        pub lives: BTreeMap<InstanceName, Incarnation>,
    }

    /// The state machine's state after one entry, with what the log needs to
    /// go on from there.
    pub struct Snapshot {
        /// The last entry that it covers.
        pub at: Position,
        /// The replicas as of that entry.
        pub members: Members,
        /// The state, opaque here.
        pub data: Blob,
    }
}

base::value! {
    /// A place in the log together with the term of the entry there.
    ///
    /// The order is that of Raft's comparison of logs: first by term.
    #[derive(Default)]
    pub struct Position {
        /// The term in which the entry was proposed.
        pub term: Term,
        /// The place.
        pub index: Index,
    }
}

impl Members {
    /// Tells whether `id` receives the log.
    #[must_use]
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Returns all replicas, voters first.
    pub fn all(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns how many voters make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the present life of an instance's replica.
    #[must_use]
    pub fn life_of(&self, instance: &InstanceName) -> Option<&ReplicaId> {
        self.all().find(|id| id.instance == *instance)
    }

    /// Returns the members without any life of `instance`.
    #[must_use]
    pub fn without(&self, instance: &InstanceName) -> Members {
        let keep = |ids: &BTreeSet<ReplicaId>| {
            let ids = ids.iter().filter(|id| id.instance != *instance);
            ids.cloned().collect()
        };
        Members {
            voters: keep(&self.voters),
            learners: keep(&self.learners),
            lives: self.lives.clone(),
        }
    }

    /// Makes the founding members: all of them voters.
    #[must_use]
    pub fn founding(ids: impl IntoIterator<Item = ReplicaId>) -> Members {
        let voters: BTreeSet<_> = ids.into_iter().collect();
        let lives = voters.iter().map(|id| (id.instance.clone(), id.life));
        Members {
            lives: lives.collect(),
            learners: BTreeSet::new(),
            voters,
        }
    }

    /// Returns the members with `id` as a learner in place of any older life
    /// of its instance.
    #[must_use]
    pub fn with_learner(&self, id: ReplicaId) -> Members {
        let mut members = self.without(&id.instance);
        members.lives.insert(id.instance.clone(), id.life);
        members.learners.insert(id);
        members
    }

    /// Returns the members with the learner `id` as a voter.
    #[must_use]
    pub fn promoted(&self, id: &ReplicaId) -> Members {
        let mut members = self.clone();
        if let Some(id) = members.learners.take(id) {
            members.voters.insert(id);
        }
        members
    }

    /// Tells whether `id` was a member once and is none any more.
    #[must_use]
    pub fn removed(&self, id: &ReplicaId) -> bool {
        let newest = self.lives.get(&id.instance);
        newest.is_some_and(|life| id.life <= *life) && !self.contains(id)
    }
}
