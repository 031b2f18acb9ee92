//! An entry that is too large for one message: cut by the leader, joined by the
//! follower.
//!
//! A message may take half a second on its way. An entry of megabytes on a link that
//! is slower than usual takes longer, and was sent anew without end. In parts it
//! takes as long as it needs, while heartbeats pass between them.

use super::{
    Replica,
    progress::{Mode, Progress},
};
use crate::{
    Blob, Entry, Index, Message, Output, Outputs, Payload, Position, ReplicaId,
    journal::{Journal, entry_size},
    message::Outcome,
};

/// Heartbeats after which a part without an answer is sent again; a message that
/// takes longer than an election timeout is lost.
const RESEND_BEATS: u32 = 5;

/// The largest command that a follower collects in memory, in bytes.
const COMMAND_MAX: u64 = 64 << 20;

/// An entry on its way to a follower, part by part.
#[derive(Clone, Debug)]
pub(crate) struct Cut {
    /// The entry.
    pub(crate) at: Position,
    /// Bytes of its command that the follower has.
    offset: u64,
    /// Heartbeats since the part at `offset` was sent; nothing while it wasn't.
    beats: Option<u32>,
}

/// A part of a command.
pub(super) struct Part {
    pub(super) offset: u64,
    pub(super) data: Blob,
}

/// A large entry as it arrives at a follower.
#[derive(Clone, Debug)]
pub(super) struct Partial {
    at: Position,
    data: Vec<u8>,
}

/// One part of a large entry as it arrives.
pub(super) struct Piece {
    pub(super) prev: Position,
    pub(super) at: Position,
    pub(super) total: u64,
    pub(super) offset: u64,
    pub(super) data: Blob,
    pub(super) commit: Index,
}

/// Returns the command of an entry that doesn't fit a message of `limit` bytes.
pub(super) fn command(entry: &Entry, limit: u64) -> Option<(Position, &Blob)> {
    match &entry.payload {
        Payload::Command(command) if entry_size(entry) > limit => Some((entry.at, command)),
        _ => None,
    }
}

impl Cut {
    pub(super) fn new(at: Position) -> Self {
        Cut {
            at,
            offset: 0,
            beats: None,
        }
    }

    /// Returns the next part of at most `limit` bytes; nothing while an answer to the
    /// one before is awaited.
    pub(super) fn next_part(&mut self, command: &Blob, limit: u64) -> Option<Part> {
        if self.beats.is_some() {
            return None;
        }
        self.beats = Some(0);
        let end = (self.offset + limit).min(command.len() as u64);
        Some(Part {
            offset: self.offset,
            data: command[self.offset as usize..end as usize].into(),
        })
    }

    /// Counts a heartbeat; a part that was not answered for long goes again.
    pub(super) fn beat(&mut self) {
        self.beats = match self.beats {
            Some(beats) if beats >= RESEND_BEATS => {
                base::hit!(piece_sent_again);
                None
            }
            Some(beats) => Some(beats + 1),
            None => None,
        };
    }
}

impl Progress {
    /// Takes the word that the first `received` bytes of a large entry have arrived.
    ///
    /// A doubled answer sends nothing, and one that says less than another before is
    /// followed only if the part isn't answered at all: it may just be late.
    pub(super) fn piece_received(&mut self, from: Position, received: u64, journal: &Journal) {
        let Mode::Stream { cut, .. } = &mut self.mode else {
            return;
        };
        let Some(cut) = cut.as_mut().filter(|cut| cut.at == from) else {
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
        if received > cut.offset {
            cut.beats = None;
        }
        cut.offset = received;
        if received == total {
            self.sent(std::slice::from_ref(entry));
        }
    }
}

impl Replica {
    /// Takes a part of a large entry from the leader.
    pub(super) fn piece(&mut self, from: &ReplicaId, round: u64, piece: Piece, out: &mut Outputs) {
        let known = self.journal.term_at(piece.at.index) == Some(piece.at.term);
        let outcome = self.append(piece.prev, Vec::new(), piece.commit, out);
        if !matches!(outcome, Outcome::Matched { .. }) || piece.total > COMMAND_MAX {
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

    /// Adds a part to the entry that is arriving; returns how much of it has come.
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

    /// Returns the entry that is whole now.
    fn joined(&mut self, piece: &Piece) -> Option<Entry> {
        let partial = self.follow.partial.take()?;
        (partial.at == piece.at).then(|| Entry {
            at: piece.at,
            payload: Payload::Command(partial.data.into()),
        })
    }
}
