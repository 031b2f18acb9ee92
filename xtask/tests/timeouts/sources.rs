//! Reads the sources for tests that hold pages and constants together.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

/// Value or number by file and name.
pub(crate) type Rows = BTreeMap<(String, String), String>;

/// Returns the folder of the repository.
pub(crate) fn root() -> PathBuf {
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
pub(crate) fn sources(crates: &[&str]) -> BTreeMap<String, String> {
    let all = root().join("crates");
    let mut found = Vec::new();
    for name in crates {
        collect(&all.join(name).join("src"), &mut found);
    }
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("the source can be read");
        let code = text
            .lines()
            .map(|line| line.split("//").next().unwrap_or_default());
        let code = code.collect::<Vec<_>>().join("\n");
        let name = path
            .strip_prefix(&all)
            .expect("it lies in the folder of crates");
        (name.display().to_string(), code)
    };
    found.into_iter().map(read).collect()
}

/// Returns a text with one space between words.
pub(crate) fn normal(text: &str) -> String {
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

/// Returns how the page shows the value of an expression.
pub(crate) fn value(expression: &str) -> String {
    let expression = normal(expression);
    literal(&expression).map_or_else(
        || format!("`{expression}`"),
        |ms| format!("{} ms", grouped(ms)),
    )
}

/// Returns the constants of type `Duration`, the parts of durations, and the fields that are given a literal one.
pub(crate) fn durations(sources: &BTreeMap<String, String>) -> Rows {
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
