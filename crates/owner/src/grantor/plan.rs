//! Plans the changes that the leader proposes: which instances are admitted and removed,
//! and which engines they own.

use std::collections::{BTreeMap, BTreeSet};

use base::{Fence, InstanceName, TargetName, Time, ZoneName, stable_hash};

use super::{Change, DISMISS_AFTER, Grantor, InstanceId, Moving, Seen, Table};
use crate::table::{Engine, Former, Member};

/// Number of engines that each candidate owns or is about to own, by candidate.
type Counts = BTreeMap<InstanceName, usize>;

impl Grantor {
    /// Proposes all changes that are due. Does nothing while this instance doesn't lead.
    pub(super) fn plan(&mut self, now: Time, table: &Table, out: &mut Vec<Change>) {
        let Some(since) = self.since else {
            return;
        };
        self.share_loads(now);
        let mut due = Vec::new();
        self.admit(now, since, table, &mut due);
        self.account(now, since, table, &mut due);
        self.dismiss(now, since, table, &mut due);
        for zone in zones_of(table) {
            self.assign(now, since, table, &zone, &mut due);
        }
        for change in due {
            self.propose(now, change, out);
        }
    }

    fn admit(&self, now: Time, since: Time, table: &Table, due: &mut Vec<Change>) {
        for (name, member) in table.members() {
            let fresh = !member.admitted && self.present(now, name, member).is_some();
            if fresh && self.known_to_all(now, since, table, name, member) {
                let id = id_of(name, member);
                due.push(Change::Admit { id });
            }
        }
    }

    /// Returns whether every instance that may own or use an engine of the zone knows the
    /// newly joined instance.
    ///
    /// Guard: an owner that can't reach the leader goes on with the confirmation of the
    /// zone peers that it knows. It never asks an instance that it doesn't know; if that
    /// instance got the engine, the engine would have two owners. So an instance is
    /// admitted only when each owner has acknowledged it or has certainly stopped.
    fn known_to_all(
        &self,
        now: Time,
        since: Time,
        table: &Table,
        name: &InstanceName,
        member: &Member,
    ) -> bool {
        let engines = table.engines().values();
        let engines = engines.filter(|engine| engine.zone == member.zone);
        let owners = engines.flat_map(|engine| {
            let former = engine.former.iter().map(|f| (&f.id, f.peer.as_str()));
            former.chain([(&engine.owner, engine.peer.as_str())])
        });
        let mut others =
            owners.filter(|(id, _)| id.instance != *name || id.incarnation != member.incarnation);
        let known = others.all(|(id, peer)| {
            self.acknowledged(id, member.joined)
                || replaced(table, id, peer)
                || self.stopped(now, since, id)
        });
        if !known {
            base::hit!(unacknowledged_instance);
        }
        known
    }

    fn acknowledged(&self, id: &InstanceId, roster: u64) -> bool {
        let seen = self.seen.get(&id.instance);
        seen.is_some_and(|seen| seen.id == *id && seen.roster >= roster)
    }

    /// Returns whether `id` has not been heard from for longer than it may go on
    /// without leader.
    fn stopped(&self, now: Time, since: Time, id: &InstanceId) -> bool {
        let last = self.answered.get(id).copied().unwrap_or(since).max(since);
        now.since(last) > self.config.margin.stretch(self.config.leaderless)
    }

    fn account(&self, now: Time, since: Time, table: &Table, due: &mut Vec<Change>) {
        for (target, engine) in table.engines() {
            for former in &engine.former {
                if self.accounted(now, since, table, target, engine, former) {
                    due.push(Change::Account {
                        target: target.clone(),
                        fence: former.fence,
                    });
                }
            }
        }
    }

    /// Returns whether a former owner certainly has no request left: it knows that it was
    /// replaced and reports none, or its process no longer exists.
    fn accounted(
        &self,
        now: Time,
        since: Time,
        table: &Table,
        target: &TargetName,
        engine: &Engine,
        former: &Former,
    ) -> bool {
        let id = &former.id;
        let seen = self.seen.get(&id.instance).filter(|s| s.id == *id);
        if let Some(seen) = seen {
            let knows = seen.roster >= engine.fence.get();
            return knows && !seen.busy.contains(target);
        }
        let listed = self.listed.as_ref();
        let unlisted = listed.is_some_and(|all| !all.contains(&id.instance));
        replaced(table, id, &former.peer) || (unlisted && self.stopped(now, since, id))
    }

