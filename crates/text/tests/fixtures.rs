//! Every fault that a text can have: one fixture each, with all its messages.
//!
//! A fixture is a text, a line `=== errors` and the expected messages. With
//! `UPDATE_FIXTURES=1` the tests overwrite the messages with the actual ones; review
//! the diff before committing it.

use std::{collections::BTreeSet, fs, path::PathBuf};

use googletest::prelude::*;
use text::Model;

const SEPARATOR: &str = "=== errors\n";

macro_rules! fixtures {
    ($($case:ident: $file:literal,)+) => {
        base::cases! {
            /// The check of a text gives exactly the messages of its fixture.
            text_is_checked: check => { $($case: $file,)+ }
        }

        const FIXTURES: &[&str] = &[$($file),+];
    };
}

fixtures! {
    valid: "valid",
    each_adapter: "each-adapter",
    syntax_errors_all_at_once: "syntax-errors-all-at-once",
    duplicate_key: "duplicate-key",
    duplicate_table: "duplicate-table",
    unknown_keys: "unknown-keys",
    missing_keys: "missing-keys",
    wrong_types: "wrong-types",
    wrong_words: "wrong-words",
    out_of_range: "out-of-range",
    bad_names: "bad-names",
    bad_key_hashes: "bad-key-hashes",
    key_of_two_brands: "key-of-two-brands",
    no_keys: "no-keys",
    adapter_of_two_brands: "adapter-of-two-brands",
    adapter_of_another_brand: "adapter-of-another-brand",
    adapter_of_another_base: "adapter-of-another-base",
    no_defaults: "no-defaults",
    unknown_base: "unknown-base",
    weights_placeholders: "weights-placeholders",
    versions: "versions",
    unknown_pool_and_adapter: "unknown-pool-and-adapter",
    wrong_kind_of_pool: "wrong-kind-of-pool",
    dangling_needs: "dangling-needs",
    cycles: "cycles",
    cycle_through_each_adapter: "cycle-through-each-adapter",
    service_of_an_adapters_name: "service-of-an-adapters-name",
    one_mistake_one_message: "one-mistake-one-message",
    short_form: "short-form",
    columns_count_characters: "columns-count-characters",
}

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn check(name: &str) {
    let path = folder().join(format!("{name}.txt"));
    let fixture = fs::read_to_string(&path).unwrap();
    let (source, expected) = fixture.split_once(SEPARATOR).unwrap();
    let found = match Model::try_from(source) {
        Ok(_) => String::new(),
        Err(errors) => format!("{errors}\n"),
    };
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        fs::write(&path, format!("{source}{SEPARATOR}{found}")).unwrap();
        return;
    }
    assert_that!(found, eq(expected));
}

#[test]
fn every_fixture_is_listed() {
    let files = fs::read_dir(folder())
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let files: BTreeSet<String> = files
        .map(|path| path.file_stem().unwrap().to_string_lossy().into_owned())
        .collect();
    let named: BTreeSet<String> = FIXTURES.iter().map(|name| (*name).to_owned()).collect();
    assert_that!(files, eq(&named));
}
