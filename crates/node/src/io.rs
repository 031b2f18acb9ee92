//! The inputs that a [`Node`](crate::Node) takes and the outputs that it
//! returns.
//!
//! All communication between an entry instance and other processes goes
//! through these types, so an embedding program or a test can delay, reorder
//! or drop any of it. "The driver" is the program that embeds the node.
//! Identifiers (`Ticket`, call, order, poll) are local to one node and never
//! reused.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{
    AdapterName, BrandName, Class, Failure, Fence, Fingerprint, InstanceName, Mark, PoolName,
    Refusal, ServiceName, TargetName, TextVersion, Ticket, Time, Tokens, Verdict, Version,
};
use wire::{
    call::{Answer, Call, Reply},
    engine, platform,
};

/// A client's request after the driver has parsed and authenticated it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the request in this node; assigned by the driver in
    /// ascending order.
    pub ticket: Ticket,
    /// Brand that the caller's API key belongs to.
    pub brand: BrandName,
    /// Service of the brand that the request is for.
    pub service: ServiceName,
    /// Adapter version, if the caller requires a certain one.
    pub version: Option<Version>,
    /// Priority class, if the caller asks for one; never raises the class of
    /// the service.
    pub class: Option<Class>,
    /// How long the caller waits, if it says so; otherwise the deadline that
    /// the configuration text sets for the class applies.
    pub timeout: Option<Duration>,
    /// Idempotency key, if the request carries one.
    pub key: Option<IdempotencyKey>,
    /// Hash of method, path and body.
    pub body: [u8; 16],
    /// Hash of the beginning of the prompt, for prefix-cache affinity; zero
    /// without a prompt.
    pub prefix: u64,
    /// The parts of the prompt that other requests may share: all messages but the last one.
    pub parts: Vec<Fingerprint>,
    /// Upper limit of tokens in the answer.
    pub tokens: Tokens,
    /// Whether the answer is streamed to the caller.
    pub stream: bool,
}

/// A caller's idempotency key, reduced to what other processes need of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Hash of the key.
    pub hash: [u8; 16],
    /// Creation time encoded in the key, in milliseconds since the Unix epoch,
    /// if it encodes one.
    pub dated: Option<u64>,
}

/// A request that another entry instance forwards to this one, the owner of
/// the engine that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Identifies the request in this node; shares its numbering with
    /// [`Arrival::ticket`].
    pub ticket: Ticket,
    /// Engine that the forwarding instance chose.
    pub target: TargetName,
    /// Brand of the caller.
    pub brand: BrandName,
    /// Adapter to run on.
    pub adapter: AdapterName,
    /// Version of the adapter.
    pub version: Version,
    /// Priority class.
    pub class: Class,
    /// Time left until the request's deadline.
    pub timeout: Duration,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
    /// Upper limit of tokens in the answer.
    pub tokens: Tokens,
    /// Number of tokens that the caller has already received; the answer
    /// continues after them.
    pub resume: u32,
    /// Whether the request may run more than once.
    pub mark: Mark,
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It is complete.
    Complete,
    /// Its connection was closed in order and nothing else marks its end: it is passed on as it
    /// is, and proves nothing for its target.
    Closed,
    /// It was cut off.
    Cut,
}

/// One step in the answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The response head arrived.
    Head {
        /// HTTP status.
        status: u16,
        /// Adapter and version that the target reports having used, if it
        /// reports them.
        ran: Option<Result<engine::Resident, engine::BadResident>>,
        /// Number of tokens after which the target says it continues.
        resumed: Option<u32>,
    },
    /// A part of the response body arrived.
    Piece(request::Part),
    /// The target has said nothing for some time; reported again while it stays silent. The
    /// attempt runs on.
    Silent,
    /// The response body ended.
    End {
        /// Whether it is complete.
        end: AnswerEnd,
        /// Copy of the answer, if the request has an idempotency key and the
        /// answer is small enough to be stored.
        answer: Option<Answer>,
    },
    /// The attempt failed: before a response head, or by an error event in the
    /// stream. A connection that breaks after the head is an `End`.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Why it failed.
        reason: Refusal,
        /// Delay before a retry, if the target or the owner named one.
        retry: Option<Duration>,
    },
}

/// What a target says in an answer about further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It wants nothing from this instance for so long.
    Rests(Duration),
    /// It leaves.
    Leaves,
}

