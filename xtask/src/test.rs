//! `cargo xtask test`: builds the daemons, then runs all tests.

use std::process::{self, ExitCode};

use anyhow::{Context, Result, bail};
use clap::{ArgMatches, Command};

/// Returns the command line.
pub(crate) fn command() -> Command {
    Command::new("test").about("Builds the daemons, then runs all tests")
}

/// Builds every binary first, because process-level tests start them.
///
/// # Errors
///
/// Fails when a build or a test fails.
pub(crate) fn run(_: &ArgMatches) -> Result<ExitCode> {
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    cargo(&["test", "--workspace", "--locked"])?;
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

/// Runs cargo and fails when it does.
pub(crate) fn cargo(args: &[&str]) -> Result<()> {
    let status = process::Command::new("cargo").args(args).status();
    let status = status.context("can't start cargo")?;
    if !status.success() {
        bail!("cargo {} failed", args.join(" "));
    }
    Ok(())
}
