//! Injects faults into a cluster, and ends them.

use base::InstanceName;
use replog::{HaltReason, Input, Replica};

use super::{Cluster, host::replica_id};
use crate::FakeDisk;

impl Cluster {
    /// Partitions an instance from all others.
    pub fn isolate(&mut self, name: &InstanceName) {
        for other in self.peers() {
            self.net.cut(name, &other);
            self.net.cut(&other, name);
        }
    }

    /// Crashes a process; the first `torn` bytes of the oldest unsynced write stay on disk.
    pub fn crash(&mut self, name: &InstanceName, torn: usize) {
        let host = self.host(name);
        host.running = None;
        host.paused = None;
        host.disk.crash(torn);
        self.note(name, "killed");
    }

    /// Empties the disk of a stopped process, which starts as a new incarnation.
    pub fn empty_disk(&mut self, name: &InstanceName) {
        let incarnation = self.new_incarnation();
        let host = self.host(name);
        host.incarnation = incarnation;
        host.disk = FakeDisk::new(replica_id(name, incarnation));
        self.note(name, "disk emptied");
    }

    /// Changes a byte of the log of a stopped process, before the last frame: damage there
    /// can't be told from a torn write.
    pub fn corrupt_log(&mut self, name: &InstanceName, at: usize) {
        self.host(name).disk.corrupt_byte(at);
        self.note(name, "log damaged");
    }

    /// Makes the next sync fail.
    pub fn fail_sync(&mut self, name: &InstanceName) {
        self.host(name).disk.fail_next_sync = true;
    }

    /// Stalls all syncs, or lets them finish again.
    pub fn stall_syncs(&mut self, name: &InstanceName, stalled: bool) {
        self.host(name).stalled = stalled;
    }

    /// Makes the disk full, or frees space on it.
    pub fn set_disk_full(&mut self, name: &InstanceName, full: bool) {
        self.host(name).full = full;
        self.input(name, Input::Space { full });
    }

    /// Pauses a process without ending it.
    pub fn pause(&mut self, name: &InstanceName) {
        self.host(name).paused.get_or_insert_default();
        self.note(name, "frozen");
    }

    /// Resumes a paused process; events that arrived meanwhile are delivered at once.
    pub fn resume(&mut self, name: &InstanceName) {
        let paused = self.host(name).paused.take().unwrap_or_default();
        self.note(name, "thawed");
        for event in paused {
            self.deliver(event);
            self.check_leases();
        }
        self.input(name, Input::Wake);
    }

    /// Ends the faults of one instance and starts its process if it is stopped or halted.
    pub fn recover(&mut self, name: &InstanceName) {
        self.host(name).disk.fail_next_sync = false;
        self.stall_syncs(name, false);
        if self.hosts[name].full {
            self.set_disk_full(name, false);
        }
        if self.hosts[name].paused.is_some() {
            self.resume(name);
        }
        let halted = self.replica(name).and_then(Replica::halted);
        match halted {
            Some(HaltReason::WriteFailed) => self.crash(name, 0),
            Some(HaltReason::Removed) => {
                self.crash(name, 0);
                self.empty_disk(name);
            }
            None => {}
        }
        if self.hosts[name].running.is_none() {
            self.start(name);
        }
    }
}
