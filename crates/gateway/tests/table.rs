//! Route tables: which ones are refused, and which route a request gets.

use std::{collections::BTreeMap, time::Duration};

use gateway::table::{BadTable, Engine, Kind, RawTable, Route, Service, Table};
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

/// Returns whether goals are tight where a route to engines and one to plain targets have these.
fn tight((engines, plain): (Option<u64>, Option<u64>)) -> bool {
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
        ..RawTable::default()
    };
    Table::try_from(raw).unwrap().has_tight_goals()
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
