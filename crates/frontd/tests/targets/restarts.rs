//! Streams that callers take up after instances were killed, stood still or heard late what
//! targets run.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    deployment::Deployment,
    engines::{checked, raw_table},
    versioned::{EVENTS, PAUSE},
    versions::{Counts, EACH, Fleet, LIST_TIME, Taker, run},
};

/// Time for which instances that were killed are down.
const DOWN_TIME: Duration = Duration::from_millis(800);

/// Starts two entry instances that can be killed, and waits until the lists have settled.
async fn start_entries(deployment: &Deployment) {
    for entry in [1, 2] {
        deployment.start_entry_alone(entry);
        deployment.wait_ready(entry).await;
    }
    sleep(LIST_TIME).await;
}

/// How a release goes that all instances are killed in, after streams have begun at v1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// Targets of one version serve throughout.
    None,
    /// Targets of v2 join; those of both versions stay.
    Joined,
    /// Targets of v2 join, and those of v1 leave while all instances are down.
    Replaced,
}

/// What is killed after streams have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    /// All instances at the same moment.
    All,
    /// The control instance, and once it is back the entry instance where streams began.
    InTurn,
}

/// Whether the control instance's journal of streams outlasts that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Journal {
    Kept,
    Lost,
}

/// Checks streams that callers take up after instances were killed and started again.
fn check_killed((killed, release, journal): (Killed, Release, Journal)) {
    run(async {
        let software: &[&str] = match release {
            Release::None => &["v1", "v1"],
            Release::Joined | Release::Replaced => &["v1", "v1", "v2", "v2"],
        };
        let fleet = Fleet::start_alone(software).await;
        let (old, new) = fleet.targets.split_at(2);
        new.iter().for_each(|target| target.unlist());
        let deployment = &fleet.deployment;
        start_entries(deployment).await;
        if release == Release::Joined {
            new.iter().for_each(|target| target.enlist());
            sleep(LIST_TIME).await;
        }
        let each = (1..EVENTS).flat_map(|event| std::iter::repeat_n(event, EACH));
        let begun = each.map(|event| fleet.begin(1, event, "/resumable/x", String::new()));
        let mut streams = join_all(begun).await;
        if release == Release::Replaced {
            new.iter().for_each(|target| target.enlist());
        }
        sleep(LIST_TIME).await;
        deployment.kill_control();
        if killed == Killed::All {
            deployment.kill_entry(1);
            deployment.kill_entry(2);
        }
        if release == Release::Replaced {
            for target in old {
                target.end();
                target.unlist();
            }
        }
        sleep(DOWN_TIME).await;
        deployment.wait_gone(0).await;
        if journal == Journal::Lost {
            deployment.lose_journal();
        }
        deployment.start_control(false);
        match killed {
            Killed::All => {
                for entry in [1, 2] {
                    deployment.wait_gone(entry).await;
                    deployment.start_entry_alone(entry);
                }
            }
            Killed::InTurn => {
                sleep(LIST_TIME).await;
                deployment.kill_entry(1);
            }
        }
        deployment.wait_ready(2).await;
        sleep(LIST_TIME).await;
        join_all(streams.iter_mut().map(|s| fleet.take_up(2, s))).await;
        let counts = ["v1", "v2"].map(|version| Counts::of(&streams, version));
        println!("{killed:?}, {release:?}, {journal:?}: {counts:?}");
        for counts in counts {
            assert_that!(counts.wrong, eq(0), "{counts:?}");
            assert_that!(counts.on + counts.refused, eq(counts.all), "{counts:?}");
            if release != Release::Replaced {
                assert_that!(2 * counts.on, ge(counts.all), "{counts:?}");
            }
        }
    });
}

base::cases! {
    /// Guards against a stream whose caller takes it up after instances were killed, and gets
    /// the rest of another software version, or nothing though targets of its own serve.
    streams_are_taken_up_at_their_version_after_instances_were_killed: check_killed => {
        all_with_one_version: (Killed::All, Release::None, Journal::Kept),
        all_with_one_version_without_the_journal: (Killed::All, Release::None, Journal::Lost),
        all_with_two_versions: (Killed::All, Release::Joined, Journal::Kept),
        all_in_a_release: (Killed::All, Release::Replaced, Journal::Kept),
        all_in_a_release_without_the_journal: (Killed::All, Release::Replaced, Journal::Lost),
        in_turn_with_two_versions: (Killed::InTurn, Release::Joined, Journal::Kept),
        in_turn_without_the_journal: (Killed::InTurn, Release::Joined, Journal::Lost),
    }
}

/// Which instance is out of step while targets of a new version join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutOfStep {
    /// The entry instance where streams are taken up stands still.
    Taker,
    /// The control instance stands still, so that lists are read elsewhere.
    Owner,
}

