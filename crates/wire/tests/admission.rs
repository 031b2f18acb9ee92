//! Messages of admission: what they hold arrives, and how large they are.

use base::AccountName;
use googletest::prelude::*;
use wire::admission::{AdmissionTold, Ended, Offered, Room};

/// Most bytes of an answer while a service is short: 16 accounts and three ranks.
const ANSWER_MAX: usize = 3_000;

/// Most bytes of an answer while it isn't.
const CALM_ANSWER_MAX: usize = 100;

#[gtest]
fn an_answer_arrives_as_sent_and_is_small() {
    let name = |n| AccountName::try_from(format!("account-{n}").as_str());
    let offered = (0..48).map(|n| Offered {
        service: "assistant".to_owned(),
        account: Some(name(n / 3).expect("it is a name")),
        rank: (n % 3) as u8,
        weight: 307_000,
        units: 120_000,
    });
    let room = Room {
        service: "assistant".to_owned(),
        zone: "north-a".to_owned(),
        slots: 456,
        running: 700,
        queued: 250,
    };
    let told = AdmissionTold {
        rooms: vec![room],
        offered: offered.collect(),
        ended: vec![Ended {
            service: "assistant".to_owned(),
            units: 1_000_000,
            requests: 600_000,
        }],
    };
    let raw = rmp_serde::to_vec(&told).unwrap();
    assert_that!(rmp_serde::from_slice::<AdmissionTold>(&raw), ok(eq(&told)));
    assert_that!(raw.len(), lt(ANSWER_MAX));
    let calm = AdmissionTold {
        rooms: told.rooms,
        ..AdmissionTold::default()
    };
    let calm = rmp_serde::to_vec(&calm).unwrap();
    println!(
        "{} bytes while short, {} bytes while not",
        raw.len(),
        calm.len()
    );
    assert_that!(calm.len(), lt(CALM_ANSWER_MAX));
}
