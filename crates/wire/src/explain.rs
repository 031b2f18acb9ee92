//! Where an entry instance would send a request now, and why, as JSON over HTTP.
//!
//! `POST /v1/explain` at the address of an instance's metrics takes [`Question`] and answers
//! [`Explained`], or [`Unexplained`] with another status than 200. Nothing is sent, counted
//! or loaded for it.

use std::{net::SocketAddr, time::Duration};

use base::{InstanceName, record};

/// Path of the query.
pub const PATH: &str = "/v1/explain";

record! {
    /// A request whose way is asked for.
    pub struct Question {
        /// Host that its caller names.
        pub host: String,
        /// Its path.
        pub path: String,
        /// The model, followed by a slash and the adapter if there is one.
        #[serde(default)]
        pub model: Option<String>,
        /// Tokens of the prompt, and the most tokens of the answer, if its caller says them.
        #[serde(default)]
        pub tokens: Option<(u64, u64)>,
        /// Name of the account that it is sent for.
        #[serde(default)]
        pub account: Option<String>,
        /// The parts of its prompt, as its header names them.
        #[serde(default)]
        pub parts: Option<String>,
    }

    /// The way of a request.
    pub struct Explained {
        /// The instance that answers.
        pub instance: InstanceName,
        /// Its availability zone.
        pub zone: String,
        /// The edition of the configuration that it decides by.
        pub edition: u64,
        /// The route.
        pub route: RouteFound,
        /// The account, if the request is of one.
        pub account: Option<AccountFound>,
        /// Why the request is refused whatever its service; `None` if it isn't.
        pub refused: Option<Refused>,
        /// One for each service that the route may draw.
        pub ways: Vec<Way>,
        /// What is known of each availability zone, and since when.
        pub zones: Vec<ZoneKnown>,
    }

    /// A route.
    pub struct RouteFound {
        /// Its name.
        pub name: String,
        /// Rank of the request; 0 goes first.
        pub rank: u8,
        /// Which of its requests may be sent again: `safe`, `unsafe`, `stream` or
        /// `resumable_stream`.
        pub kind: String,
        /// Targets on which a request may run.
        pub attempts: u32,
        /// Time limit of a request.
        pub limit_ms: u64,
        /// Time within which its callers want an answer.
        pub goal_ms: Option<u64>,
    }

    /// An account.
    pub struct AccountFound {
        /// Its name.
        pub name: String,
        /// Its limit, if it has one.
        pub limit: Option<LimitFound>,
    }

    /// The limit of an account.
    pub struct LimitFound {
        /// What is counted: `requests` or `tokens`.
        pub unit: String,
        /// Units that are added each second.
        pub rate: u64,
        /// Units that the request counts for.
        pub cost: u64,
        /// Units that are left to all instances, as far as this one knows; `None` if it knows
        /// nothing of the account, as it had no request of it lately.
        pub left: Option<i64>,
        /// Age of that.
        pub heard_ms: Option<u64>,
    }

    /// A refusal.
    #[derive(Copy)]
    pub struct Refused {
        /// The reason.
        pub why: Refusal,
        /// When coming back is worthwhile, from now.
        pub again_ms: Option<u64>,
    }

