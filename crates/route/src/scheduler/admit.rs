//! Admission control: requests that can't be served in time are refused at once.

use std::time::Duration;

use base::{BrandNo, Class, Failure, Refusal, TargetNo, Ticket, Time};

use crate::{
    Output, RequestSpec,
    scheduler::{Scheduler, owned::OwnedEngine},
};

/// Live requests that may queue for one engine, as a multiple of its batch size.
const LIVE_QUEUE_BATCHES: u32 = 8;

/// Batch requests that may queue for one engine. Bounds memory at about ten megabytes;
/// large batch jobs are spread over engines.
const BATCH_QUEUE_MAX: u32 = 50_000;

/// Safety factor on the estimated wait for a load: it may take longer, because requests
/// that arrive later for another adapter go first if more of them wait.
const LOAD_MARGIN: f64 = 2.0;

/// Longest `Retry-After` before it is spread, in seconds.
const RETRY_AFTER_MAX_SECS: f64 = 60.0;

/// Longest rest of an engine for which a new request is queued there.
const REST_WAIT: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Checks a new request against class, brand and deadline.
    ///
    /// Guards against queueing during an overload: queues would grow until every answer
    /// is late, and all work would be done for callers that have left. A critical request
    /// is refused only where the engine is not owned or its adapter's load is backed off
    /// beyond the deadline.
    ///
    /// # Errors
    ///
    /// Fails as `not run` when the request can't be served in time or its brand is over
    /// its share of the queue.
    pub(super) fn admit(
        &mut self,
        now: Time,
        target: TargetNo,
        spec: &RequestSpec,
    ) -> Result<(), Failure> {
        if let Some(failure) = self.resting(now, target) {
            return Err(failure);
        }
        let Some(owned) = self.engines.get(&target) else {
            return Err(Failure::not_run(Refusal::Unavailable));
        };
        let backed_off = spec
            .key
            .and_then(|key| self.backoff.until(now, target, key));
        if let Some(until) = backed_off.filter(|until| !self.can_wait(spec, *until)) {
            let wait = self.retry_after(until.since(now).as_secs_f64());
            return Err(Failure::not_run(Refusal::Unavailable).retry_after(wait));
        }
        if spec.class == Class::Critical {
            return Ok(());
        }
        let secs = self.wait_secs(owned, spec);
        if self.over_share(owned, spec) {
            base::hit!(brand_over_share);
            let wait = self.retry_after(secs);
            return Err(Failure::not_run(Refusal::Overloaded).retry_after(wait));
        }
        let tail = match spec.class {
            Class::Batch => owned.run_secs(spec.tokens.get()),
            _ => 0.0,
        };
        if now + Duration::from_secs_f64(secs + tail) > spec.deadline {
            base::hit!(deadline_out_of_reach);
            let wait = self.retry_after(secs);
            return Err(Failure::not_run(Refusal::Deadline).retry_after(wait));
        }
        Ok(())
    }

    /// Notes that an engine wants nothing for so long. What is queued there goes elsewhere,
    /// unless the rest is brief.
    pub(super) fn rest(
        &mut self,
        now: Time,
        target: TargetNo,
        rest: Duration,
        out: &mut Vec<Output>,
    ) {
        self.rests.asked(now, &target, rest);
        let Some(failure) = self.resting(now, target) else {
            return;
        };
        let owned = self.engines.get(&target);
        let queued = owned
            .into_iter()
            .flat_map(|owned| owned.due.iter().flatten());
        let queued: Vec<Ticket> = queued.map(|(_, ticket)| *ticket).collect();
        for ticket in queued {
            self.refuse(ticket, failure.clone(), out);
        }
    }

    /// Returns the refusal of a request for an engine that rests for longer than a request waits
    /// there.
    fn resting(&mut self, now: Time, target: TargetNo) -> Option<Failure> {
        let rest = self.rests.left(now, &target)?;
        if rest <= REST_WAIT {
            return None;
        }
        base::hit!(resting_engine_refused);
        let wait = self.retry_after(rest.as_secs_f64());
        Some(Failure::not_run(Refusal::Unavailable).retry_after(wait.max(rest)))
    }

    /// Returns a random `Retry-After` from half to one and a half of `secs`, so that
    /// callers refused at the same time don't return at the same time.
    pub(super) fn retry_after(&mut self, secs: f64) -> Duration {
        let wait = secs.clamp(1.0, RETRY_AFTER_MAX_SECS) * (0.5 + self.rng.next_f64());
        Duration::from_secs_f64(wait)
    }

    /// Estimates the seconds that a request would wait before being sent.
    fn wait_secs(&self, owned: &OwnedEngine, spec: &RequestSpec) -> f64 {
        let ahead: u64 = match spec.class {
            Class::Batch => Class::ALL.into_iter().map(|c| owned.queue.tokens(c)).sum(),
            _ => owned.queue.tokens(Class::Critical) + self.ahead_of_brand(owned, spec),
        };
        let queue = owned.drain_secs(ahead);
        let load = match spec.key {
            Some(key) if owned.slots.is_ready(key) => 0.0,
            Some(key) if owned.slots.has_or_loads(key) => self.load_secs,
            Some(_) => self.load_wait(spec.class) * LOAD_MARGIN,
            _ => 0.0,
        };
        queue.max(load)
    }

    /// Returns the tokens served before a live request of this brand: at most the brand's
    /// own queue, scaled by the other brands' weights.
    fn ahead_of_brand(&self, owned: &OwnedEngine, spec: &RequestSpec) -> u64 {
        let (_, own) = owned.queue.of_brand(spec.class, spec.brand);
        let weight = u64::from(self.weight(spec.brand));
        let others = self.others_weight(owned, spec.class, spec.brand);
        let fair = (own + u64::from(spec.tokens.get())) * (weight + others) / weight;
        fair.min(owned.queue.tokens(spec.class))
    }

    /// Returns whether the queue is so long that brands are held to their shares, and the
    /// brand has used up its own; or whether the queue is full.
    fn over_share(&self, owned: &OwnedEngine, spec: &RequestSpec) -> bool {
        let most = match spec.class {
            Class::Batch => BATCH_QUEUE_MAX,
            _ => owned.engine.batch * LIVE_QUEUE_BATCHES,
        };
        let queued = owned.queue.queued(spec.class);
        if queued < most / 2 {
            return false;
        }
        let (own, _) = owned.queue.of_brand(spec.class, spec.brand);
        let weight = self.weight(spec.brand);
        let others = self.others_weight(owned, spec.class, spec.brand);
        let part = u64::from(most) * u64::from(weight) / (u64::from(weight) + others);
        u64::from(own) >= part || queued >= most * 2
    }

    fn others_weight(&self, owned: &OwnedEngine, class: Class, brand: BrandNo) -> u64 {
        let others = owned.queue.brands(class).filter(|b| *b != brand);
        others.map(|b| u64::from(self.weight(b))).sum()
    }
}
