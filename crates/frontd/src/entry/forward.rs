//! One request, from its arrival to the head of its answer.
//!
//! [`arrive`] reads it, [`wait`] finds it a target, [`send`] sends it there; here
//! is decided whether it may be sent once more and what its caller is told.

mod arrive;
mod send;
mod wait;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use gateway::{
    table::{Kind, Route},
    view::Backup,
};
use hyper::{HeaderMap, Method, Response};
use telemetry::{event, prom_metrics};
use tokio::time::{Instant, sleep};
use web::{body::Body, client::Answer};

use self::send::Sent;
pub(super) use self::{arrive::answer, send::Place};
use super::{
    answer::{Ended, Why, promises},
    heads,
    relay::{Relay, Resume},
    state::State,
};

/// When a caller should come back that met no target or no adapter: an engine
/// takes a quarter of a second to load, an election about a second.
const AGAIN: Duration = Duration::from_millis(700);

/// Pause before a target is tried again that refused for want of an adapter
/// that is on its way.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// Refusals that one request meets before it is given up.
const REFUSALS_MAX: u32 = 6;

/// An answer that begins later than this is worth a line: half of what callers
/// of live streams are promised.
const SLOW: Duration = Duration::from_millis(300);

/// A request under way.
pub(super) struct Job {
    pub(super) state: Arc<State>,
    pub(super) route: Route,
    pub(super) service: String,
    pub(super) adapter: String,
    pub(super) id: String,
    /// Tokens of its prompt, and of its answer at most.
    tokens: u64,
    answer_tokens: u64,
    /// The copy of the run's memory, and what it is made with.
    pub(super) backup: Option<Backup>,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    pub(super) until: Instant,
    arrived: Instant,
    tried: BTreeSet<String>,
    /// Targets on which it may have run.
    pub(super) ran: u32,
    refusals: u32,
    sends: u32,
    /// How long it took to find the first target.
    placed: Duration,
    /// Sends that may have reached a target: each further one is a repeat.
    reached: u32,
}

impl Job {
    async fn run(mut self, headers: &HeaderMap) -> Response<Body> {
        let dialect = Arc::clone(&self.state.outside.dialect);
        self.state.request(&self.service);
        if !self.adapter.is_empty() {
            self.state.view().count(&self.adapter);
        }
        match self.until_answered(None).await {
            Ok((answer, place)) => {
                let kind = self.route.kind.as_str();
                prom_metrics().answered(kind, self.placed, self.arrived.elapsed());
                prom_metrics().request("answered");
                self.note_slow(&place.id);
                self.pass_on(answer, place)
            }
            Err(ended) => {
                prom_metrics().request(ended.label());
                event!(
                    telemetry::Event::RequestFailed,
                    request = self.id,
                    route = self.route.name,
                    service = self.service,
                    adapter = self.adapter,
                    how = format!("{ended:?}"),
                    why = ended.why(),
                    sends = self.sends,
                    refusals = self.refusals,
                    held_ms = millis(self.arrived.elapsed())
                );
                ended.response(headers, &dialect)
            }
        }
    }

    /// Sends the request until a target answers it, or nothing more may be
    /// tried.
    pub(super) async fn until_answered(
        &mut self,
        last: Option<&str>,
    ) -> Result<(Answer, Place), Ended> {
        loop {
            let target = self.target().await?;
            if self.reached > 0 && !self.state.repeat(&self.service) {
                return Err(self.given_up(Why::Repeats));
            }
            if self.sends == 0 {
                self.placed = self.arrived.elapsed();
            }
            self.sends += 1;
            self.reached += 1;
            self.backup = self.choose_backup(&target);
            let sent = self.send(&target, last, false).await;
            prom_metrics().send(sent.label());
            match sent {
                Sent::Answer(answer, place) => {
                    if self.worth_another(&answer) {
                        self.note_attempt(&target, answer.status.as_str());
                        self.tried.insert(target);
                        continue;
                    }
                    self.confirm_backup(&answer);
                    return Ok((*answer, place));
                }
                Sent::Unreached => {
                    self.note_attempt(&target, "unreached");
                    self.reached -= 1;
                    self.refusals += 1;
                    self.tried.insert(target);
                    if self.refusals >= REFUSALS_MAX {
                        return Err(self.given_up(Why::Refusals));
                    }
                }
                Sent::NotRun { lacks } => {
                    self.note_attempt(&target, "not run");
                    self.refusals += 1;
                    if self.refusals >= REFUSALS_MAX {
                        return Err(self.given_up(Why::Refusals));
                    }
                    if lacks {
                        sleep(REFUSED_PAUSE).await;
                    } else {
                        self.tried.insert(target);
                    }
                }
                Sent::InDoubt => {
                    self.note_attempt(&target, "in doubt");
                    self.ran += 1;
                    self.tried.insert(target);
                    if Instant::now() >= self.until {
                        return Err(Ended::Late);
                    }
                    if !self.may_run_again() {
                        return Err(Ended::Failed);
                    }
                }
            }
        }
    }

    /// Logs a request whose answer began late.
    fn note_slow(&self, target: &str) {
        let head = self.arrived.elapsed();
        if head < SLOW {
            return;
        }
        event!(
            telemetry::Event::RequestSlow,
            request = self.id,
            route = self.route.name,
            adapter = self.adapter,
            target = target,
            head_ms = millis(head),
            place_ms = millis(self.placed),
            sends = self.sends,
            refusals = self.refusals
        );
    }

    fn note_attempt(&self, target: &str, how: &str) {
        event!(
            telemetry::Event::AttemptFailed,
            request = self.id,
            target = target,
            how = how
        );
    }

    fn may_run_again(&self) -> bool {
        self.route.kind.repeatable() && self.ran < self.route.attempts
    }

    /// Notes that a stream broke off at a target.
    pub(super) fn leave(&mut self, target: &str) {
        self.ran += 1;
        self.tried.insert(target.to_owned());
    }

    /// Goes on with a broken stream elsewhere, after its last whole event.
    pub(super) async fn elsewhere(&mut self, last: Option<&str>) -> Option<(Answer, Place)> {
        if let Some(last) = last
            && self.backup.is_some()
        {
            return self.restore(last).await;
        }
        let may = self.may_run_again() && Instant::now() < self.until;
        if !may {
            return None;
        }
        self.until_answered(last).await.ok()
    }

    fn given_up(&self, why: Why) -> Ended {
        if self.ran > 0 {
            return Ended::Failed;
        }
        Ended::NotRun { again: AGAIN, why }
    }

    /// Tells whether a failure that a target answered may be tried elsewhere.
    fn worth_another(&mut self, answer: &Answer) -> bool {
        if !answer.status.is_server_error() {
            return false;
        }
        self.ran += 1;
        self.may_run_again()
    }

    /// Passes a target's answer on to the caller.
    fn pass_on(self, answer: Answer, place: Place) -> Response<Body> {
        let dialect = Arc::clone(&self.state.outside.dialect);
        let status = answer.status;
        if promises(status) {
            // Failure: a target that ran the request answers with a status by
            // which callers understand that it has not run. They would send it
            // again.
            base::hit!(false_promise);
            return Ended::Failed.response(&self.headers, &dialect);
        }
        let headers = heads::back(&answer.headers);
        let resume = match self.route.kind {
            Kind::Stream { resumable } if status.is_success() => {
                (resumable || self.backup.is_some()).then(Resume::default)
            }
            _ => None,
        };
        let relay = Relay::new(self, answer, place, resume);
        let mut resp = Response::new(relay.into_body());
        *resp.status_mut() = status;
        *resp.headers_mut() = headers;
        resp
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
