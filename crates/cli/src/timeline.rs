//! The timeline of one request: its own log lines, and other lines as context.
//!
//! A [`Collector`] takes log lines one by one and builds a [`Timeline`]. The
//! request's own lines have its id in the field `request`. Context are the lines
//! about the adapter and the targets that the own lines name, and the lines that a
//! [`Rule`] selects, such as those that say what an instance's state was then.

mod line;
mod rules;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use chrono::{DateTime, TimeDelta, Utc};
use serde::Serialize;
use thiserror::Error;

pub(crate) use self::line::Line;
use self::rules::{BROKEN, ENDINGS, RULES, Rule, Scope};

/// The id that a caller gave to its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct RequestId(String);

/// Says why a string is not a request id.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum BadId {
    /// The string is empty.
    #[error("a request's id may not be empty")]
    Empty,
    /// The string begins or ends with white space, which a header's value can't.
    #[error("a request's id neither begins nor ends with a blank")]
    Blank,
    /// The string holds a character that a header's value can't.
    #[error("`{}` may not stand in a request's id", .0.escape_default())]
    BadChar(char),
}

impl FromStr for RequestId {
    type Err = BadId;

    fn from_str(raw: &str) -> Result<Self, BadId> {
        if raw.is_empty() {
            return Err(BadId::Empty);
        }
        if raw.trim() != raw {
            return Err(BadId::Blank);
        }
        match raw.chars().find(|c| c.is_control() && *c != '\t') {
            Some(c) => Err(BadId::BadChar(c)),
            None => Ok(RequestId(raw.to_owned())),
        }
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The log lines read so far, and a count of the lines that are none.
#[derive(Debug)]
pub(crate) struct Collector {
    id: RequestId,
    lines: Vec<Line>,
    skipped: Skipped,
}

/// Counts of input lines that are not log lines of this system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Skipped {
    /// How many were skipped.
    pub(crate) lines: usize,
    /// How many of them contain the id: a truncated line may be the request's own.
    pub(crate) holding: usize,
}

/// A line of a timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Row {
    /// Whether the line has the request's id; else it is context.
    pub(crate) own: bool,
    #[serde(flatten)]
    pub(crate) line: Line,
}

/// How a request ended, according to its last own line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Ending {
    pub(crate) event: String,
    pub(crate) name: String,
    /// What that event means for the request.
    pub(crate) what: &'static str,
    /// The fields that give details, in the order of [`ENDINGS`].
    pub(crate) fields: Vec<(String, String)>,
}

/// The timeline of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Timeline {
    pub(crate) request: RequestId,
    /// How many of the lines are its own.
    pub(crate) own: usize,
    /// The instances that wrote its own lines.
    pub(crate) instances: BTreeSet<String>,
    /// When its first own line was written.
    #[serde(serialize_with = "line::write_time")]
    pub(crate) first: DateTime<Utc>,
    /// When its last own line was written.
    #[serde(serialize_with = "line::write_time")]
    pub(crate) last: DateTime<Utc>,
    pub(crate) ending: Ending,
    pub(crate) skipped: Skipped,
    /// Its own lines and their context, sorted by time.
    pub(crate) lines: Vec<Row>,
}

impl Collector {
    /// Creates a collector without any lines, for the request `id`.
    pub(crate) fn new(id: RequestId) -> Self {
        Collector {
            id,
            lines: Vec::new(),
            skipped: Skipped::default(),
        }
    }

    /// Adds an input line: a log line is kept, any other is counted as skipped unless
    /// it is blank.
    pub(crate) fn add(&mut self, raw: &[u8]) {
        let text = String::from_utf8_lossy(raw);
        if text.trim().is_empty() {
            return;
        }
        if let Ok(line) = Line::try_from(&*text) {
            self.lines.push(line);
            return;
        }
        self.skipped.lines += 1;
        let quoted = serde_json::Value::from(self.id.0.as_str()).to_string();
        let holds = text.contains(&self.id.0) || text.contains(&quoted[1..quoted.len() - 1]);
        self.skipped.holding += usize::from(holds);
    }

    /// Returns the number of log lines, and the counts of skipped lines.
    pub(crate) fn counts(&self) -> (usize, Skipped) {
        (self.lines.len(), self.skipped)
    }

    /// Builds the timeline, with the context from `around` before the request to
    /// `around` after it; `None` if no line has the id.
    pub(crate) fn timeline(mut self, around: TimeDelta) -> Option<Timeline> {
        // The sort is stable: lines of equal time stay in the order of reading.
        self.lines.sort_by_key(|line| line.time);
        let own: Vec<bool> = self.lines.iter().map(|line| self.is_own(line)).collect();
        let timeline = {
            let owns = self.lines.iter().zip(&own).filter(|(_, own)| **own);
            let owns: Vec<&Line> = owns.map(|(line, _)| line).collect();
            let (first, last) = (*owns.first()?, *owns.last()?);
            Timeline {
                request: self.id.clone(),
                own: owns.len(),
                instances: owns.iter().map(|line| line.instance.clone()).collect(),
                first: first.time,
                last: last.time,
                ending: Ending::of(
                    owns.iter()
                        .rfind(|line| line.event != BROKEN)
                        .unwrap_or(&last),
                ),
                skipped: self.skipped,
                lines: Vec::new(),
            }
        };
        let context = Subject::of(&self.lines, &own, around).context(&self.lines);
        let lines = self.lines.into_iter().zip(own).enumerate();
        let lines = lines.filter(|(at, (_, own))| *own || context.contains(at));
        let lines = lines.map(|(_, (line, own))| Row { own, line }).collect();
        Some(Timeline { lines, ..timeline })
    }