    fn dismiss(&self, now: Time, since: Time, table: &Table, due: &mut Vec<Change>) {
        for (name, member) in table.members() {
            let id = id_of(name, member);
            let seen = self.seen.get(name).filter(|seen| seen.id == id);
            let last = seen.map_or(since, |seen| seen.last.max(since));
            let idle = now.since(last) > DISMISS_AFTER && table.owned(&id).next().is_none();
            // A dismissed instance that comes back has to be admitted again, which takes
            // until all owners know it. So an instance is kept while its zone has no
            // other candidate.
            if idle && !self.candidates(now, table, &member.zone).is_empty() {
                due.push(Change::Dismiss { id });
            }
        }
    }

    fn assign(
        &mut self,
        now: Time,
        since: Time,
        table: &Table,
        zone: &ZoneName,
        due: &mut Vec<Change>,
    ) {
        let candidates = self.candidates(now, table, zone);
        let mut counts: Counts = candidates.keys().map(|name| (name.clone(), 0)).collect();
        for engine in table.engines().values() {
            if let Some(count) = counts.get_mut(&engine.owner.instance)
                && candidates[&engine.owner.instance] == engine.owner
            {
                *count += 1;
            }
        }
        self.prune_moves(now, table, zone);
        let assignable = self.assignable_engines(now, since, table, zone);
        let all_assigned = assignable.is_empty();
        for (target, expect) in assignable {
            let Some(name) = self.choose(&candidates, &counts, &target) else {
                continue;
            };
            *counts.entry(name.clone()).or_default() += 1;
            let id = candidates[&name].clone();
            due.push(Change::Assign { target, id, expect });
        }
        self.forget(now, table, zone, due);
        if all_assigned {
            self.rebalance(table, zone, &counts);
        }
    }

    /// Returns the instances of `zone` that may get engines.
    fn candidates(
        &self,
        now: Time,
        table: &Table,
        zone: &ZoneName,
    ) -> BTreeMap<InstanceName, InstanceId> {
        let members = table.members().iter();
        let admitted = members.filter(|(_, m)| m.zone == *zone && m.admitted);
        admitted
            .filter(|(name, m)| self.present(now, name, m).is_some_and(|s| !s.leaving))
            .map(|(name, m)| (name.clone(), id_of(name, m)))
            .collect()
    }

    fn present(&self, now: Time, name: &InstanceName, member: &Member) -> Option<&Seen> {
        let seen = self.seen.get(name)?;
        let same = seen.id.incarnation == member.incarnation;
        (same && self.live(now, seen)).then_some(seen)
    }

    /// Returns the engines of `zone` that need an owner, each with the fencing number in
    /// force.
    fn assignable_engines(
        &self,
        now: Time,
        since: Time,
        table: &Table,
        zone: &ZoneName,
    ) -> Vec<(TargetName, Fence)> {
        let instances = self.seen.values();
        let instances = instances.filter(|seen| seen.zone == *zone && self.live(now, seen));
        let reach: BTreeSet<_> = instances
            .filter_map(|s| s.engines.as_ref())
            .flatten()
            .collect();
        let mut assignable = Vec::new();
        for target in reach {
            match table.engines().get(target) {
                None => assignable.push((target.clone(), Fence(0))),
                Some(engine) if self.may_move(now, since, target, engine) => {
                    assignable.push((target.clone(), engine.fence));
                }
                Some(_) => {}
            }
        }
        assignable
    }

    /// Returns whether the owner's lease has certainly ended.
    fn may_move(&self, now: Time, since: Time, target: &TargetName, engine: &Engine) -> bool {
        let seen = self.seen.get(&engine.owner.instance);
        let seen = seen.filter(|seen| seen.id == engine.owner);
        if seen.is_some_and(|seen| seen.leaving) {
            return true;
        }
        if let Some(moving) = self.moving.get(target)
            && !moving.forget
            && let Some(seen) = seen
            && moving.withheld.is_some_and(|serial| seen.heard >= serial)
        {
            return true;
        }
        if seen.is_some_and(|seen| self.live(now, seen)) {
            return false;
        }
        // Guard: an owner that is partitioned or frozen relies on its lease until it
        // ends, and an earlier leader may have renewed it just before this leader began.
        // The lease is counted from the later of both times and extended by the clock
        // drift.
        let granted = self.granted.get(target);
        let granted = granted.filter(|(fence, _)| *fence == engine.fence);
        let last = granted.map_or(since, |(_, at)| (*at).max(since));
        let over = now.since(last) > self.config.margin.stretch(self.config.lease);
        if !over {
            base::hit!(lease_waited_out);
        }
        over && self.zone_settled(now, &engine.zone)
    }

    /// Returns whether a zone has been heard from for long enough that its owners would
    /// have been heard from too.
    ///
    /// Guard: when a partition ends, the first heartbeat may come from any instance of
    /// the zone. An owner whose heartbeat arrives a moment later still owns its engines
    /// and would lose them needlessly.
    fn zone_settled(&self, now: Time, zone: &ZoneName) -> bool {
        let here = self.seen.values().filter(|seen| seen.zone == *zone);
        let wait = self.config.heartbeat * 2;
        let back = here
            .filter(|seen| self.live(now, seen))
            .any(|seen| now.since(seen.steady) > wait);
        if !back {
            base::hit!(zone_just_back);
        }
        back
    }

