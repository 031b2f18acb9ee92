//! The zone owner: what it orders, and that no engine is overfilled.

#[path = "zone_owner/aging.rs"]
mod aging;
#[path = "zone_owner/announced.rs"]
mod announced;
#[path = "zone_owner/copies.rs"]
mod copies;
#[path = "zone_owner/limits.rs"]
mod limits;
#[path = "zone_owner/loads.rs"]
mod loads;
#[path = "zone_owner/many.rs"]
mod many;
#[path = "zone_owner/rests.rs"]
mod rests;
#[path = "zone_owner/rooms.rs"]
mod rooms;
#[path = "zone_owner/slowness.rs"]
mod slowness;
#[path = "zone_owner/streams.rs"]
mod streams;
#[path = "zone_owner/target_updates.rs"]
mod target_updates;
#[path = "zone_owner/weights.rs"]
mod weights;
#[path = "zone_owner/world.rs"]
mod world;

use std::time::Duration;

use base::Ticket;
use gateway::zone_owner::{Action, Config, Input, OrderOutcome, Report};
use googletest::prelude::*;
use wire::fleet::{Running, Sync};
use world::{World, announced_wait, held, load};

#[gtest]
fn a_wanted_adapter_is_loaded_once_and_announced() {
    let mut world = World::new(2);
    world.want(&["m/x"]);
    world.want(&["m/x"]);
    assert_that!(world.orders.len(), eq(1));
    assert_that!(world.answers, is_empty());
    let order = world.end(OrderOutcome::Accepted);
    assert_that!(
        (order.action, order.expected, order.fence),
        eq(&(load("m/x"), 0, 9))
    );
    assert_that!(world.answers.len(), eq(2));
    let targets = world.answers[0].targets.as_ref().unwrap();
    let told = targets.iter().flat_map(|t| &t.residents);
    let wait = told.filter(|r| r.adapter == "m/x").map(|r| r.ready_in);
    assert_that!(
        wait.collect::<Vec<_>>(),
        eq(&vec![Duration::from_millis(258)])
    );
}

/// All slots of an engine are taken. A load would crash it with all its requests, so the
/// unused adapter with the least demand is evicted first, and the load follows only once
/// the engine reports that it is gone.
#[gtest]
fn room_is_made_before_a_load() {
    let mut world = World::new(1);
    for adapter in ["m/a", "m/b", "m/c"] {
        world.want(&[adapter]);
        world.end(OrderOutcome::Accepted);
        world.pass(300);
    }
    let running = vec![Running {
        target: "e1".to_owned(),
        adapter: "m/a".to_owned(),
        count: 1,
    }];
    let sync = Sync {
        instance: Some("n1".parse().unwrap()),
        running,
        ..Sync::default()
    };
    world.pass(1_600);
    world.want(&["m/b"]);
    world.give(Input::Sync(Ticket(2), sync));
    world.want(&["m/x"]);
    assert_that!(world.orders.len(), eq(1));
    assert_that!(
        world.end(OrderOutcome::Done).action,
        eq(&Action::Evict("m/c".to_owned()))
    );
    assert_that!(world.end(OrderOutcome::Accepted).action, eq(&load("m/x")));
}

/// An order gets no answer: it may have been executed, or may be seconds later. The next
/// order carries the same expected count, so the engine accepts only one of the two.
#[gtest]
fn an_order_of_unknown_outcome_is_never_followed_by_a_higher_count() {
    let _mark = base::ExpectedMark::new("order_outcome_unknown");
    let mut world = World::new(1);
    world.want(&["m/a"]);
    assert_that!(world.end(OrderOutcome::Unknown).expected, eq(0));
    assert_that!(world.orders, is_empty());
    world.pass(60);
    assert_that!(world.orders[0].expected, eq(0));
    world.end(OrderOutcome::Conflict);
    world.want(&["m/b"]);
    assert_that!(world.orders, is_empty());
    world.pass(400);
    assert_that!(world.reports, eq(&vec!["e1".to_owned()]));
}

