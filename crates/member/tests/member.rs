//! Membership from the platform's list, heartbeats and observations together.

use std::time::Duration;

use base::{Incarnation, Time};
use googletest::prelude::*;
use member::{Instances, Liveness, Observed, Outdated, Targets};
use wire::platform::{Instance, List, State, Target};

fn list(serial: u64, targets: &[(&str, State)]) -> List {
    let targets = targets.iter().map(|(name, state)| Target {
        name: name.parse().unwrap(),
        pool: "pool".parse().unwrap(),
        zone: "za".parse().unwrap(),
        address: (*name).to_owned(),
        state: *state,
        software: None,
    });
    List {
        serial,
        instances: Vec::new(),
        targets: targets.collect(),
    }
}

fn targets() -> Targets {
    let mut targets = Targets::default();
    targets.apply_list(&list(1, &[("t", State::Live)]));
    targets
}

const T: Time = Time(5);

/// An engine restarts without adapters while a report of its former incarnation is on its
/// way. If the report were accepted, it would show adapters that are gone, and requests
/// for them would fail.
#[test]
fn a_report_of_a_former_incarnation_is_dropped() {
    base::covers!(outdated_by_change);
    let (mut targets, t) = (targets(), "t".parse().unwrap());
    let first = targets.begin(&t).unwrap();
    let slow = targets.begin(&t).unwrap();
    let fresh = targets.begin(&t).unwrap();
    assert_that!(
        targets.finish(&t, first, T, Some(Incarnation(1))),
        ok(eq(Observed::Same))
    );
    assert_that!(
        targets.finish(&t, fresh, T, Some(Incarnation(2))),
        ok(eq(Observed::Restarted))
    );
    let late = targets.finish(&t, slow, T, Some(Incarnation(1)));
    assert_that!(late, err(eq(Outdated::Changed)));
    assert_that!(
        targets.get(&t).unwrap().incarnation,
        some(eq(Incarnation(2)))
    );
}

/// A probe that began before a drain ends after it, and another one ends after the target
/// has left the list and come back under the same name. Neither counts, whether it
/// succeeded or failed.
#[test]
fn an_observation_that_crosses_a_drain_is_dropped() {
    let (mut targets, t) = (targets(), "t".parse().unwrap());
    let observation = targets.begin(&t).unwrap();
    let changed = targets.apply_list(&list(2, &[("t", State::Leaving)]));
    assert_that!(changed, len(eq(1)));
    assert_that!(targets.takes_work(&t), eq(false));
    assert_that!(
        targets.finish(&t, observation, T, None),
        err(eq(Outdated::Changed))
    );
    let observation = targets.begin(&t).unwrap();
    targets.apply_list(&list(3, &[]));
    assert_that!(
        targets.finish(&t, observation, T, None),
        err(eq(Outdated::Gone))
    );
    targets.apply_list(&list(4, &[("t", State::Live)]));
    assert_that!(targets.fail(&t, observation), err(eq(Outdated::Changed)));
    assert_that!(targets.apply_list(&list(1, &[])), is_empty());
    assert_that!(targets.takes_work(&t), eq(true));
}

/// Two observations end in reverse order: the one that began first is discarded.
#[test]
fn an_older_observation_never_wins() {
    base::covers!(outdated_by_newer);
    let (mut targets, t) = (targets(), "t".parse().unwrap());
    let old = targets.begin(&t).unwrap();
    let new = targets.begin(&t).unwrap();
    assert_that!(targets.fail(&t, new), ok(eq(())));
    assert_that!(targets.finish(&t, old, T, None), err(eq(Outdated::Newer)));
}

/// A report reads the engine's state before an unload and arrives after the unload was
/// answered: it shows an adapter that is gone.
#[test]
fn a_report_that_crosses_an_order_is_dropped() {
    base::covers!(outdated_by_newer);
    let (mut targets, t) = (targets(), "t".parse().unwrap());
    let unload = targets.begin(&t).unwrap();
    let report = targets.begin(&t).unwrap();
    assert_that!(targets.finish_order(&t, unload), ok(eq(())));
    let late = targets.finish(&t, report, T, None);
    assert_that!(late, err(eq(Outdated::Newer)));
    let fresh = targets.begin(&t).unwrap();
    assert_that!(targets.finish(&t, fresh, T, None), ok(anything()));
}

#[test]
fn liveness_follows_list_and_heartbeat() {
    let mut instances = Instances::new(Duration::from_secs(3));
    let (n, zone) = ("n".parse().unwrap(), "za".parse().unwrap());
    assert_that!(instances.liveness(T, &n), none());
    let listed = |serial, states: &[State]| List {
        serial,
        instances: states
            .iter()
            .map(|state| Instance {
                name: "n".parse().unwrap(),
                zone: "za".parse().unwrap(),
                peer: "1:1".to_owned(),
                state: *state,
            })
            .collect(),
        targets: Vec::new(),
    };
    instances.apply_list(T, &listed(1, &[State::Live]));
    assert_that!(instances.liveness(T, &n), some(eq(Liveness::Suspect)));
    instances.heard(T, &n, &zone, "1:1", false);
    assert_that!(instances.liveness(T, &n), some(eq(Liveness::Live)));
    instances.apply_list(T, &listed(2, &[]));
    assert_that!(instances.liveness(T, &n), some(eq(Liveness::Live)));
    instances.apply_list(T, &listed(3, &[State::Leaving]));
    assert_that!(instances.liveness(T, &n), some(eq(Liveness::Leaving)));
    instances.apply_list(T + Duration::from_secs(9), &listed(4, &[]));
    assert_that!(instances.liveness(T, &n), none());
}
