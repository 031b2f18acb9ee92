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
struct Task {
    command: fn() -> Command,
    run: fn(&ArgMatches) -> Result<ExitCode>,
}

const TASKS: &[Task] = &[
    Task {
        command: test::command,
        run: test::run,
    },
    Task {
        command: demo::command,
        run: demo::run,
    },
    Task {
        command: measure::command,
        run: measure::run,
    },
    Task {
        command: capacity::command,
        run: |args| done(capacity::run(args)),
    },
    Task {
        command: load::command,
        run: load::run,
    },
    Task {
        command: events::command,
        run: |args| done(events::run(root(), args.get_flag("write"))),
    },
    Task {
        command: samples::command,
        run: |args| done(samples::run(root(), args)),
    },
    Task {
        command: soak::command,
        run: |args| done(soak::run(args)),
    },
    Task {
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
        .about("Development tasks of the repository")
        .subcommand_required(true);
    for task in TASKS {
        cli = cli.subcommand((task.command)());
    }
    let matches = cli.get_matches();
    let Some((name, args)) = matches.subcommand() else {
        bail!("no task given");
    };
    let task = TASKS.iter().find(|c| (c.command)().get_name() == name);
    match task {
        Some(task) => (task.run)(args),
        None => bail!("no such task"),
    }
}

/// Returns the root folder of the repository.
fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

fn done(result: Result<()>) -> Result<ExitCode> {
    result.map(|()| ExitCode::SUCCESS)
}
