//! How a control instance says that it doesn't know what runs.

use googletest::prelude::*;
use wire::fleet::Synced;

/// First byte of an encoded struct of 13 fields.
const THIRTEEN_FIELDS: u8 = 0x9d;

/// Guards against a message that instances of the build before can't read.
#[gtest]
fn an_answer_without_what_runs_has_the_same_fields() {
    let known = Synced::default();
    let mut unknown = Synced {
        running: vec![("e1".to_owned(), 3)],
        ..Synced::default()
    };
    unknown.set_running_unknown();
    for (synced, knows) in [(&known, true), (&unknown, false)] {
        let raw = rmp_serde::to_vec(synced).unwrap();
        assert_that!(raw[0], eq(THIRTEEN_FIELDS));
        let read: Synced = rmp_serde::from_slice(&raw).unwrap();
        expect_that!(&read, eq(synced));
        expect_that!(read.knows_running(), eq(knows));
    }
}
