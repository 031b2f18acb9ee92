//! A leader's messages to its followers, and the handling of their answers.

use base::Time;

use super::{
    Replica, Role,
    piece::{EntryTransfer, command},
    progress::{Mode, Progress},
};
use crate::{Message, Output, Outputs, Position, ReplicaId, Snapshot, message::Outcome};

impl Replica {
    /// Handles a follower's answer.
    pub(super) fn follower_replied(
        &mut self,
        now: Time,
        from: &ReplicaId,
        message: Message,
        out: &mut Outputs,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let (Message::AppendReply { round, .. }
        | Message::PieceReply { round, .. }
        | Message::ChunkReply { round, .. }) = message
        else {
            return;
        };
        let start = leader.round_start(round);
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        progress.acked = progress.acked.max(start);
        let more = match message {
            Message::AppendReply { outcome, full, .. } => {
                progress.full = full;
                handle_outcome(progress, outcome, self.journal.base())
            }
            Message::PieceReply { at, received, .. } => {
                progress.piece_received(at, received, &self.journal);
                false
            }
            Message::ChunkReply { at, received, .. } => progress.received(at, received),
            _ => false,
        };
        if more {
            self.push_chunk(from, out);
        }
        self.advance_commit(out);
        self.promote(now);
    }

    /// Sends each follower the entries it lacks, within its window.
    pub(super) fn replicate(&mut self, out: &mut Outputs) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        for id in leader.followers() {
            while let Some(message) = self.next_append(&id) {
                send(&id, message, out);
            }
        }
    }

    /// Returns the next message for a follower, if it lacks entries that are written or
    /// being written here and its window has room.
    fn next_append(&mut self, id: &ReplicaId) -> Option<Message> {
        let (term, commit) = (self.term, self.commit);
        let last = self.writes.issued_index();
        let limit = self.settings.raw.message.get();
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let round = leader.round;
        let progress = leader.progress.get_mut(id)?;
        let prev = progress.next.prev();
        let Some(prev_term) = self.journal.term_at(prev) else {
            self.start_snapshot(id);
            return None;
        };
        let prev = Position {
            term: prev_term,
            index: prev,
        };
        let room = progress.bytes_in_flight() < self.settings.raw.window.get();
        if let Mode::Stream { transfer, .. } = &mut progress.mode
            && room
            && prev.index < last
            && let Some(large) = self
                .journal
                .get(prev.index.next())
                .and_then(|e| command(e, limit))
        {
            let (at, command) = large;
            let part = transfer
                .get_or_insert_with(|| EntryTransfer::new(at))
                .next_part(command, limit)?;
            return Some(Message::Piece {
                term,
                incarnation: id.incarnation,
                round,
                prev,
                at,
                total: command.len() as u64,
                offset: part.offset,
                data: part.data,
                commit,
            });
        }
        let entries = match &progress.mode {
            Mode::Probe { sent: false } => Vec::new(),
            Mode::Stream { .. } if room && prev.index < last => {
                self.journal.slice(prev.index, last, limit)
            }
            _ => return None,
        };
        progress.sent(&entries);
        Some(Message::Append {
            term,
            incarnation: id.incarnation,
            round,
            prev,
            entries,
            commit,
        })
    }

    fn start_snapshot(&mut self, id: &ReplicaId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let progress = leader.progress.get_mut(id);
        if let (Some(progress), Some(base)) = (progress, self.journal.base()) {
            progress.start_snapshot(base.clone());
        }
    }

    /// Sends a heartbeat, which also detects lost messages.
    pub(super) fn send_heartbeat(&mut self, id: &ReplicaId, out: &mut Outputs) {
        let (term, commit) = (self.term, self.commit);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(id) else {
            return;
        };
        match &mut progress.mode {
            Mode::Probe { sent } => *sent = true,
            Mode::Stream {
                transfer: Some(transfer),
                ..
            } => transfer.count_heartbeat(),
            Mode::Stream { .. } | Mode::Snapshot { .. } => {}
        }
        let prev = progress.next.prev();
        if let Some(prev_term) = self.journal.term_at(prev)
            && !matches!(progress.mode, Mode::Snapshot { .. })
        {
            let prev = Position {
                term: prev_term,
                index: prev,
            };
            let message = Message::Append {
                term,
                incarnation: id.incarnation,
                round,
                prev,
                entries: Vec::new(),
                commit,
            };
            send(id, message, out);
            return;
        }
        self.start_snapshot(id);
        self.push_chunk(id, out);
    }

    /// Sends the next part of a snapshot to a follower that needs one.
    fn push_chunk(&self, id: &ReplicaId, out: &mut Outputs) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(Progress {
            mode:
                Mode::Snapshot {
                    snapshot,
                    crc,
                    offset,
                },
            ..
        }) = leader.progress.get(id)
        else {
            return;
        };
        let total = snapshot.data.len() as u64;
        let end = total.min(offset + self.settings.raw.message.get());
        let part = &snapshot.data[*offset as usize..end as usize];
        let message = Message::Chunk {
            term: self.term,
            incarnation: id.incarnation,
            round: leader.round,
            at: snapshot.at,
            members: snapshot.members.clone(),
            total,
            crc: *crc,
            offset: *offset,
            data: part.into(),
        };
        send(id, message, out);
    }
}

/// Handles a follower's answer to entries; returns whether the follower now needs the
/// first part of a snapshot.
fn handle_outcome(progress: &mut Progress, outcome: Outcome, base: Option<&Snapshot>) -> bool {
    match (outcome, base) {
        (Outcome::Matched { upto }, _) => progress.acknowledge(upto),
        (Outcome::Conflict { prev, hint }, _) => progress.conflict(prev, hint),
        (Outcome::Empty, Some(base)) => return progress.start_snapshot(base.clone()),
        (Outcome::Empty, None) => {}
    }
    false
}

fn send(to: &ReplicaId, message: Message, out: &mut Outputs) {
    out.push(Output::Send {
        to: to.instance.clone(),
        message,
    });
}
