//! What the router knows about one target: its load, its health and its resident
//! adapters.

use std::time::Duration;

use base::{AdapterKey, Class, Fence, Time};

use crate::Target;

/// How long the capacity of a target that restarted or was ejected is ramped up.
const RAMP_UP: Duration = Duration::from_secs(10);

/// Part of its capacity that a target gets at the beginning of the ramp.
const RAMP_MIN: f32 = 0.1;

/// Decayed number of failures from which a target may be ejected.
const EJECT_FAILURES_MIN: f32 = 3.0;

/// Time constant, in seconds, with which the counts of failures and successes decay to
/// 1/e.
const HEALTH_DECAY_SECS: f32 = 10.0;

/// How long a failing target is ejected the first time; doubled each time that it fails
/// again soon after.
const EJECT_FIRST: Duration = Duration::from_secs(2);

/// Longest time that a failing target is ejected.
const EJECT_MAX: Duration = Duration::from_secs(60);

/// Half-life, in seconds, of the weight of an engine's own report: it lags, and other
/// instances have sent requests since.
const REPORT_HALF_LIFE_SECS: f32 = 1.0;

/// Weight of the newest sample in the moving average of the time to the first token.
const FIRST_TOKEN_GAIN: f32 = 0.1;

/// Requests admitted by an engine's owner and not ended.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Critical and live requests.
    urgent: u32,
    /// Batch requests, which wait for urgent ones or are preempted by them.
    batch: u32,
}

/// State of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) target: Target,
    pub(super) fence: Fence,
    pub(super) leaving: bool,
    /// Whether an answer of this incarnation has said that it leaves.
    pub(super) said_leaving: bool,
    pub(super) reachable: bool,
    pub(super) residents: Vec<AdapterKey>,
    /// Attempts sent by this instance and not ended.
    pub(super) in_flight: u32,
    /// Requests of other instances, by the target's last report.
    others: f32,
    /// When the figures of that report were taken.
    reported_at: Time,
    /// Load published last by the owner, plus the requests chosen here since.
    owner_load: Option<Load>,
    /// Usage rate of the adapter that the next load would evict, as published by the
    /// owner, in thousandths of a live request a second.
    pub(super) evict_cost: u32,
    failures: f32,
    successes: f32,
    decayed_at: Time,
    ejected_until: Time,
    ejections: u32,
    ramp_from: Option<Time>,
    /// Seconds to the first token: moving average.
    pub(super) first_token: f32,
}

impl TargetState {
    pub(super) fn new(now: Time, target: Target) -> Self {
        TargetState {
            target,
            fence: Fence(0),
            leaving: false,
            said_leaving: false,
            reachable: true,
            residents: Vec::new(),
            in_flight: 0,
            others: 0.0,
            reported_at: now,
            owner_load: None,
            evict_cost: 0,
            failures: 0.0,
            successes: 0.0,
            decayed_at: now,
            ejected_until: Time::ZERO,
            ejections: 0,
            ramp_from: None,
            first_token: 0.0,
        }
    }

    /// Resets the state after a restart: load, resident adapters and reports are those of
    /// the former incarnation.
    pub(super) fn restarted(&mut self, now: Time, target: Target) {
        let before = (self.in_flight, self.fence);
        *self = TargetState::new(now, target);
        (self.in_flight, self.fence) = before;
        self.ramp_from = Some(now);
    }

    pub(super) fn usable(&self) -> bool {
        self.reachable && !self.leaving && !self.said_leaving
    }

    /// Returns whether the target is ejected because of its failures.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Applies the load published by the owner.
    pub(super) fn owner_reported(&mut self, urgent: u32, batch: u32, evict_cost: u32) {
        self.owner_load = Some(Load { urgent, batch });
        self.evict_cost = evict_cost;
    }

    /// Counts a request chosen for the target, until the owner publishes its load again.
    pub(super) fn count_chosen(&mut self, class: Class) {
        if let Some(load) = &mut self.owner_load {
            match class {
                Class::Batch => load.batch += 1,
                _ => load.urgent += 1,
            }
        }
    }

    /// Applies the target's own report.
    pub(super) fn reported(&mut self, taken: Time, load: u32) {
        if taken > self.reported_at {
            self.others = load.saturating_sub(self.in_flight) as f32;
            self.reported_at = taken;
        }
    }

    /// Estimates the part of the target's capacity in use, as far as it counts for a
    /// request of `class`; above one, requests queue.
    ///
    /// Batch requests don't count for the other classes, which preempt them: if a long
    /// batch queue counted, every engine would look full to live requests, and they would
    /// be sent to engines where their adapter is not resident.
    pub(super) fn load(&self, now: Time, class: Class, usual_first_token: f32) -> f32 {
        let capacity = self.target.batch.max(1) as f32 * self.ramp(now);
        // A target whose first tokens take more than twice as long as usual counts as loaded
        // up to four times as much.
        let slow = match usual_first_token > 0.0 {
            true => (self.first_token / usual_first_token / 2.0).clamp(1.0, 4.0),
            false => 1.0,
        };
        let busy = match (self.owner_load, class) {
            (Some(load), Class::Batch) => (load.urgent + load.batch) as f32,
            (Some(load), _) => load.urgent as f32,
            (None, _) => self.in_flight as f32 + self.others_weighted(now),
        };
        busy * slow / capacity
    }

    /// Returns the other instances' requests by the last report, weighted less the older
    /// it is.
    fn others_weighted(&self, now: Time) -> f32 {
        let age = now.since(self.reported_at).as_secs_f32();
        self.others * (-age / REPORT_HALF_LIFE_SECS).exp2()
    }

    pub(super) fn began(&mut self, after: Duration) {
        let secs = after.as_secs_f32();
        self.first_token = match self.first_token > 0.0 {
            true => self.first_token + FIRST_TOKEN_GAIN * (secs - self.first_token),
            false => secs,
        };
    }

    /// Counts the end of an attempt.
    ///
    /// Guards against a target that fails fast and therefore looks idle: choosing the
    /// least loaded target would send every request there. The target is ejected for a
    /// while, longer each time it goes on failing, and its capacity is ramped up
    /// afterwards.
    pub(super) fn ended(&mut self, now: Time, ok: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let decay = (-now.since(self.decayed_at).as_secs_f32() / HEALTH_DECAY_SECS).exp();
        self.failures *= decay;
        self.successes *= decay;
        self.decayed_at = now;
        if ok {
            self.successes += 1.0;
            if self.ejections > 0 && now.since(self.ejected_until) > RAMP_UP {
                self.ejections = 0;
            }
            return;
        }
        self.failures += 1.0;
        if self.failures < EJECT_FAILURES_MIN
            || self.failures < self.successes / 2.0
            || self.is_ejected(now)
        {
            return;
        }
        base::hit!(failing_target_ejected);
        let wait = EJECT_MAX.min(EJECT_FIRST * 2u32.pow(self.ejections.min(5)));
        self.ejections += 1;
        self.ejected_until = now + wait;
        self.ramp_from = Some(self.ejected_until);
        self.failures = 0.0;
    }

    /// Returns the part of its capacity that the target may get by now.
    fn ramp(&self, now: Time) -> f32 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let part = now.since(from).as_secs_f32() / RAMP_UP.as_secs_f32();
        part.clamp(RAMP_MIN, 1.0)
    }
}
