//! Measures the operators' command-line tool: check, diff and change of a text.

use std::time::Instant;

use anyhow::Result;
use text::Model;
use wire::operator::Apply;

use super::{Case, peak_mib, resident_mib, with_added_version};
use crate::samples;

/// The tool's work on a text with a number of adapters.
pub(super) const OPERATOR: Case = Case {
    name: "operator",
    size: "adapters",
    sizes: &[3_000, 12_000, 48_000],
    columns: &[
        "check ms",
        "diff ms",
        "apply body bytes",
        "resident MiB",
        "peak MiB",
    ],
    run: operator,
};

fn operator(adapters: usize) -> Result<Vec<f64>> {
    let old = samples::agency(adapters);
    let new = with_added_version(&old);
    let before = Model::try_from(old.as_str())?;
    let began = Instant::now();
    let after = Model::try_from(new.as_str())?;
    let check = began.elapsed();
    let began = Instant::now();
    let diff = text::diff(&before, &after);
    let compared = began.elapsed();
    anyhow::ensure!(!diff.changes.is_empty(), "no difference found");
    let apply = Apply {
        change: "change-1".parse()?,
        base: base::TextVersion(1),
        by: "operator".to_owned(),
        text: new,
    };
    let body = serde_json::to_vec(&apply)?.len();
    Ok(vec![
        check.as_secs_f64() * 1e3,
        compared.as_secs_f64() * 1e3,
        body as f64,
        resident_mib()?,
        peak_mib()?,
    ])
}
