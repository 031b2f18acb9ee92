//! Entry daemon: the I/O shell around one [`node::Node`].
//!
//! The daemon owns the clock and the sockets. It passes every event to the node as a
//! [`node::Input`] and carries out each [`node::Output`] that the node returns. All
//! decisions about requests are made in the node.

mod attempts;
mod callers;
mod calls;
mod events;
mod exchange;
mod explain;
mod external;
mod hops;
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
