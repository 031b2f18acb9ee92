//! The data folder, on a thread of its own: a sync may take long, and must
//! hold up nothing but what waits for it.

use std::{sync::mpsc, thread};

use anyhow::{Context, Result};
use control::Input;
use disk::Folder;
use replog::{Record, Snapshot, WriteNo};

use crate::state::Job;

/// One write, in the order asked for.
#[derive(Debug)]
pub(crate) enum Write {
    /// Append records.
    Append(WriteNo, Vec<Record>),
    /// Replace snapshot and log.
    Rewrite(WriteNo, Box<Snapshot>, Vec<Record>),
}

/// Where writes are handed in.
#[derive(Debug)]
pub(crate) struct Store {
    writes: mpsc::Sender<Write>,
}

impl Store {
    /// Starts the thread; each write's end becomes a job of the shell.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no thread.
    pub(crate) fn start(
        mut folder: Folder,
        jobs: tokio::sync::mpsc::UnboundedSender<Job>,
    ) -> Result<Store> {
        let (writes, queue) = mpsc::channel();
        let run = move || {
            for write in queue {
                let input = carry_out(&mut folder, write);
                if jobs.send(Job::Input(input)).is_err() {
                    return;
                }
            }
        };
        let thread = thread::Builder::new().name("disk".to_owned()).spawn(run);
        thread.context("can't start the disk's thread")?;
        Ok(Store { writes })
    }

    /// Hands in one write; after the thread has ended nobody waits for it.
    pub(crate) fn write(&self, write: Write) {
        self.writes.send(write).ok();
    }
}

/// Carries out one write.
///
/// A sync that failed is never tried again: what the kernel dropped from its
/// cache would count as written. The replica hears of it and stops.
fn carry_out(folder: &mut Folder, write: Write) -> Input {
    let (no, done) = match write {
        Write::Append(no, records) => (no, folder.append(&records)),
        Write::Rewrite(no, snapshot, records) => (no, folder.rewrite(&snapshot, &records)),
    };
    match done {
        Ok(()) => Input::Synced { upto: no },
        Err(err) => {
            let why = format!("{err:#}");
            telemetry::event!(telemetry::Event::DiskFailed, why = why);
            Input::WriteFailed { no }
        }
    }
}
