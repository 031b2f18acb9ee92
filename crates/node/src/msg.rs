//! Messages between the services of one node, and the services' names.

use std::net::SocketAddr;

use base::{AdapterKey, Failure, Fence, Incarnation, InstanceName, TargetNo, Ticket, Verdict};
use kernel::Name;
use route::{RequestSpec, RouterUpdate};
use wire::call::{BeatReply, Call, Reply};

use crate::{io::Input, shared::Purpose};

/// Keeps the newest text in force.
pub(crate) const CONFIG: Name = Name("config");
/// Keeps the platform's list, targets and peers.
pub(crate) const FLEET: Name = Name("fleet");
/// Brings services up in the order of their dependencies.
pub(crate) const SERVICES: Name = Name("services");
/// Sends heartbeats and finds the leader.
pub(crate) const BEAT: Name = Name("beat");
/// Holds leases, queues before owned engines, orders them.
pub(crate) const ENGINES: Name = Name("engines");
/// Takes requests from arrival to final answer.
pub(crate) const ENTRY: Name = Name("entry");

/// All services, in the order in which each hears what all hear.
pub(crate) const ALL: [Name; 6] = [CONFIG, FLEET, SERVICES, BEAT, ENGINES, ENTRY];

/// A message to a service.
#[derive(Debug)]
pub(crate) enum Msg {
    /// Something from outside.
    Input(Input),
    /// A call of this service's ended.
    Replied {
        purpose: Purpose,
        reply: Result<Reply, Verdict>,
    },
    /// Another process calls.
    Called { call: u64, body: Call },
    /// The time asked for has come.
    Wake,
    /// Another text is in force.
    TextChanged,
    /// Targets or peers changed.
    FleetChanged,
    /// The leader answered a heartbeat.
    Beat(Box<BeatReply>),
    /// A heartbeat is due at once rather than in its time.
    BeatNow,
    /// A heartbeat is to be filled in and sent.
    SendBeat {
        serial: u64,
        control: InstanceName,
        address: SocketAddr,
    },
    /// This process is to stop.
    Drain,
    /// For the router's directory.
    News(RouterUpdate),
    /// Who owns an engine, by the leader's roster.
    Owner(TargetNo, InstanceName, Fence),
    /// A request was sent to an engine owned here and uses this.
    Using {
        ticket: Ticket,
        target: TargetNo,
        key: AdapterKey,
    },
    /// An engine's life was seen.
    Life(TargetNo, Incarnation),
    /// A request for an engine owned here.
    Queue {
        ticket: Ticket,
        target: TargetNo,
        ask: RequestSpec,
    },
    /// The request needs no place any more.
    Dequeue(Ticket),
    /// The first piece of its answer came.
    Began(Ticket),
    /// Its attempt at the engine ended.
    Ended { ticket: Ticket, ok: bool },
    /// Its turn has come.
    Turn { ticket: Ticket, priority: i32 },
    /// It was turned away before it was sent.
    Refused { ticket: Ticket, failure: Failure },
    /// It has to give way to more urgent work.
    GiveWay(Ticket),
}
