//! `apply FILE`: applies a text exactly once, also when requests or answers get
//! lost and are retried.

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
    outcome::{CommandError, Exit, Outcome},
    remote::{NoResponse, Remote, Reply, unreachable},
};

/// Pause between two rounds over all instances when none names a retry time.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a change is sent again that no instance accepts for lack of a majority: an
/// election takes about a second, and a new leader accepts nothing until its first entry
/// is applied.
const ELECTION_TIME: Duration = Duration::from_secs(3);

pub(super) async fn run(args: &ArgMatches) -> Result<Outcome> {
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
        None => change_id(base, &by, &text)?,
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

/// Derives a change id from the base version, the author and the text.
///
/// The same command always gives the same id. With a fresh id, a command that is
/// run again after a broken connection would be refused because of a conflict with
/// its own first run, or be in the history twice.
fn change_id(base: TextVersion, by: &str, text: &str) -> Result<ChangeId> {
    let parts = [&base.get().to_le_bytes(), by.as_bytes(), text.as_bytes()];
    Ok(ChangeId::try_from(
        format!("cli-{:016x}", stable_hash(&parts)).as_str(),
    )?)
}

/// What the attempts of a round have shown as long as none gave a final answer.
#[derive(Default)]
struct Attempts {
    /// Whether any attempt so far, also of earlier rounds, has an unknown outcome.
    unknown: bool,
    /// Whether a control instance refused because it reaches no majority.
    no_quorum: bool,
    /// How long to wait before the next round, as an instance asked.
    retry: Option<Duration>,
    failures: Vec<String>,
}

/// Sends a change to one instance after the other until one gives a final
/// answer; retries while the outcome is unknown and `wait` has not passed, or while no
/// instance reaches a majority for [`ELECTION_TIME`] at most.
async fn send(remote: &Remote, apply: &Apply, wait: Duration) -> Result<Outcome> {
    let begun = Instant::now();
    let mut unknown = false;
    loop {
        let mut attempts = Attempts {
            unknown,
            ..Attempts::default()
        };
        for addr in remote.addrs() {
            let sent = remote.post(*addr, "/v1/apply", apply).await;
            if let Some(outcome) = evaluate(sent, apply, &mut attempts)? {
                return Ok(outcome);
            }
        }
        unknown = attempts.unknown;
        let pause = attempts.retry.unwrap_or(RETRY_PAUSE);
        let time = match (unknown, attempts.no_quorum) {
            (true, _) => wait,
            (false, true) => wait.min(ELECTION_TIME),
            (false, false) => Duration::ZERO,
        };
        if begun.elapsed() + pause > time {
            return finish(&attempts, apply);
        }
        sleep(pause).await;
    }
}

/// Evaluates one instance's answer; returns the command's result if it is final.
///
/// A refusal for lack of a majority is final only for the instance that gave it:
/// another one may reach the majority. It says nothing about an earlier attempt,
/// so it never turns an unknown outcome into `not accepted`.
fn evaluate(
    sent: Result<Reply, NoResponse>,
    apply: &Apply,
    attempts: &mut Attempts,
) -> Result<Option<Outcome>> {
    let reply = match sent {
        Ok(reply) => reply,
        Err(err) => {
            attempts.unknown |= err.verdict != Verdict::NotRun;
            attempts.failures.push(err.to_string());
            return Ok(None);
        }
    };
    match serde_json::from_slice::<Applied>(&reply.body) {
        Ok(Applied::Unknown { retry_ms }) => {
            attempts.unknown = true;
            attempts.retry = Some(Duration::from_millis(retry_ms));
            Ok(None)
        }
        Ok(Applied::Refused {
            why: Why::NoQuorum { retry_ms },
        }) => {
            attempts.no_quorum = true;
            attempts.retry = Some(Duration::from_millis(retry_ms));
            Ok(None)
        }
        Ok(applied) => Ok(Some(result(&applied, apply))),
        Err(_) if reply.status.is_client_error() => Err(CommandError {
            exit: Exit::Refused,
            message: reply.error_text(),
        }
        .into()),
        Err(_) => {
            attempts.unknown |= !reply.refused;
            attempts.failures.push(reply.error_text());
            Ok(None)
        }
    }
}

/// Returns the command's result when no instance gave a final answer.
fn finish(attempts: &Attempts, apply: &Apply) -> Result<Outcome> {
    if attempts.unknown {
        let applied = Applied::Unknown {
            retry_ms: millis(attempts.retry.unwrap_or(RETRY_PAUSE)),
        };
        return Ok(result(&applied, apply));
    }
    if attempts.no_quorum {
        let why = Why::NoQuorum {
            retry_ms: millis(attempts.retry.unwrap_or(RETRY_PAUSE)),
        };
        return Ok(result(&Applied::Refused { why }, apply));
    }
    Err(unreachable(&attempts.failures).into())
}

fn millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}

fn unchanged(version: TextVersion) -> Outcome {
    let json = json!({ "outcome": "unchanged", "version": version });
    Outcome::new(
        Exit::Ok,
        format!("unchanged: version {version} says the same"),
        &json,
    )
}

fn result(applied: &Applied, apply: &Apply) -> Outcome {
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
    Outcome::new(exit, text, &json)
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
