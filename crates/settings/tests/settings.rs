//! Settings from flags and environment variables: accepted values, and all errors at
//! once.

use std::{collections::BTreeSet, ffi::OsString, time::Duration};

use googletest::prelude::*;
use settings::{Bootstrap, Errors, LogLevel, env_name};

/// Valid flags of an entry instance.
const ENTRY: &[&str] = &[
    "--name=e1",
    "--zone=dubrava",
    "--listen=127.0.0.1:8080",
    "--peer-listen=127.0.0.1:7000",
    "--controls=c1=127.0.0.1:7100,c2=127.0.0.1:7200",
    "--platform=http://127.0.0.1:9000",
];

/// Valid flags of a control instance.
const CONTROL: &[&str] = &[
    "--name=c1",
    "--zone=dubrava",
    "--listen=127.0.0.1:8100",
    "--peer-listen=127.0.0.1:7100",
    "--platform=http://127.0.0.1:9000/",
    "--data=/tmp/c1",
    "--voters=c1=127.0.0.1:7100,c2=127.0.0.1:7200",
];

/// Returns `base` with `flags` in place of those of the same name. A flag without a value
/// only removes the flag of its name.
fn args(base: &[&str], flags: &[&str]) -> Vec<OsString> {
    let name = |flag: &str| flag.split('=').next().unwrap().to_owned();
    let kept = base
        .iter()
        .filter(|flag| !flags.iter().any(|f| name(f) == name(flag)));
    let flags = flags
        .iter()
        .filter(|flag| flag.contains('=') || flag.starts_with("--h"));
    ["daemon"]
        .iter()
        .chain(kept)
        .chain(flags)
        .map(OsString::from)
        .collect()
}

fn env(pairs: &[(&str, &str)]) -> Vec<(OsString, OsString)> {
    pairs
        .iter()
        .map(|(name, value)| ((*name).into(), (*value).into()))
        .collect()
}

fn lines(errors: &Errors) -> Vec<String> {
    match errors {
        Errors::Bad(list) => list.iter().map(ToString::to_string).collect(),
        Errors::Help(text) | Errors::Usage(text) => vec![text.clone()],
    }
}

base::cases! {
    /// Flags and variables of an entry instance, and the errors that they give. A flag
    /// without a value in the row removes the valid flag.
    entry_is_checked: check_entry => {
        valid: (&[], &[], &[]),
        from_env: (&["--name"], &[("QUETZAL_NAME", "e7")], &[]),
        empty_env_is_unset: (&[], &[("QUETZAL_OTLP", "")], &[]),
        nothing: (
            &["--name", "--zone", "--listen", "--peer-listen", "--controls", "--platform"],
            &[],
            &[
                "--name (QUETZAL_NAME): must be set",
                "--zone (QUETZAL_ZONE): must be set",
                "--listen (QUETZAL_LISTEN): must be set",
                "--peer-listen (QUETZAL_PEER_LISTEN): must be set",
                "--platform (QUETZAL_PLATFORM): must be set",
                "--controls (QUETZAL_CONTROLS): must be set",
            ],
        ),
        all_wrong: (
            &[
                "--name=E1", "--listen=localhost:80", "--peer-address=0.0.0.0:7000",
                "--platform=127.0.0.1:9000", "--controls=c1=127.0.0.1:1,c1=127.0.0.1:2,c3",
                "--drain-grace=1s", "--seed=-1", "--log-level=loud", "--trace-one-in=0",
            ],
            &[("QUETZAL_OTLP", "http://collector:4318")],
            &[
                "--name (QUETZAL_NAME): `E` may not stand in a name: only a-z, 0-9, `-` and `_` may, and a letter or digit first",
                "--listen (QUETZAL_LISTEN): `localhost:80` is not ip:port, such as 127.0.0.1:7000",
                "--peer-address (QUETZAL_PEER_ADDRESS): `0.0.0.0:7000` is not an address that others can connect to",
                "--platform (QUETZAL_PLATFORM): `127.0.0.1:9000` doesn't start with http://",
                "--controls (QUETZAL_CONTROLS): `c1` is named twice; `c3` is not name=ip:port",
                "--drain-grace (QUETZAL_DRAIN_GRACE): `1s` is not an integer from 0 to 600000",
                "--seed (QUETZAL_SEED): `-1` is not a number of a seed: invalid digit found in string",
                "--log-level (QUETZAL_LOG_LEVEL): `loud` is not a log level: error, warn, info, debug or trace",
                "--otlp (QUETZAL_OTLP): `collector:4318` is not ip:port, such as 127.0.0.1:7000",
                "--trace-one-in (QUETZAL_TRACE_ONE_IN): `0` is not an integer from 1 to 1000000",
            ],
        ),
        small_machine: (
            &["--memory=1000000", "--descriptors=3000"],
            &[],
            &["--memory (QUETZAL_MEMORY): 1000000 bytes of memory are too few: at least 32000000 are needed"],
        ),
        few_descriptors: (
            &[],
            &[("QUETZAL_DESCRIPTORS", "255")],
            &["--descriptors (QUETZAL_DESCRIPTORS): 255 descriptors are too few: at least 256 are needed"],
        ),
        no_machine: (
            &["--memory=64MB"],
            &[],
            &["--memory (QUETZAL_MEMORY): `64MB` is not a number of bytes: invalid digit found in string"],
        ),
        one_port_twice: (
            &["--peer-listen=127.0.0.1:8080"],
            &[],
            &["--peer-listen (QUETZAL_PEER_LISTEN): is the same as --listen"],
        ),
        unspecified_needs_peer_address: (
            &["--peer-listen=0.0.0.0:7000"],
            &[],
            &["--peer-address (QUETZAL_PEER_ADDRESS): must be set where --peer-listen has no fixed ip and port"],
        ),
    }

    /// Flags of a control instance, and the errors that they give. The first replicas
    /// must include this instance with its own name and peer address.
    control_is_checked: check_control => {
        valid: (&[], &[], &[]),
        join: (&["--voters", "--join=c2=127.0.0.1:7200"], &[], &[]),
        neither: (&["--voters"], &[], &["--voters (QUETZAL_VOTERS): must be set unless --join is"]),
        both: (
            &["--join=c2=127.0.0.1:7200"],
            &[],
            &["--join (QUETZAL_JOIN): can't be combined with --voters"],
        ),
        not_itself: (
            &["--voters=c2=127.0.0.1:7200"],
            &[],
            &["--voters (QUETZAL_VOTERS): doesn't name this instance, `c1`"],
        ),
        elsewhere: (
            &["--voters=c1=127.0.0.1:7101"],
            &[],
            &["--voters (QUETZAL_VOTERS): names this instance with address 127.0.0.1:7101, but its peer address is 127.0.0.1:7100"],
        ),
        too_many: (
            &["--voters=c1=127.0.0.1:7100,b=127.0.0.1:1,c=127.0.0.1:2,d=127.0.0.1:3,e=127.0.0.1:4,f=127.0.0.1:5,g=127.0.0.1:6,h=127.0.0.1:7"],
            &[],
            &["--voters (QUETZAL_VOTERS): names 8 instances, but at most 7 may vote"],
        ),
    }
}

