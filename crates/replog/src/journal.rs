//! The in-memory part of the log: a snapshot and entries.

use std::collections::{BTreeMap, VecDeque};

use base::Bytes;

use crate::{Entry, Index, Members, Payload, Position, Record, Snapshot, Term};

/// Overhead of an entry beside its command, in bytes, in memory and on the wire.
/// Estimated high, so that messages of many small entries stay within their limit.
const ENTRY_OVERHEAD: u64 = 48;

/// The log after `floor`. Entries covered by the snapshot are retained for slightly
/// lagging followers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    base: Option<Snapshot>,
    floor: Position,
    entries: VecDeque<Entry>,
    memberships: BTreeMap<Index, Members>,
}

impl Journal {
    pub(crate) fn new(base: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut journal = Journal::default();
        if let Some(base) = base {
            journal.install(base);
        }
        entries.into_iter().for_each(|entry| journal.append(entry));
        journal
    }

    pub(crate) fn base(&self) -> Option<&Snapshot> {
        self.base.as_ref()
    }

    /// The index that the snapshot covers.
    pub(crate) fn base_index(&self) -> Index {
        self.base.as_ref().map_or(Index(0), |base| base.at.index)
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.floor, |entry| entry.at)
    }

    /// The membership as of the end of the log, committed or not; `None` before the log
    /// is founded or received.
    pub(crate) fn members(&self) -> Option<&Members> {
        self.memberships
            .last_key_value()
            .map(|(_, members)| members)
    }

    /// The index of the newest membership change.
    pub(crate) fn members_index(&self) -> Index {
        let last = self.memberships.last_key_value();
        last.map_or(Index(0), |(index, _)| *index)
    }

    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.floor.index {
            return Some(self.floor.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.get().checked_sub(self.floor.index.get() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the first index that has the same term as the entry at `index`.
    pub(crate) fn term_start(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.floor.index && self.term_at(first.prev()) == term {
            first = first.prev();
        }
        first
    }

    /// Returns the entries after `prev` up to `last`: at least one if there is any, and
    /// as many as fit `limit` bytes.
    pub(crate) fn slice(&self, prev: Index, last: Index, limit: u64) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut index = prev.next();
        while index <= last {
            let Some(entry) = self.get(index) else { break };
            size += entry_size(entry);
            if size > limit && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            index = index.next();
        }
        taken
    }

    /// # Panics
    ///
    /// Panics when the entry doesn't follow the last one.
    pub(crate) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.at.index, self.last().index.next(), "a gap in the log");
        if let Payload::Members(members) = &entry.payload {
            self.memberships.insert(entry.at.index, members.clone());
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = index.get().saturating_sub(self.floor.index.get() + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.memberships.split_off(&index);
    }

    /// Replaces the log by a snapshot. If the log holds the last entry that the snapshot
    /// covers, the entries after it are kept. Returns whether they were.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        if self.term_at(snapshot.at.index) == Some(snapshot.at.term) && self.base.is_some() {
            self.compact(snapshot, 0, Bytes(0));
            return true;
        }
        self.floor = snapshot.at;
        self.entries.clear();
        self.memberships.clear();
        self.memberships
            .insert(snapshot.at.index, snapshot.members.clone());
        self.base = Some(snapshot);
        false
    }

    /// Creates the snapshot with the state `data` after the entry at `index`.
    pub(crate) fn snapshot(&self, index: Index, data: crate::Blob) -> Option<Snapshot> {
        let term = self.term_at(index)?;
        let (_, members) = self.memberships.range(..=index).next_back()?;
        Some(Snapshot {
            at: Position { term, index },
            members: members.clone(),
            data,
        })
    }

    /// Compacts the entries that the snapshot covers, but retains the last `keep` of them
    /// as far as they fit `bytes`.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64, bytes: Bytes) {
        let at = snapshot.at.index;
        self.memberships = self.memberships.split_off(&at.next());
        self.memberships.insert(at, snapshot.members.clone());
        let floor = self.floor_for(at, keep, bytes);
        while let Some(entry) = self.entries.front()
            && entry.at.index <= floor
        {
            self.floor = entry.at;
            self.entries.pop_front();
        }
        self.base = Some(snapshot);
    }

    /// Returns the index before the last `keep` entries up to `at`, or before the fewer
    /// of them that fit `bytes`.
    fn floor_for(&self, at: Index, keep: u64, bytes: Bytes) -> Index {
        let mut floor = at;
        let mut size = 0;
        while at.get() - floor.get() < keep
            && let Some(entry) = self.get(floor)
        {
            size += entry_size(entry);
            if size > bytes.get() {
                break;
            }
            floor = floor.prev();
        }
        floor
    }

    /// Returns the records of a log file that continues the snapshot.
    pub(crate) fn records(&self) -> Vec<Record> {
        let after = self.entries.iter();
        let after = after.filter(|entry| entry.at.index > self.base_index());
        after.cloned().map(Record::Entry).collect()
    }
}

/// Returns the size of an entry as counted against limits, in bytes.
pub(crate) fn entry_size(entry: &Entry) -> u64 {
    let inner = match &entry.payload {
        Payload::Noop => 0,
        Payload::Command(command) => command.len() as u64,
        Payload::Members(members) => members.all().count() as u64 * ENTRY_OVERHEAD,
    };
    inner + ENTRY_OVERHEAD
}
