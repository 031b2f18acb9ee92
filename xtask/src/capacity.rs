//! `cargo xtask capacity`: measures the processor time, memory and message sizes of one
//! instance at several sizes of its surroundings, and fits a line to them.
//!
//! Each size runs in a process of its own, one after the other, so that memory still
//! resident from one size does not count for the next. The instance's clock is virtual; the
//! time that its computation takes is real.

mod calls;
mod control;
mod entry;
mod fit;
mod tool;
mod world;

use std::{fs, process::Command as Process, time::Instant};

use anyhow::{Context, Result, bail, ensure};
use clap::{Arg, ArgMatches, Command, value_parser};

use self::fit::Line;

/// One table: a measurement that is repeated for several sizes.
struct Case {
    name: &'static str,
    /// What the size counts; heading of the first column.
    size: &'static str,
    sizes: &'static [usize],
    columns: &'static [&'static str],
    run: fn(usize) -> Result<Vec<f64>>,
}

const CASES: &[Case] = &[
    entry::TEXT,
    entry::TARGETS,
    entry::PEERS,
    entry::OWNED,
    entry::PASSED,
    entry::UPDATES_SENT,
    entry::UPDATES_RECEIVED,
    entry::REPORT,
    control::BEATS,
    control::CLAIMS,
    control::CHANGES,
    tool::OPERATOR,
    calls::CALLS,
];

/// Returns the command line.
pub(crate) fn command() -> Command {
    Command::new("capacity")
        .about("Measures what one instance costs at several sizes; build with --release")
        .arg(Arg::new("case").long("case").help("Only this table"))
        .arg(
            Arg::new("size")
                .long("size")
                .requires("case")
                .value_parser(value_parser!(usize))
                .help("Only this size, in this process, as bare figures"),
        )
}

/// Prints the tables, or the bare figures of one size with `--size`.
///
/// # Errors
///
/// Fails when a case is unknown or can't be measured.
pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let only = args.get_one::<String>("case");
    let chosen = CASES
        .iter()
        .filter(|case| only.is_none_or(|only| only == case.name));
    let chosen: Vec<_> = chosen.collect();
    ensure!(!chosen.is_empty(), "no such case");
    if let Some(size) = args.get_one::<usize>("size") {
        let figures = (chosen[0].run)(*size)?;
        let figures = figures.iter().map(f64::to_string).collect::<Vec<_>>();
        println!("{}", figures.join(" "));
        return Ok(());
    }
    println!("load of the machine at the start: {}", load_averages()?);
    for case in chosen {
        print_table(case)?;
    }
    println!("load of the machine at the end: {}", load_averages()?);
    Ok(())
}

/// Measures all sizes of one case and prints them with the fitted lines.
fn print_table(case: &Case) -> Result<()> {
    let began = Instant::now();
    let mut rows = Vec::new();
    println!("\n## {}\n", case.name);
    println!("| {} | {} |", case.size, case.columns.join(" | "));
    println!("|{}", " --- |".repeat(case.columns.len() + 1));
    for size in case.sizes {
        let figures = measure_in_process(case, *size)?;
        let cells = figures.iter().map(|figure| format_figure(*figure));
        println!("| {size} | {} |", cells.collect::<Vec<_>>().join(" | "));
        rows.push((*size as f64, figures));
    }
    let lines = (0..case.columns.len()).map(|at| {
        let points = rows.iter().map(|(size, figures)| (*size, figures[at]));
        Line::through(&points.collect::<Vec<_>>())
    });
    let lines: Vec<Line> = lines.collect();
    let print_row = |label: &str, value: fn(&Line) -> f64| {
        let cells = lines.iter().map(|line| format_figure(value(line)));
        println!("| {label} | {} |", cells.collect::<Vec<_>>().join(" | "));
    };
    print_row("slope", |line| line.slope);
    print_row("intercept", |line| line.intercept);
    print_row("residual", |line| line.residual);
    println!("\ntook {} s", began.elapsed().as_secs());
    Ok(())
}

/// Measures one size in a process of its own, which runs this binary with `--size`.
fn measure_in_process(case: &Case, size: usize) -> Result<Vec<f64>> {
    let output = Process::new(std::env::current_exe()?)
        .args(["capacity", "--case", case.name, "--size", &size.to_string()])
        .output()?;
    if !output.status.success() {
        let why = String::from_utf8_lossy(&output.stderr);
        bail!("{} at {size}: {why}", case.name);
    }
    let text = String::from_utf8(output.stdout)?;
    let figures = text.split_whitespace().map(str::parse);
    let figures = figures.collect::<Result<Vec<f64>, _>>()?;
    ensure!(figures.len() == case.columns.len(), "a column is missing");
    Ok(figures)
}

/// Formats a figure with four significant digits.
fn format_figure(figure: f64) -> String {
    let magnitude = figure.abs().max(1e-9).log10().floor() as i32;
    let digits = usize::try_from(3 - magnitude).unwrap_or(0).min(9);
    format!("{figure:.digits$}")
}

/// Returns the machine's load averages.
fn load_averages() -> Result<String> {
    let load = fs::read_to_string("/proc/loadavg")?;
    let three = load.split_whitespace().take(3).collect::<Vec<_>>();
    Ok(three.join(" "))
}

/// Returns this process's resident memory in MiB.
fn resident_mib() -> Result<f64> {
    /// Size in bytes of a memory page on the supported machines.
    const PAGE: f64 = 4_096.0;
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split(' ').nth(1).context("no resident pages")?;
    Ok(pages.parse::<f64>()? * PAGE / f64::from(1 << 20))
}

/// Returns the peak resident memory of this process so far, in MiB.
fn peak_mib() -> Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    Ok(kib.context("no VmHWM")?.parse::<f64>()? / 1_024.0)
}

/// Returns the size in bytes of an encoded message between instances.
fn encoded_len<T: serde::Serialize>(value: &T) -> Result<f64> {
    Ok(rmp_serde::to_vec(value)?.len() as f64)
}

/// Returns `text` with one line changed: the first adapter with a single version gets a
/// second one.
fn with_added_version(text: &str) -> String {
    text.replacen("= [1]\n", "= { versions = [1, 2], serve = 1 }\n", 1)
}
