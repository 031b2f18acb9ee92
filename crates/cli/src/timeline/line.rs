//! Parsing of a log line.

use chrono::{DateTime, SecondsFormat, TimeDelta, Utc};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::{Map, Value};
use thiserror::Error;

/// A log line of an instance. A simulation writes the seconds and the instance before
/// its JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Line {
    /// Seconds since the simulation began, as written there; `None` outside of one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) seconds: Option<String>,
    /// The instance that wrote it.
    pub(crate) instance: String,
    #[serde(serialize_with = "write_time")]
    pub(crate) time: DateTime<Utc>,
    pub(crate) level: String,
    pub(crate) zone: String,
    pub(crate) event: String,
    pub(crate) name: String,
    pub(crate) message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) trace: Option<String>,
    pub(crate) fields: Map<String, Value>,
}

/// The JSON of a line; fields that a timeline doesn't need may be absent.
#[derive(Deserialize)]
struct Raw {
    time: String,
    event: String,
    instance: Option<String>,
    #[serde(default)]
    level: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    name: String,
    #[serde(default)]
    message: String,
    trace: Option<String>,
    #[serde(default)]
    fields: Map<String, Value>,
}

/// Says that a string is not a log line.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a line of the log")]
pub(crate) struct NotLine;

impl Line {
    /// Returns a text or a number as text; `None` for an empty text or another type.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) if text.is_empty() => None,
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// Returns the line's time, less the duration in its `held_ms` or `head_ms`: the
    /// start of the operation that it logs.
    pub(crate) fn begin(&self) -> DateTime<Utc> {
        let duration = ["held_ms", "head_ms"].iter().find_map(|name| {
            let millis = self.fields.get(*name)?.as_i64()?;
            TimeDelta::try_milliseconds(millis)
        });
        let begin = duration.and_then(|duration| self.time.checked_sub_signed(duration));
        begin.map_or(self.time, |begin| begin.min(self.time))
    }
}

impl TryFrom<&str> for Line {
    type Error = NotLine;

    fn try_from(raw: &str) -> Result<Self, NotLine> {
        let (seconds, prefix, json) = split(raw.trim())?;
        let raw: Raw = serde_json::from_str(json).map_err(|_| NotLine)?;
        let time = DateTime::parse_from_rfc3339(&raw.time).map_err(|_| NotLine)?;
        Ok(Line {
            seconds: seconds.map(ToOwned::to_owned),
            instance: raw
                .instance
                .or(prefix.map(ToOwned::to_owned))
                .ok_or(NotLine)?,
            time: time.to_utc(),
            level: raw.level,
            zone: raw.zone,
            event: raw.event,
            name: raw.name,
            message: raw.message,
            trace: raw.trace,
            fields: raw.fields,
        })
    }
}

/// Serialises a time in the form of log lines, to the nanosecond.
pub(super) fn write_time<S: Serializer>(time: &DateTime<Utc>, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&time.to_rfc3339_opts(SecondsFormat::Nanos, true))
}

/// Splits a line into seconds, instance and JSON; the first two only stand in lines
/// of a simulation.
fn split(raw: &str) -> Result<(Option<&str>, Option<&str>, &str), NotLine> {
    if raw.starts_with('{') {
        return Ok((None, None, raw));
    }
    let (seconds, rest) = raw.split_once(char::is_whitespace).ok_or(NotLine)?;
    let number: f64 = seconds.parse().map_err(|_| NotLine)?;
    let (instance, json) = rest
        .trim_start()
        .split_once(char::is_whitespace)
        .ok_or(NotLine)?;
    if !number.is_finite() {
        return Err(NotLine);
    }
    Ok((Some(seconds), Some(instance), json.trim_start()))
}
