//! From TOML to raw types: keys, types, names and ranges.

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

/// Largest body that may be allowed: 64 MiB, far above any prompt.
const BODY_MOST: u64 = 64 << 20;
/// Longest deadline: a week, so that a slip of units is noticed.
const DEADLINE_MOST_MS: u64 = 7 * 24 * 3_600_000;
/// Most attempts at one request; more only feed an overload.
const ATTEMPTS_MOST: u64 = 10;
/// Most loads a second that a store may allow.
const RATE_MOST: u64 = 10_000;
/// Most requests at once at one target.
const AT_ONCE_MOST: u64 = 100_000;
/// Most adapters in one engine.
const SLOTS_MOST: u64 = 10_000;

/// What the parser says of a key that stands twice.
const DUPLICATE: &str = "duplicate key";

/// Reads a text as far as it can be read, and notes what can't.
pub(crate) fn read(source: &str) -> (Raw, Vec<Problem>) {
    let (root, errors) = DeTable::parse_recoverable(source);
    let mut problems: Vec<Problem> = errors.iter().map(syntax).collect();
    // Where brackets or quotes are broken, the rest of the text is guesswork;
    // a key that stands twice leaves it as it is.
    if errors.iter().any(|err| err.message() != DUPLICATE) {
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
            pools: root.named("pools", "pool", pool),
            brands: root.named("brands", "brand", brand::brand),
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
    let usual = Limits::default();
    let mut deadline = |key, usual: Duration| {
        let ms = table.number(key, 1, DEADLINE_MOST_MS);
        ms.map_or(usual, |ms| Duration::from_millis(ms.value))
    };
    Limits {
        live_deadline: deadline("live-deadline-ms", usual.live_deadline),
        critical_deadline: deadline("critical-deadline-ms", usual.critical_deadline),
        batch_deadline: deadline("batch-deadline-ms", usual.batch_deadline),
        max_body: table
            .number("max-body-bytes", 1, BODY_MOST)
            .map_or(usual.max_body, |n| Bytes(n.value)),
        attempts: table
            .small("attempts", ATTEMPTS_MOST)
            .unwrap_or(usual.attempts),
    }
}

const STORE: &[&str] = &["rate", "at-once"];

fn store(mut table: Table<'_, '_, '_>) -> Store {
    let usual = Store::default();
    Store {
        rate: table.small("rate", RATE_MOST).map_or(usual.rate, PerSecond),
        at_once: table
            .small("at-once", AT_ONCE_MOST)
            .unwrap_or(usual.at_once),
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
    let kind = table.must("kind", Table::text)?;
    match kind.value {
        "engine" => {
            table.only(ENGINE);
            engine(table)
        }
        "plain" => {
            table.only(PLAIN);
            let at_once = table.must("at-once", |t, key| t.small(key, AT_ONCE_MOST))?;
            Some(PoolKind::Plain { at_once })
        }
        found => {
            table.wrong_word("kind", kind.at, POOL_KINDS, found);
            None
        }
    }
}

fn engine(table: &mut Table<'_, '_, '_>) -> Option<PoolKind> {
    let base = table.must("base", Table::name);
    let slots = table.must("slots", |t, key| t.small(key, SLOTS_MOST));
    let batch = table.must("batch", |t, key| t.small(key, AT_ONCE_MOST));
    let fencing = table.must("fencing", Table::boolean);
    Some(PoolKind::Engine {
        base: base?.value,
        slots: slots?,
        batch: batch?,
        fencing: fencing?,
    })
}
