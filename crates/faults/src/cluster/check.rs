//! Invariants of a cluster: one leader at a time, a commit index that never decreases, and
//! agreement once all faults have ended.

use base::InstanceName;
use replog::ReplicaId;

use super::{Cluster, host::Host};

impl Cluster {
    /// Returns whether every voter of the newest membership runs with the disk it has voted
    /// with, so that one of them may be lost without losing accepted proposals.
    #[must_use]
    pub fn all_voters_running(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let Some(replica) = self.replica(&leader) else {
            return false;
        };
        let Some(members) = replica.members() else {
            return false;
        };
        let alive = |id: &ReplicaId| {
            let replica = self.replica(&id.instance);
            replica.is_some_and(|r| r.id() == id && r.halted().is_none())
        };
        let settled = replica.membership_committed();
        settled && members.voters.len() == self.config.instances && members.voters.iter().all(alive)
    }

    /// Ends all faults, waits up to `ms` milliseconds, and checks that all instances agree
    /// and that the log accepts proposals again.
    ///
    /// # Panics
    ///
    /// Panics if they do not agree by then.
    pub fn settle(&mut self, ms: u64) {
        self.net.heal();
        for name in self.peers() {
            self.recover(&name);
        }
        let end = self.now + ms * 1_000;
        while self.now < end && !self.agreed() {
            self.run(200);
            for name in self.peers() {
                self.recover(&name);
            }
        }
        assert!(self.agreed(), "no agreement after the faults have ended");
    }

    /// Returns whether all voters run, a new proposal is accepted, and all instances have
    /// applied it.
    fn agreed(&mut self) -> bool {
        if !self.all_voters_running() {
            return false;
        }
        let Some(leader) = self.leader() else {
            return false;
        };
        let before = self.history.accepted();
        self.propose(&leader);
        self.run(300);
        let newest = self.history.newest();
        let same = |host: &Host| {
            let running = host.running.as_ref();
            running.is_some_and(|running| running.last == newest)
        };
        self.history.accepted() > before && self.hosts.values().all(same)
    }

    /// Checks that at most one instance may act as leader. A paused process counts too, as it
    /// may resume at any moment.
    pub(super) fn check_leases(&self) {
        let leaders = self.hosts.iter().filter(|(_, host)| host.leads(self.now));
        let leaders: Vec<_> = leaders.map(|(name, _)| name).collect();
        assert!(leaders.len() < 2, "{leaders:?} lead at the same time");
    }

    pub(super) fn check_commit(&mut self, name: &InstanceName) {
        if let Some(running) = &mut self.host(name).running {
            let commit = running.replica.commit();
            assert!(running.commit <= commit, "the commit index decreased");
            running.commit = commit;
        }
    }
}
