//! What an entry instance knows of the limits that targets name, and the permits that it
//! has for requests to them.

mod alone;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{RequestRate, Time, stable_hash};
use wire::limit::{Permit, SeenLimit, TargetLimit};

use self::alone::Alone;
use super::{LimitChange, WINDOW, send_rate};

/// Interval at which the requests that were sent to a limited target are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Time in which what the zone owner says doesn't replace what an answer has said here:
/// it may be from before the answer.
const OWN_FIRST: Duration = Duration::from_secs(1);

/// Time for which a permit may be used.
const PERMIT_LIFE: Duration = Duration::from_secs(1);

/// How long the end of a limit is remembered.
const ENDED_MEMORY: Duration = Duration::from_secs(5);

/// How long the largest number of entry instances is gone by.
const INSTANCES_MEMORY: Duration = Duration::from_secs(10);

/// Time after which the zone owner is asked again that didn't answer.
const ALONE_PAUSE: Duration = Duration::from_millis(500);

/// Time after which a request for a permit counts as lost.
const ASKED_FOR: Duration = Duration::from_millis(200);

/// Most requests to one target that are remembered.
const MAX_SENT: usize = 4_096;

/// Whether a target may be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It names no limit.
    Free,
    /// It names a limit, and a permit may be had.
    Limited,
    /// No permit can be had for this time.
    Blocked(Duration),
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may.
    Free,
    /// It needs a permit of the zone owner.
    Ask,
    /// Another request has asked for a permit and waits for the answer.
    Asked,
    /// It may not for this time.
    Blocked(Duration),
}

/// The requests that this instance has sent to a limited target in some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// The limit that the target names.
    pub limit: RequestRate,
    /// Number of requests.
    pub sent: u32,
    /// Number of permits that were denied meanwhile.
    pub denied: u32,
    /// The time in which they were sent.
    pub during: Duration,
}

/// The limits of targets, as one entry instance knows them.
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    seed: u64,
    instances: u32,
    instances_at: Time,
    targets: BTreeMap<String, Known>,
    /// Requests sent to each target within [`WINDOW`].
    sent: BTreeMap<String, VecDeque<Time>>,
}

#[derive(Clone, Debug)]
struct Known {
    /// `None` if the target no longer names a limit.
    limit: Option<RequestRate>,
    /// When that was heard.
    heard: Time,
    /// When an answer said so here, if one did.
    answered: Option<Time>,
    /// Whether the zone owner has to be told of the answer, and of what was sent before.
    unreported: bool,
    before: Option<u32>,
    blocked: Option<Time>,
    /// When a permit was asked for whose answer hasn't come.
    asked: Option<Time>,
    /// Requests that wait until they are no longer blocked.
    waiting: u32,
    permits: u32,
    permits_end: Time,
    alone: Option<Alone>,
    /// Requests sent there, and permits denied, since they were last logged.
    count: u32,
    denied: u32,
    logged: Time,
}

impl KnownLimits {
    /// Creates the limits of an instance that has heard of none. `seed` has to differ
    /// between instances, of which there are `instances` until it is told otherwise.
    #[must_use]
    pub fn new(seed: u64, instances: u32) -> Self {
        KnownLimits {
            seed,
            instances,
            ..KnownLimits::default()
        }
    }

    /// Sets the number of entry instances. The largest of the last seconds counts: a
    /// control instance that begins anew has heard from few.
    pub fn set_instances(&mut self, now: Time, instances: u32) {
        let old = now.since(self.instances_at) > INSTANCES_MEMORY;
        if instances >= self.instances || old {
            (self.instances, self.instances_at) = (instances, now);
        }
    }

    /// Takes over what an answer of a target says: its limit, or that it has none. Returns
    /// what has changed.
    pub fn seen(&mut self, now: Time, id: &str, limit: Option<RequestRate>) -> Option<LimitChange> {
        if limit.is_none() && !self.is_limited(id) {
            return None;
        }
        let before = self.recent(now, id);
        let known = self.targets.entry(id.to_owned());
        let known = known.or_insert_with(|| Known::new(now));
        known.answered = Some(now);
        let changed = known.set(now, limit, before);
        known.unreported |= changed;
        changed.then(|| LimitChange {
            target: id.to_owned(),
            limit,
            age: Some(Duration::ZERO),
        })
    }

