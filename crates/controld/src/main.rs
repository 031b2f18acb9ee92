//! Control daemon: the I/O shell around one [`control::Control`].
//!
//! The daemon owns the clock, the sockets and the data folder. [`control::Control`]
//! decides which changes are accepted, which leases are granted and which claims on
//! idempotency keys succeed.

mod operators;
mod peers;
mod shell;
mod state;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let settings = settings::control(env::args_os(), env::vars_os());
    daemon::main(
        "controld",
        settings,
        |settings| (&settings.identity, &settings.telemetry),
        shell::serve,
    )
}
