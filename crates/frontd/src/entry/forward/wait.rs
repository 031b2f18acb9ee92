//! Waits for a target that can take a request.

use std::time::Duration;

use gateway::view::{BRIEF_REST, Choice};
use tokio::time::{Instant, sleep, sleep_until};
use wire::stream::SoftwareWant;

use super::{ActiveRequest, DEFAULT_RETRY_AFTER};
use crate::entry::{
    answer::{RequestError, Why},
    limits,
};

/// Interval at which the zone's owner is asked again to load an adapter that no target
/// holds.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// After this time without success an adapter is requested in its next zone as well. With
/// a shorter time every zone loaded a copy whenever loads were queued everywhere.
const NEXT_ZONE_AFTER: Duration = Duration::from_millis(900);

/// How long a request waits for the targets of zones that a restarted instance hasn't
/// heard from yet. They may hold the adapter: engines outlive our processes, and a second
/// copy takes memory and time of the weight store from other adapters. After a restart of
/// the whole deployment all owners are known within 400 ms.
const SETTLING_WAIT: Duration = Duration::from_millis(700);

/// Part of a request's time that it waits for an adapter. After that the caller is told
/// to retry while it still can.
const ADAPTER_WAIT_PART: f64 = 0.35;

/// Longest wait for an adapter. Callers abandon a stream without any event after some two
/// seconds.
const ADAPTER_WAIT_MAX: Duration = Duration::from_millis(1_600);

/// Retry-After while no reachable zone has an owner: control instances restart or elect a
/// leader within about two seconds.
pub(in crate::entry) const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Largest part by which callers are told to come back later than a target rests.
const RETURN_SPREAD: f64 = 0.25;

/// Upper limit of Retry-After, as a part of the caller's remaining time.
const RETRY_AFTER_PART: f64 = 0.32;

impl ActiveRequest {
    /// Waits for a target that can take the request, and returns its id.
    pub(super) async fn wait_for_target(&self) -> Result<String, RequestError> {
        let from = self.waiting_from;
        let left = self.deadline.saturating_duration_since(from);
        let mut ask_at = from;
        let give_up_at = from + patience(left);
        let settled_by = give_up_at.min(from + SETTLING_WAIT);
        loop {
            let changed = self.state.changed.notified();
            let now = Instant::now();
            if now >= self.deadline {
                return Err(self.past_deadline());
            }
            let choice = self.state.view().choose(
                self.state.now(),
                &self.service,
                &self.adapter,
                &self.tried,
                self.stream.software(),
            );
            match choice {
                Choice::Send(target) => {
                    if self.stream.software().is_none() {
                        self.state.request_copy(&self.service, &self.adapter);
                    }
                    if self.permit(&target).await.is_ok() {
                        return Ok(target);
                    }
                }
                Choice::Limited(target, wait) => {
                    let patience = give_up_at.saturating_duration_since(now);
                    if !self.wait_unblocked(&target, wait, patience).await {
                        return Err(self.reject_for(wait, Why::Limited));
                    }
                }
                Choice::Resting(_, wait) => {
                    if wait > BRIEF_REST || now + wait > give_up_at {
                        return Err(self.reject_for(spread(wait), Why::Resting));
                    }
                    sleep(wait).await;
                }
                Choice::Wait(wait) => sleep(wait.max(Duration::from_millis(1))).await,
                Choice::NoTarget | Choice::Missing if now < settled_by && self.settling() => {
                    tokio::select! {
                        () = changed => {}
                        () = sleep_until(settled_by) => {}
                    }
                }
                Choice::NoTarget if self.stream.software().is_some() => {
                    return Err(self.reject_rest());
                }
                Choice::NoTarget => return Err(self.give_up(Why::NoTarget)),
                Choice::Missing if now >= give_up_at => return Err(self.give_up(Why::Waited)),
                Choice::Missing if !self.state.can_order(&self.service) => {
                    return Err(self.reject_for(NO_OWNER_RETRY_AFTER, Why::NoOrders));
                }
                Choice::Missing => {
                    if let Some(wait) = self.queue_wait(give_up_at) {
                        return Err(self.reject_for(wait, Why::Queue));
                    }
                    if now >= ask_at {
                        self.request_load();
                        ask_at = now + ASK_INTERVAL;
                    }
                    tokio::select! {
                        () = changed => {}
                        () = sleep_until(ask_at.min(give_up_at)) => {}
                    }
                }
            }
        }
    }

