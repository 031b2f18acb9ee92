//! What a decision costs.

use std::time::{Duration, Instant};

use admission::{Ask, Gate};
use base::{AccountName, Seed, Time};
use googletest::prelude::*;
use wire::admission::{AdmissionTold, Ended, Offered, Room};

const ACCOUNTS: usize = 16;
const RANKS: u8 = 3;
const ZONES: usize = 6;

/// Most time of one decision.
const DECISION: Duration = Duration::from_micros(10);

/// Most time of computing the parts anew, which happens some times a second.
const UPDATE: Duration = Duration::from_millis(1);

fn told(accounts: &[AccountName]) -> AdmissionTold {
    let room = |zone| Room {
        service: "llm".to_owned(),
        zone: format!("zone-{zone}"),
        slots: 1_200,
        running: 1_800,
        queued: 600,
    };
    let offered = accounts.iter().flat_map(|account| {
        (0..RANKS).map(|rank| Offered {
            service: "llm".to_owned(),
            account: Some(account.clone()),
            rank,
            weight: 1_000,
            units: 5_000,
        })
    });
    AdmissionTold {
        rooms: (0..ZONES).map(room).collect(),
        offered: offered.collect(),
        ended: vec![Ended {
            service: "llm".to_owned(),
            units: 150_000,
            requests: 200_000,
        }],
    }
}

/// Returns the least mean time of several batches: others use the machine as well.
fn least(batches: u32, count: u32, mut work: impl FnMut(u32)) -> Duration {
    let batch = (0..batches).map(|_| {
        let begun = Instant::now();
        (0..count).for_each(&mut work);
        begun.elapsed() / count
    });
    batch.min().expect("there are batches")
}

#[gtest]
fn a_decision_takes_some_microseconds() {
    let accounts = (0..ACCOUNTS).map(|n| AccountName::try_from(format!("a{n}").as_str()));
    let accounts: Vec<_> = accounts.map(|name| name.expect("it is a name")).collect();
    let mut gate: Gate<u8> = Gate::new("e1".parse().expect("it is a name"), Seed(1));
    let news = told(&accounts);
    let update = least(10, 20, |_| {
        gate.told(Time::from_millis(1), 1, news.clone());
    });
    let decision = least(20, 2_000, |n| {
        let ask = Ask {
            service: "llm",
            account: Some(&accounts[n as usize % ACCOUNTS]),
            weight: 1_000,
            rank: (n % u32::from(RANKS)) as u8,
            units: Some(700),
            left: Duration::from_secs(10),
        };
        gate.offer(Time::from_millis(2), &ask, || u64::from(n)).ok();
    });
    println!("decision {decision:?}, parts {update:?}");
    assert_that!(decision, lt(DECISION));
    assert_that!(update, lt(UPDATE));
}
