//! Series of trouble that overlap, drawn from a seed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::{sleep, timeout_at};

use crate::{
    fleet::{ENTRIES, Fleet},
    links::Cut,
};

/// Time that a target is dark until it is replaced.
const DARK: Duration = Duration::from_secs(4);

/// Time from the first word of a target that it leaves to its end: the list never says so.
const LEAVES_FOR: Duration = Duration::from_millis(4_500);

/// Causes trouble until `until`, and ends it.
pub(crate) async fn cause_until(fleet: &Arc<Fleet>, seed: u64, until: Instant) {
    let rng = |series| StdRng::seed_from_u64((seed << 8) + series);
    let series = async {
        tokio::join!(
            silences(fleet, rng(1)),
            configurations(fleet, rng(2)),
            links(fleet, rng(4)),
        )
    };
    // What is being stopped or is dark is given its time.
    let (_, (), ()) = tokio::join!(
        timeout_at(until.into(), series),
        instances(fleet, rng(3), until),
        targets(fleet, rng(5), until),
    );
    for entry in 1..=ENTRIES {
        fleet.cut(entry, Cut::No);
    }
}

async fn pause(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    let time = Duration::from_millis(rng.random_range(from..to));
    sleep(time).await;
    time
}

/// One target, some or all fall silent for 0.5 to 3 s.
async fn silences(fleet: &Fleet, mut rng: StdRng) {
    loop {
        pause(&mut rng, 300, 2_500).await;
        let all = fleet.targets().len();
        let n = *[1, 1, all / 2, all].choose(&mut rng).expect("not empty");
        let time = Duration::from_millis(rng.random_range(500..=3_000));
        let chosen: Vec<_> = fleet.targets().sample(&mut rng, n).collect();
        for target in chosen {
            target.fall_silent(time);
        }
    }
}

/// Targets that turn requests away and ask for rest, or say that they leave, until `until`.
pub(crate) async fn words_until(fleet: &Fleet, seed: u64, until: Instant) {
    let rng = |series| StdRng::seed_from_u64((seed << 8) + series);
    let series = async { tokio::join!(rests(fleet, rng(6)), leavings(fleet, rng(7))) };
    timeout_at(until.into(), series).await.ok();
}

/// One target after the other says that it leaves, and ends some time later.
async fn leavings(fleet: &Fleet, mut rng: StdRng) {
    loop {
        pause(&mut rng, 1_000, 4_000).await;
        let target = fleet.targets().choose(&mut rng).expect("not empty");
        target.leave();
        sleep(LEAVES_FOR).await;
        target.crash();
    }
}

/// One target or some turn requests away for a while and ask for rest.
async fn rests(fleet: &Fleet, mut rng: StdRng) {
    loop {
        pause(&mut rng, 500, 3_000).await;
        let all = fleet.targets().len();
        let n = *[1, 1, 2, all / 2].choose(&mut rng).expect("not empty");
        let time = Duration::from_millis(rng.random_range(200..2_000));
        let rest = Duration::from_millis(rng.random_range(600..=3_000));
        let chosen: Vec<_> = fleet.targets().sample(&mut rng, n).collect();
        for target in chosen {
            target.turn_away(time, rest);
        }
    }
}

/// Changes of the configuration, alone and in quick succession.
async fn configurations(fleet: &Fleet, mut rng: StdRng) {
    loop {
        pause(&mut rng, 500, 3_000).await;
        for _ in 0..rng.random_range(1..4) {
            fleet.publish(rng.random_range(0..500)).await;
        }
    }
}

/// Stops and kills of entry instances, one at a time; each is started again.
async fn instances(fleet: &Fleet, mut rng: StdRng, until: Instant) {
    while Instant::now() < until {
        pause(&mut rng, 2_000, 5_000).await;
        let entry = rng.random_range(1..=ENTRIES);
        if rng.random_bool(0.5) {
            fleet.stop_entry(entry).await;
        } else {
            fleet.kill_entry(entry).await;
        }
        pause(&mut rng, 100, 1_000).await;
        fleet.start_entry(entry);
    }
}

/// Cuts of the links of one entry instance.
async fn links(fleet: &Fleet, mut rng: StdRng) {
    loop {
        pause(&mut rng, 4_000, 9_000).await;
        let entry = rng.random_range(1..=ENTRIES);
        let forms = [Cut::Hangs, Cut::Resets, Cut::RefusesNew];
        fleet.cut(entry, *forms.choose(&mut rng).expect("not empty"));
        pause(&mut rng, 300, 1_500).await;
        fleet.cut(entry, Cut::No);
    }
}

/// Crashes, and targets that go dark and are replaced.
async fn targets(fleet: &Fleet, mut rng: StdRng, until: Instant) {
    while Instant::now() < until {
        pause(&mut rng, 2_000, 6_000).await;
        let target = fleet.targets().choose(&mut rng).expect("not empty");
        if rng.random_bool(0.7) {
            target.crash();
        } else {
            target.go_dark(DARK).await;
        }
    }
}
