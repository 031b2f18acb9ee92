//! Settings of an entry instance.

use std::{collections::BTreeMap, ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use base::{InstanceName, Seed};

use crate::{
    errors::Errors,
    options::{Options, Spec},
    parse,
    shared::{IDENTITY, Identity, TELEMETRY, Telemetry},
};

/// How long readiness is down before work is refused, unless set: a balancer
/// that asks every second and believes the third answer has moved on by then.
const DRAIN_GRACE: Duration = Duration::from_secs(4);
/// Longest grace; a platform that takes longer kills the process first.
const DRAIN_MOST_MS: u64 = 600_000;

const ENTRY: &[Spec] = &[
    Spec {
        name: "controls",
        value: "NAME=IP:PORT,...",
        help: "Peer addresses of the control instances",
    },
    Spec {
        name: "data",
        value: "FOLDER",
        help: "Folder for the last text in force, to start from when cut off; none if not set",
    },
    Spec {
        name: "drain-grace",
        value: "MS",
        help: "How long readiness is down while work is still taken; 4000 if not set",
    },
    Spec {
        name: "seed",
        value: "N",
        help: "Seed of all that is random; drawn at start if not set",
    },
];

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Who it is and where it is reached.
    pub identity: Identity,
    /// Peer addresses of the control instances.
    pub controls: BTreeMap<InstanceName, SocketAddr>,
    /// Folder for the last text in force.
    pub data: Option<PathBuf>,
    /// How long readiness is down while work is still taken.
    pub drain_grace: Duration,
    /// Seed of all that is random; drawn by the daemon if none.
    pub seed: Option<Seed>,
    /// Where logs, metrics and traces go.
    pub telemetry: Telemetry,
}

/// Reads an entry instance's settings from `args` (the program's name first)
/// and `env`.
///
/// # Errors
///
/// Fails with every wrong setting at once, or when help is asked for.
pub fn entry(
    args: impl IntoIterator<Item = OsString>,
    env: impl IntoIterator<Item = (OsString, OsString)>,
) -> Result<EntrySettings, Errors> {
    let about = "Entry instance: takes callers' requests and owns engines";
    let specs = [IDENTITY, ENTRY, TELEMETRY];
    let mut options = Options::read("entryd", about, &specs, args, env)?;
    let settings = read(&mut options);
    options.finish(settings)
}

fn read(options: &mut Options) -> Option<EntrySettings> {
    let identity = Identity::read(options);
    let controls = options.required("controls", parse::peers);
    let data = options.optional("data", parse::path);
    let grace = options.optional("drain-grace", |raw| parse::millis(raw, DRAIN_MOST_MS));
    let seed = options.optional("seed", str::parse::<Seed>);
    let telemetry = Telemetry::read(options, identity.as_ref().map(|id| &id.zone));
    Some(EntrySettings {
        identity: identity?,
        controls: controls?,
        data,
        drain_grace: grace.unwrap_or(DRAIN_GRACE),
        seed,
        telemetry: telemetry?,
    })
}
