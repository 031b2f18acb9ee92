//! Development tasks of the repository, started as `cargo xtask TASK`.

mod capacity;
mod demo;
mod events;
mod load;
mod measure;
mod proofs;
mod samples;
mod soak;
mod soak_control;
mod test;

use std::{path::Path, process::ExitCode};

use anyhow::{Result, bail};
use clap::{ArgMatches, Command};

/// One task: its command line, and the function that runs it.
struct Chore {
    command: fn() -> Command,
    run: fn(&ArgMatches) -> Result<ExitCode>,
}

const CHORES: &[Chore] = &[
    Chore {
        command: test::command,
        run: test::run,
    },
    Chore {
        command: demo::command,
        run: demo::run,
    },
    Chore {
        command: measure::command,
        run: measure::run,
    },
    Chore {
        command: capacity::command,
        run: |args| done(capacity::run(args)),
    },
    Chore {
        command: load::command,
        run: load::run,
    },
    Chore {
        command: events::command,
        run: |args| done(events::run(root(), args.get_flag("write"))),
    },
    Chore {
        command: samples::command,
        run: |args| done(samples::run(root(), args)),
    },
    Chore {
        command: soak::command,
        run: |args| done(soak::run(args)),
    },
    Chore {
        command: soak_control::command,
        run: |args| done(soak_control::run(args)),
    },
];

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(err) => {
            eprintln!("xtask: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode> {
    let mut cli = Command::new("xtask")
        .about("Chores of the repository")
        .subcommand_required(true);
    for chore in CHORES {
        cli = cli.subcommand((chore.command)());
    }
    let matches = cli.get_matches();
    let Some((name, args)) = matches.subcommand() else {
        bail!("no chore named");
    };
    let chore = CHORES.iter().find(|c| (c.command)().get_name() == name);
    match chore {
        Some(chore) => (chore.run)(args),
        None => bail!("no such chore"),
    }
}

/// Returns the root folder of the repository.
fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

fn done(result: Result<()>) -> Result<ExitCode> {
    result.map(|()| ExitCode::SUCCESS)
}
