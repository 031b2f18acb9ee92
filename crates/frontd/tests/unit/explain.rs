//! What is explained is what is decided, and asking changes nothing.

use googletest::prelude::*;
use wire::{
    account::OthersUsage,
    explain::{Next, Passed},
    fleet::{Resident, Target},
};

use super::*;
use crate::entry::{
    admission,
    state::tests::{engines, short, state},
};

const ADAPTER: &str = "m/a";

fn question() -> Question {
    Question {
        host: "A.example:443".to_owned(),
        path: "/x?y=1".to_owned(),
        model: Some(ADAPTER.to_owned()),
        tokens: Some((100, 50)),
        account: Some("x".to_owned()),
        parts: None,
    }
}

fn target(id: &str, zone: &str, holds: bool) -> Target {
    let resident = Resident {
        adapter: ADAPTER.to_owned(),
        version: 1,
        ready_in: Duration::ZERO,
    };
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: "127.0.0.1:9".to_owned(),
        zone: zone.to_owned(),
        slots: 4,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: holds.then_some(resident).into_iter().collect(),
        limit: None,
    }
}

/// Returns the state of an instance that knows three engines and what the account uses, in a
/// shortage of room if `is_short`.
fn known(is_short: bool) -> Arc<State> {
    let state = Arc::new(state());
    let goal = Some(Duration::from_millis(500));
    state.set_table(7, engines(goal, true));
    state.view().set_tight(true);
    let zones = ["za".to_owned(), "zb".to_owned()];
    let targets = [("a", "za", true), ("b", "zb", true), ("c", "zb", false)];
    let targets = targets.map(|(id, zone, holds)| target(id, zone, holds));
    state.set_targets(state.now(), &zones, targets.to_vec());
    state.view().heard_load(state.now(), &zones, 1);
    let control = "127.0.0.1:2".parse().unwrap();
    if is_short {
        state.gate().report(state.now(), control);
        state.gate().told(state.now(), control, short());
    }
    let table = state.table().unwrap();
    let account = table.account("x").unwrap();
    state.meter().admit(state.now(), account, 1.0).ok();
    let usage = state.meter().usage(state.now());
    let others = OthersUsage {
        account: account.name.clone(),
        serial: 1,
        used: 0,
        asked: 0,
        silent: 0,
        rate: Some(0),
    };
    state.meter().told(state.now(), control, &usage, &[others]);
    state
}

fn shown(state: &State) -> String {
    let budgets = format!("{:?} {:?}", *state.budget(), *state.hedging());
    let gates = format!("{:?} {:?}", *state.meter(), *state.gate());
    format!("{budgets} {gates} {:?}", *state.view())
}

/// Guards against a question that counts as a request, uses up a limit or asks for a load.
#[gtest]
fn asking_changes_nothing() {
    for is_short in [false, true] {
        let state = known(is_short);
        let before = shown(&state);
        for model in [Some(ADAPTER), Some("m/gone"), None] {
            let asked = Question {
                model: model.map(str::to_owned),
                ..question()
            };
            assert_that!(explain(&state, &asked), ok(anything()));
        }
        assert_that!(shown(&state), eq(&before));
    }
}

/// Guards against an explanation by other rules than those that let requests in.
#[gtest]
fn who_is_let_in_is_told_before() {
    let state = known(true);
    let table = state.table().unwrap();
    let account = table.account("x").unwrap();
    let entrant = Entrant {
        request: "r",
        service: "s",
        account: Some(account),
        rank: 0,
        tokens: Some(150),
        left: Duration::from_secs(9),
    };
    let mut entered = Vec::new();
    for no in 0..100 {
        let told = explain(&state, &question()).unwrap().ways[0].clone();
        let asked = admission::enter(&state, &entrant, || no);
        assert_that!(told.let_in, some(eq(asked.is_ok())));
        let refused = told.refused.map(|refused| refused.why);
        assert_that!(refused == Some(Refusal::Room), eq(asked.is_err()));
        entered.extend(asked);
    }
    assert_that!(entered.len(), all!(ge(1), le(99)));
}

