//! The operators' command line `quetzalarch`.
//!
//! Each command ends in a [`outcome::Done`]: what to print, as text and as JSON,
//! and the exit code that scripts go by.

mod args;
mod command;
mod outcome;
mod remote;
mod table;
mod timeline;

use std::process::ExitCode;

use outcome::Done;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let done = command::run(&matches)
        .await
        .unwrap_or_else(|err| Done::failed(&err));
    done.print(matches.get_flag(args::JSON))
}
