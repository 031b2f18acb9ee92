//! What the holder tells of targets: what has changed, once.
//!
//! Pattern: state that grows with engines and adapters, told to many listeners many
//! times a second. Sent whole at each change it fills the listeners' links and takes the
//! sender's processor; so each listener names what it has.

use base::Ticket;
use gateway::zone_owner::{OrderOutcome, Held, Input, Report};
use googletest::prelude::*;
use wire::fleet::{Sync, Synced};

use crate::world::{World, held};

fn ask(world: &mut World, news: u64) -> Synced {
    asked(
        world,
        Sync {
            news,
            ..Sync::default()
        },
    )
}

fn asked(world: &mut World, sync: Sync) -> Synced {
    world.answers.clear();
    world.give(Input::Sync(Ticket(40), sync));
    world.answers.remove(0)
}

fn ids(synced: &Synced) -> Vec<&str> {
    let targets = synced.targets.iter().flatten();
    targets.map(|target| target.id.as_str()).collect()
}

/// One adapter is loaded at one of many engines, and every entry instance gets the whole
/// list, many times a second.
#[gtest]
fn only_what_has_changed_is_told() {
    let mut world = World::new(50);
    let all = ask(&mut world, 0);
    assert_that!((all.whole, ids(&all).len()), eq((true, 50)));
    let same = ask(&mut world, all.news);
    assert_that!(same.whole, eq(false));
    assert_that!(same.targets, none());
    world.want(&["m/x"]);
    let order = world.end(OrderOutcome::Accepted);
    let one = ask(&mut world, all.news);
    assert_that!(one.whole, eq(false));
    assert_that!(ids(&one), eq(&vec![order.id.as_str()]));
    // The platform's list says the same again.
    world.list(&[]);
    let same = ask(&mut world, one.news);
    assert_that!(same.targets, none());
}

/// An entry instance was told by a holder that is gone. Its number may be higher than any
/// of the new holder's: it would be told nothing, and go by what was.
#[gtest]
fn a_number_of_another_life_is_told_all() {
    let mut world = World::new(3);
    let own = ask(&mut world, 0).news;
    for other in [1, own - 1_000, own + 1_000, u64::MAX] {
        let all = ask(&mut world, other);
        expect_that!(
            (all.whole, ids(&all).len()),
            eq((true, 3)),
            "number {other}"
        );
    }
}

/// An engine leaves the list. Whoever heard only of changes would go on sending there.
#[gtest]
fn a_target_that_is_gone_is_told() {
    let mut world = World::new(3);
    let all = ask(&mut world, 0);
    world.engines = 2;
    world.list(&[]);
    let less = ask(&mut world, all.news);
    assert_that!(less.gone, eq(&vec!["e3".to_owned()]));
    assert_that!((less.whole, ids(&less).len()), eq((false, 0)));
    world.engines = 3;
    world.list(&[]);
    let back = ask(&mut world, all.news);
    assert_that!(back.gone, is_empty());
    assert_that!(ids(&back), eq(&vec!["e3"]));
}

/// An engine refused a request for an adapter that its holder knows to be there. The entry
/// instance has dropped it, and would never hear of it again, as nothing has changed.
#[gtest]
fn what_was_dropped_is_told_again() {
    let mut world = World::new(3);
    let news = ask(&mut world, 0).news;
    let again = Sync {
        news,
        again: vec!["e2".to_owned()],
        ..Sync::default()
    };
    let told = asked(&mut world, again);
    assert_that!(ids(&told), eq(&vec!["e2"]));
    assert_that!(told.whole, eq(false));
}

/// The holder loses its zone and gets it back. What changed meanwhile under another was
/// numbered there.
#[gtest]
fn a_zone_that_comes_back_is_told_whole() {
    let mut world = World::new(2);
    let news = ask(&mut world, 0).news;
    world.pass(9_000);
    let lost = ask(&mut world, news);
    assert_that!((lost.whole, ids(&lost).len()), eq((true, 0)));
    world.own_zone();
    let back = ask(&mut world, lost.news);
    assert_that!((back.whole, ids(&back).len()), eq((true, 2)));
}

/// A question for adapters alone carries no load, and the load told before still counts.
#[gtest]
fn a_brief_question_leaves_load_as_it_was() {
    let mut world = World::new(1);
    let entry = |name: &str, unread, brief| Sync {
        instance: Some(name.parse().unwrap()),
        unread,
        brief,
        ..Sync::default()
    };
    asked(&mut world, entry("n1", vec![("e1".to_owned(), 500)], false));
    let brief = asked(&mut world, entry("n1", Vec::new(), true));
    assert_that!(brief.unread, is_empty());
    let other = asked(&mut world, entry("n2", Vec::new(), false));
    assert_that!(other.unread, eq(&vec![("e1".to_owned(), 500)]));
    let own = asked(&mut world, entry("n1", Vec::new(), false));
    assert_that!(own.unread, is_empty());
}

/// Guards against weights that are told of an engine which has started again since: its
/// former life's, by a list or by a report that comes late.
#[gtest]
fn weights_of_a_former_life_are_not_told() {
    let weights = |world: &mut World| {
        let told = ask(world, 0).targets.unwrap().remove(0).weights;
        told.first().map(|weights| weights.version)
    };
    let mut world = World::new(1);
    assert_that!(weights(&mut world), some(eq(1)));
    world.born = 2;
    world.list_held(Held::default());
    assert_that!(weights(&mut world), none());
    let late = Report {
        born: 1,
        held: held(&[]),
        ..Report::default()
    };
    let id = "e1".to_owned();
    let report = Some(late);
    world.give(Input::Reported { id, report });
    assert_that!(weights(&mut world), none());
}
