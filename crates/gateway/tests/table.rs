//! Route tables: which ones are refused, and which route a request gets.

use std::{collections::BTreeMap, time::Duration};

use account::{KeyDigest, Limit, RawAccount, Unit};
use base::Tokens;
use gateway::table::{BadTable, Engine, Kind, RawTable, Route, Sender, Service, Table};
use googletest::prelude::*;

fn route(prefix: &str) -> Route {
    Route {
        name: format!("r{prefix}"),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Safe,
        limit: Duration::from_secs(1),
        goal: None,
        priority: 0,
        split: vec![("s".to_owned(), 1)],
        attempts: 1,
        public: false,
    }
}

fn table(routes: Vec<Route>) -> std::result::Result<Table, BadTable> {
    let service = Service { engine: None };
    Table::try_from(RawTable {
        routes,
        services: BTreeMap::from([("s".to_owned(), service)]),
        body_bytes: None,
        accounts: None,
    })
}

fn refused((change, expected): (fn(&mut Route), &str)) {
    let mut bad = route("/a/");
    change(&mut bad);
    let err = table(vec![route("/b/"), bad]).unwrap_err().to_string();
    assert_that!(err, contains_substring(expected));
}

base::cases! {
    /// Each case has a single fault.
    a_bad_table_is_refused: refused => {
        unknown_service: (|r| r.split[0].0 = "x".to_owned(), "unknown service"),
        same_place: (|r| r.prefix = "/b/".to_owned(), "two routes"),
        no_weight: (|r| r.split[0].1 = 0, "add up to 0"),
        no_split: (|r| r.split.clear(), "add up to 0"),
        no_time: (|r| r.limit = Duration::ZERO, "time limit"),
        no_slash: (|r| r.prefix = "/a".to_owned(), "slash"),
    }
}

#[gtest]
fn the_longest_prefix_wins() {
    let table = table(vec![route("/a/"), route("/a/b/"), route("/")]).unwrap();
    let found = |path| table.find("a.example", path).map(|r| r.prefix.clone());
    assert_that!(found("/a/b/c"), some(eq("/a/b/")));
    assert_that!(found("/a/bc"), some(eq("/a/")));
    assert_that!(found("/x"), some(eq("/")));
    assert_that!(table.find("b.example", "/a/").is_none(), eq(true));
}

#[gtest]
fn weights_share_out_the_draws() {
    let mut split = route("/a/");
    split.split = vec![
        ("s".to_owned(), 90),
        ("t".to_owned(), 10),
        ("u".to_owned(), 0),
    ];
    let count = |name| (0..100).filter(|draw| split.service(*draw) == name).count();
    assert_that!((count("s"), count("t"), count("u")), eq((90, 10, 0)));
}

/// Guards against the rest of a stream that runs at a service which gets nothing any more.
#[gtest]
fn a_service_of_weight_zero_is_led_to_by_no_route() {
    let mut split = route("/a/");
    split.split = vec![("old".to_owned(), 0), ("new".to_owned(), 100)];
    let led = ["old", "new", "other"].map(|service| split.leads_to(service));
    expect_that!(led, eq([false, true, false]));
}

/// Returns whether goals are tight where a route to engines and one to plain targets have these.
fn tight((engines, plain): (Option<u64>, Option<u64>)) -> bool {
    with_goals(engines, plain, None).has_tight_goals()
}

fn with_goals(
    engines: Option<u64>,
    plain: Option<u64>,
    accounts: Option<Vec<RawAccount>>,
) -> Table {
    let with_goal = |prefix, service: &str, goal: Option<u64>| Route {
        goal: goal.map(Duration::from_millis),
        split: vec![(service.to_owned(), 1)],
        ..route(prefix)
    };
    let engine = Engine {
        models: Vec::new(),
        adapter_slots: 1,
        memory_mb: 1.0,
    };
    let services = [
        ("s".to_owned(), Service { engine: None }),
        (
            "e".to_owned(),
            Service {
                engine: Some(engine),
            },
        ),
    ];
    let raw = RawTable {
        routes: vec![with_goal("/e/", "e", engines), with_goal("/s/", "s", plain)],
        services: BTreeMap::from(services),
        accounts,
        ..RawTable::default()
    };
    Table::try_from(raw).unwrap()
}

fn account(name: &str, limit: Option<(f64, Unit)>) -> RawAccount {
    RawAccount {
        name: name.to_owned(),
        keys: vec![KeyDigest::of(name.as_bytes())],
        priority: None,
        limit: limit.map(|(rate, unit)| Limit {
            rate,
            burst: 1.0,
            unit,
        }),
    }
}

const TOKENS: Unit = Unit::Tokens { unknown: Tokens(1) };

fn admission((goal, limits, expected): (Option<u64>, Option<Vec<Option<f64>>>, bool)) {
    let accounts = limits.map(|limits| {
        let each = limits.iter().enumerate();
        each.map(|(n, limit)| account(&format!("a{n}"), limit.map(|rate| (rate, TOKENS))))
            .collect()
    });
    let table = with_goals(goal, None, accounts);
    assert_that!(table.has_admission(), eq(expected));
}

base::cases! {
    /// Room is shared only where a route to engines has a tight goal and accounts have
    /// limits: nothing else changes.
    admission_is_on: admission => {
        both: (Some(500), Some(vec![None, Some(5.0)]), true),
        wide_goals: (Some(600), Some(vec![Some(5.0)]), false),
        no_limits: (Some(500), Some(vec![None]), false),
        no_accounts: (Some(500), None, false),
        neither: (None, None, false),
    }
}

#[gtest]
fn accounts_weigh_what_they_may_ask() {
    let limited = account("a", Some((3_000.0, TOKENS)));
    let counted = account("b", Some((2.0, Unit::Requests)));
    let free = account("c", None);
    let table = with_goals(Some(500), None, Some(vec![limited, counted, free]));
    let weight = |name: &str| {
        let route = route("/");
        match table.sender(&route, Some(name.as_bytes())) {
            Sender::Account(account) => table.weight(Some(&account)),
            _ => table.weight(None),
        }
    };
    assert_that!((weight("a"), weight("b")), eq((3_000, 2_000)));
    assert_that!((weight("c"), weight("unknown")), eq((2_500, 2_500)));
}

fn goals_are((goals, expected): ((Option<u64>, Option<u64>), bool)) {
    assert_that!(tight(goals), eq(expected));
}

base::cases! {
    /// Parts that count in time are on only where a route to engines has a tight goal.
    tight_goals: goals_are => {
        of_engines: ((Some(500), None), true),
        wide: ((Some(600), None), false),
        of_plain_targets_only: ((Some(600), Some(100)), false),
        none: ((None, None), false),
    }
}
