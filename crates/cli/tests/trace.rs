//! `trace` as a process: the timeline of a request from files and standard input.
//!
//! The files in `trace/` are log lines that three control and two entry instances of
//! the platform's program wrote while they ran with stand-ins of the platform and of
//! engines: an engine crashes during six streams, more adapters are requested than
//! the engines can hold while some orders get no answer, a control instance is
//! killed, and a route is requested before it is added. `controls.log` has the form
//! that simulations write, with seconds since the first configuration.

use std::{
    fs,
    io::Write,
    path::Path,
    process::{Command, Output, Stdio},
};

use googletest::prelude::*;
use serde_json::Value;

const CONTROLS: &str = "tests/trace/controls.log";
const ENTRIES: &str = "tests/trace/entries.log";

fn trace(args: &[&str], stdin: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quetzalarch"))
        .arg("trace")
        .args(args)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that reads no input may have ended already.
    let _ = child.stdin.take().unwrap().write_all(stdin);
    child.wait_with_output().unwrap()
}

fn text(out: &[u8]) -> String {
    String::from_utf8(out.to_vec()).unwrap()
}

/// Returns a log line of `edge-9` about request 1318, at a second of the recording.
fn slow_line(second: u32) -> String {
    format!(
        r#"{{"time":"2026-12-03T10:57:{second}.000000+00:00","level":"info","service":"entry","instance":"edge-9","zone":"zb","event":"E5009","name":"RequestSlow","message":"request slow","fields":{{"request":"1318","head_ms":900,"place_ms":890}}}}"#
    )
}

/// Lines of one request come from two files and from standard input, in plain and in
/// simulated form, mixed with lines of other requests and of other programs.
#[test]
fn files_and_standard_input_make_one_timeline() {
    let whole = slow_line(44);
    let mut stdin = format!("{whole}\n\n  21.3 platform alert for 1318\nanother\n").into_bytes();
    stdin.extend(b"\xff\x00\xfe\n");
    stdin.extend(&whole.as_bytes()[..whole.len() - 9]);
    let out = trace(&["1318", CONTROLS, ENTRIES, "-"], &stdin);
    let shown = text(&out.stdout);
    assert_that!(out.status.code(), some(eq(0)), "{}", text(&out.stderr));
    let lines: Vec<&str> = shown.lines().collect();
    let summary = lines[0];
    for part in [
        "request 1318: 2 own lines of edge-1, edge-9, from 2026-12-03T10:57:43.",
        " to 2026-12-03T10:57:44.000000Z (",
        "; answered late (E5009 RequestSlow head_ms=900 place_ms=890); ",
        " lines of context; 4 other lines skipped, 2 with the id in it",
    ] {
        assert_that!(summary, contains_substring(part));
    }
    assert_that!(lines[1], eq(""));
    let head: Vec<&str> = lines[2].split_whitespace().collect();
    assert_that!(
        head,
        eq(&["LINE", "TIME", "SECONDS", "INSTANCE", "EVENT", "FIELDS"])
    );
    let rows: Vec<Vec<&str>> = lines[3..]
        .iter()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_that!(rows.is_sorted_by_key(|row| row[1]), eq(true));
    let own = rows.iter().filter(|row| row[0] == "request");
    let own: Vec<&[&str]> = own.map(|row| &row[2..4]).collect();
    assert_that!(own, eq(&[["edge-1", "E5002"], ["edge-9", "E5009"]]));
    let context = rows.iter().filter(|row| row[0] == "context").count();
    assert_that!(own.len() + context, eq(rows.len()));
    let simulated = rows.iter().find(|row| row[4] == "E4002").unwrap();
    assert_that!(simulated[2..4], eq(&["20.0588", "control-1"]));
}

/// Standard input is read if no file is given, with the same JSON as from a file.
#[test]
fn standard_input_alone_gives_the_same() {
    let lines = fs::read(ENTRIES).unwrap();
    let named = trace(&["3001", "--json", "--around", "0", ENTRIES], b"");
    let piped = trace(&["3001", "--json", "--around", "0"], &lines);
    assert_that!(named.stdout, eq(&piped.stdout));
    let timeline: Value = serde_json::from_slice(&piped.stdout).unwrap();
    assert_that!(timeline["request"], eq(&Value::from("3001")));
    assert_that!(timeline["own"], eq(&Value::from(1)));
    assert_that!(timeline["ending"]["event"], eq(&Value::from("E5002")));
    let own = timeline["lines"].as_array().unwrap().iter();
    let own = own.filter(|line| line["own"] == true).count();
    assert_that!(own, eq(1));
}

