//! Commands that ask instances what they see.

use anyhow::{Context, Result};
use base::{AdapterName, BrandName, InstanceName, ServiceName};
use clap::ArgMatches;
use serde_json::{Value, json};
use wire::operator::{BrandStatus, Current, Drain, Entry, Status};

use crate::{
    args,
    outcome::{Done, Exit, Stop},
    remote::{Remote, unreachable},
    table::table,
};

/// Reads the newest text that any control instance knows.
///
/// An isolated control instance answers readily with an old text; the version
/// tells which answer is the newest.
pub(super) async fn current(remote: &Remote) -> Result<Current> {
    let mut newest: Option<Current> = None;
    let mut lost = Vec::new();
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
            Err(stop) => lost.push(stop.what),
        }
    }
    newest.ok_or_else(|| unreachable(&lost).into())
}

/// `text`
pub(super) async fn text(args: &ArgMatches) -> Result<Done> {
    let current = current(&Remote::new(args, args::CONTROL)?).await?;
    Ok(Done::new(Exit::Ok, current.text.as_str(), &current))
}

/// `history`
pub(super) async fn history(args: &ArgMatches) -> Result<Done> {
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
    Ok(Done::new(Exit::Ok, text, &entries))
}

/// `status`: the view of the control instance that knows the newest text, and
/// how the others' views differ from it.
pub(super) async fn status(args: &ArgMatches) -> Result<Done> {
    let remote = Remote::new(args, args::CONTROL)?;
    let mut views = Vec::new();
    let mut silent = Vec::new();
    for (addr, read) in remote.all::<Status>("/v1/status").await {
        match read {
            Ok(status) => views.push(status),
            Err(stop) => silent.push((addr, stop.what)),
        }
    }
    // An isolated instance that still thinks it leads has the older text, or
    // no leader to name.
    views.sort_by_key(|view| (view.version, view.leader.is_some()));
    let Some(best) = views.pop() else {
        let lost: Vec<String> = silent.into_iter().map(|(_, what)| what).collect();
        return Err(unreachable(&lost).into());
    };
    let odd: Vec<&Status> = views
        .iter()
        .filter(|view| view.leader != best.leader || view.version != best.version)
        .collect();
    let mut text = render(&best);
    for view in &odd {
        let (name, version) = (&view.instance, view.version);
        text += &format!(
            "\n{name} sees otherwise: leader {}, text {version}",
            leader(view)
        );
    }
    for (_, what) in &silent {
        text += &format!("\nno answer from {what}");
    }
    let silent: Vec<String> = silent.iter().map(|(addr, _)| addr.to_string()).collect();
    let json = json!({ "status": best, "differing": odd, "silent": silent });
    Ok(Done::new(Exit::Ok, text, &json))
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
        false => format!("\n\n{}", table(BRAND_HEAD, &brands)),
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

/// Heads of the table of brands' shares.
const BRAND_HEAD: &[&str] = &[
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

/// `explain --brand B --service S` or `--adapter A`
pub(super) async fn explain(args: &ArgMatches) -> Result<Done> {
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
    // Names are safe in a query as they are.
    let found: Value = remote
        .first(&format!("/v1/explain?brand={brand}&{what}"))
        .await?;
    let text = serde_json::to_string_pretty(&found)?;
    Ok(Done::new(Exit::Ok, text, &found))
}

/// `drain INSTANCE`
pub(super) async fn drain(args: &ArgMatches) -> Result<Done> {
    let remote = Remote::new(args, args::CONTROL)?;
    let instance = args
        .get_one::<InstanceName>("instance")
        .context("no instance given")?;
    let body = Drain {
        instance: instance.clone(),
    };
    let mut lost = Vec::new();
    for addr in remote.addrs() {
        // A drain that is asked for twice is one drain: the next may be asked
        // even where the first may have passed it on.
        let reply = match remote.post(*addr, "/v1/drain", &body).await {
            Ok(reply) => reply,
            Err(err) => {
                lost.push(format!("{addr}: {err}"));
                continue;
            }
        };
        if reply.status.is_success() {
            let json = json!({ "outcome": "ok", "instance": instance });
            return Ok(Done::new(Exit::Ok, format!("{instance} drains"), &json));
        }
        if reply.status.is_client_error() {
            return Err(Stop {
                exit: Exit::Refused,
                what: reply.said(),
            }
            .into());
        }
        lost.push(format!("{addr}: {}", reply.said()));
    }
    Err(unreachable(&lost).into())
}
