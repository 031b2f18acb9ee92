//! Settings of a control instance.

use std::{collections::BTreeMap, ffi::OsString, net::SocketAddr, path::PathBuf};

use base::{InstanceName, Machine, Seed};

use crate::{
    errors::Errors,
    options::{Options, Spec},
    parse,
    shared::{self, IDENTITY, Identity, MACHINE, TELEMETRY, Telemetry},
};

/// Most voters of the replicated log: deployments reserve at most seven instances for it.
const MAX_VOTERS: usize = 7;

const CONTROL: &[Spec] = &[
    Spec {
        name: "data",
        value: "FOLDER",
        help: "Folder for all data that must survive a restart",
    },
    Spec {
        name: "voters",
        value: "NAME=IP:PORT,...",
        help: "The first replicas, including this one; used only at the first start of the log",
    },
    Spec {
        name: "join",
        value: "NAME=IP:PORT,...",
        help: "Running replicas that this new one asks to add it, in place of --voters",
    },
    Spec {
        name: "seed",
        value: "N",
        help: "Seed of the random number generators; chosen at random at start if not set",
    },
];

/// How a replica with an empty data folder starts; ignored if the folder contains a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bootstrap {
    /// One of the first replicas of a new log.
    Voters(BTreeMap<InstanceName, SocketAddr>),
    /// A new replica of a running log: the replicas that it asks to add it.
    Join(BTreeMap<InstanceName, SocketAddr>),
}

/// Settings of a control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Name, zone and addresses of the instance.
    pub identity: Identity,
    /// Folder for all data that must survive a restart.
    pub data: PathBuf,
    /// How the replica starts if its data folder is empty.
    pub bootstrap: Bootstrap,
    /// Seed of the random number generators; chosen at random by the daemon if `None`.
    pub seed: Option<Seed>,
    /// What the process may use.
    pub machine: Machine,
    /// Where logs, metrics and traces go.
    pub telemetry: Telemetry,
}

/// Reads a control instance's settings from `args` (the program's name first)
/// and `env`.
///
/// # Errors
///
/// Fails with all wrong settings at once, on an unknown flag, or when help is requested.
pub fn control(
    args: impl IntoIterator<Item = OsString>,
    env: impl IntoIterator<Item = (OsString, OsString)>,
) -> Result<ControlSettings, Errors> {
    let about = "Control instance: keeps the replicated log";
    let specs = [IDENTITY, CONTROL, MACHINE, TELEMETRY];
    let mut options = Options::read("controld", about, &specs, args, env)?;
    let settings = read(&mut options);
    options.finish(settings)
}

fn read(options: &mut Options) -> Option<ControlSettings> {
    let identity = Identity::read(options);
    let data = options.required("data", parse::path);
    let bootstrap = bootstrap(options, identity.as_ref());
    let seed = options.optional("seed", str::parse::<Seed>);
    let machine = shared::machine(options);
    let telemetry = Telemetry::read(options, identity.as_ref().map(|id| &id.zone));
    Some(ControlSettings {
        identity: identity?,
        data: data?,
        bootstrap: bootstrap?,
        seed,
        machine: machine?,
        telemetry: telemetry?,
    })
}

fn bootstrap(options: &mut Options, identity: Option<&Identity>) -> Option<Bootstrap> {
    let join = options.has("join");
    match (options.has("voters"), join) {
        (false, false) => options.wrong("voters", "must be set unless --join is"),
        (true, true) => options.wrong("join", "can't be combined with --voters"),
        _ => {}
    }
    let voters = options.optional("voters", parse::peers);
    let contacts = options.optional("join", parse::peers);
    if let Some(voters) = &voters {
        check_voters(options, voters, identity);
    }
    match join {
        true => contacts.map(Bootstrap::Join),
        false => voters.map(Bootstrap::Voters),
    }
}

/// Checks the first replicas against this instance's own settings: with a typing error
/// here the replica would start a second log beside the one that is running.
fn check_voters(
    options: &mut Options,
    voters: &BTreeMap<InstanceName, SocketAddr>,
    identity: Option<&Identity>,
) {
    if voters.len() > MAX_VOTERS {
        let what = format!(
            "names {} instances, but at most {MAX_VOTERS} may vote",
            voters.len()
        );
        options.wrong("voters", what);
    }
    let Some(own) = identity else { return };
    match voters.get(&own.name) {
        None => options.wrong(
            "voters",
            format!("doesn't name this instance, `{}`", own.name),
        ),
        Some(addr) if *addr != own.peer_address => {
            let what = format!(
                "names this instance with address {addr}, but its peer address is {}",
                own.peer_address
            );
            options.wrong("voters", what);
        }
        Some(_) => {}
    }
}
