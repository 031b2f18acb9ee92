//! Waiting for a target that can take a request.

use std::time::Duration;

use gateway::view::Choice;
use tokio::time::{Instant, sleep, sleep_until};

use super::{AGAIN, Job};
use crate::entry::answer::{Ended, Why};

/// How long a request waits for news of an adapter that nobody holds before
/// its zone's owner is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// After so long in vain an adapter is asked for in its next zone as well. While
/// loads queue up everywhere, sooner only had every zone load a copy.
const NEXT_ZONE: Duration = Duration::from_millis(900);

/// How long a request waits for the targets of zones that a restarted instance
/// hasn't heard of. They may hold its adapter: engines outlive our processes, and
/// a second copy takes place and the store's time from others. All owners are
/// known within 400 ms of a restart of all.
const SETTLING: Duration = Duration::from_millis(700);

/// Part of a request's time that it waits for an adapter; beyond it the caller
/// is told to come back while it still can.
const WAIT_PART: f64 = 0.35;

/// Longest wait for an adapter. Callers leave a stream without any event after
/// some two seconds.
const WAIT_MAX: Duration = Duration::from_millis(1_600);

/// When a caller should come back while nobody in reach gives orders: control
/// instances restart or elect a leader within about two seconds.
const NO_ORDERS: Duration = Duration::from_millis(2_000);

/// Part of the time left after which a caller comes back at the latest.
const RETURN_PART: f64 = 0.32;

impl Job {
    /// Waits for a target that can take the request.
    pub(super) async fn target(&self) -> Result<String, Ended> {
        let left = self.until.saturating_duration_since(self.arrived);
        let mut ask_at = self.arrived;
        let give_up = self.arrived + left.mul_f64(WAIT_PART).min(WAIT_MAX);
        let told = give_up.min(self.arrived + SETTLING);
        loop {
            let changed = self.state.changed.notified();
            let now = Instant::now();
            if now >= self.until {
                return Err(if self.ran > 0 {
                    Ended::Late
                } else {
                    Ended::NotRun {
                        again: AGAIN,
                        why: Why::Deadline,
                    }
                });
            }
            let choice = self.state.view().choose(
                self.state.now(),
                &self.service,
                &self.adapter,
                &self.tried,
            );
            match choice {
                Choice::Send(target) => {
                    self.state.spread(&self.service, &self.adapter);
                    return Ok(target);
                }
                Choice::Wait(wait) => sleep(wait.max(Duration::from_millis(1))).await,
                Choice::NoTarget | Choice::Missing if now < told && self.state.settling() => {
                    tokio::select! {
                        () = changed => {}
                        () = sleep_until(told) => {}
                    }
                }
                Choice::NoTarget => return Err(self.given_up(Why::NoTarget)),
                Choice::Missing if now >= give_up => return Err(self.given_up(Why::Waited)),
                Choice::Missing if !self.state.orderable(&self.service) => {
                    return Err(self.come_back(NO_ORDERS, Why::NoOrders));
                }
                Choice::Missing => {
                    if let Some(wait) = self.expected(give_up) {
                        return Err(self.come_back(wait, Why::Queue));
                    }
                    if now >= ask_at {
                        let waited = self.arrived.elapsed().as_millis();
                        let round = waited / NEXT_ZONE.as_millis();
                        let round = usize::try_from(round).unwrap_or(usize::MAX);
                        self.state.want(&self.service, &self.adapter, round);
                        ask_at = now + ASK_AGAIN;
                    }
                    tokio::select! {
                        () = changed => {}
                        () = sleep_until(ask_at.min(give_up)) => {}
                    }
                }
            }
        }
    }

    /// Returns how long the adapter still takes, where that is more than the
    /// request waits.
    ///
    /// Failure: more rare adapters are asked for than the store serves. Their
    /// callers waited for 1.4 s of the 4 s that they had, were sent away, and
    /// their second try met the same. Whoever is too far back in the queue is
    /// told at once.
    fn expected(&self, give_up: Instant) -> Option<Duration> {
        let now = self.state.now();
        let at = self.state.view().expected(now, &self.adapter)?;
        let wait = at.since(now);
        (Instant::now() + wait > give_up).then_some(wait)
    }

    /// Rejects a request whose adapter can't be loaded for a while.
    ///
    /// Failure: while nobody gives orders, requests for adapters that
    /// nobody holds would wait until their callers leave. They are told at
    /// once when a load is possible again; callers come back within a third of
    /// the time they have.
    fn come_back(&self, wait: Duration, why: Why) -> Ended {
        if self.ran > 0 {
            return Ended::Failed;
        }
        base::hit!(told_to_come_back);
        let left = self.until.saturating_duration_since(Instant::now());
        let again = wait.min(left.mul_f64(RETURN_PART)).max(AGAIN);
        Ended::NotRun { again, why }
    }
}
