//! An entry instance: takes callers' requests and forwards them to targets.

mod answer;
mod editions;
mod forward;
mod headers;
mod relay;
mod state;
mod sync;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use anyhow::Result;
use daemon::listen;
use gateway::budget;
use hyper::{Request, Response, StatusCode, body::Incoming};
use telemetry::event;
use tokio_util::sync::CancellationToken;
use web::{body::Body, server};

use self::state::State;
use crate::Platform;

/// How long new connections are taken after a stop was asked for: the platform
/// asks for readiness once a second and takes an instance out after two misses.
/// Longer would take requests that may not end before the process is killed.
const LINGER: Duration = Duration::from_millis(2_700);

/// Part of the time until the process is killed that is left unused, so that
/// the last answers are out before.
const MARGIN: Duration = Duration::from_millis(200);

/// Longest time that a connection of a caller may lie idle. Callers reuse one
/// that lay idle for four fifths of what the operator sets, which is at most
/// some ten seconds; this is above it, so that no request meets a close.
const IDLE: Duration = Duration::from_secs(60);

/// What an entry instance is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its address.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: String,
    /// All availability zones.
    pub zones: Vec<String>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
    /// The port of other instances for each other.
    pub peer_port: u16,
    /// Time from the request to stop to the end of the process.
    pub grace: Duration,
    /// The budget of repeats that all instances share.
    pub retries: budget::Limits,
}

/// Serves until a planned stop has ended.
///
/// # Errors
///
/// Fails when an address can't be listened on.
pub async fn serve(setup: Setup, platform: Platform) -> Result<()> {
    let state = Arc::new(State::new(&setup, platform));
    let stop = CancellationToken::new();
    let stopping = daemon::stop_signal()?;
    let (at_stop, flag) = (stop.clone(), Arc::clone(&state));
    tokio::spawn(async move {
        stopping.await;
        event!(telemetry::Event::DrainBegun);
        flag.stop();
        at_stop.cancel();
    });
    tokio::spawn(sync::run(Arc::clone(&state)));
    tokio::spawn(editions::run(Arc::clone(&state)));
    let at_ready = Arc::clone(&state);
    let ready = move |req| readiness(Arc::clone(&at_ready), req);
    let limits = server::Limits {
        header_time: IDLE,
        body_bytes: 64 << 20,
        linger: LINGER,
        drain: setup.grace.saturating_sub(LINGER + MARGIN),
        ..server::Limits::default()
    };
    tokio::spawn(server::serve(
        listen(setup.ready).await?,
        limits,
        ready,
        CancellationToken::new(),
    ));
    let listener = listen(setup.listen).await?;
    event!(telemetry::Event::Started, listen = setup.listen.to_string());
    let at_callers = Arc::clone(&state);
    let handler = move |req| forward::answer(Arc::clone(&at_callers), req);
    let served = server::serve(listener, limits, handler, stop).await?;
    event!(telemetry::Event::Stopped, running = served.cut);
    Ok(())
}

async fn readiness(state: Arc<State>, _: Request<Incoming>) -> Response<Body> {
    let mut resp = Response::new(web::body::full(""));
    if !state.ready() {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}
