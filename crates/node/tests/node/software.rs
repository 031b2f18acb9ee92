//! Streams that break while engines of several software versions serve.

use std::{collections::BTreeMap, time::Duration};

use base::{Fence, Refusal, Ticket};
use googletest::prelude::*;
use node::{Ending, Progress};
use request::Part;

use crate::world::World;

/// Breaks a stream after `tokens` tokens, where `e-1` and `e-2` run these versions, and
/// returns whether it goes on, and whether elsewhere.
fn goes_on(software: [&'static str; 2], tokens: u32) -> (bool, bool) {
    let mut world = World::bare();
    world.software = BTreeMap::from([("e-1", software[0]), ("e-2", software[1])]);
    for engine in ["e-1", "e-2"] {
        world.owned.insert(engine.to_owned(), Fence(7));
    }
    world.list(
        1,
        &[("e-1", "drafting"), ("e-2", "drafting"), ("p-1", "portal")],
    );
    world.pass(Duration::from_secs(20));
    world.arrive(1, "letters", None);
    world.pass(Duration::from_secs(2));
    let first = world.sent.remove(0);
    world.head(&first);
    if tokens > 0 {
        world.progress(&first, 2, Progress::Piece(Part::Tokens(tokens)));
    }
    let broken = Progress::Failed {
        verdict: base::Verdict::MayHaveRun,
        reason: Refusal::TargetFailed,
        retry: None,
    };
    world.progress(&first, 3, broken);
    world.pass(Duration::from_secs(4));
    match world.sent.first() {
        Some(second) => {
            assert_that!(second.resume, eq(tokens));
            (true, second.target != first.target)
        }
        None => {
            let ended = world.ended.get(&Ticket(1));
            assert_that!(ended, some(matches_pattern!(Ending::Broken(_))));
            (false, false)
        }
    }
}

fn check((software, tokens, expected): ([&'static str; 2], u32, (bool, bool))) {
    assert_that!(goes_on(software, tokens), eq(expected));
}

base::cases! {
    /// Guards against a stream that goes on at an engine of another software version, or of
    /// one that isn't known.
    streams_go_on_at_the_version_that_began_them: check => {
        same_version: (["v1", "v1"], 3, (true, true)),
        no_token_yet: (["v1", "v2"], 0, (true, true)),
        no_version_known: (["", ""], 3, (false, false)),
    }
}

/// Guards against a stream that goes on at another version; it may go on where it broke.
#[test]
fn another_version_gets_no_rest() {
    let (_, elsewhere) = goes_on(["v1", "v2"], 3);
    assert_that!(elsewhere, eq(false));
}
