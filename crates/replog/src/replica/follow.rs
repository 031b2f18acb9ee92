//! A follower: takes entries and snapshots from the leader.

use base::{Bytes, Time};

use super::{
    Replica, Role,
    piece::{Partial, Piece},
};
use crate::{
    Blob, Entry, Index, Members, Message, Output, Outputs, Position, Record, ReplicaId, Snapshot,
    Term, message::Outcome,
};

/// The largest snapshot that a follower collects in memory, in bytes. The
/// size to design for needs a few MB; a larger total is a malformed message.
const SNAPSHOT_MAX: u64 = 64 << 20;

/// What a follower knows of its leader's log in the present term.
#[derive(Clone, Debug, Default)]
pub(crate) struct Follow {
    /// The last entry known to agree with the leader's.
    agree: Index,
    /// The newest round heard of.
    round: u64,
    /// Whether the leader's log begins where this one does.
    based: bool,
    /// The snapshot that is arriving.
    incoming: Option<Incoming>,
    /// The large entry that is arriving.
    pub(super) partial: Option<Partial>,
}

#[derive(Clone, Debug)]
struct Incoming {
    at: Position,
    crc: u32,
    data: Vec<u8>,
}

/// One part of a snapshot as it arrives.
struct Chunk {
    at: Position,
    members: Members,
    total: u64,
    crc: u32,
    offset: u64,
    data: Blob,
}

impl Replica {
    /// Takes `from` as the leader of `term`; returns whether it is.
    pub(super) fn obey(
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
        self.rearm(now);
        true
    }

    /// Takes entries or a part of a snapshot from the leader.
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

    /// Tells the leader how far its log is on this disk, after a sync.
    pub(super) fn report_durable(&mut self, out: &mut Outputs) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        if self.follow.agree > Index(0) {
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
        // The founding members of a log that came to nothing would let this
        // replica vote before it has caught up; the leader's replace them.
        if self.unstarted() && !self.follow.based {
            base::hit!(base_from_leader);
            return Outcome::Empty;
        }
        // What is committed here is the same everywhere, also where it was
        // compacted away and its term is no longer known.
        let known = prev.index <= self.commit;
        if !known && self.journal.term_at(prev.index) != Some(prev.term) {
            return self.conflict(prev);
        }
        let end = Index(prev.index.get().saturating_add(entries.len() as u64));
        for entry in entries {
            self.take_entry(entry);
        }
        self.follow.agree = self.follow.agree.max(end);
        self.commit = self.commit.max(commit.min(self.follow.agree));
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

    /// Says where to look next: before all entries of the term that doesn't
    /// fit, so that one message skips a whole term.
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

    /// Entries count only once they are on disk: an acknowledgement that a
    /// crash makes untrue would let an accepted change vanish.
    fn matched(&self) -> Outcome {
        Outcome::Matched {
            upto: self.follow.agree.min(self.writes.durable()),
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
            self.follow.based = true;
            self.follow.agree = self.follow.agree.max(chunk.at.index);
            let outcome = self.matched();
            self.reply_append(from, round, outcome, out);
            return;
        }
        if chunk.total > SNAPSHOT_MAX {
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

    /// Tells whether the log holds all that the snapshot does.
    fn has(&self, chunk: &Chunk) -> bool {
        let same = self.journal.members() == Some(&chunk.members);
        chunk.at.index <= self.commit && (!self.unstarted() || same)
    }

    /// Adds a part to the snapshot that is arriving; returns its length.
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
        self.follow.based = true;
        self.asked = None;
        self.grown = Bytes(0);
        self.commit = index;
        self.applied = index;
        self.follow.agree = self.follow.agree.max(index);
        self.rewrite(out);
        if index > Index(0) {
            out.push(Output::Restore { index, data });
        }
        self.members_committed(&chunk.members, out);
    }
}
