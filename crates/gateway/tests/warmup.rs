//! Whether a restarted entry instance already knows its targets.

use std::time::Duration;

use base::Time;
use gateway::warmup::Warmup;
use googletest::prelude::*;
use wire::fleet::Target;

const NOW: Time = Time(1_000_000);

fn target(zone: &str) -> Target {
    Target {
        id: "a".to_owned(),
        service: "s".to_owned(),
        addr: "a:1".to_owned(),
        zone: zone.to_owned(),
        slots: 1,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: Vec::new(),
        limit: None,
    }
}

fn warmup() -> Warmup {
    Warmup::new(NOW, &["za".to_owned(), "zb".to_owned()])
}

/// All processes restart. The owner of a zone answers before it has read its list of
/// targets; callers were told that there are none.
#[gtest]
fn an_owner_without_targets_does_not_end_warmup() {
    let mut warmup = warmup();
    warmup.heard(&[]);
    warmup.heard(&[target("za")]);
    assert_that!(warmup.pending(NOW), eq(true));
    warmup.heard(&[target("zb")]);
    assert_that!(warmup.pending(NOW), eq(false));
}

/// A zone is cut off for long. Callers of services that only it has must not be kept
/// waiting for it.
#[gtest]
fn a_silent_zone_is_given_up() {
    let warmup = warmup();
    assert_that!(warmup.pending(NOW + Duration::from_secs(2)), eq(true));
    assert_that!(warmup.pending(NOW + Duration::from_secs(4)), eq(false));
}
