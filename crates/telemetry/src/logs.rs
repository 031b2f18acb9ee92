//! One JSON line for each event.
//!
//! [`event`] serialises the event and passes it to `flexi_logger` as the message;
//! the format function [`line()`] puts time, level and origin before it. Lines logged
//! by libraries pass through the same function as event number 0 (`E0`).

use std::{io, panic, sync::OnceLock};

use anyhow::Result;
use flexi_logger::{DeferredNow, FileSpec, LogSpecification, Logger, LoggerHandle, Record};
use log::LevelFilter;
use serde::Serialize;
use serde_json::Value;

use crate::{Event, Fields, LogLevel, TelemetrySettings, prom, queue::Queue, trace};

/// Log target of the lines written by [`event`], whose message is already JSON.
const LOG_TARGET: &str = "quetzalarch";

/// Most bytes of one text in a line.
const TEXT_MAX: usize = 1 << 10;

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// The process that writes the lines.
#[derive(Serialize)]
struct Origin {
    service: String,
    instance: String,
    zone: String,
}

/// The part of a line that its event determines.
#[derive(Serialize)]
struct Body<'a> {
    event: String,
    name: String,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    trace: Option<String>,
    #[serde(skip_serializing_if = "Fields::is_empty")]
    fields: Fields,
}

/// Returns whether the level of `event` is enabled by the settings.
#[must_use]
pub fn enabled(event: Event) -> bool {
    level(event.level()) <= log::max_level()
}

/// Returns a log line that reports how many `lines` were dropped.
fn dropped_line(lines: u64) -> String {
    let fields = crate::fields!(lines = lines);
    let mut out = Vec::new();
    let body = body(Event::LinesLeftOut, fields);
    let args = format_args!("{body}");
    let record = Record::builder()
        .target(LOG_TARGET)
        .level(log::Level::Warn)
        .args(args)
        .build();
    // Writing to a `Vec` doesn't fail.
    line(&mut out, &mut DeferredNow::new(), &record).ok();
    out.push(b'\n');
    String::from_utf8(out).unwrap_or_default()
}

/// Writes one line for `event`; see [`event!`](crate::event!).
pub fn event(event: Event, fields: Fields) {
    prom::count_event(event);
    let body = body(event, fields);
    if let Some(level) = level(event.level()).to_level() {
        log::log!(target: LOG_TARGET, level, "{body}");
    }
}

/// Has panics logged, besides the message on standard error.
pub(crate) fn log_panics() {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        before(info);
        let place = info.location().map(ToString::to_string);
        let why = info.payload_as_str().unwrap_or_default();
        crate::event!(
            Event::Panicked,
            place = place.unwrap_or_default(),
            why = why
        );
    }));
}

/// Shortens the texts of a line, of which clients choose some: the queue of lines is bounded by
/// their number.
fn shortened(mut fields: Fields) -> Fields {
    for value in fields.values_mut() {
        if let Value::String(text) = value {
            text.truncate(text.floor_char_boundary(TEXT_MAX));
        }
    }
    fields
}

fn body(event: Event, fields: Fields) -> String {
    let body = Body {
        event: event.to_string(),
        name: format!("{event:?}"),
        message: event.message(),
        trace: trace::trace_id(&tracing::Span::current()),
        fields: shortened(fields),
    };
    serde_json::to_string(&body).unwrap_or_default()
}

pub(crate) fn start(
    service: &str,
    instance: &str,
    settings: &TelemetrySettings,
) -> Result<LoggerHandle> {
    ORIGIN.get_or_init(|| Origin {
        service: service.to_owned(),
        instance: instance.to_owned(),
        zone: settings.zone.to_string(),
    });
    DeferredNow::force_utc();
    let spec = LogSpecification::builder()
        .default(LevelFilter::Warn)
        .module(LOG_TARGET, level(settings.level))
        .build();
    let logger = Logger::with(spec).format(line);
    let logger = match &settings.file {
        Some(file) => logger.log_to_file(FileSpec::try_from(file)?).append(),
        None if settings.stdout => {
            let queue = Queue::start(io::stdout(), line, dropped_line)?;
            logger.log_to_writer(Box::new(queue))
        }
        None => logger.log_to_stderr(),
    };
    Ok(logger.start()?)
}

fn level(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Writes a complete line: time, level and origin, then the fields of the body.
/// Both are JSON objects that are merged by leaving out their braces.
fn line(out: &mut dyn io::Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.now().to_rfc3339();
    let level = record.level().as_str().to_lowercase();
    write!(out, r#"{{"time":"{time}","level":"{level}""#)?;
    if let Some(origin) = ORIGIN.get() {
        let origin = serde_json::to_string(origin)?;
        write!(out, ",{}", without_braces(&origin))?;
    }
    if record.target() == LOG_TARGET {
        let body = record.args().to_string();
        return write!(out, ",{}}}", without_braces(&body));
    }
    let library = Body {
        event: "E0".to_owned(),
        name: record.target().to_owned(),
        message: &record.args().to_string(),
        trace: None,
        fields: Fields::new(),
    };
    let library = serde_json::to_string(&library)?;
    write!(out, ",{}}}", without_braces(&library))
}

/// Returns a JSON object without its braces.
fn without_braces(object: &str) -> &str {
    let object = object.strip_prefix('{').unwrap_or(object);
    object.strip_suffix('}').unwrap_or(object)
}
