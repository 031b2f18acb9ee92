//! The sample texts of both deployments pass the check and declare the deployments'
//! brands, adapters and pools.

use std::{fs, path::PathBuf};

use base::Class;
use googletest::prelude::*;
use text::{Keys, Model, key_hash, model::PoolKind};

base::cases! {
    /// A sample has three brands, 3,000 adapters, one pool of engines and one of plain
    /// targets, and services of every class.
    sample_passes: check => {
        agency: ("agency.toml", 5, &["film", "folklor", "kazaliste"], "drafting", "screening"),
        consortium: ("consortium.toml", 6, &["ajira", "fursa", "kazi"], "letters", "scoring"),
    }
}

fn check((file, rate, brands, live, batch): (&str, u32, &[&str], &str, &str)) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(file);
    let model = Model::try_from(fs::read_to_string(path).unwrap().as_str()).unwrap();
    assert_that!(model.adapters.len(), eq(3_000));
    assert_that!(model.store.rate.get(), eq(rate));
    let engines = model
        .pools
        .values()
        .filter(|p| matches!(p.kind, PoolKind::Engine { .. }));
    assert_that!(engines.count(), eq(1));
    let keys = Keys::from(&model);
    let names: Vec<&str> = model.brands.keys().map(|name| name.as_str()).collect();
    assert_that!(names, container_eq(brands.to_vec()));
    for (name, brand) in &model.brands {
        let class = |service: &str| {
            model
                .service(name, &service.parse().unwrap())
                .unwrap()
                .class
        };
        assert_that!(class(live), eq(Class::Live));
        assert_that!(class(batch), eq(Class::Batch));
        assert_that!(class("listing"), eq(Class::Critical));
        assert_that!(brand.weight, eq(1));
        assert_that!(
            keys.brand(&key_hash(&format!("sample-key-{name}"))),
            some(eq(name))
        );
        let order = model.order(name);
        assert_that!(order.len(), eq(model.services[name].len()));
    }
}
