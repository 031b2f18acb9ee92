//! Opens and writes real files: restarts after crashes, corruption and full disks.

use std::{
    fs,
    io::{self, Write as _},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc::{Receiver, channel},
    },
    time::Duration,
};

use base::{Incarnation, InstanceName};
use disk::{Folder, OpenOutcome, Opened, Report, SystemCalls, Writer, open};
use googletest::prelude::*;
use replog::{
    Blob, Entry, Index, Members, Output, Payload, Position, Record, Snapshot, Term, WriteNo,
};

/// Longest wait for a report of the writer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// A temporary folder, removed when dropped.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let path = format!("quetzalarch-disk-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(path);
        let _ = fs::remove_dir_all(&path);
        Dir(path)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn instance() -> InstanceName {
    "ctl-1".parse().expect("a name")
}

fn start(dir: &Path, incarnation: u64) -> Opened {
    open(dir, &instance(), Incarnation(incarnation)).expect("the folder opens")
}

fn writer(folder: Folder) -> (Writer, Receiver<Report>) {
    let (report, reports) = channel();
    let report = move |done| report.send(done).expect("the test listens");
    (Writer::start(folder, report).expect("a thread"), reports)
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        at: Position {
            term: Term(1),
            index: Index(index),
        },
        payload: Payload::Command(Blob::from(vec![7; 300])),
    })
}

fn write(no: u64, records: Vec<Record>) -> Output {
    let no = WriteNo(no);
    Output::Write { no, records }
}

/// Writes the initial membership and entries up to `last`, each with its own sync.
fn fill(dir: &Path, incarnation: u64, last: u64) {
    let (writer, reports) = writer(start(dir, incarnation).folder);
    let found = Record::Found(Members::default());
    assert_that!(writer.take(write(1, vec![found])), none());
    wait(&reports, 1);
    for index in 1..=last {
        assert_that!(writer.take(write(index + 1, vec![entry(index)])), none());
        wait(&reports, index + 1);
    }
}

fn wait(reports: &Receiver<Report>, no: u64) {
    let done = reports.recv_timeout(REPORT_TIMEOUT).expect("a report");
    assert_that!(done, eq(Report::Synced { upto: WriteNo(no) }));
}

fn log(dir: &Path) -> PathBuf {
    dir.join("log.1")
}

/// A control instance restarts after more than a thousand changes. All of them are
/// restored, with and without a snapshot, and its identity is unchanged.
#[test]
fn a_restart_finds_everything() {
    let dir = Dir::new("restart");
    fill(&dir.0, 5, 1_200);
    let opened = start(&dir.0, 6);
    assert_that!(opened.outcome, eq(&OpenOutcome::Intact));
    assert_that!(opened.folder.id().incarnation, eq(Incarnation(5)));
    assert_that!(opened.restored.last(), eq(Index(1_200)));
    let snapshot = Snapshot {
        at: Position {
            term: Term(1),
            index: Index(1_100),
        },
        members: Members::default(),
        data: Blob::from(vec![1; 5_000]),
    };
    let (writer, reports) = writer(opened.folder);
    let rewrite = Output::Rewrite {
        no: WriteNo(1),
        snapshot: snapshot.clone(),
        records: (1_101..=1_200).map(entry).collect(),
    };
    assert_that!(writer.take(rewrite), none());
    assert_that!(writer.take(write(2, vec![entry(1_201)])), none());
    wait(&reports, 1);
    wait(&reports, 2);
    drop(writer);
    let opened = start(&dir.0, 6);
    assert_that!(opened.restored.last(), eq(Index(1_201)));
    assert_that!(opened.restored.base, some(eq(&snapshot)));
    assert_that!(log(&dir.0).exists(), eq(false));
}

/// Power fails during a write. The replica restarts with everything it had acknowledged;
/// the torn record is truncated, and writing continues after it.
#[test]
fn a_torn_record_is_cut_off() {
    base::covers!(torn_tail);
    let dir = Dir::new("torn");
    fill(&dir.0, 5, 3);
    let raw = fs::read(log(&dir.0)).expect("a log");
    fs::write(log(&dir.0), &raw[..raw.len() - 100]).expect("a shorter log");
    let opened = start(&dir.0, 6);
    assert_that!(
        opened.outcome,
        matches_pattern!(OpenOutcome::Truncated { bytes: gt(&0) })
    );
    assert_that!(opened.restored.last(), eq(Index(2)));
    let (writer, reports) = writer(opened.folder);
    let vote = Record::Vote {
        term: Term(2),
        voted: None,
    };
    // Shorter than the torn record, none of which may remain after it.
    assert_that!(writer.take(write(1, vec![vote])), none());
    wait(&reports, 1);
    drop(writer);
    let opened = start(&dir.0, 6);
    assert_that!(opened.outcome, eq(&OpenOutcome::Intact));
    assert_that!(opened.restored.term, eq(Term(2)));
}

