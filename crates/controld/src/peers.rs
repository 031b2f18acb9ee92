//! The peer listener, and calls to other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Failure, InstanceName, Refusal, Ticket};
use control::Input;
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming};
use web::{body::Body, reply};
use wire::{
    call::{Call, Reply},
    operator::Apply,
};

use crate::state::State;

/// How long a message of the log may take; it is lost then, and the log sends
/// it again.
const MESSAGE_LIMIT: Duration = Duration::from_millis(500);

/// How long a change that is passed on to the leader may take.
const PASS_LIMIT: Duration = Duration::from_secs(5);

/// Answers one request on the peer listener.
pub(crate) async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    if !peer::wants_upgrade(&req) {
        return reply::failure(&Failure::not_run(Refusal::NotFound));
    }
    let handler = move |_, call| take(Arc::clone(&state), call);
    let upgrade = peer::accept(req, handler);
    upgrade.map(|empty| empty.map_err(|never| match never {}).boxed_unsync())
}

async fn take(state: Arc<State>, call: Call) -> Reply {
    let (ticket, reply) = state.expect_reply();
    state.tell(Input::Call { ticket, call });
    reply.await.unwrap_or(Reply::Redirect { leader: None })
}

/// Sends a message of the log in the background.
pub(crate) fn send(state: &Arc<State>, to: &InstanceName, call: Call) {
    let Some(address) = state.controls.get(to).copied() else {
        return;
    };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        // A lost message is the log's own affair.
        state.links.to(address).call(call, MESSAGE_LIMIT).await.ok();
    });
}

/// Passes an operator's change on to the leader in the background.
pub(crate) fn pass(state: &Arc<State>, ticket: Ticket, to: &InstanceName, apply: Apply) {
    let address = state.controls.get(to).copied();
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let reply = match address {
            Some(address) => passed(&state, address, apply).await,
            None => Some(Reply::Redirect { leader: None }),
        };
        state.tell(Input::Forwarded { ticket, reply });
    });
}

/// Returns the leader's reply, or none when it may have taken the change.
async fn passed(state: &State, address: SocketAddr, apply: Apply) -> Option<Reply> {
    let link = state.links.to(address);
    match link.call(Call::Apply(apply), PASS_LIMIT).await {
        Ok(reply) => Some(reply),
        Err(err) if err.verdict() == base::Verdict::NotRun => {
            Some(Reply::Redirect { leader: None })
        }
        Err(_) => None,
    }
}
