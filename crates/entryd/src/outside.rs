//! The platform's list, and orders to and reports of engines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Fence, Mark};
use bytes::Bytes;
use hyper::{HeaderMap, Method, header::HeaderValue};
use node::{Input, Order, OrderEnd};
use serde::{Serialize, de::DeserializeOwned};
use telemetry::{Event, event};
use web::client::{Answer, Limits, Send};
use wire::{
    engine::{Load, Report, Unload},
    header, platform,
};

use crate::state::State;

/// How often the platform's list is read: a leaving target has to be known
/// within three seconds of the list's word.
const LIST_EVERY: Duration = Duration::from_millis(500);

/// How long a list or report may take.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// How long an order may take: a load waits for the weight store.
const ORDER_LIMIT: Duration = Duration::from_secs(60);

/// What an engine says to a load of something resident.
const ALREADY: &str = "already been loaded";

/// Largest list or report, in bytes.
const READ_MAX: usize = 1 << 20;

/// Reads the platform's list over and over.
pub(crate) async fn watch_list(state: Arc<State>, platform: SocketAddr) {
    let mut tick = tokio::time::interval(LIST_EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stale = false;
    loop {
        tick.tick().await;
        let list = get::<platform::List>(&state, platform, "/v1/list").await;
        if list.is_none() && !stale {
            event!(Event::ListStale, platform = platform);
        }
        stale = list.is_none();
        state.tell(Input::List(list));
    }
}

/// Asks an engine for its report in the background.
pub(crate) fn poll(state: &Arc<State>, poll: u64, address: SocketAddr) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let report = get::<Report>(&state, address, "/v1/report").await;
        state.tell(Input::Report { poll, report });
    });
}

/// Sends an order to an engine in the background.
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
        state.tell(Input::OrderEnded { order, end });
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
    // An order that is repeated by itself could come after its successor.
    send.mark = Mark::Once;
    send.limits = Limits {
        first: ORDER_LIMIT,
        total: ORDER_LIMIT,
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

/// Tells a load of something resident, which engines answer as an error, from
/// one that failed: what was ordered is so.
async fn already_loaded(answer: Answer) -> bool {
    let body = answer.read_all(READ_MAX).await.unwrap_or_default();
    String::from_utf8_lossy(&body).contains(ALREADY)
}

async fn get<T: DeserializeOwned>(state: &State, address: SocketAddr, path: &str) -> Option<T> {
    let mut send = Send::new(address, Method::GET, path);
    send.limits = Limits::within(READ_LIMIT);
    let answer = state.client.send(send).await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    let body = answer.read_all(READ_MAX).await.ok()?;
    serde_json::from_slice(&body).ok()
}

fn json<T: Serialize>(value: &T) -> Bytes {
    // Plain structs of strings always serialise.
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Returns the headers of a JSON body.
pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(hyper::header::CONTENT_TYPE, json);
    headers
}
