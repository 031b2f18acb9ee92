//! What goes into a node and what comes out of it.
//!
//! Everything that an entry instance does about the world outside passes
//! here, so an embedding program or a test can hold, reorder or lose any of
//! it. Numbers (`Ticket`, call, order) are the node's own and never reused.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{
    AdapterName, BrandName, Class, Failure, Fence, InstanceName, Mark, PoolName, Refusal,
    ServiceName, TargetName, TextVersion, Ticket, Time, Tokens, Verdict, Version,
};
use wire::{
    call::{Answer, Call, Reply},
    engine, platform,
};

/// A request as a caller sent it, checked as far as transport goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its number; the driver counts them up.
    pub ticket: Ticket,
    /// Whose request it is, from the key.
    pub brand: BrandName,
    /// The brand's service that it asks for.
    pub service: ServiceName,
    /// The adapter's version, where the caller names one.
    pub version: Option<Version>,
    /// The class, where the caller asks for a lower one than the service has.
    pub class: Option<Class>,
    /// How long the caller waits, where it says.
    pub timeout: Option<Duration>,
    /// Hash of the idempotency key, where there is one.
    pub key: Option<IdempotencyKey>,
    /// Hash of method, path and body.
    pub body: [u8; 16],
    /// Hash of the head of the prompt; zero when there is none.
    pub prefix: u64,
    /// Most tokens of the answer.
    pub tokens: Tokens,
    /// Whether the answer is passed on piece by piece.
    pub stream: bool,
}

/// A caller's idempotency key as far as it travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Hash of the key.
    pub hash: [u8; 16],
    /// The key's own date in milliseconds since 1970, where it has one.
    pub dated: Option<u64>,
}

/// A request that another entry instance passes on, for an engine that this
/// instance owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Its number here; the driver counts them up.
    pub ticket: Ticket,
    /// The engine that the sender chose.
    pub target: TargetName,
    /// Whose request it is.
    pub brand: BrandName,
    /// The adapter that it is for.
    pub adapter: AdapterName,
    /// The adapter's version.
    pub version: Version,
    /// How urgent it is.
    pub class: Class,
    /// How long the caller still waits.
    pub timeout: Duration,
    /// Hash of the head of the prompt.
    pub prefix: u64,
    /// Most tokens of the answer.
    pub tokens: Tokens,
    /// Tokens that the caller has already.
    pub resume: u32,
    /// Whether it may be repeated.
    pub mark: Mark,
}

/// What became of one attempt, step by step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The head of the answer came.
    Head {
        /// HTTP status.
        status: u16,
        /// What the target says it ran on, where it says so.
        ran: Option<Result<engine::Resident, engine::BadResident>>,
        /// After which token it says it continues.
        resumed: Option<u32>,
    },
    /// A piece of the answer came.
    Piece(request::Part),
    /// The answer ended.
    End {
        /// Whether its end was a proper one.
        whole: bool,
        /// A copy of it, where the request is marked and the answer small.
        answer: Option<Answer>,
    },
    /// The attempt came to nothing.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: Refusal,
        /// When to come back, where the target or the next instance said so.
        retry: Option<Duration>,
    },
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A caller's request.
    Arrive(Arrival),
    /// A request passed on by another entry instance.
    Hop(Hop),
    /// Whoever waited for the request left.
    CallerGone(Ticket),
    /// Something came of an attempt.
    Progress {
        /// The request.
        ticket: Ticket,
        /// The attempt, as in [`Output::Send`].
        attempt: u32,
        /// Names this step in what follows from it; counted by the driver.
        step: u64,
        /// What.
        progress: Progress,
    },
    /// The text that was in force when this instance last ran; handed in before
    /// anything else.
    Saved {
        /// Its version.
        version: TextVersion,
        /// What it says.
        text: String,
    },
    /// A text was checked.
    Checked {
        /// Its version, as in [`Output::Check`].
        version: TextVersion,
        /// What it says; none where this release can't read it.
        model: Option<Arc<text::model::Model>>,
    },
    /// The platform's list, or that it can't be had.
    List(Option<platform::List>),
    /// An engine's report, or that it can't be had.
    Report {
        /// The question, as in [`Output::Poll`].
        poll: u64,
        /// What it said.
        report: Option<engine::Report>,
    },
    /// An order to an engine ended.
    OrderEnded {
        /// The order, as in [`Output::Order`].
        order: u64,
        /// How.
        end: OrderEnd,
    },
    /// A call ended.
    Replied {
        /// The call, as in [`Output::Call`].
        call: u64,
        /// The reply, or whether the callee may have carried it out.
        reply: Result<Reply, Verdict>,
    },
    /// Another process calls.
    Called {
        /// Names the call in [`Output::Reply`].
        call: u64,
        /// Who.
        from: InstanceName,
        /// What.
        body: Call,
    },
    /// This process is to stop in order.
    Drain,
    /// The time asked for has come.
    Wake,
}

