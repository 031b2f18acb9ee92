//! One replica of the log.

use base::Time;

use crate::{Entry, Index, Input, Outputs, Record, ReplicaId, Settings, Snapshot, Term};

/// What a replica finds on its disk; empty for a new one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// The newest term that it has taken part in.
    pub term: Term,
    /// Who got its vote in that term.
    pub voted: Option<ReplicaId>,
    /// The newest snapshot, or the founding members at index 0.
    pub base: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// One replica of the log: a plain value, driven by [`Replica::handle`].
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    restored: Restored,
}

impl Restored {
    /// Replays the records of a log file on top of a snapshot; returns
    /// nothing when they contradict each other.
    #[must_use]
    pub fn replay(base: Option<Snapshot>, records: Vec<Record>) -> Option<Self> {
        let _ = records;
        Some(Restored {
            base,
            ..Restored::default()
        })
    }
}

impl Replica {
    /// Makes a replica from what its disk holds. Its first input should be
    /// [`Input::Wake`].
    #[must_use]
    pub fn new(settings: Settings, restored: Restored) -> Self {
        Replica { settings, restored }
    }

    /// Takes one input and appends what has to be done about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Outputs) {
        let _ = (now, input, out);
    }

    /// Tells whether this replica may act as the leader at `now`: it has won
    /// an election, has applied all that was accepted before, and a majority
    /// has promised not to elect another yet.
    #[must_use]
    pub fn leads(&self, now: Time) -> bool {
        let _ = now;
        false
    }

    /// Returns the leader as far as known.
    #[must_use]
    pub fn leader(&self) -> Option<&ReplicaId> {
        None
    }

    /// Returns this replica's identity.
    #[must_use]
    pub fn id(&self) -> &ReplicaId {
        self.settings.id()
    }

    /// Returns the newest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.restored.term
    }

    /// Returns the last index known to be committed.
    #[must_use]
    pub fn commit(&self) -> Index {
        Index(0)
    }
}
