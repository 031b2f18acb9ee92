//! How a command ends: its exit code and what it prints.

use std::{
    fmt,
    io::{self, Write},
    process::ExitCode,
};

use serde::Serialize;
use serde_json::{Value, json};

/// Exit codes; `docs/operations.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Ok = 0,
    /// Certainly not done: refused, or the text is wrong.
    Refused = 1,
    /// The command line or a file is wrong.
    Usage = 2,
    /// Nobody could be reached; nothing was done.
    Unreachable = 3,
    /// It may or may not have been done.
    Unknown = 4,
}

/// The end of a command.
#[derive(Debug)]
pub(crate) struct Done {
    exit: Exit,
    text: String,
    json: Value,
}

/// An error that ends a command with a certain exit code.
#[derive(Debug)]
pub(crate) struct Stop {
    pub(crate) exit: Exit,
    pub(crate) what: String,
}

impl Done {
    pub(crate) fn new(exit: Exit, text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or(Value::Null);
        Done {
            exit,
            text: text.into(),
            json,
        }
    }

    /// Ends a command by an error: by its [`Stop`], else as wrong usage.
    pub(crate) fn failed(err: &anyhow::Error) -> Self {
        let stop = err.downcast_ref::<Stop>();
        let exit = stop.map_or(Exit::Usage, |stop| stop.exit);
        let json = json!({ "outcome": exit.as_str(), "message": format!("{err:#}") });
        Done {
            exit,
            text: format!("quetzalarch: {err:#}"),
            json,
        }
    }

    /// Prints the end of a command: results to standard output, the rest to
    /// standard error; JSON always to standard output.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let written = match (json, self.exit) {
            (true, _) => writeln!(io::stdout(), "{}", self.json),
            (false, Exit::Ok) => writeln!(io::stdout(), "{}", self.text.trim_end()),
            (false, _) => writeln!(io::stderr(), "{}", self.text.trim_end()),
        };
        // A reader that has gone, as in a pipe to `head`, is no failure.
        let _ = written;
        ExitCode::from(self.exit as u8)
    }
}

impl Exit {
    fn as_str(self) -> &'static str {
        match self {
            Exit::Ok => "ok",
            Exit::Refused => "refused",
            Exit::Usage => "usage",
            Exit::Unreachable => "unreachable",
            Exit::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.what)
    }
}

impl std::error::Error for Stop {}
