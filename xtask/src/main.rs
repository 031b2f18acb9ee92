//! Chores of the repository, started as `cargo xtask CHORE`.

mod soak;
mod soak_control;

use std::process::{Command, ExitCode};

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
        .subcommand(soak::command())
        .subcommand(soak_control::command());
    match cli.get_matches().subcommand() {
        Some(("test", _)) => test(),
        Some(("soak", args)) => soak::run(args),
        Some(("soak-control", args)) => soak_control::run(args),
        _ => bail!("no such chore"),
    }
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
