//! The lease on one engine, and how each input changes it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Confirm, EARLY_HANDOVERS_MAX, Fence, Handover, HeartbeatReply, InstanceName, Lease, Lessee,
    Lost, Output, Ownership, Resident, SENT_MAX, TargetName, Time, confirm_time, fence_of,
};

/// A lease on one engine.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) fence: Fence,
    /// When the heartbeat was sent from which the lease counts.
    sent_at: Time,
    /// End of the lease.
    until: Time,
    /// Fencing numbers of former owners that may still have requests running.
    former: BTreeSet<Fence>,
    /// The adapters that former owners reported as still in use, by fencing number.
    handovers: BTreeMap<Fence, BTreeSet<Resident>>,
    /// Adapters made resident by this owner's loads, which are safe to unload.
    pub(super) loaded: BTreeSet<Resident>,
    /// Whether the engine has accepted an order of this owner since it last restarted.
    order_accepted: bool,
    /// Whether the engine restarted while a former owner might still use it.
    early_restart: bool,
    /// The last state reported by [`Output::Changed`].
    reported: Ownership,
    /// Recent rounds of requests for confirmation: when they were sent, and for how long.
    rounds: BTreeMap<u64, (Time, Duration)>,
    /// Until when each zone peer has confirmed the ownership.
    confirmed: BTreeMap<InstanceName, Time>,
    /// When to ask the zone peers for confirmation.
    ask_at: Time,
}

impl Held {
    /// Returns whether the lease is valid, or all zone peers have confirmed the
    /// ownership.
    pub(super) fn is_valid<'a>(
        &self,
        now: Time,
        mut zone_peers: impl Iterator<Item = &'a InstanceName>,
        leaderless: Duration,
    ) -> bool {
        if now < self.until {
            return true;
        }
        // Guard: after the time `leaderless` the leader admits an instance that this one has
        // never heard of, which then may get the engine. This instance must have stopped
        // by then.
        if now >= self.sent_at + leaderless {
            base::hit!(leaderless_too_long);
            return false;
        }
        zone_peers.all(|peer| self.confirmed.get(peer).is_some_and(|until| now < *until))
    }

    /// Records that the engine restarted and lost all loaded adapters.
    pub(super) fn restarted(&mut self) {
        self.loaded.clear();
        self.order_accepted = false;
        self.early_restart |= !self.former.is_empty();
    }

    /// Returns whether a former owner may still send orders to the engine.
    pub(super) fn unfenced(&self) -> bool {
        let silent = |fence: &Fence| !self.handovers.contains_key(fence);
        !self.order_accepted && self.former.iter().any(silent)
    }

    /// Returns whether a former owner may use `resident`: one of the adapters it reported
    /// or, until it reports, any adapter that this instance did not load itself.
    pub(super) fn pinned(&self, resident: &Resident) -> bool {
        self.former
            .iter()
            .any(|fence| match self.handovers.get(fence) {
                Some(using) => using.contains(resident),
                None => !self.loaded.contains(resident),
            })
    }

    /// Returns the next time after `now` at which the ownership may change or a
    /// confirmation has to be requested.
    fn next_change(&self, now: Time, leaderless: Duration) -> Option<Time> {
        let fixed = [self.until, self.sent_at + leaderless, self.ask_at];
        let all = fixed.into_iter().chain(self.confirmed.values().copied());
        all.filter(|at| now < *at).min()
    }
}

impl Lessee {
    pub(super) fn note_sent(&mut self, now: Time, serial: u64) {
        // A handover message may have been lost, so it is sent again with each heartbeat
        // as long as an adapter is in use.
        let busy = self.lost.values_mut().filter(|lost| lost.busy());
        busy.for_each(|lost| lost.reported = None);
        self.sent.insert(serial, now);
        while self.sent.len() > SENT_MAX {
            self.sent.pop_first();
        }
    }

    pub(super) fn on_reply(&mut self, now: Time, reply: HeartbeatReply) {
        // Guard: a reply that arrives out of order, or from a leader that has been
        // replaced since, must not restore a lease. Only replies with a higher serial are
        // accepted, and a lease counts from when its heartbeat was sent.
        let Some(sent) = self.sent.get(&reply.serial).copied() else {
            base::hit!(unknown_reply);
            return;
        };
        if reply.serial <= self.heard {
            base::hit!(stale_reply);
            return;
        }
        self.heard = reply.serial;
        self.sent = self.sent.split_off(&reply.serial);
        self.take_roster(&reply);
        let named: BTreeSet<_> = reply.leases.iter().map(|l| l.target.clone()).collect();
        self.offered.retain(|target, _| named.contains(target));
        let gone: Vec<_> = self
            .held
            .keys()
            .filter(|t| !named.contains(*t))
            .cloned()
            .collect();
        for target in gone {
            self.give_up(&target);
        }
        if self.renounced {
            return;
        }
        for lease in reply.leases {
            self.on_lease(now, sent, lease);
        }
    }

