//! What callers were told and targets ran, held against what is promised.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    callers::{Asked, CRASHING, Route},
    fleet::Fleet,
    target::Run,
};

/// Longest time on two targets at once, after the first event of the second.
const TWICE: Duration = Duration::from_millis(400);

/// How exactly times are known here.
const MARGIN: Duration = Duration::from_millis(150);

/// Longest time from a deadline to the end of an answer that isn't complete.
const LATE: Duration = Duration::from_secs(1);

/// Time in which instances know what another one has seen.
const CONTACT: Duration = Duration::from_secs(3);

/// Time after which a target that has asked for rest counts what comes, and what may come.
const NOTICE: Duration = Duration::from_millis(500);
const IN_REST: usize = 2;

/// Crashes after which a part is known to cause them, and sends that are allowed then.
const PART_CRASHES: usize = 5;
const MORE_SENDS: usize = 3;

/// How requests ended, and what breaks a promise.
#[derive(Debug, Default)]
pub(crate) struct Judged {
    /// Requests by how they ended.
    pub(crate) ends: BTreeMap<End, usize>,
    pub(crate) faults: Vec<String>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    Complete,
    Refused,
    AtDeadline,
    /// Its instance was killed or cut off, or its target broke off.
    Excused,
    Wrong(&'static str),
}

/// Judges all requests; times in faults are those since `start`.
pub(crate) fn judge(fleet: &Fleet, asked: &[Asked], start: Instant) -> Judged {
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in fleet.targets().iter().flat_map(|target| target.runs()) {
        runs.entry(run.id.clone()).or_default().push(run);
    }
    let mut judged = Judged::default();
    for asked in asked {
        let mut runs = runs.remove(&asked.id).unwrap_or_default();
        runs.sort_by_key(|run| run.reached);
        let end = end(fleet, asked, &runs);
        *judged.ends.entry(end).or_default() += 1;
        let wrong = match end {
            End::Wrong(why) => Some(why),
            End::Complete | End::Refused | End::AtDeadline | End::Excused => None,
        };
        let found = [wrong, wrong_text(asked), wrong_runs(fleet, asked, &runs)];
        let found = found.into_iter().flatten();
        let found = found.map(|why| describe(fleet, why, asked, &runs, start));
        judged.faults.extend(found);
    }
    judged
}

fn describe(fleet: &Fleet, why: &str, asked: &Asked, runs: &[Run], start: Instant) -> String {
    let at = |time: Instant| time.duration_since(start).as_millis();
    let runs: Vec<_> = runs
        .iter()
        .map(|run| {
            let (begun, first) = (run.begun.map(at), run.first.map(at));
            let (reached, ended) = (at(run.reached), run.ended.map(at));
            let sound = fleet.targets()[run.target].is_sound(run.reached, asked.ended);
            format!(
                "t{} {reached} {begun:?} {first:?} {ended:?} sound {sound}",
                run.target
            )
        })
        .collect();
    let Asked {
        id,
        entry,
        kept,
        route,
        got,
        ..
    } = asked;
    format!(
        "{why}: {id} entry {entry} kept {kept} {route:?} {:?} {} to {} ms, deadline {} ms, status {}, {} bytes, \
         complete {}; runs {runs:?}",
        asked.asked,
        at(asked.sent),
        at(asked.ended),
        asked.deadline.as_millis(),
        got.status,
        got.body.len(),
        got.complete,
    )
}

/// Returns how a request ended: with an answer, a true refusal or at its deadline, unless it is
/// wrong.
fn end(fleet: &Fleet, asked: &Asked, runs: &[Run]) -> End {
    let took = asked.ended - asked.sent;
    let got = &asked.got;
    match got.status {
        200 if got.complete => return End::Complete,
        408 | 421 | 429 | 503 if got.complete && ran(runs) == 0 => return End::Refused,
        408 | 421 | 429 | 503 if got.complete => return End::Wrong("ran and was refused"),
        _ => {}
    }
    let held_up = fleet.held_up(asked.sent, asked.ended);
    if took > asked.deadline + LATE + held_up {
        return End::Wrong("ended long after its deadline");
    }
    if took + MARGIN >= asked.deadline {
        return End::AtDeadline;
    }
    if is_excused(fleet, asked, runs) {
        return End::Excused;
    }
    End::Wrong(match got.status {
        0 => "ended without an answer",
        200 => "ended amid its answer",
        _ => "failed",
    })
}

/// Returns whether its instance was killed or cut off, no target that it reached was sound, or
/// one that wasn't broke off as the request ended.
fn is_excused(fleet: &Fleet, asked: &Asked, runs: &[Run]) -> bool {
    let (from, to) = (asked.sent, asked.ended);
    if fleet.was_gone(asked.entry, from, to) || fleet.was_cut(asked.entry, from - CONTACT, to) {
        return true;
    }
    let unsound = |target: usize, from| !fleet.targets()[target].is_sound(from, to);
    match runs {
        // It may have been sent to any target.
        [] => (0..fleet.targets().len()).any(|target| unsound(target, from)),
        runs => {
            let with_it = |run: &Run| run.ended.is_some_and(|at| at <= to && at + MARGIN >= to);
            let mut unsound = runs.iter().filter(|run| unsound(run.target, run.reached));
            unsound.clone().count() == runs.len() || unsound.any(with_it)
        }
    }
}

/// Checks that parts of an answer are neither missing nor there twice.
fn wrong_text(asked: &Asked) -> Option<&'static str> {
    let whole = asked.asked.events(&asked.id, 0).concat();
    let got = &asked.got;
    match got.status {
        200 if got.complete && got.body != whole => Some("looks complete and isn't"),
        200 if !whole.starts_with(&got.body) => Some("has wrong parts"),
        _ => None,
    }
}

