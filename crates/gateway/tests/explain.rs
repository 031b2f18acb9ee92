//! What is explained of a choice is what is chosen, and asking changes nothing.

use std::{collections::BTreeSet, time::Duration};

use base::{PerSecond, Seed, SoftwareVersion, Time};
use gateway::{
    explain::{Part, Passed, Weighed, explain},
    view::{Choice, View},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use wire::fleet::{Resident, Target};

const NOW: Time = Time(60_000_000);
const SERVICE: &str = "s";
const ZONES: [&str; 3] = ["za", "zb", "zc"];
const ADAPTERS: [&str; 4] = ["", "m/x", "m/y", "m/gone"];

fn target(id: &str, zone: &str, adapters: &[(&str, u32, u64)]) -> Target {
    let residents = adapters.iter().map(|(adapter, version, ms)| Resident {
        adapter: (*adapter).to_owned(),
        version: *version,
        ready_in: Duration::from_millis(*ms),
    });
    Target {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: format!("{id}:1"),
        zone: zone.to_owned(),
        slots: 10,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: residents.collect(),
        limit: None,
    }
}

fn zones() -> Vec<String> {
    ZONES.map(str::to_owned).to_vec()
}

/// One state and request.
struct Drawn {
    view: View,
    now: Time,
    adapter: &'static str,
    tried: BTreeSet<String>,
    wanted: Option<SoftwareVersion>,
}

impl Drawn {
    fn new(seed: u64) -> Drawn {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut view = View::new("za", Seed(seed));
        view.set_tight(seed.is_multiple_of(2));
        let ids: Vec<_> = (0..rng.random_range(0..9))
            .map(|n| format!("e{n}"))
            .collect();
        let targets = ids.iter().map(|id| {
            let mut held = Vec::new();
            for adapter in ["m/x", "m/y"] {
                if rng.random_bool(0.5) {
                    let ready = [0, 0, 120, 400][rng.random_range(0..4)];
                    held.push((adapter, rng.random_range(1..3), ready));
                }
            }
            Target {
                ready: rng.random_bool(0.9),
                slowness: [0, 70, 150, 300][rng.random_range(0..4)],
                ..target(id, ZONES[rng.random_range(0..3)], &held)
            }
        });
        let targets: Vec<_> = targets.collect();
        view.set_targets(NOW, &zones(), targets);
        let counts = ids.iter().map(|id| (id.clone(), rng.random_range(0..16)));
        view.set_other_running(&zones(), counts.collect::<Vec<_>>());
        if rng.random_bool(0.7) {
            view.heard_load(NOW, &zones()[..rng.random_range(0..4)], 12);
        }
        if rng.random_bool(0.3) {
            view.set_versions(NOW, [("m/x".to_owned(), 2)]);
        }
        let versions: [SoftwareVersion; 2] = ["v1", "v2"].map(|v| v.parse().unwrap());
        for id in &ids {
            if rng.random_bool(0.8) {
                view.set_software([(id.clone(), versions.choose(&mut rng).cloned())]);
            }
            match rng.random_range(0..10) {
                0 => view.unreachable(NOW, id),
                1 => view.answer_lost(NOW, id),
                2 => view.no_room(NOW, id),
                3 => {
                    view.limits().seen(NOW, id, "2".parse().ok());
                    (0..rng.random_range(0..4)).for_each(|_| {
                        view.limits().take_alone(NOW, id);
                        view.limits().sent(NOW, id);
                    });
                }
                5 => {
                    let rest = Duration::from_millis(rng.random_range(0..1_500));
                    view.rests().asked(NOW, id, rest);
                }
                6 if rng.random_bool(0.3) => view.says_leaving(NOW, id),
                4 => {
                    view.seen_brittle(id, Some(PerSecond(rng.random_range(0..3))));
                }
                _ => {}
            }
            (0..rng.random_range(0..3)).for_each(|_| {
                view.begin(id, "m/x", rng.random_range(0..4_000));
            });
        }
        let tried = ids.iter().filter(|_| rng.random_bool(0.1));
        let tried = tried.cloned().collect();
        Drawn {
            now: NOW + Duration::from_millis(rng.random_range(0..1_000)),
            adapter: ADAPTERS[rng.random_range(0..4)],
            tried,
            wanted: versions
                .choose(&mut rng)
                .filter(|_| seed.is_multiple_of(5))
                .cloned(),
            view,
        }
    }

    fn choose(&self) -> Choice {
        let wanted = self.wanted.as_ref();
        self.view
            .choose(self.now, SERVICE, self.adapter, &self.tried, wanted)
    }

    fn explain(&self) -> (Choice, Vec<Weighed>) {
        let asked = (SERVICE, self.adapter);
        explain(
            &self.view,
            self.now,
            asked,
            &self.tried,
            self.wanted.as_ref(),
        )
    }
}

/// Guards against an explanation that names another target than the one that is sent to, or
/// that leaves the choice otherwise than it found it.
#[gtest]
fn what_is_explained_is_what_is_chosen() {
    let mut kinds = [0; 6];
    for seed in 0..10_000 {
        let drawn = Drawn::new(seed);
        let before = format!("{:?}", drawn.view);
        let (choice, weighed) = drawn.explain();
        assert_that!(format!("{:?}", drawn.view), eq(&before));
        assert_that!(choice, eq(&drawn.choose()), "seed {seed}");
        let left: Vec<_> = weighed.iter().filter(|w| w.passed.is_none()).collect();
        match &choice {
            Choice::Send(id) => {
                assert_that!(left.len(), eq(1), "seed {seed}: {weighed:?}");
                assert_that!(&left[0].target, eq(id), "seed {seed}");
                assert_that!(left[0].parts, not(is_empty()));
            }
            _ => assert_that!(left, is_empty(), "seed {seed}: {weighed:?}"),
        }
        kinds[match choice {
            Choice::Send(_) => 0,
            Choice::Wait(_) => 1,
            Choice::Missing => 2,
            Choice::Limited(..) => 3,
            Choice::NoTarget => 4,
            Choice::Resting(..) => 5,
        }] += 1;
    }
    // None of the choices is left out by how states are drawn.
    assert_that!(kinds, each(ge(50)), "{kinds:?}");
}

fn reasons(view: &View, adapter: &str) -> Vec<(String, Option<Passed>)> {
    let (_, weighed) = explain(view, NOW, (SERVICE, adapter), &BTreeSet::new(), None);
    let each = weighed.into_iter().map(|w| (w.target, w.passed));
    each.collect()
}

/// Guards against a target whose reason is one that comes after another.
#[gtest]
fn each_target_says_the_first_reason_that_it_was_passed_over_for() {
    let mut view = View::new("za", Seed(1));
    let mut leaves = target("leaves", "za", &[("m/x", 2, 0)]);
    leaves.ready = false;
    let targets = vec![
        leaves,
        target("lacks", "za", &[("m/y", 1, 0)]),
        target("loads", "za", &[("m/x", 2, 120)]),
        target("old", "za", &[("m/x", 1, 0)]),
        target("out", "za", &[("m/x", 2, 0)]),
        target("taken", "za", &[("m/x", 2, 0)]),
        target("there", "zb", &[("m/x", 2, 0)]),
    ];
    view.set_targets(NOW, &zones(), targets);
    view.set_versions(NOW, [("m/x".to_owned(), 2)]);
    view.unreachable(NOW, "out");
    let expected = [
        ("lacks", Some(Passed::NoAdapter)),
        ("leaves", Some(Passed::Leaving)),
        ("loads", Some(Passed::Loading(Duration::from_millis(120)))),
        ("old", Some(Passed::OldVersion(1))),
        ("out", Some(Passed::Unreachable)),
        ("taken", None),
        ("there", Some(Passed::Elsewhere)),
    ];
    let expected = expected.map(|(id, passed)| (id.to_owned(), passed));
    assert_that!(reasons(&view, "m/x"), eq(&expected));
}

/// Guards against parts that don't add up to what decides: the target that costs less is taken.
#[gtest]
fn parts_tell_why_one_costs_more() {
    let mut view = View::new("za", Seed(1));
    let targets = vec![target("a", "za", &[]), target("b", "zb", &[])];
    view.set_targets(NOW, &zones(), targets);
    view.set_other_running(&zones(), [("a".to_owned(), 4)]);
    let (choice, weighed) = explain(&view, NOW, (SERVICE, ""), &BTreeSet::new(), None);
    assert_that!(choice, eq(&Choice::Send("b".to_owned())));
    let parts = |no: usize| {
        let parts = weighed[no].parts.iter().filter(|(_, cost)| *cost > 0.0);
        parts.copied().collect::<Vec<_>>()
    };
    assert_that!(parts(0), eq(&vec![(Part::Load, 0.4)]));
    assert_that!(parts(1), eq(&vec![(Part::Zone, 0.15)]));
}
