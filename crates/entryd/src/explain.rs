//! `GET /v1/explain`: how requests for a service or adapter are routed, for operators.
//!
//! It is served on the peer listener, where operators are trusted: on the callers'
//! listener one brand could query the services of another.

use std::sync::Arc;

use base::{Failure, Refusal};
use hyper::{Request, Response, StatusCode, body::Incoming};
use web::{body::Body, reply};
use wire::{
    call::{Call, Reply},
    operator::{Asked, Explain},
};

use crate::{calls, state::State};

/// HTTP path of the query.
pub(crate) const PATH: &str = "/v1/explain";

/// Answers an operator's query.
pub(crate) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let Some(query) = parse_query(req.uri().query().unwrap_or_default()) else {
        return reply::failure(&Failure::not_run(Refusal::BadRequest));
    };
    let from = state.name.clone();
    match calls::handle(state, from, Call::Explain(query)).await {
        Reply::Explained(Some(explained)) => reply::json(StatusCode::OK, &explained),
        Reply::Explained(None) => reply::failure(&Failure::not_run(Refusal::NotFound)),
        _ => reply::failure(&Failure::not_run(Refusal::Unavailable)),
    }
}

/// Parses `brand=B&service=S` or `brand=B&adapter=A`. Nothing is percent-decoded, as valid
/// names need no escaping.
fn parse_query(query: &str) -> Option<Explain> {
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
