//! Sends one attempt of a request to a target, or to the instance that owns it, and
//! reports the progress of the answer to the node.

use std::{future::pending, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use base::{Class, Mark, Refusal, Verdict};
use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, Method, header as http};
use node::{AnswerEnd, Attempt, Input, Progress, Route, Word};
use request::Part;
use serde_json::Value;
use telemetry::{event, prom_metrics, span};
use tokio::time::{Instant, sleep_until};
use tracing::{Instrument, Span};
use web::{
    client::{Answer, Broken, Cause, Framing, Limits, Send, is_json},
    header_value,
    memory::HeldBack,
    reply::ErrorInfo,
    rest::asked_rest,
    sse::{self, Parser},
};
use wire::{call, header};

use crate::{
    exchange::{CallerRequest, Exchange, Head, Item},
    external::json_headers,
    hops,
    prompt::rewritten,
    state::State,
};

/// Time without a piece of an answer after which its target counts as silent. Tokens follow
/// each other fast, but a request may wait inside the engine for a place in its batch.
const SILENT_AFTER: Duration = Duration::from_secs(20);

/// The same for critical and live requests that may be sent again. Nearly every first token
/// arrives sooner.
const LIVE_SILENT_AFTER: Duration = Duration::from_secs(5);

/// Time without a byte of an answer that passes through another instance. That instance
/// writes a keep-alive comment each second while it waits; by then, three are missing.
const HOP_SILENT_AFTER: Duration = Duration::from_millis(3_500);

/// How many times as long an answer that may be replaced can be silent before it is given up
/// although nothing has replaced it.
const GIVEN_UP_AFTER: u32 = 4;

/// Largest answer that isn't an event stream, in bytes; such answers may be held back
/// until they are complete.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Largest answer to a marked request that is copied, in bytes. The copy answers a retry
/// with the same idempotency key.
const MAX_COPY_BYTES: usize = 4 << 10;

/// Starts an attempt in the background.
pub(crate) fn start(state: &Arc<State>, exchange: Arc<Exchange>, attempt: Attempt) {
    let parent = exchange.span.clone();
    let span = span!(
        parent: &parent,
        "attempt",
        target = %attempt.target,
        attempt = attempt.attempt,
    );
    let number = attempt.attempt;
    let run = Run {
        state: Arc::clone(state),
        exchange: Arc::clone(&exchange),
        attempt,
        step: 0,
        copy: None,
    };
    let task = tokio::spawn(run.run(span.clone()).instrument(span));
    exchange.insert_attempt(number, task.abort_handle());
}

/// One attempt in progress.
struct Run {
    state: Arc<State>,
    exchange: Arc<Exchange>,
    attempt: Attempt,
    /// Number of the last step reported to the node.
    step: u64,
    /// Copy of the answer, if the request is marked and the answer small enough.
    copy: Option<AnswerCopy>,
}

/// A copy of the answer to a marked request.
struct AnswerCopy {
    status: u16,
    /// Content type.
    content: String,
    body: BytesMut,
}

impl Run {
    async fn run(mut self, span: Span) {
        let send = self.send(&span);
        let state = Arc::clone(&self.state);
        match state.client.send(send).await {
            Ok(answer) => self.answer(answer).await,
            Err(broken) => self.fail(&broken),
        }
    }

    fn send(&self, span: &Span) -> Send {
        let attempt = &self.attempt;
        let mut send = match (&self.exchange.request, &attempt.route) {
            (CallerRequest::Plain { .. }, route) => self.to_plain_service(address(route)),
            (CallerRequest::Chat { .. }, Route::Target { address, priority }) => {
                self.to_engine(*address, *priority)
            }
            (CallerRequest::Chat { .. }, Route::Owner { address, timeout }) => {
                self.to_owner(*address, *timeout)
            }
        };
        send.mark = attempt.mark;
        send.limits = limits(attempt);
        let trace = telemetry::traceparent(span);
        if !trace.is_empty() {
            let trace = header_value(&trace);
            send.headers.insert(header::TRACEPARENT, trace);
        }
        if let Some(key) = &self.exchange.key {
            let key = header_value(key);
            send.headers.insert(header::IDEMPOTENCY_KEY, key);
        }
        if attempt.resume > 0 {
            let from = header_value(&attempt.resume.to_string());
            send.headers.insert(header::RESUME_FROM, from);
        }
        send
    }

    fn to_plain_service(&self, address: SocketAddr) -> Send {
        let CallerRequest::Plain {
            method,
            path,
            headers,
            body,
        } = &self.exchange.request
        else {
            return Send::new(address, Method::GET, "/");
        };
        let mut send = Send::new(address, method.clone(), path.clone());
        send.headers = headers.clone();
        send.body = body.clone();
        send
    }

