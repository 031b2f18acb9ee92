//! The operators' command line `quetzalarch`.
//!
//! Each command returns a [`outcome::Outcome`]: what to print, as text and as JSON,
//! and the exit code that scripts check.

mod args;
mod command;
mod outcome;
mod remote;
mod table;
mod timeline;

use std::process::ExitCode;

use outcome::Outcome;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let outcome = command::run(&matches)
        .await
        .unwrap_or_else(|err| Outcome::failed(&err));
    outcome.print(matches.get_flag(args::JSON))
}
