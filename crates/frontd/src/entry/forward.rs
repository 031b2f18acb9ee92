//! Forwards one request until the head of its answer has arrived.
//!
//! [`receive`] reads the request, [`enter`] lets it in where room is shared, [`wait`] chooses a
//! target, [`send`] sends it there, and [`silent`] sends it to another one while the first says
//! nothing, [`hedged`] sooner if that is late. [`stop`] ends it with its instance.
//! This module decides whether a failed request may be retried and what the caller is
//! told.

mod enter;
mod hedged;
pub(super) mod receive;
mod send;
mod sending;
mod silent;
mod stop;
pub(super) mod wait;

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
    time::Duration,
};

use account::Account;
use base::{Fingerprint, SoftwareVersion};
use bytes::Bytes;
use daemon::Fate;
use gateway::{
    table::{Kind, Route},
    view::Backup,
};
use hyper::{
    HeaderMap, Method, Response,
    header::{CONTENT_ENCODING, CONTENT_TYPE, HOST},
};
use quarantine::{BrokenRun, Held};
use telemetry::{event, prom_metrics};
use tokio::time::{Instant, sleep};
use web::{
    body::Body,
    client::{Answer, Broken},
};

pub(super) use self::{receive::answer, sending::InFlight};
use self::{send::SendOutcome, sending::Sending, stop::STOP_RETRY_AFTER};
use super::{
    admission::Entered,
    answer::{RequestError, Why, claims_not_run},
    crash::{self, Ended, EndedRun},
    headers,
    relay::Relay,
    state::State,
    streams::Stream,
};

/// Retry-After for a request that found no target or no adapter: an engine loads an
/// adapter in a quarter of a second, an election takes about a second.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Pause before a target is tried again that refused because an adapter is still being
/// loaded.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// How long a sound target may take no connections.
const LONGEST_SILENCE: Duration = Duration::from_secs(3);

/// Pause between two checks of a target that takes no connections.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Refusals by targets after which a request is given up.
const MAX_REFUSALS: u32 = 6;

/// An answer whose head takes longer than this is logged: half of the time to the head
/// that callers of live streams are promised.
const SLOW_HEAD: Duration = Duration::from_millis(300);

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Size of a body, in bytes, up to which an answer is remembered though nothing speaks
/// against the request; hashing a larger one takes a millisecond and more.
const ANSWERED_BODY_MAX: usize = 256 << 10;

/// A request of a caller that is being forwarded.
pub(super) struct ActiveRequest {
    pub(super) state: Arc<State>,
    pub(super) route: Route,
    pub(super) service: String,
    pub(super) adapter: String,
    pub(super) id: String,
    /// The account that it is sent for, if callers have accounts, and the units that it
    /// counts for.
    account: Option<Arc<Account>>,
    cost: f64,
    /// That it was let in, where room is shared.
    entered: Option<Entered>,
    /// Tokens of the prompt, and the most tokens of the answer, as the caller says.
    prompt_tokens: u64,
    max_answer_tokens: u64,
    /// Copy of the run's KV cache at another target, with the versions of weights and
    /// adapter that it was computed with.
    pub(super) backup: Option<Backup>,
    /// What its caller has of the stream that it asks for.
    stream: Stream,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    pub(super) deadline: Instant,
    arrived: Instant,
    /// Since when a target is looked for: from its arrival, or since its stream broke.
    waiting_from: Instant,
    tried: BTreeSet<String>,
    /// Computed when it is first needed.
    fingerprint: OnceLock<Fingerprint>,
    /// The parts of its prompt that other requests may share, computed when they are first needed.
    parts: OnceLock<Vec<Fingerprint>>,
    /// Number of targets on which the request runs or may have run.
    pub(super) possible_runs: u32,
    refusals: u32,
    sends: u32,
    /// Time from arrival until the first target was chosen.
    placement_time: Duration,
    /// Sends that may have reached a target; each one after the first is a retry and is
    /// charged to the budget.
    possible_sends: u32,
}

impl ActiveRequest {
    async fn run(mut self, headers: &HeaderMap) -> Response<Body> {
        let names = Arc::clone(&self.state.platform.header_names);
        self.state.count_request(&self.service);
        if !self.adapter.is_empty() {
            self.state.view().count_request(&self.adapter);
        }
        let sent = match self.check_held().and_then(|()| self.enter()) {
            Ok(()) => self.send_until_ended().await,
            Err(refused) => Err(refused),
        };
        match sent {
            Ok((answer, in_flight)) => {
                let kind = self.route.kind.as_str();
                prom_metrics().answered(kind, self.placement_time, self.arrived.elapsed());
                prom_metrics().request("answered");
                self.log_if_slow(&in_flight.id);
                self.into_response(answer, in_flight)
            }
            Err(err) => {
                prom_metrics().request(err.label());
                self.give_back(err);
                if matches!(err, RequestError::NotRun { .. }) {
                    self.state.hedging().refused(self.state.now());
                }
                event!(
                    telemetry::Event::RequestFailed,
                    request = self.id,
                    route = self.route.name,
                    service = self.service,
                    adapter = self.adapter,
                    account = self.account_name(),
                    how = format!("{err:?}"),
                    why = err.reason(),
                    sends = self.sends,
                    refusals = self.refusals,
                    held_ms = millis(self.arrived.elapsed())
                );
                err.response(headers, &names)
            }
        }
    }

