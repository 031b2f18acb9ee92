//! The result of a command: its exit code and what it prints.

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
    /// The command succeeded.
    Ok = 0,
    /// Certainly not applied: refused by an instance, or the text is invalid.
    Refused = 1,
    /// The command line is wrong, or a file or input can't be read.
    Usage = 2,
    /// No instance could be reached; nothing was changed.
    Unreachable = 3,
    /// Unknown outcome: the change may or may not have been made.
    Unknown = 4,
    /// No route has the host and path that were asked about.
    NoRoute = 5,
    /// The instance has never heard of the adapter that was asked about.
    NoAdapter = 6,
    /// No account has the name that was asked about.
    NoAccount = 7,
    /// The instance has no configuration yet.
    NoConfiguration = 8,
    /// The instance can't explain: it runs a version before, or the address is another one.
    CannotExplain = 9,
}

/// The result of a command, printed as text or JSON.
#[derive(Debug)]
pub(crate) struct Outcome {
    exit: Exit,
    text: String,
    json: Value,
}

/// An error that sets the exit code of its command.
#[derive(Debug)]
pub(crate) struct CommandError {
    pub(crate) exit: Exit,
    pub(crate) message: String,
}

impl Outcome {
    pub(crate) fn new(exit: Exit, text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or(Value::Null);
        Outcome {
            exit,
            text: text.into(),
            json,
        }
    }

    /// Converts an error: a [`CommandError`] keeps its exit code, any other error counts
    /// as wrong usage.
    pub(crate) fn failed(err: &anyhow::Error) -> Self {
        let known = err.downcast_ref::<CommandError>();
        let exit = known.map_or(Exit::Usage, |known| known.exit);
        let json = json!({ "outcome": exit.as_str(), "message": format!("{err:#}") });
        Outcome {
            exit,
            text: format!("quetzalarch: {err:#}"),
            json,
        }
    }

    /// Prints the result: success to standard output, failures to standard error;
    /// JSON always to standard output. Returns the exit code.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let written = match (json, self.exit) {
            (true, _) => writeln!(io::stdout(), "{}", self.json),
            (false, Exit::Ok) => writeln!(io::stdout(), "{}", self.text.trim_end()),
            (false, _) => writeln!(io::stderr(), "{}", self.text.trim_end()),
        };
        // A closed pipe, as with `| head`, is not a failure.
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
            Exit::NoRoute => "no-route",
            Exit::NoAdapter => "no-adapter",
            Exit::NoAccount => "no-account",
            Exit::NoConfiguration => "no-configuration",
            Exit::CannotExplain => "cannot-explain",
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CommandError {}
