//! RPC calls to and from other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::InstanceName;
use node::Input;
use wire::call::{Call, Reply};

use crate::state::State;

/// Makes a call in the background and passes the reply or the failure to the node.
pub(crate) fn send(
    state: &Arc<State>,
    call: u64,
    address: SocketAddr,
    body: Call,
    timeout: Duration,
) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let reply = state.links.to(address).call(body, timeout).await;
        let reply = reply.map_err(|err| err.verdict());
        state.send_input(Input::Replied { call, reply });
    });
}

/// Passes a call from another process to the node and returns the node's reply.
pub(crate) async fn handle(state: Arc<State>, from: InstanceName, body: Call) -> Reply {
    if body == Call::Drain {
        state.send_input(Input::Drain);
        return Reply::Done;
    }
    let (call, reply) = state.register_call();
    state.send_input(Input::Called { call, from, body });
    reply.await.unwrap_or(Reply::Done)
}
