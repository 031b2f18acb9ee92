//! A line of the log, as one instance wrote it.

use chrono::{DateTime, SecondsFormat, TimeDelta, Utc};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::{Map, Value};
use thiserror::Error;

/// A line of the product's log, perhaps behind the seconds and the instance that
/// a simulation puts before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Line {
    /// Seconds since the simulation began, as they were written.
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

/// The JSON of a line; what a story can do without may be absent.
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

/// Says that a text is no line of the product's log.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a line of the log")]
pub(crate) struct NotLine;

impl Line {
    /// Returns a field as text; a number is written out, an empty text is none.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) if text.is_empty() => None,
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// Returns when that began which the line says took some time; else its time.
    pub(crate) fn begin(&self) -> DateTime<Utc> {
        let took = ["held_ms", "head_ms"].iter().find_map(|name| {
            let millis = self.fields.get(*name)?.as_i64()?;
            TimeDelta::try_milliseconds(millis)
        });
        let begin = took.and_then(|took| self.time.checked_sub_signed(took));
        begin.map_or(self.time, |begin| begin.min(self.time))
    }
}

impl TryFrom<&str> for Line {
    type Error = NotLine;

    fn try_from(raw: &str) -> Result<Self, NotLine> {
        let (seconds, before, json) = parts(raw.trim())?;
        let raw: Raw = serde_json::from_str(json).map_err(|_| NotLine)?;
        let time = DateTime::parse_from_rfc3339(&raw.time).map_err(|_| NotLine)?;
        Ok(Line {
            seconds: seconds.map(ToOwned::to_owned),
            instance: raw
                .instance
                .or(before.map(ToOwned::to_owned))
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

/// Writes a time as lines do, to the nanosecond.
pub(super) fn write_time<S: Serializer>(time: &DateTime<Utc>, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&time.to_rfc3339_opts(SecondsFormat::Nanos, true))
}

/// Splits a line into the seconds and the instance before its JSON, and that.
fn parts(raw: &str) -> Result<(Option<&str>, Option<&str>, &str), NotLine> {
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
