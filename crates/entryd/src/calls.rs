//! Calls to and from other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::InstanceName;
use node::Input;
use wire::call::{Call, Reply};

use crate::state::State;

/// Makes a call in the background and tells the node how it ended.
pub(crate) fn make(
    state: &Arc<State>,
    call: u64,
    address: SocketAddr,
    body: Call,
    limit: Duration,
) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let reply = state.links.to(address).call(body, limit).await;
        let reply = reply.map_err(|err| err.verdict());
        state.tell(Input::Replied { call, reply });
    });
}

/// Answers a call from another process by what the node says.
pub(crate) async fn take(state: Arc<State>, from: InstanceName, body: Call) -> Reply {
    if body == Call::Drain {
        state.tell(Input::Drain);
        return Reply::Done;
    }
    let (call, answer) = state.expect();
    state.tell(Input::Called { call, from, body });
    answer.await.unwrap_or(Reply::Done)
}