/// Checks streams that begin at a new version through one instance, while another one is out
/// of step, and that are taken up as that goes on.
fn check_out_of_step((out, is_named): (OutOfStep, bool)) {
    /// For how long an instance is out of step: until the lists are read elsewhere.
    const TIME: Duration = Duration::from_millis(5_000);

    run(async {
        let fleet = Fleet::start_alone(&["v1", "v1", "v2", "v2"]).await;
        let (_, new) = fleet.targets.split_at(2);
        new.iter().for_each(|target| target.unlist());
        let deployment = &fleet.deployment;
        start_entries(deployment).await;
        let back = Instant::now() + TIME;
        match out {
            OutOfStep::Taker => deployment.freeze_entry(2, TIME),
            OutOfStep::Owner => deployment.freeze_control(TIME),
        }
        new.iter().for_each(|target| target.enlist());
        sleep(TIME - PAUSE * 10).await;
        let each = (1..EVENTS).flat_map(|event| std::iter::repeat_n(event, 2 * EACH));
        let begun = each.map(|event| fleet.begin(1, event, "/resumable/x", String::new()));
        let mut streams = join_all(begun).await;
        deployment.kill_entry(1);
        sleep_until(back + Duration::from_millis(10)).await;
        let taken_up = streams.iter_mut().map(|stream| {
            let named = vec![("resumes", stream.id.clone())];
            let named = if is_named { named } else { Vec::new() };
            fleet.take_up_with(2, stream, named, EVENTS + 1)
        });
        join_all(taken_up).await;
        let counts = ["v1", "v2"].map(|version| Counts::of(&streams, version));
        println!("{out:?}, named {is_named}: {counts:?}");
        assert_that!(counts[1].all, gt(5));
        assert_that!([counts[0].wrong, counts[1].wrong], eq([0, 0]));
    });
}

base::cases! {
    /// Guards against a stream that goes on at another software version, at an instance that
    /// was out of step as the version that began it joined.
    streams_are_not_mixed_by_an_instance_out_of_step: check_out_of_step => {
        taker_named: (OutOfStep::Taker, true),
        taker_unnamed: (OutOfStep::Taker, false),
        owner_named: (OutOfStep::Owner, true),
        owner_unnamed: (OutOfStep::Owner, false),
    }
}

/// Guards against the rest of a stream that runs at a service to which its route no longer
/// sends anything.
#[test]
fn streams_do_not_go_on_at_a_service_of_weight_zero() {
    run(async {
        let moved = Arc::new(AtomicBool::new(false));
        let is_moved = Arc::clone(&moved);
        let config = Arc::new(move || {
            let mut table = raw_table(0, None);
            let other = table.services["s"].clone();
            table.services.insert("t".to_owned(), other);
            let weight = if is_moved.load(Ordering::Relaxed) {
                0
            } else {
                100
            };
            let split = [("s", weight), ("t", 100 - weight)];
            for route in &mut table.routes {
                route.split = split.map(|(name, weight)| (name.to_owned(), weight)).into();
            }
            checked(table)
        });
        let fleet = Fleet::start_configured(&["v1", "v1"], config).await;
        let mut streams = fleet.begin_all(Taker::Another).await;
        moved.store(true, Ordering::Relaxed);
        fleet.deployment.submit("/2").await;
        sleep(LIST_TIME).await;
        for (no, stream) in streams.iter_mut().enumerate() {
            fleet.take_up(if no % 2 == 0 { 1 } else { 2 }, stream).await;
        }
        let counts = Counts::of(&streams, "v1");
        assert_that!(counts.refused, eq(counts.all), "{counts:?}");
    });
}

/// Guards against streams that began at a target while the platform's list still showed the
/// version it ran before it started again, and that go on at that version.
#[test]
fn streams_of_a_target_that_was_listed_late_do_not_go_on_at_its_former_version() {
    run(async {
        let fleet = Fleet::start(&["v1", "v1"]).await;
        let restarted = &fleet.targets[0];
        restarted.restart("v2", Duration::ZERO).await;
        let begun = (0..40).map(|_| fleet.begin(1, 2, "/resumable/x", String::new()));
        let mut streams = join_all(begun).await;
        restarted.show();
        sleep(LIST_TIME).await;
        for (no, stream) in streams.iter_mut().enumerate() {
            fleet.take_up(if no % 2 == 0 { 1 } else { 2 }, stream).await;
        }
        let counts = ["v1", "v2"].map(|version| Counts::of(&streams, version));
        println!("{counts:?}");
        assert_that!(counts[1].all, gt(5));
        assert_that!(counts[0].on, eq(counts[0].all));
        assert_that!([counts[0].wrong, counts[1].wrong], eq([0, 0]));
    });
}
