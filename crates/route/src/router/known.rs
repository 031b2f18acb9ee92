//! What the router knows of one target.

use std::time::Duration;

use base::{AdapterKey, Class, Fence, Time};

use crate::Target;

/// How long a target that restarted or came back is eased in.
const EASE_IN: Duration = Duration::from_secs(10);

/// Least part of its places that a target eased in may get.
const EASE_LEAST: f32 = 0.1;

/// Failures, faded, from which a target may be eased out.
const FAILS_MIN: f32 = 3.0;

/// Over how many seconds failures and successes fade to 1/e.
const FADE_SECS: f32 = 10.0;

/// How long a failing target is left out the first time; doubled each time
/// that it fails again right after.
const OUT_FIRST: Duration = Duration::from_secs(2);

/// Longest time that a failing target is left out.
const OUT_MAX: Duration = Duration::from_secs(60);

/// Half-life of trust in an engine's own report: it lags, and others have
/// sent since.
const REPORT_HALF_SECS: f32 = 1.0;

/// Weight of the newest time to the first token.
const BEGIN_GAIN: f32 = 0.1;

/// Requests admitted by an engine's owner and not ended.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Critical and live ones.
    urgent: u32,
    /// Batch ones, which wait or give way.
    batch: u32,
}

/// A target, its load as known here, and its health.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) target: Target,
    pub(super) fence: Fence,
    pub(super) leaving: bool,
    pub(super) reachable: bool,
    pub(super) residents: Vec<AdapterKey>,
    /// Attempts sent from here and not ended.
    pub(super) own: u32,
    /// Others' requests there, as reported last.
    others: f32,
    /// When `others` was true.
    told: Time,
    /// What the owner told last and what was chosen here since.
    owner: Option<Load>,
    /// What the next load there would evict, by its owner.
    pub(super) worth: u32,
    fails: f32,
    goods: f32,
    faded: Time,
    out_until: Time,
    outs: u32,
    eased_from: Option<Time>,
    /// Seconds to the first token, smoothed.
    pub(super) begin: f32,
}

impl Known {
    pub(super) fn new(now: Time, target: Target) -> Self {
        Known {
            target,
            fence: Fence(0),
            leaving: false,
            reachable: true,
            residents: Vec::new(),
            own: 0,
            others: 0.0,
            told: now,
            owner: None,
            worth: 0,
            fails: 0.0,
            goods: 0.0,
            faded: now,
            out_until: Time::ZERO,
            outs: 0,
            eased_from: None,
            begin: 0.0,
        }
    }

    /// Forgets the life before: its load, its residents, its reports.
    pub(super) fn restarted(&mut self, now: Time, target: Target) {
        let before = (self.own, self.fence);
        *self = Known::new(now, target);
        (self.own, self.fence) = before;
        self.eased_from = Some(now);
    }

    pub(super) fn usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Whether it is left out for its failures.
    pub(super) fn is_out(&self, now: Time) -> bool {
        now < self.out_until
    }

    /// Takes in the owner's counts.
    pub(super) fn told_by_owner(&mut self, urgent: u32, batch: u32, worth: u32) {
        self.owner = Some(Load { urgent, batch });
        self.worth = worth;
    }

    /// Counts a request chosen for it here, until the owner tells again.
    pub(super) fn chosen(&mut self, class: Class) {
        if let Some(load) = &mut self.owner {
            match class {
                Class::Batch => load.batch += 1,
                _ => load.urgent += 1,
            }
        }
    }

    /// Takes in the target's own report.
    pub(super) fn reported(&mut self, taken: Time, load: u32) {
        if taken > self.told {
            self.others = load.saturating_sub(self.own) as f32;
            self.told = taken;
        }
    }

    /// Estimates the part of its places in use, as far as they count for a
    /// request of `class`; above one, requests queue.
    ///
    /// Batch work does not count for the others, to which it gives way: with
    /// a night's queue in the sum, every engine would look full to live
    /// requests, and they would be sent where their adapter is not loaded.
    pub(super) fn load(&self, now: Time, class: Class, usual_begin: f32) -> f32 {
        let places = self.target.batch.max(1) as f32 * self.eased(now);
        let slow = match usual_begin > 0.0 {
            true => (self.begin / usual_begin / 2.0).clamp(1.0, 4.0),
            false => 1.0,
        };
        let busy = match (self.owner, class) {
            (Some(load), Class::Batch) => (load.urgent + load.batch) as f32,
            (Some(load), _) => load.urgent as f32,
            (None, _) => self.own as f32 + self.others_now(now),
        };
        busy * slow / places
    }

    /// Others' requests by the last report, trusted less the older it is.
    fn others_now(&self, now: Time) -> f32 {
        let age = now.since(self.told).as_secs_f32();
        self.others * (-age / REPORT_HALF_SECS).exp2()
    }

    pub(super) fn began(&mut self, after: Duration) {
        let secs = after.as_secs_f32();
        self.begin = match self.begin > 0.0 {
            true => self.begin + BEGIN_GAIN * (secs - self.begin),
            false => secs,
        };
    }

    /// Counts an attempt's end.
    ///
    /// Guards against a target that fails fast and so looks idle: the least
    /// loaded choice would send everything there. It is left out for a while
    /// and then eased in, each time longer while it goes on failing.
    pub(super) fn ended(&mut self, now: Time, ok: bool) {
        self.own = self.own.saturating_sub(1);
        let fade = (-now.since(self.faded).as_secs_f32() / FADE_SECS).exp();
        self.fails *= fade;
        self.goods *= fade;
        self.faded = now;
        if ok {
            self.goods += 1.0;
            if self.outs > 0 && now.since(self.out_until) > EASE_IN {
                self.outs = 0;
            }
            return;
        }
        self.fails += 1.0;
        if self.fails < FAILS_MIN || self.fails < self.goods / 2.0 || self.is_out(now) {
            return;
        }
        base::hit!(failing_target_out);
        let wait = OUT_MAX.min(OUT_FIRST * 2u32.pow(self.outs.min(5)));
        self.outs += 1;
        self.out_until = now + wait;
        self.eased_from = Some(self.out_until);
        self.fails = 0.0;
    }

    /// Part of its places that it may get by now.
    fn eased(&self, now: Time) -> f32 {
        let Some(from) = self.eased_from else {
            return 1.0;
        };
        let part = now.since(from).as_secs_f32() / EASE_IN.as_secs_f32();
        part.clamp(EASE_LEAST, 1.0)
    }
}