    /// Sends the request until a target answers it or no further attempt is allowed.
    /// `last` is the id of the last event that the caller has, where a stream is resumed.
    pub(super) async fn send_until_answered(
        &mut self,
        last: Option<&str>,
    ) -> Result<(Answer, InFlight), RequestError> {
        loop {
            let target = self.next_target().await?;
            let Some(mut sending) = self.dispatch(&target, last) else {
                self.after_failed_send(target, &SendOutcome::Unreached)
                    .await?;
                continue;
            };
            let taken = match sending.ended_or_late().await {
                Ok(result) => self.take(sending, result).await?,
                // Boxed, as few targets are late and each request would hold the space for it.
                Err(late) => Box::pin(self.await_late(sending, late, last)).await?,
            };
            if let Some(answered) = taken {
                return Ok(answered);
            }
        }
    }

    /// Waits for a target that the request may be sent to now.
    async fn next_target(&mut self) -> Result<String, RequestError> {
        let target = self.wait_for_target().await?;
        self.check_held()?;
        self.check_stop()?;
        if self.possible_sends > 0 && !self.state.try_retry(&self.service) {
            return Err(self.give_up(Why::Repeats));
        }
        Ok(target)
    }

    /// Begins to send the request to `target`, unless that is no longer known.
    fn dispatch(&mut self, target: &str, last: Option<&str>) -> Option<Sending> {
        if self.sends == 0 {
            self.placement_time = self.arrived.elapsed();
        }
        self.sends += 1;
        self.possible_sends += 1;
        self.possible_runs += 1;
        self.backup = self.choose_backup(target);
        self.begin(target, last, false)
    }

    /// Takes what came of a send: the answer, if it is to be passed on.
    ///
    /// # Errors
    ///
    /// Fails if there is none and the request may not be sent again.
    async fn take(
        &mut self,
        sending: Sending,
        result: Result<Answer, Broken>,
    ) -> Result<Option<(Answer, InFlight)>, RequestError> {
        let target = sending.in_flight.id.clone();
        let sent = self.outcome(sending.in_flight, result);
        prom_metrics().send(sent.label());
        match sent {
            SendOutcome::Answered(answer, in_flight) => {
                if answer.status.is_server_error() && self.may_retry() {
                    self.log_attempt(&target, answer.status.as_str());
                    self.tried.insert(target);
                    return Ok(None);
                }
                self.confirm_backup(&answer);
                Ok(Some((*answer, in_flight)))
            }
            failed => {
                self.after_failed_send(target, &failed).await?;
                Ok(None)
            }
        }
    }

    /// Notes a send that brought no answer.
    ///
    /// # Errors
    ///
    /// Fails if the request may not be sent again.
    async fn after_failed_send(
        &mut self,
        target: String,
        failed: &SendOutcome,
    ) -> Result<(), RequestError> {
        match failed {
            SendOutcome::Answered(..) => {}
            SendOutcome::Unreached => {
                self.log_attempt(&target, "unreached");
                self.possible_sends -= 1;
                self.possible_runs -= 1;
                self.tried.insert(target);
                return self.note_refusal();
            }
            SendOutcome::NoPath => {
                self.log_attempt(&target, "no path");
                self.possible_runs -= 1;
                return Err(self.give_up(Why::CutOff));
            }
            SendOutcome::NotRun { missing_adapter } => {
                self.log_attempt(&target, "not run");
                self.possible_runs -= 1;
                self.note_refusal()?;
                if *missing_adapter {
                    sleep(REFUSED_PAUSE).await;
                } else {
                    self.tried.insert(target);
                }
            }
            SendOutcome::Unknown => {
                self.log_attempt(&target, "in doubt");
                self.tried.insert(target);
                if Instant::now() >= self.deadline {
                    return Err(RequestError::Late);
                }
                if !self.may_retry() {
                    return Err(RequestError::Failed { why: Why::Attempts });
                }
            }
        }
        Ok(())
    }

    /// Counts a refusal.
    ///
    /// # Errors
    ///
    /// Fails after too many.
    fn note_refusal(&mut self) -> Result<(), RequestError> {
        self.refusals += 1;
        if self.refusals >= MAX_REFUSALS {
            return Err(self.give_up(Why::Refusals));
        }
        Ok(())
    }

