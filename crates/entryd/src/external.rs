//! HTTP requests to the platform, for its list of targets and instances, and to engines,
//! for their reports and to load and unload adapters.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Fence, Mark, TargetName};
use bytes::Bytes;
use daemon::Fate;
use hyper::{HeaderMap, Method, header::HeaderValue};
use node::{Input, Order, OrderEnd};
use serde::{Serialize, de::DeserializeOwned};
use telemetry::{Event, event};
use tokio::time::sleep;
use web::client::{Answer, Limits, Send};
use wire::{
    engine::{Load, Report, Unload},
    header, platform,
};

use crate::state::State;

/// How often the platform's list is read. A target must be known to be leaving within
/// three seconds after the list says so.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for reading a list or report.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time limit for an order. A load takes long as the engine fetches the adapter from the
/// weight store.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between the first broken attempt at a target and the check: the others break
/// within some milliseconds, and a process closes its listener last.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Part of an engine's error text for a load of an adapter that is already resident.
const ALREADY_LOADED: &str = "already been loaded";

/// Largest list or report, in bytes.
const MAX_READ_BYTES: usize = 1 << 20;

/// Reads the platform's list at a fixed interval and passes it to the node.
pub(crate) async fn poll_list(state: Arc<State>, platform: SocketAddr) {
    let mut tick = tokio::time::interval(LIST_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stale = false;
    loop {
        tick.tick().await;
        let list = get::<platform::List>(&state, platform, "/v1/list").await;
        if list.is_none() && !stale {
            event!(Event::ListStale, platform = platform);
        }
        stale = list.is_none();
        state.send_input(Input::List(list));
    }
}

/// Reads an engine's report in the background and passes it to the node.
pub(crate) fn poll(state: &Arc<State>, poll: u64, address: SocketAddr) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let report = get::<Report>(&state, address, "/v1/report").await;
        state.send_input(Input::Report { poll, report });
    });
}

/// Finds out in the background whether a target still listens, and tells the node.
pub(crate) fn check_target(state: &Arc<State>, target: TargetName, address: SocketAddr) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        sleep(CHECK_DELAY).await;
        let fate = Fate::of(address).await;
        event!(Event::TargetChecked, target = target, fate = fate.as_str());
        let crashed = fate == Fate::Crashed;
        state.send_input(Input::TargetChecked { target, crashed });
    });
}

/// Sends an order to an engine in the background and passes its result to the node.
pub(crate) fn order(
    state: &Arc<State>,
    order: u64,
    address: SocketAddr,
    body: Order,
    fence: Fence,
) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let end = send_order(&state, address, body, fence).await;
        state.send_input(Input::OrderEnded { order, end });
    });
}

async fn send_order(state: &State, address: SocketAddr, body: Order, fence: Fence) -> OrderEnd {
    let (path, body) = match body {
        Order::Load(resident, lora_path) => {
            let lora_name = resident.to_string();
            let load = Load {
                lora_name,
                lora_path,
            };
            ("/v1/load_lora_adapter", json(&load))
        }
        Order::Unload(resident) => {
            let lora_name = resident.to_string();
            ("/v1/unload_lora_adapter", json(&Unload { lora_name }))
        }
    };
    let mut send = Send::new(address, Method::POST, path);
    send.body = body;
    // The client must not retry an order: the second copy could arrive after a later
    // order.
    send.mark = Mark::Once;
    send.limits = Limits {
        first: ORDER_TIMEOUT,
        total: ORDER_TIMEOUT,
        ..Limits::default()
    };
    send.headers = json_headers();
    send.headers
        .insert(header::FENCE, HeaderValue::from(fence.get()));
    match state.client.send(send).await {
        Ok(answer) => match answer.status.as_u16() {
            200 => OrderEnd::Done,
            400 if already_loaded(answer).await => OrderEnd::AlreadyLoaded,
            412 => OrderEnd::Fenced,
            _ => OrderEnd::Failed,
        },
        Err(broken) if broken.verdict == base::Verdict::NotRun => OrderEnd::Failed,
        Err(_) => OrderEnd::Unknown,
    }
}

/// Returns whether a load was refused because the adapter is already resident. Engines
/// answer that with an error, although the adapter is loaded as ordered.
async fn already_loaded(answer: Answer) -> bool {
    let body = answer.read_all(MAX_READ_BYTES).await.unwrap_or_default();
    String::from_utf8_lossy(&body).contains(ALREADY_LOADED)
}

async fn get<T: DeserializeOwned>(state: &State, address: SocketAddr, path: &str) -> Option<T> {
    let mut send = Send::new(address, Method::GET, path);
    send.limits = Limits::within(READ_TIMEOUT);
    let answer = state.client.send(send).await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    let body = answer.read_json(MAX_READ_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

fn json<T: Serialize>(value: &T) -> Bytes {
    // Serialising a struct of strings can't fail.
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Returns the headers of a request with a JSON body.
pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(hyper::header::CONTENT_TYPE, json);
    headers
}
