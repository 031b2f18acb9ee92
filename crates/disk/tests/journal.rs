//! Writes and reads journals on real files: restarts, torn records, full segments.

use std::{fs, path::Path};

use disk::Journal;
use googletest::prelude::*;

const NAME: &str = "streams";

fn write(dir: &Path, records: &[&str]) {
    let (journal, _) = Journal::open(dir, NAME).unwrap();
    for record in records {
        journal.append(record.as_bytes().to_vec());
    }
}

fn read(dir: &Path) -> Vec<String> {
    let (_journal, records) = Journal::open(dir, NAME).unwrap();
    let records = records.into_iter();
    records.map(|raw| String::from_utf8(raw).unwrap()).collect()
}

/// Guards against records that are lost when a process stops or starts.
#[gtest]
fn records_outlast_restarts() {
    let dir = tempfile::tempdir().unwrap();
    expect_that!(read(dir.path()), is_empty());
    write(dir.path(), &["a", "bc"]);
    write(dir.path(), &["d"]);
    expect_that!(read(dir.path()), eq(&["a", "bc", "d"]));
}

fn check_damaged((damage, left): (fn(&mut Vec<u8>), &[&str])) {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path(), &["first", "second"]);
    let file = dir.path().join("streams.0");
    let mut raw = fs::read(&file).unwrap();
    damage(&mut raw);
    fs::write(&file, raw).unwrap();
    assert_that!(read(dir.path()), eq(left));
    write(dir.path(), &["third"]);
    assert_that!(read(dir.path()).last().unwrap(), eq("third"));
    assert_that!(read(dir.path()).len(), eq(left.len() + 1));
}

base::cases! {
    /// Guards against a record that is read other than it was written, and against one that
    /// can't be read behind a damaged one.
    damaged_records_are_left_out: check_damaged => {
        torn: (|raw| raw.truncate(raw.len() - 1), &["first"]),
        torn_head: (|raw| raw.truncate(raw.len() - 10), &["first"]),
        changed: (|raw| *raw.last_mut().unwrap() ^= 1, &["first"]),
        zeroes: (|raw| raw.extend([0; 64]), &["first", "second"]),
        noise: (|raw| raw.extend([255; 64]), &["first", "second"]),
        empty: (|raw| raw.clear(), &[]),
    }
}

/// Guards against a journal that grows without end.
#[gtest]
fn two_segments_are_kept() {
    let dir = tempfile::tempdir().unwrap();
    let large = "x".repeat(3 << 20);
    for _ in 0..8 {
        write(dir.path(), &[&large, "small"]);
    }
    let kept = fs::read_dir(dir.path()).unwrap().count();
    expect_that!(kept, eq(2));
    let records = read(dir.path());
    expect_that!(records.len(), ge(2));
    expect_that!(records.last().unwrap(), eq("small"));
}
