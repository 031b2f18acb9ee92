//! The router's explanation names the target that it would choose, and changes nothing.

use base::{
    AdapterKey, AdapterNo, BrandNo, Class, Fence, Incarnation, TargetNo, Time, Tokens, Version,
    stable_hash,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{Eligibility, PoolNo, RequestSpec, Residents, Router, RouterUpdate, Target, ZoneNo};

const ENGINES: u32 = 4;
const NOW: Time = Time(1_000_000);

fn key(adapter: u32) -> AdapterKey {
    AdapterKey {
        adapter: AdapterNo(adapter),
        version: Version(1),
    }
}

fn spec(adapter: Option<u32>) -> RequestSpec {
    RequestSpec {
        pool: PoolNo(u32::from(adapter.is_none())),
        key: adapter.map(key),
        brand: BrandNo(0),
        class: Class::Live,
        prefix: 0,
        tokens: Tokens(16),
        deadline: Time(9_000_000),
    }
}

fn target(i: u32) -> Target {
    let plain = i >= ENGINES;
    Target {
        target: TargetNo(i),
        pool: PoolNo(u32::from(plain)),
        zone: ZoneNo(i % 2),
        hash: stable_hash(&[b"target", &[i as u8]]),
        incarnation: Incarnation(1),
        batch: 8,
        slots: if plain { 0 } else { 4 },
    }
}

/// Returns a router with a pool of engines and one of plain targets; adapter 0 is
/// resident on engine 2.
fn router() -> Router {
    let mut router = Router::new(ZoneNo(0), 7);
    for adapter in 0..2 {
        let hash = stable_hash(&[&[adapter as u8]]);
        let adapter = AdapterNo(adapter);
        router.apply(NOW, RouterUpdate::Adapter { adapter, hash });
    }
    for i in 0..2 * ENGINES {
        router.apply(NOW, RouterUpdate::Target(target(i)));
    }
    let residents = Residents {
        target: TargetNo(2),
        fence: Fence(1),
        full: true,
        added: vec![key(0)],
        removed: Vec::new(),
        running: 0,
        queued: 0,
        evict_cost: 0,
    };
    router.apply(NOW, RouterUpdate::Residents(residents));
    router
}

#[test]
fn the_explained_target_is_the_chosen_one() {
    for (query, holds) in [(spec(Some(0)), true), (spec(Some(1)), false)] {
        let mut router = router();
        let explanation = router.explain(NOW, &query);
        let chosen = router.choose(NOW, &query, &[]).unwrap();
        assert_that!(explanation.next, some(eq(chosen.target)));
        assert_that!(chosen.resident, eq(holds));
        let mut candidates = explanation.candidates.iter();
        let next = candidates.find(|c| c.target == chosen.target).unwrap();
        assert_that!(next.holds, eq(holds));
        assert_that!(explanation.candidates.len(), eq(ENGINES as usize));
    }
}

/// Guards against an explanation that differs from the choice where the request itself makes an
/// adapter busy enough for one more copy, or where targets are equally loaded.
#[test]
fn what_is_explained_is_what_is_chosen() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for no in 0..10_000 {
        let mut router = router();
        for target in 0..2 * ENGINES {
            let target = TargetNo(target);
            for _ in 0..rng.random_range(0..8) {
                router.apply(NOW, RouterUpdate::AttemptSent(target));
            }
            if rng.random_bool(0.1) {
                router.apply(NOW, RouterUpdate::Reachable(target, false));
            }
        }
        let query = spec([None, Some(0), Some(1)][rng.random_range(0..3)]);
        for _ in 0..rng.random_range(0..4) {
            let _ = router.choose(NOW, &query, &[]);
        }
        let explained = router.explain(NOW, &query).next;
        let chosen = router.choose(NOW, &query, &[]).ok();
        assert_that!(
            explained,
            eq(chosen.map(|chosen| chosen.target)),
            "no. {no}"
        );
    }
}

/// Guards against queries counted as demand: an operator who asks about an unused adapter
/// repeatedly would make it look busy, and it would evict others.
#[test]
fn an_explanation_changes_no_choice() {
    let (mut explained, mut control) = (router(), router());
    for i in 0..200 {
        let spec = spec([None, Some(0), Some(1)][i % 3]);
        let at = Time(NOW.0 + i as u64 * 10_000);
        for _ in 0..5 {
            let _ = explained.explain(at, &spec);
        }
        let both = [&mut explained, &mut control].map(|r| r.choose(at, &spec, &[]).unwrap());
        assert_that!(both[0], eq(both[1]));
    }
}

#[test]
fn a_target_that_may_not_be_chosen_has_a_reason() {
    let mut router = router();
    router.apply(NOW, RouterUpdate::Leaving(TargetNo(2)));
    router.apply(NOW, RouterUpdate::Reachable(TargetNo(1), false));
    let ended = RouterUpdate::AttemptEnded {
        target: TargetNo(0),
        ok: false,
    };
    for _ in 0..4 {
        router.apply(NOW, RouterUpdate::AttemptSent(TargetNo(0)));
        router.apply(NOW, ended.clone());
    }
    let explanation = router.explain(NOW, &spec(Some(0)));
    let eligibility = |no| {
        let mut candidates = explanation.candidates.iter();
        candidates
            .find(|c| c.target == TargetNo(no))
            .unwrap()
            .eligibility
    };
    assert_that!(eligibility(0), eq(Eligibility::Ejected));
    assert_that!(eligibility(1), eq(Eligibility::Unreachable));
    assert_that!(eligibility(2), eq(Eligibility::Leaving));
    assert_that!(explanation.next, some(eq(TargetNo(3))));
}
