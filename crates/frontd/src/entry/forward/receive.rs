//! Receives a caller's request: reads its head and body and finds its route.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
    time::Duration,
};

use account::Account;
use base::{Refusal, Tokens};
use gateway::table::{Route, Sender, Table};
use hyper::{HeaderMap, Request, Response, body::Incoming, header::HOST};
use telemetry::{event, prom_metrics};
use tokio::time::{Instant, timeout_at};
use web::{
    body::{Body, ReadLimits, read_held},
    memory::Held,
};

use super::{ActiveRequest, DEFAULT_RETRY_AFTER, stop::STOP_RETRY_AFTER};
use crate::{
    HeaderNames,
    entry::{
        answer::{RequestError, Why},
        headers,
        state::State,
        streams,
    },
};

/// Largest body that is accepted where the operator configures no limit.
const DEFAULT_BODY_MAX: usize = 4 << 20;

/// Longest name of a model with an adapter, in bytes.
const ADAPTER_MAX: usize = 256;

/// Time-out of a request whose caller sends no deadline.
pub(in crate::entry) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a request waits until a restarted instance has its first configuration:
/// longer than an election takes, and short enough that a caller who is then rejected has
/// time for a retry.
const FIRST_TABLE_WAIT: Duration = Duration::from_millis(1_000);

/// How long a request waits for the exchange that shows whether it is within the limit of
/// its account: several times what an exchange takes between zones.
const ADMISSION_WAIT: Duration = Duration::from_millis(80);

/// Answers one request of a caller.
pub(in crate::entry) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let headers = req.headers().clone();
    let names = Arc::clone(&state.platform.header_names);
    let received = tokio::select! {
        biased;
        received = receive(Arc::clone(&state), req) => received,
        () = state.ended() => Err(RequestError::NotRun {
            again: STOP_RETRY_AFTER,
            why: Why::Stopping,
        }),
    };
    match received {
        Ok(request) => request.run(&headers).await,
        Err(err) => {
            prom_metrics().request(err.label());
            event!(
                telemetry::Event::RequestFailed,
                request = headers::text(&headers, &names.request_id).unwrap_or_default(),
                how = format!("{err:?}"),
                why = err.reason(),
                edition = state.edition()
            );
            err.response(&headers, &names)
        }
    }
}

async fn receive(state: Arc<State>, req: Request<Incoming>) -> Result<ActiveRequest, RequestError> {
    let arrived = Instant::now();
    let names = Arc::clone(&state.platform.header_names);
    let (parts, body) = req.into_parts();
    let headers = parts.headers;
    let text = |name| headers::text(&headers, name).unwrap_or_default();
    let timeout = text(&names.deadline).parse().map(Duration::from_millis);
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    // Without a table of routes it is unknown whether the request is allowed, so it is
    // rejected as not run.
    let table = table(&state, arrived + FIRST_TABLE_WAIT.min(timeout / 3)).await;
    let table = table.ok_or(RequestError::NotRun {
        again: DEFAULT_RETRY_AFTER,
        why: Why::NoTable,
    })?;
    let mut route = route(&table, &headers, parts.uri.path()).ok_or(RequestError::NoRoute)?;
    let key = headers.get(&names.key).map(|key| key.as_bytes());
    let sender = table.sender(&route, key);
    let account = account_of(&mut route, sender)?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    // Before it counts against the account's limit: what is refused here hasn't run.
    let stream = streams::resumed(&state, &route, &headers, path, arrived + timeout / 3).await?;
    let cost = match &account {
        Some(account) => admit(&state, account, &headers, arrived + timeout / 3).await?,
        None => 0.0,
    };
    let body = read_body(&table, body, &Held::of(&parts.extensions)).await?;
    let service = match stream.origin() {
        Some(origin) => origin.service.clone(),
        None => route.service(rand::random()).to_owned(),
    };
    let adapter = adapter(&table, &service, &headers, &names).to_owned();
    if adapter.len() > ADAPTER_MAX {
        return Err(RequestError::BadRequest);
    }
    let (prompt_tokens, max_answer_tokens) = tokens(&headers, &names);
    Ok(ActiveRequest {
        id: text(&names.request_id).to_owned(),
        service,
        adapter,
        prompt_tokens,
        max_answer_tokens,
        backup: None,
        stream,
        method: parts.method,
        path: path.to_owned(),
        headers: target_headers(&table, &headers, &names, account.as_deref()),
        account,
        cost,
        entered: None,
        body,
        deadline: arrived + timeout.min(route.limit),
        arrived,
        waiting_from: arrived,
        state,
        route,
        tried: BTreeSet::new(),
        fingerprint: OnceLock::new(),
        parts: OnceLock::new(),
        possible_runs: 0,
        refusals: 0,
        sends: 0,
        placement_time: Duration::ZERO,
        possible_sends: 0,
    })
}