/// An event that the driver reports to the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A client's request.
    Arrive(Arrival),
    /// A request forwarded by another entry instance.
    Hop(Hop),
    /// The client, or the instance that forwarded the request, disconnected.
    CallerGone(Ticket),
    /// The answer to an attempt made progress.
    Progress {
        /// The request.
        ticket: Ticket,
        /// Number of the attempt, as in [`Output::Send`].
        attempt: u32,
        /// Identifies this step in [`Output::Flow`]; assigned by the driver.
        step: u64,
        /// The step.
        progress: Progress,
    },
    /// The text that was in force when this instance last ran, read from
    /// disk; the first input after a restart.
    Saved {
        /// Its version.
        version: TextVersion,
        /// Its source.
        text: String,
    },
    /// The check requested by [`Output::Check`] ended.
    Checked {
        /// Version of the text, as in [`Output::Check`].
        version: TextVersion,
        /// The parsed text; none if this release can't read it.
        model: Option<Arc<text::model::Model>>,
    },
    /// The platform's list of targets and instances; none if the platform
    /// could not be queried.
    List(Option<platform::List>),
    /// The answer to [`Output::Poll`].
    Report {
        /// The poll, as in [`Output::Poll`].
        poll: u64,
        /// The engine's report; none if it did not answer.
        report: Option<engine::Report>,
    },
    /// An order to an engine ended.
    OrderEnded {
        /// The order, as in [`Output::Order`].
        order: u64,
        /// Its result.
        end: OrderEnd,
    },
    /// A call to another process ended.
    Replied {
        /// The call, as in [`Output::Call`].
        call: u64,
        /// The reply, or without one whether the callee may have carried out
        /// the call.
        reply: Result<Reply, Verdict>,
    },
    /// Another process calls this one.
    Called {
        /// Identifies the call in [`Output::Reply`].
        call: u64,
        /// The calling instance.
        from: InstanceName,
        /// The call.
        body: Call,
    },
    /// An answer of a target says something about all further requests of this instance.
    Said {
        /// The target.
        target: TargetName,
        /// What it says.
        word: Word,
    },
    /// The check requested by [`Output::CheckTarget`] ended.
    TargetChecked {
        /// The target.
        target: TargetName,
        /// Whether the target no longer listens.
        crashed: bool,
    },
    /// This process is to shut down gracefully.
    Drain,
    /// The time requested by [`Output::Wake`] has come.
    Wake,
}

base::value! {
    /// The result of an order to an engine.
    pub enum OrderEnd {
        /// Carried out.
        Done,
        /// The adapter was resident before; another owner may have loaded it.
        AlreadyLoaded,
        /// The engine failed to carry it out.
        Failed,
        /// Refused, because the engine has seen a greater fencing number.
        Fenced,
        /// Unknown outcome; the engine's next report shows it.
        Unknown,
    }
}

/// A command to an engine to load or unload an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a version of an adapter from this path in the weight store.
    Load(engine::Resident, String),
    /// Unload a version of an adapter.
    Unload(engine::Resident),
}

/// Where an attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the target itself.
    Target {
        /// Address of the target's listener.
        address: SocketAddr,
        /// Priority in the engine's own queue; smaller runs sooner.
        priority: i32,
    },
    /// To the entry instance that owns the target.
    Owner {
        /// Address of its peer listener.
        address: SocketAddr,
        /// Time left until the request's deadline.
        timeout: Duration,
    },
}

/// One attempt to have a target answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub ticket: Ticket,
    /// Number of the attempt within the request, from 1.
    pub attempt: u32,
    /// Target that is to answer.
    pub target: TargetName,
    /// Where to send the attempt.
    pub route: Route,
    /// Adapter to run on; none for a plain service.
    pub resident: Option<engine::Resident>,
    /// Brand of the caller.
    pub brand: BrandName,
    /// Priority class.
    pub class: Class,
    /// Whether the request may run more than once.
    pub mark: Mark,
    /// Number of tokens that the caller has already received; the answer
    /// continues after them.
    pub resume: u32,
    /// Time limit for the whole attempt.
    pub timeout: Duration,
}

/// An action for the driver to carry out, in the order of the outputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an attempt.
    Send(Attempt),
    /// Cancel an attempt by closing its connection.
    Cancel {
        /// The request.
        ticket: Ticket,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Pass on, hold back or drop the response head or body part that an
    /// [`Input::Progress`] reported.
    Flow {
        /// The request.
        ticket: Ticket,
        /// The step, as in [`Input::Progress`]. The data of a step that no
        /// output names is never sent to the caller.
        step: u64,
        /// What to do.
        flow: Flow,
    },
    /// End the request: send the caller whatever [`Ending`] says.
    Finish {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        end: Ending,
    },
    /// Send an order to an engine.
    Order {
        /// Identifies the order in [`Input::OrderEnded`].
        order: u64,
        /// The engine.
        target: TargetName,
        /// Address of the engine's listener.
        address: SocketAddr,
        /// The order.
        body: Order,
        /// Fencing number under which this instance owns the engine.
        fence: Fence,
    },
    /// Ask an engine for its report.
    Poll {
        /// Identifies the poll in [`Input::Report`].
        poll: u64,
        /// The engine.
        target: TargetName,
        /// Address of the engine's listener.
        address: SocketAddr,
    },
    /// Find out whether a target still listens after an attempt broke there, and report
    /// it as [`Input::TargetChecked`]. Other attempts break within some milliseconds.
    CheckTarget {
        /// The target.
        target: TargetName,
        /// Address of the target's listener.
        address: SocketAddr,
    },
    /// Call another process.
    Call {
        /// Identifies the call in [`Input::Replied`].
        call: u64,
        /// Address of the callee's peer listener.
        address: SocketAddr,
        /// The call.
        body: Call,
        /// How long to wait for the reply.
        timeout: Duration,
    },
    /// Reply to a call from another process.
    Reply {
        /// The call, as in [`Input::Called`].
        call: u64,
        /// The reply.
        body: Reply,
    },
    /// Parse and check a text, then report [`Input::Checked`]. Has to run in
    /// the background, as it may take a fifth of a second.
    Check {
        /// Its version.
        version: TextVersion,
        /// Its source.
        raw: Arc<str>,
    },
    /// Another text is in force.
    Text {
        /// Its version.
        version: TextVersion,
        /// The parsed text.
        model: Arc<text::model::Model>,
        /// Its source, to be saved for [`Input::Saved`].
        raw: Arc<str>,
    },
    /// Whether the load balancer should send requests to this instance.
    Ready(bool),
    /// Shutdown is complete, no request runs: the process may exit.
    Drained,
    /// Write a log line or update a metric.
    Event(Event),
    /// Hand in [`Input::Wake`] at this time; replaces the time set before.
    Wake(Time),
}

