//! Reaches targets for other entry instances that are cut off from all of them.

use std::{sync::Arc, time::Duration};

use futures::FutureExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use telemetry::{event, prom_metrics};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};
use tokio_util::task::TaskTracker;
use web::{
    body::{Body, full},
    client::Cause,
    tunnel::{self, Tunnel, TunnelError},
};
use wire::{
    call::{Call, Reply},
    helper::EntryReport,
};

use super::{rests, state::State, sync::ControlPeer};

/// Time that a connection to a target may take for another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The tunnels for other instances.
#[derive(Clone, Debug)]
pub(super) struct Tunnels {
    pub(super) tasks: TaskTracker,
    free: Arc<Semaphore>,
}

impl Tunnels {
    /// Allows `most` tunnels at once.
    pub(super) fn new(most: usize) -> Self {
        Tunnels {
            tasks: TaskTracker::new(),
            free: Arc::new(Semaphore::new(most)),
        }
    }
}

/// Answers another instance.
pub(super) async fn answer(
    state: Arc<State>,
    tunnels: Tunnels,
    req: Request<Incoming>,
) -> Response<Body> {
    if let Some((server, rest)) = tunnel::told_rest(&req) {
        rests::note_told(&state, server, rest);
        return Response::new(full(""));
    }
    let Some(tunnel) = tunnel::wanted(&req) else {
        let mut resp = Response::new(full(""));
        *resp.status_mut() = StatusCode::NOT_FOUND;
        return resp;
    };
    match open(&state, &tunnels, &tunnel).await {
        Ok((server, permit)) => {
            let until = Instant::now() + tunnel.left;
            event!(
                telemetry::Event::TunnelOpened,
                request = tunnel.label,
                from = tunnel.from,
                target = tunnel.target.to_string()
            );
            tunnels.tasks.spawn(async move {
                // The other instance may have left meanwhile.
                if let Ok((client, early)) = tunnel::upgraded(req).await {
                    tunnel::splice(client, server, early, until).await;
                }
                drop(permit);
            });
            prom_metrics().helped("opened");
            tunnel::accepted()
        }
        Err(err) => {
            prom_metrics().helped(match err {
                TunnelError::NoHelp(_) => "no_help",
                TunnelError::Refused => "refused",
                TunnelError::Silent => "silent",
                TunnelError::Resting => "resting",
            });
            err.response()
        }
    }
}

/// Connects to a target, and only to a target: this instance is no open proxy.
async fn open(
    state: &State,
    tunnels: &Tunnels,
    tunnel: &Tunnel,
) -> Result<(tokio::net::TcpStream, OwnedSemaphorePermit), TunnelError> {
    let no_help = |why: &str| TunnelError::NoHelp(why.to_owned());
    if state.is_stopping() || !state.paths.helps() {
        return Err(no_help("stopping, or cut off as well"));
    }
    let Some(id) = state.view().id_at(tunnel.target).map(str::to_owned) else {
        return Err(no_help("not a target that is known here"));
    };
    if !state.view().may_write(state.now(), &id) {
        return Err(TunnelError::Resting);
    }
    let permit = Arc::clone(&tunnels.free).try_acquire_owned();
    let permit = permit.map_err(|_| no_help("too many tunnels"))?;
    let until = Instant::now() + CONNECT_TIMEOUT;
    match state.paths.connect(tunnel.target, until).await {
        Ok(server) => Ok((server, permit)),
        Err(_) if !state.paths.helps() => Err(no_help("cut off as well")),
        Err(Cause::Connect(_)) => Err(TunnelError::Refused),
        Err(_) => Err(TunnelError::Silent),
    }
}

/// Reports to a control instance whether this instance can help, and takes over the
/// instances that help this one.
pub(super) async fn report(state: &State, peer: &ControlPeer) {
    let report = EntryReport {
        instance: state.name.clone(),
        zone: state.zone.clone(),
        helps: !state.is_stopping() && !state.paths.is_cut(),
    };
    let link = state.links.to(peer.address);
    let call = link.call(Call::Entries(report), REPORT_TIMEOUT).boxed();
    // A lost report is followed by the next one.
    if let Ok(Reply::Entries(helpers)) = call.await {
        state.paths.set_helpers(helpers);
    }
}
