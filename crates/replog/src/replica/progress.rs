//! A leader's view of one follower's replication progress.

use std::collections::VecDeque;

use base::Time;

use super::piece::EntryTransfer;
use crate::{Entry, Index, Position, Snapshot, journal::entry_size};

/// How a leader replicates to one follower.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// Searches the index up to which the logs agree, one message at a time.
    Probe {
        /// Whether a message was sent since the last heartbeat.
        sent: bool,
    },
    /// Sends entries ahead of acknowledgements, within a window.
    Stream {
        /// For each message in flight, its last entry and its size in bytes.
        in_flight: VecDeque<(Index, u64)>,
        /// The transfer of the next entry, if that is sent in parts.
        transfer: Option<EntryTransfer>,
    },
    /// Sends a snapshot, chunk by chunk.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// CRC-32 of the snapshot.
        crc: u32,
        /// Bytes that the follower has received.
        offset: u64,
    },
}

/// A leader's view of one follower's replication progress.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last matching entry on the follower's disk.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// Start of the newest heartbeat round that the follower has answered.
    pub(crate) acked: Option<Time>,
    /// Whether the follower's disk is full.
    pub(crate) full: bool,
    /// When the leader began to replicate to it.
    pub(crate) since: Time,
}

impl Progress {
    /// Starts from the assumption that the follower has all entries up to `last`.
    pub(crate) fn new(last: Index, since: Time) -> Self {
        Progress {
            matched: Index(0),
            next: last.next(),
            mode: Mode::Probe { sent: false },
            acked: None,
            full: false,
            since,
        }
    }

    /// Returns the bytes in flight.
    pub(crate) fn bytes_in_flight(&self) -> u64 {
        match &self.mode {
            Mode::Stream { in_flight, .. } => in_flight.iter().map(|(_, size)| size).sum(),
            _ => 0,
        }
    }

    /// Records that a message with `entries` was sent.
    pub(crate) fn sent(&mut self, entries: &[Entry]) {
        match &mut self.mode {
            Mode::Probe { sent } => *sent = true,
            Mode::Stream {
                in_flight,
                transfer,
            } => {
                *transfer = None;
                let size = entries.iter().map(entry_size).sum();
                self.next = Index(self.next.get() + entries.len() as u64);
                in_flight.push_back((self.next.prev(), size));
            }
            Mode::Snapshot { .. } => {}
        }
    }

    /// Handles the acknowledgement of all entries up to `upto`.
    pub(crate) fn acknowledge(&mut self, upto: Index) {
        self.matched = self.matched.max(upto);
        self.next = self.next.max(self.matched.next());
        let reached = |snapshot: &Snapshot| self.matched >= snapshot.at.index;
        match &mut self.mode {
            Mode::Stream {
                in_flight,
                transfer,
            } => {
                in_flight.retain(|(last, _)| *last > upto);
                transfer.take_if(|transfer| transfer.at.index <= upto);
            }
            Mode::Probe { .. } => self.stream(),
            Mode::Snapshot { snapshot, .. } if reached(snapshot) => self.stream(),
            Mode::Snapshot { .. } => {}
        }
    }

    /// Handles a conflict: the entry at `prev` is not in the follower's log.
    pub(crate) fn conflict(&mut self, prev: Index, hint: Index) {
        let stale = prev <= self.matched || prev >= self.next;
        if stale || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next = hint.max(self.matched).next().min(prev);
        self.mode = Mode::Probe { sent: false };
    }

    /// Switches to sending `snapshot`, unless a snapshot is already being sent or the
    /// follower's log reaches beyond it; returns whether it switched.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let under_way = matches!(self.mode, Mode::Snapshot { .. });
        if under_way || self.matched > snapshot.at.index {
            return false;
        }
        self.mode = Mode::Snapshot {
            crc: crc32fast::hash(&snapshot.data),
            snapshot,
            offset: 0,
        };
        true
    }

    /// Handles the acknowledgement of the first `received` bytes of a snapshot; returns
    /// whether to send the next part at once.
    ///
    /// A duplicate answer triggers no send: each one would start another sequence of
    /// parts.
    pub(crate) fn received(&mut self, from: Position, received: u64) -> bool {
        let Mode::Snapshot {
            snapshot, offset, ..
        } = &mut self.mode
        else {
            return false;
        };
        let total = snapshot.data.len() as u64;
        if snapshot.at != from || received > total {
            return false;
        }
        let news = received > *offset;
        *offset = received;
        news && received < total
    }

    fn stream(&mut self) {
        self.next = self.matched.next();
        self.mode = Mode::Stream {
            in_flight: VecDeque::new(),
            transfer: None,
        };
    }
}
