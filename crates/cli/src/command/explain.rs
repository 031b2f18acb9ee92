//! `explain`: where a request would go now, and why.

mod shown;

use anyhow::{Context, Result};
use base::{AdapterName, BrandName, ServiceName};
use clap::ArgMatches;
use serde_json::Value;
use wire::explain::{Explained, PATH, Problem, Question, Unexplained};

use crate::{
    args,
    outcome::{CommandError, Exit, Outcome},
    remote::{Remote, Reply, unreachable},
};

/// `explain --host H ...`, or `explain --brand B ...` in the own way of serving.
pub(super) async fn run(args: &ArgMatches) -> Result<Outcome> {
    match args.get_one::<String>(args::HOST) {
        Some(host) => by_host(args, host).await,
        None => by_brand(args).await,
    }
}

/// `explain --host H --path P`
async fn by_host(args: &ArgMatches, host: &str) -> Result<Outcome> {
    let remote = Remote::new(args, args::ENTRY)?;
    let said = |name: &str| args.get_one::<String>(name).cloned();
    let question = Question {
        host: host.to_owned(),
        path: said("path").unwrap_or_default(),
        model: said("model"),
        tokens: args.get_one("tokens").copied(),
        account: said("account"),
        parts: said("parts"),
    };
    let mut failures = Vec::new();
    for addr in remote.addrs() {
        // Asking changes nothing, so the next one may be asked whatever became of this one.
        let reply = match remote.post(*addr, PATH, &question).await {
            Ok(reply) => reply,
            Err(err) => {
                failures.push(format!("{addr}: {err}"));
                continue;
            }
        };
        let explained = read(&reply).map_err(|(exit, message)| CommandError {
            exit,
            message: format!("{addr}: {message}"),
        })?;
        return Ok(outcome(&explained));
    }
    Err(unreachable(&failures).into())
}

/// Reads an answer.
///
/// # Errors
///
/// Fails with the reason if it explains nothing.
fn read(reply: &Reply) -> Result<Explained, (Exit, String)> {
    if let Ok(problem) = serde_json::from_slice::<Unexplained>(&reply.body) {
        let exit = match problem.unexplained {
            Problem::BadQuestion => Exit::Usage,
            Problem::NoConfiguration => Exit::NoConfiguration,
            Problem::NoRoute => Exit::NoRoute,
            Problem::NoAccount => Exit::NoAccount,
        };
        return Err((exit, problem.message));
    }
    let explained = match reply.status.is_success() {
        true => serde_json::from_slice(&reply.body).ok(),
        false => None,
    };
    explained.ok_or_else(|| {
        let message = format!(
            "it can't explain (status {}): it runs a version before, or this isn't the address of \
             an entry instance's metrics",
            reply.status.as_u16()
        );
        (Exit::CannotExplain, message)
    })
}

fn outcome(explained: &Explained) -> Outcome {
    let text = shown::text(explained);
    let mut unheard = explained.ways.iter().filter(|way| way.unheard);
    let Some(adapter) = unheard.find_map(|way| way.adapter.as_deref()) else {
        return Outcome::new(Exit::Ok, text, explained);
    };
    let text = format!(
        "quetzalarch: {} has never heard of `{adapter}`: no target holds it, and no version of it \
         was set; a request would wait for a load\n\n{text}",
        explained.instance
    );
    Outcome::new(Exit::NoAdapter, text, explained)
}

/// `explain --brand B --service S` or `--adapter A`
async fn by_brand(args: &ArgMatches) -> Result<Outcome> {
    let remote = Remote::new(args, args::ENTRY)?;
    let brand = args
        .get_one::<BrandName>("brand")
        .context("no brand given")?;
    let service = args
        .get_one::<ServiceName>("service")
        .map(|name| format!("service={name}"));
    let adapter = args
        .get_one::<AdapterName>("adapter")
        .map(|name| format!("adapter={name}"));
    let what = service.or(adapter).context("no service or adapter given")?;
    // Names hold no characters that a query would have to escape.
    let found: Value = remote
        .first(&format!("/v1/explain?brand={brand}&{what}"))
        .await?;
    let text = serde_json::to_string_pretty(&found)?;
    Ok(Outcome::new(Exit::Ok, text, &found))
}
