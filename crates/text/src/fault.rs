//! The faults that a text can have, and their messages.

use base::{AdapterName, BadName, BaseName, BrandName, PoolName, ServiceName, Version};
use thiserror::Error;

use crate::{keys::BadHash, order::Cycle};

/// A fault in a text.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    /// The text is not valid TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key that is not known in its table.
    #[error("unknown key `{key}` in {place}; known are {known}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The table that contains it.
        place: String,
        /// The keys that are known there, separated by commas.
        known: String,
    },
    /// A required key that is missing.
    #[error("{place} lacks `{key}`")]
    Missing {
        /// The key.
        key: &'static str,
        /// The table that lacks it.
        place: String,
    },
    /// A value of the wrong type.
    #[error("`{key}` must be {wanted}, not {found}")]
    WrongType {
        /// Its key.
        key: String,
        /// The expected type.
        wanted: &'static str,
        /// The type that was found.
        found: &'static str,
    },
    /// A string that isn't one of the accepted words.
    #[error("`{key}` must be {wanted}, not `{found}`")]
    UnknownWord {
        /// Its key.
        key: String,
        /// The accepted words.
        wanted: &'static str,
        /// The string that was found.
        found: String,
    },
    /// A number outside its limits.
    #[error("`{key}` must lie between {least} and {most}")]
    OutOfRange {
        /// Its key.
        key: String,
        /// Smallest accepted number.
        least: u64,
        /// Largest accepted number.
        most: u64,
    },
    /// A string that is not a valid name.
    #[error("`{raw}` is not a valid name: {source}")]
    BadName {
        /// The string.
        raw: String,
        /// What is wrong with it.
        source: BadName,
    },
    /// A string that is not the hash of a key.
    #[error(transparent)]
    BadHash(#[from] BadHash),
    /// A key that is listed for two brands.
    #[error("this key is also a key of brand `{0}`")]
    KeyTaken(BrandName),
    /// A brand without keys, whose services nobody could call.
    #[error("brand `{0}` has no key, so nobody can call it")]
    NoKeys(BrandName),
    /// An adapter's name that another brand already uses.
    #[error(
        "adapter `{adapter}` already exists in brand `{brand}`; an adapter's name must be unique"
    )]
    AdapterTaken {
        /// The name.
        adapter: AdapterName,
        /// The brand that uses it.
        brand: BrandName,
    },
    /// A declared service with the same name as the service of an adapter.
    #[error("service `{0}` is declared, and is also the name of an adapter under `each-adapter`")]
    ServiceTaken(ServiceName),
    /// An adapter without a base model of its own or of its brand.
    #[error("adapter `{0}` has no `base`, and its brand has no default")]
    NoBase(AdapterName),
    /// A base model that no engine runs.
    #[error("no engine pool runs base model `{0}`")]
    UnknownBase(BaseName),
    /// An adapter without a path of weights of its own or of its brand.
    #[error("adapter `{0}` has no `weights`, and its brand has no default")]
    NoWeights(AdapterName),
    /// A path of weights that is the same for all versions.
    #[error("`weights` must contain {{version}}, or all versions would load the same weights")]
    WeightsWithoutVersion,
    /// A brand's path of weights that is the same for all adapters.
    #[error(
        "`weights` of a brand must contain {{adapter}}, or all adapters would load the same weights"
    )]
    WeightsWithoutAdapter,
    /// An adapter without versions.
    #[error("adapter `{0}` has no version")]
    NoVersions(AdapterName),
    /// A version listed twice.
    #[error("version {0} is listed twice")]
    DuplicateVersion(Version),
    /// An adapter with several versions that doesn't say which one is served.
    #[error("adapter `{0}` has several versions: `serve` must name the one that requests use")]
    AmbiguousServe(AdapterName),
    /// A version to serve that isn't listed.
    #[error("adapter `{adapter}` serves version {serve}, which is not in `versions`")]
    ServeUnknown {
        /// The adapter.
        adapter: AdapterName,
        /// The version.
        serve: Version,
    },
    /// A pool that doesn't exist.
    #[error("there is no pool `{0}`")]
    UnknownPool(PoolName),
    /// An assistant on a pool of plain targets.
    #[error("pool `{0}` has no engines, and an assistant needs them")]
    PlainPool(PoolName),
    /// A plain service on a pool of engines.
    #[error("pool `{0}` has engines, and a plain service can't run on them")]
    EnginePool(PoolName),
    /// An adapter that doesn't exist.
    #[error("there is no adapter `{0}`")]
    UnknownAdapter(AdapterName),
    /// Another brand's adapter.
    #[error("adapter `{adapter}` belongs to brand `{owner}`, not to `{brand}`")]
    OtherBrand {
        /// The adapter.
        adapter: AdapterName,
        /// The brand that it belongs to.
        owner: BrandName,
        /// The brand whose service uses it.
        brand: BrandName,
    },
    /// An adapter made for another base model than the pool runs.
    #[error("adapter `{adapter}` is made for base model `{base}`, and pool `{pool}` runs `{runs}`")]
    OtherBase {
        /// The adapter.
        adapter: AdapterName,
        /// The base model it is made for.
        base: BaseName,
        /// The pool.
        pool: PoolName,
        /// The base model the pool runs.
        runs: BaseName,
    },
    /// A service that needs one that doesn't exist.
    #[error("service `{service}` needs `{need}`, which brand `{brand}` doesn't have")]
    UnknownNeed {
        /// The service.
        service: ServiceName,
        /// The service that it needs.
        need: ServiceName,
        /// The brand.
        brand: BrandName,
    },
    /// A need listed twice.
    #[error("`{0}` is listed twice")]
    DuplicateNeed(ServiceName),
    /// Services that depend on each other in a cycle.
    #[error(transparent)]
    Cycle(#[from] Cycle),
}
