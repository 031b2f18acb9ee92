//! `cargo xtask events`: checks that the pages that name log events agree with the code:
//! the catalogue in `docs/logs.md`, and the daggers in `docs/operations.md` that mark
//! events that nothing logs yet.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use anyhow::{Context, Result, bail};
use telemetry::{Event, catalogue};

/// The page with the catalogue of events.
const LOGS: &str = "docs/logs.md";
/// The guide for operators on call.
const GUIDE: &str = "docs/operations.md";
/// Marks an event that nothing logs yet.
const DAGGER: char = '\u{2020}';

/// Returns the command line.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("events")
        .about("Checks docs/logs.md against the events in the code")
        .arg(
            clap::Arg::new("write")
                .long("write")
                .action(clap::ArgAction::SetTrue)
                .help("Updates the pages instead of checking them"),
        )
}

/// Checks both pages, or updates them if `write` is set.
///
/// # Errors
///
/// Fails with all differences between the pages and the code, or when a page can't be read
/// or written.
pub(crate) fn run(root: &Path, write: bool) -> Result<()> {
    let unused = unused(root)?;
    let logs = Page::read(root, LOGS)?;
    let guide = Page::read(root, GUIDE)?;
    let marked = marked(&guide.text, &unused);
    if write {
        let new = catalogue::update(&logs.text)
            .context("docs/logs.md lacks the markers around its tables")?;
        fs::write(&logs.path, new)?;
        fs::write(&guide.path, marked)?;
        return Ok(());
    }
    let differences = catalogue::differences(&logs.text);
    if !differences.is_empty() {
        bail!(
            "{LOGS} and the code differ (see --write):\n{}",
            differences.join("\n")
        );
    }
    if marked != guide.text {
        bail!("{GUIDE} marks the wrong events as not logged yet (see --write)");
    }
    println!("{} events, pages and code agree", Event::ALL.len());
    if !unused.is_empty() {
        let names: Vec<String> = unused
            .iter()
            .map(|event| format!("{event} {event:?}"))
            .collect();
        println!(
            "{} of them logged nowhere: {}",
            names.len(),
            names.join(", ")
        );
    }
    Ok(())
}

/// A page of the docs.
struct Page {
    path: PathBuf,
    text: String,
}

impl Page {
    fn read(root: &Path, name: &str) -> Result<Self> {
        let path = root.join(name);
        let text = fs::read_to_string(&path).with_context(|| format!("can't read {name}"))?;
        Ok(Page { path, text })
    }
}

/// Returns `page` with a dagger after each unused event and after no other.
fn marked(page: &str, unused: &BTreeSet<Event>) -> String {
    let mut page = page.replace(DAGGER, "");
    for event in unused {
        page = page.replace(&event.to_string(), &format!("{event}{DAGGER}"));
    }
    page
}

/// Returns the events that no `event!` outside `telemetry` names. Only the last segment of
/// an event's path is compared, so that the name under which the type is imported does not
/// matter.
fn unused(root: &Path) -> Result<BTreeSet<Event>> {
    let mut named = BTreeSet::new();
    let mut files = sources(&root.join("crates"))?;
    files.extend(sources(&root.join("platform"))?);
    for file in files {
        if file.starts_with(root.join("crates/telemetry")) {
            continue;
        }
        let source: String = fs::read_to_string(file)?.split_whitespace().collect();
        let calls = source.split("event!(").skip(1);
        let paths = calls.filter_map(|call| call.split([',', ')']).next());
        named.extend(paths.filter_map(|path| Some(path.rsplit_once("::")?.1.to_owned())));
    }
    let unused = Event::ALL
        .iter()
        .filter(|event| !named.contains(&format!("{event:?}")));
    Ok(unused.copied().collect())
}

fn sources(folder: &Path) -> Result<Vec<PathBuf>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            found.extend(sources(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    Ok(found)
}