    fn is_own(&self, line: &Line) -> bool {
        line.field("request").is_some_and(|id| id == self.id.0)
    }
}

impl Ending {
    fn of(line: &Line) -> Self {
        let known = ENDINGS.iter().find(|(event, ..)| *event == line.event);
        let (what, keys) = known
            .map_or(("its end isn't told", [].as_slice()), |(_, what, keys)| {
                (*what, *keys)
            });
        let fields = keys.iter().filter_map(|key| {
            let value = line.field(key)?;
            Some(((*key).to_owned(), value))
        });
        Ending {
            event: line.event.clone(),
            name: line.name.clone(),
            what,
            fields: fields.collect(),
        }
    }
}

/// What a request's own lines name, and the time span of its context.
struct Subject {
    begin: DateTime<Utc>,
    end: DateTime<Utc>,
    /// When the request arrived, as far as its lines show it.
    arrived: DateTime<Utc>,
    adapters: BTreeSet<String>,
    targets: BTreeSet<String>,
    fingerprints: BTreeSet<String>,
    entries: BTreeSet<String>,
    reasons: BTreeSet<String>,
}

impl Subject {
    fn of(lines: &[Line], own: &[bool], around: TimeDelta) -> Self {
        let owns = || lines.iter().zip(own).filter(|(_, own)| **own);
        let fields = |names: &[&str]| {
            let named = owns().flat_map(|(line, _)| names.iter().map(|name| line.field(name)));
            named.flatten().collect()
        };
        let arrived = owns().map(|(line, _)| line.begin()).min();
        let last = owns().map(|(line, _)| line.time).max();
        let (arrived, last) = (arrived.unwrap_or_default(), last.unwrap_or_default());
        Subject {
            begin: arrived.checked_sub_signed(around).unwrap_or(arrived),
            end: last.checked_add_signed(around).unwrap_or(last),
            arrived,
            adapters: fields(&["adapter"]),
            targets: fields(&["target", "from", "engine"]),
            fingerprints: fields(&["fingerprint"]),
            entries: owns().map(|(line, _)| line.instance.clone()).collect(),
            reasons: fields(&["why"]),
        }
    }

    /// Returns which of `lines`, which are sorted by time, are context.
    fn context(&self, lines: &[Line]) -> BTreeSet<usize> {
        let mut found = BTreeSet::new();
        let mut latest = BTreeMap::new();
        for (at, line) in lines.iter().enumerate() {
            let within = (self.begin..=self.end).contains(&line.time);
            if within && (self.names_adapter(line) || self.names_target(line)) {
                found.insert(at);
            }
            // The crashes that led to a verdict may lie minutes before it.
            if line.time <= self.end && self.names_content(line) {
                found.insert(at);
            }
            for rule in RULES.iter().filter(|rule| self.fits(rule, line)) {
                if within {
                    found.insert(at);
                }
                if rule.is_state && line.time <= self.arrived {
                    // Events about a control instance (`E6001`, `E6002`) are kept
                    // apart for each one.
                    let of = (&line.event, &line.instance, line.field("control"));
                    latest.insert(of, at);
                }
            }
        }
        found.extend(latest.into_values());
        found
    }

    fn fits(&self, rule: &Rule, line: &Line) -> bool {
        if rule.event != line.event || rule.why.is_some_and(|why| !self.reasons.contains(why)) {
            return false;
        }
        match rule.scope {
            Scope::All => true,
            Scope::Entry => self.entries.contains(&line.instance),
            Scope::Adapter => self.names_adapter(line),
        }
    }

    /// Whether a line is about an adapter of the request. The line of a failed order
    /// has no field `adapter`, but the adapter in quotes in its field `order`.
    fn names_adapter(&self, line: &Line) -> bool {
        let named = line.field("adapter");
        let order = line.field("order").unwrap_or_default();
        let mut adapters = self.adapters.iter();
        adapters.any(|adapter| {
            named.as_ref() == Some(adapter) || order.contains(&format!("{adapter:?}"))
        })
    }

    /// Whether a line is about requests with the same content.
    fn names_content(&self, line: &Line) -> bool {
        let named = line.field("fingerprint");
        named.is_some_and(|named| self.fingerprints.contains(&named))
    }

    fn names_target(&self, line: &Line) -> bool {
        let named = ["target", "from", "engine"].iter();
        let mut named = named.filter_map(|name| line.field(name));
        named.any(|name| self.targets.contains(&name))
    }
}

#[cfg(test)]
#[path = "../tests/unit/timeline.rs"]
mod tests;
