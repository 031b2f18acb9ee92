//! The subcommands and their dispatch.

mod apply;
mod explain;
mod local;
mod show;
mod trace;

use std::{
    io::Read,
    path::{Path, PathBuf},
};

use anyhow::{Context, Result, bail};
use clap::ArgMatches;

use crate::outcome::Outcome;

/// Runs the command that was given.
///
/// # Errors
///
/// Fails on wrong usage, when an instance refuses the request, and when no
/// instance answers.
pub(crate) async fn run(matches: &ArgMatches) -> Result<Outcome> {
    match matches.subcommand() {
        Some(("check", args)) => local::check(args),
        Some(("diff", args)) => local::diff(args).await,
        Some(("key", _)) => local::key(),
        Some(("apply", args)) => apply::run(args).await,
        Some(("status", args)) => show::status(args).await,
        Some(("history", args)) => show::history(args).await,
        Some(("text", args)) => show::text(args).await,
        Some(("explain", args)) => explain::run(args).await,
        Some(("drain", args)) => show::drain(args).await,
        Some(("trace", args)) => trace::run(args),
        _ => bail!("no such command"),
    }
}

/// Reads the file that the argument `name` gives, or standard input for `-`.
fn read(args: &ArgMatches, name: &str) -> Result<String> {
    let path = args.get_one::<PathBuf>(name).context("no file given")?;
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .context("can't read standard input")?;
        return Ok(text);
    }
    std::fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))
}