    fn to_engine(&self, address: SocketAddr, priority: i32) -> Send {
        let mut send = Send::new(address, Method::POST, "/v1/chat/completions");
        send.headers = json_headers();
        let model = self.attempt.resident.as_ref().map(ToString::to_string);
        send.body = self.chat_body(&[
            ("model", Value::from(model)),
            ("priority", Value::from(priority)),
        ]);
        let prefix = match &self.exchange.request {
            CallerRequest::Chat { prefix, .. } => *prefix,
            CallerRequest::Plain { .. } => 0,
        };
        let prefix = header_value(&format!("{prefix:016x}"));
        send.headers.insert(header::PREFIX, prefix);
        send
    }

    fn to_owner(&self, address: SocketAddr, timeout: Duration) -> Send {
        let mut send = Send::new(address, Method::POST, hops::PATH);
        send.headers = json_headers();
        hops::write_headers(&mut send.headers, &self.attempt, timeout);
        send.body = self.chat_body(&[]);
        send
    }

    /// Returns the caller's body with `fields` in place of its own.
    fn chat_body(&self, fields: &[(&str, Value)]) -> Bytes {
        let CallerRequest::Chat { body, .. } = &self.exchange.request else {
            return Bytes::new();
        };
        if fields.is_empty() {
            return body.clone();
        }
        // It was read as an object when it arrived.
        rewritten(body, fields).unwrap_or_default().into()
    }

    async fn answer(&mut self, mut answer: Answer) {
        self.note_words(&answer);
        if answer.refused() || refused_by_peer(&answer) {
            self.refused(&answer);
            return;
        }
        self.start_copy(&answer);
        self.head(&answer);
        let mut events = is_stream(&answer).then(Parser::default);
        let closes = answer.framing() == Framing::Connection;
        let mut document = (events.is_none() && closes).then(BytesMut::new);
        let mut size = 0;
        let mut silence = Silence::new(&self.attempt);
        let mut held = self.state.client.held_back();
        while let Some(piece) = self.next(&mut answer, &mut silence, &held).await {
            silence.since_byte = Instant::now();
            let piece = match piece {
                Ok(piece) => piece,
                Err(broken) => return self.cut(&broken),
            };
            size += piece.len();
            if events.is_none() && size > MAX_ANSWER_BYTES {
                return self.end(AnswerEnd::Cut);
            }
            if let Some(document) = &mut document {
                document.extend_from_slice(&piece);
            }
            let steps = self.step;
            let reported = match &mut events {
                Some(parser) => self.events(parser, &piece).await,
                None => self.piece(Part::Raw, piece).await,
            };
            if reported.is_none() {
                return;
            }
            let document = document.as_ref().map_or(0, BytesMut::len);
            if !held.hold(self.exchange.held_bytes() + document) {
                return self.end(AnswerEnd::Cut);
            }
            // The caller may have been slow meanwhile, and nothing was read.
            silence.since_byte = Instant::now();
            if self.step > steps {
                silence.since_piece = silence.since_byte;
            }
        }
        self.exchange.keep(held);
        let end = document.map_or(AnswerEnd::Complete, |document| {
            self.closed(&answer, &document)
        });
        self.end(end);
    }

    /// Returns the next piece of the answer, and reports meanwhile that its target is silent.
    async fn next(
        &mut self,
        answer: &mut Answer,
        silence: &mut Silence,
        held: &HeldBack,
    ) -> Option<Result<Bytes, Broken>> {
        let mut next = pin!(answer.next());
        let given_up = held.given_up();
        let mut given_up = pin!(async move {
            match given_up {
                Some(given_up) => given_up.await,
                None => pending().await,
            }
        });
        loop {
            tokio::select! {
                biased;
                piece = &mut next => return piece,
                () = &mut given_up => return Some(Err(Broken {
                    verdict: Verdict::MayHaveRun,
                    cause: Cause::NoRoom,
                })),
                () = sleep_until(silence.next()) => {
                    self.report(Progress::Silent, None);
                    silence.reported();
                }
            }
        }
    }

    /// Returns what it means that the connection of an answer without framing was closed in
    /// order after `body`. JSON shows by itself whether it is complete.
    fn closed(&self, answer: &Answer, body: &[u8]) -> AnswerEnd {
        if is_json(body) {
            return AnswerEnd::Complete;
        }
        let kind = answer.header(http::CONTENT_TYPE.as_str());
        let says_json = kind.is_some_and(|kind| kind.starts_with("application/json"));
        match &self.exchange.request {
            CallerRequest::Plain { .. } if !says_json => AnswerEnd::Closed,
            CallerRequest::Plain { .. } | CallerRequest::Chat { .. } => AnswerEnd::Cut,
        }
    }