    /// Why a request is refused.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// It needs the key of an account.
        NoKey,
        /// Its account has used up its limit.
        OverLimit,
        /// It isn't known whether its account has units left: an exchange with a control
        /// instance is waited for first, and decides.
        LimitUnsure,
        /// A part of its prompt crashes targets.
        Held,
        /// The service has too little room for all, and others go first.
        Room,
        /// The service has no target that takes requests.
        NoTarget,
        /// All targets that could take it have used up the limits that they name.
        Limited,
        /// All targets that could take it rest.
        Resting,
        /// No zone owner can order a load now.
        NoOrders,
        /// The adapter can't be loaded in the time that the request would wait.
        Queue,
    }

    /// The way of a request to one service.
    pub struct Way {
        /// The service.
        pub service: String,
        /// Part of the route's requests that go there, in thousandths.
        pub share: u32,
        /// The model and adapter, for engines.
        pub adapter: Option<String>,
        /// The version of the adapter that operators set, if they set one.
        pub version: Option<u32>,
        /// Whether this instance has never heard of the adapter: no target holds it, and no
        /// version of it was set.
        pub unheard: bool,
        /// Whether it is let in; `None` where room isn't shared.
        pub let_in: Option<bool>,
        /// Part of requests like it that are let in, in thousandths, if this one isn't.
        pub part: Option<u32>,
        /// Why it is refused; `None` if it isn't.
        pub refused: Option<Refused>,
        /// What is done with it.
        pub next: Next,
        /// The load that is asked for.
        pub load: Option<Load>,
        /// Whether costs are in milliseconds; otherwise in thousandths of a target's slots.
        pub by_time: bool,
        /// The targets of the service, by id.
        pub targets: Vec<Weighed>,
        /// The second send; `None` if none goes out however late the answer is.
        pub hedge: Option<Hedge>,
    }

    /// What is done with a request.
    #[serde(tag = "what", rename_all = "kebab-case")]
    pub enum Next {
        /// It is sent to this target.
        Send {
            /// The target, by id.
            target: String,
        },
        /// It waits for an adapter that is being loaded.
        Wait {
            /// For so long.
            wait_ms: u64,
        },
        /// It waits for an adapter that no target has.
        Missing,
        /// It waits as the limits of all targets are used up.
        Limited {
            /// The target that may take it first.
            target: String,
            /// After this time.
            wait_ms: u64,
        },
        /// It waits as all targets that could take it rest or have just rested.
        Resting {
            /// The target that may take it first.
            target: String,
            /// After this time.
            wait_ms: u64,
        },
        /// No target can take it.
        NoTarget,
    }

    /// A load of an adapter that is asked for.
    pub struct Load {
        /// The model and adapter.
        pub adapter: String,
        /// The zone whose owner is asked.
        pub zone: String,
        /// Whether targets hold it, and one more copy is asked for.
        pub copy: bool,
        /// When the adapter can be used, as the zone owner has announced.
        pub expected_ms: Option<u64>,
    }

    /// One target that was weighed.
    pub struct Weighed {
        /// Its id.
        pub target: String,
        /// Its availability zone.
        pub zone: String,
        /// Its cost; `None` if it was passed over before.
        pub cost: Option<u64>,
        /// The parts of its cost that aren't 0 when rounded.
        pub parts: Vec<CostPart>,
        /// Why it was passed over; `None` for the one that is chosen.
        pub passed: Option<Passed>,
    }

    /// A part of the cost of a target.
    #[derive(Copy)]
    pub struct CostPart {
        /// Which.
        pub part: Part,
        /// How much.
        pub cost: u64,
    }

    /// What a target costs for.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Part {
        /// Requests that run there.
        Load,
        /// Time until a slot is free.
        Queue,
        /// Prompts that it has to read before.
        Prompts,
        /// It is in another availability zone.
        Zone,
        /// It names a limit or is brittle.
        Need,
        /// Requests that failed there lately.
        Failures,
        /// It has just refused a request for want of room.
        Full,
        /// It could not be reached lately.
        Avoided,
        /// It has failed this request already.
        Tried,
        /// It is still loading the adapter.
        Loading,
    }

    /// Why a target was passed over.
    #[derive(Copy)]
    #[serde(tag = "why", rename_all = "kebab-case")]
    pub enum Passed {
        /// It takes no requests any more.
        Leaving,
        /// It doesn't certainly run the software that the stream needs.
        Software,
        /// It doesn't hold the adapter.
        NoAdapter,
        /// It holds an older version of the adapter.
        OldVersion {
            /// This one.
            version: u32,
        },
        /// It could not be reached lately.
        Unreachable,
        /// It has failed this request already.
        Tried,
        /// Its limit is used up.
        Blocked {
            /// For so long.
            left_ms: u64,
        },
        /// It has asked this instance for rest, or has just rested and takes few requests.
        Resting {
            /// For so long.
            left_ms: u64,
        },
        /// It is still loading the adapter.
        Loading {
            /// For so long.
            left_ms: u64,
        },
        /// It costs more than another one.
        Dearer,
        /// The one that costs least is in another zone.
        Elsewhere,
        /// It was not drawn among those that cost about as much.
        NotDrawn,
    }

    /// The second send of a request whose first target is late.
    pub struct Hedge {
        /// Time after the first send.
        pub after_ms: u64,
        /// The target that it would go to, as things are now.
        pub target: Option<String>,
        /// Why it would be withheld, as things are now.
        pub withheld: Option<String>,
    }

    /// What is known of an availability zone.
    pub struct ZoneKnown {
        /// Its name.
        pub zone: String,
        /// The control instance that owns it, if one was heard from lately.
        pub owner: Option<SocketAddr>,
        /// Time since that was heard from.
        pub heard_ms: Option<u64>,
        /// Age of the list of its targets.
        pub list_ms: Option<u64>,
        /// Time since its owner reported what runs at its targets.
        pub load_ms: Option<u64>,
    }

    /// The answer where a way can't be explained.
    pub struct Unexplained {
        /// The reason.
        pub unexplained: Problem,
        /// The same for people.
        pub message: String,
    }

    /// Why a way can't be explained.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Problem {
        /// The question can't be read.
        BadQuestion,
        /// The instance has not received any configuration yet.
        NoConfiguration,
        /// No route has this host, or none of the host's has this path.
        NoRoute,
        /// No account that holds a key has this name.
        NoAccount,
    }
}

/// Returns a time in whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