base::value! {
    /// What to do with a response head or body part, or with all that are
    /// held back.
    pub enum Flow {
        /// Pass it to the caller.
        Pass,
        /// Hold it back until the answer is complete.
        Hold,
        /// Discard all that is held back.
        Drop,
        /// Pass all that is held back to the caller.
        Release,
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer was passed on.
    Whole,
    /// Same idempotency key as an earlier request: the stored answer of that
    /// request is sent.
    Replay(Answer),
    /// It failed before anything was passed on: this error is the answer.
    Failed(Failure),
    /// It failed after a part was passed on: the stream ends with this error.
    Broken(Failure),
}

/// An occurrence for the operators' log or a metric.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This build can't read a newer text; the one in force stays.
    BadText(TextVersion),
    /// A newer text is in force.
    TextInForce(TextVersion),
    /// Services of a brand came up, or still wait for a live target or for a
    /// service that they depend on.
    Services {
        /// The brand.
        brand: BrandName,
        /// Number of services that just came up.
        up: usize,
        /// Number of services that still wait.
        waiting: usize,
    },
    /// This instance holds a lease on an engine.
    Owns(TargetName, Fence),
    /// This instance no longer owns an engine.
    Lost(TargetName),
    /// The lease on an engine expired without a leader to renew it; this
    /// instance goes on serving the engine with restrictions.
    Restricted(TargetName, Fence),
    /// An engine stopped answering polls (`true`), or answers again (`false`).
    EngineSilent(TargetName, bool),
    /// The platform lists an engine owned here as leaving.
    EngineLeaving(TargetName),
    /// An engine restarted and lost its resident adapters.
    EngineRestarted(TargetName),
    /// An engine refused an order under an old fencing number.
    Fenced(TargetName, Fence),
    /// An adapter could not be loaded.
    LoadFailed(TargetName, engine::Resident),
    /// An answer that reported another adapter or version was stopped.
    WrongAdapter(TargetName),
    /// Time that a request waited for its adapter to be loaded; zero if the
    /// adapter was resident.
    Stalled(Class, Duration),
    /// Time that a request waited for a free place in an engine's batch, not
    /// counting the time in [`Event::Stalled`].
    Queued(Class, Duration),
    /// Use of an engine's batch, from its report.
    Batch {
        /// Pool of the engine.
        pool: PoolName,
        /// Requests in the batch.
        running: u32,
        /// Capacity of the batch, in requests.
        places: u32,
    },
    /// An order to load ended.
    Loaded {
        /// The engine.
        target: TargetName,
        /// Pool of the engine.
        pool: PoolName,
        /// Adapter that was to be loaded.
        resident: engine::Resident,
        /// Result of the order.
        end: OrderEnd,
        /// Time from sending the order to its end.
        took: Duration,
    },
    /// An unused adapter was unloaded.
    Unloaded(TargetName, engine::Resident),
    /// An answer's tokens arrived; reported once, when the request ends.
    Streamed {
        /// Brand of the caller.
        brand: BrandName,
        /// Priority class.
        class: Class,
        /// Number of tokens.
        tokens: u32,
        /// Time from the request's arrival to the first token.
        first: Duration,
        /// Time from the first to the last token.
        rest: Duration,
    },
    /// A request ended.
    Ended {
        /// Brand of the caller.
        brand: BrandName,
        /// Priority class.
        class: Class,
        /// The error, if it failed.
        failure: Option<Failure>,
        /// Time from arrival to the end.
        took: Duration,
    },
    /// What is refused because it crashes targets has changed.
    Quarantine(quarantine::Change),
    /// The leader of the control instances stopped answering heartbeats.
    LeaderSilent,
    /// The leader answers heartbeats again.
    LeaderBack,
}
