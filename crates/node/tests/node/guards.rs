//! Guards of what a node knows: texts, lists, leases, other owners' news.

use std::time::Duration;

use base::{Fence, TextVersion, Verdict};
use googletest::prelude::*;
use node::{Event, Input};
use wire::{
    call::{Call, Reply, Residents},
    patch::Patch,
    platform::List,
};

use crate::world::{TEXT, World, weighing};

fn in_force(world: &World) -> Vec<TextVersion> {
    let texts = world.events.iter().filter_map(|event| match event {
        Event::TextInForce(version) => Some(*version),
        _ => None,
    });
    texts.collect()
}

/// A user sees: a change that was accepted is undone for a moment. A reply
/// with the text before it was on its way while the newer one came.
#[test]
fn a_version_never_goes_back() {
    base::covers!(older_text_ignored);
    let mut world = World::serving();
    world.held_text = true;
    world.text = (TextVersion(2), weighing(2));
    world.pass(Duration::from_secs(2));
    let late = world.take_text();
    // Nothing of it came in time; the next try brings a newer one.
    world.held_text = false;
    world.text = (TextVersion(3), weighing(3));
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

/// A user sees: after a pause of the machine, requests run on the version of
/// hours ago. The process was frozen through a change; it asks around before
/// it is ready again.
#[test]
fn a_thawed_node_asks_before_it_takes_work() {
    base::covers!(thawed_asks_around);
    let mut world = World::serving();
    assert_that!(world.ready, eq(true));
    world.text = (TextVersion(2), weighing(2));
    world.now = world.now + Duration::from_secs(300);
    let from = world.trace.len();
    world.input(Input::Wake);
    world.pass(Duration::from_secs(1));
    let told = &world.trace[from..];
    let at = |what: &str| told.iter().position(|line| line.contains(what));
    let order = [
        at("Ready(false)"),
        at("TextInForce(TextVersion(2))"),
        at("Ready(true)"),
    ];
    assert_that!(order, each(some(anything())));
    assert_that!(order.is_sorted(), eq(true));
    assert_that!(world.node.version(), eq(TextVersion(2)));
}

/// A user sees: a target that is being replaced gets new work after all. Two
/// answers of the platform overtook each other, and the older one names the
/// target live.
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

/// A user sees: a request refused by the engine because its adapter has just
/// been unloaded. The node has a new engine whose earlier owner may still give
/// orders; until the engine has taken one of the node's own, which makes it
/// refuse the others, no request may go there.
#[test]
fn nothing_is_sent_to_an_engine_that_obeys_others() {
    base::covers!(send_without_lease);
    let mut world = World::bare();
    world.owned.insert("e-1".to_owned(), Fence(7));
    world.former = vec![Fence(3)];
    world
        .held
        .insert("e-1".to_owned(), vec!["film-live@2".to_owned()]);
    world.engines = false;
    world.list(1, &[("e-1", "drafting"), ("p-1", "portal")]);
    world.pass(Duration::from_secs(20));
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(1));
    assert_that!(world.sent, is_empty());
    world.finish_orders();
    world.pass(Duration::from_secs(2));
    assert_that!(world.sent.len(), eq(1));
}

fn news(fence: u64, serial: u64, whole: bool) -> Call {
    Call::Residents(Residents {
        owner: "blato-1".parse().unwrap(),
        target: "e-2".parse().unwrap(),
        fence: Fence(fence),
        serial,
        whole,
        added: Vec::new(),
        removed: Vec::new(),
        in_flight: 0,
        queued: 0,
        worth: 0,
    })
}

/// A user sees: requests go to an engine for an adapter that it dropped long
/// ago, and wait for a load each time. News of residents were lost, or come
/// from an owner that was replaced.
#[test]
fn news_of_residents_are_taken_in_order() {
    base::covers!(hole_in_residents);
    base::covers!(older_owner_ignored);
    let mut world = World::serving();
    let granted = |world: &mut World, call| match world.called(1, call) {
        Some(Reply::Confirm { granted }) => granted,
        other => panic!("{other:?}"),
    };
    assert_that!(granted(&mut world, news(4, 1, true)), eq(true));
    assert_that!(granted(&mut world, news(4, 2, false)), eq(true));
    assert_that!(granted(&mut world, news(4, 4, false)), eq(false));
    assert_that!(granted(&mut world, news(4, 4, true)), eq(true));
    assert_that!(granted(&mut world, news(5, 1, true)), eq(true));
    assert_that!(granted(&mut world, news(4, 5, false)), eq(true));
    assert_that!(granted(&mut world, news(5, 2, false)), eq(true));
}

