//! `cargo xtask soak`: tests the replicated log under random faults, with thousands of seeds.

use std::{
    panic,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use anyhow::{Result, bail};
use clap::{Arg, ArgMatches, Command, value_parser};
use faults::random::{self, Tally, Violation};

/// Number of threads that run seeds; bounded because other work shares the machine.
const THREADS: usize = 4;

/// Returns the command line.
pub(crate) fn command() -> Command {
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64));
    Command::new("soak")
        .about("Runs random faults against the log, from many seeds")
        .arg(number("from").default_value("1").help("The first seed"))
        .arg(number("seeds").default_value("1000").help("How many"))
}

/// Runs the seeds; prints the trace of the lowest failing seed that was found.
///
/// # Errors
///
/// Fails when a guarantee of the log is violated under a seed.
pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let first = *args.get_one::<u64>("from").expect("has a default");
    let seeds = *args.get_one::<u64>("seeds").expect("has a default");
    // A violated guarantee is a panic, which is caught and reported with its trace below, so
    // the default hook must not print it as well.
    panic::set_hook(Box::new(|_| {}));
    let started = Instant::now();
    let (total, broken) = run_all(first, first + seeds);
    if let Some(broken) = broken {
        println!("{}", broken.trace);
        bail!("seed {}: {}", broken.seed, broken.reason);
    }
    println!(
        "{seeds} seeds from {first} in {:.1} s: {} accepted, {} unknown, {} refused, none broken",
        started.elapsed().as_secs_f64(),
        total.accepted,
        total.unknown,
        total.refused,
    );
    Ok(())
}

fn run_all(first: u64, end: u64) -> (Tally, Option<Violation>) {
    let next = AtomicU64::new(first);
    let found = Mutex::new((Tally::default(), None::<Violation>));
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| run_seeds(&next, end, &found));
        }
    });
    found.into_inner().expect("no worker panics")
}

/// Runs seeds until none is left or one has failed.
fn run_seeds(next: &AtomicU64, end: u64, found: &Mutex<(Tally, Option<Violation>)>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let result = random::run(seed);
        let mut found = found.lock().expect("no worker panics");
        match result {
            Ok(tally) => add(&mut found.0, tally),
            Err(broken) => {
                next.store(end, Ordering::Relaxed);
                let earlier = found.1.as_ref().is_some_and(|old| old.seed < broken.seed);
                if !earlier {
                    found.1 = Some(*broken);
                }
                return;
            }
        }
    }
}

fn add(total: &mut Tally, one: Tally) {
    total.accepted += one.accepted;
    total.unknown += one.unknown;
    total.refused += one.refused;
}