    /// Takes over what the zone owner says of a target. Returns what has changed.
    pub fn told(&mut self, now: Time, id: &str, told: TargetLimit) -> Option<LimitChange> {
        let before = self.recent(now, id);
        if let Some(known) = self.targets.get_mut(id) {
            if known.limit == told.rate {
                return None;
            }
            if known.answered.is_some_and(|at| now.since(at) < OWN_FIRST) {
                known.unreported = true;
                return None;
            }
        } else if told.rate.is_none() {
            return None;
        }
        let known = self.targets.entry(id.to_owned());
        let known = known.or_insert_with(|| Known::new(now));
        known.answered = None;
        let changed = known.set(now, told.rate, before);
        changed.then(|| LimitChange {
            target: id.to_owned(),
            limit: told.rate,
            age: None,
        })
    }

    /// Returns whether a target names a limit.
    #[must_use]
    pub fn is_limited(&self, id: &str) -> bool {
        self.targets.get(id).is_some_and(|k| k.limit.is_some())
    }

    /// Returns whether a target may be chosen.
    #[must_use]
    pub fn standing(&self, now: Time, id: &str) -> Standing {
        let known = self.targets.get(id).filter(|k| k.limit.is_some());
        let Some(known) = known else {
            return Standing::Free;
        };
        match known.blocked_for(now) {
            Some(wait) if !known.has_permit(now) => Standing::Blocked(wait),
            _ => Standing::Limited,
        }
    }

    /// Returns whether a request may be sent to a target now, and uses up a permit if it
    /// needs one and there is one.
    pub fn take(&mut self, now: Time, id: &str) -> Access {
        let known = self.targets.get_mut(id).filter(|k| k.limit.is_some());
        let Some(known) = known else {
            return Access::Free;
        };
        if known.has_permit(now) {
            known.permits -= 1;
            return Access::Free;
        }
        if let Some(wait) = known.blocked_for(now) {
            return Access::Blocked(wait);
        }
        if known.asked.is_some_and(|at| now.since(at) < ASKED_FOR) {
            return Access::Asked;
        }
        known.asked = Some(now);
        Access::Ask
    }

    /// Notes that a request waits until a target is no longer blocked, for `patience` at the
    /// most. Returns whether it may: more than this instance is likely to get permits for by then
    /// would wait in vain.
    pub fn wait(&mut self, id: &str, patience: Duration) -> bool {
        let instances = f64::from(self.instances.max(1));
        let Some(known) = self.targets.get_mut(id) else {
            return true;
        };
        let rate = known.limit.map_or(f64::MAX, send_rate);
        let served = rate / instances * patience.as_secs_f64();
        let may = f64::from(known.waiting) < served.max(1.0);
        known.waiting += u32::from(may);
        may
    }

    /// Notes that a request no longer waits.
    pub fn waited(&mut self, id: &str) {
        if let Some(known) = self.targets.get_mut(id) {
            known.waiting = known.waiting.saturating_sub(1);
        }
    }

    /// Takes over the zone owner's answer to a request for a permit. Returns whether the
    /// request may be sent; `Ask` if it wasn't the zone owner that answered.
    pub fn permitted(&mut self, now: Time, id: &str, permit: Permit) -> Access {
        let Some(known) = self.targets.get_mut(id) else {
            return Access::Free;
        };
        known.asked = None;
        match permit {
            Permit::Granted(count) => {
                let left = if known.has_permit(now) {
                    known.permits
                } else {
                    0
                };
                known.permits = left + count.saturating_sub(1);
                known.permits_end = now + PERMIT_LIFE;
                known.alone = None;
                Access::Free
            }
            Permit::Denied { again } => {
                known.blocked = Some(now + again);
                known.denied += 1;
                known.alone = None;
                Access::Blocked(again)
            }
            Permit::Unlimited => {
                known.report_again();
                Access::Ask
            }
            Permit::NotOwner => Access::Ask,
        }
    }

    /// Returns whether a request may be sent to a target whose zone owner doesn't answer:
    /// this instance then keeps to an even part of the limit, of which what it has sent
    /// before uses up some.
    pub fn take_alone(&mut self, now: Time, id: &str) -> Access {
        let instances = self.instances.max(1);
        let recent = self.recent(now, id);
        let draw = stable_hash(&[
            &self.seed.to_le_bytes(),
            &now.as_millis().to_le_bytes(),
            id.as_bytes(),
        ]);
        let Some(known) = self.targets.get_mut(id) else {
            return Access::Free;
        };
        known.asked = None;
        let Some(limit) = known.limit else {
            return Access::Free;
        };
        let alone = known.alone.get_or_insert_with(|| Alone::new(now, draw));
        match alone.take(now, limit, instances, recent) {
            Ok(()) => Access::Free,
            Err(wait) => {
                known.denied += 1;
                known.blocked = Some(now + wait.min(ALONE_PAUSE));
                Access::Blocked(wait)
            }
        }
    }

