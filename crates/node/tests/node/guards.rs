//! Tests of the guards against outdated information: texts, lists, leases, and
//! what other owners publish about their engines.

use std::time::Duration;

use base::{Fence, TextVersion, Verdict};
use googletest::prelude::*;
use node::{Event, Input};
use wire::{
    call::{Call, Reply, Residents},
    patch::Patch,
    platform::List,
};

use crate::world::{TEXT, World, text_with_weight};

fn in_force(world: &World) -> Vec<TextVersion> {
    let texts = world.events.iter().filter_map(|event| match event {
        Event::TextInForce(version) => Some(*version),
        _ => None,
    });
    texts.collect()
}

/// Guards against an accepted change being reverted for a moment: the reply to
/// an older fetch arrives after a newer text came into force.
#[test]
fn a_version_never_goes_back() {
    base::covers!(older_text_ignored);
    let mut world = World::serving();
    world.held_text = true;
    world.text = (TextVersion(2), text_with_weight(2));
    world.pass(Duration::from_secs(2));
    let late = world.take_text();
    // The fetch ends without a reply; the next one returns a newer text.
    world.held_text = false;
    world.text = (TextVersion(3), text_with_weight(3));
    world.lose(late);
    world.pass(Duration::from_secs(2));
    assert_that!(world.node.version(), eq(TextVersion(3)));
    world.held_text = true;
    world.text.0 = TextVersion(4);
    world.pass(Duration::from_secs(2));
    let call = world.take_text();
    let text = TEXT.to_owned();
    let version = TextVersion(2);
    let reply = Ok(Reply::Text { version, text });
    world.input(Input::Replied { call, reply });
    assert_that!(world.node.version(), eq(TextVersion(3)));
    assert_that!(
        in_force(&world),
        elements_are![eq(&TextVersion(1)), eq(&TextVersion(3))]
    );
}

/// Guards against requests running on an adapter version that is hours old: the
/// process is frozen while the text changes. It has to query the other
/// instances before it is ready again.
#[test]
fn a_thawed_node_asks_before_it_takes_work() {
    base::covers!(freeze_detected);
    let mut world = World::serving();
    assert_that!(world.ready, eq(true));
    world.text = (TextVersion(2), text_with_weight(2));
    world.now = world.now + Duration::from_secs(300);
    let from = world.trace.len();
    world.input(Input::Wake);
    world.pass(Duration::from_secs(1));
    let lines = &world.trace[from..];
    let at = |what: &str| lines.iter().position(|line| line.contains(what));
    let order = [
        at("Ready(false)"),
        at("TextInForce(TextVersion(2))"),
        at("Ready(true)"),
    ];
    assert_that!(order, each(some(anything())));
    assert_that!(order.is_sorted(), eq(true));
    assert_that!(world.node.version(), eq(TextVersion(2)));
}

/// Guards against requests to a target that is being replaced: two answers of
/// the platform arrive out of order, and the older one lists the target as live.
#[test]
fn an_older_list_is_ignored() {
    base::covers!(older_list_ignored);
    let mut world = World::serving();
    world.list(3, &[("e-1", "drafting")]);
    world.list(2, &[("e-1", "drafting"), ("p-1", "portal")]);
    let ticket = world.arrive(1, "listing", None);
    assert_that!(world.sent, is_empty());
    assert_that!(world.ended.contains_key(&ticket), eq(true));
}

/// Guards against requests refused by an engine whose adapter was just unloaded:
/// the earlier owner of a newly owned engine may still send orders. No request
/// may be sent before the engine has accepted an order of the node, which makes
/// it refuse those of the earlier owner.
#[test]
fn nothing_is_sent_while_earlier_owners_may_give_orders() {
    base::covers!(send_without_lease);
    let mut world = World::bare();
    world.owned.insert("e-1".to_owned(), Fence(7));
    world.former = vec![Fence(3)];
    world
        .resident
        .insert("e-1".to_owned(), vec!["film-live@2".to_owned()]);
    world.engines_answer = false;
    world.list(1, &[("e-1", "drafting"), ("p-1", "portal")]);
    world.pass(Duration::from_secs(20));
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(1));
    assert_that!(world.sent, is_empty());
    world.finish_orders();
    world.pass(Duration::from_secs(2));
    assert_that!(world.sent.len(), eq(1));
}

fn residents(fence: u64, serial: u64, full: bool) -> Call {
    Call::Residents(Residents {
        owner: "blato-1".parse().unwrap(),
        target: "e-2".parse().unwrap(),
        fence: Fence(fence),
        serial,
        full,
        added: Vec::new(),
        removed: Vec::new(),
        in_flight: 0,
        queued: 0,
        evict_cost: 0,
    })
}

/// Guards against requests sent to an engine for an adapter that is no longer
/// resident, each of which would wait for a load: a published change was lost,
/// or comes from an owner that was replaced.
#[test]
fn published_residents_are_applied_in_order() {
    base::covers!(gap_in_residents);
    base::covers!(older_owner_ignored);
    let mut world = World::serving();
    let granted = |world: &mut World, call| match world.called(1, call) {
        Some(Reply::Confirm { granted }) => granted,
        other => panic!("{other:?}"),
    };
    assert_that!(granted(&mut world, residents(4, 1, true)), eq(true));
    assert_that!(granted(&mut world, residents(4, 2, false)), eq(true));
    assert_that!(granted(&mut world, residents(4, 4, false)), eq(false));
    assert_that!(granted(&mut world, residents(4, 4, true)), eq(true));
    assert_that!(granted(&mut world, residents(5, 1, true)), eq(true));
    assert_that!(granted(&mut world, residents(4, 5, false)), eq(true));
    assert_that!(granted(&mut world, residents(5, 2, false)), eq(true));
}

