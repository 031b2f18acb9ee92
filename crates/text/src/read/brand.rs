//! Reads brands with their adapters and services.

use base::{Mark, Version};
use toml::{Spanned, de::DeValue};

use crate::{
    keys::parse_hash,
    raw::{Located, RawAdapter, RawBrand, RawEachAdapter, RawKind, RawService},
    read::table::Table,
};

/// Largest weight of a brand.
const MAX_WEIGHT: u64 = 1_000;
/// Largest version of an adapter.
const MAX_VERSION: u64 = u32::MAX as u64;

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
    table.check_keys(BRAND);
    let name = table.name_of(name, at);
    let brand = RawBrand {
        name: Located { value: name?, at },
        weight: table.number_u32("weight", MAX_WEIGHT).unwrap_or(1),
        keys: table.required("keys", |t, key| t.texts(key, parse_hash)),
        base: table.name("base"),
        weights: weights(table),
        adapters: table.named_tables_or("adapters", "adapter", adapter, short_form),
        services: table.named_tables("services", "service", service),
        each: table.table("each-adapter", EACH).map(each),
    };
    Some(brand)
}

fn adapter(name: &str, at: usize, table: &mut Table<'_, '_, '_>) -> Option<RawAdapter> {
    table.check_keys(ADAPTER);
    let versions = table.required("versions", |t, key| t.numbers(key, MAX_VERSION));
    let serve = table.number("serve", 1, MAX_VERSION);
    let name = table.name_of(name, at)?;
    Some(RawAdapter {
        name: Located { value: name, at },
        base: table.name("base"),
        weights: weights(table),
        serve: serve.map(version),
        versions: versions.map(|list| list.into_iter().map(version).collect()),
    })
}

/// Reads the short form of an adapter, which is only the list of its versions. With
/// 48,000 adapters, a TOML table for each one takes more than half of the memory that
/// a change of the text needs; the short form avoids these tables.
fn short_form<'i>(
    name: &str,
    at: usize,
    value: &Spanned<DeValue<'i>>,
    table: &mut Table<'i, '_, '_>,
) -> Option<RawAdapter> {
    let versions = table.numbers_of(name, value, ADAPTER_FORMS, MAX_VERSION);
    let name = table.name_of(name, at)?;
    Some(RawAdapter {
        name: Located { value: name, at },
        base: None,
        weights: None,
        serve: None,
        versions: versions.map(|list| list.into_iter().map(version).collect()),
    })
}

fn service(name: &str, at: usize, table: &mut Table<'_, '_, '_>) -> Option<RawService> {
    let kind = service_kind(table);
    // Requests to a plain service may have side effects, so there is no safe default for
    // whether they may be retried. An assistant only generates text.
    let mark = match kind {
        Some(RawKind::Assistant(_)) => mark(table, "mark").or(Some(Mark::Repeatable)),
        Some(RawKind::Plain) => table.required("mark", mark),
        None => mark(table, "mark"),
    };
    let name = table.name_of(name, at)?;
    Some(RawService {
        name: Located { value: name, at },
        kind,
        pool: table.required("pool", Table::name),
        class: table.required("class", |t, key| t.word(key, CLASSES)),
        mark,
        needs: table.names("needs").unwrap_or_default(),
    })
}

fn service_kind(table: &mut Table<'_, '_, '_>) -> Option<RawKind> {
    let kind = table.required("kind", Table::text)?;
    match kind.value {
        "assistant" => {
            table.check_keys(ASSISTANT);
            Some(RawKind::Assistant(table.required("adapter", Table::name)))
        }
        "plain" => {
            table.check_keys(PLAIN);
            Some(RawKind::Plain)
        }
        found => {
            table.unknown_word("kind", kind.at, SERVICE_KINDS, found);
            None
        }
    }
}

fn each(mut table: Table<'_, '_, '_>) -> RawEachAdapter {
    RawEachAdapter {
        pool: table.required("pool", Table::name),
        class: table.required("class", |t, key| t.word(key, CLASSES)),
        needs: table.names("needs").unwrap_or_default(),
    }
}

fn mark(table: &mut Table<'_, '_, '_>, key: &str) -> Option<Mark> {
    let text = table.text(key)?;
    match text.value {
        "repeatable" => Some(Mark::Repeatable),
        "once" => Some(Mark::Once),
        found => {
            table.unknown_word(key, text.at, MARKS, found);
            None
        }
    }
}

fn weights(table: &mut Table<'_, '_, '_>) -> Option<Located<String>> {
    let text = table.text("weights")?;
    Some(Located {
        value: text.value.to_owned(),
        at: text.at,
    })
}

fn version(raw: Located<u64>) -> Located<Version> {
    // The value is at most `MAX_VERSION`, so the cast doesn't truncate.
    Located {
        value: Version(raw.value as u32),
        at: raw.at,
    }
}
