//! An entry instance accepts requests of callers and forwards them to targets.

mod admission;
mod answer;
mod crash;
mod editions;
mod explain;
mod forward;
mod headers;
mod helping;
mod lending;
mod limits;
mod lists;
mod paths;
mod relay;
mod rests;
mod signs;
mod state;
mod streams;
mod sync;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use account::Slack;
use anyhow::Result;
use base::Machine;
use daemon::{Capacity, descriptors, listen};
use gateway::{budget, hedge::HedgeLimit};
use hyper::{Request, Response, StatusCode, body::Incoming};
use telemetry::event;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use web::{body::Body, server};

use self::{helping::Tunnels, state::State};
use crate::Platform;

/// How long new connections are accepted after a stop was requested. The platform probes
/// readiness once a second and removes an instance after two failed probes. A longer time
/// would accept requests that may not finish before the process is killed.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_700);

/// Part of the grace period in which no request runs, so that the last answers are sent before
/// the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(200);

/// Part of the grace period, at its end, in which connections are closed.
const CUT_MARGIN: Duration = Duration::from_millis(150);

/// Idle time-out of a caller's connection. Callers reuse a connection that has been idle
/// for up to four fifths of the time-out that the operator configures, which is some ten
/// seconds at most. This limit is above that, so that no request arrives on a connection
/// that is being closed.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Parts of sixteen of the descriptors for connections of callers.
const CALLER_PARTS: u32 = 7;

/// Callers' requests may take one of so many parts of the memory.
const CALLER_SHARE: u64 = 2;

/// Parts of sixteen of the descriptors for tunnels, each of which has two.
const TUNNEL_PARTS: u32 = 1;

/// Requests of other instances may take one of so many parts of the memory.
const PEER_SHARE: u64 = 16;

/// Largest head of a request that is no caller's, in bytes.
const OWN_HEAD_MAX: usize = 8 << 10;

/// Parameters of an entry instance, from the settings of its machine.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Address of this instance; also its identity, see [`crate::instance_name`].
    pub ip: IpAddr,
    /// Availability zone of this instance.
    pub zone: String,
    /// All availability zones of the deployment.
    pub zones: Vec<String>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform probes readiness.
    pub ready: SocketAddr,
    /// Where operators read metrics and ask for explanations, if they may.
    pub operators: Option<SocketAddr>,
    /// Port on which instances listen for each other.
    pub peer_port: u16,
    /// Time from the request to stop until the platform kills the process.
    pub grace: Duration,
    /// Time within which requests have to stop going to a target that leaves.
    pub drain: Duration,
    /// The budget of retries that all entry instances share.
    pub retries: budget::Limits,
    /// Extra sends that are allowed as a part of requests; none go out without it.
    pub hedge_limit: Option<HedgeLimit>,
    /// How far all entry instances together may exceed the limit of an account.
    pub slack: Slack,
    /// What the process may use.
    pub machine: Machine,
}

/// Serves callers until a planned stop has ended.
///
/// # Errors
///
/// Fails when an address can't be listened on.
pub async fn serve(setup: Setup, platform: Platform) -> Result<()> {
    let state = Arc::new(State::new(&setup, platform));
    let stop = CancellationToken::new();
    let stopping = daemon::stop_signal()?;
    let (at_stop, flag) = (stop.clone(), Arc::clone(&state));
    let run = setup.grace.saturating_sub(KILL_MARGIN);
    tokio::spawn(async move {
        stopping.await;
        event!(telemetry::Event::DrainBegun);
        flag.stop(ACCEPT_AFTER_STOP, run);
        at_stop.cancel();
    });
    tokio::spawn(sync::run(Arc::clone(&state)));
    tokio::spawn(lists::run(Arc::clone(&state)));
    tokio::spawn(lending::run(Arc::clone(&state)));
    tokio::spawn(paths::run(Arc::clone(&state)));
    tokio::spawn(editions::run(Arc::clone(&state)));
    tokio::spawn(streams::run(Arc::clone(&state)));
    let at_ready = Arc::clone(&state);
    let ready = move |req| readiness(Arc::clone(&at_ready), req);
    tokio::spawn(server::serve(
        listen(setup.ready).await?,
        own_limits(Capacity::of_probes()),
        ready,
        CancellationToken::new(),
    ));
    if let Some(address) = setup.operators {
        let at_operators = Arc::clone(&state);
        let handler = move |req| explain::answer(Arc::clone(&at_operators), req);
        tokio::spawn(server::serve(
            listen(address).await?,
            own_limits(Capacity::of_probes()),
            handler,
            CancellationToken::new(),
        ));
    }
    let tunnels = serve_others(&state, &setup).await?;
    let listener = listen(setup.listen).await?;
    event!(telemetry::Event::Started, listen = setup.listen.to_string());
    let at_callers = Arc::clone(&state);
    let handler = move |req| forward::answer(Arc::clone(&at_callers), req);
    let (begun, grace) = (stop.clone(), setup.grace.saturating_sub(KILL_MARGIN));
    let killed = tokio::spawn(async move {
        begun.cancelled().await;
        sleep(grace).await;
    });
    let served = server::serve(listener, caller_limits(&setup), handler, stop).await?;
    // Other instances' requests run on through the tunnels that stand.
    tunnels.tasks.close();
    tokio::select! {
        () = tunnels.tasks.wait() => {}
        _ = killed => {}
    }
    let running = served.cut + tunnels.tasks.len();
    event!(telemetry::Event::Stopped, running = running);
    Ok(())
}

/// Starts to reach targets for other instances.
async fn serve_others(state: &Arc<State>, setup: &Setup) -> Result<Tunnels> {
    let tunnels = Tunnels::new(descriptors(setup.machine, TUNNEL_PARTS));
    let (at_peers, for_others) = (Arc::clone(state), tunnels.clone());
    let helper = move |req| helping::answer(Arc::clone(&at_peers), for_others.clone(), req);
    tokio::spawn(server::serve(
        listen(SocketAddr::new(setup.ip, setup.peer_port)).await?,
        own_limits(Capacity::of(setup.machine, TUNNEL_PARTS, PEER_SHARE)),
        helper,
        CancellationToken::new(),
    ));
    Ok(tunnels)
}

fn caller_limits(setup: &Setup) -> server::Limits {
    let capacity = Capacity::of(setup.machine, CALLER_PARTS, CALLER_SHARE);
    server::Limits {
        header_time: CALLER_IDLE_TIMEOUT,
        body_bytes: 64 << 20,
        connections: capacity.connections,
        memory: capacity.memory,
        linger: ACCEPT_AFTER_STOP,
        drain: setup.grace.saturating_sub(ACCEPT_AFTER_STOP + CUT_MARGIN),
        ..server::Limits::default()
    }
}

/// Returns the limits of a listener for the platform, operators or other instances.
fn own_limits(capacity: Capacity) -> server::Limits {
    server::Limits {
        header_time: CALLER_IDLE_TIMEOUT,
        header_bytes: OWN_HEAD_MAX,
        connections: capacity.connections,
        memory: capacity.memory,
        ..server::Limits::default()
    }
}

async fn readiness(state: Arc<State>, _: Request<Incoming>) -> Response<Body> {
    let mut resp = Response::new(web::body::full(""));
    if !state.ready() {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}
