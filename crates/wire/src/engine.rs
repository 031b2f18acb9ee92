//! Management messages of inference engines, next to their OpenAI-style API.
//!
//! Load and unload orders use vLLM's published paths `/v1/load_lora_adapter` and
//! `/v1/unload_lora_adapter`; the fencing number is sent in a header. An engine
//! knows an adapter under the name `adapter@version`, see [`Resident`].

use std::{fmt, str::FromStr};

use base::{AdapterName, Fence, Incarnation, Version, record};

record! {
    /// Body of a load order. `POST /v1/load_lora_adapter`.
    pub struct Load {
        /// `adapter@version`.
        pub lora_name: String,
        /// Path of the weights in the adapter store.
        pub lora_path: String,
    }

    /// Body of an unload order. `POST /v1/unload_lora_adapter`.
    pub struct Unload {
        /// `adapter@version`.
        pub lora_name: String,
    }

    /// The state that an engine reports about itself. `GET /v1/report`.
    pub struct Report {
        /// The engine's incarnation, which changes with each restart.
        pub incarnation: Incarnation,
        /// Number of the report; a gap means that a report was lost.
        pub serial: u64,
        /// Age of the figures in this report, in milliseconds.
        pub age_ms: u64,
        /// Adapters that are loaded.
        pub resident: Vec<Held>,
        /// Requests in the running batch.
        pub running: u32,
        /// Requests queued inside the engine.
        pub waiting: u32,
        /// Highest fencing number accepted; absent where the engine doesn't check them.
        pub fence: Option<Fence>,
        /// Hashes of prompt prefixes that entered the prefix cache recently.
        pub cached: Vec<u64>,
    }

    /// One loaded adapter.
    pub struct Held {
        /// `adapter@version`.
        pub lora_name: String,
        /// Number of requests that use it now.
        pub in_use: u32,
    }

    /// One version of an adapter; written `adapter@version`.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Resident {
        /// The adapter.
        pub adapter: AdapterName,
        /// Its version.
        pub version: Version,
    }
}

/// A name reported by an engine is not of the form `adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadResident(pub String);

impl fmt::Display for BadResident {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no adapter@version", self.0)
    }
}

impl std::error::Error for BadResident {}

impl fmt::Display for Resident {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

impl FromStr for Resident {
    type Err = BadResident;

    fn from_str(raw: &str) -> Result<Self, BadResident> {
        let bad = || BadResident(raw.to_owned());
        let (adapter, version) = raw.split_once('@').ok_or_else(bad)?;
        let adapter = adapter.parse().map_err(|_| bad())?;
        let version = version.parse().map_err(|_| bad())?;
        Ok(Resident { adapter, version })
    }
}

impl Report {
    /// Creates the first report of an idle engine that has loaded the adapters
    /// `resident`, each written `adapter@version`.
    #[must_use]
    pub fn idle(incarnation: Incarnation, resident: impl IntoIterator<Item = String>) -> Self {
        let held = resident.into_iter().map(|lora_name| Held {
            lora_name,
            in_use: 0,
        });
        Report {
            incarnation,
            serial: 1,
            age_ms: 0,
            resident: held.collect(),
            running: 0,
            waiting: 0,
            fence: None,
            cached: Vec::new(),
        }
    }
}
