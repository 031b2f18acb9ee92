//! Transfer of entries that are too large for one message: split by the leader, joined by
//! the follower.
//!
//! A message is dropped if its delivery takes longer than half a second. An entry of
//! megabytes on a slow link takes longer and would be resent forever. Sent in parts, it
//! may take as long as the link needs, and heartbeats pass between the parts.

use super::{
    Replica,
    progress::{Mode, Progress},
};
use crate::{
    Blob, Entry, Index, Message, Output, Outputs, Payload, Position, ReplicaId,
    journal::{Journal, entry_size},
    message::Outcome,
};

/// Heartbeats after which an unanswered part is resent; a message that takes longer than
/// an election timeout counts as lost.
const RESEND_HEARTBEATS: u32 = 5;

/// The largest command that a follower collects in memory, in bytes.
const COMMAND_MAX_BYTES: u64 = 64 << 20;

/// A transfer of an entry to a follower, part by part.
#[derive(Clone, Debug)]
pub(crate) struct EntryTransfer {
    /// The position of the entry.
    pub(crate) at: Position,
    /// Bytes of its command that the follower has received.
    offset: u64,
    /// Heartbeats since the part at `offset` was sent; `None` if it is not sent yet.
    heartbeats: Option<u32>,
}

/// A part of a command.
pub(super) struct Part {
    pub(super) offset: u64,
    pub(super) data: Blob,
}

/// A large entry being received by a follower.
#[derive(Clone, Debug)]
pub(super) struct Partial {
    at: Position,
    data: Vec<u8>,
}

/// A received part of a large entry.
pub(super) struct Piece {
    pub(super) prev: Position,
    pub(super) at: Position,
    pub(super) total: u64,
    pub(super) offset: u64,
    pub(super) data: Blob,
    pub(super) commit: Index,
}

/// Returns position and command of an entry that doesn't fit a message of `limit` bytes.
pub(super) fn command(entry: &Entry, limit: u64) -> Option<(Position, &Blob)> {
    match &entry.payload {
        Payload::Command(command) if entry_size(entry) > limit => Some((entry.at, command)),
        _ => None,
    }
}

impl EntryTransfer {
    pub(super) fn new(at: Position) -> Self {
        EntryTransfer {
            at,
            offset: 0,
            heartbeats: None,
        }
    }

    /// Returns the next part of at most `limit` bytes; `None` while the previous one is
    /// unanswered.
    pub(super) fn next_part(&mut self, command: &Blob, limit: u64) -> Option<Part> {
        if self.heartbeats.is_some() {
            return None;
        }
        self.heartbeats = Some(0);
        let end = (self.offset + limit).min(command.len() as u64);
        Some(Part {
            offset: self.offset,
            data: command[self.offset as usize..end as usize].into(),
        })
    }

    /// Counts a heartbeat, and schedules a resend of a part that has been unanswered for
    /// too long.
    pub(super) fn count_heartbeat(&mut self) {
        self.heartbeats = match self.heartbeats {
            Some(heartbeats) if heartbeats >= RESEND_HEARTBEATS => {
                base::hit!(piece_sent_again);
                None
            }
            Some(heartbeats) => Some(heartbeats + 1),
            None => None,
        };
    }
}

impl Progress {
    /// Handles the acknowledgement of the first `received` bytes of a large entry.
    ///
    /// A duplicate answer triggers no send. An answer with fewer bytes than an earlier
    /// one may just be delayed: it sets the offset, but a resend only follows if the
    /// outstanding part stays unanswered.
    pub(super) fn piece_received(&mut self, from: Position, received: u64, journal: &Journal) {
        let Mode::Stream { transfer, .. } = &mut self.mode else {
            return;
        };
        let Some(transfer) = transfer.as_mut().filter(|transfer| transfer.at == from) else {
            return;
        };
        let entry = journal.get(from.index).filter(|entry| entry.at == from);
        let Some(entry) = entry else {
            return;
        };
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let total = command.len() as u64;
        if received > total {
            return;
        }
        if received > transfer.offset {
            transfer.heartbeats = None;
        }
        transfer.offset = received;
        if received == total {
            self.sent(std::slice::from_ref(entry));
        }
    }
}

impl Replica {
    /// Handles a part of a large entry from the leader.
    pub(super) fn piece(&mut self, from: &ReplicaId, round: u64, piece: Piece, out: &mut Outputs) {
        let known = self.journal.term_at(piece.at.index) == Some(piece.at.term);
        let outcome = self.append(piece.prev, Vec::new(), piece.commit, out);
        if !matches!(outcome, Outcome::Matched { .. }) || piece.total > COMMAND_MAX_BYTES {
            self.reply_append(from, round, outcome, out);
            return;
        }
        let received = if known {
            piece.total
        } else {
            self.collect_piece(&piece)
        };
        out.push(Output::Send {
            to: from.instance.clone(),
            message: Message::PieceReply {
                term: self.term,
                round,
                at: piece.at,
                received,
            },
        });
        if received < piece.total {
            return;
        }
        let outcome = if known {
            self.append(piece.at, Vec::new(), piece.commit, out)
        } else {
            let entries = self.joined(&piece).into_iter().collect();
            self.append(piece.prev, entries, piece.commit, out)
        };
        self.reply_append(from, round, outcome, out);
    }

    /// Appends a part to the entry being received; returns the bytes received so far.
    fn collect_piece(&mut self, piece: &Piece) -> u64 {
        let partial = &mut self.follow.partial;
        if partial.as_ref().is_some_and(|other| other.at != piece.at) {
            *partial = None;
        }
        let partial = partial.get_or_insert_with(|| Partial {
            at: piece.at,
            data: Vec::new(),
        });
        let come = partial.data.len() as u64;
        if come == piece.offset && come + piece.data.len() as u64 <= piece.total {
            partial.data.extend_from_slice(&piece.data);
        }
        partial.data.len() as u64
    }

    /// Returns the entry once all of its parts have been received.
    fn joined(&mut self, piece: &Piece) -> Option<Entry> {
        let partial = self.follow.partial.take()?;
        (partial.at == piece.at).then(|| Entry {
            at: piece.at,
            payload: Payload::Command(partial.data.into()),
        })
    }
}