/// Guards against an account that is told it has units left, and is refused.
#[gtest]
fn the_limit_that_is_told_is_the_one_that_refuses() {
    let state = known(false);
    let table = state.table().unwrap();
    let account = table.account("x").unwrap();
    let mut refused = 0;
    for _ in 0..100 {
        let told = explain(&state, &question()).unwrap();
        let admitted = state.meter().admit(state.now(), account, 1.0);
        let expected = admitted.err().map(|denied| match denied.unsure {
            true => Refusal::LimitUnsure,
            false => Refusal::OverLimit,
        });
        assert_that!(told.refused.map(|refused| refused.why), eq(expected));
        refused += u32::from(expected.is_some());
    }
    assert_that!(refused, all!(ge(1), le(99)));
    let limit = explain(&state, &question()).unwrap().account.unwrap().limit;
    let limit = limit.unwrap();
    assert_that!(
        (limit.unit.as_str(), limit.rate, limit.cost),
        eq(("requests", 5, 1))
    );
    assert_that!(limit.left, some(le(5)));
}

/// Guards against an answer that leaves out a target, or doesn't say where requests go.
#[gtest]
fn each_target_is_told_with_its_reason() {
    let state = known(false);
    let told = explain(&state, &question()).unwrap();
    assert_that!(told.edition, eq(7));
    let way = &told.ways[0];
    let ids: Vec<_> = way.targets.iter().map(|w| w.target.as_str()).collect();
    assert_that!(ids, eq(&vec!["a", "b", "c"]));
    assert_that!(way.targets[2].passed, some(eq(Passed::NoAdapter)));
    let chosen = way.targets.iter().find(|w| w.passed.is_none()).unwrap();
    let target = chosen.target.clone();
    assert_that!(way.next, eq(&Next::Send { target }));
    assert_that!(way.unheard, eq(false));
    let known = |zone: &ZoneKnown| zone.list_ms.is_some() && zone.load_ms.is_some();
    assert!(told.zones.iter().all(known), "{:?}", told.zones);
}

/// Guards against a typing error that looks like an adapter nobody has loaded.
#[gtest]
fn an_adapter_that_nobody_has_is_marked() {
    let state = known(false);
    let asked = Question {
        model: Some("m/gone".to_owned()),
        ..question()
    };
    let way = explain(&state, &asked).unwrap().ways[0].clone();
    assert_that!((way.unheard, way.next), eq(&(true, Next::Missing)));
}

/// Guards against keys in what operators paste into tickets.
#[gtest]
fn no_key_is_told() {
    let state = known(false);
    let told = explain(&state, &question()).unwrap();
    let told = serde_json::to_string(&told).unwrap();
    assert_that!(told, not(contains_substring("key")));
    let digest = format!("{:?}", account::KeyDigest::of(b"key"));
    assert_that!(told, not(contains_substring(digest.as_str())));
}

fn check_problem((change, expected): (fn(&mut Question), Problem)) {
    let mut asked = question();
    change(&mut asked);
    assert_eq!(explain(&known(false), &asked), Err(expected));
}

base::cases! {
    /// Guards against a question that is answered for another request.
    what_is_not_known_is_a_problem: check_problem => {
        host: (|asked| asked.host = "b.example".to_owned(), Problem::NoRoute),
        path: (|asked| asked.path = "x".to_owned(), Problem::NoRoute),
        account: (|asked| asked.account = Some("y".to_owned()), Problem::NoAccount),
        line_break: (|asked| asked.model = Some("m\n".to_owned()), Problem::BadQuestion),
    }
}

#[gtest]
fn without_a_configuration_nothing_is_told() {
    let told = explain(&state(), &question());
    assert_that!(told, err(eq(&Problem::NoConfiguration)));
}

/// A request of nobody is refused where accounts are asked for.
#[gtest]
fn a_request_without_an_account_lacks_a_key() {
    let asked = Question {
        account: None,
        ..question()
    };
    let told = explain(&known(false), &asked).unwrap();
    assert_that!(told.refused.map(|r| r.why), some(eq(Refusal::NoKey)));
}
