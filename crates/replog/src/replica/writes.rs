//! What is on its way to the disk, and what waits for it.

use std::collections::VecDeque;

use base::InstanceName;

use crate::{Index, Message, Output, Outputs, Record, Snapshot, WriteNo};

/// Numbers the writes of one replica and holds back what they have to
/// precede.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    /// Records of the write that is being put together.
    pending: Vec<Record>,
    /// Whether `pending` holds more than proposed entries.
    urgent: bool,
    /// The last write handed out.
    issued: WriteNo,
    /// The last entry handed out for writing.
    issued_index: Index,
    /// Writes without an acknowledgement, with the last entry after each.
    flying: VecDeque<(WriteNo, Index)>,
    /// The last entry on disk.
    durable: Index,
    /// Messages that may leave only after a write.
    held: VecDeque<(WriteNo, InstanceName, Message)>,
}

impl Writes {
    /// Starts with all up to `durable` on disk.
    pub(crate) fn new(durable: Index) -> Self {
        Writes {
            durable,
            issued_index: durable,
            ..Writes::default()
        }
    }

    /// The last entry on disk.
    pub(crate) fn durable(&self) -> Index {
        self.durable
    }

    /// The last entry on disk or on its way there.
    pub(crate) fn issued_index(&self) -> Index {
        self.issued_index
    }

    /// Tells whether all that was decided so far is on disk.
    pub(crate) fn clean(&self) -> bool {
        self.pending.is_empty() && self.flying.is_empty()
    }

    /// Tells whether proposals had better wait, to share the next write.
    pub(crate) fn busy(&self) -> bool {
        !self.urgent && !self.flying.is_empty()
    }

    /// Adds a record that has to be written at once.
    pub(crate) fn push(&mut self, record: Record) {
        self.pending.push(record);
        self.urgent = true;
    }

    /// Adds a proposed entry, which may wait for others.
    pub(crate) fn propose(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// The entries at and after `index` are gone from memory.
    pub(crate) fn truncate(&mut self, index: Index) {
        let left = index.prev();
        self.durable = self.durable.min(left);
        self.issued_index = self.issued_index.min(left);
        for (_, last) in &mut self.flying {
            *last = (*last).min(left);
        }
    }

    /// Sends `message` once all that was decided so far is on disk.
    pub(crate) fn send_after(&mut self, to: InstanceName, message: Message, out: &mut Outputs) {
        if self.clean() {
            out.push(Output::Send { to, message });
            return;
        }
        base::hit!(held_for_sync);
        self.held.push_back((self.current(), to, message));
    }

    /// The number that covers all that was decided so far.
    pub(crate) fn current(&self) -> WriteNo {
        if self.pending.is_empty() {
            return self.issued;
        }
        self.issued.next()
    }

    /// Hands out what is pending; `last` is the end of the log after it.
    pub(crate) fn flush(&mut self, last: Index, out: &mut Outputs) {
        if self.pending.is_empty() {
            return;
        }
        let no = self.number(last);
        let records = std::mem::take(&mut self.pending);
        out.push(Output::Write { no, records });
    }

    /// Hands out a write that replaces all files; it covers what is pending.
    pub(crate) fn rewrite(
        &mut self,
        last: Index,
        snapshot: Snapshot,
        records: Vec<Record>,
        out: &mut Outputs,
    ) {
        self.pending.clear();
        let no = self.number(last);
        out.push(Output::Rewrite {
            no,
            snapshot,
            records,
        });
    }

    /// Takes the acknowledgement of all writes up to `upto`, and sends what
    /// waited for them.
    pub(crate) fn synced(&mut self, upto: WriteNo, out: &mut Outputs) {
        while let Some((no, last)) = self.flying.front().copied()
            && no <= upto
        {
            self.durable = last;
            self.flying.pop_front();
        }
        while let Some((no, ..)) = self.held.front()
            && *no <= upto
        {
            if let Some((_, to, message)) = self.held.pop_front() {
                out.push(Output::Send { to, message });
            }
        }
    }

    fn number(&mut self, last: Index) -> WriteNo {
        self.issued = self.issued.next();
        self.issued_index = last;
        self.urgent = false;
        self.flying.push_back((self.issued, last));
        self.issued
    }
}
