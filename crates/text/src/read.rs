//! Parses TOML into raw types and checks keys, types, names and ranges.

mod brand;
mod table;

use std::time::Duration;

use base::{Bytes, PerSecond};
use toml::de::DeTable;

use crate::{
    errors::Problem,
    fault::Fault,
    model::{Limits, PoolKind, Store},
    raw::{Raw, RawPool},
    read::table::Table,
};

/// Largest accepted `max-body-bytes`: 64 MiB, far above any prompt.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Longest accepted deadline: a week, so that a value in the wrong unit is rejected.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3_600_000;
/// Most attempts at one request; more would make an overload worse.
const MAX_ATTEMPTS: u64 = 10;
/// Most loads a second that the text may allow for the weight store.
const MAX_RATE: u64 = 10_000;
/// Most concurrent requests at one target.
const MAX_AT_ONCE: u64 = 100_000;
/// Most adapters in one engine.
const MAX_SLOTS: u64 = 10_000;

/// Message of the TOML parser for a duplicate key.
const DUPLICATE_KEY: &str = "duplicate key";

/// Reads as much of a text as can be read, and returns it with the problems found.
pub(crate) fn read(source: &str) -> (Raw, Vec<Problem>) {
    let (root, errors) = DeTable::parse_recoverable(source);
    let mut problems: Vec<Problem> = errors.iter().map(syntax).collect();
    // After a syntax error such as an unclosed bracket or quote, the parser's result for
    // the rest of the text is unreliable. A duplicate key doesn't affect the rest.
    if errors.iter().any(|err| err.message() != DUPLICATE_KEY) {
        return (Raw::default(), problems);
    }
    let raw = {
        let known = &["limits", "store", "pools", "brands"];
        let mut root = Table::new(
            root.get_ref(),
            0,
            "the text".to_owned(),
            known,
            &mut problems,
        );
        Raw {
            limits: root
                .table("limits", LIMITS)
                .map_or_else(Limits::default, |t| limits(t)),
            store: root
                .table("store", STORE)
                .map_or_else(Store::default, |t| store(t)),
            pools: root.named_tables("pools", "pool", pool),
            brands: root.named_tables("brands", "brand", brand::brand),
        }
    };
    (raw, problems)
}

fn syntax(err: &toml::de::Error) -> Problem {
    Problem {
        at: err.span().map_or(0, |span| span.start),
        fault: Fault::Syntax(err.message().to_owned()),
    }
}

const LIMITS: &[&str] = &[
    "max-body-bytes",
    "live-deadline-ms",
    "critical-deadline-ms",
    "batch-deadline-ms",
    "attempts",
];

fn limits(mut table: Table<'_, '_, '_>) -> Limits {
    let default = Limits::default();
    let mut deadline = |key, default: Duration| {
        let ms = table.number(key, 1, MAX_DEADLINE_MS);
        ms.map_or(default, |ms| Duration::from_millis(ms.value))
    };
    Limits {
        live_deadline: deadline("live-deadline-ms", default.live_deadline),
        critical_deadline: deadline("critical-deadline-ms", default.critical_deadline),
        batch_deadline: deadline("batch-deadline-ms", default.batch_deadline),
        max_body: table
            .number("max-body-bytes", 1, MAX_BODY_BYTES)
            .map_or(default.max_body, |n| Bytes(n.value)),
        attempts: table
            .number_u32("attempts", MAX_ATTEMPTS)
            .unwrap_or(default.attempts),
    }
}

const STORE: &[&str] = &["rate", "at-once"];

fn store(mut table: Table<'_, '_, '_>) -> Store {
    let default = Store::default();
    Store {
        rate: table
            .number_u32("rate", MAX_RATE)
            .map_or(default.rate, PerSecond),
        at_once: table
            .number_u32("at-once", MAX_AT_ONCE)
            .unwrap_or(default.at_once),
    }
}

const POOL_KINDS: &str = "`engine` or `plain`";
const ENGINE: &[&str] = &["kind", "base", "slots", "batch", "fencing"];
const PLAIN: &[&str] = &["kind", "at-once"];

fn pool(name: &str, at: usize, table: &mut Table<'_, '_, '_>) -> Option<RawPool> {
    let name = table.name_of(name, at)?;
    Some(RawPool {
        name,
        kind: pool_kind(table),
    })
}

fn pool_kind(table: &mut Table<'_, '_, '_>) -> Option<PoolKind> {
    let kind = table.required("kind", Table::text)?;
    match kind.value {
        "engine" => {
            table.check_keys(ENGINE);
            engine(table)
        }
        "plain" => {
            table.check_keys(PLAIN);
            let at_once = table.required("at-once", |t, key| t.number_u32(key, MAX_AT_ONCE))?;
            Some(PoolKind::Plain { at_once })
        }
        found => {
            table.unknown_word("kind", kind.at, POOL_KINDS, found);
            None
        }
    }
}

fn engine(table: &mut Table<'_, '_, '_>) -> Option<PoolKind> {
    let base = table.required("base", Table::name);
    let slots = table.required("slots", |t, key| t.number_u32(key, MAX_SLOTS));
    let batch = table.required("batch", |t, key| t.number_u32(key, MAX_AT_ONCE));
    let fencing = table.required("fencing", Table::boolean);
    Some(PoolKind::Engine {
        base: base?.value,
        slots: slots?,
        batch: batch?,
        fencing: fencing?,
    })
}
