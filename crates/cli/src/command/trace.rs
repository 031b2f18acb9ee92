//! `trace ID [FILE...]`: the timeline of one request, from log lines of any instances.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use anyhow::{Context, Result, ensure};
use chrono::{DateTime, SecondsFormat, TimeDelta, Utc};
use clap::ArgMatches;
use serde_json::Value;

use crate::{
    args,
    outcome::{CommandError, Exit, Outcome},
    table::table,
    timeline::{Collector, Ending, Line, RequestId, Row, Skipped, Timeline},
};

pub(super) fn run(args: &ArgMatches) -> Result<Outcome> {
    let id = args.get_one::<RequestId>("id").context("no id given")?;
    let files = args.get_many::<PathBuf>("files").unwrap_or_default();
    let around = args.get_one::<u32>(args::AROUND).copied();
    let around = TimeDelta::seconds(around.unwrap_or_default().into());
    let mut collector = Collector::new(id.clone());
    let mut errors = Vec::new();
    for file in files {
        if let Err(err) = read(file, &mut collector) {
            errors.push(format!("can't read {}: {err}", file.display()));
        }
    }
    // A timeline made from only some of the files would look complete.
    ensure!(errors.is_empty(), "{}", errors.join("; "));
    let (lines, skipped) = collector.counts();
    let Some(timeline) = collector.timeline(around) else {
        let message = format!(
            "no line of request `{}` among {}{}",
            escape(&id.to_string()),
            count(lines, "line"),
            left_out(skipped)
        );
        return Err(CommandError {
            exit: Exit::Refused,
            message,
        }
        .into());
    };
    Ok(Outcome::new(Exit::Ok, render(&timeline), &timeline))
}

/// Reads a file's lines, which need not be UTF-8.
fn read(path: &Path, collector: &mut Collector) -> io::Result<()> {
    let mut input: Box<dyn BufRead> = match path == Path::new("-") {
        true => Box::new(io::stdin().lock()),
        false => Box::new(BufReader::new(File::open(path)?)),
    };
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line)? > 0 {
        collector.add(&line);
        line.clear();
    }
    Ok(())
}

fn render(timeline: &Timeline) -> String {
    let simulated = timeline.lines.iter().any(|row| row.line.seconds.is_some());
    let mut head = vec!["LINE", "TIME", "INSTANCE", "EVENT", "FIELDS"];
    if simulated {
        head.insert(2, "SECONDS");
    }
    let rows = timeline.lines.iter().map(|row| cells(row, simulated));
    let rows: Vec<Vec<String>> = rows.collect();
    format!("{}\n\n{}", summary(timeline), table(&head, &rows))
}

fn cells(row: &Row, simulated: bool) -> Vec<String> {
    let line = &row.line;
    let kind = if row.own { "request" } else { "context" };
    let mut cells = vec![
        kind.to_owned(),
        time(line.time),
        escape(&line.instance),
        escape(&format!("{} {}", line.event, line.name)),
        fields(line),
    ];
    if simulated {
        cells.insert(2, line.seconds.clone().unwrap_or_default());
    }
    cells
}

fn summary(timeline: &Timeline) -> String {
    let instances: Vec<&str> = timeline.instances.iter().map(String::as_str).collect();
    let took = timeline.last.signed_duration_since(timeline.first);
    format!(
        "request {}: {} of {}, from {} to {} ({} ms); {}; {} of context{}",
        escape(&timeline.request.to_string()),
        count(timeline.own, "own line"),
        escape(&instances.join(", ")),
        time(timeline.first),
        time(timeline.last),
        took.num_milliseconds(),
        ending(&timeline.ending),
        count(timeline.lines.len() - timeline.own, "line"),
        left_out(timeline.skipped)
    )
}

fn ending(ending: &Ending) -> String {
    let fields = ending.fields.iter();
    let fields = fields.map(|(key, value)| format!(" {key}={}", quote(value)));
    let fields: String = fields.collect();
    let (what, event) = (ending.what, escape(&ending.event));
    format!("{what} ({event} {}{fields})", escape(&ending.name))
}

fn left_out(skipped: Skipped) -> String {
    match (skipped.lines, skipped.holding) {
        (0, _) => String::new(),
        (lines, 0) => format!("; {} skipped", count(lines, "other line")),
        (lines, holding) => {
            let lines = count(lines, "other line");
            format!("; {lines} skipped, {holding} with the id in it")
        }
    }
}

fn count(n: usize, what: &str) -> String {
    match n {
        1 => format!("1 {what}"),
        n => format!("{n} {what}s"),
    }
}

fn time(time: DateTime<Utc>) -> String {
    time.to_rfc3339_opts(SecondsFormat::Micros, true)
}

/// Formats a line's fields. A line that a library logged (event `E0`) has only a
/// message.
fn fields(line: &Line) -> String {
    let fields = line.fields.iter().map(|(key, value)| {
        let value = match value {
            Value::String(text) => quote(text),
            value => escape(&value.to_string()),
        };
        format!("{}={value}", escape(key))
    });
    let fields: Vec<String> = fields.collect();
    match line.event.as_str() {
        "E0" => escape(&line.message),
        _ => fields.join(" "),
    }
}

/// Formats a text: bare if it reads as one word, else as a JSON string.
fn quote(text: &str) -> String {
    let odd = |c: char| c.is_whitespace() || matches!(c, '"' | '=');
    match text.is_empty() || text.contains(odd) {
        true => escape(&Value::from(text).to_string()),
        false => escape(text),
    }
}

/// Escapes control characters, which a terminal would interpret.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c.is_control() {
            true => out.extend(c.escape_default()),
            false => out.push(c),
        }
    }
    out
}
