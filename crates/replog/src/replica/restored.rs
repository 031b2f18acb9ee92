//! The state that a replica restores from its disk.

use crate::{Entry, Index, Position, Record, ReplicaId, Snapshot, Term};

/// State restored from disk; empty for a new replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// The newest term seen.
    pub term: Term,
    /// The candidate that got this replica's vote in that term.
    pub voted: Option<ReplicaId>,
    /// The newest snapshot, or the initial membership at index 0.
    pub base: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// Replays the records of a log file on top of a snapshot; returns `None` if they are
    /// inconsistent, as after the loss of a frame.
    #[must_use]
    pub fn replay(base: Option<Snapshot>, records: Vec<Record>) -> Option<Self> {
        let mut restored = Restored {
            base,
            ..Restored::default()
        };
        for record in records {
            restored.take(record)?;
        }
        Some(restored)
    }

    fn take(&mut self, record: Record) -> Option<()> {
        match record {
            Record::Found(members) => {
                (self.last() == Index(0)).then_some(())?;
                self.base = Some(Snapshot {
                    at: Position::default(),
                    members,
                    data: crate::Blob::default(),
                });
            }
            Record::Vote { term, voted } => {
                (term >= self.term).then_some(())?;
                self.term = term;
                self.voted = voted;
            }
            Record::Entry(entry) => {
                let first = self.base.as_ref()?.at.index.next();
                let offset = entry.at.index.get().checked_sub(first.get())?;
                let offset = usize::try_from(offset).ok()?;
                (offset <= self.entries.len()).then_some(())?;
                self.entries.truncate(offset);
                self.entries.push(entry);
            }
        }
        Some(())
    }

    /// Returns the last entry's index.
    #[must_use]
    pub fn last(&self) -> Index {
        let base = self.base.as_ref().map_or(Index(0), |base| base.at.index);
        self.entries.last().map_or(base, |entry| entry.at.index)
    }
}
