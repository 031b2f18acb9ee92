//! Commands that run locally; only `diff NEW` reads the text in force from an instance.

use std::io::Read;

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::json;
use text::{Errors, Model};

use crate::{
    args,
    command::{read, show},
    outcome::{Exit, Outcome},
    remote::Remote,
};

/// `check FILE`
pub(super) fn check(args: &ArgMatches) -> Result<Outcome> {
    let source = read(args, "file")?;
    match Model::try_from(source.as_str()) {
        Err(errors) => Ok(bad_text(&errors)),
        Ok(model) => {
            let services: usize = model.services.values().map(|services| services.len()).sum();
            let (brands, adapters) = (model.brands.len(), model.adapters.len());
            let text = format!("ok: {brands} brands, {adapters} adapters, {services} services");
            let json = json!({
                "outcome": "ok", "brands": brands, "adapters": adapters, "services": services,
            });
            Ok(Outcome::new(Exit::Ok, text, &json))
        }
    }
}

/// `diff OLD NEW` or `diff NEW`
pub(super) async fn diff(args: &ArgMatches) -> Result<Outcome> {
    let (old, new) = if args.contains_id("new") {
        (read(args, "old")?, read(args, "new")?)
    } else {
        let current = show::current(&Remote::new(args, args::CONTROL)?).await?;
        (current.text, read(args, "old")?)
    };
    let old = match Model::try_from(old.as_str()) {
        Ok(model) => model,
        Err(errors) => return Ok(bad_text(&errors)),
    };
    let new = match Model::try_from(new.as_str()) {
        Ok(model) => model,
        Err(errors) => return Ok(bad_text(&errors)),
    };
    let diff = text::diff(&old, &new);
    let text = if diff.is_empty() {
        "no change".to_owned()
    } else {
        diff.to_string()
    };
    Ok(Outcome::new(Exit::Ok, text, &diff))
}

/// `key`
pub(super) fn key() -> Result<Outcome> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .context("can't read standard input")?;
    let key = key.trim_end_matches(['\r', '\n']);
    anyhow::ensure!(!key.is_empty(), "the key is empty");
    let hash: String = text::key_hash(key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    Ok(Outcome::new(
        Exit::Ok,
        hash.as_str(),
        &json!({ "sha256": hash }),
    ))
}

/// Returns a refusal that lists all errors of a text.
pub(super) fn bad_text(errors: &Errors) -> Outcome {
    let list: Vec<_> = errors
        .iter()
        .map(|error| {
            json!({
                "line": error.line, "column": error.column, "message": error.fault.to_string(),
            })
        })
        .collect();
    let json = json!({ "outcome": "refused", "why": "bad-text", "errors": list });
    Outcome::new(Exit::Refused, errors.to_string(), &json)
}