/// Checks that few requests with a part that had crashed targets were sent on by instances in touch.
pub(crate) fn late_parts(fleet: &Fleet) -> Option<String> {
    let targets = fleet.targets().iter();
    let mut crashes: Vec<_> = targets.clone().flat_map(|t| t.part_crashes()).collect();
    crashes.sort();
    let known = *crashes.get(PART_CRASHES - 1)? + CONTACT;
    let runs = targets.flat_map(|target| target.runs());
    let late = runs.filter(|run| {
        let Some(entry) = run.id.strip_prefix(CRASHING) else {
            return false;
        };
        let entry = entry.split('-').next().and_then(|raw| raw.parse().ok());
        let entry = entry.expect("the id names its instance");
        let (from, to) = (run.reached - CONTACT, run.reached);
        let held_up = fleet.held_up(known - CONTACT, to);
        let touch = !fleet.was_gone(entry, from, to) && !fleet.was_cut(entry, from, to);
        touch && run.reached > known + held_up
    });
    let late: Vec<_> = late.map(|run| run.id).collect();
    (late.len() > MORE_SENDS).then(|| {
        format!(
            "a part that had crashed {} targets was sent on: {late:?}",
            crashes.len()
        )
    })
}

/// Checks that targets got the rest that they had asked for, and nothing of what was sent later
/// than the bound after they had said that they leave.
pub(crate) fn unheeded(fleet: &Fleet, asked: &[Asked]) -> Vec<String> {
    let asked: BTreeMap<&str, &Asked> = asked.iter().map(|a| (a.id.as_str(), a)).collect();
    let mut faults = Vec::new();
    for (no, target) in fleet.targets().iter().enumerate() {
        let runs = target.runs();
        for word in target.words() {
            let Some(told) = asked.get(word.id.as_str()) else {
                continue;
            };
            let late = runs.iter().filter(|run| {
                let own = asked.get(run.id.as_str()).filter(|a| a.entry == told.entry);
                let within = own.is_some_and(|a| match word.rest {
                    Some(rest) => run.reached > word.at + NOTICE && run.reached < word.at + rest,
                    None => a.sent > word.at + CONTACT,
                });
                // A new instance or incarnation has heard nothing, and links decide who is seen.
                let (from, to) = (word.at, run.reached);
                let same = within && target.is_sound(from, to);
                let same = same && !fleet.was_gone(told.entry, from, to);
                same && !fleet.was_cut(told.entry, from - CONTACT, to)
                    && fleet.held_up(from, to) < NOTICE
            });
            let (count, most) = (late.count(), if word.rest.is_some() { IN_REST } else { 0 });
            if count > most {
                let (entry, rest) = (told.entry, word.rest);
                faults.push(format!(
                    "t{no} told entry {entry} {rest:?} and got {count} requests"
                ));
            }
        }
    }
    faults
}

/// Returns how often a request ran.
fn ran(runs: &[Run]) -> usize {
    runs.iter().filter(|run| run.begun.is_some()).count()
}

/// Checks how often a request ran, and for how long on two targets.
fn wrong_runs(fleet: &Fleet, asked: &Asked, runs: &[Run]) -> Option<&'static str> {
    if asked.route.runs_once() && ran(runs) > 1 {
        return Some("ran more than once");
    }
    // The end of a run behind a cut link reaches its target late.
    if fleet.was_cut(asked.entry, asked.sent - CONTACT, asked.ended + CONTACT) {
        return None;
    }
    let now = Instant::now();
    let twice = runs.windows(2).any(|pair| {
        let first = match (asked.route, pair[1].first) {
            (Route::Stream | Route::Resumable, Some(first)) => first,
            _ => return false,
        };
        let ended = |run: &Run| run.ended.unwrap_or(now);
        let ended = ended(&pair[0]).min(ended(&pair[1]));
        ended > first + TWICE + MARGIN + fleet.held_up(first, ended)
    });
    twice.then_some("ran on two targets for too long")
}
