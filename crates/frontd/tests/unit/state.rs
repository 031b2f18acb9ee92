//! Which configuration is in force, and which control instance is asked first.

use std::sync::Arc;

use account::{Account, KeyDigest, Limit, RawAccount, Unit};
use futures::FutureExt;
use gateway::{
    table::{Engine, Kind, RawTable, Route, Service},
    zone_owner::OrderOutcome,
};
use googletest::prelude::*;
use hyper::header::HeaderName;

use wire::admission::{AdmissionTold, Ended, Offered, Room};

use super::*;
use crate::{
    Decoded, HeaderNames,
    entry::{
        admission::{self, Entrant},
        answer::{RequestError, Why},
    },
};

fn platform() -> Platform {
    let header = HeaderName::from_static("x");
    Platform {
        header_names: Arc::new(HeaderNames {
            request_id: header.clone(),
            deadline: header.clone(),
            target: header.clone(),
            adapter_version: header.clone(),
            weights_version: header.clone(),
            priority: header.clone(),
            not_run: header.clone(),
            target_limit: header.clone(),
            target_brittle: header.clone(),
            target_leaving: header.clone(),
            model: HeaderName::from_static("model"),
            tokens: HeaderName::from_static("tokens"),
            prompt_parts: HeaderName::from_static("parts"),
            last_event: header.clone(),
            resumes: header.clone(),
            cache_backup: header.clone(),
            cache_source: header.clone(),
            key: header.clone(),
            account: header,
            reserved: Vec::new(),
            signs: crate::AnswerSigns::default(),
        }),
        decode: Arc::new(|_| {
            let table = Table::default();
            Ok(Decoded { number: 0, table })
        }),
        list_targets: Arc::new(|_| async { None }.boxed()),
        send_order: Arc::new(|_| async { OrderOutcome::Refused }.boxed()),
        read_report: Arc::new(|_, _| async { None }.boxed()),
        read_seeds: Arc::new(|| None),
        map_address: Arc::new(|addr| addr),
    }
}

pub(in crate::entry) fn state() -> State {
    let address = "127.0.0.1:1".parse().unwrap();
    let setup = Setup {
        ip: "127.0.0.1".parse().unwrap(),
        zone: "za".to_owned(),
        zones: vec!["za".to_owned(), "zb".to_owned()],
        listen: address,
        ready: address,
        operators: None,
        peer_port: 1,
        grace: Duration::from_secs(1),
        drain: Duration::from_secs(3),
        retries: gateway::budget::Limits {
            ratio: 0.2,
            extra: 1.0,
            window: Duration::from_secs(10),
        },
        hedge_limit: None,
        slack: account::Slack {
            window: Duration::from_secs(8),
            overrun: 0.1,
            extra: 100.0,
        },
        machine: base::Machine::default(),
    };
    State::new(&setup, platform())
}

fn table(bytes: usize) -> Table {
    let raw = RawTable {
        body_bytes: Some(bytes),
        ..RawTable::default()
    };
    Table::try_from(raw).unwrap()
}

/// Guards against editions that arrive out of order: callers would see the new
/// configuration and then the previous one. The number in force only increases.
#[gtest]
fn an_older_edition_is_never_put_into_force() {
    let state = state();
    assert_that!(state.ready(), eq(false));
    assert_that!(state.set_table(7, table(7)), eq(true));
    assert_that!(state.set_table(6, table(6)), eq(false));
    assert_that!(state.set_table(7, table(8)), eq(false));
    let held = state.table().and_then(|table| table.body_bytes());
    assert_that!((held, state.edition()), eq((Some(7), 7)));
}

/// The owner of the instance's own zone is asked for editions first: traffic between
/// zones costs money, and a zone that is cut off has no other source.
#[gtest]
fn the_owner_of_the_own_zone_is_asked_first() {
    let state = state();
    let zone = |name: &str| [name.to_owned()];
    for port in 1..50 {
        let near = state.source_rank(SocketAddr::from(([10, 0, 0, 9], 1)), &zone("za"));
        let far = state.source_rank(SocketAddr::from(([10, 0, 0, 1], port)), &zone("zb"));
        assert_that!(near, lt(far));
    }
}

/// Returns the size of what is kept while a call of an asynchronous function is under way.
fn kept<A, F: Future>(_: impl FnOnce(A) -> F) -> usize {
    size_of::<F>()
}

