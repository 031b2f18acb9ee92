//! `cargo xtask soak-control`: runs the scenarios of engine ownership, claims of idempotency
//! keys and changes of the configuration text, with many seeds.

use std::process::Command as Process;

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgMatches, Command, value_parser};

/// Returns the command line.
pub(crate) fn command() -> Command {
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64));
    let script = Arg::new("script").long("script");
    Command::new("soak-control")
        .about("Runs the scenarios of the control instances, each from many seeds")
        .arg(number("from").default_value("1").help("The first seed"))
        .arg(number("seeds").default_value("200").help("How many"))
        .arg(script.help("Only the scenario of this name"))
}

/// Runs the scenarios; the trace of the first failing seed is printed.
///
/// # Errors
///
/// Fails when a scenario fails under a seed.
pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let first = *args.get_one::<u64>("from").expect("has a default");
    let seeds = *args.get_one::<u64>("seeds").expect("has a default");
    let mut cargo = Process::new("cargo");
    cargo
        .args([
            "test",
            "--release",
            "--quiet",
            "--locked",
            "--package",
            "scenarios",
        ])
        .args([
            "--test",
            "scenarios",
            "--",
            "--ignored",
            "--nocapture",
            "soak",
        ])
        .env("QUETZALARCH_SEEDS", format!("{first}..{}", first + seeds));
    if let Some(script) = args.get_one::<String>("script") {
        cargo.env("QUETZALARCH_SCRIPT", script);
    }
    let status = cargo.status().context("can't start cargo")?;
    if !status.success() {
        bail!("a scenario failed");
    }
    Ok(())
}
