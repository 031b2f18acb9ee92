//! Numbers of loads elsewhere in a message that instances of earlier builds read.

use googletest::prelude::*;
use wire::fleet::{LoadsElsewhere, Sync};

/// First byte of an encoded struct of 15 fields.
const FIFTEEN_FIELDS: u8 = 0x9f;

/// Guards against a message that nobody can read: an entry instance that doesn't know the loads
/// elsewhere left a field out before others, so none of its messages was read while it started.
#[test]
fn a_message_has_the_same_fields_whether_loads_are_known_or_not() {
    let loads = LoadsElsewhere {
        adapters: 7,
        models: 3,
    };
    for known in [None, Some(u32::from(loads))] {
        let sync = Sync {
            loading_elsewhere: known,
            ..Sync::default()
        };
        let raw = rmp_serde::to_vec(&sync).unwrap();
        assert_that!(raw[0], eq(FIFTEEN_FIELDS));
        assert_that!(rmp_serde::from_slice::<Sync>(&raw), ok(eq(&sync)));
    }
}

#[test]
fn both_numbers_arrive() {
    for (adapters, models) in [(0, 0), (7, 0), (0, 3), (65_535, 65_535)] {
        let loads = LoadsElsewhere { adapters, models };
        assert_that!(LoadsElsewhere::from(u32::from(loads)), eq(loads));
    }
    // What an earlier build says counts as adapters.
    assert_that!(LoadsElsewhere::from(9).adapters, eq(9));
}