struct Failure {
    args: &'static [&'static str],
    stdin: &'static [u8],
    exit: i32,
    shows: &'static [&'static str],
}

base::cases! {
    /// Each failure has its exit code and a message that names the cause.
    failures: check_failure => {
        unknown: Failure {
            args: &["9999", CONTROLS, ENTRIES],
            stdin: b"",
            exit: 1,
            shows: &["no line of request `9999` among 119 lines"],
        },
        unknown_json: Failure {
            args: &["9999", "--json", ENTRIES],
            stdin: b"",
            exit: 1,
            shows: &[r#""outcome":"refused""#, "no line of request `9999` among 76 lines"],
        },
        only_cut_short: Failure {
            args: &["77"],
            stdin: b"{\"fields\":{\"request\":\"77\"\n\xff\n",
            exit: 1,
            shows: &["among 0 lines; 2 other lines skipped, 1 with the id in it"],
        },
        unreadable: Failure {
            args: &["1318", ENTRIES, "gone.log", "tests"],
            stdin: b"",
            exit: 2,
            shows: &["can't read gone.log: No such file", "can't read tests: Is a directory"],
        },
        empty_id: Failure {
            args: &[""],
            stdin: b"",
            exit: 2,
            shows: &["a request's id may not be empty"],
        },
        id_with_control_character: Failure {
            args: &["a\u{7}b"],
            stdin: b"",
            exit: 2,
            shows: &[r"`\u{7}` may not stand in a request's id"],
        },
        odd_id: Failure {
            args: &["--", "-{\"%é"],
            stdin: b"{}",
            exit: 1,
            shows: &["no line of request `-{\"%é` among 0 lines; 1 other line skipped"],
        },
        no_id: Failure { args: &[], stdin: b"", exit: 2, shows: &["Usage"] },
        long_window: Failure {
            args: &["1", "--around", "3601"],
            stdin: b"",
            exit: 2,
            shows: &["3601 is not in 0..=3600"],
        },
    }
}

fn check_failure(row: Failure) {
    let out = trace(row.args, row.stdin);
    let shown = text(&out.stdout) + &text(&out.stderr);
    assert_that!(out.status.code(), some(eq(row.exit)), "{shown}");
    for part in row.shows {
        assert_that!(shown, contains_substring(*part));
    }
}

/// Callers choose their ids, and a damaged log line may hold any bytes: control
/// characters are escaped, as an operator's terminal would interpret them.
#[test]
fn control_characters_are_escaped() {
    let line = slow_line(44).replace("edge-9", r"\u001b[2Jedge").replace(
        r#""head_ms":900"#,
        r#""\u0007":["\u009b"],"how":"a\u001b]0;b\nc""#,
    );
    let out = trace(&["1318"], line.as_bytes());
    let shown = text(&out.stdout);
    assert_that!(out.status.code(), some(eq(0)), "{shown}");
    assert_that!(shown.lines().count(), eq(4));
    let odd = shown.chars().find(|c| c.is_control() && *c != '\n');
    assert_that!(odd, none());
}

/// The output that `docs/operations.md` quotes is what the command prints.
#[test]
fn the_page_shows_what_is_printed() {
    let page = fs::read_to_string("../../docs/operations.md").unwrap();
    let shown = page.split("$ quetzalarch trace 3001 controls.log entries.log\n");
    let shown = shown.last().unwrap().split("```").next().unwrap();
    let out = trace(&["3001", CONTROLS, ENTRIES], b"");
    assert_that!(text(&out.stdout), eq(shown));
}

/// Lines that the page tells to look at for a failed request: event, field, start of
/// the field's value, and earliest and latest time in seconds relative to the
/// request's own line.
type Expected = (&'static str, &'static str, &'static str, f64, f64);

/// A kind of failed request on the page: the id of an example, fields of its own
/// line, and the lines that the page tells to look at.
struct Kind {
    id: &'static str,
    own: &'static [(&'static str, &'static str)],
    expected: &'static [Expected],
}

/// A relative time in seconds that lies before the first line of the recording.
const FROM_START: f64 = -99.0;

base::cases! {
    /// Each line that `docs/operations.md` tells to look at under "From a request's id
    /// to its cause" is in the timeline.
    causes: check_cause => {
        refusal_in_a_burst: Kind {
            id: "1318",
            own: &[("event", "E5002"), ("why", "Queue"), ("sends", "0"), ("held_ms", "1204")],
            expected: &[
                ("E4013", "waiting", "", -1.0, 1.0),
                ("E4003", "how", "unknown", -2.0, 2.0),
                ("E4003", "how", "conflict", -2.0, 2.0),
                ("E4001", "adapter", "m/g05", FROM_START, 0.0),
                ("E4002", "adapter", "m/g05", FROM_START, 0.0),
                ("E3001", "zones", "za", FROM_START, 0.0),
            ],
        },
        stream_of_a_target_that_died: Kind {
            id: "2100",
            own: &[("event", "E5002"), ("how", "the connection broke"), ("target", "i-0001")],
            expected: &[
                ("E5002", "target", "i-0001", -1.0, 1.0),
                ("E5005", "from", "i-0001", -1.0, 1.0),
            ],
        },
        stream_that_went_on: Kind {
            id: "2000",
            own: &[("event", "E5005"), ("from", "i-0001"), ("target", "i-0002")],
            expected: &[
                ("E5002", "target", "i-0001", -1.0, 1.0),
                ("E5005", "from", "i-0001", -1.0, 1.0),
            ],
        },
        request_on_an_old_route: Kind {
            id: "3001",
            own: &[("event", "E5002"), ("how", "NoRoute"), ("edition", "3")],
            expected: &[
                ("E7003", "version", "3", FROM_START, 0.0),
                ("E7003", "version", "4", 0.0, 2.0),
                ("E6001", "control", "127.77.161.3:", FROM_START, 0.0),
            ],
        },
    }
}

fn check_cause(kind: Kind) {
    let out = trace(&[kind.id, "--json", CONTROLS, ENTRIES], b"");
    let timeline: Value = serde_json::from_slice(&out.stdout).unwrap();
    let rows = timeline["lines"].as_array().unwrap();
    let own = rows.iter().find(|line| line["own"] == true).unwrap();
    for (key, want) in kind.own {
        assert_that!(field(own, key), starts_with(*want), "{key}");
    }
    let recorded = recorded();
    for expected in kind.expected {
        let lines = recorded
            .iter()
            .filter(|line| is_expected(line, expected, own));
        let lines: Vec<&Value> = lines.collect();
        assert_that!(lines, not(is_empty()), "{expected:?}");
        for line in lines {
            let found = rows.iter().any(|row| {
                let same = |key| row[key] == line[key];
                second(row) == second(line) && same("instance") && same("fields")
            });
            assert_that!(found, eq(true), "{line}");
        }
    }
}

/// Parses the recording independently of the command's own parser.
fn recorded() -> Vec<Value> {
    let files = [CONTROLS, ENTRIES].map(|path| fs::read_to_string(Path::new(path)).unwrap());
    let lines = files.iter().flat_map(|text| text.lines());
    let lines = lines.map(|line| serde_json::from_str(&line[line.find('{').unwrap()..]).unwrap());
    lines.collect()
}

/// Whether the page tells to look at a line. Events about an entry instance's own
/// state count only for the instance that wrote `own`.
fn is_expected(line: &Value, (event, key, value, from, to): &Expected, own: &Value) -> bool {
    let state = matches!(*event, "E6001" | "E7003");
    let offset = second(line) - second(own);
    line["event"] == *event
        && line["fields"].get(key).is_some()
        && field(line, key).starts_with(value)
        && (*from..=*to).contains(&offset)
        && (!state || line["instance"] == own["instance"])
}

fn field(line: &Value, key: &str) -> String {
    let value = line["fields"].get(key).unwrap_or(&line[key]);
    let text = value.as_str().map(ToOwned::to_owned);
    text.unwrap_or_else(|| value.to_string())
}

/// Returns the time of a line in seconds since the start of its hour.
fn second(line: &Value) -> f64 {
    let time = line["time"].as_str().unwrap();
    let minutes: f64 = time[14..16].parse().unwrap();
    let seconds = time[17..].trim_end_matches('Z').split('+').next().unwrap();
    minutes * 60.0 + seconds.parse::<f64>().unwrap()
}
