//! A fake disk that keeps synced writes and loses the others in a crash.

use std::collections::VecDeque;

use replog::{
    Record, ReplicaId, Restored, Snapshot, Tail, WriteNo, encode_first_log, encode_frame,
    encode_next_log, encode_snapshot, recover, recover_snapshot,
};

#[derive(Clone, Debug)]
enum Op {
    Append(Vec<u8>),
    Replace { snapshot: Vec<u8>, log: Vec<u8> },
}

/// The files of one replica, encoded by the production codec.
#[derive(Clone, Debug)]
pub struct FakeDisk {
    id: ReplicaId,
    snapshot: Option<Vec<u8>>,
    log: Vec<u8>,
    /// Offset of the last synced frame.
    last_frame: usize,
    /// Number of the next frame.
    seq: u64,
    unsynced: VecDeque<(WriteNo, Op)>,
    /// Whether the next sync fails.
    pub fail_next_sync: bool,
}

impl FakeDisk {
    /// Returns a disk with an empty log for `id`.
    #[must_use]
    pub fn new(id: ReplicaId) -> Self {
        FakeDisk {
            snapshot: None,
            log: encode_first_log(&id),
            id,
            last_frame: 0,
            seq: 1,
            unsynced: VecDeque::new(),
            fail_next_sync: false,
        }
    }

    /// Appends records to the log without syncing them.
    pub fn write(&mut self, no: WriteNo, records: &[Record]) {
        let frame = encode_frame(self.seq, records);
        self.seq += 1;
        self.unsynced.push_back((no, Op::Append(frame)));
    }

    /// Replaces snapshot and log without syncing them.
    pub fn rewrite(&mut self, no: WriteNo, snapshot: &Snapshot, records: &[Record]) {
        let log = encode_next_log(&self.id, snapshot.at, records);
        self.seq = 2;
        let snapshot = encode_snapshot(snapshot);
        self.unsynced.push_back((no, Op::Replace { snapshot, log }));
    }

    /// Makes all writes up to `upto` durable.
    pub fn sync(&mut self, upto: WriteNo) {
        while let Some((no, _)) = self.unsynced.front()
            && *no <= upto
        {
            let (_, op) = self.unsynced.pop_front().expect("the queue is not empty");
            match op {
                Op::Append(frame) => {
                    self.last_frame = self.log.len();
                    self.log.extend(frame);
                }
                Op::Replace { snapshot, log } => {
                    self.snapshot = Some(snapshot);
                    self.last_frame = 0;
                    self.log = log;
                }
            }
        }
    }

    /// Drops all unsynced writes but for the first `torn` bytes of the oldest one, if that is
    /// an append.
    pub fn crash(&mut self, torn: usize) {
        if let Some((_, Op::Append(frame))) = self.unsynced.front() {
            self.log.extend(&frame[..torn.min(frame.len())]);
        }
        self.unsynced.clear();
        self.fail_next_sync = false;
    }

    /// Changes one byte of the log before its last frame; `at` is taken
    /// modulo the length of that part.
    pub fn corrupt_byte(&mut self, at: usize) {
        let at = at % self.last_frame.max(1);
        self.log[at] ^= 0x40;
    }

    /// Recovers the files after a crash, as a control instance does at its start; returns
    /// `None` if something that was synced is lost.
    pub fn open(&mut self) -> Option<Restored> {
        let found = recover(&self.log);
        if matches!(found.tail, Tail::Damaged | Tail::OtherFormat) {
            return None;
        }
        let header = found.header.filter(|header| header.id == self.id)?;
        self.log.truncate(usize::try_from(found.len).ok()?);
        self.seq = found.next;
        let base = match header.base {
            Some(at) => {
                let snapshot = recover_snapshot(self.snapshot.as_ref()?).ok()?;
                (snapshot.at == at).then_some(())?;
                Some(snapshot)
            }
            None => None,
        };
        Restored::replay(base, found.records)
    }
}