/// A disk returns a wrong byte in an old record, or the folder of another instance is
/// copied. Votes and acknowledgements can't be trusted, so the instance starts as a new
/// replica and keeps the old files for inspection.
#[test]
fn damage_makes_a_new_replica() {
    base::covers!(never_trust_damage);
    let dir = Dir::new("damage");
    fill(&dir.0, 5, 3);
    let mut raw = fs::read(log(&dir.0)).expect("a log");
    raw[200] ^= 1;
    fs::write(log(&dir.0), raw).expect("a changed log");
    let opened = start(&dir.0, 2);
    assert_that!(opened.folder.id().incarnation, eq(Incarnation(6)));
    assert_that!(opened.restored, eq(&replog::Restored::default()));
    let OpenOutcome::Replaced { kept, .. } = &opened.outcome else {
        panic!("{:?}", opened.outcome);
    };
    assert_that!(kept.join("log.1").exists(), eq(true));
    drop(opened);
    let other: InstanceName = "ctl-2".parse().expect("a name");
    let opened = open(&dir.0, &other, Incarnation(9)).expect("the folder opens");
    assert_that!(
        opened.outcome,
        matches_pattern!(OpenOutcome::Replaced { .. })
    );
    assert_that!(opened.folder.id().instance, eq(&other));
}

/// Two processes are started on one folder by mistake. The second one reports an error
/// and exits; otherwise both would vote under the same identity.
#[test]
fn two_processes_never_share_a_folder() {
    base::covers!(folder_locked);
    let dir = Dir::new("lock");
    let first = start(&dir.0, 5);
    assert_that!(open(&dir.0, &instance(), Incarnation(6)), err(anything()));
    drop(first);
    assert_that!(start(&dir.0, 6).folder.id().incarnation, eq(Incarnation(5)));
}

/// A sync fails, and the next one would succeed because the kernel has dropped the dirty
/// pages. The failure is reported once, and nothing is written after it.
#[test]
fn a_failed_sync_is_never_retried() {
    let dir = Dir::new("sync");
    let syncs = Arc::new(AtomicU32::new(0));
    let seen = Arc::clone(&syncs);
    let calls = SystemCalls {
        sync: Box::new(move |_| match seen.fetch_add(1, Ordering::SeqCst) {
            0 => Err(io::Error::other("no")),
            _ => Ok(()),
        }),
        ..SystemCalls::default()
    };
    let (writer, reports) = writer(start(&dir.0, 5).folder.with_calls(calls));
    assert_that!(writer.take(write(1, Vec::new())), none());
    let done = reports.recv_timeout(REPORT_TIMEOUT);
    assert_that!(done, ok(eq(Report::Failed { no: WriteNo(1) })));
    assert_that!(writer.take(write(2, Vec::new())), none());
    assert_that!(reports.recv_timeout(REPORT_TIMEOUT), err(anything()));
    assert_that!(syncs.load(Ordering::SeqCst), eq(1));
}

/// The disk fills up. The replica is notified, so that it rejects proposals; the write
/// waits without data loss and completes once there is space again.
#[test]
fn a_full_disk_waits() {
    let dir = Dir::new("full");
    let full = Arc::new(AtomicBool::new(true));
    let seen = Arc::clone(&full);
    let calls = SystemCalls {
        write: Box::new(move |file, raw| {
            if seen.load(Ordering::SeqCst) {
                file.write_all(&raw[..raw.len() / 2])?;
                return Err(io::ErrorKind::StorageFull.into());
            }
            file.write_all(raw)
        }),
        ..SystemCalls::default()
    };
    let (writer, reports) = writer(start(&dir.0, 5).folder.with_calls(calls));
    let found = Record::Found(Members::default());
    assert_that!(writer.take(write(1, vec![found, entry(1)])), none());
    let next = || reports.recv_timeout(REPORT_TIMEOUT).expect("a report");
    assert_that!(next(), eq(Report::Space { full: true }));
    full.store(false, Ordering::SeqCst);
    assert_that!(next(), eq(Report::Synced { upto: WriteNo(1) }));
    assert_that!(next(), eq(Report::Space { full: false }));
    drop(writer);
    let opened = start(&dir.0, 6);
    assert_that!(opened.outcome, eq(&OpenOutcome::Intact));
    assert_that!(opened.restored.last(), eq(Index(1)));
}