    /// Counts a request that is sent to a target. Returns what was sent there lately, if
    /// the target is limited and that is due to be logged.
    pub fn sent(&mut self, now: Time, id: &str) -> Option<Traffic> {
        let sent = self.sent.entry(id.to_owned()).or_default();
        sent.push_back(now);
        if sent.len() > MAX_SENT {
            sent.pop_front();
        }
        let known = self.targets.get_mut(id)?;
        let limit = known.limit?;
        known.count += 1;
        let during = now.since(known.logged);
        if during < REPORT_INTERVAL {
            return None;
        }
        known.logged = now;
        Some(Traffic {
            limit,
            sent: std::mem::take(&mut known.count),
            denied: std::mem::take(&mut known.denied),
            during,
        })
    }

    /// Returns what the owner of some zones has to be told of targets there: what answers
    /// have said, and what was sent before.
    pub fn take_report(
        &mut self,
        now: Time,
        in_zones: impl Fn(&str) -> bool,
    ) -> (Vec<SeenLimit>, Vec<(String, u32)>) {
        let (mut seen, mut before) = (Vec::new(), Vec::new());
        let targets = self.targets.iter_mut().filter(|(id, _)| in_zones(id));
        for (id, known) in targets {
            if std::mem::take(&mut known.unreported)
                && let Some(at) = known.answered
            {
                seen.push(SeenLimit {
                    target: id.clone(),
                    limit: known.limit,
                    ago: now.since(at),
                });
            }
            if let Some(sent) = known.before.take() {
                before.push((id.clone(), sent));
            }
        }
        (seen, before)
    }

    /// Has a report that was lost sent again.
    pub fn keep_report(&mut self, seen: &[SeenLimit], before: &[(String, u32)]) {
        for seen in seen {
            if let Some(known) = self.targets.get_mut(&seen.target) {
                known.unreported = true;
            }
        }
        for (target, sent) in before {
            if let Some(known) = self.targets.get_mut(target) {
                known.before.get_or_insert(*sent);
            }
        }
    }

    /// Has all that is known reported again, to an owner of the zones that may not know
    /// it.
    pub fn report_again(&mut self, in_zones: impl Fn(&str) -> bool) {
        let targets = self.targets.iter_mut().filter(|(id, _)| in_zones(id));
        for (_, known) in targets {
            known.report_again();
        }
    }

    /// Forgets targets that are gone, limits that ended a while ago and requests that are
    /// out of the window.
    pub fn expire(&mut self, now: Time, listed: impl Fn(&str) -> bool) {
        self.targets.retain(|id, known| {
            let ended = known.limit.is_none() && now.since(known.heard) > ENDED_MEMORY;
            listed(id) && !ended
        });
        self.sent.retain(|_, sent| {
            trim(now, sent);
            !sent.is_empty()
        });
    }

    /// Returns the number of targets that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the number of requests sent to a target within [`WINDOW`].
    fn recent(&mut self, now: Time, id: &str) -> u32 {
        let Some(sent) = self.sent.get_mut(id) else {
            return 0;
        };
        trim(now, sent);
        u32::try_from(sent.len()).unwrap_or(u32::MAX)
    }
}

fn trim(now: Time, sent: &mut VecDeque<Time>) {
    while sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
        sent.pop_front();
    }
}

impl Known {
    fn new(now: Time) -> Self {
        Known {
            limit: None,
            heard: now,
            answered: None,
            unreported: false,
            before: None,
            blocked: None,
            asked: None,
            waiting: 0,
            permits: 0,
            permits_end: now,
            alone: None,
            count: 0,
            denied: 0,
            logged: now,
        }
    }

    /// Sets the limit, before which `sent` requests were sent lately, and returns whether
    /// it has changed.
    fn set(&mut self, now: Time, limit: Option<RequestRate>, sent: u32) -> bool {
        let before = std::mem::replace(&mut self.limit, limit);
        if before == limit {
            return false;
        }
        self.heard = now;
        if before.is_none() || limit.is_none() {
            self.blocked = None;
            self.permits = 0;
            self.alone = None;
            self.before = limit.map(|_| sent);
        }
        true
    }

    fn report_again(&mut self) {
        self.answered.get_or_insert(self.heard);
        self.unreported = true;
    }

    fn has_permit(&self, now: Time) -> bool {
        self.permits > 0 && now < self.permits_end
    }

    fn blocked_for(&self, now: Time) -> Option<Duration> {
        let until = self.blocked.filter(|until| now < *until)?;
        Some(until.since(now))
    }
}