    fn take_roster(&mut self, reply: &HeartbeatReply) {
        if reply.roster < self.roster && !reply.full {
            return;
        }
        if reply.full {
            self.peers.clear();
        }
        for name in &reply.removed {
            self.peers.remove(name);
        }
        for peer in &reply.peers {
            self.peers.insert(peer.instance.clone(), peer.clone());
        }
        self.roster = reply.roster;
    }

    fn on_lease(&mut self, now: Time, sent: Time, lease: Lease) {
        self.offered.insert(lease.target.clone(), lease.fence);
        let held = self.held.get(&lease.target).map(|h| h.fence);
        if held.is_none() && !self.may_accept(now, &lease.target) {
            return;
        }
        if held.is_some_and(|fence| fence > lease.fence) {
            return;
        }
        if held.is_some_and(|fence| fence < lease.fence) {
            self.held.remove(&lease.target);
        }
        self.lost.remove(&lease.target);
        let early = self
            .early_handovers
            .remove(&lease.target)
            .unwrap_or_default();
        let held = self.held.entry(lease.target).or_insert_with(|| Held {
            fence: lease.fence,
            sent_at: sent,
            until: sent,
            former: BTreeSet::new(),
            handovers: BTreeMap::new(),
            loaded: BTreeSet::new(),
            order_accepted: false,
            early_restart: false,
            reported: Ownership::None,
            rounds: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            ask_at: sent,
        });
        held.sent_at = sent;
        held.until = sent + lease.lasts;
        held.ask_at = sent + self.config.heartbeat * 3 / 2;
        held.former = lease.former.into_iter().collect();
        held.handovers.extend(early);
        held.handovers
            .retain(|fence, _| held.former.contains(fence));
    }

    /// Returns whether this instance may accept an engine that the leader assigns to it.
    fn may_accept(&self, now: Time, target: &TargetName) -> bool {
        // Guard: the previous incarnation of this instance may have promised a zone peer
        // not to take an engine, and the restart erased the promise. So no engine is
        // accepted before all such promises have expired.
        let longest = self.longest_promise();
        if now < self.started + self.config.margin.stretch(longest) {
            base::hit!(just_restarted);
            return false;
        }
        // Guard: this instance promised that the current owner may go on, which the
        // leader can't know. It accepts the engine once the promise has expired.
        let promise = self.promises.get(target);
        if promise.is_some_and(|p| now < p.until) {
            base::hit!(kept_promise);
            return false;
        }
        true
    }

    /// Returns the longest promise that this instance gives: twice the time requested in
    /// a zone of this size, since the requester may know of more zone peers.
    fn longest_promise(&self) -> Duration {
        confirm_time(&self.config, 2 * self.zone_peers().count())
    }

    pub(super) fn may_confirm(&self, ask: &Confirm) -> bool {
        // Guard: a restarted process waits only this long before it accepts an engine; a
        // longer promise would be broken by a restart.
        if ask.lasts > self.longest_promise() {
            base::hit!(long_promise);
            return false;
        }
        let held = self.held.get(&ask.target).map(|h| h.fence);
        let offered = self.offered.get(&ask.target).copied();
        let known = self.owner_of(&ask.target).map(|(_, fence)| fence);
        let promised = self.promises.get(&ask.target).map(|p| p.fence);
        let newest = held.max(offered).max(known).max(promised);
        // Guard: an instance that knows of a newer owner must not confirm the older one,
        // or the engine would have two owners when the partition ends.
        if newest.is_some_and(|fence| fence > ask.fence) {
            base::hit!(newer_owner);
            return false;
        }
        true
    }

    /// Gives up an engine for which the requester has a newer fencing number.
    pub(super) fn drop_older(&mut self, ask: &Confirm) {
        let held = self.held.get(&ask.target).map(|h| h.fence);
        if held.is_some_and(|fence| fence < ask.fence) {
            self.give_up(&ask.target);
        }
    }

