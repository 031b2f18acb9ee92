//! The operators' listener: an HTTP API with JSON bodies.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{Failure, InstanceName, Refusal};
use control::Input;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use telemetry::{Event, event};
use tokio::sync::oneshot;
use web::{
    body::{self, Body, ReadLimits},
    memory::Held,
    reply,
};
use wire::{
    call::Call,
    operator::{Applied, Apply, Drain, Why},
};

use crate::state::{Job, Query, State};

/// Largest body of an operator's request, in bytes, where the machine has room for it. A configuration text counts as quoted
/// in JSON.
const MAX_BODY_BYTES: usize = 32 << 20;

/// What a body takes with what is decoded of it, in parts of its length.
const DECODED: u64 = 2;

/// Time limit for the call that tells an instance to drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a change may take until the operator is told that its outcome is unknown.
const APPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// Answers one request on the operators' listener.
pub(crate) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let (method, path) = (req.method().clone(), req.uri().path().to_owned());
    let result = match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => return reply::plain(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&state).await,
        (&Method::GET, "/v1/status") => answer_query(&state, Query::Status).await,
        (&Method::GET, "/v1/history") => answer_query(&state, Query::History).await,
        (&Method::GET, "/v1/text") => answer_query(&state, Query::Text).await,
        (&Method::POST, "/v1/apply") => apply(&state, req).await,
        (&Method::POST, "/v1/drain") => drain(&state, req).await,
        _ => Err(Failure::not_run(Refusal::NotFound)),
    };
    result.unwrap_or_else(|failure| reply::failure(&failure))
}

/// Answers the readiness check: a control instance is ready while it knows the leader.
async fn ready(state: &State) -> Result<Response<Body>, Failure> {
    let status = query(state, Query::Status).await?;
    match status.leader {
        Some(leader) => Ok(reply::plain(
            StatusCode::OK,
            format!("ready, {leader} leads, text {}\n", status.version),
        )),
        None => Ok(reply::plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "not ready: no leader\n",
        )),
    }
}

async fn answer_query<T: serde::Serialize>(
    state: &State,
    kind: impl FnOnce(oneshot::Sender<T>) -> Query,
) -> Result<Response<Body>, Failure> {
    let value = query(state, kind).await?;
    Ok(reply::json(StatusCode::OK, &value))
}

async fn query<T>(
    state: &State,
    kind: impl FnOnce(oneshot::Sender<T>) -> Query,
) -> Result<T, Failure> {
    let (tx, rx) = oneshot::channel();
    state.jobs.send(Job::Query(kind(tx))).ok();
    rx.await.map_err(|_| Failure::not_run(Refusal::Unavailable))
}

async fn apply(state: &State, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let apply: Apply = body_of(req).await?;
    let (change, by) = (apply.change.clone(), apply.by.clone());
    let (ticket, outcome) = state.register_change();
    state.send_input(Input::Apply { ticket, apply });
    let unknown = Applied::Unknown { retry_ms: 1_000 };
    let applied = match tokio::time::timeout(APPLY_TIMEOUT, outcome).await {
        Ok(Ok(applied)) => applied,
        Ok(Err(_)) | Err(_) => unknown,
    };
    if let Applied::Refused { why } = &applied {
        event!(
            Event::TextRefused,
            change = change,
            by = by,
            why = refusal_name(why)
        );
    }
    let status = match applied {
        Applied::Accepted { .. } => StatusCode::OK,
        Applied::Refused { .. } => StatusCode::CONFLICT,
        Applied::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Ok(reply::json(status, &applied))
}

/// Returns the name of a refusal for the log. The errors found in a text are sent to the
/// operator only.
fn refusal_name(why: &Why) -> &'static str {
    match why {
        Why::Conflict { .. } => "conflict",
        Why::ChangeReused => "change-reused",
        Why::BadText { .. } => "bad-text",
        Why::NoQuorum { .. } => "no-quorum",
        Why::NoDisk => "no-disk",
    }
}

async fn drain(state: &State, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let drain: Drain = body_of(req).await?;
    let (tx, rx) = oneshot::channel();
    state.jobs.send(Job::Query(Query::Peers(tx))).ok();
    let peers: BTreeMap<InstanceName, SocketAddr> = rx
        .await
        .map_err(|_| Failure::not_run(Refusal::Unavailable))?;
    let Some(address) = peers.get(&drain.instance) else {
        return Err(Failure::not_run(Refusal::NotFound));
    };
    let link = state.links.to(*address);
    match link.call(Call::Drain, DRAIN_TIMEOUT).await {
        Ok(_) => Ok(reply::json(StatusCode::OK, &drain)),
        Err(err) => Err(Failure {
            reason: Refusal::Unavailable,
            verdict: err.verdict(),
            retry: Some(Duration::from_secs(1)),
        }),
    }
}

async fn body_of<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Result<T, Failure> {
    let held = Held::of(req.extensions());
    let most = held.most_body() / DECODED;
    let limits = ReadLimits {
        bytes: usize::try_from(most).map_or(MAX_BODY_BYTES, |most| most.min(MAX_BODY_BYTES)),
        ..ReadLimits::default()
    };
    let raw = body::read_held(req.into_body(), limits, &held).await?;
    held.hold_body(raw.len() as u64 * DECODED)?;
    serde_json::from_slice(&raw).map_err(|_| Failure::not_run(Refusal::BadRequest))
}
