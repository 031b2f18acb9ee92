//! The functions that scripts call: rhai with functions for faults and checks.
//!
//! A scripting language brings loops, functions and random choices with it, and a
//! scenario lists its events in the order in which they happen.

use std::sync::{Arc, Mutex};

use rhai::{Engine, EvalAltResult};

use crate::world::{Proc, World};

type Shared = Arc<Mutex<World>>;
type ScriptResult = Result<(), Box<EvalAltResult>>;

/// Runs one script with one seed.
///
/// # Errors
///
/// Returns the violated invariants and the end of the trace.
pub(crate) fn run(text: &str, seed: u64) -> Result<(), String> {
    let world = Arc::new(Mutex::new(World::new(seed)));
    let mut engine = Engine::new();
    engine.set_max_operations(0);
    register_functions(&mut engine, &world);
    let result = engine.run(text).map_err(|err| err.to_string());
    let world = world.lock().unwrap();
    let errors = world.check.errors.join("\n");
    if result.is_ok() && errors.is_empty() {
        return Ok(());
    }
    let tail = world.trace.len().saturating_sub(60);
    let trace = world.trace[tail..].join("\n");
    Err(format!("{errors}\n{result:?}\ntrace:\n{trace}"))
}

/// Registers a script function that acts on the world.
macro_rules! function {
    ($engine:ident, $world:ident, $name:literal, |$w:ident $(, $arg:ident: $kind:ty)*| $body:expr) => {
        let shared: Shared = Arc::clone($world);
        $engine.register_fn($name, move |$($arg: $kind),*| {
            let $w = &mut *shared.lock().unwrap();
            $body
        });
    };
}

fn register_functions(engine: &mut Engine, world: &Shared) {
    function!(
        engine,
        world,
        "engine",
        |w, name: &str, zone: &str, fencing: bool| {
            w.add_engine(name, zone, fencing, 3);
        }
    );
    function!(engine, world, "entry", |w, name: &str, zone: &str| w
        .start_entry(name, zone, 1));
    function!(engine, world, "run", |w, ms: i64| {
        w.run(u64::try_from(ms).unwrap());
        check_errors(w)
    });
    function!(engine, world, "rand", |w, n: i64| {
        i64::try_from(w.random(0..u64::try_from(n).unwrap())).unwrap()
    });
    register_faults(engine, world);
    register_checks(engine, world);
}

fn register_faults(engine: &mut Engine, world: &Shared) {
    function!(engine, world, "cut_one", |w, from: &str, to: &str| w
        .cut(from, to));
    function!(engine, world, "cut", |w, a: &str, b: &str| {
        w.cut(a, b);
        w.cut(b, a);
    });
    function!(engine, world, "cut_zone", |w, zone: &str| {
        let others = format!("not {zone}");
        w.cut(zone, &others);
        w.cut(&others, zone);
    });
    function!(engine, world, "heal", |w| w.heal());
    function!(engine, world, "freeze", |w, name: &str, ms: i64| {
        w.pause(name, u64::try_from(ms).unwrap());
    });
    function!(engine, world, "thaw", |w| w.resume_all());
    function!(engine, world, "kill", |w, name: &str| w.kill(name));
    function!(engine, world, "restart", |w, name: &str| w.restart(name));
    function!(engine, world, "unlist", |w, name: &str| {
        w.listed.remove(name);
    });
    function!(engine, world, "renounce", |w, name: &str| w.renounce(name));
    function!(engine, world, "hand_over", |w, name: &str| w
        .hand_over(name));
    function!(engine, world, "operate", |w, id: &str, back: i64| {
        w.operate(id, u64::try_from(back).unwrap());
    });
    function!(engine, world, "any", |w, kind: &str| {
        let names = match kind {
            "entry" => w.names(World::is_entry),
            "engine" => w.names(|p| matches!(p, Proc::Engine(_))),
            _ => w.names(|p| matches!(p, Proc::Control(_))),
        };
        w.pick(&names).unwrap_or_default()
    });
}

fn register_checks(engine: &mut Engine, world: &Shared) {
    function!(engine, world, "leader", |w| w.leader().unwrap_or_default());
    function!(engine, world, "owner", |w, target: &str| w
        .owner_of(target)
        .unwrap_or_default());
    function!(engine, world, "own", |w, name: &str, target: &str| w
        .ownership_name(name, target));
    function!(engine, world, "up", |w, name: &str| w
        .nodes
        .get(name)
        .is_some_and(|n| n.up));
    function!(engine, world, "count", |w, what: &str| {
        let count = match what {
            "orders" => w.check.orders,
            "requests" => w.check.requests,
            "late" => w.check.late,
            "unlisted" => w.check.unlisted,
            _ => u32::try_from(w.check.runs()).unwrap(),
        };
        i64::from(count)
    });
    function!(engine, world, "converged", |w| {
        w.converged()?;
        check_errors(w)
    });
    engine.register_fn("expect", |ok: bool, what: &str| -> ScriptResult {
        if ok { Ok(()) } else { Err(what.into()) }
    });
}

fn check_errors(world: &World) -> ScriptResult {
    match world.check.errors.first() {
        Some(error) => Err(error.clone().into()),
        None => Ok(()),
    }
}
