//! The checked model of the text.
//!
//! A [`Model`] that was built from a text has passed every check: all names refer to
//! something that exists, there are no dependency cycles, and every number is within
//! its limits.

use std::{collections::BTreeMap, time::Duration};

use base::{
    AdapterName, BaseName, BrandName, Bytes, Class, Mark, PerSecond, PoolName, ServiceName,
    Version, record,
};

record! {
    /// Everything that the text declares.
    #[derive(Default)]
    pub struct Model {
        /// Limits that apply to all brands.
        pub limits: Limits,
        /// Limits of the weight store.
        pub store: Store,
        /// Pools of targets.
        pub pools: BTreeMap<PoolName, Pool>,
        /// Brands (audiences or organisations) with their keys.
        pub brands: BTreeMap<BrandName, Brand>,
        /// Adapters of all brands.
        pub adapters: BTreeMap<AdapterName, Adapter>,
        /// Services that each brand's callers can use.
        pub services: BTreeMap<BrandName, BTreeMap<ServiceName, Service>>,
    }

    /// Limits that apply to all brands.
    pub struct Limits {
        /// Largest body of a request, in bytes.
        pub max_body: Bytes,
        /// Deadline of a live request that names none itself.
        pub live_deadline: Duration,
        /// Deadline of a critical request that names none itself.
        pub critical_deadline: Duration,
        /// Deadline of a batch request that names none itself.
        pub batch_deadline: Duration,
        /// Most attempts at one request, including the first.
        pub attempts: u32,
    }

    /// Limits of the weight store.
    pub struct Store {
        /// Loads that may start each second, in the whole system.
        pub rate: PerSecond,
        /// Loads that can run at the same time at full speed.
        pub at_once: u32,
    }

    /// A group of equal targets.
    pub struct Pool {
        /// Kind of the targets.
        pub kind: PoolKind,
    }

    /// The kind of a pool's targets.
    pub enum PoolKind {
        /// Model engines.
        Engine {
            /// The base model that the engines run.
            base: BaseName,
            /// Adapters that an engine can have loaded at once.
            slots: u32,
            /// Requests that an engine runs at once.
            batch: u32,
            /// Whether the engines refuse orders with a stale fencing number.
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
        /// Its share of contended capacity, relative to the weights of other brands.
        pub weight: u32,
        /// SHA-256 hash of each of its keys.
        pub keys: Vec<[u8; 32]>,
    }

    /// An adapter.
    pub struct Adapter {
        /// The brand that it belongs to.
        pub brand: BrandName,
        /// The base model that it was made for.
        pub base: BaseName,
        /// The version that requests use unless they name one.
        pub serve: Version,
        /// Versions that requests may name.
        pub versions: Vec<Version>,
        /// Path of the weights in the weight store, in which `{version}` stands for the
        /// version.
        pub weights: String,
    }

    /// A service that a brand's callers can use under one name.
    pub struct Service {
        /// What answers the requests.
        pub kind: ServiceKind,
        /// The pool whose targets answer.
        pub pool: PoolName,
        /// Class of its requests; a request may ask for a less urgent one.
        pub class: Class,
        /// Whether its requests may be retried, or must run at most once.
        pub mark: Mark,
        /// Services of the same brand that must be up before this one is started.
        pub needs: Vec<ServiceName>,
    }

    /// What answers a service's requests.
    pub enum ServiceKind {
        /// An assistant that uses an adapter, called at `/v1/chat/completions`.
        Assistant {
            /// The adapter.
            adapter: AdapterName,
        },
        /// A plain HTTP service, called at paths below the brand's name.
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
