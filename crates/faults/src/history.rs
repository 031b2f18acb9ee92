//! Checks the history of a run against the invariants of the log.

use std::collections::{BTreeMap, BTreeSet};

use base::stable_hash;
use replog::{Blob, Index, ReplicaId, Term};

/// The state of the tests' state machine: a hash over all applied commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest after one more command.
    #[must_use]
    pub fn after(self, command: &[u8]) -> Digest {
        Digest(stable_hash(&[&self.0.to_le_bytes(), command]))
    }
}

/// The outputs of all replicas so far.
///
/// Every method that takes an output panics if it violates an invariant.
#[derive(Debug, Default)]
pub struct History {
    leaders: BTreeMap<Term, ReplicaId>,
    applied: BTreeMap<Index, (Term, Blob)>,
    digests: BTreeMap<Index, Digest>,
    accepted: BTreeMap<u64, Index>,
    refused: BTreeSet<u64>,
    unknown: BTreeSet<u64>,
}

impl History {
    /// Records that a replica leads `term`.
    ///
    /// # Panics
    ///
    /// Panics if another replica has led the term.
    pub fn record_leader(&mut self, term: Term, id: &ReplicaId) {
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// Records that a replica applies a command after the one at `last`.
    ///
    /// # Panics
    ///
    /// Panics if the replicas differ in the commands or their order, or an index comes
    /// twice.
    pub fn record_applied(&mut self, last: Index, index: Index, term: Term, command: &Blob) {
        assert!(last < index, "index {index} applied after {last}");
        let skipped = self.applied.range(last.next()..index).next();
        assert_eq!(skipped, None, "a command before {index} was skipped");
        if let Some(known) = self.applied.get(&index) {
            assert_eq!(
                known,
                &(term, command.clone()),
                "index {index} was given to another command"
            );
            return;
        }
        let newest = self.digests.last_key_value();
        let newest = newest.map_or((Index(0), Digest::default()), |(i, d)| (*i, *d));
        assert!(
            newest.0 < index,
            "index {index} appeared after {}",
            newest.0
        );
        let ticket = ticket_of(command);
        assert!(
            !self.refused.contains(&ticket),
            "{ticket} was refused and then applied"
        );
        self.applied.insert(index, (term, command.clone()));
        self.digests.insert(index, newest.1.after(command));
    }

    /// Checks a snapshot that a replica installs after it has applied all up to `last`.
    ///
    /// # Panics
    ///
    /// Panics if the snapshot is older than that, or its state is not the state of the
    /// commands applied up to `index`.
    pub fn check_snapshot(&self, last: Index, index: Index, digest: Digest) {
        assert!(last <= index, "state went back from {last} to {index}");
        assert_eq!(
            digest,
            self.digest(index),
            "the state of a snapshot differs from the applied one"
        );
    }

    /// Records that a proposal was accepted at `index`.
    ///
    /// # Panics
    ///
    /// Panics if another command was applied there.
    pub fn record_accepted(&mut self, ticket: u64, index: Index) {
        if let Some((_, command)) = self.applied.get(&index) {
            assert_eq!(
                ticket_of(command),
                ticket,
                "a proposal was accepted at an index that holds another command"
            );
            self.accepted.insert(ticket, index);
        }
    }

    /// Records that a proposal was refused, after which it must never be applied.
    ///
    /// # Panics
    ///
    /// Panics if it was applied.
    pub fn record_refused(&mut self, ticket: u64) {
        let applied = self
            .applied
            .values()
            .any(|(_, command)| ticket_of(command) == ticket);
        assert!(!applied, "{ticket} was applied and then refused");
        self.refused.insert(ticket);
    }

    /// Records that a proposal has an unknown outcome.
    pub fn record_unknown(&mut self, ticket: u64) {
        self.unknown.insert(ticket);
    }

    /// Returns the digest after all commands up to `index`.
    #[must_use]
    pub fn digest(&self, index: Index) -> Digest {
        let last = self.digests.range(..=index).next_back();
        last.map_or(Digest::default(), |(_, digest)| *digest)
    }

    /// Returns the index of the newest command.
    #[must_use]
    pub fn newest(&self) -> Index {
        let last = self.digests.last_key_value();
        last.map_or(Index(0), |(index, _)| *index)
    }

    /// Returns how many proposals were accepted.
    #[must_use]
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// Returns how many proposals were refused.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.refused.len()
    }

    /// Returns how many proposals have an unknown outcome.
    #[must_use]
    pub fn unknown(&self) -> usize {
        self.unknown.len()
    }
}

/// Returns a command that consists of its ticket.
pub(crate) fn command(ticket: u64) -> Blob {
    Blob::from(ticket.to_le_bytes().as_slice())
}

fn ticket_of(command: &Blob) -> u64 {
    let raw: [u8; 8] = command[..8].try_into().expect("commands hold a ticket");
    u64::from_le_bytes(raw)
}
