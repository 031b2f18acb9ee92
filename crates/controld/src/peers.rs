//! The peer listener, and RPC calls to other control instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Failure, InstanceName, Refusal, Ticket};
use control::Input;
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming};
use web::{body::Body, memory::Memory, reply};
use wire::{
    call::{Call, Reply},
    operator::Apply,
};

use crate::state::State;

/// Time limit for a message of the replicated log. After it the message counts as lost,
/// and the log sends it again.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for forwarding an operator's change to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers one request on the peer listener.
pub(crate) async fn answer(
    state: Arc<State>,
    memory: Memory,
    req: Request<Incoming>,
) -> Response<Body> {
    if !peer::wants_upgrade(&req) {
        return reply::failure(&Failure::not_run(Refusal::NotFound));
    }
    let handler = move |_, call| handle(Arc::clone(&state), call);
    let upgrade = peer::accept(req, memory, handler);
    upgrade.map(|empty| empty.map_err(|never| match never {}).boxed_unsync())
}

/// Passes a call to the control instance and returns its reply.
async fn handle(state: Arc<State>, call: Call) -> Reply {
    let (ticket, reply) = state.register_call();
    state.send_input(Input::Call { ticket, call });
    reply.await.unwrap_or(Reply::Redirect { leader: None })
}

/// Sends a message of the replicated log in the background.
pub(crate) fn send(state: &Arc<State>, to: &InstanceName, call: Call) {
    let Some(address) = state.controls.get(to).copied() else {
        return;
    };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        // The log itself resends lost messages.
        state
            .links
            .to(address)
            .call(call, MESSAGE_TIMEOUT)
            .await
            .ok();
    });
}

/// Forwards an operator's change to the leader `to` in the background.
pub(crate) fn forward(state: &Arc<State>, ticket: Ticket, to: &InstanceName, apply: Apply) {
    let address = state.controls.get(to).copied();
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let reply = match address {
            Some(address) => call_leader(&state, address, apply).await,
            None => Some(Reply::Redirect { leader: None }),
        };
        state.send_input(Input::Forwarded { ticket, reply });
    });
}

/// Returns the leader's reply; none if the outcome is unknown.
async fn call_leader(state: &State, address: SocketAddr, apply: Apply) -> Option<Reply> {
    let link = state.links.to(address);
    match link.call(Call::Apply(apply), FORWARD_TIMEOUT).await {
        Ok(reply) => Some(reply),
        Err(err) if err.verdict() == base::Verdict::NotRun => {
            Some(Reply::Redirect { leader: None })
        }
        Err(_) => None,
    }
}
