//! The operators' listener: HTTP with JSON.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{Failure, InstanceName, Refusal};
use control::Input;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use telemetry::{Event, event};
use tokio::sync::oneshot;
use web::{
    body::{self, Body, ReadLimits},
    reply,
};
use wire::{
    call::Call,
    operator::{Applied, Apply, Drain, Why},
};

use crate::state::{Job, Read, State};

/// Largest text taken, in bytes as JSON quotes it.
const TEXT_MAX: usize = 32 << 20;

/// How long a drain order may take to reach its instance.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// How long an outcome is waited for before the operator is told that it is
/// unknown.
const APPLY_LIMIT: Duration = Duration::from_secs(8);

/// Answers one request on the operators' listener.
pub(crate) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let (method, path) = (req.method().clone(), req.uri().path().to_owned());
    let done = match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => return reply::plain(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&state).await,
        (&Method::GET, "/v1/status") => read(&state, Read::Status).await,
        (&Method::GET, "/v1/history") => read(&state, Read::History).await,
        (&Method::GET, "/v1/text") => read(&state, Read::Text).await,
        (&Method::POST, "/v1/apply") => apply(&state, req).await,
        (&Method::POST, "/v1/drain") => drain(&state, req).await,
        _ => Err(Failure::not_run(Refusal::NotFound)),
    };
    done.unwrap_or_else(|failure| reply::failure(&failure))
}

/// A control instance is ready once it knows who leads.
async fn ready(state: &State) -> Result<Response<Body>, Failure> {
    let status = ask(state, Read::Status).await?;
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

async fn read<T: serde::Serialize>(
    state: &State,
    what: impl FnOnce(oneshot::Sender<T>) -> Read,
) -> Result<Response<Body>, Failure> {
    let value = ask(state, what).await?;
    Ok(reply::json(StatusCode::OK, &value))
}

async fn ask<T>(
    state: &State,
    what: impl FnOnce(oneshot::Sender<T>) -> Read,
) -> Result<T, Failure> {
    let (tx, rx) = oneshot::channel();
    state.jobs.send(Job::Read(what(tx))).ok();
    rx.await.map_err(|_| Failure::not_run(Refusal::Unavailable))
}

async fn apply(state: &State, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let apply: Apply = body_of(req).await?;
    let (change, by) = (apply.change.clone(), apply.by.clone());
    let (ticket, outcome) = state.expect_applied();
    state.tell(Input::Apply { ticket, apply });
    let unknown = Applied::Unknown { retry_ms: 1_000 };
    let applied = match tokio::time::timeout(APPLY_LIMIT, outcome).await {
        Ok(Ok(applied)) => applied,
        Ok(Err(_)) | Err(_) => unknown,
    };
    if let Applied::Refused { why } = &applied {
        event!(
            Event::TextRefused,
            change = change,
            by = by,
            why = short(why)
        );
    }
    let status = match applied {
        Applied::Accepted { .. } => StatusCode::OK,
        Applied::Refused { .. } => StatusCode::CONFLICT,
        Applied::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Ok(reply::json(status, &applied))
}

/// Names a refusal; the errors of a text are for the operator, not the log.
fn short(why: &Why) -> &'static str {
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
    state.jobs.send(Job::Read(Read::Peers(tx))).ok();
    let peers: BTreeMap<InstanceName, SocketAddr> = rx
        .await
        .map_err(|_| Failure::not_run(Refusal::Unavailable))?;
    let Some(address) = peers.get(&drain.instance) else {
        return Err(Failure::not_run(Refusal::NotFound));
    };
    let link = state.links.to(*address);
    match link.call(Call::Drain, DRAIN_LIMIT).await {
        Ok(_) => Ok(reply::json(StatusCode::OK, &drain)),
        Err(err) => Err(Failure {
            reason: Refusal::Unavailable,
            verdict: err.verdict(),
            retry: Some(Duration::from_secs(1)),
        }),
    }
}

async fn body_of<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Result<T, Failure> {
    let limits = ReadLimits {
        bytes: TEXT_MAX,
        ..ReadLimits::default()
    };
    let raw = body::read(req.into_body(), limits).await?;
    serde_json::from_slice(&raw).map_err(|_| Failure::not_run(Refusal::BadRequest))
}
