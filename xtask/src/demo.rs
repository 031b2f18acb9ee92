//! `cargo xtask demo`: the path of a request end to end, in separate processes on loopback.
//!
//! Starts the daemons of a small agency, with simulated engines and services, and applies
//! its sample text. For two brands it sends a streamed completion, one without streaming,
//! and a request to a plain service, and prints on which adapter and version each
//! completion ran. At the end it shuts all daemons down cleanly.

use std::{collections::BTreeMap, fs, process::ExitCode};

use anyhow::{Context, Result, ensure};
use base::Verdict;
use bytes::Bytes;
use clap::{ArgMatches, Command};
use lab::{Chat, Lab, Plan, Reply};
use web::Method;
use wire::header;

use crate::{root, test::cargo};

/// Two brands of the sample: name, API key, and the prompt of a caller.
const BRANDS: [(&str, &str, &str); 2] = [
    (
        "kazaliste",
        "sample-key-kazaliste",
        "A cover note for the role of Dora, please.",
    ),
    (
        "film",
        "sample-key-film",
        "Shorten my letter for the casting in Split.",
    ),
];

/// Returns the command line.
pub(crate) fn command() -> Command {
    Command::new("demo").about("Runs requests end to end in separate processes on loopback")
}

/// Runs the demo.
///
/// # Errors
///
/// Fails when a process doesn't start, a request isn't answered correctly, or a process
/// doesn't shut down cleanly.
pub(crate) fn run(_: &ArgMatches) -> Result<ExitCode> {
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(demo())?;
    Ok(ExitCode::SUCCESS)
}

async fn demo() -> Result<()> {
    let zones = ["dubrava", "jankomir", "zitnjak", "blato"];
    let plan = Plan {
        zones: zones.map(str::to_owned).to_vec(),
        engines: BTreeMap::from([("drafting".to_owned(), 3)]),
        ..Plan::small()
    };
    println!("starting 12 engines, 4 portal replicas, 3 control and 4 entry instances");
    let mut lab = Lab::start("demo", &plan).await?;
    let text = fs::read_to_string(root().join("samples/agency.toml"))?;
    let version = lab.apply("demo-1", &text).await?;
    println!("text {version} accepted");
    lab.wait_ready(version).await?;
    lab.wait_owned().await?;
    println!("text {version} in force everywhere, every engine owned");
    for (i, (brand, key, prompt)) in BRANDS.into_iter().enumerate() {
        let caller = lab.caller(i, key);
        let chat = Chat::stream("drafting", prompt);
        // Until the owners have taken over their engines, requests are refused as not run
        // and have to be retried.
        let answered = async || {
            let reply = caller.chat(&chat).await.ok()?;
            (reply.verdict() != Some(Verdict::NotRun)).then_some(reply)
        };
        let streamed = lab::until("an engine that answers", answered).await?;
        show(brand, "streaming", &streamed)?;
        let unstreamed = Chat {
            stream: false,
            ..chat.clone()
        };
        show(brand, "whole", &caller.chat(&unstreamed).await?)?;
        let path = format!("/{brand}/listing/calls");
        let listed = caller.send(Method::GET, &path, Bytes::new(), &[]).await?;
        show(brand, "plain", &listed)?;
    }
    let stopped = lab.stop().await?;
    ensure!(
        stopped,
        "a daemon did not shut down cleanly; see {}",
        lab.folder.display()
    );
    lab.clean()?;
    println!("all daemons stopped in order");
    Ok(())
}

fn show(brand: &str, kind: &str, reply: &Reply) -> Result<()> {
    let body = String::from_utf8_lossy(&reply.body);
    ensure!(
        reply.status == 200,
        "{brand}, {kind}: {} {body}",
        reply.status
    );
    ensure!(
        reply.complete,
        "{brand}, {kind}: the answer was cut after {body}"
    );
    let adapter = reply.header(header::ADAPTER);
    match (kind, adapter) {
        ("streaming" | "whole", adapter) => {
            let adapter = adapter.context("the answer names no adapter")?;
            let version = reply.header(header::VERSION).unwrap_or_default();
            println!(
                "{brand}, {kind}: ran on {adapter}@{version}: {}",
                reply.text().trim()
            );
        }
        _ => println!("{brand}, {kind}: {}", body.trim()),
    }
    Ok(())
}
