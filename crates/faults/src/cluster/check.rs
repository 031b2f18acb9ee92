//! What must hold in a cluster: one leader, a commit index that never goes
//! back, and agreement once all faults have ended.

use base::InstanceName;
use replog::ReplicaId;

use super::{Cluster, host::Host};

impl Cluster {
    /// Tells whether every voter of the newest members runs with the folder
    /// that it voted with, so that one more may be lost.
    #[must_use]
    pub fn whole(&self) -> bool {
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
        settled && members.voters.len() == self.plan.instances && members.voters.iter().all(alive)
    }

    /// Ends all faults, waits for `ms` milliseconds at most, and checks that
    /// everybody agrees and that the log takes proposals again.
    ///
    /// # Panics
    ///
    /// Panics when it doesn't.
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

    /// Tells whether all instances vote, lead and have applied alike, with a
    /// proposal made after the last fault.
    fn agreed(&mut self) -> bool {
        if !self.whole() {
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

    /// At no moment may two instances act as leader. A frozen process counts
    /// too: it may go on at any moment.
    pub(super) fn check_leases(&self) {
        let leaders = self.hosts.iter().filter(|(_, host)| host.leads(self.now));
        let leaders: Vec<_> = leaders.map(|(name, _)| name).collect();
        assert!(leaders.len() < 2, "{leaders:?} lead at the same time");
    }

    pub(super) fn check_commit(&mut self, name: &InstanceName) {
        if let Some(running) = &mut self.host(name).running {
            let commit = running.replica.commit();
            assert!(running.commit <= commit, "the commit index went back");
            running.commit = commit;
        }
    }
}