base::value! {
    /// How an order to an engine ended.
    pub enum OrderEnd {
        /// Carried out.
        Done,
        /// The engine held it already; perhaps another owner has loaded it.
        AlreadyLoaded,
        /// The engine could not.
        Failed,
        /// The engine has seen a greater fencing number.
        Fenced,
        /// Nobody can tell; the next report will.
        Unknown,
    }
}

/// What an order tells an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load an adapter's version from this path of the weight store.
    Load(engine::Resident, String),
    /// Unload it.
    Unload(engine::Resident),
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the target itself.
    Target {
        /// Where it listens.
        address: SocketAddr,
        /// Smaller is sooner, for the engine's own queue.
        priority: i32,
    },
    /// To the entry instance that owns the target.
    Owner {
        /// Where its peer listener is.
        address: SocketAddr,
        /// How long the caller still waits.
        timeout: Duration,
    },
}

/// One attempt to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub ticket: Ticket,
    /// Counts the attempts of one request.
    pub attempt: u32,
    /// The target.
    pub target: TargetName,
    /// Where to send it.
    pub route: Route,
    /// What it is for; none for a plain service.
    pub resident: Option<engine::Resident>,
    /// Whose request it is.
    pub brand: BrandName,
    /// How urgent it is.
    pub class: Class,
    /// Whether it may be repeated.
    pub mark: Mark,
    /// Tokens that the caller has already; the answer goes on after them.
    pub resume: u32,
    /// How long the whole attempt may take.
    pub timeout: Duration,
}

/// One thing for the driver to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an attempt.
    Send(Attempt),
    /// Break off an attempt: close its connection.
    Cancel {
        /// The request.
        ticket: Ticket,
        /// The attempt.
        attempt: u32,
    },
    /// Do something with the head or piece of a step.
    Flow {
        /// The request.
        ticket: Ticket,
        /// The step; what no output names is not for the caller.
        step: u64,
        /// What to do.
        flow: Flow,
    },
    /// The request is over: its last answer, at once.
    Finish {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        end: Ending,
    },
    /// Order an engine.
    Order {
        /// Names the order in [`Input::OrderEnded`].
        order: u64,
        /// The engine.
        target: TargetName,
        /// Where it listens.
        address: SocketAddr,
        /// What.
        body: Order,
        /// The fencing number.
        fence: Fence,
    },
    /// Ask an engine for its report.
    Poll {
        /// Names the question in [`Input::Report`].
        poll: u64,
        /// The engine.
        target: TargetName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Call another process.
    Call {
        /// Names the call in [`Input::Replied`].
        call: u64,
        /// Where its peer listener is.
        address: SocketAddr,
        /// What.
        body: Call,
        /// How long to wait for the reply.
        timeout: Duration,
    },
    /// Answer a call.
    Reply {
        /// The call.
        call: u64,
        /// With what.
        body: Reply,
    },
    /// Check a text, which may take a fifth of a second, beside everything
    /// else, and hand in [`Input::Checked`].
    Check {
        /// Its version.
        version: TextVersion,
        /// What it says.
        raw: Arc<str>,
    },
    /// Another text is in force.
    Text {
        /// Its version.
        version: TextVersion,
        /// What it says.
        model: Arc<text::model::Model>,
        /// As it was written, for the next start.
        raw: Arc<str>,
    },
    /// Whether the balancer should send requests here.
    Ready(bool),
    /// Everything is handed over and nothing runs: the process may end.
    Drained,
    /// Something that an operator may want to know.
    Event(Event),
    /// Call with [`Input::Wake`] at this moment; replaces the last one.
    Wake(Time),
}

