//! What both kinds of control instance do with the folder of the log.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use control::Input;
use disk::{Folder, OpenOutcome, Report, Writer};
use telemetry::event;

/// Starts the thread that writes; each end of a write is handed to `give`.
///
/// # Errors
///
/// Fails when the thread can't be started.
pub fn start_writer(folder: Folder, give: impl Fn(Input) + Send + 'static) -> Result<Writer> {
    Writer::start(folder, move |done| {
        give(match done {
            Report::Synced { upto } => Input::Synced { upto },
            Report::Failed { no } => {
                event!(telemetry::Event::DiskFailed, write = no);
                Input::WriteFailed { no }
            }
            Report::Space { full } => Input::Space { full },
        });
    })
}

/// Logs what was found in a folder that isn't whole.
pub fn report_fate(outcome: &OpenOutcome) {
    match outcome {
        OpenOutcome::New | OpenOutcome::Intact => {}
        OpenOutcome::Truncated { bytes } => event!(telemetry::Event::DiskTorn, bytes = bytes),
        OpenOutcome::Replaced { reason, kept } => {
            let kept = kept.display().to_string();
            event!(telemetry::Event::DiskCorrupt, why = reason, kept = kept);
        }
    }
}

/// Returns the wall clock, as the time since 1970.
///
/// # Errors
///
/// Fails when the clock stands before that.
pub fn wall_clock() -> Result<Duration> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.context("the clock stands before 1970")
}
