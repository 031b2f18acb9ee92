//! The bounded queue of log lines for standard output.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Instant,
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use googletest::prelude::*;
use log::{Level, Record};

use super::{QUEUE_CAPACITY, Queue};

/// An output that blocks each write until the test sends on `go` or drops the sender.
struct Stalled {
    go: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, raw: &[u8]) -> io::Result<usize> {
        self.go.recv().ok();
        self.written.lock().unwrap().extend_from_slice(raw);
        Ok(raw.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn plain(out: &mut dyn Write, _: &mut DeferredNow, record: &Record) -> io::Result<()> {
    write!(out, "{}", record.args())
}

fn start() -> (Queue, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (go, wait) = channel();
    let written = Arc::default();
    let out = Stalled {
        go: wait,
        written: Arc::clone(&written),
    };
    let queue = Queue::start(out, plain, |n| format!("left out {n}\n")).unwrap();
    (queue, go, written)
}

fn line(queue: &Queue, text: &str) {
    let mut now = DeferredNow::new();
    let args = format_args!("{text}");
    let record = Record::builder().args(args).level(Level::Info).build();
    queue.write(&mut now, &record).unwrap();
}

/// The reader of standard output stalls for good: writing log lines must not block
/// the process and its requests.
#[gtest]
fn a_stalled_reader_holds_nobody_up() {
    let (queue, _go, _) = start();
    let began = Instant::now();
    for n in 0..QUEUE_CAPACITY * 4 {
        line(&queue, &format!("line {n}"));
    }
    // 10 s is far more than queueing the lines takes; a blocked write would never return.
    assert_that!(began.elapsed().as_secs(), lt(10));
}

/// Lines are dropped while the reader stalls; their number is logged afterwards.
#[gtest]
fn what_was_left_out_is_told() {
    let (queue, go, written) = start();
    for n in 0..QUEUE_CAPACITY + 11 {
        line(&queue, &format!("line {n}"));
    }
    drop(go);
    while queue.flush().is_err() || written.lock().unwrap().len() < 1_000 {}
    line(&queue, "after");
    queue.flush().unwrap();
    let written = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert_that!(written, contains_regex("left out (9|10|11)\n"));
    assert_that!(written, contains_substring("after\n"));
}