base::value! {
    /// What to do with a head or piece, or with those held back.
    pub enum Flow {
        /// Pass it to the caller.
        Pass,
        /// Keep it until the answer is whole.
        Hold,
        /// Forget what was held.
        Drop,
        /// Give the caller all that was held.
        Release,
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer was passed on whole.
    Whole,
    /// The first run's answer, for a resend.
    Replay(Answer),
    /// It failed before anything was passed on: this is the answer.
    Failed(Failure),
    /// It failed after a part was passed on: the stream ends with this error.
    Broken(Failure),
}

/// Something that an operator may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A newer text came that this build can't read; the old one stays.
    BadText(TextVersion),
    /// A newer text is in force.
    TextInForce(TextVersion),
    /// So many services of a brand came up, and so many wait for a target or
    /// for a service that they need.
    Services {
        /// Whose.
        brand: BrandName,
        /// How many came up.
        up: usize,
        /// How many wait.
        waiting: usize,
    },
    /// This instance owns an engine.
    Owns(TargetName, Fence),
    /// This instance lost an engine, or its lease ran out.
    Lost(TargetName),
    /// The lease on an engine ran out, and nobody could confirm it.
    Restricted(TargetName, Fence),
    /// An engine does not answer (`true`), or does again (`false`).
    EngineSilent(TargetName, bool),
    /// The platform calls an engine owned here leaving.
    EngineLeaving(TargetName),
    /// An engine came back empty.
    EngineRestarted(TargetName),
    /// An engine refused an order under an old fencing number.
    Fenced(TargetName, Fence),
    /// A load failed.
    LoadFailed(TargetName, engine::Resident),
    /// An answer named another adapter or version and was stopped.
    WrongAdapter(TargetName),
    /// A request waited for its adapter to be loaded, for so long; zero where
    /// the engine held it.
    Stalled(Class, Duration),
    /// A request waited for a place at an engine, for so long beside that.
    Queued(Class, Duration),
    /// An engine said how much of its batch is in use.
    Batch {
        /// Its pool.
        pool: PoolName,
        /// Requests in the batch.
        running: u32,
        /// Requests that fit.
        places: u32,
    },
    /// An order to load ended.
    Loaded {
        /// The engine.
        target: TargetName,
        /// Its pool.
        pool: PoolName,
        /// What was to be loaded.
        resident: engine::Resident,
        /// How it ended.
        end: OrderEnd,
        /// How long it took.
        took: Duration,
    },
    /// An adapter that nobody uses was unloaded.
    Unloaded(TargetName, engine::Resident),
    /// The tokens of an answer came.
    Streamed {
        /// Whose.
        brand: BrandName,
        /// How urgent.
        class: Class,
        /// Tokens.
        tokens: u32,
        /// From the request's arrival to the first of them.
        first: Duration,
        /// From the first to the last.
        rest: Duration,
    },
    /// A request ended.
    Ended {
        /// Whose.
        brand: BrandName,
        /// How urgent.
        class: Class,
        /// Why it failed, where it did.
        failure: Option<Failure>,
        /// From arrival to the end.
        took: Duration,
    },
    /// No control instance that leads answers.
    LeaderSilent,
    /// A control instance that leads answers again.
    LeaderBack,
}
