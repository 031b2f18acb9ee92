//! Follower: receives entries and snapshots from the leader.

use base::{Bytes, Time};

use super::{
    Replica, Role,
    piece::{Partial, Piece},
};
use crate::{
    Blob, Entry, Index, Members, Message, Output, Outputs, Position, Record, ReplicaId, Snapshot,
    Term, message::Outcome,
};

/// The largest snapshot that a follower collects in memory, in bytes. Snapshots at the
/// intended scale take a few MB; a larger total is treated as a malformed message.
const SNAPSHOT_MAX_BYTES: u64 = 64 << 20;

/// A follower's view of the leader's log in the current term.
#[derive(Clone, Debug, Default)]
pub(crate) struct Follow {
    /// The last entry known to match the leader's log.
    matched: Index,
    /// The newest heartbeat round received.
    round: u64,
    /// Whether this log starts from a snapshot of the current leader.
    has_base: bool,
    /// The snapshot being received.
    incoming: Option<Incoming>,
    /// The large entry being received.
    pub(super) partial: Option<Partial>,
}

#[derive(Clone, Debug)]
struct Incoming {
    at: Position,
    crc: u32,
    data: Vec<u8>,
}

/// A received part of a snapshot.
struct Chunk {
    at: Position,
    members: Members,
    total: u64,
    crc: u32,
    offset: u64,
    data: Blob,
}

impl Replica {
    /// Accepts `from` as the leader of `term`; returns whether it was accepted.
    pub(super) fn accept_leader(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        out: &mut Outputs,
    ) -> bool {
        if term < self.term {
            self.reply_append(from, 0, Outcome::Empty, out);
            return false;
        }
        if term == self.term && matches!(self.role, Role::Leader(_)) {
            return false;
        }
        self.become_follower(now, term, Some(from.clone()), out);
        self.heard = Some(now);
        self.reset_election_timer(now);
        true
    }

    /// Handles entries or a part of a snapshot or of a large entry from the leader.
    pub(super) fn follow(&mut self, from: &ReplicaId, message: Message, out: &mut Outputs) {
        match message {
            Message::Append {
                round,
                prev,
                entries,
                commit,
                ..
            } => {
                self.follow.round = self.follow.round.max(round);
                let outcome = self.append(prev, entries, commit, out);
                self.reply_append(from, round, outcome, out);
            }
            Message::Chunk {
                round,
                at,
                members,
                total,
                crc,
                offset,
                data,
                ..
            } => {
                self.follow.round = self.follow.round.max(round);
                let chunk = Chunk {
                    at,
                    members,
                    total,
                    crc,
                    offset,
                    data,
                };
                self.chunk(from, round, chunk, out);
            }
            Message::Piece {
                round,
                prev,
                at,
                total,
                offset,
                data,
                commit,
                ..
            } => {
                self.follow.round = self.follow.round.max(round);
                let piece = Piece {
                    prev,
                    at,
                    total,
                    offset,
                    data,
                    commit,
                };
                self.piece(from, round, piece, out);
            }
            _ => {}
        }
    }

