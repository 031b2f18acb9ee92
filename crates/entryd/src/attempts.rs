//! Sends one attempt and tells the node what comes of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Class, Mark, Refusal, Verdict};
use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, Method, header as http};
use node::{Attempt, Input, Progress, Route};
use request::Part;
use serde_json::Value;
use telemetry::span;
use tracing::{Instrument, Span};
use web::{
    client::{Answer, Broken, Limits, Send},
    header_value,
    reply::ErrorInfo,
    sse::{self, Parser},
};
use wire::{call, header};

use crate::{
    exchange::{Ask, Exchange, Item},
    hops,
    outside::json_headers,
    state::State,
};

/// Silence of an answer after which it is given up: tokens follow each other
/// fast, but a request may wait inside the engine for a place in its batch.
const IDLE: Duration = Duration::from_secs(20);

/// The same where somebody waits and the request may be sent again: longer
/// than nearly every first token takes.
const LIVE_IDLE: Duration = Duration::from_secs(5);

/// The same for a stream that another instance passes on, which gives a sign
/// of life each second while it waits: three are missing.
const HOP_IDLE: Duration = Duration::from_millis(3_500);

/// Largest answer that is held back until it is whole.
const WHOLE_MAX: usize = 8 << 20;

/// Largest answer to a marked request that is kept for a resend.
const KEPT_MAX: usize = 4 << 10;

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
        kept: None,
    };
    let task = tokio::spawn(run.run(span.clone()).instrument(span));
    exchange.note_attempt(number, task.abort_handle());
}

/// One attempt under way.
struct Run {
    state: Arc<State>,
    exchange: Arc<Exchange>,
    attempt: Attempt,
    step: u64,
    kept: Option<Kept>,
}

