//! Compares the tables of docs/design/timeouts.md with the sources: constants of type
//! `Duration`, fields with literal durations, and calls that wait for a limited time.

#[path = "timeouts/sources.rs"]
mod sources;

use std::{collections::BTreeMap, fmt::Write as _, fs};

use self::sources::{Rows, durations, normal, root, sources, value};

/// Crates in which requests, connections and streams are given up.
const CRATES: [&str; 12] = [
    "web", "frontd", "entryd", "gateway", "node", "request", "peer", "daemon", "controld", "owner",
    "member", "cli",
];

/// Calls that wait for a limited time.
const WAITS: [&str; 6] = [
    "timeout",
    "timeout_at",
    "answer_by",
    "sleep",
    "sleep_until",
    "Limits::within",
];

/// Returns the first argument of the call whose arguments begin `code`.
fn first_argument(code: &str) -> String {
    let mut depth = 0;
    let mut end = code.len();
    for (at, c) in code.char_indices() {
        match c {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' if depth > 0 => depth -= 1,
            ')' | ']' | '}' | ',' if depth == 0 => {
                end = at;
                break;
            }
            _ => {}
        }
    }
    normal(&code[..end])
}

fn waits(sources: &BTreeMap<String, String>) -> Rows {
    let mut numbers = BTreeMap::new();
    for (file, code) in sources {
        for name in WAITS {
            let call = format!("{name}(");
            for (at, _) in code.match_indices(&call) {
                let before = &code[..at];
                let within = |c: char| c.is_alphanumeric() || c == '_';
                if before.ends_with(within) || before.ends_with("fn ") {
                    continue;
                }
                let argument = first_argument(&code[at + call.len()..]);
                if argument.is_empty() {
                    continue;
                }
                let key = (file.clone(), format!("{name}({argument})"));
                *numbers.entry(key).or_insert(0) += 1;
            }
        }
    }
    let rows = numbers.into_iter();
    rows.map(|(key, number): (_, u32)| (key, number.to_string()))
        .collect()
}

/// Returns the rows of the page's tables that have `first` as the head of their first column,
/// and the rows that are there twice.
fn page_rows(first: &str) -> (Rows, Vec<String>) {
    let page = root().join("docs/design/timeouts.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let (mut rows, mut twice) = (Rows::new(), Vec::new());
    let mut wanted = false;
    for line in page.lines() {
        let cells = line.strip_prefix("| ").map(|line| line.split(" | "));
        let Some(cells) = cells else {
            wanted = false;
            continue;
        };
        let cells: Vec<_> = cells.collect();
        if cells[0] == "name" || cells[0] == "call" {
            wanted = cells[0] == first;
            continue;
        }
        if !wanted || cells[0] == "---" {
            continue;
        }
        let key = (
            cells[1].trim_matches('`').to_owned(),
            cells[0].trim_matches('`').to_owned(),
        );
        if rows.insert(key, cells[2].to_owned()).is_some() {
            twice.push(line.to_owned());
        }
    }
    (rows, twice)
}

fn compare(code: &Rows, (page, twice): &(Rows, Vec<String>)) {
    let mut faults = String::new();
    for line in twice {
        writeln!(faults, "twice: {line}").expect("a string takes all");
    }
    for ((file, name), value) in code {
        match page.get(&(file.clone(), name.clone())) {
            None => writeln!(faults, "no row: | `{name}` | `{file}` | {value} |"),
            Some(shown) if shown != value => {
                writeln!(
                    faults,
                    "{file} {name}: {shown} on the page, {value} in force"
                )
            }
            Some(_) => Ok(()),
        }
        .expect("a string takes all");
    }
    for (file, name) in page.keys() {
        if !code.contains_key(&(file.clone(), name.clone())) {
            writeln!(faults, "gone: {file} {name}").expect("a string takes all");
        }
    }
    assert!(faults.is_empty(), "docs/design/timeouts.md:\n{faults}");
}

/// Guards against a timeout that gives something up without anybody having asked what proves
/// that it is gone, and what replaces it.
#[test]
fn each_duration_has_its_row() {
    compare(&durations(&sources(&CRATES)), &page_rows("name"));
}

/// Guards against a call that gives something up and has no named limit.
#[test]
fn each_call_that_waits_has_its_row() {
    compare(&waits(&sources(&CRATES)), &page_rows("call"));
}

/// A row that says what is given up says also what follows.
#[test]
fn each_row_is_complete() {
    let page = root().join("docs/design/timeouts.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let (mut columns, mut faults) = (0, Vec::new());
    for line in page.lines() {
        if !line.starts_with("| ") {
            columns = 0;
            continue;
        }
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        if columns == 0 {
            columns = cells.len();
        }
        let plain = columns == 7 && cells[4..].iter().all(|cell| cell.is_empty());
        let plain = plain && cells[0].contains('(');
        if cells.len() != columns || !plain && cells.iter().any(|cell| cell.is_empty()) {
            faults.push(line);
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn values_are_shown_in_milliseconds() {
    let cases = [
        ("Duration::from_millis(1_500)", "1,500 ms"),
        ("Duration::from_secs(10 * 60)", "600,000 ms"),
        ("std::time::Duration::from_mins(10)", "600,000 ms"),
        ("CALL_TIMEOUT", "`CALL_TIMEOUT`"),
    ];
    for (expression, shown) in cases {
        assert_eq!(value(expression), shown);
    }
}

/// How long a sound target may say nothing, in milliseconds.
const SOUND_SILENCE_MS: u64 = 2_000;

/// Guards against a limit that gives up for silence alone what a sound target may still finish,
/// before anything has replaced it.
#[test]
fn no_short_silence_ends_a_run() {
    let page = root().join("docs/design/timeouts.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let mut rows = 0;
    let mut faults = Vec::new();
    for line in page.lines() {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let [_, _, value, _, proof, _, certain] = cells[..] else {
            continue;
        };
        if !proof.starts_with("silence only") {
            continue;
        }
        rows += 1;
        let ms: Option<u64> = value
            .strip_suffix(" ms")
            .and_then(|ms| ms.replace(',', "").parse().ok());
        let short = ms.is_some_and(|ms| ms < SOUND_SILENCE_MS) || value.starts_with('`');
        if short && certain.contains("**no**") {
            faults.push(line);
        }
    }
    assert!(rows > 0, "the page has no such rows");
    assert!(faults.is_empty(), "{faults:#?}");
}
