//! The peer listener: RPC calls on upgraded connections, and requests that other entry
//! instances forward.
//!
//! A request for an engine goes to the engine's owner, the entry instance that holds the
//! lease on it. If that is another instance, the request is forwarded there (a "hop").

use std::{sync::Arc, time::Duration};

use base::{Failure, Mark, Refusal, Tokens};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, body::Incoming};
use node::{Attempt, Hop, Input};
use telemetry::span;
use web::{
    body::{self, Body, ReadLimits},
    header_value,
    memory::{Held, Memory},
    reply,
};
use wire::header;

use crate::{
    callers::AnswerWait,
    calls,
    exchange::{CallerRequest, Exchange},
    explain,
    prompt::{CHAT_COPIES, Chat},
    state::State,
};

/// HTTP path of a forwarded request.
pub(crate) const PATH: &str = "/quetzal/hop";

/// Header of a marked request: one with an idempotency key, which may run at most once.
/// The owner never cancels it.
const MARKED: &str = "x-quetzal-marked";

/// Answers one request on the peer listener.
pub(crate) async fn answer(
    state: Arc<State>,
    memory: Memory,
    req: Request<Incoming>,
) -> Response<Body> {
    if peer::wants_upgrade(&req) {
        let handler = move |from, call| calls::handle(Arc::clone(&state), from, call);
        let upgrade = peer::accept(req, memory, handler);
        return upgrade.map(|empty| empty.map_err(|never| match never {}).boxed_unsync());
    }
    if req.uri().path() == explain::PATH {
        return explain::answer(state, req).await;
    }
    if req.uri().path() != PATH {
        return reply::failure(&Failure::not_run(Refusal::NotFound));
    }
    match handle_hop(state, req).await {
        Ok(resp) => resp,
        Err(failure) => reply::failure(&failure),
    }
}

async fn handle_hop(state: Arc<State>, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let (parts, body) = req.into_parts();
    let limit = state.in_force().model.limits.max_body.get();
    let limits = ReadLimits {
        bytes: usize::try_from(limit).unwrap_or(usize::MAX),
        ..ReadLimits::default()
    };
    let held = Held::of(&parts.extensions);
    let raw = body::read_held(body, limits, &held).await?;
    held.hold_body(raw.len() as u64 * CHAT_COPIES)?;
    let bad = Failure::not_run(Refusal::BadRequest);
    let chat = Chat::try_from(raw).map_err(|_| bad.clone())?;
    let ticket = state.next_ticket();
    let hop = read_headers(&parts.headers, &chat, ticket).ok_or(bad)?;
    let span = span!("hop", target = %hop.target, brand = %hop.brand);
    let trace = header_text(&parts.headers, header::TRACEPARENT);
    telemetry::set_parent(&span, trace);
    let key = header_text(&parts.headers, header::IDEMPOTENCY_KEY).map(str::to_owned);
    let request = CallerRequest::Chat {
        body: chat.body,
        stream: chat.stream,
        prefix: chat.prefix,
    };
    let (exchange, answer) = Exchange::new(ticket, request, key, span);
    state.insert(ticket, exchange);
    let wait = AnswerWait::new(Arc::clone(&state), ticket);
    state.send_input(Input::Hop(hop));
    wait.run(answer).await
}

/// Writes into the headers what the owner needs to know; [`read_headers`] reads it.
pub(crate) fn write_headers(headers: &mut HeaderMap, attempt: &Attempt, timeout: Duration) {
    let mut put = |name: &'static str, value: &str| {
        headers.insert(name, header_value(value));
    };
    put(header::TARGET, attempt.target.as_str());
    put(header::BRAND, attempt.brand.as_str());
    put(header::CLASS, attempt.class.as_str());
    put(header::DEADLINE, &timeout.as_millis().to_string());
    if let Some(resident) = &attempt.resident {
        put(header::ADAPTER, resident.adapter.as_str());
        put(header::VERSION, &resident.version.to_string());
    }
    if attempt.mark == Mark::Once {
        put(MARKED, "1");
    }
}

fn read_headers(headers: &HeaderMap, chat: &Chat, ticket: base::Ticket) -> Option<Hop> {
    let timeout = header_text(headers, header::DEADLINE)?.parse().ok()?;
    let resume = header_text(headers, header::RESUME_FROM);
    let marked = headers.contains_key(MARKED);
    Some(Hop {
        ticket,
        target: header_text(headers, header::TARGET)?.parse().ok()?,
        brand: header_text(headers, header::BRAND)?.parse().ok()?,
        adapter: header_text(headers, header::ADAPTER)?.parse().ok()?,
        version: header_text(headers, header::VERSION)?.parse().ok()?,
        class: header_text(headers, header::CLASS)?.parse().ok()?,
        timeout: Duration::from_millis(timeout),
        prefix: chat.prefix,
        tokens: Tokens(chat.tokens.get()),
        resume: resume.map_or(Some(0), |raw| raw.parse().ok())?,
        mark: if marked { Mark::Once } else { Mark::Repeatable },
    })
}

/// Returns a header's value; none if it is missing or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
