//! Drawn sequences of holders that come, grow, stall and go.

use std::{collections::BTreeMap, time::Duration};

use base::Bytes;
use googletest::prelude::*;
use proptest::prelude::{Strategy, prop_oneof, proptest};

use super::{Full, HolderId, Ledger, Quota, STALLED_AFTER, Share};

const QUOTA: Quota = Quota {
    bytes: Bytes(1_000),
    requests: 5,
};

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Begin(usize),
    Grow(usize, u64, bool),
    Progress(usize),
    Finish(usize),
    Close(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        proptest::prelude::Just(Step::Open),
        (0_usize..12).prop_map(Step::Begin),
        (0_usize..12, 0_u64..400, proptest::bool::ANY)
            .prop_map(|(at, more, large)| Step::Grow(at, more, large)),
        (0_usize..12).prop_map(Step::Progress),
        (0_usize..12).prop_map(Step::Finish),
        (0_usize..12).prop_map(Step::Close),
        (0_u64..400).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against an account that exceeds its limit, or that leaks what is given back.
    #[test]
    fn a_ledger_keeps_its_limit_and_leaks_nothing(steps in proptest::collection::vec(step(), 0..200)) {
        let mut ledger = Ledger::new(QUOTA);
        let mut held: BTreeMap<HolderId, u64> = BTreeMap::new();
        let mut now = Duration::ZERO;
        for step in steps {
            let nth = |at: usize| held.keys().copied().nth(at);
            let mut given_up = Ok(Vec::new());
            match step {
                Step::Open => {
                    held.insert(ledger.open(), 0);
                }
                Step::Begin(at) => {
                    if let Some(id) = nth(at) {
                        given_up = ledger.begin_request(now, id);
                    }
                }
                Step::Grow(at, more, large) => {
                    if let Some(id) = nth(at) {
                        let share = if large { Share::Large } else { Share::Ordinary };
                        given_up = ledger.grow(now, id, more, share);
                        if given_up.is_ok() {
                            *held.get_mut(&id).unwrap() += more;
                        }
                    }
                }
                Step::Progress(at) => {
                    if let Some(id) = nth(at) {
                        ledger.progress(now, id);
                    }
                }
                Step::Finish(at) => {
                    if let Some(id) = nth(at) {
                        ledger.finish(id);
                    }
                }
                Step::Close(at) => {
                    if let Some(id) = nth(at) {
                        ledger.close(id);
                        held.remove(&id);
                    }
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            for id in given_up.unwrap_or_default() {
                held.insert(id, 0);
            }
            assert_that!(ledger.bytes(), eq(Bytes(held.values().sum())));
            assert_that!(ledger.bytes(), le(QUOTA.bytes));
            assert_that!(ledger.requests(), le(QUOTA.requests));
        }
        for id in held.into_keys() {
            ledger.close(id);
        }
        assert_that!(ledger.bytes(), eq(Bytes(0)));
        assert_that!(ledger.requests(), eq(0));
    }
}

/// Guards against giving up what makes progress, or what is finished.
#[gtest]
fn only_what_has_stalled_is_given_up() {
    let mut ledger = Ledger::new(QUOTA);
    let [stalled, active, finished, newcomer] = [(); 4].map(|()| ledger.open());
    for id in [stalled, active, finished] {
        ledger
            .grow(Duration::ZERO, id, 300, Share::Ordinary)
            .unwrap();
    }
    ledger.progress(Duration::ZERO, stalled);
    ledger.progress(STALLED_AFTER, active);
    let given_up = ledger.grow(STALLED_AFTER, newcomer, 400, Share::Ordinary);
    expect_that!(given_up, ok(elements_are![eq(&stalled)]));
    let given_up = ledger.grow(STALLED_AFTER, newcomer, 300, Share::Ordinary);
    expect_that!(given_up, err(eq(&Full)));
}

/// Guards against large bodies that leave no room for ordinary requests.
#[gtest]
fn large_holders_leave_a_part_to_others() {
    let mut ledger = Ledger::new(QUOTA);
    let [large, small] = [(); 2].map(|()| ledger.open());
    ledger
        .grow(Duration::ZERO, large, 750, Share::Large)
        .unwrap();
    expect_that!(
        ledger.grow(Duration::ZERO, large, 1, Share::Large),
        err(eq(&Full))
    );
    expect_that!(
        ledger.grow(Duration::ZERO, small, 250, Share::Ordinary),
        ok(is_empty())
    );
}
