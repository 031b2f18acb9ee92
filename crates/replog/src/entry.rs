//! Contents of the log: entries, membership and snapshots.

use std::collections::{BTreeMap, BTreeSet};

use base::{Incarnation, InstanceName};

use crate::{Blob, Index, ReplicaId, Term};

base::record! {
    /// One entry of the log.
    pub struct Entry {
        /// The entry's index and the term in which it was proposed.
        pub at: Position,
        /// What the entry carries.
        pub payload: Payload,
    }

    /// The content of an entry.
    pub enum Payload {
        /// An empty entry. A new leader commits one to establish the commit index.
        Noop,
        /// A command of the state machine, opaque to the log.
        Command(Blob),
        /// The new membership, in force as soon as the entry is in the log.
        Members(Members),
    }

    /// The membership of the log.
    #[derive(Default)]
    pub struct Members {
        /// Voters: replicas that vote in elections and count towards a quorum.
        pub voters: BTreeSet<ReplicaId>,
        /// Learners: replicas that receive the log but don't vote until they have caught
        /// up.
        pub learners: BTreeSet<ReplicaId>,
        /// The newest incarnation of each instance that was ever a member, so that a
        /// delayed message can't bring back a removed incarnation.
        pub incarnations: BTreeMap<InstanceName, Incarnation>,
    }

    /// The state machine's state after one entry, with the log metadata needed to
    /// continue from there.
    pub struct Snapshot {
        /// The last entry that it covers.
        pub at: Position,
        /// The membership as of that entry.
        pub members: Members,
        /// The state, opaque to the log.
        pub data: Blob,
    }
}

base::value! {
    /// An index in the log together with the term of its entry.
    ///
    /// Positions are ordered as Raft compares logs: by term, then by index.
    #[derive(Default)]
    pub struct Position {
        /// The term in which the entry was proposed.
        pub term: Term,
        /// The index of the entry.
        pub index: Index,
    }
}

impl Members {
    /// Returns whether `id` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Returns all replicas, voters first.
    pub fn all(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the quorum size: the number of voters that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the member that is an incarnation of `instance`.
    #[must_use]
    pub fn member_of(&self, instance: &InstanceName) -> Option<&ReplicaId> {
        self.all().find(|id| id.instance == *instance)
    }

    /// Returns the members without `instance`, whatever its incarnation.
    #[must_use]
    pub fn without(&self, instance: &InstanceName) -> Members {
        let keep = |ids: &BTreeSet<ReplicaId>| {
            let ids = ids.iter().filter(|id| id.instance != *instance);
            ids.cloned().collect()
        };
        Members {
            voters: keep(&self.voters),
            learners: keep(&self.learners),
            incarnations: self.incarnations.clone(),
        }
    }

    /// Returns the initial membership, in which every replica is a voter.
    #[must_use]
    pub fn founding(ids: impl IntoIterator<Item = ReplicaId>) -> Members {
        let voters: BTreeSet<_> = ids.into_iter().collect();
        let incarnations = voters
            .iter()
            .map(|id| (id.instance.clone(), id.incarnation));
        Members {
            incarnations: incarnations.collect(),
            learners: BTreeSet::new(),
            voters,
        }
    }

    /// Returns the members with `id` as a learner in place of any older incarnation of
    /// its instance.
    #[must_use]
    pub fn with_learner(&self, id: ReplicaId) -> Members {
        let mut members = self.without(&id.instance);
        members
            .incarnations
            .insert(id.instance.clone(), id.incarnation);
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

    /// Returns whether `id` was a member and no longer is.
    #[must_use]
    pub fn removed(&self, id: &ReplicaId) -> bool {
        let newest = self.incarnations.get(&id.instance);
        newest.is_some_and(|incarnation| id.incarnation <= *incarnation) && !self.contains(id)
    }
}
