//! Whether hedges give way, by what a gate knows of the rooms of all zones and of what is
//! refused.

use std::time::Duration;

use admission::Gate;
use base::{AccountName, Seed, Time};
use googletest::prelude::*;
use wire::admission::{AdmissionTold, Ended, Offered, Room};

const SERVICE: &str = "llm";

fn room(zone: &str, running: u32) -> Room {
    Room {
        service: SERVICE.to_owned(),
        zone: zone.to_owned(),
        slots: 100,
        running,
        queued: 0,
    }
}

fn offered(rank: u8, units: u64) -> Offered {
    Offered {
        service: SERVICE.to_owned(),
        account: Some(AccountName::try_from("x").expect("it is a name")),
        rank,
        weight: 1,
        units,
    }
}

/// Returns what a control instance tells whose two zones run so many requests, while 200 units a
/// second end.
fn told(running: [u32; 2], offered: Vec<Offered>) -> AdmissionTold {
    let [a, b] = running;
    AdmissionTold {
        rooms: vec![room("a", a), room("b", b)],
        offered,
        ended: vec![Ended {
            service: SERVICE.to_owned(),
            units: 200,
            requests: 200_000,
        }],
    }
}

/// Returns whether ranks 0, 1 and 2 of a service are pressed so long after this was told, which
/// follows a shortage in which rank 2 alone is refused, if one is given.
fn pressed(service: &str, told: [Option<AdmissionTold>; 2], after: Duration) -> [bool; 3] {
    let mut gate: Gate<u8> = Gate::new("e1".parse().expect("it is a name"), Seed(1));
    for told in told.into_iter().flatten() {
        gate.told(Time::ZERO, 1, told);
    }
    let now = Time::ZERO + after;
    gate.expire(now);
    [0, 1, 2].map(|rank| gate.is_pressed(now, service, rank))
}

fn check((running, before, after_ms, expected): ([u32; 2], Option<[u64; 3]>, u64, [bool; 3])) {
    let offers = |units: [u64; 3]| (0..).zip(units).map(|(rank, u)| offered(rank, u)).collect();
    let begun = before.map(|units| told([150, 110], offers(units)));
    let then = told(running, before.map(offers).unwrap_or_default());
    let after = Duration::from_millis(after_ms);
    let told = [begun, Some(then)];
    assert_that!(pressed(SERVICE, told.clone(), after), eq(expected));
    assert_that!(pressed("other", told, after), eq([false; 3]));
}

/// What is offered while a service is short: ranks 0 and 1 are let in, rank 2 in part.
const LAST_REFUSED: Option<[u64; 3]> = Some([50, 50, 900]);

/// Rank 0 alone is more than there is room for.
const ALL_REFUSED: Option<[u64; 3]> = Some([900, 50, 50]);

base::cases! {
    /// Guards against hedges that take places which others of the same or a more urgent rank wait
    /// for, and against hedges that give way to less urgent ones or to nobody.
    hedges_give_way_to_their_own_rank_and_more_urgent_ones: check => {
        places_free: ([60, 60], None, 0, [false; 3]),
        one_zone_full: ([110, 60], None, 0, [false; 3]),
        more_than_places: ([110, 100], None, 0, [true; 3]),
        forgotten: ([110, 100], None, 3_100, [false; 3]),
        last_rank_refused: ([100, 90], LAST_REFUSED, 0, [false, false, true]),
        refused_and_forgotten: ([100, 90], LAST_REFUSED, 10_000, [false; 3]),
        all_ranks_refused: ([100, 90], ALL_REFUSED, 0, [true; 3]),
    }
}

#[gtest]
fn nothing_is_pressed_where_nothing_is_told() {
    assert_that!(
        pressed(SERVICE, [None, None], Duration::ZERO),
        eq([false; 3])
    );
}
