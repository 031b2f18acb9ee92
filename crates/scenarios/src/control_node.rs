//! A production control instance with a fake disk.

use std::collections::{BTreeMap, VecDeque};

use base::{Incarnation, PerSecond, Seed, Ticket, Time};
use control::{Checked, Config, Control, Limits};
use replog::{Record, Replica, ReplicaId, Restored, Settings, Snapshot, WriteNo};

/// The synced state that survives a crash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    snapshot: Option<Snapshot>,
    records: Vec<Record>,
}

/// A write that is not synced yet.
#[derive(Debug)]
pub(crate) enum Write {
    Append(WriteNo, Vec<Record>),
    Replace(WriteNo, Snapshot, Vec<Record>),
}

#[derive(Debug)]
pub(crate) struct ControlNode {
    pub(crate) control: Control,
    pub(crate) disk: Disk,
    pub(crate) writes: VecDeque<Write>,
    /// Caller and call id of each open ticket.
    pub(crate) callers: BTreeMap<Ticket, (String, u64)>,
    pub(crate) tickets: u64,
}

impl ControlNode {
    pub(crate) fn new(name: &str, peers: &[String], disk: Disk, seed: u64) -> Self {
        let id = ReplicaId {
            instance: name.parse().unwrap(),
            incarnation: Incarnation(1),
        };
        let peers = peers.iter().map(|peer| peer.parse().unwrap()).collect();
        let mut raw = replog::RawSettings::with_defaults(id, peers, Seed(seed));
        raw.compact = 100;
        raw.keep = 20;
        let restored = Restored::replay(disk.snapshot.clone(), disk.records.clone());
        let settings = Settings::try_from(raw).unwrap();
        let replica = Replica::new(settings, restored.expect("the disk holds no damage"));
        let limits = Limits {
            full_ms: 4_000,
            running_ms: 60_000,
            ..Limits::default()
        };
        let config = Config {
            limits,
            ..Config::default()
        };
        let check = |_: &str| Ok(Checked { rate: PerSecond(5) });
        ControlNode {
            control: Control::new(config, replica, Box::new(check)),
            disk,
            writes: VecDeque::new(),
            callers: BTreeMap::new(),
            tickets: 0,
        }
    }

    /// Assigns a ticket to call `id` of `from`.
    pub(crate) fn ticket(&mut self, from: &str, id: u64) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.callers.insert(ticket, (from.to_owned(), id));
        ticket
    }

    /// Syncs the oldest write; returns its number.
    pub(crate) fn sync(&mut self) -> Option<WriteNo> {
        match self.writes.pop_front()? {
            Write::Append(no, records) => {
                self.disk.records.extend(records);
                Some(no)
            }
            Write::Replace(no, snapshot, records) => {
                let snapshot = Some(snapshot);
                self.disk = Disk { snapshot, records };
                Some(no)
            }
        }
    }

    pub(crate) fn is_leader(&self, now: Time) -> bool {
        self.control.leads(now)
    }
}
