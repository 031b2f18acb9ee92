//! Starts one stand-in as a process: `standin engine --listen 127.0.0.1:0`.
//!
//! The first line printed is the address that the stand-in listens on. The gate prints the
//! address of its admin listener as the second line.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use anyhow::{Context, Result, bail, ensure};
use base::PerSecond;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standin::{Running, engine, gate, listen, platform, service, store};
use wire::platform::List;

#[tokio::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else {
        bail!("no subcommand");
    };
    let (running, _gate) = start(name, args).await?;
    stop_signal().await?;
    drop(running);
    Ok(())
}

fn command() -> Command {
    Command::new("standin")
        .about("Runs a stand-in for an outside system on the loopback interface")
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(with_listen(
            "service",
            "A plain HTTP service that counts executions",
        ))
        .subcommand(
            with_listen("store", "The weight store")
                .arg(number("rate", "5", "Loads that may start each second"))
                .arg(number("parallel", "2", "Concurrent loads at full speed"))
                .arg(number(
                    "load-ms",
                    "200",
                    "Duration of a load at full speed, in milliseconds",
                )),
        )
        .subcommand(
            with_listen("platform", "The platform's list")
                .arg(
                    Arg::new("list")
                        .long("list")
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(number(
                    "lag-ms",
                    "0",
                    "Delay in milliseconds until a change is shown",
                )),
        )
        .subcommand(
            with_listen(
                "gate",
                "A TCP proxy that can make its connections silent, for good or for a time, or close them",
            )
            .arg(address("target").required(true))
            .arg(address("admin").default_value("127.0.0.1:0")),
        )
}

fn engine_command() -> Command {
    let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
    with_listen("engine", "A model engine")
        .arg(number("slots", "4", "Adapter slots"))
        .arg(number("batch", "8", "Requests that run concurrently"))
        .arg(number("waiting", "256", "Requests that may be queued"))
        .arg(number("token-ms", "5", "Time per token, in milliseconds"))
        .arg(number(
            "prefill-ms",
            "0",
            "Time before the first token, in milliseconds",
        ))
        .arg(number(
            "load-ms",
            "50",
            "Duration of a load without a store, in milliseconds",
        ))
        .arg(number(
            "report-lag-ms",
            "0",
            "Age of reports, in milliseconds",
        ))
        .arg(number(
            "report-drop",
            "0",
            "Drops every n-th report; 0 drops none",
        ))
        .arg(number(
            "cache",
            "64",
            "Prompt heads that the prefix cache holds",
        ))
        .arg(address("store"))
        .arg(flag("ignore-fence").help("Accepts orders with an outdated fencing number"))
        .arg(flag("freezable").help("Lets connections be frozen, by a gate that adds a hop"))
        .arg(
            Arg::new("crash-on")
                .long("crash-on")
                .help("Ends the process soon after it begins a prompt that contains this text"),
        )
        .arg(
            Arg::new("resident")
                .long("resident")
                .action(ArgAction::Append),
        )
}

fn with_listen(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address("listen").default_value("127.0.0.1:0"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .help(help)
        .value_parser(value_parser!(u32))
}

fn address(name: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(SocketAddr::from_str)
}

async fn start(name: &str, args: &ArgMatches) -> Result<(Running, Option<gate::Gate>)> {
    let listen_at = at(args, "listen").context("no listen address")?;
    ensure!(
        listen_at.ip().is_loopback(),
        "a stand-in listens on the loopback interface only"
    );
    let listener = listen(listen_at).await?;
    let addr = listener.local_addr()?;
    let mut held = None;
    let running = match name {
        "engine" => engine::start(listener, engine_config(args)).await?,
        "service" => service::start(listener)?,
        "store" => store::start(listener, store_config(args))?,
        "platform" => platform::start(listener, list(args)?, millis(args, "lag-ms"))?,
        "gate" => {
            let target = at(args, "target").context("no target")?;
            let admin = listen(at(args, "admin").context("no admin address")?).await?;
            let gate = held.insert(gate::open(listener, target)?);
            gate::serve_admin(admin, gate)?
        }
        _ => bail!("unknown stand-in"),
    };
    println!("{addr}");
    if held.is_some() {
        println!("{}", running.addr);
    }
    Ok((running, held))
}

fn engine_config(args: &ArgMatches) -> engine::Config {
    let names = args.get_many::<String>("resident");
    engine::Config {
        slots: size(args, "slots"),
        batch: size(args, "batch"),
        waiting: size(args, "waiting"),
        token_time: millis(args, "token-ms"),
        prefill: millis(args, "prefill-ms"),
        load_time: millis(args, "load-ms"),
        store: at(args, "store"),
        check_fence: !args.get_flag("ignore-fence"),
        report_lag: millis(args, "report-lag-ms"),
        report_drop: u64::from(count(args, "report-drop")),
        cache: size(args, "cache"),
        freezable: args.get_flag("freezable"),
        crash_on: args.get_one::<String>("crash-on").cloned(),
        resident: names.unwrap_or_default().cloned().collect(),
    }
}

fn store_config(args: &ArgMatches) -> store::Config {
    store::Config {
        rate: PerSecond(count(args, "rate")),
        parallel: size(args, "parallel"),
        load_time: millis(args, "load-ms"),
    }
}

fn list(args: &ArgMatches) -> Result<List> {
    let Some(path) = args.get_one::<PathBuf>("list") else {
        return Ok(List {
            serial: 0,
            instances: Vec::new(),
            targets: Vec::new(),
        });
    };
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("can't read the list {}", path.display()))?;
    serde_json::from_str(&text)
        .with_context(|| format!("{} is not a platform list", path.display()))
}

fn count(args: &ArgMatches, name: &str) -> u32 {
    args.get_one(name).copied().unwrap_or_default()
}

fn size(args: &ArgMatches, name: &str) -> usize {
    count(args, name) as usize
}

fn millis(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(u64::from(count(args, name)))
}

fn at(args: &ArgMatches, name: &str) -> Option<SocketAddr> {
    args.get_one(name).copied()
}

async fn stop_signal() -> Result<()> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        res = tokio::signal::ctrl_c() => Ok(res?),
    }
}