/// A node without leader goes on answering the version that it has, and one
/// that never heard of a text is never ready.
#[test]
fn readiness_needs_a_text() {
    let mut world = World::bare();
    world.leader = false;
    world.input(Input::List(None::<List>));
    world.pass(Duration::from_secs(10));
    assert_that!(world.ready, eq(false));
    let reply = world.called(1, Call::Version);
    assert_that!(reply, some(eq(&Reply::Version(TextVersion(0)))));
    let reply = Err(Verdict::NotRun);
    world.input(Input::Replied { call: 999, reply });
}

/// A user sees: one instance answers by a text that nobody wrote. It was a
/// little behind and patched a text that was not the one the patch was made
/// for; the result is compared, and the whole text fetched instead.
#[test]
fn a_patch_that_does_not_fit_is_not_taken() {
    base::covers!(patch_does_not_fit);
    let mut world = World::serving();
    let second = weighing(2);
    let third = weighing(3);
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

/// A user sees: a request that loses its adapter amid the answer. The node has
/// lost leader and lease; the engine restarts, its successor loads an adapter,
/// the node sees it in a report and sends a request there that the successor
/// knows nothing of.
#[test]
fn an_owner_without_lease_learns_no_residents() {
    base::covers!(restricted_learns_nothing);
    let mut world = World::serving();
    world.mates = vec!["dubrava-2"];
    world.pass(Duration::from_secs(3));
    world.leader = false;
    world.pass(Duration::from_secs(20));
    world.life = 2;
    world
        .held
        .insert("e-1".to_owned(), vec!["film-live@2".to_owned()]);
    world.engines = false;
    world.pass(Duration::from_secs(2));
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    assert_that!(world.sent, is_empty());
}

/// A user sees: nothing answers in a zone that is cut off, because its only
/// instance was restarted. It has the text that was in force, serves it, and
/// takes a newer one as soon as somebody in reach has it.
#[test]
fn a_saved_text_is_served_until_a_newer_one_is_heard_of() {
    base::covers!(saved_text_taken);
    let mut world = World::bare();
    world.leader = false;
    let version = TextVersion(3);
    let text = TEXT.to_owned();
    world.input(Input::Saved { version, text });
    world.list(1, &[("e-1", "drafting"), ("p-1", "portal")]);
    world.pass(Duration::from_secs(5));
    assert_that!(world.ready, eq(true));
    assert_that!(world.node.version(), eq(version));
    world.arrive(1, "listing", None);
    assert_that!(world.sent.len(), eq(1));
    world.leader = true;
    world.text = (TextVersion(4), weighing(2));
    world.pass(Duration::from_secs(3));
    assert_that!(world.node.version(), eq(TextVersion(4)));
}

/// A user sees: a change that was accepted is undone for a moment. The check of
/// one text takes long, a newer one comes into force, then the check ends.
#[test]
fn a_check_that_ends_late_takes_nothing_back() {
    base::covers!(late_check_ignored);
    let mut world = World::serving();
    world.slow_check = true;
    world.text = (TextVersion(2), weighing(2));
    world.pass(Duration::from_secs(2));
    assert_that!(world.node.version(), eq(TextVersion(1)));
    world.slow_check = false;
    world.text = (TextVersion(3), weighing(3));
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

/// An instance that was replaced under another name gets no more news.
#[test]
fn nobody_calls_an_instance_that_is_gone() {
    let mut world = World::serving();
    world.mates = vec!["dubrava-2"];
    world.pass(Duration::from_secs(3));
    let called = |world: &World, from: usize| {
        let told = world.trace[from..].iter();
        told.filter(|line| line.contains("Residents(") && line.contains("9101"))
            .count()
    };
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    assert_that!(called(&world, 0), gt(0));
    world.mates.clear();
    world.pass(Duration::from_secs(3));
    let from = world.trace.len();
    world.input(Input::CallerGone(base::Ticket(1)));
    world.arrive(2, "letters", None);
    world.pass(Duration::from_secs(5));
    assert_that!(called(&world, from), eq(0));
}