    /// Gives the account back what the request counted for, if it has not run.
    fn give_back(&self, err: RequestError) {
        if let (RequestError::NotRun { .. }, Some(account)) = (err, &self.account) {
            self.state.meter().give_back(&account.name, self.cost);
        }
    }

    fn account_name(&self) -> &str {
        let account = self.account.as_deref();
        account.map_or("", |account| account.name.as_str())
    }

    /// Logs a request whose answer began late.
    fn log_if_slow(&self, target: &str) {
        let head = self.arrived.elapsed();
        if head < SLOW_HEAD {
            return;
        }
        event!(
            telemetry::Event::RequestSlow,
            request = self.id,
            route = self.route.name,
            adapter = self.adapter,
            target = target,
            head_ms = millis(head),
            place_ms = millis(self.placement_time),
            sends = self.sends,
            refusals = self.refusals
        );
    }

    fn log_attempt(&self, target: &str, how: &str) {
        event!(
            telemetry::Event::AttemptFailed,
            request = self.id,
            target = target,
            how = how
        );
    }

    /// Returns the fingerprint of what the request asks for: a request that is sent again
    /// under another id has the same one.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = headers::text(&self.headers, &HOST).unwrap_or_default();
            Fingerprint::of(&[
                host.as_bytes(),
                self.method.as_str().as_bytes(),
                self.path.as_bytes(),
                self.adapter.as_bytes(),
                &self.body,
            ])
        })
    }

    /// Returns the fingerprints of the parts of its prompt that other requests may share.
    pub(super) fn parts(&self) -> &[Fingerprint] {
        self.parts.get_or_init(|| {
            let name = &self.state.platform.header_names.prompt_parts;
            headers::shared_parts(&self.headers, name)
        })
    }

    /// Returns what of the request is refused for longest, if anything is.
    fn held(&self) -> Option<(Fingerprint, Held)> {
        let guard = self.state.guard();
        if guard.is_calm() {
            return None;
        }
        let now = self.state.now();
        let whole = self.fingerprint();
        let ids = self.parts().iter().copied().chain([whole]);
        ids.filter_map(|id| Some((id, guard.held(now, &id)?)))
            .max_by_key(|(_, held)| held.left)
    }

    /// Returns whether the request may be sent to one more target.
    pub(super) fn may_retry(&self) -> bool {
        self.route.kind.retryable() && self.possible_runs < self.route.attempts
    }

    /// Sends the request to `target` no more.
    pub(super) fn avoid(&mut self, target: &str) {
        self.tried.insert(target.to_owned());
    }

    /// Allows `target` again, which goes on with the request.
    pub(super) fn stay_at(&mut self, target: &str) {
        self.tried.remove(target);
    }

    /// Returns the rejection of a request that crashes the targets that run it.
    ///
    /// Failure: a caller resends such a request under new ids and at other instances.
    /// Each send would end one more target with all that runs there.
    fn check_held(&self) -> Result<(), RequestError> {
        let Some((id, held)) = self.held() else {
            return Ok(());
        };
        base::hit!(crashing_request_refused);
        event!(
            telemetry::Event::HeldRefused,
            request = self.id,
            fingerprint = id.to_string(),
            kind = id.kind(),
            crashes = held.crashes,
            left_ms = held.left.as_millis()
        );
        if self.possible_runs > 0 {
            return Err(RequestError::Failed { why: Why::Held });
        }
        Err(RequestError::NotRun {
            again: held.left,
            why: Why::Held,
        })
    }

    /// Returns whether a target's answer is a stream of events that can be told apart: not an
    /// encoded one.
    pub(super) fn streams(&self, answer: &Answer) -> bool {
        if !answer.status.is_success() || answer.headers.contains_key(CONTENT_ENCODING) {
            return false;
        }
        match headers::text(&answer.headers, &CONTENT_TYPE) {
            Some(kind) => kind.starts_with(EVENT_STREAM),
            None => matches!(self.route.kind, Kind::Stream { .. }),
        }
    }

    /// Notes that an answer that speaks for its request has arrived in full.
    pub(super) fn note_answered(&self, in_flight: &InFlight) {
        let sent = self.state.now() - in_flight.ran();
        crash::parts_answered(&self.state, self.parts(), sent);
        let calm = self.state.guard().is_calm();
        if self.body.len() > ANSWERED_BODY_MAX && calm {
            return;
        }
        crash::answered(&self.state, self.fingerprint());
    }

    /// Notes for how long a target has been writing the answer, which goes on.
    pub(super) fn note_writing(&self, in_flight: &InFlight) {
        let (Some(wrote), true) = (in_flight.wrote(), self.state.guard().watches_parts()) else {
            return;
        };
        let sent = self.state.now() - in_flight.ran();
        crash::parts_written(&self.state, self.parts(), sent, wrote);
    }

    /// Has the target checked if the connection of a run there broke.
    pub(super) fn note_broken(&self, in_flight: &InFlight, broken: &Broken) {
        if broken.is_cut() {
            self.note_cut(in_flight);
        }
    }

    /// Has the target checked after it has ended an answer that isn't complete.
    pub(super) fn note_cut(&self, in_flight: &InFlight) {
        self.check_target(in_flight, Ended::Cut);
    }

    /// Has the target checked after it has ended an answer by closing its connection, which
    /// proves nothing: a crash closes it as well. `clears` says whether a complete answer like this
    /// speaks for its request.
    pub(super) fn note_closed(&self, in_flight: &InFlight, clears: bool) {
        let ended = if clears {
            Ended::Closed
        } else {
            Ended::ClosedUnsound
        };
        self.check_target(in_flight, ended);
    }

    fn check_target(&self, in_flight: &InFlight, ended: Ended) {
        let run = EndedRun {
            request: self.id.clone(),
            adapter: self.adapter.clone(),
            ended,
            run: BrokenRun {
                fingerprint: self.fingerprint(),
                parts: self.parts().to_vec(),
                at: self.state.now(),
                ran: in_flight.ran(),
                wrote: in_flight.wrote(),
            },
        };
        crash::run_ended(&self.state, &in_flight.id, run);
    }

    /// Returns whether the target of a run takes connections. One that is silent is asked again
    /// for as long as a sound target may be.
    pub(super) async fn still_runs(&self, in_flight: &InFlight) -> bool {
        let addr = self.state.view().addr(&in_flight.id).map(str::to_owned);
        let Some(Ok(addr)) = addr.map(|addr| addr.parse()) else {
            return false;
        };
        let until = self.deadline.min(Instant::now() + LONGEST_SILENCE);
        loop {
            match self.state.paths.fate(addr).await {
                Fate::Running => return true,
                Fate::Crashed => return false,
                Fate::Silent if Instant::now() >= until => return false,
                Fate::Silent => sleep(CHECK_PAUSE).await,
            }
        }
    }

    /// Continues a broken stream at another target, after its last complete event.
    pub(super) async fn continue_elsewhere(
        &mut self,
        last: Option<&str>,
    ) -> Option<(Answer, InFlight)> {
        if !self.stream.may_go_on(&self.state) {
            self.log_not_continued("software_unknown");
            return None;
        }
        if let Some(last) = last
            && self.backup.is_some()
        {
            self.check_held().ok()?;
            return self.restore(last).await;
        }
        let may = self.may_retry() && Instant::now() < self.deadline;
        if !may {
            self.log_not_continued(&format!("{:?}", Why::Attempts));
            return None;
        }
        self.waiting_from = Instant::now();
        match self.send_until_answered(last).await {
            Ok(answered) => Some(answered),
            Err(err) => {
                self.log_not_continued(&err.reason());
                None
            }
        }
    }

    /// Notes that events that `in_flight` made were passed on.
    pub(super) fn note_events(&mut self, in_flight: &InFlight) {
        if self.stream.is_told() {
            return;
        }
        let software = in_flight.software();
        self.stream.passed_on(
            &self.state,
            &self.service,
            (&in_flight.id, software.as_ref()),
        );
    }

    /// Returns the software version that began the stream, for the log.
    pub(super) fn began_at(&self) -> &str {
        self.stream.software().map_or("", SoftwareVersion::as_str)
    }

    fn log_not_continued(&self, why: &str) {
        event!(
            telemetry::Event::StreamRefused,
            request = self.id,
            why = why
        );
    }

    fn give_up(&self, why: Why) -> RequestError {
        if self.possible_runs > 0 {
            return RequestError::Failed { why };
        }
        let again = match why {
            Why::Stopping => STOP_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        RequestError::NotRun { again, why }
    }

    /// Passes a target's answer on to the caller.
    fn into_response(self, answer: Answer, in_flight: InFlight) -> Response<Body> {
        let names = Arc::clone(&self.state.platform.header_names);
        let status = answer.status;
        if claims_not_run(status) {
            // Failure: a target that ran the request answers with a status that callers
            // take to mean that it has not run, so they would send it again.
            base::hit!(false_promise);
            let failed = RequestError::Failed {
                why: Why::FalsePromise,
            };
            return failed.response(&self.headers, &names);
        }
        let resumable = match self.route.kind {
            Kind::Stream { resumable } => resumable || self.backup.is_some(),
            Kind::Safe | Kind::Unsafe => false,
        };
        Relay::new(self, answer, in_flight, resumable).into_response()
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
