//! Fault-injection scenarios, written as rhai scripts over a deterministic simulation.
//!
//! The control instances, leases and observations of targets are the production code;
//! links, clocks, disks and engines are fakes. Tests and `cargo xtask soak-control` run
//! the same scripts. The scripts are in rhai rather than in a table of steps, because a
//! scripting language brings loops, functions and random choices with it.

mod check;
mod control_node;
mod engine;
mod entry;
mod script;
mod world;

macro_rules! scripts {
    ($($name:ident)+) => {
        /// All scripts, as pairs of name and text.
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

/// Runs the script called `name` with one seed.
///
/// # Errors
///
/// Returns the violated invariants and the end of the trace, or an error if no script has
/// this name.
pub fn run(name: &str, seed: u64) -> Result<(), String> {
    let found = SCRIPTS.iter().find(|(known, _)| *known == name);
    let (_, text) = found.ok_or_else(|| format!("no script is called {name}"))?;
    script::run(text, seed)
}
