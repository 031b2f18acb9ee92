//! Tests of the scheduler by text fixtures: lines `@MILLISECOND EVENT`, each followed by
//! the actions expected of the scheduler, as lines `> ...`. A comment at the top says
//! what the fixture tests.

use std::{fmt::Write as _, time::Duration};

use base::{AdapterKey, AdapterNo, BrandNo, Incarnation, TargetNo, Ticket, Time, Tokens, Version};
use googletest::prelude::*;
use route::{Engine, Input, LoadEnd, LoadPolicy, Output, PoolNo, RequestSpec, Scheduler};

base::cases! {
    /// Each guard of the scheduler; the first value is the coverage mark that the fixture
    /// must reach.
    guards: check => {
        used_slot_kept: ("used_slot_kept", include_str!("scheduler/used_slot_kept.txt")),
        inherited_kept: ("report_before_ownership", include_str!("scheduler/inherited_kept.txt")),
        other_incarnation: (
            "report_of_other_incarnation",
            include_str!("scheduler/other_incarnation.txt"),
        ),
        restricted: ("restricted_keeps_slots", include_str!("scheduler/restricted.txt")),
        batch_preempted: ("batch_preempted", include_str!("scheduler/batch_preempted.txt")),
        batch_share: ("batch_share_guaranteed", include_str!("scheduler/batch_share.txt")),
        batch_load: ("batch_load_due", include_str!("scheduler/batch_load.txt")),
        slot_cleared: ("slot_cleared", include_str!("scheduler/slot_cleared.txt")),
        broken_adapter: ("load_backed_off", include_str!("scheduler/broken_adapter.txt")),
        resting: ("resting_engine_refused", include_str!("scheduler/resting.txt")),
        late: ("late_refused", include_str!("scheduler/late.txt")),
        out_of_reach: ("deadline_out_of_reach", include_str!("scheduler/out_of_reach.txt")),
        brand_over_share: ("brand_over_share", include_str!("scheduler/brand_over_share.txt")),
    }
    /// Behaviour without faults.
    order: check_order => {
        one_load_for_many: include_str!("scheduler/one_load_for_many.txt"),
        class_order: include_str!("scheduler/class_order.txt"),
        fair_shares: include_str!("scheduler/fair_shares.txt"),
        version_change: include_str!("scheduler/version_change.txt"),
        restart: include_str!("scheduler/restart.txt"),
    }
}

