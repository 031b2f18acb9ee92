//! Renders the table of events for `docs/logs.md` and compares it with the page.

use std::collections::BTreeMap;

use crate::Event;

/// Marks the start of the generated part of the page.
pub const BEGIN: &str = "<!-- events: begin -->";
/// Marks the end of the generated part of the page.
pub const END: &str = "<!-- events: end -->";

/// Size of an area: event numbers are grouped by thousands.
const AREA_SIZE: u16 = 1_000;

/// Headings of the areas, starting with 1xxx.
const AREAS: [&str; 7] = [
    "The process",
    "The replicated log",
    "Ownership of engines",
    "Engines, adapters, placement",
    "Requests",
    "Other instances and the platform",
    "Operators and the text",
];

/// Renders the catalogue as the page's tables.
#[must_use]
pub fn render() -> String {
    let mut page = String::new();
    let mut area = 0;
    for event in Event::ALL {
        let thousands = event.number() / AREA_SIZE;
        if thousands != area {
            area = thousands;
            page += &heading(thousands);
        }
        page += &row(*event);
        page.push('\n');
    }
    page
}

/// Returns every difference between `page` and the events in the code, one
/// line each.
#[must_use]
pub fn differences(page: &str) -> Vec<String> {
    let mut rows = BTreeMap::new();
    let mut found = Vec::new();
    for line in page.lines().filter(|line| line.starts_with("| E")) {
        let number = line.split_whitespace().nth(1).unwrap_or_default();
        if rows.insert(number.to_owned(), line.trim()).is_some() {
            found.push(format!("{number} appears twice on the page"));
        }
    }
    for event in Event::ALL {
        match rows.remove(&event.to_string()) {
            None => found.push(format!("{event} {event:?} is not on the page")),
            Some(line) if line != row(*event) => {
                found.push(format!("{event} {event:?} differs on the page"));
            }
            Some(_) => {}
        }
    }
    found.extend(
        rows.keys()
            .map(|number| format!("{number} is not in the code")),
    );
    found
}

/// Returns `page` with its generated part replaced, or `None` where it has no such part.
#[must_use]
pub fn update(page: &str) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n{}\n{END}{after}", render()))
}

fn heading(thousands: u16) -> String {
    let title = AREAS.get(usize::from(thousands) - 1).unwrap_or(&"Other");
    format!(
        "\n### {thousands}xxx: {title}\n\n| event | level | line | what it means |\n|---|---|---|---|\n"
    )
}

fn row(event: Event) -> String {
    let (level, message, meaning) = (event.level(), event.message(), event.meaning());
    format!("| {event} `{event:?}` | {level} | {message} | {meaning} |")
}
