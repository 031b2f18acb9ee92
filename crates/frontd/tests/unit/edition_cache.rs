//! Which editions are kept for entry instances.

use base::Time;
use googletest::prelude::*;
use wire::fleet::{Edition, PART_SIZE};

use super::{EditionCache, MAX_CACHED, RETENTION};

const NOW: Time = Time(10_000_000);

fn edition(number: u64) -> Edition {
    Edition {
        number,
        body: "host /prefix/ service\n".repeat(PART_SIZE / 8),
    }
}

/// A control instance dies while entry instances download an edition from it, and a newer
/// one is published. The download continues from another instance, although no one has
/// requested the edition from that one before.
#[gtest]
fn an_edition_is_kept_when_a_newer_one_comes() {
    let mut cache = EditionCache::default();
    cache.insert(NOW, &edition(1));
    cache.insert(NOW, &edition(2));
    let part = cache.part(NOW, 1, PART_SIZE as u64);
    assert_that!(part.map(|part| part.number), some(eq(1)));
    assert_that!(cache.newest(), some(eq(2)));
}

/// Changes are made faster than a slow link carries one edition. An edition that is being
/// downloaded is kept until it is complete, however many newer ones follow.
#[gtest]
fn an_edition_that_is_being_downloaded_outlasts_many_newer_ones() {
    let mut cache = EditionCache::default();
    let mut now = NOW;
    cache.insert(now, &edition(1));
    for number in 2..40 {
        now = now + RETENTION / 2;
        expect_that!(cache.part(now, 1, 0), some(anything()));
        cache.insert(now, &edition(number));
    }
    expect_that!(cache.part(now, 2, 0), none());
}

/// Guards against running out of memory when large configurations are published one after
/// the other.
#[gtest]
fn editions_that_are_kept_take_a_bounded_number_of_bytes() {
    let mut cache = EditionCache::default();
    let count = 2 * MAX_CACHED.get() / edition(1).body.len() as u64;
    let mut most = 0;
    for number in 1..=count {
        cache.insert(NOW, &edition(number));
        most = most.max(cache.bytes());
    }
    let one = edition(1).body.len() as u64;
    assert_that!(most, le(MAX_CACHED.get() + one));
    assert_that!(cache.newest(), some(eq(count)));
}

/// An edition that is no longer requested is evicted with the next change.
#[gtest]
fn an_edition_that_nobody_asks_for_goes() {
    let mut cache = EditionCache::default();
    cache.insert(NOW, &edition(1));
    cache.insert(NOW + RETENTION, &edition(2));
    assert_that!(cache.part(NOW, 1, 0), none());
    assert_that!(cache.part(NOW, 2, 0), some(anything()));
}

#[gtest]
fn an_offset_that_begins_no_part_is_not_cached() {
    let mut cache = EditionCache::default();
    cache.insert(NOW, &edition(1));
    assert_that!(cache.part(NOW, 1, 17), none());
    assert_that!(cache.part(NOW, 1, u64::MAX), none());
    assert_that!(cache.editions[0].parts.len(), eq(0));
}
