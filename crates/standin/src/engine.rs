//! A stand-in for a model engine: adapter slots, a bounded batch with priorities, streamed
//! tokens, orders to load and unload adapters, and reports that may be delayed.
//!
//! Token `i` of an answer is a function of adapter, version, prompt and `i`, so that a test
//! detects wrong, repeated and missing tokens.

mod admin;
mod batch;
mod chat;
mod orders;
mod report;
mod state;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Result;
use tokio::net::TcpListener;
use web::{Incoming, Method, Request, Response, StatusCode, body::Body, reply};

use self::state::Engine;
pub use self::{
    admin::{Count, Cut, Millis},
    chat::{prompt_of, token, tokens},
    state::{Order, Stats},
};
use crate::{
    gate,
    server::{self, Running},
};

/// The settings of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Adapters that can be loaded at the same time.
    pub slots: usize,
    /// Requests that run concurrently.
    pub batch: usize,
    /// Requests that may be queued inside the engine.
    pub waiting: usize,
    /// Time per token.
    pub token_time: Duration,
    /// Time before the first token, unless the head of the prompt is cached.
    pub prefill: Duration,
    /// Duration of a load without a weight store.
    pub load_time: Duration,
    /// Address of the weight store, if there is one.
    pub store: Option<SocketAddr>,
    /// Whether orders with an outdated fencing number are refused.
    pub check_fence: bool,
    /// Age of the data in a report.
    pub report_lag: Duration,
    /// Every n-th report is dropped; none if zero.
    pub report_drop: u64,
    /// Prompt heads that the prefix cache holds.
    pub cache: usize,
    /// Whether `POST /admin/freeze-connections` works; adds a hop, as all connections
    /// pass a gate then.
    pub freezable: bool,
    /// A prompt that contains this text ends the process soon after its run has begun.
    pub crash_on: Option<String>,
    /// Adapters loaded at the start, as `adapter@version`.
    pub resident: Vec<String>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            slots: 4,
            batch: 8,
            waiting: 256,
            token_time: Duration::from_millis(5),
            prefill: Duration::ZERO,
            load_time: Duration::from_millis(50),
            store: None,
            check_fence: true,
            report_lag: Duration::ZERO,
            report_drop: 0,
            cache: 64,
            freezable: false,
            crash_on: None,
            resident: Vec::new(),
        }
    }
}

/// Starts an engine.
///
/// # Errors
///
/// Returns an error if a name in `config.resident` is not `adapter@version`, or a listener
/// can't be opened.
pub async fn start(listener: TcpListener, config: Config) -> Result<Running> {
    let freezable = config.freezable;
    let engine = Arc::new(Engine::new(config)?);
    report::spawn_sampler(&engine);
    let handler = {
        let engine = Arc::clone(&engine);
        move |req| handle(Arc::clone(&engine), req)
    };
    if !freezable {
        return server::run(listener, handler);
    }
    let inner = server::listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let inner = server::run(inner, handler)?;
    let gate = gate::open(listener, inner.addr)?;
    Ok(engine.attach_gate(gate, inner))
}

async fn handle(engine: Arc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let get = req.method() == Method::GET;
    match (get, path.as_str()) {
        (true, "/health") => reply::plain(StatusCode::OK, ""),
        (true, "/v1/report") => report::answer(&engine),
        (true, "/admin/stats") => server::show(&engine.stats()),
        (false, "/v1/chat/completions") => chat::answer(engine, req).await,
        (false, "/v1/load_lora_adapter") => orders::load(engine, req).await,
        (false, "/v1/unload_lora_adapter") => orders::unload(engine, req).await,
        (false, path) if path.starts_with("/admin/") => admin::answer(engine, req).await,
        _ => server::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}
