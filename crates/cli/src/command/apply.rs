//! `apply FILE`: brings a text into force, once, whatever gets lost.

use std::time::Duration;

use anyhow::{Context, Result};
use base::{ChangeId, TextVersion, Verdict, stable_hash};
use clap::ArgMatches;
use serde_json::json;
use text::Model;
use tokio::time::{Instant, sleep};
use wire::operator::{Applied, Apply, Why};

use crate::{
    args,
    command::{local, read, show},
    outcome::{Done, Exit, Stop},
    remote::{Lost, Remote, Reply, unreachable},
};

/// Time between two rounds where no instance says when to come back.
const ROUND: Duration = Duration::from_millis(500);

pub(super) async fn run(args: &ArgMatches) -> Result<Done> {
    let text = read(args, "file")?;
    if let Err(errors) = Model::try_from(text.as_str()) {
        return Ok(local::bad_text(&errors));
    }
    let remote = Remote::new(args, args::CONTROL)?;
    let base = match args.get_one::<TextVersion>("base") {
        Some(base) => *base,
        None => {
            let current = show::current(&remote).await?;
            if current.text == text {
                return Ok(unchanged(current.version));
            }
            eprintln!(
                "based on version {}, which is in force (see --base)",
                current.version
            );
            current.version
        }
    };
    let by = args
        .get_one::<String>("by")
        .context("nobody given")?
        .clone();
    let change = match args.get_one::<ChangeId>("change") {
        Some(change) => change.clone(),
        None => derived(base, &by, &text)?,
    };
    let wait = args.get_one::<u64>(args::WAIT).copied().unwrap_or_default();
    let apply = Apply {
        change,
        base,
        by,
        text,
    };
    send(&remote, &apply, Duration::from_secs(wait)).await
}

/// Makes a change id of what is changed.
///
/// Failure: an operator's connection breaks, and the command is run again
/// under a fresh id: the change would be refused as losing against itself, or
/// be in the history twice. The same command always makes the same id.
fn derived(base: TextVersion, by: &str, text: &str) -> Result<ChangeId> {
    let parts = [&base.get().to_le_bytes(), by.as_bytes(), text.as_bytes()];
    Ok(ChangeId::try_from(
        format!("cli-{:016x}", stable_hash(&parts)).as_str(),
    )?)
}

/// What the tries so far have shown, short of a final answer.
#[derive(Default)]
struct Tries {
    /// Whether one of them may have been accepted.
    maybe: bool,
    /// Whether a control instance certainly refused for want of a majority.
    alone: bool,
    /// When an instance asked to come back.
    retry: Option<Duration>,
    lost: Vec<String>,
}

/// Sends a change to one instance after the other until one gives a final
/// answer, and again while the outcome is unknown and time is left.
async fn send(remote: &Remote, apply: &Apply, wait: Duration) -> Result<Done> {
    let end = Instant::now() + wait;
    let mut maybe = false;
    loop {
        let mut tries = Tries {
            maybe,
            ..Tries::default()
        };
        for addr in remote.addrs() {
            let tried = remote.post(*addr, "/v1/apply", apply).await;
            if let Some(done) = judge(tried, apply, &mut tries)? {
                return Ok(done);
            }
        }
        maybe = tries.maybe;
        let pause = tries.retry.unwrap_or(ROUND);
        if !maybe || Instant::now() + pause > end {
            return finish(&tries, apply);
        }
        sleep(pause).await;
    }
}

/// Takes one instance's answer; returns the end of the command if it is final.
///
/// A refusal for want of a majority is final for the instance that gave it
/// only: another one may reach the majority. And it says nothing about an
/// earlier try, so it never turns an unknown outcome into `not accepted`.
fn judge(tried: Result<Reply, Lost>, apply: &Apply, tries: &mut Tries) -> Result<Option<Done>> {
    let reply = match tried {
        Ok(reply) => reply,
        Err(lost) => {
            tries.maybe |= lost.verdict != Verdict::NotRun;
            tries.lost.push(lost.to_string());
            return Ok(None);
        }
    };
    match serde_json::from_slice::<Applied>(&reply.body) {
        Ok(Applied::Unknown { retry_ms }) => {
            tries.maybe = true;
            tries.retry = Some(Duration::from_millis(retry_ms));
            Ok(None)
        }
        Ok(Applied::Refused {
            why: Why::NoQuorum { retry_ms },
        }) => {
            tries.alone = true;
            tries.retry = Some(Duration::from_millis(retry_ms));
            Ok(None)
        }
        Ok(applied) => Ok(Some(last(&applied, apply))),
        Err(_) if reply.status.is_client_error() => Err(Stop {
            exit: Exit::Refused,
            what: reply.said(),
        }
        .into()),
        Err(_) => {
            tries.maybe |= !reply.refused;
            tries.lost.push(reply.said());
            Ok(None)
        }
    }
}

/// Ends the command where no instance gave a final answer.
fn finish(tries: &Tries, apply: &Apply) -> Result<Done> {
    if tries.maybe {
        let applied = Applied::Unknown {
            retry_ms: millis(tries.retry.unwrap_or(ROUND)),
        };
        return Ok(last(&applied, apply));
    }
    if tries.alone {
        let why = Why::NoQuorum {
            retry_ms: millis(tries.retry.unwrap_or(ROUND)),
        };
        return Ok(last(&Applied::Refused { why }, apply));
    }
    Err(unreachable(&tries.lost).into())
}

fn millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}

fn unchanged(version: TextVersion) -> Done {
    let json = json!({ "outcome": "unchanged", "version": version });
    Done::new(
        Exit::Ok,
        format!("unchanged: version {version} says the same"),
        &json,
    )
}

fn last(applied: &Applied, apply: &Apply) -> Done {
    let (exit, text) = match applied {
        Applied::Accepted { version } => (Exit::Ok, format!("accepted as version {version}")),
        Applied::Refused { why } => (Exit::Refused, format!("refused: {}", reason(why))),
        Applied::Unknown { .. } => (
            Exit::Unknown,
            format!(
                "may have been accepted: run it again with --base {} --change {}",
                apply.base, apply.change
            ),
        ),
    };
    let json = json!({ "result": applied, "base": apply.base, "change": apply.change });
    Done::new(exit, text, &json)
}

fn reason(why: &Why) -> String {
    match why {
        Why::Conflict {
            version,
            winner,
            by,
        } => format!(
            "version {version} is in force, made by {by} (change {winner}); \
             see `quetzalarch diff FILE`, and edit that version"
        ),
        Why::ChangeReused => "this change id was used with another text".to_owned(),
        Why::BadText { errors } => format!("the text is wrong\n{}", errors.join("\n")),
        Why::NoQuorum { retry_ms } => format!(
            "no majority of the control instances can be reached; \
             it is certainly not accepted, come back in {retry_ms} ms"
        ),
        Why::NoDisk => "the leader's disk is full or failing".to_owned(),
    }
}
