//! What becomes of the callers of a service that has too little room, over all entry
//! instances, with and without admission.

#[path = "fleet/world.rs"]
mod world;

use googletest::prelude::*;
use world::{ACCOUNTS, Fate, Kind, RANKS, Trouble, World};

/// Time at which troubles begin, and in which requests are counted, in milliseconds.
const BEGIN: u64 = 5_000;
const END: u64 = 15_000;

/// Length of a run: the last requests have their answer or have given up.
const RUN: u64 = 36_000;

/// Seeds of each case, whose requests are added up.
const SEEDS: u64 = 2;

/// The account that asks for more than usual.
const HOT: usize = 2;

/// Least part of a rank that is served, and of the most urgent one that is served in time.
const MIN_SERVED: f64 = 0.1;
const URGENT_IN_TIME: f64 = 0.85;

/// Most that a less urgent rank is served more than a more urgent one.
const RANK_SLACK: f64 = 0.05;

/// Most that other accounts lose.
const OTHERS_LOSE: f64 = 0.05;

fn run(on: bool, kinds: &[Kind]) -> World {
    let trouble = |kind: &Kind| Trouble {
        at: BEGIN,
        until: END,
        kind: *kind,
    };
    let troubles: Vec<_> = kinds.iter().map(trouble).collect();
    let worlds = (1..=SEEDS).map(|seed| {
        let mut world = World::new(on, &troubles, seed, (BEGIN, END));
        world.run(RUN);
        world
    });
    let add = |mut all: World, world: World| {
        for (sum, fate) in all
            .fates
            .iter_mut()
            .flatten()
            .zip(world.fates.iter().flatten())
        {
            *sum = add(sum, fate);
        }
        all.fullest = all.fullest.max(world.fullest);
        all
    };
    worlds.reduce(add).expect("there are seeds")
}

fn add(sum: &Fate, fate: &Fate) -> Fate {
    Fate {
        owed: sum.owed + fate.owed,
        served: sum.served + fate.served,
        in_time: sum.in_time + fate.in_time,
        refused: sum.refused + fate.refused,
    }
}

fn sum<'a>(fates: impl IntoIterator<Item = &'a Fate>) -> Fate {
    fates
        .into_iter()
        .fold(Fate::default(), |sum, fate| add(&sum, fate))
}

fn of_rank(world: &World, rank: usize) -> Fate {
    sum(world.fates.iter().map(|ranks| &ranks[rank]))
}

fn of_account(world: &World, account: usize) -> Fate {
    sum(&world.fates[account])
}

fn served(fate: Fate) -> f64 {
    f64::from(fate.served) / f64::from(fate.owed)
}

fn in_time(fate: Fate) -> f64 {
    f64::from(fate.in_time) / f64::from(fate.owed)
}

