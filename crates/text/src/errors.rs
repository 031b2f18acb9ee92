//! The errors of a text, with line and column.

use std::fmt;

use crate::fault::Fault;

/// A fault and its byte offset in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) at: usize,
    pub(crate) fault: Fault,
}

/// One error of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong at that position.
    pub fault: Fault,
}

/// All errors of a text, ordered by position; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(Vec<Error>);

impl Errors {
    /// Converts the byte offsets of `problems` in `source` to lines and columns.
    pub(crate) fn new(source: &str, mut problems: Vec<Problem>) -> Self {
        problems.sort_by_key(|problem| problem.at);
        problems.dedup();
        let lines = line_starts(source);
        let locate = |problem: Problem| {
            let at = problem.at.min(source.len());
            let line = lines.partition_point(|start| *start <= at);
            let before = source.get(lines[line - 1]..at).unwrap_or_default();
            Error {
                line,
                column: before.chars().count() + 1,
                fault: problem.fault,
            }
        };
        Errors(problems.into_iter().map(locate).collect())
    }

    /// Iterates over the errors, ordered by position in the text.
    pub fn iter(&self) -> impl Iterator<Item = &Error> {
        self.0.iter()
    }

    /// Returns one message for each error.
    #[must_use]
    pub fn messages(&self) -> Vec<String> {
        self.0.iter().map(Error::to_string).collect()
    }
}

/// Returns the byte offset at which each line starts.
fn line_starts(source: &str) -> Vec<usize> {
    let breaks = source
        .bytes()
        .enumerate()
        .filter(|(_, byte)| *byte == b'\n');
    std::iter::once(0)
        .chain(breaks.map(|(at, _)| at + 1))
        .collect()
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.fault)
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.messages().join("\n"))
    }
}

impl std::error::Error for Error {}

impl std::error::Error for Errors {}
