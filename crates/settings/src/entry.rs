//! Settings of an entry instance.

use std::{collections::BTreeMap, ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use base::{InstanceName, Machine, Seed};

use crate::{
    errors::Errors,
    options::{Options, Spec},
    parse,
    shared::{self, IDENTITY, Identity, MACHINE, TELEMETRY, Telemetry},
};

/// Default time between readiness going down and requests being refused. A load balancer
/// that probes every second and acts on the third failed probe has stopped sending by
/// then.
const DRAIN_GRACE: Duration = Duration::from_secs(4);
/// Longest `--drain-grace`; the platform kills processes that take longer to stop.
const MAX_DRAIN_GRACE_MS: u64 = 600_000;

const ENTRY: &[Spec] = &[
    Spec {
        name: "controls",
        value: "NAME=IP:PORT,...",
        help: "Peer addresses of the control instances",
    },
    Spec {
        name: "data",
        value: "FOLDER",
        help: "Folder for the last text in force, to start with if no control instance answers; none if not set",
    },
    Spec {
        name: "drain-grace",
        value: "MS",
        help: "How long requests are still accepted after readiness goes down; 4000 if not set",
    },
    Spec {
        name: "seed",
        value: "N",
        help: "Seed of the random number generators; chosen at random at start if not set",
    },
];

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name, zone and addresses of the instance.
    pub identity: Identity,
    /// Peer addresses of the control instances.
    pub controls: BTreeMap<InstanceName, SocketAddr>,
    /// Folder for the last text in force, with which the instance starts when no control
    /// instance is reachable.
    pub data: Option<PathBuf>,
    /// How long requests are still accepted after readiness goes down.
    pub drain_grace: Duration,
    /// Seed of the random number generators; chosen at random by the daemon if `None`.
    pub seed: Option<Seed>,
    /// What the process may use.
    pub machine: Machine,
    /// Where logs, metrics and traces go.
    pub telemetry: Telemetry,
}

/// Reads an entry instance's settings from `args` (the program's name first)
/// and `env`.
///
/// # Errors
///
/// Fails with all wrong settings at once, on an unknown flag, or when help is requested.
pub fn entry(
    args: impl IntoIterator<Item = OsString>,
    env: impl IntoIterator<Item = (OsString, OsString)>,
) -> Result<EntrySettings, Errors> {
    let about = "Entry instance: accepts callers' requests and owns engines";
    let specs = [IDENTITY, ENTRY, MACHINE, TELEMETRY];
    let mut options = Options::read("entryd", about, &specs, args, env)?;
    let settings = read(&mut options);
    options.finish(settings)
}

fn read(options: &mut Options) -> Option<EntrySettings> {
    let identity = Identity::read(options);
    let controls = options.required("controls", parse::peers);
    let data = options.optional("data", parse::path);
    let grace = options.optional("drain-grace", |raw| parse::millis(raw, MAX_DRAIN_GRACE_MS));
    let seed = options.optional("seed", str::parse::<Seed>);
    let machine = shared::machine(options);
    let telemetry = Telemetry::read(options, identity.as_ref().map(|id| &id.zone));
    Some(EntrySettings {
        identity: identity?,
        controls: controls?,
        data,
        drain_grace: grace.unwrap_or(DRAIN_GRACE),
        seed,
        machine: machine?,
        telemetry: telemetry?,
    })
}
