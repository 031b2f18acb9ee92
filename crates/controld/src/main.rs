//! Control daemon: a thin shell around one [`control::Control`].
//!
//! It owns the clock, the sockets and the data folder; what is accepted,
//! granted or claimed is decided by the value inside.

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