/// A copy of the answer to a marked request, while it is small.
struct Kept {
    status: u16,
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
        let mut send = match (&self.exchange.ask, &attempt.route) {
            (Ask::Plain { .. }, route) => self.plain(address(route)),
            (Ask::Chat { .. }, Route::Target { address, priority }) => {
                self.engine(*address, *priority)
            }
            (Ask::Chat { .. }, Route::Owner { address, timeout }) => self.owner(*address, *timeout),
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

    fn plain(&self, address: SocketAddr) -> Send {
        let Ask::Plain {
            method,
            path,
            headers,
            body,
        } = &self.exchange.ask
        else {
            return Send::new(address, Method::GET, "/");
        };
        let mut send = Send::new(address, method.clone(), path.clone());
        send.headers = headers.clone();
        send.body = body.clone();
        send
    }

    fn engine(&self, address: SocketAddr, priority: i32) -> Send {
        let mut send = Send::new(address, Method::POST, "/v1/chat/completions");
        send.headers = json_headers();
        let model = self.attempt.resident.as_ref().map(ToString::to_string);
        send.body = self.chat_body(|body| {
            body.insert("model".to_owned(), Value::from(model));
            body.insert("priority".to_owned(), Value::from(priority));
        });
        let prefix = match &self.exchange.ask {
            Ask::Chat { prefix, .. } => *prefix,
            Ask::Plain { .. } => 0,
        };
        let prefix = header_value(&format!("{prefix:016x}"));
        send.headers.insert(header::PREFIX, prefix);
        send
    }

    fn owner(&self, address: SocketAddr, timeout: Duration) -> Send {
        let mut send = Send::new(address, Method::POST, hops::PATH);
        send.headers = json_headers();
        hops::write(&mut send.headers, &self.attempt, timeout);
        send.body = self.chat_body(|_| {});
        send
    }

    fn chat_body(&self, change: impl FnOnce(&mut serde_json::Map<String, Value>)) -> Bytes {
        let Ask::Chat { body, .. } = &self.exchange.ask else {
            return Bytes::new();
        };
        let mut body = body.clone();
        change(&mut body);
        // A map of JSON values always serialises.
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    async fn answer(&mut self, mut answer: Answer) {
        if answer.refused() || refused_by_peer(&answer) {
            self.refused(&answer);
            return;
        }
        self.begin_keeping(&answer);
        self.head(&answer);
        let mut events = is_stream(&answer).then(Parser::default);
        let mut size = 0;
        while let Some(piece) = answer.next().await {
            let piece = match piece {
                Ok(piece) => piece,
                Err(broken) => return self.cut(&broken),
            };
            size += piece.len();
            if events.is_none() && size > WHOLE_MAX {
                return self.end(false);
            }
            let passed = match &mut events {
                Some(parser) => self.events(parser, &piece).await,
                None => self.piece(Part::Raw, piece).await,
            };
            if passed.is_none() {
                return;
            }
        }
        self.end(true);
    }

    /// Passes whole events on: a cut in the middle of one leaves nothing of it
    /// with the caller, so a resumed stream can go on at its beginning.
    async fn events(&mut self, parser: &mut Parser, piece: &[u8]) -> Option<()> {
        let mut events = Vec::new();
        if parser.push(piece, &mut events).is_err() {
            self.end(false);
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

    /// The stream ends with an error of the engine's or the owner's.
    fn stream_failed(&mut self, error: &ErrorInfo) {
        let progress = Progress::Failed {
            verdict: error.verdict.max(Verdict::MayHaveRun),
            reason: error.kind,
            retry: error.retry_after_ms.map(Duration::from_millis),
        };
        self.tell(progress, None);
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
        let permit = self.exchange.room().await?;
        if let Some(kept) = &mut self.kept {
            kept.body.extend_from_slice(&bytes);
            if kept.body.len() > KEPT_MAX {
                self.kept = None;
            }
        }
        self.tell(Progress::Piece(part), Some(Item::Piece(bytes, permit)));
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
        let item = Item::Head(answer.status, head_for_caller(&answer.headers));
        self.tell(progress, Some(item));
    }

    fn begin_keeping(&mut self, answer: &Answer) {
        if self.attempt.mark == Mark::Repeatable {
            return;
        }
        let content = answer.header(http::CONTENT_TYPE.as_str());
        self.kept = Some(Kept {
            status: answer.status.as_u16(),
            content: content.unwrap_or_default().to_owned(),
            body: BytesMut::new(),
        });
    }

    /// The target, or the instance that owns it, refused before it started.
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
        self.tell(progress, None);
    }

    fn fail(&mut self, broken: &Broken) {
        let progress = Progress::Failed {
            verdict: broken.verdict,
            reason: broken.reason(),
            retry: None,
        };
        self.tell(progress, None);
    }

    fn cut(&mut self, broken: &Broken) {
        tracing::debug!("an answer broke off: {broken}");
        self.end(false);
    }

    fn end(&mut self, whole: bool) {
        let answer = self.kept.take().filter(|_| whole).map(|kept| call::Answer {
            status: kept.status,
            content: kept.content,
            body: kept.body.to_vec(),
        });
        self.tell(Progress::End { whole, answer }, None);
    }

    fn tell(&mut self, progress: Progress, item: Option<Item>) {
        self.step += 1;
        // Steps of two attempts of one request must differ.
        let step = (u64::from(self.attempt.attempt) << 32) | self.step;
        if let Some(item) = item {
            self.exchange.keep(step, item);
        }
        self.state.tell(Input::Progress {
            ticket: self.attempt.ticket,
            attempt: self.attempt.attempt,
            step,
            progress,
        });
    }
}

fn address(route: &Route) -> SocketAddr {
    match route {
        Route::Target { address, .. } | Route::Owner { address, .. } => *address,
    }
}

fn limits(attempt: &Attempt) -> Limits {
    let reuse = match attempt.class {
        // A completion's head is slow by nature, so silence says nothing.
        _ if attempt.resident.is_some() => Duration::ZERO,
        Class::Critical | Class::Live | Class::Batch => Limits::default().reuse,
    };
    Limits {
        first: attempt.timeout,
        idle: match attempt.route {
            Route::Owner { .. } => HOP_IDLE,
            Route::Target { .. } => idle(attempt),
        },
        total: attempt.timeout,
        reuse,
        ..Limits::default()
    }
}

/// Returns how long a target may be silent.
///
/// Guard: an engine that hangs, or whose connection is forgotten, would keep a
/// stream until the caller's deadline. Broken off sooner, it goes on at another
/// engine; one that can't be sent again is waited for longer.
fn idle(attempt: &Attempt) -> Duration {
    match (attempt.class, attempt.mark) {
        (Class::Critical | Class::Live, Mark::Repeatable) => LIVE_IDLE,
        _ => IDLE,
    }
}

/// Tells whether another instance answers with a failure of its own making
/// rather than with a target's answer.
fn refused_by_peer(answer: &Answer) -> bool {
    !answer.status.is_success() && answer.header(header::VERDICT).is_some()
}

fn is_stream(answer: &Answer) -> bool {
    let kind = answer.header(http::CONTENT_TYPE.as_str());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Returns the headers that go on to the caller: not those of this hop's
/// connection, and not what is between the system and its targets.
fn head_for_caller(headers: &HeaderMap) -> HeaderMap {
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
