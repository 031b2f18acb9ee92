//! A thread that writes to a data folder, so that slow syncs don't block the replica.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use anyhow::{Context, Result};
use replog::{Output, Record, Snapshot, WriteNo};

use crate::{Folder, folder::WriteError};

/// Delay before a write is retried when the disk is full.
const FULL_PAUSE: Duration = Duration::from_millis(500);

/// Longest sleep without work; any finite value will do, as a job wakes the thread.
const IDLE_PAUSE: Duration = Duration::from_secs(3_600);

/// The result of a write, or a change of the free space.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// All writes up to this one are durable.
    Synced {
        /// The last of them.
        upto: WriteNo,
    },
    /// A write failed; the thread has ended.
    Failed {
        /// The write.
        no: WriteNo,
    },
    /// The disk has run full, or has space again.
    Space {
        /// Whether it is full.
        full: bool,
    },
}

enum Job {
    Append(Vec<Record>),
    Replace(Snapshot, Vec<Record>),
}

/// Passes writes to the thread; dropping it ends the thread.
#[derive(Debug)]
pub struct Writer {
    jobs: Option<Sender<(WriteNo, Job)>>,
    thread: Option<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Writer {
    /// Starts the thread, which calls `report` with the result of each write.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn start(folder: Folder, report: impl FnMut(Report) + Send + 'static) -> Result<Self> {
        let (jobs, queue) = channel();
        let thread = thread::Builder::new().name("disk".to_owned());
        let stop = Arc::new(AtomicBool::new(false));
        let mut worker = Worker {
            folder,
            report,
            full: false,
            stop: Arc::clone(&stop),
        };
        let thread = thread.spawn(move || worker.work(&queue));
        Ok(Writer {
            stop,
            jobs: Some(jobs),
            thread: Some(thread.context("can't start the thread that writes to disk")?),
        })
    }

    /// Queues `output` if it is a write; returns it otherwise.
    #[must_use]
    pub fn take(&self, output: Output) -> Option<Output> {
        let (no, job) = match output {
            Output::Write { no, records } => (no, Job::Append(records)),
            Output::Rewrite {
                no,
                snapshot,
                records,
            } => (no, Job::Replace(snapshot, records)),
            other => return Some(other),
        };
        if let Some(jobs) = &self.jobs {
            // After a failed write the thread has ended, and further writes are dropped.
            let _ = jobs.send((no, job));
        }
        None
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.jobs = None;
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Worker<R> {
    folder: Folder,
    report: R,
    /// Whether the disk was full at the last attempt.
    full: bool,
    stop: Arc<AtomicBool>,
}

impl<R: FnMut(Report)> Worker<R> {
    fn work(&mut self, queue: &Receiver<(WriteNo, Job)>) {
        loop {
            let first = match queue.recv_timeout(self.pause()) {
                Ok(first) => first,
                Err(RecvTimeoutError::Timeout) => {
                    self.check_space();
                    continue;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut batch = vec![first];
            batch.extend(queue.try_iter());
            for (no, job) in merge(batch) {
                if !self.execute(no, &job) {
                    return;
                }
            }
        }
    }

    /// Returns how long to wait for work before checking for space.
    fn pause(&self) -> Duration {
        if self.full { FULL_PAUSE } else { IDLE_PAUSE }
    }

    /// Executes a write, waiting for space if the disk is full; returns whether the
    /// thread may continue.
    fn execute(&mut self, no: WriteNo, job: &Job) -> bool {
        loop {
            let result = match job {
                Job::Append(records) => self.folder.append(records),
                Job::Replace(snapshot, records) => self.folder.replace(snapshot, records),
            };
            match result {
                Ok(()) => {
                    (self.report)(Report::Synced { upto: no });
                    self.check_space();
                    return true;
                }
                Err(WriteError::Failed(_)) => {
                    // Whether any of the data is on disk is unknown, and a second sync
                    // could succeed without it. So the failure is final and isn't
                    // retried.
                    base::hit!(failed_sync_is_final);
                    (self.report)(Report::Failed { no });
                    return false;
                }
                Err(WriteError::Full) if self.stop.load(Ordering::Relaxed) => return false,
                Err(WriteError::Full) if self.full => thread::sleep(FULL_PAUSE),
                Err(WriteError::Full) => {
                    self.full = true;
                    base::hit!(full_disk_waits);
                    (self.report)(Report::Space { full: true });
                    self.folder.delete_reserve();
                }
            }
        }
    }

    /// Reports that the disk has space again once the reserve file could be recreated.
    fn check_space(&mut self) {
        if self.full && self.folder.create_reserve() {
            self.full = false;
            (self.report)(Report::Space { full: false });
        }
    }
}

/// Merges consecutive queued appends, so that they share one sync.
fn merge(batch: Vec<(WriteNo, Job)>) -> Vec<(WriteNo, Job)> {
    let mut merged: Vec<(WriteNo, Job)> = Vec::new();
    for (no, job) in batch {
        match (merged.last_mut(), job) {
            (Some((last, Job::Append(records))), Job::Append(more)) => {
                *last = no;
                records.extend(more);
            }
            (_, job) => merged.push((no, job)),
        }
    }
    merged
}
