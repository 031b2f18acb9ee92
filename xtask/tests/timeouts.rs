//! Compares the tables of docs/design/timeouts.md with the sources: constants of type
//! `Duration`, fields with literal durations, and calls that wait for a limited time.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    path::{Path, PathBuf},
};

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

/// Value or number by file and name.
type Rows = BTreeMap<(String, String), String>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn collect(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            if path.file_name().is_none_or(|name| name != "tests") {
                collect(&path, found);
            }
        } else if path.extension().is_some_and(|kind| kind == "rs")
            && path.file_name().is_none_or(|name| name != "tests.rs")
        {
            found.push(path);
        }
    }
}

/// Returns the sources by the names that the page uses, without comments.
fn sources() -> BTreeMap<String, String> {
    let crates = root().join("crates");
    let mut found = Vec::new();
    for name in CRATES {
        collect(&crates.join(name).join("src"), &mut found);
    }
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("the source can be read");
        let code = text
            .lines()
            .map(|line| line.split("//").next().unwrap_or_default());
        let code = code.collect::<Vec<_>>().join("\n");
        let name = path
            .strip_prefix(&crates)
            .expect("it lies in the folder of crates");
        (name.display().to_string(), code)
    };
    found.into_iter().map(read).collect()
}

fn normal(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn grouped(ms: u64) -> String {
    let digits = ms.to_string();
    let mut out = String::new();
    for (no, digit) in digits.chars().enumerate() {
        if no > 0 && (digits.len() - no).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out
}

/// Returns the milliseconds of `Duration::from_secs(2)` and the like.
fn literal(expression: &str) -> Option<u64> {
    let expression = expression.strip_prefix("std::time::").unwrap_or(expression);
    let call = expression.strip_prefix("Duration::from_")?;
    let (unit, number) = call.strip_suffix(')')?.split_once('(')?;
    let unit = match unit {
        "millis" => 1,
        "secs" => 1_000,
        "mins" => 60_000,
        _ => return None,
    };
    let factors = number.split('*').map(|factor| {
        let digits = factor.trim().replace('_', "");
        digits.parse::<u64>().ok()
    });
    factors.product::<Option<u64>>().map(|number| number * unit)
}

fn value(expression: &str) -> String {
    let expression = normal(expression);
    literal(&expression).map_or_else(
        || format!("`{expression}`"),
        |ms| format!("{} ms", grouped(ms)),
    )
}

/// Returns the constants of type `Duration`, the parts of durations, and the fields that are given a literal one.
fn durations(sources: &BTreeMap<String, String>) -> Rows {
    let mut rows = Rows::new();
    for (file, code) in sources {
        for item in code.split("const ").skip(1) {
            let Some((name, rest)) = item.split_once(':') else {
                continue;
            };
            let Some((kind, rest)) = rest.split_once('=') else {
                continue;
            };
            let is_part = kind.trim() == "f64" && name.trim().ends_with("_PART");
            if kind.trim().rsplit("::").next() != Some("Duration") && !is_part {
                continue;
            }
            let expression = rest.split(';').next().unwrap_or_default();
            rows.insert((file.clone(), name.trim().to_owned()), value(expression));
        }
        for line in code.lines().map(str::trim) {
            let Some((name, rest)) = line.split_once(": ") else {
                continue;
            };
            let is_field = name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
            let expression = rest.trim_end_matches(',');
            let inner = expression.strip_prefix("Some(");
            let inner = inner.and_then(|inner| inner.strip_suffix(')'));
            let expression = inner.unwrap_or(expression);
            if is_field && literal(expression).is_some() {
                rows.insert((file.clone(), name.to_owned()), value(expression));
            }
        }
    }
    rows
}

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
    compare(&durations(&sources()), &page_rows("name"));
}

/// Guards against a call that gives something up and has no named limit.
#[test]
fn each_call_that_waits_has_its_row() {
    compare(&waits(&sources()), &page_rows("call"));
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