    /// Returns the candidate with the fewest engines among those that can reach `target`.
    /// Ties are decided by a rendezvous hash, so that most engines stay where they are
    /// when an instance leaves.
    fn choose(
        &self,
        candidates: &BTreeMap<InstanceName, InstanceId>,
        counts: &Counts,
        target: &TargetName,
    ) -> Option<InstanceName> {
        let able = candidates.keys().filter(|name| self.reaches(name, target));
        let best = able.min_by_key(|name| {
            let count = counts.get(*name).copied().unwrap_or(0);
            (count, std::cmp::Reverse(score(name, target)))
        });
        best.cloned()
    }

    fn reaches(&self, name: &InstanceName, target: &TargetName) -> bool {
        let engines = self.seen.get(name).and_then(|seen| seen.engines.as_ref());
        engines.is_some_and(|all| all.contains(target))
    }

    /// Ends moves whose engine has a new owner or whose owner is no longer heard from.
    fn prune_moves(&mut self, now: Time, table: &Table, zone: &ZoneName) {
        let seen = &self.seen;
        let lease = self.config.lease;
        self.moving.retain(|target, moving| {
            let Some(engine) = table.engines().get(target) else {
                return false;
            };
            let owner = seen.get(&engine.owner.instance);
            let live = owner.is_some_and(|s| s.id == engine.owner && now.since(s.last) < lease);
            engine.zone != *zone || (engine.fence == moving.fence && live)
        });
    }

    /// Removes engines that the platform no longer lists for their owner, once the owner
    /// has acknowledged a reply without the lease.
    fn forget(&mut self, now: Time, table: &Table, zone: &ZoneName, due: &mut Vec<Change>) {
        let here = table.engines().iter().filter(|(_, e)| e.zone == *zone);
        for (target, engine) in here {
            let Some(seen) = self.seen.get(&engine.owner.instance) else {
                continue;
            };
            let listed = seen.engines.as_ref();
            let wanted = listed.is_none_or(|all| all.contains(target));
            if seen.id != engine.owner || wanted || !self.live(now, seen) {
                continue;
            }
            let moving = self.moving.entry(target.clone()).or_insert(Moving {
                fence: engine.fence,
                withheld: None,
                forget: true,
            });
            let heard = moving.withheld.is_some_and(|serial| seen.heard >= serial);
            if heard && engine.former.is_empty() && !seen.busy.contains(target) {
                due.push(Change::Forget {
                    target: target.clone(),
                    expect: engine.fence,
                });
            }
        }
    }

    /// Begins to move one engine from the instance with the most engines to the one with
    /// the fewest, if they differ by two or more.
    fn rebalance(&mut self, table: &Table, zone: &ZoneName, counts: &Counts) {
        let under_way = self.moving.keys().filter_map(|t| table.engines().get(t));
        if under_way.filter(|e| e.zone == *zone).count() > 0 {
            return;
        }
        let most = counts.iter().max_by_key(|(_, count)| **count);
        let least = counts.iter().min_by_key(|(_, count)| **count);
        let (Some((from, high)), Some((to, low))) = (most, least) else {
            return;
        };
        if *high < low + 2 {
            return;
        }
        let owned = table.engines().iter();
        let owned = owned.filter(|(_, e)| e.owner.instance == *from && e.zone == *zone);
        let reachable = owned.filter(|(target, _)| self.reaches(to, target));
        let Some((target, engine)) = reachable.max_by_key(|(target, _)| score(to, target)) else {
            return;
        };
        let moving = Moving {
            fence: engine.fence,
            withheld: None,
            forget: false,
        };
        self.moving.insert(target.clone(), moving);
    }
}

/// Returns whether a later incarnation of the same instance listens at the address of
/// `id`, in which case that process no longer exists.
fn replaced(table: &Table, id: &InstanceId, peer: &str) -> bool {
    let member = table.members().get(&id.instance);
    member.is_some_and(|m| m.incarnation > id.incarnation && m.peer == peer)
}

fn id_of(name: &InstanceName, member: &Member) -> InstanceId {
    InstanceId {
        instance: name.clone(),
        incarnation: member.incarnation,
    }
}

fn zones_of(table: &Table) -> BTreeSet<ZoneName> {
    table.members().values().map(|m| m.zone.clone()).collect()
}

fn score(name: &InstanceName, target: &TargetName) -> u64 {
    stable_hash(&[name.as_str().as_bytes(), target.as_str().as_bytes()])
}
