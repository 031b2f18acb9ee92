//! One request, from its arrival to the head of its answer.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use base::Mark;
use bytes::Bytes;
use gateway::{
    table::{Kind, Route},
    view::Choice,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::HOST};
use telemetry::event;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use web::{
    body::{Body, ReadLimits, read},
    client::{Answer, Ending, Limits, Send},
};

use super::{
    answer::{Ended, promises, refused},
    heads,
    relay::{Relay, Resume},
    state::State,
};

/// Longest body taken where the operator sets none.
const BODY_MAX: usize = 4 << 20;

/// How long a caller waits where it doesn't say.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long a request waits for news of an adapter that nobody holds before
/// the leader is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// After so long in vain an adapter is asked for in its next zone as well. While
/// loads queue up everywhere, sooner only had every zone load a copy.
const NEXT_ZONE: Duration = Duration::from_millis(900);

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

/// When a caller should come back that met no target or no adapter: an engine
/// takes a quarter of a second to load, an election about a second.
const AGAIN: Duration = Duration::from_millis(700);

/// Pause before a target is tried again that refused for want of an adapter
/// that is on its way.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// Fewest tokens of an answer for which a copy of its run's memory is kept:
/// about half a second of a stream.
const BACKUP_LEAST: u64 = 100;

/// Refusals that one request meets before it is given up.
const REFUSALS_MAX: u32 = 6;

/// How long a connection may take to stand: two zones are some milliseconds
/// apart, and a lost packet is sent again after a second.
const CONNECT: Duration = Duration::from_millis(400);

/// Part of the time left after which a repeatable request without any answer
/// is sent to another target.
const SILENT_PART: f64 = 0.4;

/// How long a stream that can be resumed may be silent. Its events come some
/// tens of milliseconds apart.
const STREAM_SILENT: Duration = Duration::from_millis(1_500);

/// Youngest connections only are used again; see the pool.
const REUSE: Duration = Duration::from_millis(1_000);

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
    /// The target that keeps the run's memory as well.
    backup: Option<String>,
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

/// A request under way at a target; counted until it is dropped.
pub(super) struct Place {
    pub(super) state: Arc<State>,
    pub(super) id: String,
    adapter: String,
    /// Prompt tokens that the target hasn't read yet.
    unread: u64,
}

impl Place {
    /// Notes that the answer has begun, so the prompt is read.
    fn begun(&mut self) {
        let tokens = std::mem::take(&mut self.unread);
        self.state.view().read(&self.id, tokens);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut view = self.state.view();
        view.read(&self.id, self.unread);
        view.end(&self.id, &self.adapter);
    }
}