    /// Reports to the leader how far its log is durable here, after a sync.
    pub(super) fn report_durable(&mut self, out: &mut Outputs) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        if self.follow.matched > Index(0) {
            let outcome = self.matched();
            self.reply_append(&leader, self.follow.round, outcome, out);
        }
    }

    pub(super) fn append(
        &mut self,
        prev: Position,
        entries: Vec<Entry>,
        commit: Index,
        out: &mut Outputs,
    ) -> Outcome {
        // The initial membership of a log that was never started would let this replica
        // vote before it has caught up; the leader's snapshot replaces it.
        if self.log_is_empty() && !self.follow.has_base {
            base::hit!(base_from_leader);
            return Outcome::Empty;
        }
        // Committed entries are identical on all replicas, also where they have been
        // compacted and their term is no longer known.
        let known = prev.index <= self.commit;
        if !known && self.journal.term_at(prev.index) != Some(prev.term) {
            return self.conflict(prev);
        }
        let end = Index(prev.index.get().saturating_add(entries.len() as u64));
        for entry in entries {
            self.take_entry(entry);
        }
        self.follow.matched = self.follow.matched.max(end);
        self.commit = self.commit.max(commit.min(self.follow.matched));
        self.apply(out);
        self.matched()
    }

    fn take_entry(&mut self, entry: Entry) {
        let index = entry.at.index;
        let known = self.journal.term_at(index) == Some(entry.at.term);
        if index <= self.commit || known {
            return;
        }
        if index <= self.journal.last().index {
            self.journal.truncate(index);
            self.writes.truncate(index);
        }
        self.writes.push(Record::Entry(entry.clone()));
        self.journal.append(entry);
    }

    /// Returns a conflict with a hint where to probe next: before all entries of the
    /// conflicting term, so that one message skips a whole term.
    fn conflict(&self, prev: Position) -> Outcome {
        let last = self.journal.last().index;
        let hint = if last < prev.index {
            last
        } else {
            self.journal.term_start(prev.index).prev()
        };
        Outcome::Conflict {
            prev: prev.index,
            hint: hint.max(self.commit),
        }
    }

    /// Reports only entries that are on disk: an acknowledgement that a crash makes
    /// untrue could lose a committed change.
    fn matched(&self) -> Outcome {
        Outcome::Matched {
            upto: self.follow.matched.min(self.writes.durable()),
        }
    }

    pub(super) fn reply_append(
        &self,
        to: &ReplicaId,
        round: u64,
        outcome: Outcome,
        out: &mut Outputs,
    ) {
        out.push(Output::Send {
            to: to.instance.clone(),
            message: Message::AppendReply {
                term: self.term,
                round,
                outcome,
                full: self.full,
            },
        });
    }

    fn chunk(&mut self, from: &ReplicaId, round: u64, chunk: Chunk, out: &mut Outputs) {
        if self.has(&chunk) {
            self.follow.has_base = true;
            self.follow.matched = self.follow.matched.max(chunk.at.index);
            let outcome = self.matched();
            self.reply_append(from, round, outcome, out);
            return;
        }
        if chunk.total > SNAPSHOT_MAX_BYTES {
            return;
        }
        let at = chunk.at;
        let received = self.collect(&chunk);
        if received == chunk.total {
            self.install(chunk, out);
        }
        out.push(Output::Send {
            to: from.instance.clone(),
            message: Message::ChunkReply {
                term: self.term,
                round,
                at,
                received,
            },
        });
    }

    /// Returns whether the log already holds everything that the snapshot covers.
    fn has(&self, chunk: &Chunk) -> bool {
        let same = self.journal.members() == Some(&chunk.members);
        chunk.at.index <= self.commit && (!self.log_is_empty() || same)
    }

    /// Appends a part to the snapshot being received; returns the bytes received so far.
    fn collect(&mut self, chunk: &Chunk) -> u64 {
        let fresh = || Incoming {
            at: chunk.at,
            crc: chunk.crc,
            data: Vec::new(),
        };
        let incoming = self.follow.incoming.get_or_insert_with(fresh);
        if (incoming.at, incoming.crc) != (chunk.at, chunk.crc) {
            *incoming = fresh();
        }
        let end = chunk.offset.saturating_add(chunk.data.len() as u64);
        if incoming.data.len() as u64 == chunk.offset && end <= chunk.total {
            incoming.data.extend_from_slice(&chunk.data);
        }
        incoming.data.len() as u64
    }

    fn install(&mut self, chunk: Chunk, out: &mut Outputs) {
        let Some(incoming) = self.follow.incoming.take() else {
            return;
        };
        if crc32fast::hash(&incoming.data) != chunk.crc {
            return;
        }
        let index = chunk.at.index;
        let data = Blob::from(incoming.data);
        let kept = self.journal.install(Snapshot {
            at: chunk.at,
            members: chunk.members.clone(),
            data: data.clone(),
        });
        if !kept {
            self.writes.truncate(self.commit.next());
        }
        self.follow.has_base = true;
        self.pending_snapshot = None;
        self.applied_bytes = Bytes(0);
        self.commit = index;
        self.applied = index;
        self.follow.matched = self.follow.matched.max(index);
        self.rewrite(out);
        if index > Index(0) {
            out.push(Output::Restore { index, data });
        }
        self.members_committed(&chunk.members, out);
    }
}
