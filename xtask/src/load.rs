//! `cargo xtask load`: sends a seeded mix of requests at a given rate and counts their
//! outcomes.
//!
//! It calls the entry instances named by `--entry`. Without any it starts a small deployment
//! of its own, checks which requests the services executed, and compares the latency through
//! an entry instance with that of a direct call. The number of requests, the time and the
//! number of requests at once are bounded.

mod faults;
mod mix;
mod send;
mod tally;

use std::{
    collections::BTreeMap, fs, net::SocketAddr, process::ExitCode, sync::Arc, time::Duration,
};

use anyhow::{Context, Result, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use lab::{Lab, Plan};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};
use web::client::Client;

use self::{faults::FaultTargets, mix::Mix, send::Site, tally::Tally};
use crate::{root, test::cargo};

/// Longest wait for the next of the answers that are still missing at the end.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of calls each way when direct and forwarded calls are compared.
const COMPARED_CALLS: usize = 1_000;

/// Returns the command line.
pub(crate) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = value_parser!(u64).range(1..);
        let arg = Arg::new(name).long(name).default_value(default);
        arg.value_parser(parser).help(help)
    };
    let text = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("load")
        .about("Sends a seeded mix of requests and counts their outcomes")
        .arg(
            Arg::new("entry")
                .long("entry")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("An entry instance; without any, a small deployment is started"),
        )
        .arg(text(
            "key",
            "sample-key-kazaliste",
            "The brand's bearer key",
        ))
        .arg(text("brand", "kazaliste", "The brand"))
        .arg(text("assistant", "drafting", "The assistant"))
        .arg(text(
            "listing",
            "listing/calls",
            "A plain path that may be retried",
        ))
        .arg(text(
            "submit",
            "submissions/apply",
            "A plain path that may not be retried",
        ))
        .arg(number("seed", "1", "Seed of the mix"))
        .arg(number("rate", "50", "Requests a second"))
        .arg(number("seconds", "10", "Duration of the load in seconds"))
        .arg(number("requests", "100000", "Maximum number of requests"))
        .arg(
            Arg::new("faults")
                .long("faults")
                .action(ArgAction::SetTrue)
                .conflicts_with("entry")
                .help("Injects faults and silences of engines and services during the run"),
        )
        .arg(number(
            "at-once",
            "512",
            "Maximum number of requests at once",
        ))
}

/// Runs the load.
///
/// # Errors
///
/// Fails when the deployment doesn't start or doesn't shut down cleanly, when answers are
/// missing or were cut without a word, when a marked request ran twice, or when answers
/// contradict what ran.
pub(crate) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    let entries: Vec<SocketAddr> = args
        .get_many("entry")
        .unwrap_or_default()
        .copied()
        .collect();
    if !entries.is_empty() {
        runtime
            .block_on(send_all(site(args, entries), args))?
            .print();
        return Ok(ExitCode::SUCCESS);
    }
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    runtime.block_on(with_lab(args))?;
    Ok(ExitCode::SUCCESS)
}

fn site(args: &ArgMatches, entries: Vec<SocketAddr>) -> Site {
    let text = |name| args.get_one::<String>(name).cloned().unwrap_or_default();
    Site {
        client: Client::default(),
        entries,
        key: text("key"),
        assistant: text("assistant"),
        listing: format!("/{}/{}", text("brand"), text("listing")),
        submit: format!("/{}/{}", text("brand"), text("submit")),
    }
}

async fn with_lab(args: &ArgMatches) -> Result<()> {
    let plan = Plan {
        zones: ["dubrava", "jankomir"].map(str::to_owned).to_vec(),
        engine_flags: match args.get_flag("faults") {
            true => vec!["--freezable".to_owned()],
            false => Vec::new(),
        },
        ..Plan::small()
    };
    let mut lab = Lab::start("load", &plan).await?;
    let text = fs::read_to_string(root().join("samples/agency.toml"))?;
    let version = lab.apply("load-1", &text).await?;
    lab.wait_ready(version).await?;
    lab.wait_owned().await?;
    let entries = lab.entries.iter().map(|entry| entry.listen).collect();
    let site = site(args, entries);
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or(1);
    let faults = async {
        if !args.get_flag("faults") {
            return Ok(());
        }
        let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
        FaultTargets::of(&lab)
            .run(Duration::from_secs(seconds), seed)
            .await
    };
    let (tally, injected) = tokio::join!(send_all(site.clone(), args), faults);
    injected?;
    let tally = tally?;
    tally.print();
    let ran = executions(&lab).await?;
    tally.check(&ran)?;
    compare(&site, &lab).await?;
    ensure!(lab.stop().await?, "a daemon did not shut down cleanly");
    lab.clean()
}

/// Sends the mix in an open loop: a slow answer delays no later request. A request beyond
/// the bound on requests at once is skipped and counted.
async fn send_all(site: Site, args: &ArgMatches) -> Result<Tally> {
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let mut mix = Mix::new(number("seed"), number("rate"));
    let start = Instant::now();
    let end = start + Duration::from_secs(number("seconds"));
    let permits = usize::try_from(number("at-once"))?;
    let permits = Arc::new(Semaphore::new(permits));
    let (site, mut tasks, mut tally) = (Arc::new(site), JoinSet::new(), Tally::default());
    let mut at = start;
    for _ in 0..number("requests") {
        let (gap, request) = mix.draw();
        at += gap;
        if at >= end {
            break;
        }
        sleep_until(at).await;
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            tally.skipped += 1;
            continue;
        };
        let site = Arc::clone(&site);
        tasks.spawn(async move {
            let outcomes = site.send(&request).await;
            drop(permit);
            outcomes
        });
        while let Some(done) = tasks.try_join_next() {
            tally.add(done?);
        }
    }
    while let Some(done) = timeout(ANSWER_TIMEOUT, tasks.join_next())
        .await
        .context("answers are still missing after the timeout")?
    {
        tally.add(done?);
    }
    tally.took = start.elapsed();
    Ok(tally)
}

/// Returns how often the services executed the request of each idempotency key.
async fn executions(lab: &Lab) -> Result<BTreeMap<String, u64>> {
    let mut all = BTreeMap::new();
    for service in &lab.services {
        let stats = lab::Caller::new(service.address, "")
            .get("/admin/stats")
            .await?;
        let ran = stats["executions"].as_object().context("no executions")?;
        for (key, n) in ran {
            *all.entry(key.clone()).or_default() += n.as_u64().unwrap_or_default();
        }
    }
    Ok(all)
}

/// Compares calls through an entry instance with direct calls of a service. Both alternate,
/// so that the machine's load is the same for them.
async fn compare(site: &Site, lab: &Lab) -> Result<()> {
    let service = lab.services.first().context("no service")?;
    let entry = *site.entries.first().context("no entry instance")?;
    let (mut direct, mut through) = (tally::histogram(), tally::histogram());
    for _ in 0..COMPARED_CALLS {
        direct.saturating_record(site.list(service.address).await?);
        through.saturating_record(site.list(entry).await?);
    }
    println!("\n{COMPARED_CALLS} listings each way, in turns, microseconds:");
    println!("direct             {}", tally::quantiles(&direct));
    println!("through an entry   {}", tally::quantiles(&through));
    Ok(())
}
