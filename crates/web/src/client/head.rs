//! Decides from its bytes whether the head of an answer is one (RFC 9112, sections 2 to 6).
//!
//! Every reader of answers passes what it reads through [`HeadReader`] first, so none depends
//! on what its HTTP library lets through. The grammar says what a head is; whatever else comes
//! is none.

use std::fmt;

/// Most bytes that are read until a head is complete: interim answers come before it, and a
/// faulty server may send them without end.
const HEAD_BYTES_MAX: usize = 512 << 10;

/// Most bytes of one line of a head.
const LINE_BYTES_MAX: usize = 32 << 10;

/// The rule that a head breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadRule {
    /// The first line is a version, a status of three digits, and a reason without control bytes.
    StatusLine,
    /// The status is a final one that HTTP defines a class for, or one of an interim answer.
    Status,
    /// All lines end in the same way.
    LineEnd,
    /// A line is a name, a colon and a value.
    Field,
    /// A length is one number.
    Length,
    /// The only transfer coding is `chunked`.
    Coding,
    /// A length or a transfer coding tells where the body ends, not both; an answer without
    /// content has neither but a length of 0.
    Framing,
    /// A head is of bounded size.
    Size,
}

impl HeadRule {
    /// Returns the value of the metrics label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            HeadRule::StatusLine => "status_line",
            HeadRule::Status => "status",
            HeadRule::LineEnd => "line_end",
            HeadRule::Field => "field",
            HeadRule::Length => "length",
            HeadRule::Coding => "coding",
            HeadRule::Framing => "framing",
            HeadRule::Size => "size",
        }
    }
}

/// Why a head is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadFault {
    /// The rule that it breaks.
    pub rule: HeadRule,
    /// The byte where the line that breaks it begins, counted from the first one of the answer.
    pub at: usize,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}", self.rule.as_str(), self.at)
    }
}

impl std::error::Error for HeadFault {}

/// Whether an answer may hand its connection over to another protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Upgrade {
    /// It was not asked for.
    #[default]
    No,
    /// It was asked for.
    Asked,
}

/// Reads the head of one answer; its input may be split at any byte.
#[derive(Debug, Default)]
pub struct HeadReader {
    upgrade: Upgrade,
    /// The line that is being read.
    line: Vec<u8>,
    /// Where it begins.
    at: usize,
    /// What has been read of the head, interim ones left out.
    fields: Fields,
    is_complete: bool,
}

/// What the lines of a head have said so far.
#[derive(Debug, Default)]
struct Fields {
    status: Option<u16>,
    /// Whether its lines end with CRLF.
    crlf: bool,
    /// Version of HTTP/1, after the dot.
    minor: u8,
    length: Option<u64>,
    coded: bool,
}

impl HeadReader {
    /// Creates a reader.
    #[must_use]
    pub fn new(upgrade: Upgrade) -> Self {
        HeadReader {
            upgrade,
            ..HeadReader::default()
        }
    }

    /// Reads `bytes`, up to the end of the head if it is among them.
    ///
    /// # Errors
    ///
    /// Fails if they don't go on as a head does.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), HeadFault> {
        while !self.is_complete && !bytes.is_empty() {
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let (line, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
            self.line.extend_from_slice(line);
            bytes = rest;
            let read = self.at + self.line.len();
            if self.line.len() > LINE_BYTES_MAX || read > HEAD_BYTES_MAX {
                return Err(self.fault(HeadRule::Size));
            }
            if end.is_some() {
                self.end_line().map_err(|rule| self.fault(rule))?;
                self.at = read;
                self.line.clear();
            }
        }
        Ok(())
    }

    fn fault(&self, rule: HeadRule) -> HeadFault {
        HeadFault { rule, at: self.at }
    }

    fn end_line(&mut self) -> Result<(), HeadRule> {
        let line = self.line.strip_suffix(b"\n").unwrap_or(&self.line);
        let (line, crlf) = match line.strip_suffix(b"\r") {
            Some(line) => (line, true),
            None => (line, false),
        };
        let Some(status) = self.fields.status else {
            self.fields = status_line(line)?;
            self.fields.crlf = crlf;
            return Ok(());
        };
        if crlf != self.fields.crlf {
            return Err(HeadRule::LineEnd);
        }
        if !line.is_empty() {
            return self.fields.add(line);
        }
        self.fields.check()?;
        match status {
            101 if self.upgrade == Upgrade::No => return Err(HeadRule::Status),
            100 | 102..200 => self.fields = Fields::default(),
            _ => self.is_complete = true,
        }
        Ok(())
    }
}

/// Reads `HTTP/1.x SP 3DIGIT [SP reason]`.
fn status_line(line: &[u8]) -> Result<Fields, HeadRule> {
    let (minor, rest) = match line {
        [
            b'H',
            b'T',
            b'T',
            b'P',
            b'/',
            b'1',
            b'.',
            minor @ (b'0' | b'1'),
            b' ',
            rest @ ..,
        ] => (minor - b'0', rest),
        _ => return Err(HeadRule::StatusLine),
    };
    let (status, reason) = rest.split_at_checked(3).ok_or(HeadRule::StatusLine)?;
    if !status.iter().all(u8::is_ascii_digit) {
        return Err(HeadRule::StatusLine);
    }
    if !matches!(reason, [] | [b' ', ..]) || !reason.iter().all(|byte| is_text(*byte)) {
        return Err(HeadRule::StatusLine);
    }
    let status = decimal(status).and_then(|status| u16::try_from(status).ok());
    let status = status.filter(|status| (100..600).contains(status));
    Ok(Fields {
        status: Some(status.ok_or(HeadRule::Status)?),
        minor,
        ..Fields::default()
    })
}

impl Fields {
    /// Reads `name ":" value`.
    fn add(&mut self, line: &[u8]) -> Result<(), HeadRule> {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.ok_or(HeadRule::Field)?);
        let value = value[1..].trim_ascii();
        if name.is_empty() || !name.iter().all(|byte| is_token(*byte)) {
            return Err(HeadRule::Field);
        }
        if !value.iter().all(|byte| is_text(*byte)) {
            return Err(HeadRule::Field);
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            self.add_length(value)
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.add_coding(value)
        } else {
            Ok(())
        }
    }

    /// A list that repeats one number says that number (RFC 9110, section 8.6).
    fn add_length(&mut self, value: &[u8]) -> Result<(), HeadRule> {
        for said in value.split(|byte| *byte == b',') {
            let said = decimal(said.trim_ascii()).ok_or(HeadRule::Length)?;
            if *self.length.get_or_insert(said) != said {
                return Err(HeadRule::Length);
            }
        }
        Ok(())
    }

    /// No other coding was asked for, and `chunked` isn't applied twice.
    fn add_coding(&mut self, value: &[u8]) -> Result<(), HeadRule> {
        let chunked = value.eq_ignore_ascii_case(b"chunked");
        if !chunked || std::mem::replace(&mut self.coded, true) {
            return Err(HeadRule::Coding);
        }
        Ok(())
    }

    /// Checks what all fields together say of the body.
    fn check(&self) -> Result<(), HeadRule> {
        if self.coded && (self.length.is_some() || self.minor == 0) {
            return Err(HeadRule::Framing);
        }
        let reset_content = self.status == Some(205);
        if reset_content && self.length.is_some_and(|length| length > 0) {
            return Err(HeadRule::Framing);
        }
        Ok(())
    }
}

fn decimal(digits: &[u8]) -> Option<u64> {
    // `FromStr` would take a sign.
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns whether a byte may stand in a name (RFC 9110, section 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte may stand in a value or a reason (RFC 9110, section 5.5).
fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
