//! Lines on their way to standard output.
//!
//! Failure: whoever reads standard output stalls. The pipe fills, and a process
//! that writes to it stands still with all its requests. Lines are handed to a
//! thread of their own through a queue with a bound; what finds it full is left
//! out, counted, and told in a line once the reader goes on.

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

use crate::exposed;

/// Lines that wait at most: two seconds of a busy entry instance, some 600 KB.
const LINES: usize = 2_048;

/// How long the end of a process waits for its last lines.
const FLUSH: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The writer that the logger hands its lines to.
pub(crate) struct Queue {
    lines: SyncSender<Item>,
    format: FormatFunction,
    left_out: AtomicU64,
    /// Makes the line that tells how many were left out.
    tell: fn(u64) -> String,
}

impl Queue {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start(
        out: impl Write + Send + 'static,
        format: FormatFunction,
        tell: fn(u64) -> String,
    ) -> io::Result<Self> {
        let (lines, taken) = sync_channel(LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&taken, out))?;
        Ok(Queue {
            lines,
            format,
            left_out: AtomicU64::new(0),
            tell,
        })
    }

    /// Hands a line over; returns whether there was room.
    fn offer(&self, line: Vec<u8>) -> bool {
        match self.lines.try_send(Item::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    fn tell_left_out(&self) {
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 && !self.offer((self.tell)(left_out).into_bytes()) {
            self.left_out.fetch_add(left_out, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        self.tell_left_out();
        let mut line = Vec::new();
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if !self.offer(line) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            exposed::line_left_out();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.tell_left_out();
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Item::Flush(done)).is_ok() {
            // A reader that stalls costs the last lines, not the end.
            wait.recv_timeout(FLUSH).ok();
        }
        Ok(())
    }
}

fn write_all(taken: &Receiver<Item>, mut out: impl Write) {
    while let Ok(item) = taken.recv() {
        match item {
            // There is nowhere left to tell that the output is gone.
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
