//! Scenarios of faults, written as rhai scripts over a small world of fakes.
//!
//! Real control instances, leases and observations are driven over fake links,
//! clocks, disks and engines. Tests and `cargo xtask soak-control` run the same
//! scripts. A library in place of a fixture of our own: loops, functions and
//! random choices come with it.

mod check;
mod engine;
mod entry;
mod keeper;
mod script;
mod world;

macro_rules! scripts {
    ($($name:ident)+) => {
        /// Every script by name.
        pub const SCRIPTS: &[(&str, &str)] = &[
            $((stringify!($name), include_str!(concat!("../scripts/", stringify!($name), ".rhai")))),+
        ];
    };
}

scripts! {
    calm
    isolated
    frozen
    replaced
    zone_cut
    newcomer
    one_way
    handover
    rolling
    operators
    claims
    chaos
}

/// Runs the script called `name` under one seed.
///
/// # Errors
///
/// Fails with what was violated and the end of the trace, or when there is no
/// such script.
pub fn run(name: &str, seed: u64) -> Result<(), String> {
    let found = SCRIPTS.iter().find(|(known, _)| *known == name);
    let (_, text) = found.ok_or_else(|| format!("no script is called {name}"))?;
    script::run(text, seed)
}
