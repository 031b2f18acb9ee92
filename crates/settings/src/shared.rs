//! Settings that entry and control instances have in common.

use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr};

use base::{BadMachine, Bytes, Descriptors, InstanceName, Machine, RawMachine, ZoneName};

use crate::{
    options::{Options, Spec},
    parse,
};

/// Largest `--trace-one-in`, which is the lowest sampling rate of new traces.
const MAX_TRACE_ONE_IN: u64 = 1_000_000;

pub(crate) const IDENTITY: &[Spec] = &[
    Spec {
        name: "name",
        value: "NAME",
        help: "Name of this instance",
    },
    Spec {
        name: "zone",
        value: "ZONE",
        help: "Availability zone of this instance",
    },
    Spec {
        name: "listen",
        value: "IP:PORT",
        help: "Address for callers (entry) or operators (control) to connect to",
    },
    Spec {
        name: "peer-listen",
        value: "IP:PORT",
        help: "Address for other instances to connect to",
    },
    Spec {
        name: "peer-address",
        value: "IP:PORT",
        help: "Address at which others reach the peer listener, if not at --peer-listen",
    },
    Spec {
        name: "platform",
        value: "URL",
        help: "Address of the platform's list of targets, as http://ip:port",
    },
];

pub(crate) const MACHINE: &[Spec] = &[
    Spec {
        name: "memory",
        value: "BYTES",
        help: "Memory of the process, with what waits in its sockets; 1000000000 if not set",
    },
    Spec {
        name: "descriptors",
        value: "N",
        help: "Descriptors that the process may have open; 4096 if not set",
    },
];

/// Reads what the process may use of its machine.
pub(crate) fn machine(options: &mut Options) -> Option<Machine> {
    let usual = Machine::default();
    let memory = options.optional("memory", str::parse::<Bytes>);
    let descriptors = options.optional("descriptors", str::parse::<Descriptors>);
    let raw = RawMachine {
        memory: memory.unwrap_or(usual.memory()),
        descriptors: descriptors.unwrap_or(usual.descriptors()),
    };
    let checked = Machine::try_from(raw);
    let name = match checked {
        Err(BadMachine::Descriptors(_)) => "descriptors",
        _ => "memory",
    };
    checked.map_err(|err| options.wrong(name, err)).ok()
}

pub(crate) const TELEMETRY: &[Spec] = &[
    Spec {
        name: "log-level",
        value: "LEVEL",
        help: "error, warn, info, debug or trace; info if not set",
    },
    Spec {
        name: "log-file",
        value: "PATH",
        help: "File for the log; standard error if not set",
    },
    Spec {
        name: "otlp",
        value: "URL",
        help: "OTLP collector for metrics and traces, as http://ip:port; none if not set",
    },
    Spec {
        name: "trace-one-in",
        value: "N",
        help: "Keep one in N of the traces that start at this instance; 1 if not set",
    },
];

/// Name, zone and addresses of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the instance.
    pub name: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for callers (entry) or operators (control) to connect to.
    pub listen: SocketAddr,
    /// Address on which the instance listens for other instances.
    pub peer_listen: SocketAddr,
    /// Address that is announced to other instances; the same as `peer_listen` unless set.
    pub peer_address: SocketAddr,
    /// Address of the platform, which serves the list of targets.
    pub platform: SocketAddr,
}

impl Identity {
    pub(crate) fn read(options: &mut Options) -> Option<Self> {
        let name = options.required("name", InstanceName::from_str);
        let zone = options.required("zone", ZoneName::from_str);
        let listen = options.required("listen", parse::listen);
        let peer_listen = options.required("peer-listen", parse::listen);
        let announced = options.optional("peer-address", parse::address);
        let platform = options.required("platform", parse::http_address);
        if let (Some(listen), Some(peer)) = (listen, peer_listen)
            && listen == peer
            && listen.port() != 0
        {
            options.wrong("peer-listen", "is the same as --listen");
        }
        let peer_listen = peer_listen?;
        if announced.is_none() && parse::address(&peer_listen.to_string()).is_err() {
            options.wrong(
                "peer-address",
                "must be set where --peer-listen has no fixed ip and port",
            );
        }
        Some(Identity {
            name: name?,
            zone: zone?,
            listen: listen?,
            peer_listen,
            peer_address: announced.unwrap_or(peer_listen),
            platform: platform?,
        })
    }
}

/// Level of a log line, and threshold for the lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Needs an operator's attention.
    Error,
    /// May need an operator's attention.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details of each request.
    Debug,
    /// Details of each message.
    Trace,
}

impl LogLevel {
    const ALL: [LogLevel; 5] = [
        LogLevel::Error,
        LogLevel::Warn,
        LogLevel::Info,
        LogLevel::Debug,
        LogLevel::Trace,
    ];

    /// Returns the level as written in settings and log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(raw: &str) -> Result<Self, String> {
        let found = LogLevel::ALL
            .into_iter()
            .find(|level| level.as_str() == raw);
        found
            .ok_or_else(|| format!("`{raw}` is not a log level: error, warn, info, debug or trace"))
    }
}

/// Where logs, metrics and traces go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Telemetry {
    /// Availability zone of the instance, written in every log line.
    pub zone: ZoneName,
    /// Lowest level of the lines that are written.
    pub level: LogLevel,
    /// File for the log; a standard stream if `None`.
    pub file: Option<PathBuf>,
    /// Whether the log without a file goes to standard output instead of standard error.
    pub stdout: bool,
    /// Address of the OTLP collector; nothing is exported if `None`.
    pub otlp: Option<SocketAddr>,
    /// Sampling of the traces that start at this instance: one in this many is kept.
    pub trace_one_in: u64,
}

impl Telemetry {
    pub(crate) fn read(options: &mut Options, zone: Option<&ZoneName>) -> Option<Self> {
        let level = options.optional("log-level", LogLevel::from_str);
        let file = options.optional("log-file", parse::path);
        let otlp = options.optional("otlp", parse::http_address);
        let one_in = options.optional("trace-one-in", |raw| {
            parse::number(raw, 1, MAX_TRACE_ONE_IN)
        });
        Some(Telemetry {
            zone: zone?.clone(),
            level: level.unwrap_or_default(),
            file,
            stdout: false,
            otlp,
            trace_one_in: one_in.unwrap_or(1),
        })
    }
}
