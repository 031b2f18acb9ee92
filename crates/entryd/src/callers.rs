//! The callers' listener: OpenAI-compatible chat completions, the list of a brand's
//! assistants, plain services by path, and the load balancer's health checks.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base::{
    BrandName, Class, Failure, Fingerprint, Refusal, ServiceName, Ticket, Tokens, Verdict, Version,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header as http};
use node::{Arrival, IdempotencyKey, Input};
use serde_json::json;
use sha2::{Digest, Sha256};
use telemetry::{Event, event, span};
use text::model::ServiceKind;
use tokio::sync::oneshot;
use web::{
    body::{self, Body, ReadLimits},
    memory::Held,
    reply,
};
use wire::header;

use crate::{
    exchange::{CallerRequest, Exchange},
    hops::header_text,
    prompt::{CHAT_COPIES, Chat},
    state::{InForce, State},
};

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Answers one request on the callers' listener.
pub(crate) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/healthz" => return reply::plain(StatusCode::OK, "ok\n"),
        "/readyz" => return ready(&state),
        _ => {}
    }
    match route(state, req).await {
        Ok(resp) => resp,
        Err(failure) => reply::failure(&failure),
    }
}

fn ready(state: &State) -> Response<Body> {
    if state.ready.load(Ordering::Relaxed) {
        let version = state.in_force().version;
        reply::plain(StatusCode::OK, format!("ready, text {version}\n"))
    } else {
        reply::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn route(state: Arc<State>, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let in_force = state.in_force();
    let brand = brand_of(&in_force, req.headers())?;
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/v1/models") => Ok(models(&in_force, &brand)),
        (&Method::POST, "/v1/chat/completions") => chat(state, &in_force, brand, req).await,
        (_, "/v1/models" | "/v1/chat/completions") => {
            let mut resp = reply::failure(&Failure::not_run(Refusal::BadRequest));
            *resp.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
            Ok(resp)
        }
        _ => plain_service(state, &in_force, brand, &path, req).await,
    }
}

/// Returns the brand that the caller's API key belongs to.
fn brand_of(in_force: &InForce, headers: &HeaderMap) -> Result<BrandName, Failure> {
    let bad = || Failure::not_run(Refusal::BadKey);
    let auth = header_text(headers, http::AUTHORIZATION.as_str()).ok_or_else(bad)?;
    let key = auth.strip_prefix("Bearer ").ok_or_else(bad)?;
    let hash = text::key_hash(key.trim());
    let found = in_force.keys.brand(&hash).cloned();
    if found.is_none() {
        event!(Event::BadKey);
    }
    found.ok_or_else(bad)
}

/// Lists the assistants of the caller's own brand; those of other brands are not
/// disclosed.
fn models(in_force: &InForce, brand: &BrandName) -> Response<Body> {
    let services = in_force.model.services.get(brand);
    let assistants = services.into_iter().flatten();
    let assistants =
        assistants.filter(|(_, service)| matches!(service.kind, ServiceKind::Assistant { .. }));
    let data: Vec<_> = assistants
        .map(|(name, _)| json!({"id": name, "object": "model", "owned_by": brand}))
        .collect();
    reply::json(StatusCode::OK, &json!({"object": "list", "data": data}))
}

async fn chat(
    state: Arc<State>,
    in_force: &InForce,
    brand: BrandName,
    req: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (parts, body) = req.into_parts();
    let held = Held::of(&parts.extensions);
    let raw = body::read_held(body, read_limits(in_force), &held).await?;
    held.hold_body(raw.len() as u64 * CHAT_COPIES)?;
    let bad = || Failure::not_run(Refusal::BadRequest);
    let chat = Chat::try_from(raw.clone()).map_err(|_| bad())?;
    let (service, version) = model_name(&chat.model).ok_or_else(bad)?;
    let found = in_force.model.service(&brand, &service);
    let found = found.filter(|s| matches!(s.kind, ServiceKind::Assistant { .. }));
    if found.is_none() {
        return Err(Failure::not_run(Refusal::NotFound));
    }
    let mut call = CallInfo::read(&parts.headers, brand, service)?;
    call.version = version;
    call.prefix = chat.prefix;
    call.parts = chat.parts;
    call.tokens = chat.tokens;
    call.stream = chat.stream;
    call.body = body_hash("POST", "/v1/chat/completions", &raw);
    let request = CallerRequest::Chat {
        body: chat.body,
        stream: chat.stream,
        prefix: chat.prefix,
    };
    call.run(state, request, &parts.headers).await
}

async fn plain_service(
    state: Arc<State>,
    in_force: &InForce,
    brand: BrandName,
    path: &str,
    req: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let not_found = || Failure::not_run(Refusal::NotFound);
    let mut names = path.trim_start_matches('/').splitn(3, '/');
    let own = names.next().filter(|name| *name == brand.as_str());
    own.ok_or_else(not_found)?;
    let service = names.next().and_then(|name| name.parse().ok());
    let service: ServiceName = service.ok_or_else(not_found)?;
    let rest = names.next().unwrap_or_default();
    let found = in_force.model.service(&brand, &service);
    let found = found.filter(|s| s.kind == ServiceKind::Plain);
    found.ok_or_else(not_found)?;
    let (parts, body) = req.into_parts();
    let held = Held::of(&parts.extensions);
    let raw = body::read_held(body, read_limits(in_force), &held).await?;
    let query = parts.uri.query().map(|query| format!("?{query}"));
    let inner = format!("/{service}/{rest}{}", query.unwrap_or_default());
    let mut call = CallInfo::read(&parts.headers, brand, service)?;
    call.stream = true;
    call.body = body_hash(parts.method.as_str(), &inner, &raw);
    let request = CallerRequest::Plain {
        method: parts.method.clone(),
        path: inner,
        headers: headers_for_target(&parts.headers),
        body: raw,
    };
    call.run(state, request, &parts.headers).await
}

/// What the node needs to know of a request, from its headers and body.
struct CallInfo {
    brand: BrandName,
    service: ServiceName,
    version: Option<Version>,
    class: Option<Class>,
    /// How long the caller waits, from the deadline header.
    timeout: Option<Duration>,
    /// The idempotency key as the caller wrote it.
    key: Option<String>,
    /// Hash of method, path and body: tells whether a key is reused for another request.
    body: [u8; 16],
    prefix: u64,
    parts: Vec<Fingerprint>,
    tokens: Tokens,
    stream: bool,
}

impl CallInfo {
    fn read(
        headers: &HeaderMap,
        brand: BrandName,
        service: ServiceName,
    ) -> Result<CallInfo, Failure> {
        let bad = || Failure::not_run(Refusal::BadRequest);
        let class = header_text(headers, header::CLASS).map(str::parse);
        let timeout = header_text(headers, header::DEADLINE).map(str::parse);
        let key = header_text(headers, header::IDEMPOTENCY_KEY).map(str::to_owned);
        let usable = |key: &String| !key.is_empty() && key.len() <= MAX_KEY_BYTES;
        if headers.contains_key(header::IDEMPOTENCY_KEY) && !key.as_ref().is_some_and(usable) {
            return Err(bad());
        }
        Ok(CallInfo {
            brand,
            service,
            version: None,
            class: class.transpose().map_err(|_| bad())?,
            timeout: timeout
                .transpose()
                .map_err(|_| bad())?
                .map(Duration::from_millis),
            key,
            body: [0; 16],
            prefix: 0,
            parts: Vec::new(),
            tokens: Tokens(0),
            stream: false,
        })
    }

    /// Passes the request to the node and waits for the head of its answer.
    async fn run(
        self,
        state: Arc<State>,
        request: CallerRequest,
        headers: &HeaderMap,
    ) -> Result<Response<Body>, Failure> {
        let span = span!("entry", brand = %self.brand, service = %self.service);
        telemetry::set_parent(&span, header_text(headers, header::TRACEPARENT));
        let ticket = state.next_ticket();
        let key = self.key.as_deref().map(idempotency_key);
        let (exchange, answer) = Exchange::new(ticket, request, self.key, span);
        state.insert(ticket, exchange);
        let wait = AnswerWait::new(Arc::clone(&state), ticket);
        state.send_input(Input::Arrive(Arrival {
            ticket,
            brand: self.brand,
            service: self.service,
            version: self.version,
            class: self.class,
            timeout: self.timeout,
            key,
            body: self.body,
            prefix: self.prefix,
            parts: self.parts,
            tokens: self.tokens,
            stream: self.stream,
        }));
        wait.run(answer).await
    }
}

/// The wait for the head of an answer. Dropped before the head arrives, it reports to the
/// node that the caller disconnected.
pub(crate) struct AnswerWait {
    state: Arc<State>,
    ticket: Ticket,
    done: bool,
}

impl AnswerWait {
    pub(crate) fn new(state: Arc<State>, ticket: Ticket) -> Self {
        AnswerWait {
            state,
            ticket,
            done: false,
        }
    }

    /// Waits for the head.
    pub(crate) async fn run(
        mut self,
        answer: oneshot::Receiver<Response<Body>>,
    ) -> Result<Response<Body>, Failure> {
        let answer = answer.await;
        self.done = true;
        answer.map_err(|_| Failure {
            reason: Refusal::Unavailable,
            verdict: Verdict::MayHaveRun,
            retry: None,
        })
    }
}

impl Drop for AnswerWait {
    fn drop(&mut self) {
        if !self.done {
            self.state.send_input(Input::CallerGone(self.ticket));
        }
    }
}

fn read_limits(in_force: &InForce) -> ReadLimits {
    let max = in_force.model.limits.max_body.get();
    ReadLimits {
        bytes: usize::try_from(max).unwrap_or(usize::MAX),
        ..ReadLimits::default()
    }
}

/// Parses `assistant` or `assistant@version`.
fn model_name(model: &str) -> Option<(ServiceName, Option<Version>)> {
    match model.split_once('@') {
        None => Some((model.parse().ok()?, None)),
        Some((name, version)) => Some((name.parse().ok()?, Some(version.parse().ok()?))),
    }
}

fn idempotency_key(raw: &str) -> IdempotencyKey {
    IdempotencyKey {
        hash: short_hash(&[raw.as_bytes()]),
        dated: uuid_v7_time(raw),
    }
}

/// Returns the timestamp of a UUID of version 7, in milliseconds since 1970. None if
/// `raw` is no such UUID, or the timestamp lies in the future.
fn uuid_v7_time(raw: &str) -> Option<u64> {
    let hex: String = raw.chars().filter(|c| *c != '-').collect();
    let is_v7 = hex.len() == 32 && raw.len() == 36 && hex.as_bytes()[12] == b'7';
    let ms = u64::from_str_radix(hex.get(..12).filter(|_| is_v7)?, 16).ok()?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    (u128::from(ms) <= now.as_millis()).then_some(ms)
}

fn body_hash(method: &str, path: &str, body: &[u8]) -> [u8; 16] {
    short_hash(&[method.as_bytes(), path.as_bytes(), body])
}

fn short_hash(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let full = hasher.finalize();
    let mut short = [0; 16];
    short.copy_from_slice(&full[..16]);
    short
}

/// Returns the headers to send to a plain service: all but the caller's API key and the
/// headers that concern the caller's connection only.
fn headers_for_target(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in [
        http::AUTHORIZATION,
        http::CONNECTION,
        http::CONTENT_LENGTH,
        http::EXPECT,
        http::HOST,
        http::TRANSFER_ENCODING,
        http::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers
}