/// Returns Jain's index of the parts of the accounts' requests that are served in time.
fn jain(world: &World) -> f64 {
    let shares = (0..ACCOUNTS).map(|account| in_time(of_account(world, account)));
    let shares: Vec<f64> = shares.collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// Returns the least part of any account but the one that asks for more than usual.
fn worst(world: &World, part: impl Fn(Fate) -> f64) -> f64 {
    let others = (0..ACCOUNTS).filter(|account| *account != HOT);
    let parts = others.map(|account| part(of_account(world, account)));
    parts.fold(1.0, f64::min)
}

fn show(name: &str, world: &World) {
    let ranks = (0..RANKS).map(|rank| {
        let fate = of_rank(world, rank);
        format!("{:.3}/{:.3}", served(fate), in_time(fate))
    });
    let ranks: Vec<_> = ranks.collect();
    let all = sum(world.fates.iter().flatten());
    let others = others(world);
    println!(
        "| {name} | {} | {:.3}/{:.3} | {:.3}/{:.3} | {:.3}/{:.3} | {} | {:.2} | {:.3} |",
        ranks.join(" | "),
        served(all),
        in_time(all),
        served(others),
        in_time(others),
        worst(world, served),
        worst(world, in_time),
        all.refused,
        world.fullest,
        jain(world)
    );
}

const CALM: &[Kind] = &[];
const WAVE: &[Kind] = &[Kind::Wave(2.0)];
const ACCOUNT: &[Kind] = &[Kind::Account(HOT, 7.5)];
const URGENT: &[Kind] = &[Kind::AccountRank(HOT, 0, 15.0)];
const RANK: &[Kind] = &[Kind::Rank(2, 2.4), Kind::Wave(1.3)];
const RETRIES: &[Kind] = &[Kind::Wave(2.0), Kind::Impatient(0.3)];
const ALL_RETRY: &[Kind] = &[Kind::Wave(2.0), Kind::Impatient(1.0)];
const PERSISTENT: &[Kind] = &[Kind::Wave(2.0), Kind::Persistent];
const MORE: &[Kind] = &[Kind::Wave(2.5)];
const LOST: &[Kind] = &[Kind::Lost(0.34), Kind::Wave(1.2)];
const NO_OWNER: &[Kind] = &[Kind::Wave(2.0), Kind::NoOwner(0)];
const CUT: &[Kind] = &[Kind::Wave(2.0), Kind::Cut(0)];
const RESTART: &[Kind] = &[Kind::Wave(2.0), Kind::Restart(0.3)];
const NO_CONTROL: &[Kind] = &[Kind::Wave(2.0), Kind::NoControl];

/// Prints the table of the design note; it checks nothing.
#[test]
#[ignore = "prints a table, by hand"]
fn table() {
    let rows = [
        ("calm", CALM),
        ("all twice as much", WAVE),
        ("all 2.5 times as much", MORE),
        ("one account 7.5 times", ACCOUNT),
        ("one account 15 times, rank 0 only", URGENT),
        ("rank 2 2.4 times, all 1.3 times", RANK),
        ("all twice as much, 30% come back at once", RETRIES),
        ("all twice as much, all come back three times", PERSISTENT),
        ("a third of engines lost, all 1.2 times", LOST),
        ("all twice as much, an owner lost", NO_OWNER),
        ("all twice as much, a zone cut", CUT),
        ("all twice as much, 30% restarted", RESTART),
        ("all twice as much, no control instance", NO_CONTROL),
    ];
    for (name, kinds) in rows {
        for (how, on) in [("without", false), ("with", true)] {
            show(&format!("{name}, {how}"), &run(on, kinds));
        }
    }
}

fn check_order(world: &World) {
    let ranks = (0..RANKS).map(|rank| served(of_rank(world, rank)));
    let ranks: Vec<f64> = ranks.collect();
    for (rank, part) in ranks.iter().enumerate() {
        assert_that!(*part, ge(MIN_SERVED), "{ranks:?}");
        let later = ranks[rank..].iter().copied().fold(0.0, f64::max);
        assert_that!(later - part, le(RANK_SLACK), "{ranks:?}");
    }
}

fn check_order_of(kinds: &[Kind]) {
    check_order(&run(true, kinds));
}

base::cases! {
    /// Guards against callers with much time who come back after the shortage, and are served
    /// more than more urgent ones who had less.
    ranks_are_in_order_though_callers_have_different_times: check_order_of => {
        more_than_urgent_work_fills: MORE,
        three_times: &[Kind::Wave(3.0)],
        persistent: PERSISTENT,
        engines_lost: &[Kind::Lost(0.34), Kind::Wave(2.0)],
        urgent_of_one_and_all_retry: &[Kind::AccountRank(HOT, 0, 15.0), Kind::Impatient(1.0)],
    }
}

/// Returns what became of all accounts but the one that asks for more than usual.
fn others(world: &World) -> Fate {
    let others = (0..ACCOUNTS).filter(|account| *account != HOT);
    sum(others.flat_map(|account| &world.fates[account]))
}

/// Checks that more urgent ranks are served more, that each gets something, and that
/// urgent ones and the whole are served sooner than without admission.
fn check_ranks(kinds: &[Kind]) {
    let (with, without) = (run(true, kinds), run(false, kinds));
    let ranks: Vec<f64> = (0..RANKS)
        .map(|rank| served(of_rank(&with, rank)))
        .collect();
    for (rank, part) in ranks.iter().enumerate() {
        assert_that!(*part, ge(MIN_SERVED), "{ranks:?}");
        let later = ranks[rank..].iter().copied().fold(0.0, f64::max);
        assert_that!(later - part, le(RANK_SLACK), "{ranks:?}");
    }
    assert_that!(in_time(of_rank(&with, 0)), ge(URGENT_IN_TIME));
    let all = |world: &World| in_time(sum(world.fates.iter().flatten()));
    assert_that!(all(&with), gt(all(&without)));
    assert_that!(with.fullest, lt(without.fullest));
}

base::cases! {
    /// Guards against queues of less urgent requests at engines while urgent ones are
    /// refused there, and against ranks that get nothing.
    ranks_are_served_in_order: check_ranks => {
        wave: WAVE,
        one_rank: &[Kind::Rank(2, 2.4), Kind::Wave(1.6)],
        retries: RETRIES,
        all_retry: ALL_RETRY,
        engines_lost: &[Kind::Lost(0.34), Kind::Wave(1.4)],
        no_owner: NO_OWNER,
        cut: CUT,
        restart: RESTART,
    }
}

/// Checks that ranks are in order though one account's own are not like the others'.
///
/// Its urgent work beyond its share waits behind the others' less urgent work, so that the
/// urgent rank as a whole is served less than if the account had all room.
#[gtest]
fn ranks_are_in_order_where_one_account_asks_for_urgent_work_only() {
    let (with, without) = (run(true, URGENT), run(false, URGENT));
    check_order(&with);
    assert_that!(served(others(&with)), gt(served(others(&without)) + 0.1));
}

/// Checks that accounts that ask for no more than usual lose little to one that does.
fn check_others(kinds: &[Kind]) {
    let (with, calm) = (run(true, kinds), run(true, CALM));
    assert_that!(worst(&with, served), ge(worst(&calm, served) - OTHERS_LOSE));
    assert_that!(
        worst(&with, in_time),
        ge(worst(&calm, in_time) - OTHERS_LOSE)
    );
    let (with, calm) = (others(&with), others(&calm));
    assert_that!(served(with), ge(served(calm) - OTHERS_LOSE));
    assert_that!(in_time(with), ge(in_time(calm) - OTHERS_LOSE));
}

base::cases! {
    /// Guards against room that goes to whoever asks for most.
    others_lose_little: check_others => {
        hot: ACCOUNT,
        hot_and_restart: &[Kind::Account(HOT, 7.5), Kind::Restart(0.3)],
        hot_and_no_owner: &[Kind::Account(HOT, 7.5), Kind::NoOwner(1)],
        hot_and_retries: &[Kind::Account(HOT, 7.5), Kind::Impatient(0.3)],
    }
}

#[gtest]
fn nothing_is_refused_while_there_is_room() {
    for kinds in [
        CALM,
        &[Kind::Restart(0.3)],
        &[Kind::Cut(0)],
        &[Kind::NoControl],
    ] {
        let (with, without) = (run(true, kinds), run(false, kinds));
        let all = |world: &World| sum(world.fates.iter().flatten());
        assert_that!(all(&with).refused, eq(0));
        assert_that!(all(&with).served, eq(all(&without).served));
    }
}

#[gtest]
fn shares_are_more_even_than_without() {
    let (with, without) = (jain(&run(true, WAVE)), jain(&run(false, WAVE)));
    assert_that!(with, ge(0.98));
    assert_that!(with, gt(without));
}

#[gtest]
fn without_control_instances_nobody_is_refused_for_long() {
    let world = run(true, NO_CONTROL);
    for rank in 0..RANKS {
        assert_that!(served(of_rank(&world, rank)), ge(0.4));
    }
}
