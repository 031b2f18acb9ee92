//! Messages about crashing requests beside instances of earlier builds.

use base::Fingerprint;
use googletest::prelude::*;
use wire::{
    fleet::{Sync, Synced},
    quarantine::{CrashReport, Quarantine},
};

/// First byte of an encoded struct of 15 fields.
const FIFTEEN_FIELDS: u8 = 0x9f;

/// First byte of an encoded struct of 13 fields.
const THIRTEEN_FIELDS: u8 = 0x9d;

/// Guards against messages that an instance of an earlier build refuses, as they have one
/// field more: fields are encoded by position, and their number is checked.
#[test]
fn empty_reports_are_left_out() {
    let sync = rmp_serde::to_vec(&Sync::default()).unwrap();
    let synced = rmp_serde::to_vec(&Synced::default()).unwrap();
    assert_that!((sync[0], synced[0]), eq((FIFTEEN_FIELDS, THIRTEEN_FIELDS)));
    assert_that!(
        rmp_serde::from_slice::<Sync>(&sync),
        ok(eq(&Sync::default()))
    );
    assert_that!(
        rmp_serde::from_slice::<Synced>(&synced),
        ok(eq(&Synced::default()))
    );
}

#[test]
fn reports_arrive_as_sent() {
    let sync = Sync {
        crashes: Box::new(CrashReport {
            answered: vec![Fingerprint::of(&[b"one"])],
            ..CrashReport::default()
        }),
        ..Sync::default()
    };
    let synced = Synced {
        quarantine: Quarantine {
            last: 7,
            ..Quarantine::default()
        },
        ..Synced::default()
    };
    let sent = (sync, synced);
    let raw = rmp_serde::to_vec(&sent).unwrap();
    assert_that!(rmp_serde::from_slice::<(Sync, Synced)>(&raw), ok(eq(&sent)));
}