/// Guards against rare steps whose state each request and each stream keeps room for.
#[test]
fn a_request_keeps_little_memory() {
    use crate::entry::{forward, relay::Relay};
    assert_that!(kept(|(a, b)| forward::answer(a, b)), le(8 << 10));
    assert_that!(kept(|relay: &'static mut Relay| relay.next()), le(1_280));
}

/// A retry that was needed starts a report to the broker where goals are tight, and nothing
/// elsewhere.
#[gtest]
fn retries_are_reported_only_with_tight_goals() {
    let state = state();
    for tight in [false, true] {
        state.budget().set_tight(tight);
        state.try_retry("s");
        let told = state.retry_needed.notified().now_or_never();
        expect_that!(told.is_some(), eq(tight));
        expect_that!(state.budget().wanted(state.now()).is_empty(), eq(!tight));
    }
}

/// Returns a configuration with one service of engines and one account.
pub(in crate::entry) fn engines(goal: Option<Duration>, limited: bool) -> Table {
    let engine = Some(Engine {
        models: Vec::new(),
        adapter_slots: 1,
        memory_mb: 1.0,
    });
    let route = Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Safe,
        limit: Duration::from_secs(9),
        goal,
        priority: 0,
        split: vec![("s".to_owned(), 1)],
        attempts: 1,
        public: false,
    };
    let account = RawAccount {
        name: "x".to_owned(),
        keys: vec![KeyDigest::of(b"key")],
        priority: None,
        limit: limited.then_some(Limit {
            rate: 5.0,
            burst: 5.0,
            unit: Unit::Requests,
        }),
    };
    let raw = RawTable {
        routes: vec![route],
        services: [("s".to_owned(), Service { engine })].into(),
        accounts: Some(vec![account]),
        ..RawTable::default()
    };
    Table::try_from(raw).unwrap()
}

fn admission_is((goal, limited, expected): (Option<u64>, bool, bool)) {
    let state = state();
    assert_that!(state.has_admission(), eq(false));
    state.set_table(1, engines(goal.map(Duration::from_millis), limited));
    assert_that!(state.has_admission(), eq(expected));
    state.set_table(2, table(7));
    assert_that!(state.has_admission(), eq(false));
}

base::cases! {
    /// Nothing is counted, reported or refused unless the configuration in force calls
    /// for it.
    admission_follows_the_configuration: admission_is => {
        tight_and_limited: (Some(500), true, true),
        wide: (Some(2_000), true, false),
        unlimited: (Some(500), false, false),
    }
}

/// Tells that 20 requests are under way at 10 places, and that nine of ten have to wait.
pub(in crate::entry) fn short() -> AdmissionTold {
    AdmissionTold {
        rooms: vec![Room {
            service: "s".to_owned(),
            zone: "za".to_owned(),
            slots: 10,
            running: 20,
            queued: 10,
        }],
        offered: vec![Offered {
            service: "s".to_owned(),
            account: Some("x".parse().unwrap()),
            rank: 0,
            weight: 5,
            units: 1_000,
        }],
        ended: vec![Ended {
            service: "s".to_owned(),
            units: 145,
            requests: 10_000,
        }],
    }
}

/// Guards against hedges that take the places of requests which wait or are refused elsewhere,
/// and against a change where room isn't shared.
#[gtest]
fn hedges_give_way_where_room_is_short() {
    for (goal_ms, pressed) in [(500, true), (2_000, false)] {
        let state = state();
        state.set_table(1, engines(Some(Duration::from_millis(goal_ms)), true));
        let control = "127.0.0.1:2".parse().unwrap();
        state.gate().told(state.now(), control, short());
        assert_that!(state.is_pressed("s", 0), eq(pressed));
        assert_that!(state.is_pressed("other", 0), eq(false));
        state.hedging().refused(state.now());
        assert_that!(state.is_pressed("other", 0), eq(true));
    }
}

/// A refused request hasn't run, is told when to come back, and one that was let in counts
/// until it ends.
#[gtest]
fn requests_that_are_not_let_in_have_not_run() {
    let state = Arc::new(state());
    state.set_table(1, engines(Some(Duration::from_millis(500)), true));
    let control = "127.0.0.1:2".parse().unwrap();
    state.gate().report(state.now(), control);
    state.gate().told(state.now(), control, short());
    let account = Account {
        name: "x".parse().unwrap(),
        priority: None,
        limit: None,
    };
    let entrant = Entrant {
        request: "r",
        service: "s",
        account: Some(&account),
        rank: 0,
        tokens: Some(10),
        left: Duration::from_secs(3),
    };
    let each = (0..100).map(|n| admission::enter(&state, &entrant, || n));
    let (entered, refused): (Vec<_>, Vec<_>) = each.partition(Result::is_ok);
    assert_that!(entered.len(), all!(ge(5), le(15)));
    for refused in refused {
        let Err(RequestError::NotRun { again, why }) = refused else {
            panic!("it isn't refused as not run");
        };
        assert_that!(why, eq(Why::Room));
        assert_that!(again, all!(gt(Duration::ZERO), le(Duration::from_secs(1))));
    }
    let ended = |report: wire::admission::AdmissionReport| -> u64 {
        report.ended.iter().map(|ended| ended.requests).sum()
    };
    let count = entered.len() as u64;
    assert_that!(ended(state.gate().report(state.now(), control)), eq(0));
    drop(entered);
    assert_that!(ended(state.gate().report(state.now(), control)), eq(count));
}
