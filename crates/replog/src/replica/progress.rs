//! What a leader knows of one follower.

use std::collections::VecDeque;

use base::Time;

use super::piece::Cut;
use crate::{Entry, Index, Position, Snapshot, journal::entry_size};

/// How a leader sends to one follower.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// It looks for the place where the logs agree, one message at a time.
    Probe {
        /// Whether a message went out since the last heartbeat.
        sent: bool,
    },
    /// It sends ahead of the acknowledgements, within a window.
    Stream {
        /// The last entry of each message on its way, and its bytes.
        flying: VecDeque<(Index, u64)>,
        /// The next entry, while it goes in parts.
        cut: Option<Cut>,
    },
    /// It sends a snapshot, chunk by chunk.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Its checksum.
        crc: u32,
        /// How much the follower has.
        offset: u64,
    },
}

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last entry on the follower's disk that agrees.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// When the newest round that it has answered began.
    pub(crate) acked: Option<Time>,
    /// Whether its disk is full.
    pub(crate) full: bool,
    /// Since when the leader sends to it.
    pub(crate) since: Time,
}

impl Progress {
    /// Starts with the guess that the follower has all up to `last`.
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

    /// The bytes on their way.
    pub(crate) fn flying(&self) -> u64 {
        match &self.mode {
            Mode::Stream { flying, .. } => flying.iter().map(|(_, size)| size).sum(),
            _ => 0,
        }
    }

    /// Notes a message with `entries` as sent.
    pub(crate) fn sent(&mut self, entries: &[Entry]) {
        match &mut self.mode {
            Mode::Probe { sent } => *sent = true,
            Mode::Stream { flying, cut } => {
                *cut = None;
                let size = entries.iter().map(entry_size).sum();
                self.next = Index(self.next.get() + entries.len() as u64);
                flying.push_back((self.next.prev(), size));
            }
            Mode::Snapshot { .. } => {}
        }
    }

    /// Takes the acknowledgement of all entries up to `upto`.
    pub(crate) fn agree(&mut self, upto: Index) {
        self.matched = self.matched.max(upto);
        self.next = self.next.max(self.matched.next());
        let reached = |snapshot: &Snapshot| self.matched >= snapshot.at.index;
        match &mut self.mode {
            Mode::Stream { flying, cut } => {
                flying.retain(|(last, _)| *last > upto);
                cut.take_if(|cut| cut.at.index <= upto);
            }
            Mode::Probe { .. } => self.stream(),
            Mode::Snapshot { snapshot, .. } if reached(snapshot) => self.stream(),
            Mode::Snapshot { .. } => {}
        }
    }

    /// Takes the word that the entry at `prev` is not there.
    pub(crate) fn conflict(&mut self, prev: Index, hint: Index) {
        let stale = prev <= self.matched || prev >= self.next;
        if stale || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next = hint.max(self.matched).next().min(prev);
        self.mode = Mode::Probe { sent: false };
    }

    /// Sends `snapshot` from now on, unless one is on its way or the follower
    /// has a log; returns whether it does.
    pub(crate) fn give(&mut self, snapshot: Snapshot) -> bool {
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

    /// Takes the word that the first `received` bytes of a snapshot have
    /// arrived; returns whether the next part may follow at once.
    ///
    /// A doubled answer sends nothing: each would begin another row of parts.
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
            flying: VecDeque::new(),
            cut: None,
        };
    }
}