    /// Passes on complete events only. If the connection is cut within an event, the
    /// caller has nothing of it, so a resumed stream continues at the beginning of that
    /// event.
    async fn events(&mut self, parser: &mut Parser, piece: &[u8]) -> Option<()> {
        let mut events = Vec::new();
        if parser.push(piece, &mut events).is_err() {
            self.end(AnswerEnd::Cut);
            return None;
        }
        for event in events {
            if let Some(error) = event.error() {
                self.stream_failed(&error);
                return None;
            }
            let part = self.part(&event);
            self.piece(part, event.to_bytes()).await?;
        }
        Some(())
    }

    /// Reports that the stream ended with an error event of the engine or the owner.
    fn stream_failed(&mut self, error: &ErrorInfo) {
        let progress = Progress::Failed {
            verdict: error.verdict.max(Verdict::MayHaveRun),
            reason: error.kind,
            retry: error.retry_after_ms.map(Duration::from_millis),
        };
        self.report(progress, None);
    }

    fn part(&self, event: &sse::Event) -> Part {
        if event.is_done() {
            Part::Last
        } else if event.token().is_some() {
            Part::Tokens(1)
        } else if event.is_preamble() {
            Part::Preamble
        } else {
            Part::Tail
        }
    }

    async fn piece(&mut self, part: Part, bytes: Bytes) -> Option<()> {
        let permit = self.exchange.permit(bytes.len()).await?;
        if let Some(copy) = &mut self.copy {
            copy.body.extend_from_slice(&bytes);
            if copy.body.len() > MAX_COPY_BYTES {
                self.copy = None;
            }
        }
        self.report(Progress::Piece(part), Some(Item::Piece(bytes, permit)));
        Some(())
    }

    fn head(&mut self, answer: &Answer) {
        let ran = answer.header(header::ADAPTER).map(|adapter| {
            let version = answer.header(header::VERSION).unwrap_or_default();
            format!("{adapter}@{version}").parse()
        });
        let resumed = answer.header(header::RESUME_FROM);
        let progress = Progress::Head {
            status: answer.status.as_u16(),
            ran,
            resumed: resumed.and_then(|raw| raw.parse().ok()),
        };
        let item = Item::Head(Head {
            status: answer.status,
            headers: headers_for_caller(&answer.headers),
            closes: answer.framing() == Framing::Connection && !is_stream(answer),
        });
        self.report(progress, Some(item));
    }

    fn start_copy(&mut self, answer: &Answer) {
        if self.attempt.mark == Mark::Repeatable {
            return;
        }
        let content = answer.header(http::CONTENT_TYPE.as_str());
        self.copy = Some(AnswerCopy {
            status: answer.status.as_u16(),
            content: content.unwrap_or_default().to_owned(),
            body: BytesMut::new(),
        });
    }

    /// Reports what a target says in an answer about further requests. Owners of engines answer
    /// for their engines, and these speak to the owners.
    fn note_words(&self, answer: &Answer) {
        if matches!(self.attempt.route, Route::Owner { .. }) {
            return;
        }
        let rests = asked_rest(answer.status, &answer.headers).map(Word::Rests);
        let leaves = answer.header(header::LEAVING) == Some("true");
        for word in rests.into_iter().chain(leaves.then_some(Word::Leaves)) {
            self.state.send_input(Input::Said {
                target: self.attempt.target.clone(),
                word,
            });
        }
    }

    /// Reports the failure that the target, or the instance that owns it, answered with.
    fn refused(&mut self, answer: &Answer) {
        let reason = answer.header(header::REASON).and_then(|raw| {
            let value = Value::from(raw);
            serde_json::from_value::<Refusal>(value).ok()
        });
        let verdict = answer.header(header::VERDICT);
        let verdict = verdict.and_then(|raw| raw.parse().ok());
        let retry = answer.header(http::RETRY_AFTER.as_str());
        let retry = retry.and_then(|raw| raw.parse().ok());
        let progress = Progress::Failed {
            verdict: verdict.unwrap_or(Verdict::NotRun),
            reason: reason.unwrap_or(Refusal::Unavailable),
            retry: retry.map(Duration::from_secs),
        };
        self.report(progress, None);
    }

