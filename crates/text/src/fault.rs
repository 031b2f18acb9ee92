//! Everything that can be wrong with a text.

use base::{AdapterName, BadName, BaseName, BrandName, PoolName, ServiceName, Version};
use thiserror::Error;

use crate::{keys::BadHash, order::Cycle};

/// One thing that is wrong.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    /// The text is no TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key that doesn't exist.
    #[error("unknown key `{key}` in {place}; known are {known}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The table it stands in.
        place: String,
        /// The keys that may stand there.
        known: String,
    },
    /// A key that must be there.
    #[error("{place} lacks `{key}`")]
    Missing {
        /// The key.
        key: &'static str,
        /// The table it should stand in.
        place: String,
    },
    /// A value of the wrong type.
    #[error("`{key}` must be {wanted}, not {found}")]
    WrongType {
        /// Its key.
        key: String,
        /// The type that is wanted.
        wanted: &'static str,
        /// The type that is there.
        found: &'static str,
    },
    /// A word that isn't one of a few.
    #[error("`{key}` must be {wanted}, not `{found}`")]
    WrongWord {
        /// Its key.
        key: String,
        /// The words that may stand there.
        wanted: &'static str,
        /// The word that does.
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
    /// A text that is no name.
    #[error("`{raw}` is no name: {source}")]
    BadName {
        /// The text.
        raw: String,
        /// What is wrong with it.
        source: BadName,
    },
    /// A key's hash that isn't one.
    #[error(transparent)]
    BadHash(#[from] BadHash),
    /// A key that would name two brands.
    #[error("this key is also a key of brand `{0}`")]
    KeyTaken(BrandName),
    /// A brand that nobody could call.
    #[error("brand `{0}` has no key, so nobody can call it")]
    NoKeys(BrandName),
    /// An adapter's name that another brand uses.
    #[error("adapter `{adapter}` exists already, at brand `{brand}`; an adapter's name is unique")]
    AdapterTaken {
        /// The name.
        adapter: AdapterName,
        /// The brand that uses it.
        brand: BrandName,
    },
    /// A name for two services: an adapter's own and a declared one.
    #[error("service `{0}` is declared, and is also the name of an adapter under `each-adapter`")]
    ServiceTaken(ServiceName),
    /// An adapter without a base model, its own or its brand's.
    #[error("adapter `{0}` has no `base`, and its brand has no default")]
    NoBase(AdapterName),
    /// A base model that no engine runs.
    #[error("no engine pool runs base model `{0}`")]
    UnknownBase(BaseName),
    /// An adapter without a place for its weights, its own or its brand's.
    #[error("adapter `{0}` has no `weights`, and its brand has no default")]
    NoWeights(AdapterName),
    /// A place for weights that is the same for all versions.
    #[error("`weights` must contain {{version}}, or all versions would load the same weights")]
    WeightsVersion,
    /// A brand's place for weights that is the same for all adapters.
    #[error("`weights` of a brand must contain {{adapter}}, or all would load the same weights")]
    WeightsAdapter,
    /// An adapter without versions.
    #[error("adapter `{0}` has no version")]
    NoVersions(AdapterName),
    /// A version listed twice.
    #[error("version {0} is listed twice")]
    DoubleVersion(Version),
    /// Several versions, and none is said to be served.
    #[error("adapter `{0}` has several versions: `serve` must say which one requests run on")]
    ServeUnsaid(AdapterName),
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
    /// An assistant on plain targets.
    #[error("pool `{0}` has no engines, and an assistant needs them")]
    PlainPool(PoolName),
    /// A plain service on engines.
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
        /// Whose it is.
        owner: BrandName,
        /// Who wants it.
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
    /// A service that another one needs, and that doesn't exist.
    #[error("service `{service}` needs `{need}`, which brand `{brand}` doesn't have")]
    UnknownNeed {
        /// The service.
        service: ServiceName,
        /// What it needs.
        need: ServiceName,
        /// The brand.
        brand: BrandName,
    },
    /// A need listed twice.
    #[error("`{0}` is listed twice")]
    DoubleNeed(ServiceName),
    /// Services that need each other in a circle.
    #[error(transparent)]
    Cycle(#[from] Cycle),
}
