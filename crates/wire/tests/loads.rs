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

/// Guards against a silent store: an instance of another build must find each field of what an
/// owner says at its place.
#[test]
fn what_an_owner_says_of_the_store_is_read_by_position() {
    let said = wire::store::StoreUse {
        instance: "c1".parse().unwrap(),
        zones: vec!["za".to_owned()],
        loading: 1,
        waiting: 2,
        claim: 3,
        window: 4,
    };
    let raw = rmp_serde::to_vec(&said).unwrap();
    let fields: (String, Vec<String>, u32, u32, u32, u32) = rmp_serde::from_slice(&raw).unwrap();
    assert_that!(
        fields,
        eq(&("c1".to_owned(), vec!["za".to_owned()], 1, 2, 3, 4))
    );
    assert_that!(raw.len(), le(16));
}
