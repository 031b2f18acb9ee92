//! Callers in random trouble that is drawn from a seed: targets that fall silent and go on,
//! beside crashes, targets that go dark, stops and kills of entry instances, cut links and
//! changes of the configuration. One control instance, and entry instances as processes.

#[path = "soak/callers.rs"]
mod callers;
#[path = "common/engines.rs"]
mod engines;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/http.rs"]
mod http;
#[path = "soak/judge.rs"]
mod judge;
#[path = "targets/links.rs"]
mod links;
#[path = "common/platform.rs"]
mod platform;
#[path = "soak/target.rs"]
mod target;
#[path = "soak/trouble.rs"]
mod trouble;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use tokio::{runtime::Builder, time::sleep};

use crate::{fleet::Fleet, judge::Judged};

/// Time in which callers send requests.
const TIME: Duration = Duration::from_secs(20);

/// Time after which a silent target has read whatever has been sent to it.
const SETTLED: Duration = Duration::from_secs(4);

/// Runs one entry instance; the soak starts this as a process.
#[test]
#[ignore = "is started by the soak"]
fn entry_instance() {
    fleet::run_entry();
}

/// What comes beside the trouble that each soak has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// Requests that share a part which crashes targets.
    Parts,
    /// Targets that ask for rest, or say that they leave.
    Words,
}

/// Returns what callers were told or targets ran that breaks a promise.
fn soak(seed: u64, beside: Beside) -> Vec<String> {
    let mut builder = Builder::new_multi_thread();
    let runtime = builder.worker_threads(3).enable_all().build().unwrap();
    runtime.block_on(async {
        let fleet = Arc::new(Fleet::start().await);
        let begun = Instant::now();
        let until = |with| if beside == with { begun + TIME } else { begun };
        let (asked, (), (), ()) = tokio::join!(
            callers::ask_until(&fleet, seed, begun + TIME),
            trouble::cause_until(&fleet, seed, begun + TIME),
            callers::crash_until(&fleet, seed, until(Beside::Parts)),
            trouble::words_until(&fleet, seed, until(Beside::Words)),
        );
        sleep(SETTLED).await;
        let Judged { ends, mut faults } = judge::judge(&fleet, &asked, begun);
        faults.extend(judge::late_parts(&fleet));
        faults.extend(judge::unheeded(&fleet, &asked));
        let crashes = fleet.targets().iter().map(|t| t.part_crashes().len());
        let crashes: usize = crashes.sum();
        let words: usize = fleet.targets().iter().map(|t| t.words().len()).sum();
        let held_up = fleet.held_up(begun, Instant::now());
        println!(
            "seed {seed}: {} asked, {ends:?}, {crashes} crashes by a part, {words} words of \
             targets, held up for {held_up:?}",
            asked.len()
        );
        for fault in &faults {
            println!("seed {seed}: {fault}");
        }
        if !faults.is_empty() {
            fleet.keep_logs();
        }
        faults
    })
}

fn check(seed: u64) {
    assert_that!(soak(seed, Beside::Nothing), is_empty(), "seed {seed}");
}

fn check_parts(seed: u64) {
    assert_that!(soak(seed, Beside::Parts), is_empty(), "seed {seed}");
}

fn check_words(seed: u64) {
    assert_that!(soak(seed, Beside::Words), is_empty(), "seed {seed}");
}

base::cases! {
    /// Guards against requests that end without an answer or a refusal, run too often or for
    /// too long on two targets, or lose parts of their answers, where targets fall silent and
    /// go on beside other trouble.
    callers_are_answered_though_targets_fall_silent: check => {
        seed_4: 4,
        seed_7: 7,
        seed_10: 10,
    }
}

base::cases! {
    /// Guards against a part of prompts that crashes one target after the other beside other
    /// trouble.
    callers_are_answered_though_a_part_crashes_targets: check_parts => {
        parts_seed_3: 3,
    }
}

base::cases! {
    /// Guards against requests to targets that have asked for rest, or said that they leave, beside
    /// other trouble.
    targets_are_believed_beside_other_trouble: check_words => {
        words_seed_1: 1,
    }
}

/// The same with the seeds `QUETZALARCH_SEEDS`, such as `1..51`; with a part that crashes targets if
/// `QUETZALARCH_PARTS` is set, with targets that ask for rest or leave if `QUETZALARCH_WORDS` is.
#[test]
#[ignore = "takes half a minute for each seed"]
fn many_seeds() {
    let range = std::env::var("QUETZALARCH_SEEDS").unwrap_or_else(|_| "1..11".to_owned());
    let is_set = |name| std::env::var(name).is_ok();
    let beside = match (is_set("QUETZALARCH_PARTS"), is_set("QUETZALARCH_WORDS")) {
        (true, _) => Beside::Parts,
        (false, true) => Beside::Words,
        (false, false) => Beside::Nothing,
    };
    let (from, to) = range.split_once("..").expect("two seeds");
    let seeds = from.parse::<u64>().unwrap()..to.parse().unwrap();
    let failed: Vec<u64> = seeds
        .filter(|seed| !soak(*seed, beside).is_empty())
        .collect();
    assert_that!(failed, is_empty());
}