type Row<'a> = (&'a [&'a str], &'a [(&'a str, &'a str)], &'a [&'a str]);

fn check_entry((flags, vars, errors): Row<'_>) {
    let found = settings::entry(args(ENTRY, flags), env(vars)).map(drop);
    assert_that!(
        found.as_ref().map_or_else(lines, |()| Vec::new()),
        container_eq(errors.to_vec())
    );
}

fn check_control((flags, vars, errors): Row<'_>) {
    let found = settings::control(args(CONTROL, flags), env(vars)).map(drop);
    assert_that!(
        found.as_ref().map_or_else(lines, |()| Vec::new()),
        container_eq(errors.to_vec())
    );
}

#[test]
fn a_flag_takes_precedence_over_its_variable() {
    let vars = env(&[
        ("QUETZAL_LOG_LEVEL", "error"),
        ("QUETZAL_DRAIN_GRACE", "50"),
    ]);
    let entry = settings::entry(args(ENTRY, &["--log-level=debug"]), vars).unwrap();
    assert_that!(entry.telemetry.level, eq(LogLevel::Debug));
    assert_that!(entry.drain_grace, eq(Duration::from_millis(50)));
    assert_that!(entry.identity.peer_address, eq(entry.identity.peer_listen));
    assert_that!(entry.controls.len(), eq(2));
    let control = settings::control(args(CONTROL, &[]), []).unwrap();
    assert_that!(
        control.bootstrap,
        matches_pattern!(Bootstrap::Voters(len(eq(2))))
    );
}

#[test]
fn unknown_flags_and_help_differ_in_exit_code() {
    let unknown = settings::entry(args(ENTRY, &["--nmae=x"]), []).unwrap_err();
    assert_that!(unknown.to_string(), contains_substring("--nmae"));
    assert_that!(unknown.exit_code(), eq(2));
    let help = settings::entry(args(ENTRY, &["--help"]), []).unwrap_err();
    assert_that!(help.to_string(), contains_substring("QUETZAL_PEER_LISTEN"));
    assert_that!(help.exit_code(), eq(0));
    assert_that!(env_name("peer-listen"), eq("QUETZAL_PEER_LISTEN"));
}

/// The page must list exactly the flags that the daemons accept, because operators look
/// them up there.
#[test]
fn flags_and_page_agree() {
    let page = include_str!("../../../docs/operations.md");
    let table = page
        .split("## Settings")
        .nth(1)
        .unwrap()
        .split("## The text")
        .next()
        .unwrap();
    let listed = flags(table.lines().filter_map(|line| line.strip_prefix("| `--")));
    let entry = settings::entry(args(ENTRY, &["--help"]), [])
        .unwrap_err()
        .to_string();
    let control = settings::control(args(CONTROL, &["--help"]), [])
        .unwrap_err()
        .to_string();
    let help = entry
        .lines()
        .chain(control.lines())
        .filter_map(|line| line.trim().strip_prefix("--"));
    assert_that!(flags(help), eq(&listed));
}

fn flags<'a>(lines: impl Iterator<Item = &'a str>) -> BTreeSet<String> {
    let word = |line: &str| {
        let end = line.find(|c: char| !c.is_ascii_lowercase() && c != '-');
        line[..end.unwrap_or(line.len())].to_owned()
    };
    lines.map(word).collect()
}