/// Returns the account that a request is sent for, whose priority the route takes over.
///
/// # Errors
///
/// Fails if it needs a key and has none of an account.
pub(in crate::entry) fn account_of(
    route: &mut Route,
    sender: Sender,
) -> Result<Option<Arc<Account>>, RequestError> {
    let account = match sender {
        Sender::Anyone => return Ok(None),
        Sender::Account(account) => account,
        Sender::Unknown => return Err(RequestError::UnknownKey),
    };
    if let Some(priority) = account.priority {
        route.priority = priority;
    }
    Ok(Some(account))
}

/// Admits a request of an account if that is within its limit, and returns the units that
/// it counts for. Where that is not known, an exchange with a control instance is waited
/// for, until `until` at most.
async fn admit(
    state: &State,
    account: &Account,
    headers: &HeaderMap,
    until: Instant,
) -> Result<f64, RequestError> {
    let Some(limit) = account.limit else {
        return Ok(0.0);
    };
    let cost = limit.cost(said_tokens(headers, &state.platform.header_names));
    let until = until.min(Instant::now() + ADMISSION_WAIT);
    let mut admitted = state.meter().admit(state.now(), account, cost);
    while let Err(denied) = admitted {
        let changed = state.changed.notified();
        if !denied.unsure || Instant::now() >= until {
            let names = &state.platform.header_names;
            event!(
                telemetry::Event::LimitReached,
                request = headers::text(headers, &names.request_id).unwrap_or_default(),
                account = account.name.as_str(),
                units = cost,
                left_ms = denied.wait.as_millis(),
                unsure = denied.unsure
            );
            return Err(RequestError::OverLimit { again: denied.wait });
        }
        state.hurry();
        timeout_at(until, changed).await.ok();
        admitted = state.meter().admit_again(state.now(), account, cost);
    }
    Ok(cost)
}

/// Returns the tokens of the prompt and the answer, if the request says them.
pub(in crate::entry) fn said_tokens(headers: &HeaderMap, names: &HeaderNames) -> Option<Tokens> {
    headers.get(&names.tokens)?;
    let (prompt, answer) = tokens(headers, names);
    let sum = prompt.saturating_add(answer);
    Some(Tokens(u32::try_from(sum).unwrap_or(u32::MAX)))
}

/// Returns the model and adapter that a request for `service` uses; none where that has no
/// engines.
pub(in crate::entry) fn adapter<'a>(
    table: &Table,
    service: &str,
    headers: &'a HeaderMap,
    names: &HeaderNames,
) -> &'a str {
    let said = table
        .engine(service)
        .and_then(|_| headers::text(headers, &names.model));
    said.unwrap_or_default()
}

/// Returns the headers that targets get. Where callers have accounts, the name of the
/// account replaces the key and whatever the caller said.
fn target_headers(
    table: &Table,
    headers: &HeaderMap,
    names: &HeaderNames,
    account: Option<&Account>,
) -> HeaderMap {
    let mut out = headers::to_target(headers, names);
    if !table.has_accounts() {
        return out;
    }
    out.remove(&names.key);
    out.remove(&names.account);
    if let Some(account) = account {
        let name = web::header_value(account.name.as_str());
        out.insert(names.account.clone(), name);
    }
    out
}

/// Returns the table in force; a restarted instance waits for its first one until
/// `until`.
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

/// Returns the route of a request.
pub(in crate::entry) fn route(table: &Table, headers: &HeaderMap, path: &str) -> Option<Route> {
    let host = headers::text(headers, &HOST).unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let host = host.split(':').next().unwrap_or_default();
    table.find(host, path).cloned()
}

async fn read_body(
    table: &Table,
    body: Incoming,
    held: &Held,
) -> Result<bytes::Bytes, RequestError> {
    let limits = ReadLimits {
        bytes: table.body_bytes().unwrap_or(DEFAULT_BODY_MAX),
        ..ReadLimits::default()
    };
    let read = read_held(body, limits, held).await;
    read.map_err(|failure| match failure.reason {
        Refusal::TooLarge => RequestError::TooLarge,
        Refusal::SlowBody => RequestError::SlowBody,
        Refusal::Overloaded => RequestError::NotRun {
            again: failure.retry.unwrap_or(DEFAULT_RETRY_AFTER),
            why: Why::Memory,
        },
        _ => RequestError::BadRequest,
    })
}

/// Returns the tokens of the prompt and the most tokens of the answer; 0 where the header
/// doesn't say.
pub(in crate::entry) fn tokens(headers: &HeaderMap, names: &HeaderNames) -> (u64, u64) {
    let raw = headers::text(headers, &names.tokens).unwrap_or_default();
    let mut parts = raw.split(',').map(|part| part.trim().parse().unwrap_or(0));
    (parts.next().unwrap_or(0), parts.next().unwrap_or(0))
}