fn check((mark, text): (&'static str, &str)) {
    let _expected = base::ExpectedMark::new(mark);
    check_order(text);
}

fn check_order(text: &str) {
    assert_that!(replay(text), eq(text));
}

/// Feeds a fixture's events to a scheduler; returns the events with the scheduler's
/// actions.
fn replay(text: &str) -> String {
    let mut scheduler = Scheduler::new(7);
    let mut replayed = String::new();
    for line in text.lines().filter(|line| !line.starts_with('>')) {
        writeln!(replayed, "{line}").unwrap();
        let Some(event) = line.strip_prefix('@') else {
            continue;
        };
        let mut words = event.split(' ');
        let now = Time::from_millis(number(words.next().unwrap()));
        let words: Vec<&str> = words.collect();
        for input in inputs(&words) {
            let mut out = Vec::new();
            scheduler.handle(now, input, &mut out);
            for output in out.iter().filter_map(show) {
                writeln!(replayed, "> {output}").unwrap();
            }
        }
    }
    replayed
}

/// Expands ranges: `arrive 1-3 ...` stands for three arrivals, `done 1-3` for three ends.
fn inputs(words: &[&str]) -> Vec<Input> {
    let Some((first, last)) = words[1].split_once('-') else {
        return vec![input(words, words[1])];
    };
    let range = number(first)..=number(last);
    range.map(|n| input(words, &n.to_string())).collect()
}

fn input(words: &[&str], first: &str) -> Input {
    let target = || TargetNo(number(first.trim_start_matches('e')) as u32);
    let option = |name: &str| {
        let found = words
            .iter()
            .find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
        found.map(str::to_owned)
    };
    let count = |name, default| option(name).map_or(default, |raw| number(&raw));
    let has = |word| words.contains(&word);
    match words[0] {
        "weight" => Input::Brand {
            brand: BrandNo(number(first) as u32),
            weight: number(words[2]) as u32,
        },
        "own" => Input::Owned {
            engine: Engine {
                target: target(),
                incarnation: Incarnation(count("incarnation", 1)),
                slots: count("slots", 2) as u32,
                batch: count("batch", 4) as u32,
                policy: if has("restricted") {
                    LoadPolicy::FreeSlotsOnly
                } else {
                    LoadPolicy::Full
                },
            },
            held: option("held")
                .iter()
                .flat_map(|raw| raw.split(','))
                .map(key)
                .collect(),
            inherited: has("inherited"),
        },
        "arrive" => Input::Arrive {
            ticket: Ticket(number(first)),
            target: TargetNo(0),
            spec: RequestSpec {
                pool: PoolNo(0),
                key: Some(key(words[3])),
                brand: BrandNo(count("brand", 0) as u32),
                class: words[2].parse().unwrap(),
                prefix: 0,
                tokens: Tokens(count("tokens", 10) as u32),
                deadline: Time::from_millis(count("by", 1_000_000)),
            },
        },
        "cancel" => Input::Cancel(Ticket(number(first))),
        "done" => Input::Finished {
            ticket: Ticket(number(first)),
            ok: true,
        },
        "loaded" => Input::Loaded {
            target: target(),
            key: key(words[2]),
            end: if has("failed") {
                LoadEnd::Failed
            } else {
                LoadEnd::Done
            },
        },
        "unloaded" => Input::Unloaded {
            target: target(),
            key: key(words[2]),
            ok: true,
        },
        "report" => Input::Report {
            target: target(),
            incarnation: Incarnation(count("incarnation", 1)),
            taken: Time::from_millis(count("taken", 0)),
            held: option("held")
                .iter()
                .flat_map(|raw| raw.split(','))
                .map(|a| (key(a), 0))
                .collect(),
        },
        "budget" => Input::Budget(number(first) as u32),
        "rolled" => Input::VersionChanged {
            old: key(first),
            new: key(words[2]),
        },
        "rests" => Input::Rests(target(), Duration::from_millis(number(words[2]))),
        "wake" => Input::Wake,
        other => panic!("no event `{other}`"),
    }
}

/// Parses `a7`, or `a7.2` for version 2 of adapter 7.
fn key(raw: &str) -> AdapterKey {
    let (adapter, version) = raw.split_once('.').unwrap_or((raw, "1"));
    AdapterKey {
        adapter: AdapterNo(number(adapter.trim_start_matches('a')) as u32),
        version: Version(number(version) as u32),
    }
}

fn number(raw: &str) -> u64 {
    raw.parse()
        .unwrap_or_else(|_| panic!("`{raw}` is no number"))
}

fn show(output: &Output) -> Option<String> {
    let name = |key: &AdapterKey| format!("a{}.{}", key.adapter.0, key.version);
    Some(match output {
        Output::Send {
            ticket, priority, ..
        } => format!("send {} at {priority}", ticket.0),
        Output::Refuse { ticket, failure } => format!("refuse {}: {failure}", ticket.0),
        Output::Preempt(ticket) => format!("preempt {}", ticket.0),
        Output::Load { key, .. } => format!("load {}", name(key)),
        Output::Unload { key, .. } => format!("unload {}", name(key)),
        Output::Residents { .. } | Output::Wake(_) => return None,
    })
}

/// Guards against callers refused at the same time that also return at the same time,
/// which would repeat the overload.
#[test]
fn retry_after_spreads_callers() {
    let mut scheduler = Scheduler::new(7);
    let mut out = Vec::new();
    for line in [
        "own e0 slots=1 batch=1 held=a1",
        "arrive 1-200 live a1 tokens=100 by=5000",
    ] {
        let words: Vec<&str> = line.split(' ').collect();
        for input in inputs(&words) {
            scheduler.handle(Time::ZERO, input, &mut out);
        }
    }
    let retries = out.iter().filter_map(|output| match output {
        Output::Refuse { failure, .. } => failure.retry,
        _ => None,
    });
    let mut retries: Vec<_> = retries.collect();
    let refused = retries.len();
    retries.sort();
    retries.dedup();
    assert_that!(refused, gt(100));
    assert_that!(retries.len(), eq(refused));
    let share = &scheduler.shares()[0];
    assert_that!(share.refused, eq(refused as u64));
    assert_that!(share.queued + share.running, eq(200 - refused as u32));
}
