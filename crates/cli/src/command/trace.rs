//! `trace ID [FILE...]`: the story of one request, from lines of any instances.

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
    outcome::{Done, Exit, Stop},
    table::table,
    timeline::{Ending, Gathered, Line, RequestId, Skipped, Story, Told},
};

pub(super) fn run(args: &ArgMatches) -> Result<Done> {
    let id = args.get_one::<RequestId>("id").context("no id given")?;
    let files = args.get_many::<PathBuf>("files").unwrap_or_default();
    let around = args.get_one::<u32>(args::AROUND).copied();
    let around = TimeDelta::seconds(around.unwrap_or_default().into());
    let mut gathered = Gathered::new(id.clone());
    let mut unread = Vec::new();
    for file in files {
        if let Err(err) = read(file, &mut gathered) {
            unread.push(format!("can't read {}: {err}", file.display()));
        }
    }
    // A story told from some of the files would look whole.
    ensure!(unread.is_empty(), "{}", unread.join("; "));
    let (lines, skipped) = gathered.counts();
    let Some(story) = gathered.story(around) else {
        let what = format!(
            "no line of request `{}` among {}{}",
            plain(&id.to_string()),
            count(lines, "line"),
            left_out(skipped)
        );
        return Err(Stop {
            exit: Exit::Refused,
            what,
        }
        .into());
    };
    Ok(Done::new(Exit::Ok, render(&story), &story))
}

/// Reads a file's lines, whatever bytes they are of.
fn read(path: &Path, to: &mut Gathered) -> io::Result<()> {
    let mut input: Box<dyn BufRead> = match path == Path::new("-") {
        true => Box::new(io::stdin().lock()),
        false => Box::new(BufReader::new(File::open(path)?)),
    };
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line)? > 0 {
        to.take(&line);
        line.clear();
    }
    Ok(())
}

fn render(story: &Story) -> String {
    let simulated = story.lines.iter().any(|told| told.line.seconds.is_some());
    let mut head = vec!["LINE", "TIME", "INSTANCE", "EVENT", "FIELDS"];
    if simulated {
        head.insert(2, "SECONDS");
    }
    let rows = story.lines.iter().map(|told| row(told, simulated));
    let rows: Vec<Vec<String>> = rows.collect();
    format!("{}\n\n{}", summary(story), table(&head, &rows))
}

fn row(told: &Told, simulated: bool) -> Vec<String> {
    let line = &told.line;
    let whose = if told.own { "request" } else { "context" };
    let mut cells = vec![
        whose.to_owned(),
        time(line.time),
        plain(&line.instance),
        plain(&format!("{} {}", line.event, line.name)),
        fields(line),
    ];
    if simulated {
        cells.insert(2, line.seconds.clone().unwrap_or_default());
    }
    cells
}

fn summary(story: &Story) -> String {
    let instances: Vec<&str> = story.instances.iter().map(String::as_str).collect();
    let took = story.last.signed_duration_since(story.first);
    format!(
        "request {}: {} of {}, from {} to {} ({} ms); {}; {} of context{}",
        plain(&story.request.to_string()),
        count(story.own, "own line"),
        plain(&instances.join(", ")),
        time(story.first),
        time(story.last),
        took.num_milliseconds(),
        ending(&story.ending),
        count(story.lines.len() - story.own, "line"),
        left_out(story.skipped)
    )
}

fn ending(ending: &Ending) -> String {
    let fields = ending.fields.iter();
    let fields = fields.map(|(key, value)| format!(" {key}={}", word(value)));
    let fields: String = fields.collect();
    let (what, event) = (ending.what, plain(&ending.event));
    format!("{what} ({event} {}{fields})", plain(&ending.name))
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

/// Writes a line's fields; a library's own line has its message alone.
fn fields(line: &Line) -> String {
    let fields = line.fields.iter().map(|(key, value)| {
        let value = match value {
            Value::String(text) => word(text),
            value => plain(&value.to_string()),
        };
        format!("{}={value}", plain(key))
    });
    let fields: Vec<String> = fields.collect();
    match line.event.as_str() {
        "E0" => plain(&line.message),
        _ => fields.join(" "),
    }
}

/// Writes a text bare where it reads as one word, else as JSON does.
fn word(text: &str) -> String {
    let odd = |c: char| c.is_whitespace() || matches!(c, '"' | '=');
    match text.is_empty() || text.contains(odd) {
        true => plain(&Value::from(text).to_string()),
        false => plain(text),
    }
}

/// Takes out what a terminal would obey.
fn plain(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c.is_control() {
            true => out.extend(c.escape_default()),
            false => out.push(c),
        }
    }
    out
}
