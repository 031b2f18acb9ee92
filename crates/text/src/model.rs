//! The checked model of the text.
//!
//! Whoever holds a [`Model`] holds one that passed every check: all names
//! refer to something that exists, no dependency runs in a circle, every
//! number lies within its limits.

use std::{collections::BTreeMap, time::Duration};

use base::{
    AdapterName, BaseName, BrandName, Bytes, Class, Mark, PerSecond, PoolName, ServiceName,
    Version, record,
};

record! {
    /// All that operators declare.
    #[derive(Default)]
    pub struct Model {
        /// Limits that hold for everybody.
        pub limits: Limits,
        /// What the weight store allows.
        pub store: Store,
        /// Kinds of targets.
        pub pools: BTreeMap<PoolName, Pool>,
        /// Audiences and organisations.
        pub brands: BTreeMap<BrandName, Brand>,
        /// Adapters of all brands.
        pub adapters: BTreeMap<AdapterName, Adapter>,
        /// What each brand's callers can reach.
        pub services: BTreeMap<BrandName, BTreeMap<ServiceName, Service>>,
    }

    /// Limits that hold for everybody.
    pub struct Limits {
        /// Largest body of a request.
        pub max_body: Bytes,
        /// How long a live request may take when it doesn't say.
        pub live_deadline: Duration,
        /// How long a critical request may take when it doesn't say.
        pub critical_deadline: Duration,
        /// How long batch work may take when it doesn't say.
        pub batch_deadline: Duration,
        /// Attempts at one request, the first included.
        pub attempts: u32,
    }

    /// What the weight store allows.
    pub struct Store {
        /// Loads that may start each second, over the whole system.
        pub rate: PerSecond,
        /// Loads that run at full speed at the same time.
        pub at_once: u32,
    }

    /// Targets that are alike.
    pub struct Pool {
        /// What they are.
        pub kind: PoolKind,
    }

    /// What a pool's targets are.
    pub enum PoolKind {
        /// Model engines.
        Engine {
            /// The base model that they run.
            base: BaseName,
            /// Adapters that fit at once.
            slots: u32,
            /// Requests that run at once.
            batch: u32,
            /// Whether they refuse orders under an old fencing number.
            fencing: bool,
        },
        /// Plain services.
        Plain {
            /// Requests that run at once at one target.
            at_once: u32,
        },
    }

    /// An audience or organisation.
    pub struct Brand {
        /// Its share of what several brands want at once, against the others'.
        pub weight: u32,
        /// SHA-256 of each of its keys.
        pub keys: Vec<[u8; 32]>,
    }

    /// An adapter.
    pub struct Adapter {
        /// Whose it is.
        pub brand: BrandName,
        /// The base model that it was made for.
        pub base: BaseName,
        /// The version that requests run on unless they name one.
        pub serve: Version,
        /// Versions that requests may name.
        pub versions: Vec<Version>,
        /// Where the weights lie; `{version}` stands for the version.
        pub weights: String,
    }

    /// What a brand's callers can reach under one name.
    pub struct Service {
        /// What answers.
        pub kind: ServiceKind,
        /// The pool whose targets answer.
        pub pool: PoolName,
        /// How urgent its requests are, unless they say less.
        pub class: Class,
        /// Whether its requests may be repeated.
        pub mark: Mark,
        /// Services of the same brand that must be up before this one.
        pub needs: Vec<ServiceName>,
    }

    /// What answers a service's requests.
    pub enum ServiceKind {
        /// An assistant on an adapter, by `/v1/chat/completions`.
        Assistant {
            /// The adapter.
            adapter: AdapterName,
        },
        /// A plain service, by path below the brand's name.
        Plain,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body: Bytes(1 << 20),
            live_deadline: Duration::from_secs(30),
            critical_deadline: Duration::from_secs(10),
            batch_deadline: Duration::from_secs(8 * 3600),
            attempts: 3,
        }
    }
}

impl Default for Store {
    fn default() -> Self {
        Store {
            rate: PerSecond(5),
            at_once: 2,
        }
    }
}
