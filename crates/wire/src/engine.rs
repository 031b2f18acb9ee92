//! What engines take and report beside the OpenAI-style interface.
//!
//! Orders follow vLLM's published paths `/v1/load_lora_adapter` and
//! `/v1/unload_lora_adapter`; the fencing number travels in a header. The name
//! of an adapter at an engine is `adapter@version`, see [`Resident`].

use std::{fmt, str::FromStr};

use base::{AdapterName, Fence, Incarnation, Version, record};

record! {
    /// Body of a load order. `POST /v1/load_lora_adapter`.
    pub struct Load {
        /// `adapter@version`.
        pub lora_name: String,
        /// Where the weights lie in the store.
        pub lora_path: String,
    }

    /// Body of an unload order. `POST /v1/unload_lora_adapter`.
    pub struct Unload {
        /// `adapter@version`.
        pub lora_name: String,
    }

    /// An engine's own account of itself. `GET /v1/report`.
    pub struct Report {
        /// Tells two lives of the engine apart.
        pub incarnation: Incarnation,
        /// Counts reports; a hole means that one was lost.
        pub serial: u64,
        /// How old the figures are, in milliseconds.
        pub age_ms: u64,
        /// Adapters that are loaded.
        pub resident: Vec<Held>,
        /// Requests in the batch.
        pub running: u32,
        /// Requests queued inside the engine.
        pub waiting: u32,
        /// Highest fencing number accepted, where the engine checks.
        pub fence: Option<Fence>,
        /// Hashes of prompt heads that entered the prefix cache lately.
        pub cached: Vec<u64>,
    }

    /// One loaded adapter.
    pub struct Held {
        /// `adapter@version`.
        pub lora_name: String,
        /// Requests using it now.
        pub in_use: u32,
    }

    /// One version of one adapter by name; written `adapter@version`.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Resident {
        /// Which adapter.
        pub adapter: AdapterName,
        /// Which version.
        pub version: Version,
    }
}

/// Says that an engine holds something that is no `adapter@version`.
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
    /// Makes the first report of an idle engine that holds `resident`, each
    /// written `adapter@version`.
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
