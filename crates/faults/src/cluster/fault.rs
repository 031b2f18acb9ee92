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
    pub fn kill(&mut self, name: &InstanceName, torn: usize) {
        let host = self.host(name);
        host.running = None;
        host.paused = None;
        host.disk.crash(torn);
        self.note(name, "crashed");
    }

    /// Empties the disk of a stopped process, which starts as a new incarnation.
    pub fn empty(&mut self, name: &InstanceName) {
        let incarnation = self.new_incarnation();
        let host = self.host(name);
        host.incarnation = incarnation;
        host.disk = FakeDisk::new(replica_id(name, incarnation));
        self.note(name, "disk emptied");
    }

    /// Changes a byte of the log of a stopped process, before the last frame: damage there
    /// can't be told from a torn write.
    pub fn damage_middle(&mut self, name: &InstanceName, at: usize) {
        self.host(name).disk.flip_middle(at);
        self.note(name, "log damaged");
    }

    /// Makes the next sync fail.
    pub fn fail_sync(&mut self, name: &InstanceName) {
        self.host(name).disk.failing = true;
    }

    /// Stalls all syncs, or lets them finish again.
    pub fn stall(&mut self, name: &InstanceName, stalled: bool) {
        self.host(name).stalled = stalled;
    }

    /// Makes the disk full, or frees space on it.
    pub fn fill(&mut self, name: &InstanceName, full: bool) {
        self.host(name).full = full;
        self.input(name, Input::Space { full });
    }

    /// Pauses a process without ending it.
    pub fn freeze(&mut self, name: &InstanceName) {
        self.host(name).paused.get_or_insert_default();
        self.note(name, "paused");
    }

    /// Resumes a paused process; events that arrived meanwhile are delivered at once.
    pub fn thaw(&mut self, name: &InstanceName) {
        let paused = self.host(name).paused.take().unwrap_or_default();
        self.note(name, "resumed");
        for event in paused {
            self.deliver(event);
            self.check_leases();
        }
        self.input(name, Input::Wake);
    }

    /// Ends the faults of one instance and starts its process if it is stopped or halted.
    pub fn recover(&mut self, name: &InstanceName) {
        self.host(name).disk.failing = false;
        self.stall(name, false);
        if self.hosts[name].full {
            self.fill(name, false);
        }
        if self.hosts[name].paused.is_some() {
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