/// A node that never received a text is never ready. Without a leader it still
/// answers calls for its version.
#[test]
fn readiness_needs_a_text() {
    let mut world = World::bare();
    world.leader_answers = false;
    world.input(Input::List(None::<List>));
    world.pass(Duration::from_secs(10));
    assert_that!(world.ready, eq(false));
    let reply = world.called(1, Call::Version);
    assert_that!(reply, some(eq(&Reply::Version(TextVersion(0)))));
    let reply = Err(Verdict::NotRun);
    world.input(Input::Replied { call: 999, reply });
}

/// Guards against one instance serving a text that no operator wrote: patches
/// are applied to a text that they were not made for. The hash of the result
/// differs, and the full text is fetched instead.
#[test]
fn a_patch_that_does_not_fit_is_not_taken() {
    base::covers!(patch_does_not_fit);
    let mut world = World::serving();
    let second = text_with_weight(2);
    let third = text_with_weight(3);
    world.held_text = true;
    world.text = (TextVersion(2), second.clone());
    world.pass(Duration::from_secs(2));
    world.patched(&[Patch::between(TEXT, &second)], &second);
    assert_that!(world.node.version(), eq(TextVersion(2)));
    world.text = (TextVersion(3), third.clone());
    world.pass(Duration::from_secs(2));
    world.patched(&[Patch::between(TEXT, &third), Patch::default()], &second);
    assert_that!(world.node.version(), eq(TextVersion(2)));
    world.held_text = false;
    world.pass(Duration::from_secs(2));
    assert_that!(world.node.version(), eq(TextVersion(3)));
    assert_that!(world.asked, some(eq(TextVersion(0))));
}

/// Guards against an adapter being unloaded while a request runs on it. The node
/// has lost the leader and its lease, the engine restarts, and the next owner
/// loads an adapter. If the node took it from the engine's report, it would send
/// a request that the next owner does not know of.
#[test]
fn an_owner_without_lease_learns_no_residents() {
    base::covers!(restricted_ignores_new_residents);
    let mut world = World::serving();
    world.zone_peers = vec!["dubrava-2"];
    world.pass(Duration::from_secs(3));
    world.leader_answers = false;
    world.pass(Duration::from_secs(20));
    world.incarnation = 2;
    world
        .resident
        .insert("e-1".to_owned(), vec!["film-live@2".to_owned()]);
    world.engines_answer = false;
    world.pass(Duration::from_secs(2));
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    assert_that!(world.sent, is_empty());
}

/// Guards against a zone without service: it is cut off and its only instance
/// restarts. The instance serves the text saved on disk, and a newer one as soon
/// as an instance that it can reach has it.
#[test]
fn a_saved_text_is_served_until_a_newer_one_is_heard_of() {
    base::covers!(saved_text_taken);
    let mut world = World::bare();
    world.leader_answers = false;
    let version = TextVersion(3);
    let text = TEXT.to_owned();
    world.input(Input::Saved { version, text });
    world.list(1, &[("e-1", "drafting"), ("p-1", "portal")]);
    world.pass(Duration::from_secs(5));
    assert_that!(world.ready, eq(true));
    assert_that!(world.node.version(), eq(version));
    world.arrive(1, "listing", None);
    assert_that!(world.sent.len(), eq(1));
    world.leader_answers = true;
    world.text = (TextVersion(4), text_with_weight(2));
    world.pass(Duration::from_secs(3));
    assert_that!(world.node.version(), eq(TextVersion(4)));
}

/// Guards against an accepted change being reverted for a moment: the check of
/// one text ends after a newer text came into force.
#[test]
fn a_late_check_does_not_revert_the_text() {
    base::covers!(late_check_ignored);
    let mut world = World::serving();
    world.slow_check = true;
    world.text = (TextVersion(2), text_with_weight(2));
    world.pass(Duration::from_secs(2));
    assert_that!(world.node.version(), eq(TextVersion(1)));
    world.slow_check = false;
    world.text = (TextVersion(3), text_with_weight(3));
    world.pass(Duration::from_secs(2));
    assert_that!(world.node.version(), eq(TextVersion(3)));
    let model = text::Model::try_from(TEXT).ok().map(std::sync::Arc::new);
    let version = TextVersion(2);
    world.input(Input::Checked { version, model });
    let versions = in_force(&world);
    assert_that!(
        versions,
        elements_are![eq(&TextVersion(1)), eq(&TextVersion(3))]
    );
}

/// An instance that was replaced by one of another name is no longer sent
/// published residents.
#[test]
fn nobody_calls_an_instance_that_is_gone() {
    let mut world = World::serving();
    world.zone_peers = vec!["dubrava-2"];
    world.pass(Duration::from_secs(3));
    let called = |world: &World, from: usize| {
        let lines = world.trace[from..].iter();
        lines
            .filter(|line| line.contains("Residents(") && line.contains("9101"))
            .count()
    };
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    assert_that!(called(&world, 0), gt(0));
    world.zone_peers.clear();
    world.pass(Duration::from_secs(3));
    let from = world.trace.len();
    world.input(Input::CallerGone(base::Ticket(1)));
    world.arrive(2, "letters", None);
    world.pass(Duration::from_secs(5));
    assert_that!(called(&world, from), eq(0));
}
