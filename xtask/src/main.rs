//! Chores of the repository, started as `cargo xtask CHORE`.

mod events;
mod samples;

use std::{
    path::Path,
    process::{Command, ExitCode},
};

use anyhow::{Context, Result, bail};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("xtask: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let cli = clap::Command::new("xtask")
        .about("Chores of the repository")
        .subcommand_required(true)
        .subcommand(clap::Command::new("test").about("Builds the daemons, then runs all tests"))
        .subcommand(events::command())
        .subcommand(samples::command());
    let matches = cli.get_matches();
    match matches.subcommand() {
        Some(("test", _)) => test(),
        Some(("events", args)) => events::run(root(), args.get_flag("write")),
        Some(("samples", args)) => samples::run(root(), args),
        _ => bail!("no such chore"),
    }
}

/// Returns the repository's root.
fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

/// Builds every binary first, because process-level tests start them.
fn test() -> Result<()> {
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    cargo(&["test", "--workspace", "--locked"])
}

fn cargo(args: &[&str]) -> Result<()> {
    let status = Command::new("cargo")
        .args(args)
        .status()
        .context("can't start cargo")?;
    if !status.success() {
        bail!("cargo {} failed", args.join(" "));
    }
    Ok(())
}
