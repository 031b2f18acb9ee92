//! The faults that befall a cluster, and how they end.

use base::InstanceName;
use replog::{HaltReason, Input, Replica};

use super::{Cluster, host::replica_id};
use crate::FakeDisk;

impl Cluster {
    /// Cuts all links of an instance.
    pub fn isolate(&mut self, name: &InstanceName) {
        for other in self.peers() {
            self.net.cut(name, &other);
            self.net.cut(&other, name);
        }
    }

    /// Kills a process; of the oldest unsynced write, `torn` bytes stay.
    pub fn kill(&mut self, name: &InstanceName, torn: usize) {
        let host = self.host(name);
        host.running = None;
        host.held = None;
        host.disk.crash(torn);
        self.note(name, "killed");
    }

    /// Empties the folder of a stopped process.
    pub fn empty(&mut self, name: &InstanceName) {
        let life = self.new_life();
        let host = self.host(name);
        host.life = life;
        host.disk = FakeDisk::new(replica_id(name, life));
        self.note(name, "folder emptied");
    }

    /// Changes a byte of a stopped process's log, but not in the last record,
    /// where damage can't be told from an interrupted write.
    pub fn damage_middle(&mut self, name: &InstanceName, at: usize) {
        self.host(name).disk.flip_middle(at);
        self.note(name, "log damaged");
    }

    /// Makes the next sync fail.
    pub fn fail_sync(&mut self, name: &InstanceName) {
        self.host(name).disk.failing = true;
    }

    /// Makes syncs take for ever, or end again.
    pub fn stall(&mut self, name: &InstanceName, stalled: bool) {
        self.host(name).stalled = stalled;
    }

    /// Fills the disk, or frees it.
    pub fn fill(&mut self, name: &InstanceName, full: bool) {
        self.host(name).full = full;
        self.input(name, Input::Space { full });
    }

    /// Stops a process without ending it.
    pub fn freeze(&mut self, name: &InstanceName) {
        self.host(name).held.get_or_insert_default();
        self.note(name, "frozen");
    }

    /// Lets a frozen process go on; what arrived meanwhile comes at once.
    pub fn thaw(&mut self, name: &InstanceName) {
        let held = self.host(name).held.take().unwrap_or_default();
        self.note(name, "thawed");
        for event in held {
            self.deliver(event);
            self.check_leases();
        }
        self.input(name, Input::Wake);
    }

    /// Ends the faults of one instance and starts it if it stopped.
    pub fn recover(&mut self, name: &InstanceName) {
        self.host(name).disk.failing = false;
        self.stall(name, false);
        if self.hosts[name].full {
            self.fill(name, false);
        }
        if self.hosts[name].held.is_some() {
            self.thaw(name);
        }
        let halted = self.replica(name).and_then(Replica::halted);
        match halted {
            Some(HaltReason::WriteFailed) => self.kill(name, 0),
            Some(HaltReason::Removed) => {
                self.kill(name, 0);
                self.empty(name);
            }
            None => {}
        }
        if self.hosts[name].running.is_none() {
            self.start(name);
        }
    }
}
