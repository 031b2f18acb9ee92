//! Messages between the services of one node, and the names of the services.

use std::{net::SocketAddr, time::Duration};

use base::{AdapterKey, Failure, Fence, Incarnation, InstanceName, TargetNo, Ticket, Verdict};
use kernel::Name;
use route::{RequestSpec, RouterUpdate};
use wire::call::{Call, HeartbeatReply, Reply};

use crate::{io::Input, shared::Purpose};

/// Keeps the newest accepted text in force.
pub(crate) const CONFIG: Name = Name("config");
/// Maintains the targets and peers from the platform's list.
pub(crate) const FLEET: Name = Name("fleet");
/// Starts the services of the text in the order of their dependencies.
pub(crate) const SERVICES: Name = Name("services");
/// Sends heartbeats and tracks the leader.
pub(crate) const HEARTBEAT: Name = Name("heartbeat");
/// Owns engines: holds their leases, queues their requests, sends them orders.
pub(crate) const ENGINES: Name = Name("engines");
/// Handles requests from arrival to final answer.
pub(crate) const ENTRY: Name = Name("entry");

/// All services, in the order in which they receive broadcast messages.
pub(crate) const ALL: [Name; 6] = [CONFIG, FLEET, SERVICES, HEARTBEAT, ENGINES, ENTRY];

/// A message to a service.
#[derive(Debug)]
pub(crate) enum Msg {
    /// An input of the node.
    Input(Input),
    /// A call that this service made ended.
    Replied {
        purpose: Purpose,
        reply: Result<Reply, Verdict>,
    },
    /// Another process calls.
    Called { call: u64, body: Call },
    /// The time requested with `Shared::wake` has come.
    Wake,
    /// Another text is in force.
    TextChanged,
    /// Targets or peers changed.
    FleetChanged,
    /// The leader answered a heartbeat.
    HeartbeatReply(Box<HeartbeatReply>),
    /// Send a heartbeat at once instead of at the end of the interval.
    HeartbeatNow,
    /// Build a heartbeat and send it to a control instance.
    SendHeartbeat {
        serial: u64,
        control: InstanceName,
        address: SocketAddr,
    },
    /// This process is to shut down gracefully.
    Drain,
    /// An update of the router's directory of targets and adapters.
    TargetUpdate(RouterUpdate),
    /// A target wants nothing from this instance for so long.
    Rests(TargetNo, Duration),
    /// An engine's owner and its fencing number, from the leader's roster.
    Owner(TargetNo, InstanceName, Fence),
    /// A request that uses this adapter was sent to an engine owned here.
    Using {
        ticket: Ticket,
        target: TargetNo,
        key: AdapterKey,
    },
    /// The current incarnation of an engine, from its report.
    Incarnation(TargetNo, Incarnation),
    /// Queue a request for an engine owned here.
    Queue {
        ticket: Ticket,
        target: TargetNo,
        ask: RequestSpec,
    },
    /// Remove the request from its engine's queue or batch.
    Dequeue(Ticket),
    /// The first part of the response body arrived.
    Began(Ticket),
    /// The attempt at the engine ended; `ok` is false if the engine failed.
    Ended { ticket: Ticket, ok: bool },
    /// The request left the queue and is to be sent to the engine now.
    Dispatch { ticket: Ticket, priority: i32 },
    /// The engine's queue refused the request; it has not been sent.
    Refused { ticket: Ticket, failure: Failure },
    /// Cancel the running batch request in favour of more urgent work.
    Preempt(Ticket),
}
