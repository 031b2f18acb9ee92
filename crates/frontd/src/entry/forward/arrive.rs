//! Reading a caller's request.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use gateway::table::{Route, Table};
use hyper::{HeaderMap, Request, Response, body::Incoming, header::HOST};
use telemetry::{event, prom_metrics};
use tokio::time::{Instant, timeout_at};
use web::body::{Body, ReadLimits, read};

use super::{AGAIN, Job};
use crate::{
    Dialect,
    entry::{
        answer::{Ended, Why},
        heads,
        state::State,
    },
};

/// Longest body taken where the operator sets none.
const BODY_MAX: usize = 4 << 20;

/// How long a caller waits where it doesn't say.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long a caller waits for a restarted instance to learn its first
/// configuration: longer than an election, and short enough that a caller who is
/// then sent away can come back.
const FIRST_TABLE: Duration = Duration::from_millis(1_000);

/// Answers one request of a caller.
pub(in crate::entry) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let headers = req.headers().clone();
    let dialect = Arc::clone(&state.outside.dialect);
    match arrive(Arc::clone(&state), req).await {
        Ok(job) => job.run(&headers).await,
        Err(ended) => {
            prom_metrics().request(ended.label());
            event!(
                telemetry::Event::RequestFailed,
                request = heads::text(&headers, &dialect.request).unwrap_or_default(),
                how = format!("{ended:?}"),
                why = ended.why(),
                edition = state.edition()
            );
            ended.response(&headers, &dialect)
        }
    }
}

async fn arrive(state: Arc<State>, req: Request<Incoming>) -> Result<Job, Ended> {
    let arrived = Instant::now();
    let dialect = Arc::clone(&state.outside.dialect);
    let (parts, body) = req.into_parts();
    let headers = parts.headers;
    let text = |name| heads::text(&headers, name).unwrap_or_default();
    let patience = text(&dialect.deadline).parse().map(Duration::from_millis);
    let patience = patience.unwrap_or(PATIENCE);
    // Without any table nobody knows what is allowed: the request hasn't run.
    let table = table(&state, arrived + FIRST_TABLE.min(patience / 3)).await;
    let table = table.ok_or(Ended::NotRun {
        again: AGAIN,
        why: Why::NoTable,
    })?;
    let route = route(&table, &headers, parts.uri.path()).ok_or(Ended::NoRoute)?;
    let body = whole(&table, body).await?;
    let service = route.service(rand::random()).to_owned();
    let adapter = match table.engine(&service) {
        Some(_) => text(&dialect.model).to_owned(),
        None => String::new(),
    };
    let (tokens, answer_tokens) = tokens(&headers, &dialect);
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    Ok(Job {
        id: text(&dialect.request).to_owned(),
        service,
        adapter,
        tokens,
        answer_tokens,
        backup: None,
        method: parts.method,
        path: path.to_owned(),
        headers: heads::onward(&headers, &dialect),
        body,
        until: arrived + patience.min(route.limit),
        arrived,
        state,
        route,
        tried: BTreeSet::new(),
        ran: 0,
        refusals: 0,
        sends: 0,
        placed: Duration::ZERO,
        reached: 0,
    })
}

/// Returns the table in force; a restarted instance waits for its first one.
async fn table(state: &State, until: Instant) -> Option<Arc<Table>> {
    loop {
        let changed = state.changed.notified();
        let table = state.table();
        if table.is_some() || !state.settling() {
            return table;
        }
        timeout_at(until, changed).await.ok()?;
    }
}

fn route(table: &Table, headers: &HeaderMap, path: &str) -> Option<Route> {
    let host = heads::text(headers, &HOST).unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let host = host.split(':').next().unwrap_or_default();
    table.find(host, path).cloned()
}

async fn whole(table: &Table, body: Incoming) -> Result<bytes::Bytes, Ended> {
    let limits = ReadLimits {
        bytes: table.body_bytes().unwrap_or(BODY_MAX),
        ..ReadLimits::default()
    };
    read(body, limits).await.map_err(|failure| {
        if failure.reason == base::Refusal::TooLarge {
            Ended::TooLarge
        } else {
            Ended::BadRequest
        }
    })
}

/// Returns the tokens of the prompt, and the most tokens of the answer.
fn tokens(headers: &HeaderMap, dialect: &Dialect) -> (u64, u64) {
    let raw = heads::text(headers, &dialect.tokens).unwrap_or_default();
    let mut parts = raw.split(',').map(|part| part.trim().parse().unwrap_or(0));
    (parts.next().unwrap_or(0), parts.next().unwrap_or(0))
}
