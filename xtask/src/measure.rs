//! `cargo xtask measure`: compares the load and routing policy with the baselines and with
//! the offline bound.

use std::{panic::resume_unwind, process::ExitCode};

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use measure::{
    BOUND_GAP_HEAD, BoundGap, Comparison, Policy, bound, compare,
    figures::{self, Figures},
    mean_stall_ratio,
    workload::{self, Span, Workload},
    world, worlds,
};

/// Returns the command line.
pub(crate) fn command() -> Command {
    let number = |name| Arg::new(name).long(name).value_parser(value_parser!(u64));
    Command::new("measure")
        .about("Measures load and routing decisions in virtual time against baselines and a bound")
        .arg(number("from").default_value("1").help("First seed"))
        .arg(number("seeds").default_value("1").help("How many seeds"))
        .arg(
            Arg::new("only")
                .long("only")
                .help("Only workloads whose name contains this"),
        )
        .arg(
            Arg::new("worlds")
                .long("worlds")
                .action(ArgAction::SetTrue)
                .help("Measures the synthetic worlds, one row each"),
        )
}

/// The selected workloads and seeds.
struct Plan {
    names: Vec<String>,
    /// Indices of the selected names.
    picked: Vec<usize>,
    make: fn(usize, u64) -> Workload,
    from: u64,
    seeds: u64,
}

/// Figures of all policies in one world, merged over all seeds.
struct WorldResult {
    rows: Vec<Figures>,
    gap: BoundGap,
}

/// Prints the tables; the exit code is a failure when the goals are not met.
///
/// # Errors
///
/// Fails when no workload's name contains the filter, when a policy exceeds the bound, or
/// when a synthetic world shows rule violations.
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
        true => (worlds::names(), |i, seed| worlds::nth(i, seed, Span::FULL)),
        false => (workload::names(), workload::nth),
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

/// Prints one row per synthetic world.
fn run_worlds(plan: &Plan) -> Result<ExitCode> {
    println!("{BOUND_GAP_HEAD}");
    for i in &plan.picked {
        let WorldResult { rows, gap } = measure_one(plan, *i);
        println!("{}", gap.row(&plan.names[*i]));
        ensure!(gap.bound_holds(), "the bound is exceeded: {gap:?}");
        let violations: Vec<u64> = rows.iter().map(|row| row.violations).collect();
        ensure!(
            violations.iter().all(|n| *n == 0),
            "rule violations: {violations:?}"
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn run_workloads(plan: &Plan) -> Result<ExitCode> {
    let mut total = vec![Figures::default(); Policy::ALL.len()];
    let mut lines = Vec::new();
    let mut gaps = Vec::new();
    println!("{}", figures::HEAD);
    for i in &plan.picked {
        let name = &plan.names[*i];
        let WorldResult { rows, gap } = measure_one(plan, *i);
        for (policy, row) in Policy::ALL.iter().zip(&rows) {
            println!("{}", row.row(name, policy.name()));
        }
        lines.push((name, compare_ours(&rows)));
        gaps.push((name, gap));
        for (sum, row) in total.iter_mut().zip(rows) {
            sum.merge(row);
        }
    }
    for (policy, sum) in Policy::ALL.iter().zip(&total) {
        println!("{}", sum.row("all", policy.name()));
    }
    println!("\n{BOUND_GAP_HEAD}");
    for (name, gap) in &gaps {
        println!("{}", gap.row(name));
        ensure!(gap.bound_holds(), "the bound is exceeded: {gap:?}");
    }
    println!();
    Ok(conclude(plan, &lines, &total))
}

/// Prints whether the goals are met.
fn conclude(plan: &Plan, lines: &[(&String, Comparison)], total: &[Figures]) -> ExitCode {
    for (name, line) in lines {
        println!("{name}: {line}");
    }
    let each: Vec<_> = lines.iter().map(|(_, line)| line.clone()).collect();
    let met = each.iter().filter(|line| line.is_met()).count();
    let mean = mean_stall_ratio(&each);
    println!(
        "met alone: {met} of {}; geometric mean of stalls x{mean:.2}",
        each.len()
    );
    let all = compare_ours(total);
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

/// Runs every policy on one workload and computes its bound, each on a thread of its own.
fn measure_one(plan: &Plan, i: usize) -> WorldResult {
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
        let gap = BoundGap::new(&rows[0], &rows[1..], bounds);
        WorldResult { rows, gap }
    })
}

fn compare_ours(rows: &[Figures]) -> Comparison {
    compare(&rows[0], &rows[1..])
}
