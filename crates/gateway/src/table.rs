//! The route table: which service a request goes to, and how long and how often it may be
//! tried.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use account::{Account, BadAccounts, Directory, RawAccount};
use thiserror::Error;

/// Longest goal that counts as tight: that of a caller who waits for one load of an adapter
/// and is late if something takes as long again.
const TIGHT_GOAL: Duration = Duration::from_millis(500);

/// Tokens that a request counts for in the weight of an account whose limit counts requests.
const REQUEST_TOKENS: f64 = 1_000.0;

/// How requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may be retried.
    Safe,
    /// At most one execution per attempt of the caller.
    Unsafe,
    /// A stream of events; a resumable one may be run again.
    Stream {
        /// Whether another target can continue after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns the value of the metrics label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream { resumable: false } => "stream",
            Kind::Stream { resumable: true } => "resumable_stream",
        }
    }

    /// Returns whether a request that may have run may be retried.
    #[must_use]
    pub fn retryable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host of its requests, in lower case.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Which requests may be retried.
    pub kind: Kind,
    /// Time limit of a request, from its arrival to the answer.
    pub limit: Duration,
    /// Time within which its callers want an answer, or the first event of a stream.
    pub goal: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services and the weights by which requests are split among them; at least one
    /// weight is above zero.
    pub split: Vec<(String, u32)>,
    /// Maximum number of targets on which one attempt of a caller may run.
    pub attempts: u32,
    /// Whether its requests need no key of an account.
    pub public: bool,
}

impl Route {
    /// Returns the service for `draw`, a number drawn uniformly from all of `u64`.
    #[must_use]
    pub fn service(&self, draw: u64) -> &str {
        let sum: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = draw % sum.max(1);
        for (service, weight) in &self.split {
            if left < u64::from(*weight) {
                return service;
            }
            left -= u64::from(*weight);
        }
        &self.split[0].0
    }

    /// Returns whether some of its requests go to `service`.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        let mut parts = self.split.iter();
        parts.any(|(name, weight)| name == service && *weight > 0)
    }
}

/// A base model of an engine service.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Size of its weights, in megabytes.
    pub weights_mb: f64,
    /// Size of each of its adapters, in megabytes.
    pub adapter_mb: f64,
    /// Time that an engine takes to load it while the weight store serves no other.
    pub load: Option<Duration>,
}

/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Base models that they may hold.
    pub models: Vec<Model>,
    /// Maximum number of adapters held at once.
    pub adapter_slots: usize,
    /// Memory for weights and adapters, in megabytes.
    pub memory_mb: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Capacity of its engines; absent for a plain service.
    pub engine: Option<Engine>,
}

/// An unchecked route table.
#[derive(Clone, Debug, Default)]
pub struct RawTable {
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Maximum size of a request body, in bytes; the default limit if absent.
    pub body_bytes: Option<usize>,
    /// Accounts; if absent, no request needs a key.
    pub accounts: Option<Vec<RawAccount>>,
}

/// A checked route table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Routes of each host, the longest prefix first.
    hosts: BTreeMap<String, Vec<Route>>,
    services: BTreeMap<String, Service>,
    body_bytes: Option<usize>,
    accounts: Option<Directory>,
    /// Mean weight of accounts that have limits, if any has one.
    mean_weight: Option<f64>,
}

/// Who sends a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Sender {
    /// Nobody asks: there are no accounts, or the route is public.
    Anyone,
    /// The holder of the key.
    Account(Arc<Account>),
    /// The request needs a key, and no account holds the one that it has.
    Unknown,
}

/// Reason for which a route table is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadTable {
    /// A route names a service that doesn't exist.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes have the host and prefix `{host}{prefix}`")]
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// All weights of a route are zero.
    #[error("the weights of route `{0}` add up to 0")]
    NoWeight(String),
    /// A route's time limit is zero.
    #[error("the time limit of route `{0}` is 0")]
    NoTimeLimit(String),
    /// A prefix doesn't begin and end with a slash.
    #[error("the prefix of route `{0}` must begin and end with a slash")]
    BadPrefix(String),
    /// The accounts are invalid.
    #[error(transparent)]
    Accounts(#[from] BadAccounts),
}

