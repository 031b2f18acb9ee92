//! `cargo xtask measure`: the decisions against the baselines.

use std::{panic::resume_unwind, process::ExitCode};

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgMatches, Command, value_parser};
use measure::{Comparison, Policy, compare, figures, mean_stalls, workload, world};

/// Describes the chore.
pub(crate) fn command() -> Command {
    let number = |name| Arg::new(name).long(name).value_parser(value_parser!(u64));
    Command::new("measure")
        .about("Measures load and routing decisions in virtual time against baselines")
        .arg(number("from").default_value("1").help("First seed"))
        .arg(number("seeds").default_value("1").help("How many seeds"))
        .arg(
            Arg::new("only")
                .long("only")
                .help("Only workloads whose name holds this"),
        )
}

/// Prints the table; fails when the aim is not met.
///
/// # Errors
///
/// Fails when no workload has the wanted name.
pub(crate) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let from = *args.get_one::<u64>("from").context("no seed")?;
    let seeds = *args.get_one::<u64>("seeds").context("no number of seeds")?;
    let only = args.get_one::<String>("only").map_or("", String::as_str);
    let names = workload::names();
    let picked = (0..names.len()).filter(|i| names[*i].contains(only));
    let picked: Vec<usize> = picked.collect();
    ensure!(!picked.is_empty(), "no workload has `{only}` in its name");
    let mut total = vec![figures::Figures::default(); Policy::ALL.len()];
    let mut lines = Vec::new();
    println!("{}", figures::HEAD);
    for i in &picked {
        let rows = measure_one(*i, from, seeds);
        for (policy, row) in Policy::ALL.iter().zip(&rows) {
            println!("{}", row.row(&names[*i], policy.name()));
        }
        lines.push((&names[*i], verdict(&rows)));
        for (sum, row) in total.iter_mut().zip(rows) {
            sum.merge(row);
        }
    }
    for (policy, sum) in Policy::ALL.iter().zip(&total) {
        println!("{}", sum.row("all", policy.name()));
    }
    println!();
    for (name, line) in &lines {
        println!("{name}: {line}");
    }
    let each: Vec<_> = lines.into_iter().map(|(_, line)| line).collect();
    let met = each.iter().filter(|line| line.is_met()).count();
    let mean = mean_stalls(&each);
    println!(
        "met alone: {met} of {}; geometric mean of stalls x{mean:.2}",
        each.len()
    );
    let all = verdict(&total);
    println!(
        "all, seeds {from} to {}, ours against the best baseline: {all}",
        from + seeds - 1
    );
    Ok(match all.is_met() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Runs every policy on one workload, each on a thread of its own.
fn measure_one(i: usize, from: u64, seeds: u64) -> Vec<figures::Figures> {
    let one = |policy| {
        let mut sum = figures::Figures::default();
        for seed in from..from + seeds {
            let work = workload::one(i, seed);
            sum.merge(world::run(&work, policy, seed));
        }
        sum
    };
    std::thread::scope(|scope| {
        let runs = Policy::ALL.map(|policy| scope.spawn(move || one(policy)));
        let joined = runs.into_iter().map(|run| run.join());
        joined
            .map(|done| done.unwrap_or_else(|panic| resume_unwind(panic)))
            .collect()
    })
}

fn verdict(rows: &[figures::Figures]) -> Comparison {
    compare(&rows[0], &rows[1..])
}
