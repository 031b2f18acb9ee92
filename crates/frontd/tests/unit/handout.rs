//! Which editions are kept for entry instances.

use googletest::prelude::*;
use wire::fleet::{Edition, PART_SIZE};

use super::{Handout, KEPT};

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
    handout.keep(&edition(1));
    handout.keep(&edition(2));
    let part = handout.part(1, PART_SIZE as u64);
    assert_that!(part.map(|part| part.number), some(eq(1)));
    assert_that!(handout.newest(), some(eq(2)));
}

#[gtest]
fn no_more_than_a_few_editions_are_kept() {
    let mut handout = Handout::default();
    let count = KEPT as u64 + 1;
    for number in 1..=count {
        handout.keep(&edition(number));
    }
    assert_that!(handout.part(1, 0), none());
    assert_that!(handout.part(2, 0), some(anything()));
}

#[gtest]
fn what_is_no_part_is_not_kept_as_one() {
    let mut handout = Handout::default();
    handout.keep(&edition(1));
    assert_that!(handout.part(1, 17), none());
    assert_that!(handout.part(1, u64::MAX), none());
    assert_that!(handout.kept[0].parts.len(), eq(0));
}
