//! Lookups in the model, and differences between two texts.

use base::{BrandName, PoolName, ServiceName, Version};
use googletest::prelude::*;
use text::{Keys, Model, diff, key_hash, parse_hash};

const POOLS: &str = r#"
[pools.draft]
kind = "engine"
base = "gemma"
slots = 4
batch = 16
fencing = true

[pools.portal]
kind = "plain"
at-once = 8
"#;

const FILM: &str = r#"
[brands.film]
keys = ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]
base = "gemma"
weights = "w/{adapter}/{version}"
adapters.a = { versions = [2, 1], serve = 1 }
each-adapter = { pool = "draft", class = "batch", needs = ["page"] }
services.page = { kind = "plain", pool = "portal", class = "critical", mark = "repeatable", needs = ["base"] }
services.base = { kind = "plain", pool = "portal", class = "live", mark = "once" }
"#;

fn model(changes: &[(&str, &str)]) -> Model {
    let mut source = format!("{POOLS}{FILM}");
    for (from, to) in changes {
        assert_that!(source, contains_substring(*from));
        source = source.replace(from, to);
    }
    Model::try_from(source.as_str()).unwrap()
}

#[test]
fn defaults_of_the_brand_reach_its_adapters() {
    let model = model(&[]);
    let adapter = &model.adapters[&"a".parse().unwrap()];
    assert_that!(adapter.base.as_str(), eq("gemma"));
    assert_that!(
        adapter.versions,
        elements_are![eq(&Version(1)), eq(&Version(2))]
    );
    assert_that!(adapter.weights_of(adapter.serve), eq("w/a/1"));
}

#[test]
fn a_key_belongs_to_its_brand_only() {
    let keys = Keys::from(&model(&[]));
    let film: BrandName = "film".parse().unwrap();
    assert_that!(keys.brand(&key_hash("foo")), some(eq(&film)));
    assert_that!(keys.brand(&key_hash("fop")), none());
    assert_that!(parse_hash(&"0f".repeat(32)), ok(eq(&[15; 32])));
    assert_that!(
        parse_hash("foo").unwrap_err().to_string(),
        not(contains_substring("foo"))
    );
}

#[test]
fn services_come_after_what_they_need() {
    let model = model(&[]);
    let film: BrandName = "film".parse().unwrap();
    let order: Vec<&str> = model
        .order(&film)
        .into_iter()
        .map(ServiceName::as_str)
        .collect();
    assert_that!(order, elements_are![eq(&"base"), eq(&"page"), eq(&"a")]);
    let pools = model.pool_services();
    let portal = &pools[&"portal".parse::<PoolName>().unwrap()];
    assert_that!(portal.len(), eq(2));
    assert_that!(model.service(&film, &"nothing".parse().unwrap()), none());
}

/// Every instance checks the text at each change, so a long chain of needs (20,000
/// services, the size that the system is designed for) must neither overflow the stack
/// nor take long.
#[test]
fn a_long_chain_of_needs_is_ordered() {
    let mut source = POOLS.to_owned() + "[brands.film]\nkeys = []\n";
    source = source.replace("keys = []", &format!("keys = [\"{}\"]", "0".repeat(64)));
    for i in 0..20_000 {
        let needs = if i == 0 {
            String::new()
        } else {
            format!("\"s{}\"", i - 1)
        };
        source += &format!(
            "services.s{i} = {{ kind = \"plain\", pool = \"portal\", class = \"live\", mark = \"once\", needs = [{needs}] }}\n"
        );
    }
    let model = Model::try_from(source.as_str()).unwrap();
    let order = model.order(&"film".parse().unwrap());
    assert_that!(order.last().unwrap().as_str(), eq("s19999"));
}

base::cases! {
    /// Each difference is one line, with the old and the new value.
    difference_is_shown: check_diff => {
        nothing: (&[], ""),
        limits: (&[("[pools.draft]", "[limits]\nattempts = 2\n[pools.draft]")], "~ limits (attempts: 3 -> 2)\n"),
        pool_value: (&[("slots = 4", "slots = 8")], "~ pool draft (slots: 4 -> 8)\n"),
        pool_kind: (
            &[("kind = \"plain\"\nat-once = 8", "kind = \"plain\"\nat-once = 9")],
            "~ pool portal (at-once: 8 -> 9)\n",
        ),
        key: (&[("2c26b4", "2c26b5")], "~ brand film (keys: 2c26b46b -> 2c26b56b)\n"),
        served: (&[("serve = 1", "serve = 2")], "~ adapter a (serve: 1 -> 2)\n"),
        version_added: (&[("[2, 1]", "[3, 2, 1]")], "+ version a@3\n"),
        version_removed: (&[("[2, 1]", "[1]")], "- version a@2\n"),
        adapter_renamed: (
            &[("adapters.a", "adapters.b")],
            "+ adapter b (brand: film; base: gemma; serve: 1; weights: w/b/{version})\n\
             - adapter a\n\
             + service film/b (kind: assistant; adapter: b; pool: draft; class: batch; mark: repeatable; needs: page)\n\
             - service film/a\n",
        ),
        service: (&[("class = \"critical\", mark = \"repeatable\"", "class = \"live\", mark = \"once\"")],
            "~ service film/page (class: critical -> live; mark: repeatable -> once)\n"),
    }
}

fn check_diff((changes, expected): (&[(&str, &str)], &str)) {
    let found = diff(&model(&[]), &model(changes));
    assert_that!(found.to_string(), eq(expected));
    assert_that!(found.is_empty(), eq(expected.is_empty()));
}
