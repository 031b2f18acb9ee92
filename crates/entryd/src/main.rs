//! Entry daemon: a thin shell around one [`node::Node`].
//!
//! It owns the clock and the sockets. Everything that happens becomes an input
//! of the node, and everything that the node wants is carried out here; no
//! decision about a request is made in this crate.

mod attempts;
mod callers;
mod calls;
mod events;
mod exchange;
mod explain;
mod hops;
mod outside;
mod prompt;
mod saved;
mod shell;
mod state;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let settings = settings::entry(env::args_os(), env::vars_os());
    daemon::main(
        "entryd",
        settings,
        |settings| (&settings.identity, &settings.telemetry),
        shell::serve,
    )
}