    /// Returns whether a target that could take the request may still be reported.
    fn settling(&self) -> bool {
        let rest = self.stream.software().is_some();
        self.state.settling() || rest && self.state.view().awaits_software(&self.service)
    }

    /// Rejects the rest of a stream that no target of its software version can take. Coming
    /// back is worthwhile only if one does by then.
    fn reject_rest(&self) -> RequestError {
        let why = Why::NoSoftware;
        self.log_not_continued("no_target");
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.reject_for(left, why)
    }

    fn past_deadline(&self) -> RequestError {
        if self.possible_runs > 0 {
            return RequestError::Late;
        }
        RequestError::NotRun {
            again: DEFAULT_RETRY_AFTER,
            why: Why::Deadline,
        }
    }

    /// Requests a load of the adapter: in its home zone, and later in its next ones.
    fn request_load(&self) {
        let waited = self.waiting_from.elapsed().as_millis();
        let round = waited / NEXT_ZONE_AFTER.as_millis();
        let round = usize::try_from(round).unwrap_or(usize::MAX);
        let Some(software) = self.stream.software() else {
            return self.state.request_load(&self.service, &self.adapter, round);
        };
        let want = SoftwareWant {
            adapter: self.adapter.clone(),
            software: software.clone(),
        };
        self.state.request_load_at(&self.service, want, round);
    }

    /// Waits until `target` is no longer blocked, for `patience` at the most. Returns whether
    /// that was worthwhile.
    async fn wait_unblocked(&self, target: &str, wait: Duration, patience: Duration) -> bool {
        if wait > patience || !self.state.view().limits().wait(target, patience) {
            return false;
        }
        let _waiting = limits::Waiting::new(&self.state, target);
        sleep(wait).await;
        true
    }

    /// Gets a permit for this request at a target, if that names a limit.
    ///
    /// # Errors
    ///
    /// Returns the time after which a permit may be had.
    pub(super) async fn permit(&self, target: &str) -> Result<(), Duration> {
        let sender = limits::Sender {
            account: self.account.as_deref().map(|account| &account.name),
            priority: self.route.priority,
        };
        limits::permit(&self.state, target, sender).await
    }

    /// Returns the time until the adapter is loaded, if the request doesn't wait that
    /// long.
    ///
    /// Failure: more rare adapters are requested than the weight store can serve. Their
    /// callers waited for 1.4 s of the 4 s that they had and were rejected, and so was
    /// their second try. A request whose adapter is too far back in the queue is rejected
    /// at once.
    fn queue_wait(&self, give_up_at: Instant) -> Option<Duration> {
        if self.stream.software().is_some() {
            return None;
        }
        let now = self.state.now();
        let at = self.state.view().expected(now, &self.adapter)?;
        let wait = at.since(now);
        (Instant::now() + wait > give_up_at).then_some(wait)
    }

    /// Rejects a request whose adapter can't be loaded for `wait`.
    ///
    /// Failure: while no zone has an owner, requests for adapters that no target holds
    /// would wait until their callers leave. They are told at once when a load is
    /// possible again; callers retry within a third of the time that they have.
    fn reject_for(&self, wait: Duration, why: Why) -> RequestError {
        if self.possible_runs > 0 {
            return RequestError::Failed { why };
        }
        base::hit!(told_to_come_back);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let again = retry_after(wait, left);
        RequestError::NotRun { again, why }
    }
}

/// Returns a random time of `wait` and somewhat more, so that callers who are refused together
/// don't come back together.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(1.0 + RETURN_SPREAD * rand::random::<f64>())
}

/// Returns how long a request waits for an adapter, or for a target that is blocked, if its
/// caller has so much time `left`.
pub(in crate::entry) fn patience(left: Duration) -> Duration {
    left.mul_f64(ADAPTER_WAIT_PART).min(ADAPTER_WAIT_MAX)
}

/// Returns when a caller with so much time `left` is told to come back, if nothing can be done
/// for `wait`.
pub(in crate::entry) fn retry_after(wait: Duration, left: Duration) -> Duration {
    wait.min(left.mul_f64(RETRY_AFTER_PART))
        .max(DEFAULT_RETRY_AFTER)
}