    pub(super) fn on_confirmed(
        &mut self,
        from: InstanceName,
        target: &TargetName,
        round: u64,
        granted: bool,
    ) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        let Some((asked, lasts)) = held.rounds.get(&round).copied() else {
            return;
        };
        if !granted {
            held.confirmed.remove(&from);
            return;
        }
        let until = held.confirmed.entry(from).or_insert(asked);
        *until = (*until).max(asked + lasts);
    }

    pub(super) fn on_handover(&mut self, handover: Handover) {
        let using = handover.in_use.into_iter();
        let using = using.map(|(adapter, version)| Resident { adapter, version });
        let using: BTreeSet<_> = using.collect();
        if let Some(held) = self.held.get_mut(&handover.target)
            && held.former.contains(&handover.fence)
        {
            held.handovers.insert(handover.fence, using);
            return;
        }
        let early = self.early_handovers.entry(handover.target).or_default();
        early.insert(handover.fence, using);
        while early.len() > EARLY_HANDOVERS_MAX {
            early.pop_first();
        }
    }

    pub(super) fn on_loaded(
        &mut self,
        target: &TargetName,
        fence: Fence,
        resident: Resident,
        fresh: bool,
    ) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        if held.fence != fence {
            return;
        }
        held.order_accepted = true;
        // Guard: a former owner that doesn't know of its replacement may just have loaded
        // this adapter and may be using it. Only adapters that this owner's load made
        // resident are safe to unload.
        if !fresh {
            base::hit!(loaded_by_other);
            return;
        }
        // Guard: a former owner that is partitioned doesn't notice the restart. A load
        // brings back an adapter that it believes resident and may be using, so no
        // adapter loaded since the restart is safe to unload.
        if held.early_restart {
            base::hit!(restarted_under_former);
            return;
        }
        held.loaded.insert(resident);
    }

    fn give_up(&mut self, target: &TargetName) {
        let Some(held) = self.held.remove(target) else {
            return;
        };
        let lost = Lost {
            fence: held.fence,
            using: None,
            reported: None,
        };
        self.lost.insert(target.clone(), lost);
        self.unreported.insert(target.clone());
    }

    /// Reports what has changed since the last input, asks zone peers for confirmation
    /// while the leader doesn't answer, and schedules the next wake-up.
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<Output>) {
        self.promises.retain(|_, promise| now < promise.until);
        if self.renounced {
            let all: Vec<_> = self.held.keys().cloned().collect();
            all.iter().for_each(|target| self.give_up(target));
        }
        self.report_lost(out);
        self.send_handovers(out);
        self.ask_zone_peers(now, out);
        self.report_changes(now, out);
        let leaderless = self.config.leaderless;
        let times = self
            .held
            .values()
            .filter_map(|h| h.next_change(now, leaderless));
        if let Some(next) = times.min() {
            out.push(Output::Wake(next));
        }
    }

    fn report_lost(&mut self, out: &mut Vec<Output>) {
        for target in std::mem::take(&mut self.unreported) {
            if !self.held.contains_key(&target) {
                let ownership = Ownership::None;
                out.push(Output::Changed { target, ownership });
            }
        }
    }

    fn report_changes(&mut self, now: Time, out: &mut Vec<Output>) {
        let owns: Vec<_> = self
            .held
            .keys()
            .map(|t| (t.clone(), self.ownership(now, t)))
            .collect();
        for (target, ownership) in owns {
            let Some(held) = self.held.get_mut(&target) else {
                continue;
            };
            if held.reported != ownership {
                held.reported = ownership;
                out.push(Output::Changed { target, ownership });
            }
        }
    }

    fn ask_zone_peers(&mut self, now: Time, out: &mut Vec<Output>) {
        let zone_peers: Vec<_> = self.zone_peers().cloned().collect();
        let lasts = confirm_time(&self.config, zone_peers.len());
        for (target, held) in &mut self.held {
            if now < held.ask_at || now >= held.sent_at + self.config.leaderless {
                continue;
            }
            self.round += 1;
            held.ask_at = now + lasts / 2;
            held.rounds.insert(self.round, (now, lasts));
            while held.rounds.len() > 4 {
                held.rounds.pop_first();
            }
            for to in &zone_peers {
                let confirm = Confirm {
                    instance: self.name.clone(),
                    target: target.clone(),
                    fence: held.fence,
                    lasts,
                };
                let (to, round) = (to.clone(), self.round);
                out.push(Output::Ask { to, round, confirm });
            }
        }
    }

    /// Tells new owners which adapters this instance still uses, whenever these or the
    /// owner change.
    fn send_handovers(&mut self, out: &mut Vec<Output>) {
        let peers = &self.peers;
        for (target, lost) in &mut self.lost {
            let Some(using) = &lost.using else {
                continue;
            };
            let owners = peers
                .values()
                .filter_map(|p| Some((fence_of(p, target)?, p)));
            let owner = owners.max_by_key(|(fence, _)| *fence);
            let Some((fence, peer)) = owner else {
                continue;
            };
            let current = Some((peer.instance.clone(), using.clone()));
            if fence <= lost.fence || peer.instance == self.name || lost.reported == current {
                continue;
            }
            lost.reported = current;
            let in_use = using.iter().map(|r| (r.adapter.clone(), r.version));
            let handover = Handover {
                target: target.clone(),
                fence: lost.fence,
                in_use: in_use.collect(),
            };
            let to = peer.instance.clone();
            out.push(Output::Handover { to, handover });
        }
        self.lost
            .retain(|_, lost| lost.busy() || lost.reported.is_none());
    }
}
