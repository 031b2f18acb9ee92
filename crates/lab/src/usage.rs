//! What a process uses while it runs: memory, bytes that wait in its sockets, descriptors.
//!
//! Read from `/proc`, so it tells nothing on systems without it.

use std::{
    collections::BTreeSet,
    fs,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use anyhow::{Context, Result};

/// Pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// State of a listening socket in `/proc/net/tcp`; its queue counts connections, not bytes.
const LISTENING: &str = "0A";

/// Inode in `/proc/net/tcp` of a connection that no process has accepted.
const UNACCEPTED: &str = "0";

/// What a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory and the bytes that wait unread in its sockets, in bytes.
    pub memory: u64,
    /// The part of it that waits unread, in bytes.
    pub unread: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads what the process `pid` uses now.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn of(pid: u32) -> Result<Usage> {
        let sockets = sockets(pid)?;
        let unread = unread(pid, &sockets.inodes)?;
        Ok(Usage {
            memory: resident(pid)? + unread,
            unread,
            descriptors: sockets.descriptors,
        })
    }

    fn peak(self, other: Usage) -> Usage {
        Usage {
            memory: self.memory.max(other.memory),
            unread: self.unread.max(other.unread),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Samples what a process uses until it is asked for the most.
#[derive(Debug)]
pub struct Watch {
    done: Arc<AtomicBool>,
    sampler: JoinHandle<Usage>,
}

impl Watch {
    /// Starts to watch the process `pid`.
    #[must_use]
    pub fn start(pid: u32) -> Watch {
        let done = Arc::new(AtomicBool::new(false));
        let at_sampler = Arc::clone(&done);
        let sampler = thread::spawn(move || {
            let mut peak = Usage::default();
            while !at_sampler.load(Ordering::Relaxed) {
                // A process that has ended uses nothing more.
                peak = peak.peak(Usage::of(pid).unwrap_or_default());
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Watch { done, sampler }
    }

    /// Ends the watch and returns the most of each that was seen at any time.
    ///
    /// # Panics
    ///
    /// Panics if the sampling thread has.
    #[must_use]
    pub fn peak(self) -> Usage {
        self.done.store(true, Ordering::Relaxed);
        self.sampler.join().expect("the sampler doesn't panic")
    }
}

/// The descriptors of a process.
struct Sockets {
    inodes: BTreeSet<String>,
    descriptors: usize,
}

fn sockets(pid: u32) -> Result<Sockets> {
    let mut found = Sockets {
        inodes: BTreeSet::new(),
        descriptors: 0,
    };
    for entry in fs::read_dir(format!("/proc/{pid}/fd"))? {
        found.descriptors += 1;
        // It may have been closed since.
        let target = fs::read_link(entry?.path()).unwrap_or_else(|_| PathBuf::new());
        let target = target.to_string_lossy().into_owned();
        let inode = target.strip_prefix("socket:[");
        if let Some(inode) = inode.and_then(|rest| rest.strip_suffix(']')) {
            found.inodes.insert(inode.to_owned());
        }
    }
    Ok(found)
}

fn resident(pid: u32) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.context("the process has ended")?;
    let kib: u64 = kib.trim().trim_end_matches(" kB").trim().parse()?;
    Ok(kib << 10)
}

/// One line of `/proc/net/tcp`.
struct Row<'a> {
    local: &'a str,
    state: &'a str,
    unread: u64,
    inode: &'a str,
}

/// Returns the bytes that wait unread in the sockets `inodes`, and in connections to their
/// listeners that aren't accepted yet.
fn unread(pid: u32, inodes: &BTreeSet<String>) -> Result<u64> {
    let table = fs::read_to_string(format!("/proc/{pid}/net/tcp"))?;
    let rows: Vec<Row<'_>> = table.lines().skip(1).filter_map(row).collect();
    let listeners = rows
        .iter()
        .filter(|row| row.state == LISTENING && inodes.contains(row.inode));
    let listeners: BTreeSet<&str> = listeners.map(|row| row.local).collect();
    let own = rows.iter().filter(|row| {
        let waits = row.inode == UNACCEPTED && listeners.contains(row.local);
        row.state != LISTENING && (waits || inodes.contains(row.inode))
    });
    Ok(own.map(|row| row.unread).sum())
}

fn row(line: &str) -> Option<Row<'_>> {
    let mut fields = line.split_whitespace();
    let local = fields.nth(1)?;
    let state = fields.nth(1)?;
    let (_, unread) = fields.next()?.split_once(':')?;
    let inode = fields.nth(4)?;
    Some(Row {
        local,
        state,
        unread: u64::from_str_radix(unread, 16).ok()?,
        inode,
    })
}
