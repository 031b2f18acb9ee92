//! Checks that the catalogue of events in `docs/logs.md` and the code agree,
//! and names events that nothing logs.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use anyhow::{Context, Result, bail};
use telemetry::{Event, catalogue};

const PAGE: &str = "docs/logs.md";

/// Describes the chore for the command line.
pub(crate) fn command() -> clap::Command {
    clap::Command::new("events")
        .about("Checks docs/logs.md against the events in the code")
        .arg(
            clap::Arg::new("write")
                .long("write")
                .action(clap::ArgAction::SetTrue)
                .help("Writes the page's tables anew"),
        )
}

/// Checks the page, or writes it with `write`.
///
/// # Errors
///
/// Fails with every difference between page and code.
pub(crate) fn run(root: &Path, write: bool) -> Result<()> {
    let path = root.join(PAGE);
    let page = fs::read_to_string(&path).with_context(|| format!("can't read {PAGE}"))?;
    if write {
        let new = catalogue::update(&page).with_context(|| format!("{PAGE} lacks its marks"))?;
        fs::write(&path, new)?;
        return Ok(());
    }
    let differences = catalogue::differences(&page);
    if !differences.is_empty() {
        bail!(
            "{PAGE} and the code differ (see --write):\n{}",
            differences.join("\n")
        );
    }
    let unused = unused(root)?;
    println!("{} events, page and code agree", Event::ALL.len());
    if !unused.is_empty() {
        println!(
            "{} of them logged nowhere: {}",
            unused.len(),
            unused.join(", ")
        );
    }
    Ok(())
}

/// Returns the events that no `event!` outside `telemetry` names, whatever the
/// type is imported as.
fn unused(root: &Path) -> Result<Vec<String>> {
    let mut named = BTreeSet::new();
    for file in sources(&root.join("crates"))? {
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
    Ok(unused.map(|event| format!("{event} {event:?}")).collect())
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
