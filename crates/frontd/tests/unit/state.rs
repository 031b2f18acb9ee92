//! Which configuration is in force, and which control instance is asked first.

use std::sync::Arc;

use futures::FutureExt;
use gateway::{table::RawTable, zone_owner::OrderOutcome};
use googletest::prelude::*;
use hyper::header::HeaderName;

use super::*;
use crate::{Decoded, HeaderNames};

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
            model: header.clone(),
            tokens: header.clone(),
            prompt_parts: header.clone(),
            last_event: header.clone(),
            resumes: header.clone(),
            cache_backup: header.clone(),
            cache_source: header.clone(),
            key: header.clone(),
            account: header,
            reserved: Vec::new(),
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

fn state() -> State {
    let address = "127.0.0.1:1".parse().unwrap();
    let setup = Setup {
        ip: "127.0.0.1".parse().unwrap(),
        zone: "za".to_owned(),
        zones: vec!["za".to_owned(), "zb".to_owned()],
        listen: address,
        ready: address,
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
