//! `cargo xtask measure`: the decisions against the baselines and the bound.

use std::{panic::resume_unwind, process::ExitCode};

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use measure::{
    Comparison, Policy, STANDINGS, Standing, bound, compare,
    figures::{self, Figures},
    mean_stalls,
    workload::{self, Span, Workload},
    world, worlds,
};

/// Describes the chore.
pub(crate) fn command() -> Command {
    let number = |name| Arg::new(name).long(name).value_parser(value_parser!(u64));
    Command::new("measure")
        .about("Measures load and routing decisions in virtual time against baselines and a bound")
        .arg(number("from").default_value("1").help("First seed"))
        .arg(number("seeds").default_value("1").help("How many seeds"))
        .arg(
            Arg::new("only")
                .long("only")
                .help("Only workloads whose name holds this"),
        )
        .arg(
            Arg::new("worlds")
                .long("worlds")
                .action(ArgAction::SetTrue)
                .help("The worlds that no deployment has, one row each"),
        )
}

/// What is measured.
struct Plan {
    names: Vec<String>,
    /// Those of the names that were asked for.
    picked: Vec<usize>,
    make: fn(usize, u64) -> Workload,
    from: u64,
    seeds: u64,
}

/// What all policies came to in one world, over all seeds.
struct Outcome {
    rows: Vec<Figures>,
    standing: Standing,
}

/// Prints the tables; fails when the aim is not met or a bound doesn't hold.
///
/// # Errors
///
/// Fails when no workload has the wanted name.
pub(crate) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let plan = plan(args)?;
    match args.get_flag("worlds") {
        true => run_worlds(&plan),
        false => run_workloads(&plan),
    }
}

fn plan(args: &ArgMatches) -> Result<Plan> {
    let only = args.get_one::<String>("only").map_or("", String::as_str);
    let (names, make): (_, fn(usize, u64) -> Workload) = match args.get_flag("worlds") {
        true => (worlds::names(), |i, seed| worlds::one(i, seed, Span::FULL)),
        false => (workload::names(), workload::one),
    };
    let picked = (0..names.len()).filter(|i| names[*i].contains(only));
    let picked: Vec<usize> = picked.collect();
    ensure!(!picked.is_empty(), "no workload has `{only}` in its name");
    Ok(Plan {
        names,
        picked,
        make,
        from: *args.get_one::<u64>("from").context("no seed")?,
        seeds: *args.get_one::<u64>("seeds").context("no number of seeds")?,
    })
}

/// Prints one row a world.
fn run_worlds(plan: &Plan) -> Result<ExitCode> {
    println!("{STANDINGS}");
    for i in &plan.picked {
        let Outcome { rows, standing } = measure_one(plan, *i);
        println!("{}", standing.row(&plan.names[*i]));
        ensure!(standing.holds(), "the bound is exceeded: {standing:?}");
        let broken: Vec<u64> = rows.iter().map(|row| row.broken).collect();
        ensure!(broken.iter().all(|n| *n == 0), "rules broken: {broken:?}");
    }
    Ok(ExitCode::SUCCESS)
}

fn run_workloads(plan: &Plan) -> Result<ExitCode> {
    let mut total = vec![Figures::default(); Policy::ALL.len()];
    let mut lines = Vec::new();
    let mut standings = Vec::new();
    println!("{}", figures::HEAD);
    for i in &plan.picked {
        let name = &plan.names[*i];
        let Outcome { rows, standing } = measure_one(plan, *i);
        for (policy, row) in Policy::ALL.iter().zip(&rows) {
            println!("{}", row.row(name, policy.name()));
        }
        lines.push((name, verdict(&rows)));
        standings.push((name, standing));
        for (sum, row) in total.iter_mut().zip(rows) {
            sum.merge(row);
        }
    }
    for (policy, sum) in Policy::ALL.iter().zip(&total) {
        println!("{}", sum.row("all", policy.name()));
    }
    println!("\n{STANDINGS}");
    for (name, standing) in &standings {
        println!("{}", standing.row(name));
        ensure!(standing.holds(), "the bound is exceeded: {standing:?}");
    }
    println!();
    Ok(conclude(plan, &lines, &total))
}

/// Prints whether the aim is met.
fn conclude(plan: &Plan, lines: &[(&String, Comparison)], total: &[Figures]) -> ExitCode {
    for (name, line) in lines {
        println!("{name}: {line}");
    }
    let each: Vec<_> = lines.iter().map(|(_, line)| line.clone()).collect();
    let met = each.iter().filter(|line| line.is_met()).count();
    let mean = mean_stalls(&each);
    println!(
        "met alone: {met} of {}; geometric mean of stalls x{mean:.2}",
        each.len()
    );
    let all = verdict(total);
    println!(
        "all, seeds {} to {}, ours against the best baseline: {all}",
        plan.from,
        plan.from + plan.seeds - 1
    );
    match all.is_met() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs every policy on one workload, and the bound, each on a thread of its
/// own.
fn measure_one(plan: &Plan, i: usize) -> Outcome {
    let works = || (plan.from..plan.from + plan.seeds).map(|seed| (seed, (plan.make)(i, seed)));
    let one = |policy| {
        let mut sum = Figures::default();
        for (seed, work) in works() {
            sum.merge(world::run(&work, policy, seed));
        }
        sum
    };
    let bounds = || works().map(|(_, work)| bound(&work)).sum();
    std::thread::scope(|scope| {
        let bounds = scope.spawn(bounds);
        let runs = Policy::ALL.map(|policy| scope.spawn(move || one(policy)));
        let joined = runs.into_iter().map(|run| run.join());
        let rows: Vec<Figures> = joined
            .map(|done| done.unwrap_or_else(|panic| resume_unwind(panic)))
            .collect();
        let bounds = bounds.join().unwrap_or_else(|panic| resume_unwind(panic));
        let standing = Standing::new(&rows[0], &rows[1..], bounds);
        Outcome { rows, standing }
    })
}

fn verdict(rows: &[Figures]) -> Comparison {
    compare(&rows[0], &rows[1..])
}
