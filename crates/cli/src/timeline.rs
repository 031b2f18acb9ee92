//! The story of one request: which lines of the log belong to it.
//!
//! Lines go in one by one, a [`Story`] comes out. The request's own lines name
//! its id. Around them stands what was believed then: lines about the adapter
//! and the targets that its own lines name, and what each [`Rule`] asks for.

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
use self::rules::{ENDINGS, Of, RULES, Rule};

/// The id that a caller gave to its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct RequestId(String);

/// Says why a text is no id of a request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum BadId {
    /// The text has no characters.
    #[error("a request's id may not be empty")]
    Empty,
    /// The text has a blank where a header's value can't have one.
    #[error("a request's id neither begins nor ends with a blank")]
    Blank,
    /// The text holds a character that no header can carry.
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

/// What was read: lines of the log, and a count of the others.
#[derive(Debug)]
pub(crate) struct Gathered {
    id: RequestId,
    lines: Vec<Line>,
    skipped: Skipped,
}

/// Lines that aren't the product's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Skipped {
    /// How many were skipped.
    pub(crate) lines: usize,
    /// How many of them hold the id: a line cut short may be the request's own.
    pub(crate) holding: usize,
}

/// A line of a story.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Told {
    /// Whether it is the request's own; else it is context.
    pub(crate) own: bool,
    #[serde(flatten)]
    pub(crate) line: Line,
}

/// How a request ended, by its last own line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Ending {
    pub(crate) event: String,
    pub(crate) name: String,
    /// What that event means for the request.
    pub(crate) what: &'static str,
    /// The fields that say how, in the order to read them.
    pub(crate) fields: Vec<(String, String)>,
}

/// The story of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Story {
    pub(crate) request: RequestId,
    /// How many of the lines are its own.
    pub(crate) own: usize,
    /// Who wrote its own lines.
    pub(crate) instances: BTreeSet<String>,
    /// When its first own line was written.
    #[serde(serialize_with = "line::write_time")]
    pub(crate) first: DateTime<Utc>,
    /// When its last own line was written.
    #[serde(serialize_with = "line::write_time")]
    pub(crate) last: DateTime<Utc>,
    pub(crate) ending: Ending,
    pub(crate) skipped: Skipped,
    /// Its own lines and their context, by time.
    pub(crate) lines: Vec<Told>,
}

impl Gathered {
    /// Begins without any line.
    pub(crate) fn new(id: RequestId) -> Self {
        Gathered {
            id,
            lines: Vec::new(),
            skipped: Skipped::default(),
        }
    }

    /// Takes one line, whatever it holds; blank ones don't count.
    pub(crate) fn take(&mut self, raw: &[u8]) {
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

    /// Returns how many lines of the log there are, and what was skipped.
    pub(crate) fn counts(&self) -> (usize, Skipped) {
        (self.lines.len(), self.skipped)
    }

    /// Tells the story, with the context that lies within `around` of it; `None`
    /// if no line names the id.
    pub(crate) fn story(mut self, around: TimeDelta) -> Option<Story> {
        // Lines of one time stay in the order in which they were read.
        self.lines.sort_by_key(|line| line.time);
        let own: Vec<bool> = self.lines.iter().map(|line| self.is_own(line)).collect();
        let told = {
            let owns = self.lines.iter().zip(&own).filter(|(_, own)| **own);
            let owns: Vec<&Line> = owns.map(|(line, _)| line).collect();
            let (first, last) = (*owns.first()?, *owns.last()?);
            Story {
                request: self.id.clone(),
                own: owns.len(),
                instances: owns.iter().map(|line| line.instance.clone()).collect(),
                first: first.time,
                last: last.time,
                ending: Ending::of(last),
                skipped: self.skipped,
                lines: Vec::new(),
            }
        };
        let context = Subject::of(&self.lines, &own, around).context(&self.lines);
        let lines = self.lines.into_iter().zip(own).enumerate();
        let lines = lines.filter(|(at, (_, own))| *own || context.contains(at));
        let lines = lines.map(|(_, (line, own))| Told { own, line }).collect();
        Some(Story { lines, ..told })
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

/// What a request's own lines are about, and when.
struct Subject {
    begin: DateTime<Utc>,
    end: DateTime<Utc>,
    /// When the request came, as far as its lines tell.
    came: DateTime<Utc>,
    adapters: BTreeSet<String>,
    targets: BTreeSet<String>,
    entries: BTreeSet<String>,
    whys: BTreeSet<String>,
}

impl Subject {
    fn of(lines: &[Line], own: &[bool], around: TimeDelta) -> Self {
        let owns = || lines.iter().zip(own).filter(|(_, own)| **own);
        let fields = |names: &[&str]| {
            let named = owns().flat_map(|(line, _)| names.iter().map(|name| line.field(name)));
            named.flatten().collect()
        };
        let came = owns().map(|(line, _)| line.begin()).min();
        let last = owns().map(|(line, _)| line.time).max();
        let (came, last) = (came.unwrap_or_default(), last.unwrap_or_default());
        Subject {
            begin: came.checked_sub_signed(around).unwrap_or(came),
            end: last.checked_add_signed(around).unwrap_or(last),
            came,
            adapters: fields(&["adapter"]),
            targets: fields(&["target", "from", "engine"]),
            entries: owns().map(|(line, _)| line.instance.clone()).collect(),
            whys: fields(&["why"]),
        }
    }

    /// Returns which of `lines`, which are sorted by time, are context.
    fn context(&self, lines: &[Line]) -> BTreeSet<usize> {
        let mut found = BTreeSet::new();
        let mut newest = BTreeMap::new();
        for (at, line) in lines.iter().enumerate() {
            let within = (self.begin..=self.end).contains(&line.time);
            if within && (self.names_adapter(line) || self.names_target(line)) {
                found.insert(at);
            }
            for rule in RULES.iter().filter(|rule| self.fits(rule, line)) {
                if within {
                    found.insert(at);
                }
                if rule.lasting && line.time <= self.came {
                    // Heard and silent are told apart for each other instance.
                    let of = (&line.event, &line.instance, line.field("control"));
                    newest.insert(of, at);
                }
            }
        }
        found.extend(newest.into_values());
        found
    }

    fn fits(&self, rule: &Rule, line: &Line) -> bool {
        if rule.event != line.event || rule.why.is_some_and(|why| !self.whys.contains(why)) {
            return false;
        }
        match rule.of {
            Of::Anyone => true,
            Of::Entry => self.entries.contains(&line.instance),
            Of::Adapter => self.names_adapter(line),
        }
    }

    /// Whether a line is about an adapter of the request; a failed order holds it
    /// in quotes.
    fn names_adapter(&self, line: &Line) -> bool {
        let named = line.field("adapter");
        let order = line.field("order").unwrap_or_default();
        let mut adapters = self.adapters.iter();
        adapters.any(|adapter| {
            named.as_ref() == Some(adapter) || order.contains(&format!("{adapter:?}"))
        })
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