/// An engine restarts under its old id and holds nothing, while requests for what it held
/// are still sent to it.
#[gtest]
fn a_restart_under_the_same_id_forgets_all() {
    let mut world = World::new(1);
    world.want(&["m/a"]);
    world.end(OrderOutcome::Accepted);
    world.pass(300);
    world.born = 2;
    world.list(&[]);
    world.pass(10);
    world.report_all();
    world.answers.clear();
    world.want(&["m/a"]);
    assert_that!(world.orders.len(), eq(1));
    assert_that!(world.orders[0].expected, eq(0));
}

#[gtest]
fn nothing_is_ordered_without_a_lease() {
    let mut world = World::new(1);
    world.pass(9_000);
    world.want(&["m/a"]);
    assert_that!(world.orders, is_empty());
    world.pass(200);
    let answer = world.answers.last().unwrap();
    assert_that!(answer.zones, is_empty());
}

/// Four owners order loads at once for four zones. If each used the full capacity of the
/// shared store, every load would take several times as long as announced.
#[gtest]
fn an_owner_keeps_to_its_share_of_the_store() {
    let config = Config {
        zones: 4,
        ..Config::default()
    };
    let wants: Vec<_> = (0..12).map(|n| format!("m/a{n}")).collect();
    let wants: Vec<_> = wants.iter().map(String::as_str).collect();
    let mut world = World::with(4, config);
    world.want(&wants);
    let mut loads = 0;
    while !world.orders.is_empty() {
        world.end(OrderOutcome::Accepted);
        loads += 1;
    }
    assert_that!(loads, eq(4));
}

/// One entry instance is cut off from an engine and reports that. The engine was out of
/// use for all instances for two seconds, the adapters it held were loaded again
/// elsewhere, and the last engine of the zone had more adapters in use than slots. Only
/// an engine that doesn't answer its zone owner either may be taken out of use.
#[gtest]
fn an_engine_that_answers_its_owner_stays_in_use() {
    let mut world = World::new(2);
    world.list(&["m/x"]);
    world.pass(500);
    world.report_unreachable("e1");
    assert_that!(world.reports, eq(&vec!["e1".to_owned()]));
    world.report_all();
    world.report_unreachable("e2");
    world.reports.clear();
    world.give(Input::Reported {
        id: "e2".to_owned(),
        report: None,
    });
    world.want(&["m/x"]);
    assert_that!(world.orders, is_empty());
    world.want(&["m/y"]);
    assert_that!(world.orders[0].id.as_str(), eq("e1"));
}

/// An adapter is evicted, its engine reports, and a list from before the eviction arrives
/// last. It brought the adapter back: requests were refused there, and another order to
/// evict it made the zone owner's order count one too high.
#[gtest]
fn an_old_list_does_not_bring_back_an_evicted_adapter() {
    let mut world = World::new(1);
    world.list(&["m/a", "m/b", "m/c"]);
    world.want(&["m/x"]);
    let Action::Evict(gone) = world.end(OrderOutcome::Done).action else {
        panic!("no eviction was ordered");
    };
    world.pass(400);
    let kept = ["m/a", "m/b", "m/c"].into_iter().filter(|a| *a != gone);
    let report = Some(Report {
        born: 1,
        seq: 1,
        held: held(&kept.collect::<Vec<_>>()),
        ..Report::default()
    });
    let id = "e1".to_owned();
    world.give(Input::Reported { id, report });
    assert_that!(world.end(OrderOutcome::Accepted).action, eq(&load("m/x")));
    world.pass(200);
    world.list(&["m/a", "m/b", "m/c"]);
    world.want(&[&gone]);
    // A slot is freed for it, so it isn't taken for held.
    assert_that!(world.orders.len(), eq(1));
}

/// Many callers use the base model without any adapter. It was ordered like a busy
/// adapter, again and again, and its engine loaded nothing else meanwhile.
#[gtest]
fn a_base_model_in_use_is_not_loaded_again() {
    let mut world = World::new(2);
    let sync = Sync {
        demand: vec![("m".to_owned(), 300)],
        wants: vec!["m".to_owned()],
        ..Sync::default()
    };
    world.give(Input::Sync(Ticket(5), sync));
    world.pass(100);
    assert_that!(world.orders, is_empty());
}

