//! Definition of the command line: subcommands, flags and their help.

use std::{net::SocketAddr, path::PathBuf};

use base::{AdapterName, BrandName, ChangeId, InstanceName, ServiceName, TextVersion};
use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

use crate::timeline::RequestId;

pub(crate) const JSON: &str = "json";
pub(crate) const CONTROL: &str = "control";
pub(crate) const ENTRY: &str = "entry";
pub(crate) const HOST: &str = "host";
pub(crate) const WAIT: &str = "wait";
pub(crate) const TIMEOUT: &str = "timeout";
pub(crate) const AROUND: &str = "around";

/// Seconds for which `apply` retries a change whose outcome is unknown, and at most for
/// the time of an election one that no majority accepts.
const DEFAULT_WAIT: &str = "15";
/// Seconds to wait for an instance that doesn't answer before the next one is
/// asked; accepting a change takes three at most.
const DEFAULT_TIMEOUT: &str = "8";
/// Seconds of context that `trace` shows before and after a request.
const DEFAULT_AROUND: &str = "2";

/// Builds the command line.
pub(crate) fn command() -> Command {
    Command::new("quetzalarch")
        .about("Checks and applies the operators' configuration text, and shows the system's state")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 nobody reached, 4 unknown outcome; of \
             explain: 5 no route, 6 unknown adapter, 7 unknown account, 8 no configuration yet, \
             9 an instance that can't explain",
        )
        .subcommand_required(true)
        .arg(json())
        .arg(timeout())
        .arg(urls(
            CONTROL,
            "QUETZAL_CONTROL",
            "Addresses of the control instances' operator listeners",
        ))
        .subcommands([
            Command::new("check")
                .about("Checks a text without sending it")
                .arg(file("file")),
            diff(),
            apply(),
            Command::new("status").about("Shows instances, engines and the text in force"),
            Command::new("history").about("Lists the accepted changes"),
            Command::new("text").about("Prints the text in force"),
            explain(),
            drain(),
            trace(),
            Command::new("key")
                .about("Reads a caller's key from standard input and prints its hash for the text"),
        ])
}

fn json() -> Arg {
    Arg::new(JSON)
        .long(JSON)
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Prints JSON")
}

fn timeout() -> Arg {
    Arg::new(TIMEOUT)
        .long(TIMEOUT)
        .global(true)
        .value_name("SECONDS")
        .default_value(DEFAULT_TIMEOUT)
        .value_parser(value_parser!(u64).range(1..=600))
        .help("How long to wait for an answer from an instance")
}

fn urls(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env)
        .global(true)
        .value_name("URL,...")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(address)
        .help(format!(
            "{help}, as http://ip:port; the next is tried where one doesn't answer"
        ))
}

fn file(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("A text; - is standard input")
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows what changes from OLD to NEW, or from the text in force to the one file")
        .arg(file("old").value_name("OLD"))
        .arg(file("new").value_name("NEW").required(false))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Applies a text; safe to run again after an unknown outcome, as it is applied only once")
        .arg(file("file"))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(TextVersion))
                .help("The version that was edited; the one in force if not given"),
        )
        .arg(
            Arg::new("change")
                .long("change")
                .value_name("ID")
                .value_parser(value_parser!(ChangeId))
                .help("Id by which a retry is recognised; derived from base, author and text if not given"),
        )
        .arg(
            Arg::new("by")
                .long("by")
                .env("USER")
                .value_name("WHO")
                .default_value("unknown")
                .help("Who makes the change"),
        )
        .arg(
            Arg::new(WAIT)
                .long(WAIT)
                .value_name("SECONDS")
                .default_value(DEFAULT_WAIT)
                .value_parser(value_parser!(u64).range(0..=3_600))
                .help("How long a change with an unknown outcome is retried"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows where a request would go now, and why, without sending it")
        .arg(urls(
            ENTRY,
            "QUETZAL_ENTRY",
            "Entry instances' addresses for operators: with --host that of the metrics, with --brand \
             that of peers",
        ))
        .args(asked())
        .arg(
            Arg::new("brand")
                .long("brand")
                .required_unless_present(HOST)
                .requires("what")
                .value_name("NAME")
                .value_parser(value_parser!(BrandName)),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .value_parser(value_parser!(ServiceName)),
        )
        .arg(
            Arg::new("adapter")
                .long("adapter")
                .value_name("NAME")
                .value_parser(value_parser!(AdapterName)),
        )
        .group(
            ArgGroup::new("what")
                .args(["service", "adapter"])
                .requires("brand"),
        )
}

/// Returns the flags that describe a request where these are forwarded by host and path.
fn asked() -> [Arg; 6] {
    let flag = |name: &'static str, value: &'static str, help: &'static str| {
        let flag = Arg::new(name).long(name).value_name(value).help(help);
        flag.conflicts_with_all(["brand", "service", "adapter"])
    };
    let host = flag(HOST, "HOST", "Host that the caller names");
    let path = flag("path", "PATH", "Path of the request").default_value("/");
    let model = flag("model", "MODEL/ADAPTER", "Model and adapter of the request");
    let tokens = flag(
        "tokens",
        "IN,OUT",
        "Tokens of the prompt, and the most tokens of the answer",
    );
    let account = flag("account", "NAME", "Account that sends the request");
    let parts = flag("parts", "ID:TOKENS,...", "Parts of the prompt");
    [
        host,
        path,
        model.requires(HOST),
        tokens.requires(HOST).value_parser(pair),
        account.requires(HOST),
        parts.requires(HOST),
    ]
}

fn pair(raw: &str) -> Result<(u64, u64), String> {
    let pair = raw.split_once(',');
    let pair = pair.and_then(|(a, b)| Some((a.trim().parse().ok()?, b.trim().parse().ok()?)));
    pair.ok_or_else(|| format!("`{raw}` is no pair of numbers such as 800,200"))
}

fn drain() -> Command {
    Command::new("drain")
        .about("Asks an instance to shut down gracefully")
        .arg(
            Arg::new("instance")
                .value_name("INSTANCE")
                .required(true)
                .value_parser(value_parser!(InstanceName)),
        )
}

fn trace() -> Command {
    Command::new("trace")
        .about("Shows the timeline of one request from log lines of any instances")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .value_parser(value_parser!(RequestId))
                .help("The request's id, as its log lines have it"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(0..)
                .default_value("-")
                .value_parser(value_parser!(PathBuf))
                .help("Log lines, in any order; - is standard input"),
        )
        .arg(
            Arg::new(AROUND)
                .long(AROUND)
                .value_name("SECONDS")
                .default_value(DEFAULT_AROUND)
                .value_parser(value_parser!(u32).range(0..=3_600))
                .help("Seconds of context shown before and after the request"),
        )
}

fn address(raw: &str) -> Result<SocketAddr, String> {
    let rest = raw
        .strip_prefix("http://")
        .map(|rest| rest.trim_end_matches('/'));
    let addr = rest.and_then(|rest| rest.parse().ok());
    addr.ok_or_else(|| format!("`{raw}` is no http://ip:port"))
}
