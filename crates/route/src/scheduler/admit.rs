//! Admission: what can't be met is refused at once.

use std::time::Duration;

use base::{BrandNo, Class, Failure, Refusal, TargetNo, Time};

use crate::{
    Ask,
    scheduler::{Scheduler, owned::OwnedEngine},
};

/// Live requests that may wait for one engine, as a multiple of its batch.
const LIVE_QUEUE: u32 = 8;

/// Batch requests that may wait for one engine. Bounds memory at some ten
/// megabytes; a night's screening is spread over engines.
const BATCH_QUEUE: u32 = 50_000;

/// How much longer than estimated a load may take: later requests for another
/// adapter go first where more of them wait.
const LOAD_MARGIN: f64 = 2.0;

/// Longest time that a caller is told to stay away.
const RETRY_MAX: f64 = 60.0;

impl Scheduler {
    /// Checks a new request against class, brand and deadline.
    ///
    /// Guards against an overload that is held instead of turned away: queues
    /// grow until every answer is late, and all work is done for callers that
    /// have left. A critical request always passes.
    pub(super) fn admit(&mut self, now: Time, target: TargetNo, ask: &Ask) -> Result<(), Failure> {
        let Some(owned) = self.engines.get(&target) else {
            return Err(Failure::not_run(Refusal::Unavailable));
        };
        let backed_off = ask.key.and_then(|key| self.backoff.until(now, target, key));
        if let Some(until) = backed_off.filter(|until| !self.can_wait(ask, *until)) {
            let wait = self.retry_after(until.since(now).as_secs_f64());
            return Err(Failure::not_run(Refusal::Unavailable).retry_after(wait));
        }
        if ask.class == Class::Critical {
            return Ok(());
        }
        let secs = self.wait_secs(owned, ask);
        if self.over_share(owned, ask) {
            base::hit!(brand_over_share);
            let wait = self.retry_after(secs);
            return Err(Failure::not_run(Refusal::Overloaded).retry_after(wait));
        }
        let tail = match ask.class {
            Class::Batch => owned.run_secs(ask.tokens.get()),
            _ => 0.0,
        };
        if now + Duration::from_secs_f64(secs + tail) > ask.deadline {
            base::hit!(deadline_out_of_reach);
            let wait = self.retry_after(secs);
            return Err(Failure::not_run(Refusal::Deadline).retry_after(wait));
        }
        Ok(())
    }

    /// Draws when to come back: from half to one and a half of `secs`, so
    /// that callers turned away together don't return together.
    pub(super) fn retry_after(&mut self, secs: f64) -> Duration {
        let wait = secs.clamp(1.0, RETRY_MAX) * (0.5 + self.draw.part());
        Duration::from_secs_f64(wait)
    }

    /// Estimates how long a request would wait before being sent.
    fn wait_secs(&self, owned: &OwnedEngine, ask: &Ask) -> f64 {
        let ahead: u64 = match ask.class {
            Class::Batch => Class::ALL.into_iter().map(|c| owned.queue.tokens(c)).sum(),
            _ => owned.queue.tokens(Class::Critical) + self.ahead_of_brand(owned, ask),
        };
        let queue = owned.drain_secs(ahead);
        let load = match ask.key {
            Some(key) if owned.slots.is_ready(key) => 0.0,
            Some(key) if owned.slots.has_or_gets(key) => self.load_secs,
            Some(_) => self.load_wait(ask.class) * LOAD_MARGIN,
            _ => 0.0,
        };
        queue.max(load)
    }

    /// Tokens that go before a live request of this brand: never more than
    /// its own queue stretched by the others' shares.
    fn ahead_of_brand(&self, owned: &OwnedEngine, ask: &Ask) -> u64 {
        let (_, own) = owned.queue.of_brand(ask.class, ask.brand);
        let weight = u64::from(self.weight(ask.brand));
        let others = self.others_weight(owned, ask.class, ask.brand);
        let fair = (own + u64::from(ask.tokens.get())) * (weight + others) / weight;
        fair.min(owned.queue.tokens(ask.class))
    }

    /// Returns whether the queue is so long that shares count, and the brand
    /// has more than its own.
    fn over_share(&self, owned: &OwnedEngine, ask: &Ask) -> bool {
        let most = match ask.class {
            Class::Batch => BATCH_QUEUE,
            _ => owned.engine.batch * LIVE_QUEUE,
        };
        let queued = owned.queue.queued(ask.class);
        if queued < most / 2 {
            return false;
        }
        let (own, _) = owned.queue.of_brand(ask.class, ask.brand);
        let weight = self.weight(ask.brand);
        let others = self.others_weight(owned, ask.class, ask.brand);
        let part = u64::from(most) * u64::from(weight) / (u64::from(weight) + others);
        u64::from(own) >= part || queued >= most * 2
    }

    fn others_weight(&self, owned: &OwnedEngine, class: Class, brand: BrandNo) -> u64 {
        let others = owned.queue.brands(class).filter(|b| *b != brand);
        others.map(|b| u64::from(self.weight(b))).sum()
    }
}