impl TryFrom<RawTable> for Table {
    type Error = BadTable;

    fn try_from(raw: RawTable) -> Result<Self, BadTable> {
        let mut seen = BTreeSet::new();
        for route in &raw.routes {
            check(route, &raw.services)?;
            if !seen.insert((route.host.clone(), route.prefix.clone())) {
                return Err(BadTable::DuplicateRoute {
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        let mut hosts: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in raw.routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let accounts = raw.accounts.map(Directory::try_from).transpose()?;
        let mean_weight = accounts.as_ref();
        let mean_weight = mean_weight.and_then(|accounts| accounts.mean_rate(REQUEST_TOKENS));
        Ok(Table {
            hosts,
            services: raw.services,
            body_bytes: raw.body_bytes,
            accounts,
            mean_weight,
        })
    }
}

fn check(route: &Route, services: &BTreeMap<String, Service>) -> Result<(), BadTable> {
    let unknown = route
        .split
        .iter()
        .find(|(name, _)| !services.contains_key(name));
    if let Some((service, _)) = unknown {
        return Err(BadTable::UnknownService {
            route: route.name.clone(),
            service: service.clone(),
        });
    }
    if route.split.iter().all(|(_, weight)| *weight == 0) {
        return Err(BadTable::NoWeight(route.name.clone()));
    }
    if route.limit.is_zero() {
        return Err(BadTable::NoTimeLimit(route.name.clone()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(BadTable::BadPrefix(route.name.clone()));
    }
    Ok(())
}

impl Table {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whether callers have keys.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        self.accounts.is_some()
    }

    /// Returns who sends a request on `route` with `key`.
    ///
    /// A public route needs no key; where its request has one that an account holds, it is
    /// that account's.
    #[must_use]
    pub fn sender(&self, route: &Route, key: Option<&[u8]>) -> Sender {
        let Some(accounts) = &self.accounts else {
            return Sender::Anyone;
        };
        match key.and_then(|key| accounts.holder(key)) {
            Some(account) => Sender::Account(Arc::clone(account)),
            None if route.public => Sender::Anyone,
            None => Sender::Unknown,
        }
    }

    /// Returns the account of this name, if it holds any key.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.named(name)
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the capacity of the engines of each engine service.
    #[must_use]
    pub fn engines(&self) -> BTreeMap<String, Engine> {
        let each = self.services.iter();
        let each = each.filter_map(|(name, s)| Some((name.clone(), s.engine.clone()?)));
        each.collect()
    }

    /// Returns the capacity of the engines of a service.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Returns whether a route to engines has a tight goal, so that targets have to be chosen and
    /// adapters placed by the time that callers will wait.
    #[must_use]
    pub fn has_tight_goals(&self) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| {
            let tight = route.goal.is_some_and(|goal| goal <= TIGHT_GOAL);
            tight
                && route
                    .split
                    .iter()
                    .any(|(name, _)| self.engine(name).is_some())
        })
    }

    /// Returns whether requests for engines are let in by shares while room is short: where a route
    /// has a tight goal and accounts have limits.
    #[must_use]
    pub fn has_admission(&self) -> bool {
        self.mean_weight.is_some() && self.has_tight_goals()
    }

    /// Returns the weight of an account among others: tokens a second that it may ask. Who has
    /// no limit has the mean weight of those who have one.
    #[must_use]
    pub fn weight(&self, account: Option<&Account>) -> u64 {
        let own = account.and_then(|account| account.limit);
        let own = own.map(|limit| limit.work_rate(REQUEST_TOKENS));
        own.or(self.mean_weight).unwrap_or(0.0).round() as u64
    }

    /// Returns the maximum size of a request body, in bytes, if the operator sets one.
    #[must_use]
    pub fn body_bytes(&self) -> Option<usize> {
        self.body_bytes
    }
}
