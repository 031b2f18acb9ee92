//! Which editions are kept for entry instances.

use base::Time;
use googletest::prelude::*;
use wire::fleet::{Edition, PART_SIZE};

use super::{Handout, KEPT, KEPT_MOST};

const NOW: Time = Time(10_000_000);

fn edition(number: u64) -> Edition {
    Edition {
        number,
        body: "host /prefix/ service\n".repeat(PART_SIZE / 8),
    }
}

/// A control instance dies while entry instances get an edition from it, and a newer
/// one is published. The others can go on with what was begun, though nobody had asked
/// them for it.
#[gtest]
fn an_edition_is_kept_when_a_newer_one_comes() {
    let mut handout = Handout::default();
    handout.keep(NOW, &edition(1));
    handout.keep(NOW, &edition(2));
    let part = handout.part(NOW, 1, PART_SIZE as u64);
    assert_that!(part.map(|part| part.number), some(eq(1)));
    assert_that!(handout.newest(), some(eq(2)));
}

/// Changes follow each other faster than a thin link carries one edition. What is being
/// got is there until it is whole, however many newer ones have come.
#[gtest]
fn an_edition_that_is_being_got_outlasts_many_newer_ones() {
    let mut handout = Handout::default();
    let mut now = NOW;
    handout.keep(now, &edition(1));
    for number in 2..40 {
        now = now + KEPT / 2;
        expect_that!(handout.part(now, 1, 0), some(anything()));
        handout.keep(now, &edition(number));
    }
    expect_that!(handout.part(now, 2, 0), none());
}

/// Large configurations are sent one after the other. Had all been kept for whoever may
/// ask, the process would run out of memory.
#[gtest]
fn editions_that_are_kept_take_a_bounded_number_of_bytes() {
    let mut handout = Handout::default();
    let count = 2 * KEPT_MOST.get() / edition(1).body.len() as u64;
    let mut most = 0;
    for number in 1..=count {
        handout.keep(NOW, &edition(number));
        most = most.max(handout.bytes());
    }
    let one = edition(1).body.len() as u64;
    assert_that!(most, le(KEPT_MOST.get() + one));
    assert_that!(handout.newest(), some(eq(count)));
}

/// Nobody gets an edition any more. It goes with the next change.
#[gtest]
fn an_edition_that_nobody_asks_for_goes() {
    let mut handout = Handout::default();
    handout.keep(NOW, &edition(1));
    handout.keep(NOW + KEPT, &edition(2));
    assert_that!(handout.part(NOW, 1, 0), none());
    assert_that!(handout.part(NOW, 2, 0), some(anything()));
}

#[gtest]
fn what_is_no_part_is_not_kept_as_one() {
    let mut handout = Handout::default();
    handout.keep(NOW, &edition(1));
    assert_that!(handout.part(NOW, 1, 17), none());
    assert_that!(handout.part(NOW, 1, u64::MAX), none());
    assert_that!(handout.kept[0].parts.len(), eq(0));
}
