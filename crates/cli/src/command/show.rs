//! Commands that query instances for their state, and `drain`.

use anyhow::{Context, Result};
use base::InstanceName;
use clap::ArgMatches;
use serde_json::json;
use wire::operator::{BrandStatus, Current, Drain, Entry, Status};

use crate::{
    args,
    outcome::{CommandError, Exit, Outcome},
    remote::{Remote, unreachable},
    table::table,
};

/// Reads the newest text that any control instance has.
///
/// An isolated control instance still answers, but with an old text; so all are
/// asked and the highest version is taken.
pub(super) async fn current(remote: &Remote) -> Result<Current> {
    let mut newest: Option<Current> = None;
    let mut failures = Vec::new();
    for (_, read) in remote.all::<Current>("/v1/text").await {
        match read {
            Ok(found)
                if newest
                    .as_ref()
                    .is_none_or(|old| old.version < found.version) =>
            {
                newest = Some(found);
            }
            Ok(_) => {}
            Err(err) => failures.push(err.message),
        }
    }
    newest.ok_or_else(|| unreachable(&failures).into())
}

/// `text`
pub(super) async fn text(args: &ArgMatches) -> Result<Outcome> {
    let current = current(&Remote::new(args, args::CONTROL)?).await?;
    Ok(Outcome::new(Exit::Ok, current.text.as_str(), &current))
}

/// `history`
pub(super) async fn history(args: &ArgMatches) -> Result<Outcome> {
    let remote = Remote::new(args, args::CONTROL)?;
    let entries: Vec<Entry> = remote.first("/v1/history").await?;
    let rows: Vec<Vec<String>> = entries
        .iter()
        .map(|entry| {
            let lines = format!("+{} -{}", entry.added, entry.removed);
            vec![
                entry.version.to_string(),
                lines,
                entry.by.clone(),
                entry.change.to_string(),
            ]
        })
        .collect();
    let text = table(&["VERSION", "LINES", "BY", "CHANGE"], &rows);
    Ok(Outcome::new(Exit::Ok, text, &entries))
}

/// `status`: the state as the control instance with the newest text reports it,
/// and how the other instances' reports differ.
pub(super) async fn status(args: &ArgMatches) -> Result<Outcome> {
    let remote = Remote::new(args, args::CONTROL)?;
    let mut reports = Vec::new();
    let mut silent = Vec::new();
    for (addr, read) in remote.all::<Status>("/v1/status").await {
        match read {
            Ok(status) => reports.push(status),
            Err(err) => silent.push((addr, err.message)),
        }
    }
    // The report of an isolated instance sorts lower: it has an older text, or
    // names no leader.
    reports.sort_by_key(|report| (report.version, report.leader.is_some()));
    let Some(best) = reports.pop() else {
        let failures: Vec<String> = silent.into_iter().map(|(_, message)| message).collect();
        return Err(unreachable(&failures).into());
    };
    let differing: Vec<&Status> = reports
        .iter()
        .filter(|report| report.leader != best.leader || report.version != best.version)
        .collect();
    let mut text = render(&best);
    for report in &differing {
        let (name, version) = (&report.instance, report.version);
        text += &format!(
            "\n{name} sees otherwise: leader {}, text {version}",
            leader(report)
        );
    }
    for (_, message) in &silent {
        text += &format!("\nno answer from {message}");
    }
    let silent: Vec<String> = silent.iter().map(|(addr, _)| addr.to_string()).collect();
    let json = json!({ "status": best, "differing": differing, "silent": silent });
    Ok(Outcome::new(Exit::Ok, text, &json))
}

fn render(status: &Status) -> String {
    let instances: Vec<Vec<String>> = status
        .instances
        .iter()
        .map(|instance| {
            let state = if instance.leaving { "leaving" } else { "up" };
            let silent = format!("{} ms", instance.silent_ms);
            let (name, text) = (instance.name.to_string(), instance.version.to_string());
            vec![name, instance.zone.clone(), text, silent, state.to_owned()]
        })
        .collect();
    let engines: Vec<Vec<String>> = status
        .engines
        .iter()
        .map(|engine| {
            let owner = engine
                .owner
                .as_ref()
                .map_or("none".to_owned(), ToString::to_string);
            vec![engine.target.to_string(), owner, engine.fence.to_string()]
        })
        .collect();
    let brands: Vec<Vec<String>> = status.brands.iter().map(brand_row).collect();
    let shares = match brands.is_empty() {
        true => String::new(),
        false => format!("\n\n{}", table(BRAND_HEADERS, &brands)),
    };
    format!(
        "text {}, leader {}, as {} sees it\n\n{}\n\n{}{shares}",
        status.version,
        leader(status),
        status.instance,
        table(&["INSTANCE", "ZONE", "TEXT", "HEARD", "STATE"], &instances),
        table(&["ENGINE", "OWNER", "FENCE"], &engines),
    )
}

/// Column headers of the table of brands' shares.
const BRAND_HEADERS: &[&str] = &[
    "BRAND", "SHARE", "TOKENS", "RUNNING", "QUEUED", "REFUSED", "WAIT",
];

fn brand_row(brand: &BrandStatus) -> Vec<String> {
    vec![
        brand.brand.to_string(),
        format!("{}.{} %", brand.part / 10, brand.part % 10),
        brand.tokens.to_string(),
        brand.running.to_string(),
        brand.queued.to_string(),
        brand.refused.to_string(),
        format!("{} ms", brand.wait_ms),
    ]
}

fn leader(status: &Status) -> String {
    status
        .leader
        .as_ref()
        .map_or("unknown".to_owned(), ToString::to_string)
}

/// `drain INSTANCE`
pub(super) async fn drain(args: &ArgMatches) -> Result<Outcome> {
    let remote = Remote::new(args, args::CONTROL)?;
    let instance = args
        .get_one::<InstanceName>("instance")
        .context("no instance given")?;
    let body = Drain {
        instance: instance.clone(),
    };
    let mut failures = Vec::new();
    for addr in remote.addrs() {
        // Draining is idempotent: the next instance may be asked even if this one
        // has an unknown outcome.
        let reply = match remote.post(*addr, "/v1/drain", &body).await {
            Ok(reply) => reply,
            Err(err) => {
                failures.push(format!("{addr}: {err}"));
                continue;
            }
        };
        if reply.status.is_success() {
            let json = json!({ "outcome": "ok", "instance": instance });
            return Ok(Outcome::new(Exit::Ok, format!("{instance} drains"), &json));
        }
        if reply.status.is_client_error() {
            return Err(CommandError {
                exit: Exit::Refused,
                message: reply.error_text(),
            }
            .into());
        }
        failures.push(format!("{addr}: {}", reply.error_text()));
    }
    Err(unreachable(&failures).into())
}
