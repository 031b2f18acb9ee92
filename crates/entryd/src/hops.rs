//! The peer listener: calls on upgraded connections, and requests passed on
//! by other entry instances.

use std::{sync::Arc, time::Duration};

use base::{Failure, Mark, Refusal, Tokens};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, body::Incoming};
use node::{Attempt, Hop, Input};
use telemetry::span;
use web::{
    body::{self, Body, ReadLimits},
    header_value, reply,
};
use wire::header;

use crate::{
    callers::Waiting,
    calls,
    exchange::{Ask, Exchange},
    explain,
    prompt::Chat,
    state::State,
};

/// The path of a request that is passed on.
pub(crate) const PATH: &str = "/quetzal/hop";

/// Marked requests say so, so that the owner never breaks them off.
const MARKED: &str = "x-quetzal-marked";

/// Answers one request on the peer listener.
pub(crate) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    if peer::wants_upgrade(&req) {
        let handler = move |from, call| calls::take(Arc::clone(&state), from, call);
        let upgrade = peer::accept(req, handler);
        return upgrade.map(|empty| empty.map_err(|never| match never {}).boxed_unsync());
    }
    if req.uri().path() == explain::PATH {
        return explain::answer(state, req).await;
    }
    if req.uri().path() != PATH {
        return reply::failure(&Failure::not_run(Refusal::NotFound));
    }
    match take(state, req).await {
        Ok(resp) => resp,
        Err(failure) => reply::failure(&failure),
    }
}

async fn take(state: Arc<State>, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let (parts, body) = req.into_parts();
    let limit = state.in_force().model.limits.max_body.get();
    let limits = ReadLimits {
        bytes: usize::try_from(limit).unwrap_or(usize::MAX),
        ..ReadLimits::default()
    };
    let raw = body::read(body, limits).await?;
    let bad = Failure::not_run(Refusal::BadRequest);
    let chat = Chat::try_from(&raw[..]).map_err(|_| bad.clone())?;
    let ticket = state.next_ticket();
    let hop = read(&parts.headers, &chat, ticket).ok_or(bad)?;
    let span = span!("hop", target = %hop.target, brand = %hop.brand);
    let trace = text(&parts.headers, header::TRACEPARENT);
    telemetry::set_parent(&span, trace);
    let key = text(&parts.headers, header::IDEMPOTENCY_KEY).map(str::to_owned);
    let ask = Ask::Chat {
        body: chat.body,
        stream: chat.stream,
        prefix: chat.prefix,
    };
    let (exchange, answer) = Exchange::new(ticket, ask, key, span);
    state.put(ticket, exchange);
    let waiting = Waiting::new(Arc::clone(&state), ticket);
    state.tell(Input::Hop(hop));
    waiting.answer(answer).await
}

/// Writes what the owner has to know into the headers.
pub(crate) fn write(headers: &mut HeaderMap, attempt: &Attempt, timeout: Duration) {
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

fn read(headers: &HeaderMap, chat: &Chat, ticket: base::Ticket) -> Option<Hop> {
    let timeout = text(headers, header::DEADLINE)?.parse().ok()?;
    let resume = text(headers, header::RESUME_FROM);
    let marked = headers.contains_key(MARKED);
    Some(Hop {
        ticket,
        target: text(headers, header::TARGET)?.parse().ok()?,
        brand: text(headers, header::BRAND)?.parse().ok()?,
        adapter: text(headers, header::ADAPTER)?.parse().ok()?,
        version: text(headers, header::VERSION)?.parse().ok()?,
        class: text(headers, header::CLASS)?.parse().ok()?,
        timeout: Duration::from_millis(timeout),
        prefix: chat.prefix,
        tokens: Tokens(chat.tokens.get()),
        resume: resume.map_or(Some(0), |raw| raw.parse().ok())?,
        mark: if marked { Mark::Once } else { Mark::Repeatable },
    })
}

/// Returns a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
