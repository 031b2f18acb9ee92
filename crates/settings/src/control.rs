//! Settings of a control instance.

use std::{collections::BTreeMap, ffi::OsString, net::SocketAddr, path::PathBuf};

use base::{InstanceName, Seed};

use crate::{
    errors::Errors,
    options::{Options, Spec},
    parse,
    shared::{IDENTITY, Identity, TELEMETRY, Telemetry},
};

/// Most replicas of the log: the brief's users may set seven instances aside.
const VOTERS_MOST: usize = 7;

const CONTROL: &[Spec] = &[
    Spec {
        name: "data",
        value: "FOLDER",
        help: "Data folder: everything that must survive lies here",
    },
    Spec {
        name: "voters",
        value: "NAME=IP:PORT,...",
        help: "The first replicas, this one included; only the very first start uses it",
    },
    Spec {
        name: "join",
        value: "NAME=IP:PORT,...",
        help: "Running replicas that this new one asks to be let in, in place of --voters",
    },
    Spec {
        name: "seed",
        value: "N",
        help: "Seed of all that is random; drawn at start if not set",
    },
];

/// How the replica begins when its data folder is empty; a folder that holds
/// a log goes before this.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// One of the first replicas of a new log.
    Voters(BTreeMap<InstanceName, SocketAddr>),
    /// A new replica of a log that runs: whom it asks to be let in.
    Join(BTreeMap<InstanceName, SocketAddr>),
}

/// Settings of a control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Who it is and where it is reached.
    pub identity: Identity,
    /// Data folder.
    pub data: PathBuf,
    /// How the replica begins.
    pub begin: Begin,
    /// Seed of all that is random; drawn by the daemon if none.
    pub seed: Option<Seed>,
    /// Where logs, metrics and traces go.
    pub telemetry: Telemetry,
}

/// Reads a control instance's settings from `args` (the program's name first)
/// and `env`.
///
/// # Errors
///
/// Fails with every wrong setting at once, or when help is asked for.
pub fn control(
    args: impl IntoIterator<Item = OsString>,
    env: impl IntoIterator<Item = (OsString, OsString)>,
) -> Result<ControlSettings, Errors> {
    let about = "Control instance: keeps the replicated log";
    let specs = [IDENTITY, CONTROL, TELEMETRY];
    let mut options = Options::read("controld", about, &specs, args, env)?;
    let settings = read(&mut options);
    options.finish(settings)
}

fn read(options: &mut Options) -> Option<ControlSettings> {
    let identity = Identity::read(options);
    let data = options.required("data", parse::path);
    let begin = begin(options, identity.as_ref());
    let seed = options.optional("seed", str::parse::<Seed>);
    let telemetry = Telemetry::read(options, identity.as_ref().map(|id| &id.zone));
    Some(ControlSettings {
        identity: identity?,
        data: data?,
        begin: begin?,
        seed,
        telemetry: telemetry?,
    })
}

fn begin(options: &mut Options, identity: Option<&Identity>) -> Option<Begin> {
    let join = options.has("join");
    match (options.has("voters"), join) {
        (false, false) => options.wrong("voters", "must be set, or --join"),
        (true, true) => options.wrong("join", "and --voters exclude each other"),
        _ => {}
    }
    let voters = options.optional("voters", parse::peers);
    let contacts = options.optional("join", parse::peers);
    if let Some(voters) = &voters {
        check_voters(options, voters, identity);
    }
    match join {
        true => contacts.map(Begin::Join),
        false => voters.map(Begin::Voters),
    }
}

/// Checks the first replicas against this instance's own settings: a typing
/// error here would found a second log beside the one that runs.
fn check_voters(
    options: &mut Options,
    voters: &BTreeMap<InstanceName, SocketAddr>,
    identity: Option<&Identity>,
) {
    if voters.len() > VOTERS_MOST {
        let what = format!(
            "names {} instances, at most {VOTERS_MOST} may vote",
            voters.len()
        );
        options.wrong("voters", what);
    }
    let Some(me) = identity else { return };
    match voters.get(&me.name) {
        None => options.wrong(
            "voters",
            format!("doesn't name this instance, `{}`", me.name),
        ),
        Some(addr) if *addr != me.peer_address => {
            let what = format!(
                "has this instance at {addr}, but its peer address is {}",
                me.peer_address
            );
            options.wrong("voters", what);
        }
        Some(_) => {}
    }
}
