//! Writes in flight to the disk, and messages that wait for them.

use std::collections::VecDeque;

use base::InstanceName;

use crate::{Index, Message, Output, Outputs, Record, Snapshot, WriteNo};

/// Numbers the writes of one replica and holds back messages until the writes they depend
/// on are durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    /// Records of the next write.
    pending: Vec<Record>,
    /// Whether `pending` holds records that must not wait, that is, others than proposed
    /// entries.
    urgent: bool,
    /// The last write issued.
    issued: WriteNo,
    /// The last entry issued for writing.
    issued_index: Index,
    /// Unacknowledged writes, each with the last entry of the log after it.
    in_flight: VecDeque<(WriteNo, Index)>,
    /// The last entry on disk.
    durable: Index,
    /// Messages that are sent once a write is durable.
    held: VecDeque<(WriteNo, InstanceName, Message)>,
}

impl Writes {
    /// Creates the state of a replica whose entries up to `durable` are on disk.
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

    /// Returns the last entry that is on disk or in flight to it.
    pub(crate) fn issued_index(&self) -> Index {
        self.issued_index
    }

    /// Returns whether nothing is pending or in flight.
    pub(crate) fn all_durable(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_empty()
    }

    /// Returns whether proposals should wait to share the next write.
    pub(crate) fn should_batch(&self) -> bool {
        !self.urgent && !self.in_flight.is_empty()
    }

    /// Adds a record that is written without delay.
    pub(crate) fn push(&mut self, record: Record) {
        self.pending.push(record);
        self.urgent = true;
    }

    /// Adds a proposed entry, which may wait to be written with others.
    pub(crate) fn propose(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// Accounts for the removal of the entries from `index` on from memory.
    pub(crate) fn truncate(&mut self, index: Index) {
        let left = index.prev();
        self.durable = self.durable.min(left);
        self.issued_index = self.issued_index.min(left);
        for (_, last) in &mut self.in_flight {
            *last = (*last).min(left);
        }
    }

    /// Sends `message` once all records added so far are on disk.
    pub(crate) fn send_after(&mut self, to: InstanceName, message: Message, out: &mut Outputs) {
        if self.all_durable() {
            out.push(Output::Send { to, message });
            return;
        }
        base::hit!(held_for_sync);
        self.held.push_back((self.current(), to, message));
    }

    /// Returns the number of the write that covers all records added so far.
    pub(crate) fn current(&self) -> WriteNo {
        if self.pending.is_empty() {
            return self.issued;
        }
        self.issued.next()
    }

    /// Issues the pending records as a write; `last` is the end of the log after it.
    pub(crate) fn flush(&mut self, last: Index, out: &mut Outputs) {
        if self.pending.is_empty() {
            return;
        }
        let no = self.number(last);
        let records = std::mem::take(&mut self.pending);
        out.push(Output::Write { no, records });
    }

    /// Issues a write that replaces all files; it includes what is pending.
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

    /// Handles the acknowledgement of all writes up to `upto`, and sends the messages
    /// that waited for them.
    pub(crate) fn synced(&mut self, upto: WriteNo, out: &mut Outputs) {
        while let Some((no, last)) = self.in_flight.front().copied()
            && no <= upto
        {
            self.durable = last;
            self.in_flight.pop_front();
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
        self.in_flight.push_back((self.issued, last));
        self.issued
    }
}
