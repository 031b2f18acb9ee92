//! `cargo xtask test`: builds the daemons, runs all tests, and checks that the tests named
//! by `docs/PROOFS.md` ran.

use std::{
    collections::BTreeSet,
    fs,
    io::{BufRead, BufReader},
    process::{self, ExitCode, Stdio},
};

use anyhow::{Context, Result, bail};
use clap::{ArgMatches, Command};

use crate::{proofs, root};

/// File with the tests that fail because of a known fault that is not fixed yet.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Returns the command line.
pub(crate) fn command() -> Command {
    Command::new("test").about("Builds the daemons, runs all tests, checks docs/PROOFS.md")
}

/// Result of a run of the tests, by test name.
#[derive(Debug, Default)]
struct TestRun {
    passed: BTreeSet<String>,
    failed: BTreeSet<String>,
    success: bool,
}

/// Runs the task. It builds every binary first, because process-level tests start them.
///
/// # Errors
///
/// Fails when a build fails, when a test fails that is not listed as known to fail, or when
/// `docs/PROOFS.md` names a test that did not run.
pub(crate) fn run(_: &ArgMatches) -> Result<ExitCode> {
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    let ran = test_all()?;
    check_failures(&ran)?;
    // `check_failures` has passed, so every failed test is listed as known and was printed as such.
    let ran: BTreeSet<String> = ran.passed.union(&ran.failed).cloned().collect();
    proofs::check(root(), &ran)?;
    cargo(&[
        "run",
        "--locked",
        "--package",
        "quetzalarch",
        "--example",
        "embed",
    ])?;
    Ok(ExitCode::SUCCESS)
}

fn test_all() -> Result<TestRun> {
    let mut child = process::Command::new("cargo")
        .args(["test", "--workspace", "--locked", "--no-fail-fast"])
        .stdout(Stdio::piped())
        .spawn()
        .context("can't start cargo")?;
    let out = child.stdout.take().context("no output")?;
    let mut ran = TestRun::default();
    for line in BufReader::new(out).lines() {
        let line = line?;
        println!("{line}");
        ran.record(&line);
    }
    ran.success = child.wait()?.success();
    Ok(ran)
}

impl TestRun {
    /// Records one line of output such as `test faults::a_stream ... ok`.
    fn record(&mut self, line: &str) {
        let Some((name, end)) = line
            .strip_prefix("test ")
            .and_then(|rest| rest.rsplit_once(" ... "))
        else {
            return;
        };
        let name = name.rsplit("::").next().unwrap_or(name).trim().to_owned();
        match end {
            "ok" => self.passed.insert(name),
            "FAILED" => self.failed.insert(name),
            _ => false,
        };
    }
}

/// Accepts a run with failures only if each failed test is listed as known.
fn check_failures(ran: &TestRun) -> Result<()> {
    let list = fs::read_to_string(root().join(KNOWN_RED)).unwrap_or_default();
    let known_failures: Vec<&str> = list.lines().filter(|l| !l.trim().is_empty()).collect();
    for line in &known_failures {
        println!("known red: {line}");
    }
    let names: BTreeSet<&str> = known_failures
        .iter()
        .filter_map(|l| known_name(l))
        .collect();
    let unknown = ran.failed.iter();
    let unknown: Vec<&String> = unknown
        .filter(|name| !names.contains(name.as_str()))
        .collect();
    if !unknown.is_empty() {
        bail!("failed: {unknown:?}");
    }
    if !ran.success && ran.failed.is_empty() {
        bail!("cargo test failed without naming a test");
    }
    Ok(())
}

/// Returns the test that an entry of the list names: what stands before the first colon and
/// space, without its modules. The rest of an entry may contain other tests' names.
fn known_name(entry: &str) -> Option<&str> {
    let (name, _) = entry.split_once(": ")?;
    name.rsplit("::").next()
}

/// Runs cargo.
///
/// # Errors
///
/// Fails when cargo can't be started or exits with a failure.
pub(crate) fn cargo(args: &[&str]) -> Result<()> {
    let status = process::Command::new("cargo").args(args).status();
    let status = status.context("can't start cargo")?;
    if !status.success() {
        bail!("cargo {} failed", args.join(" "));
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/test.rs"]
mod tests;