/// Answers one request of a caller.
pub(super) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let dialect = Arc::clone(&state.outside.dialect);
    let (parts, body) = req.into_parts();
    let headers = parts.headers;
    let Some(table) = state.table() else {
        return Ended::NotRun { again: AGAIN }.response(&headers, &dialect);
    };
    let host = heads::text(&headers, &HOST).unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let host = host.split(':').next().unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()).cloned() else {
        return Ended::NoRoute.response(&headers, &dialect);
    };
    let arrived = Instant::now();
    let bytes = table.limits().map_or(BODY_MAX, |limits| limits.body_bytes);
    let limits = ReadLimits {
        bytes,
        ..ReadLimits::default()
    };
    let body = match read(body, limits).await {
        Ok(body) => body,
        Err(failure) if failure.reason == base::Refusal::TooLarge => {
            return Ended::TooLarge.response(&headers, &dialect);
        }
        Err(_) => return Ended::BadRequest.response(&headers, &dialect),
    };
    let given = heads::text(&headers, &dialect.deadline).and_then(|ms| ms.parse().ok());
    let patience = given.map_or(PATIENCE, Duration::from_millis);
    let adapter = heads::text(&headers, &dialect.model).unwrap_or_default();
    let id = heads::text(&headers, &dialect.request).unwrap_or_default();
    let mut tokens = heads::text(&headers, &dialect.tokens)
        .unwrap_or_default()
        .split(',')
        .map(|raw| raw.trim().parse().ok());
    let prompt = tokens.next().flatten();
    let most = tokens.next().flatten();
    let job = Job {
        service: route.service(rand::random()).to_owned(),
        adapter: if table.engine(route.service(0)).is_some() {
            adapter.to_owned()
        } else {
            String::new()
        },
        id: id.to_owned(),
        tokens: prompt.unwrap_or(0),
        answer_tokens: most.unwrap_or(0),
        backup: None,
        until: arrived + patience.min(route.limit),
        method: parts.method,
        path: parts
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned(),
        headers: heads::onward(&headers, &dialect),
        state,
        route,
        body,
        arrived,
        tried: BTreeSet::new(),
        ran: 0,
        refusals: 0,
        sends: 0,
        placed: Duration::ZERO,
        reached: 0,
    };
    job.run(&headers).await
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// What came of one send.
enum Sent {
    Answer(Box<Answer>, Place),
    /// Nothing of it reached the target.
    Unreached,
    /// It certainly has not run there.
    NotRun {
        lacks: bool,
    },
    /// It may have run there.
    InDoubt,
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
                self.note_slow(&place.id);
                self.pass_on(answer, place)
            }
            Err(ended) => {
                event!(
                    telemetry::Event::RequestFailed,
                    request = self.id,
                    route = self.route.name,
                    service = self.service,
                    adapter = self.adapter,
                    how = format!("{ended:?}"),
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
                return Err(self.given_up());
            }
            if self.sends == 0 {
                self.placed = self.arrived.elapsed();
            }
            self.sends += 1;
            self.reached += 1;
            self.backup = self.choose_backup(&target);
            match self.send(&target, last, false).await {
                Sent::Answer(answer, place) => {
                    if self.worth_another(&answer) {
                        self.note_attempt(&target, answer.status.as_str());
                        self.tried.insert(target);
                        continue;
                    }
                    return Ok((*answer, place));
                }
                Sent::Unreached => {
                    self.note_attempt(&target, "unreached");
                    self.reached -= 1;
                    self.refusals += 1;
                    self.tried.insert(target);
                    if self.refusals >= REFUSALS_MAX {
                        return Err(self.given_up());
                    }
                }
                Sent::NotRun { lacks } => {
                    self.note_attempt(&target, "not run");
                    self.refusals += 1;
                    if self.refusals >= REFUSALS_MAX {
                        return Err(self.given_up());
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

    /// Rejects a request whose adapter can't be loaded for a while.
    ///
    /// Failure: while nobody gives orders, requests for adapters that
    /// nobody holds would wait until their callers leave. They are told at
    /// once when a load is possible again; callers come back within a third of
    /// the time they have.
    fn come_back(&self) -> Ended {
        if self.ran > 0 {
            return Ended::Failed;
        }
        base::hit!(told_to_come_back);
        let left = self.until.saturating_duration_since(Instant::now());
        let again = NO_ORDERS.min(left.mul_f64(RETURN_PART)).max(AGAIN);
        Ended::NotRun { again }
    }

    fn given_up(&self) -> Ended {
        if self.ran > 0 {
            return Ended::Failed;
        }
        Ended::NotRun { again: AGAIN }
    }

    /// Tells whether a failure that a target answered may be tried elsewhere.
    fn worth_another(&mut self, answer: &Answer) -> bool {
        if !answer.status.is_server_error() {
            return false;
        }
        self.ran += 1;
        self.may_run_again()
    }

    /// Waits for a target that can take the request.
    async fn target(&self) -> Result<String, Ended> {
        let left = self.until.saturating_duration_since(self.arrived);
        let mut ask_at = self.arrived;
        let give_up = self.arrived + left.mul_f64(WAIT_PART).min(WAIT_MAX);
        loop {
            let changed = self.state.changed.notified();
            let now = Instant::now();
            if now >= self.until {
                return Err(if self.ran > 0 {
                    Ended::Late
                } else {
                    Ended::NotRun { again: AGAIN }
                });
            }
            let choice = self.state.view().choose(
                self.state.now(),
                &self.service,
                &self.adapter,
                &self.tried,
            );
            match choice {
                Choice::Send(target) => return Ok(target),
                Choice::Wait(wait) => sleep(wait.max(Duration::from_millis(1))).await,
                Choice::Nobody => return Err(self.given_up()),
                Choice::Missing if now >= give_up => return Err(self.given_up()),
                Choice::Missing if !self.state.orderable(&self.service) => {
                    return Err(self.come_back());
                }
                Choice::Missing => {
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

    /// Chooses where the memory of a run is kept as well.
    ///
    /// Failure: an engine crashes in the middle of a live draft that can't be
    /// run again, and its caller sees it break off. With the run's memory at
    /// another holder of the adapter it goes on there as the same run. Worth its
    /// transfers only for long answers; those that can be resumed are simply
    /// read anew.
    fn choose_backup(&self, target: &str) -> Option<String> {
        let fit = self.route.kind == Kind::Stream { resumable: false };
        if !fit || self.adapter.is_empty() || self.answer_tokens < BACKUP_LEAST {
            return None;
        }
        let view = self.state.view();
        view.second(self.state.now(), &self.service, &self.adapter, target)
    }

    /// Goes on with a broken run from its memory at another target.
    async fn restore(&mut self, last: &str) -> Option<(Answer, Place)> {
        let backup = self.backup.take()?;
        if Instant::now() >= self.until || !self.state.repeat(&self.service) {
            return None;
        }
        match self.send(&backup, Some(last), true).await {
            Sent::Answer(answer, place) => Some((*answer, place)),
            Sent::Unreached | Sent::NotRun { .. } | Sent::InDoubt => None,
        }
    }

    async fn send(&self, target: &str, last: Option<&str>, restored: bool) -> Sent {
        let state = &self.state;
        let dialect = &state.outside.dialect;
        let Some(send) = self.request(target, last, restored) else {
            return Sent::Unreached;
        };
        state.view().begin(target, &self.adapter, self.tokens);
        let mut place = Place {
            state: Arc::clone(state),
            id: target.to_owned(),
            adapter: self.adapter.clone(),
            unread: self.tokens,
        };
        let until = self.until;
        let sent = match timeout_at(until, state.client.send(send)).await {
            Ok(sent) => sent,
            Err(_) => {
                state.view().unreachable(state.now(), target);
                return Sent::InDoubt;
            }
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(broken) => {
                state.view().unreachable(state.now(), target);
                return if broken.verdict == base::Verdict::NotRun {
                    Sent::Unreached
                } else {
                    Sent::InDoubt
                };
            }
        };
        // Failure: a target sends a second answer, or a late one, where the
        // next one is due. It would reach another caller. Each answer repeats
        // the id of its request.
        let own = heads::text(&answer.headers, &dialect.request);
        if own.is_some_and(|id| id != self.id) {
            base::hit!(answer_of_another);
            event!(
                telemetry::Event::WrongAdapter,
                request = self.id,
                target = target
            );
            state.view().outcome(state.now(), target, false);
            return Sent::InDoubt;
        }
        if refused(answer.status, &answer.headers, dialect) {
            return self.refused(target, &answer);
        }
        place.begun();
        let good = !answer.status.is_server_error();
        state.view().outcome(state.now(), target, good);
        Sent::Answer(Box::new(answer), place)
    }

    fn refused(&self, target: &str, answer: &Answer) -> Sent {
        let mut view = self.state.view();
        let now = self.state.now();
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            view.lacks(target, &self.adapter);
            return Sent::NotRun {
                lacks: !self.adapter.is_empty(),
            };
        }
        view.not_yet(now, target, &self.adapter, REFUSED_PAUSE);
        Sent::NotRun { lacks: false }
    }

    fn request(&self, target: &str, last: Option<&str>, restored: bool) -> Option<Send> {
        let dialect = &self.state.outside.dialect;
        let (addr, version, backup) = {
            let view = self.state.view();
            let addr: SocketAddr = view.addr(target)?.parse().ok()?;
            let backup = self.backup.as_ref().and_then(|id| view.addr(id));
            let backup = backup.map(str::to_owned);
            (addr, view.version(&self.adapter), backup)
        };
        let left = self.until.saturating_duration_since(Instant::now());
        let mut headers = self.headers.clone();
        heads::set_number(&mut headers, &dialect.deadline, millis(left).max(1));
        headers.insert(dialect.target.clone(), web::header_value(target));
        if !self.adapter.is_empty() {
            let priority = u64::from(self.route.priority.min(9));
            heads::set_number(&mut headers, &dialect.priority, priority);
            if let Some(version) = version {
                heads::set_number(&mut headers, &dialect.version, version.into());
            }
        }
        if restored {
            let from = format!("{addr}/{}", self.id);
            headers.insert(dialect.restore.clone(), web::header_value(&from));
        } else if let Some(backup) = &backup {
            headers.insert(dialect.backup.clone(), web::header_value(backup));
        }
        if let Some(last) = last {
            headers.insert(dialect.resume.clone(), web::header_value(last));
        }
        let mut send = Send::new(addr, self.method.clone(), self.path.clone());
        send.headers = headers;
        send.body = self.body.clone();
        send.ending = Ending::Framed;
        send.mark = if self.route.kind == Kind::Safe {
            Mark::Repeatable
        } else {
            Mark::Once
        };
        send.limits = self.limits(left);
        Some(send)
    }

    fn limits(&self, left: Duration) -> Limits {
        let again = self.may_run_again() && self.ran + 1 < self.route.attempts;
        let silent = match self.route.kind {
            Kind::Stream { resumable: true } if again => STREAM_SILENT,
            _ => left,
        };
        let first = if again {
            left.mul_f64(SILENT_PART)
        } else {
            left
        };
        Limits {
            connect: CONNECT.min(left),
            first,
            idle: silent,
            whole: left,
            reuse: REUSE,
            hedge: left,
        }
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
