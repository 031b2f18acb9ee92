//! `GET /v1/explain` on the peer listener, where operators are trusted: at the
//! callers' listener one brand could ask about another.

use std::sync::Arc;

use base::{Failure, Refusal};
use hyper::{Request, Response, StatusCode, body::Incoming};
use web::{body::Body, reply};
use wire::{
    call::{Call, Reply},
    operator::{Asked, Explain},
};

use crate::{calls, state::State};

/// The path of the question.
pub(crate) const PATH: &str = "/v1/explain";

/// Answers an operator's question.
pub(crate) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let Some(asked) = read(req.uri().query().unwrap_or_default()) else {
        return reply::failure(&Failure::not_run(Refusal::BadRequest));
    };
    let from = state.name.clone();
    match calls::take(state, from, Call::Explain(asked)).await {
        Reply::Explained(Some(explained)) => reply::json(StatusCode::OK, &explained),
        Reply::Explained(None) => reply::failure(&Failure::not_run(Refusal::NotFound)),
        _ => reply::failure(&Failure::not_run(Refusal::Unavailable)),
    }
}

/// Reads `brand=B&service=S` or `brand=B&adapter=A`; names need no escaping.
fn read(query: &str) -> Option<Explain> {
    let value = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
    };
    let what = match (value("service"), value("adapter")) {
        (Some(service), None) => Asked::Service(service.parse().ok()?),
        (None, Some(adapter)) => Asked::Adapter(adapter.parse().ok()?),
        _ => return None,
    };
    let brand = value("brand")?.parse().ok()?;
    Some(Explain { brand, what })
}