    fn fail(&mut self, broken: &Broken) {
        if let Cause::Malformed(fault) = broken.cause {
            prom_metrics().bad_answer(fault.rule.as_str());
            event!(
                telemetry::Event::AnswerMalformed,
                request = self.exchange.ticket,
                target = self.attempt.target,
                rule = fault.rule.as_str(),
                at = fault.at
            );
        }
        let progress = Progress::Failed {
            verdict: broken.verdict,
            reason: broken.reason(),
            retry: None,
        };
        self.report(progress, None);
    }

    fn cut(&mut self, broken: &Broken) {
        if broken.cause == Cause::HiddenChunks {
            prom_metrics().bad_answer("hidden_chunks");
        }
        tracing::debug!("an answer was cut off: {broken}");
        self.end(AnswerEnd::Cut);
    }

    fn end(&mut self, end: AnswerEnd) {
        let whole = end == AnswerEnd::Complete;
        let answer = self.copy.take().filter(|_| whole).map(|copy| call::Answer {
            status: copy.status,
            content: copy.content,
            body: copy.body.to_vec(),
        });
        self.report(Progress::End { end, answer }, None);
    }

    /// Reports a step to the node; `item` waits in the exchange for the node's decision.
    fn report(&mut self, progress: Progress, item: Option<Item>) {
        self.step += 1;
        // The attempt's number makes steps of two attempts of one request differ.
        let step = (u64::from(self.attempt.attempt) << 32) | self.step;
        if let Some(item) = item {
            self.exchange.store(step, item);
        }
        self.state.send_input(Input::Progress {
            ticket: self.attempt.ticket,
            attempt: self.attempt.attempt,
            step,
            progress,
        });
    }
}

/// When the target of an answer counts as silent.
struct Silence {
    since_byte: Instant,
    since_piece: Instant,
    /// Longest time without a byte and without a piece.
    max: (Duration, Duration),
}

impl Silence {
    fn new(attempt: &Attempt) -> Self {
        let now = Instant::now();
        let piece = silent_after(attempt);
        let byte = match attempt.route {
            Route::Owner { .. } => HOP_SILENT_AFTER,
            Route::Target { .. } => piece,
        };
        Silence {
            since_byte: now,
            since_piece: now,
            max: (byte, piece),
        }
    }

    /// Returns when silence is to be reported next.
    fn next(&self) -> Instant {
        let (byte, piece) = self.max;
        (self.since_byte + byte).min(self.since_piece + piece)
    }

    /// Notes that the silence was reported; it is reported again if it lasts.
    fn reported(&mut self) {
        let now = Instant::now();
        (self.since_byte, self.since_piece) = (now, now);
    }
}

fn address(route: &Route) -> SocketAddr {
    match route {
        Route::Target { address, .. } | Route::Owner { address, .. } => *address,
    }
}

fn limits(attempt: &Attempt) -> Limits {
    let reuse = match attempt.class {
        // The head of a completion takes long, so a delay can't show that a reused
        // connection is broken: completions always get a new one.
        _ if attempt.resident.is_some() => Duration::ZERO,
        Class::Critical | Class::Live | Class::Batch => Limits::default().reuse,
    };
    Limits {
        first: attempt.timeout,
        idle: match attempt.mark {
            Mark::Repeatable => silent_after(attempt) * GIVEN_UP_AFTER,
            Mark::Once => SILENT_AFTER,
        },
        total: attempt.timeout,
        reuse,
        ..Limits::default()
    }
}

/// Returns how long the target of an answer may send nothing before it counts as silent.
///
/// An engine may hang, or a middlebox may drop the state of its connection. Without the
/// limit the stream would stall until the caller's deadline; with it, another engine is
/// asked as well, and the request continues at whichever goes on first. The time is longer
/// where the request can't be sent again.
fn silent_after(attempt: &Attempt) -> Duration {
    match (attempt.class, attempt.mark) {
        (Class::Critical | Class::Live, Mark::Repeatable) => LIVE_SILENT_AFTER,
        _ => SILENT_AFTER,
    }
}

/// Returns whether the answer is a failure of another instance rather than a target's
/// answer.
fn refused_by_peer(answer: &Answer) -> bool {
    !answer.status.is_success() && answer.header(header::VERDICT).is_some()
}

fn is_stream(answer: &Answer) -> bool {
    let kind = answer.header(http::CONTENT_TYPE.as_str());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Returns the headers to pass on to the caller: all but those that concern the
/// connection to the target only.
fn headers_for_caller(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in [
        http::CONNECTION,
        http::CONTENT_LENGTH,
        http::TRANSFER_ENCODING,
        http::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers
}
