//! RPC calls between the processes of a deployment: tarpc with MessagePack (rmp-serde)
//! over an upgraded HTTP connection.
//!
//! One port of a process serves two kinds of traffic: forwarded requests as plain HTTP,
//! each on a connection of its own, and RPC calls on a connection that was upgraded to
//! [`PROTOCOL`]. So a stalled body never delays a heartbeat or a claim, and no second
//! port has to be opened between availability zones.

mod bounded;
mod link;
mod rpc;
mod server;

pub use crate::{
    link::{CallError, Link},
    rpc::{MAX_CALL_BYTES, PATH, PROTOCOL},
    server::{accept, wants_upgrade},
};