/// Two zones lose engines and have many adapters waiting for their share of the store,
/// while the other zones leave theirs unused.
#[gtest]
fn an_owner_uses_half_of_the_unused_store_capacity() {
    for (elsewhere, most) in [(Some(0), 10), (Some(8), 6), (Some(14), 4), (None, 4)] {
        let config = Config {
            zones: 4,
            ..Config::default()
        };
        let mut world = World::with(4, config);
        let sync = Sync {
            wants: (0..12).map(|n| format!("m/a{n}")).collect(),
            loading_elsewhere: elsewhere,
            ..Sync::default()
        };
        world.give(Input::Sync(Ticket(6), sync));
        let mut loads = 0;
        while !world.orders.is_empty() {
            world.end(OrderOutcome::Accepted);
            loads += 1;
        }
        expect_that!(loads, eq(most), "with {elsewhere:?} elsewhere");
    }
}

/// A zone owner is frozen for seconds just after it has filled an engine, while a list
/// made before is on its way to it. It took the slots for free and ordered one more load,
/// which crashes the engine with all its requests.
#[gtest]
fn a_list_from_before_a_freeze_frees_no_place() {
    let mut world = World::new(1);
    let asked = world.now;
    world.pass(10);
    for adapter in ["m/a", "m/b", "m/c"] {
        world.want(&[adapter]);
        world.end(OrderOutcome::Accepted);
    }
    world.now = world.now + Duration::from_secs(5);
    world.list_asked(asked, &[]);
    world.want(&["m/x"]);
    assert_that!(world.orders.len(), eq(1));
    assert_that!(world.orders[0].action, matches_pattern!(Action::Evict(_)));
}

/// A load gets no answer and is executed seconds later. The next order evicts an adapter
/// that is already gone, which the engine doesn't count. The late load makes the counts
/// equal again, and a third order loads more than there is room for. So the owner has to
/// request a report after such an eviction.
#[gtest]
fn an_uncounted_eviction_after_an_unknown_outcome_needs_a_report() {
    let _mark = base::ExpectedMark::new("order_outcome_unknown");
    let mut world = World::new(1);
    world.list(&["m/a", "m/b", "m/c"]);
    world.want(&["m/x"]);
    world.end(OrderOutcome::Unknown);
    world.pass(20);
    world.report_all();
    assert_that!(
        world.end(OrderOutcome::Done).action,
        matches_pattern!(Action::Evict(_))
    );
    assert_that!(world.orders, is_empty());
    world.pass(400);
    assert_that!(world.reports, eq(&vec!["e1".to_owned()]));
}

/// The owner of a zone is killed, and one of its loads is executed seconds later, under
/// the next owner. That one evicts an adapter that is already gone, which the engine
/// doesn't count, and would load more than there is room for.
#[gtest]
fn an_uncounted_eviction_by_a_new_owner_needs_a_report() {
    let mut world = World::new(1);
    world.list(&["m/a", "m/b", "m/c"]);
    world.want(&["m/x"]);
    assert_that!(
        world.end(OrderOutcome::Done).action,
        matches_pattern!(Action::Evict(_))
    );
    assert_that!(world.orders, is_empty());
    world.pass(400);
    assert_that!(world.reports, eq(&vec!["e1".to_owned()]));
}

/// The eviction of an adapter is ordered while a request of another instance still uses
/// it. It was announced as usable in two seconds: callers waited for it and were refused.
#[gtest]
fn an_adapter_being_evicted_is_not_announced() {
    let mut world = World::new(1);
    for adapter in ["m/a", "m/b", "m/c"] {
        announced_wait(&mut world, adapter);
    }
    world.pass(500);
    world.own_zone();
    world.want(&["m/x"]);
    let Action::Evict(gone) = world.end(OrderOutcome::Accepted).action else {
        panic!("no eviction was ordered");
    };
    world.give(Input::Sync(Ticket(14), Sync::default()));
    let targets = world.answers.last().and_then(|a| a.targets.clone());
    let mut residents = targets.into_iter().flatten().flat_map(|t| t.residents);
    assert_that!(residents.any(|r| r.adapter == gone), eq(false));
    // Its slot is still taken: nothing is loaded there.
    world.want(&["m/x"]);
    assert_that!(
        world
            .orders
            .iter()
            .all(|o| matches!(o.action, Action::Evict(_))),
        eq(true)
    );
}
