//! Brands with their adapters and services.

use base::{Mark, Version};
use toml::{Spanned, de::DeValue};

use crate::{
    keys::parse_hash,
    raw::{At, RawAdapter, RawBrand, RawEach, RawKind, RawService},
    read::table::Table,
};

/// Largest weight of a brand.
const WEIGHT_MOST: u64 = 1_000;
/// Largest version of an adapter.
const VERSION_MOST: u64 = u32::MAX as u64;

const CLASSES: &str = "`critical`, `live` or `batch`";
const MARKS: &str = "`repeatable` or `once`";
const ADAPTER_FORMS: &str = "a table or a list of versions";
const SERVICE_KINDS: &str = "`assistant` or `plain`";

const BRAND: &[&str] = &[
    "weight",
    "keys",
    "base",
    "weights",
    "adapters",
    "services",
    "each-adapter",
];
const ADAPTER: &[&str] = &["base", "weights", "versions", "serve"];
const ASSISTANT: &[&str] = &["kind", "adapter", "pool", "class", "mark", "needs"];
const PLAIN: &[&str] = &["kind", "pool", "class", "mark", "needs"];
const EACH: &[&str] = &["pool", "class", "needs"];

pub(crate) fn brand(name: &str, at: usize, table: &mut Table<'_, '_, '_>) -> Option<RawBrand> {
    table.only(BRAND);
    let name = table.name_of(name, at);
    let brand = RawBrand {
        name: At { value: name?, at },
        weight: table.small("weight", WEIGHT_MOST).unwrap_or(1),
        keys: table.must("keys", |t, key| t.texts(key, parse_hash)),
        base: table.name("base"),
        weights: weights(table),
        adapters: table.named_or("adapters", "adapter", adapter, listed),
        services: table.named("services", "service", service),
        each: table.table("each-adapter", EACH).map(each),
    };
    Some(brand)
}

fn adapter(name: &str, at: usize, table: &mut Table<'_, '_, '_>) -> Option<RawAdapter> {
    table.only(ADAPTER);
    let versions = table.must("versions", |t, key| t.numbers(key, VERSION_MOST));
    let serve = table.number("serve", 1, VERSION_MOST);
    let name = table.name_of(name, at)?;
    Some(RawAdapter {
        name: At { value: name, at },
        base: table.name("base"),
        weights: weights(table),
        serve: serve.map(version),
        versions: versions.map(|list| list.into_iter().map(version).collect()),
    })
}

/// Reads the short form of an adapter: its versions alone. At 48,000 adapters
/// it spares the parser a table for each, which was more than half of the
/// memory that a change of the text took.
fn listed<'i>(
    name: &str,
    at: usize,
    value: &Spanned<DeValue<'i>>,
    table: &mut Table<'i, '_, '_>,
) -> Option<RawAdapter> {
    let versions = table.numbers_of(name, value, ADAPTER_FORMS, VERSION_MOST);
    let name = table.name_of(name, at)?;
    Some(RawAdapter {
        name: At { value: name, at },
        base: None,
        weights: None,
        serve: None,
        versions: versions.map(|list| list.into_iter().map(version).collect()),
    })
}

fn service(name: &str, at: usize, table: &mut Table<'_, '_, '_>) -> Option<RawService> {
    let kind = service_kind(table);
    // A plain service acts on the world: whether that may be repeated has no
    // safe default. An assistant only writes text.
    let mark = match kind {
        Some(RawKind::Assistant(_)) => mark(table, "mark").or(Some(Mark::Repeatable)),
        Some(RawKind::Plain) => table.must("mark", mark),
        None => mark(table, "mark"),
    };
    let name = table.name_of(name, at)?;
    Some(RawService {
        name: At { value: name, at },
        kind,
        pool: table.must("pool", Table::name),
        class: table.must("class", |t, key| t.word(key, CLASSES)),
        mark,
        needs: table.names("needs").unwrap_or_default(),
    })
}

fn service_kind(table: &mut Table<'_, '_, '_>) -> Option<RawKind> {
    let kind = table.must("kind", Table::text)?;
    match kind.value {
        "assistant" => {
            table.only(ASSISTANT);
            Some(RawKind::Assistant(table.must("adapter", Table::name)))
        }
        "plain" => {
            table.only(PLAIN);
            Some(RawKind::Plain)
        }
        found => {
            table.wrong_word("kind", kind.at, SERVICE_KINDS, found);
            None
        }
    }
}

fn each(mut table: Table<'_, '_, '_>) -> RawEach {
    RawEach {
        pool: table.must("pool", Table::name),
        class: table.must("class", |t, key| t.word(key, CLASSES)),
        needs: table.names("needs").unwrap_or_default(),
    }
}

fn mark(table: &mut Table<'_, '_, '_>, key: &str) -> Option<Mark> {
    let text = table.text(key)?;
    match text.value {
        "repeatable" => Some(Mark::Repeatable),
        "once" => Some(Mark::Once),
        found => {
            table.wrong_word(key, text.at, MARKS, found);
            None
        }
    }
}

fn weights(table: &mut Table<'_, '_, '_>) -> Option<At<String>> {
    let text = table.text("weights")?;
    Some(At {
        value: text.value.to_owned(),
        at: text.at,
    })
}

fn version(raw: At<u64>) -> At<Version> {
    // The reader has checked the range.
    At {
        value: Version(raw.value as u32),
        at: raw.at,
    }
}
