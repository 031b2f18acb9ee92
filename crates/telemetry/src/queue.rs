//! Bounded queue of log lines for standard output.
//!
//! If the reader of standard output stalls, the pipe fills up, and a process that
//! writes to it directly blocks together with all its requests. Lines are therefore
//! sent to a separate thread through a bounded queue. Lines that find the queue full
//! are dropped and counted, and their number is logged once the reader continues.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use flexi_logger::{DeferredNow, FormatFunction, Record, writers::LogWriter};

use crate::prom;

/// Most lines in the queue: two seconds of a busy entry instance, some 600 KB.
const QUEUE_CAPACITY: usize = 2_048;

/// How long a flush, such as at the end of the process, waits for the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    /// Asks the writing thread to flush and to confirm on the channel.
    Flush(SyncSender<()>),
}

/// Log writer that queues lines for the thread that writes them.
pub(crate) struct Queue {
    lines: SyncSender<Item>,
    format: FormatFunction,
    dropped: AtomicU64,
    /// Formats the line that reports how many lines were dropped.
    dropped_line: fn(u64) -> String,
}

impl Queue {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start(
        out: impl Write + Send + 'static,
        format: FormatFunction,
        dropped_line: fn(u64) -> String,
    ) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&queued, out))?;
        Ok(Queue {
            lines,
            format,
            dropped: AtomicU64::new(0),
            dropped_line,
        })
    }

    /// Queues a line; returns whether there was room.
    fn try_push(&self, line: Vec<u8>) -> bool {
        match self.lines.try_send(Item::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && !self.try_push((self.dropped_line)(dropped).into_bytes()) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        self.report_dropped();
        let mut line = Vec::new();
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if !self.try_push(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            prom::count_dropped_line();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.report_dropped();
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Item::Flush(done)).is_ok() {
            // A stalled reader loses the last lines but doesn't block the shutdown.
            wait.recv_timeout(FLUSH_TIMEOUT).ok();
        }
        Ok(())
    }
}

fn write_all(queued: &Receiver<Item>, mut out: impl Write) {
    while let Ok(item) = queued.recv() {
        match item {
            // There is no other output on which to report a failed write.
            Item::Line(line) => drop(out.write_all(&line)),
            Item::Flush(done) => {
                out.flush().ok();
                done.send(()).ok();
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/queue.rs"]
mod tests;
