//! Measures the time from opening a control instance's data folder to a replica that can
//! take its first input, by the number of changes in the log.

use std::{fs, hint::black_box, path::Path, sync::mpsc::channel};

use base::{Incarnation, InstanceName, Seed};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use disk::{Report, Writer, open};
use replog::{
    Blob, Entry, Index, Members, Output, Payload, Position, RawSettings, Record, Replica, Settings,
    Term, WriteNo,
};

/// Size of a configuration change: a few lines of the operators' text.
const CHANGE_BYTES: usize = 1_024;

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        at: Position {
            term: Term(1),
            index: Index(index),
        },
        payload: Payload::Command(Blob::from(vec![7; CHANGE_BYTES])),
    })
}

/// Writes `changes` entries, each with its own sync.
fn fill(dir: &Path, instance: &InstanceName, changes: u64) {
    let _ = fs::remove_dir_all(dir);
    let folder = open(dir, instance, Incarnation(1)).expect("opens").folder;
    let (report, reports) = channel();
    let writer = Writer::start(folder, move |done| report.send(done).expect("listens"));
    let writer = writer.expect("a thread");
    let found = Record::Found(Members::default());
    let first = std::iter::once(found);
    for (record, no) in first.chain((1..=changes).map(entry)).zip(1..) {
        let write = Output::Write {
            no: WriteNo(no),
            records: vec![record],
        };
        assert!(writer.take(write).is_none());
        let done = reports.recv().expect("a report");
        assert_eq!(done, Report::Synced { upto: WriteNo(no) });
    }
}

fn restart(dir: &Path, instance: &InstanceName) -> Replica {
    let opened = open(dir, instance, Incarnation(2)).expect("opens");
    let id = opened.folder.id().clone();
    let raw = RawSettings::with_defaults(id, vec![instance.clone()], Seed(1));
    let settings = Settings::try_from(raw).expect("usual settings");
    Replica::new(settings, opened.restored)
}

fn bench(c: &mut Criterion) {
    let instance: InstanceName = "ctl-1".parse().expect("a name");
    let dir = std::env::temp_dir().join(format!("quetzalarch-restart-{}", std::process::id()));
    let mut group = c.benchmark_group("restart");
    group.sample_size(20);
    for changes in [1_000, 10_000] {
        fill(&dir, &instance, changes);
        let id = BenchmarkId::from_parameter(changes);
        group.bench_function(id, |b| b.iter(|| black_box(restart(&dir, &instance))));
    }
    group.finish();
    let _ = fs::remove_dir_all(&dir);
}

criterion_group!(benches, bench);
criterion_main!(benches);
