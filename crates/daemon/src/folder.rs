//! The data folder of the replicated log, as all daemons with a control instance use it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use control::Input;
use disk::{Folder, OpenOutcome, Report, Writer};
use telemetry::event;

/// Starts the thread that writes to the folder; the result of each write is passed to
/// `send`.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start_writer(folder: Folder, send: impl Fn(Input) + Send + 'static) -> Result<Writer> {
    Writer::start(folder, move |done| {
        send(match done {
            Report::Synced { upto } => Input::Synced { upto },
            Report::Failed { no } => {
                event!(telemetry::Event::DiskFailed, write = no);
                Input::WriteFailed { no }
            }
            Report::Space { full } => Input::Space { full },
        });
    })
}

/// Logs that [`disk::open`] found a torn write or a damaged log in the folder.
pub fn log_folder_state(outcome: &OpenOutcome) {
    match outcome {
        OpenOutcome::New | OpenOutcome::Intact => {}
        OpenOutcome::Truncated { bytes } => event!(telemetry::Event::DiskTorn, bytes = bytes),
        OpenOutcome::Replaced { reason, kept } => {
            let kept = kept.display().to_string();
            event!(telemetry::Event::DiskCorrupt, why = reason, kept = kept);
        }
    }
}

/// Returns the time of the wall clock, as the time since 1970.
///
/// # Errors
///
/// Fails if the clock is set to an earlier time.
pub fn wall_clock() -> Result<Duration> {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.context("the system clock is set before 1970")
}
