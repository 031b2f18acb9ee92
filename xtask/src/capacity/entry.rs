//! Measures one entry instance: taking in texts, running idle among targets and peers,
//! serving requests, and exchanging residency updates.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use base::TextVersion;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{
    call::Residents,
    engine::{Held, Report},
    patch::Patch,
};

use super::{
    Case, peak_mib, resident_mib, with_added_version,
    world::{PLANNED, Surroundings, TOKENS, Traffic, World},
};

const ADAPTERS: &[usize] = &[3_000, 12_000, 48_000];
const BRAND: &str = "film";
const BUSY_ADAPTER: &str = "film-live";

/// Taking in a full text with a number of adapters, then a change of one line as a patch.
pub(super) const TEXT: Case = Case {
    name: "entry-text",
    size: "adapters",
    sizes: ADAPTERS,
    columns: &[
        "whole ms",
        "whole bytes",
        "resident MiB",
        "peak MiB",
        "change ms",
        "of it checked aside ms",
        "change bytes",
        "resident after MiB",
        "peak after MiB",
    ],
    run: text,
};

/// Idle operation among a number of targets, with 48 peers and two engines owned.
pub(super) const TARGETS: Case = Case {
    name: "entry-targets",
    size: "targets",
    sizes: &[60, 240, 600],
    columns: IDLE_COLUMNS,
    run: |targets| idle(Surroundings { targets, ..PLANNED }),
};

/// Idle operation among a number of peers, with 600 targets of which two are owned.
pub(super) const PEERS: Case = Case {
    name: "entry-peers",
    size: "peers",
    sizes: &[7, 48, 380],
    columns: IDLE_COLUMNS,
    run: |peers| idle(Surroundings { peers, ..PLANNED }),
};

const IDLE_COLUMNS: &[&str] = &[
    "resident MiB",
    "us a quiet second",
    "beats a second",
    "beat bytes",
    "reply bytes",
    "polls a second",
    "report bytes",
];

/// Requests answered by an engine that the measured instance owns.
pub(super) const OWNED: Case = Case {
    name: "entry-owned",
    size: "adapters",
    sizes: ADAPTERS,
    columns: &["us a request"],
    run: |adapters| {
        requests(Surroundings {
            adapters,
            targets: 1,
            peers: 7,
            owned: 1,
        })
    },
};

/// Requests forwarded to the owner of the engine, among 600 engines.
pub(super) const PASSED: Case = Case {
    name: "entry-passed",
    size: "adapters",
    sizes: ADAPTERS,
    columns: &["us a request"],
    run: |adapters| {
        requests(Surroundings {
            adapters,
            peers: 380,
            owned: 0,
            ..PLANNED
        })
    },
};

/// Residency and load updates that the owner of two engines sends to a number of peers at
/// the planned rate of requests.
pub(super) const UPDATES_SENT: Case = Case {
    name: "entry-news",
    size: "peers",
    sizes: &[7, 48, 380],
    columns: &[
        "requests",
        "residents messages a second",
        "bytes each",
        "load messages a second",
        "bytes each",
        "us of processor a second",
    ],
    run: send_updates,
};

/// Cost of receiving one residency update from a peer.
pub(super) const UPDATES_RECEIVED: Case = Case {
    name: "entry-heard",
    size: "targets",
    sizes: &[60, 240, 600],
    columns: &["us a message", "bytes a message"],
    run: receive_updates,
};

/// Size of the report of an engine on which a number of adapters is resident.
pub(super) const REPORT: Case = Case {
    name: "engine-report",
    size: "residents",
    sizes: &[4, 8, 32],
    columns: &["report bytes"],
    run: report,
};

fn report(residents: usize) -> Result<Vec<f64>> {
    let held = (0..residents).map(|i| Held {
        lora_name: format!("film-produkcija-{i:04}@1"),
        in_use: 5,
    });
    let report = Report {
        incarnation: base::Incarnation(1_700_000_000_000),
        serial: 100_000,
        age_ms: 250,
        resident: held.collect(),
        running: 170,
        waiting: 3,
        fence: Some(base::Fence(100_000)),
        cached: Vec::new(),
    };
    Ok(vec![serde_json::to_vec(&report)?.len() as f64])
}

fn text(adapters: usize) -> Result<Vec<f64>> {
    let surroundings = Surroundings {
        adapters: 3,
        targets: 60,
        peers: 7,
        owned: 2,
    };
    let mut world = World::serving(surroundings)?;
    let full = World::sized_text(adapters);
    world.text = (TextVersion(2), full.clone());
    let full_ms = receive_text(&mut world)?;
    let (size, memory, peak_memory) = (world.fetched, resident_mib()?, peak_mib()?);
    let new = with_added_version(&full);
    world.patch = Some(Patch::between(&full, &new));
    world.text = (TextVersion(3), new);
    drop(full);
    world.checking = Duration::ZERO;
    let change_ms = receive_text(&mut world)?;
    let checked = world.checking.as_secs_f64() * 1e3;
    Ok(vec![
        full_ms,
        size as f64,
        memory,
        peak_memory,
        change_ms,
        checked,
        world.fetched as f64,
        resident_mib()?,
        peak_mib()?,
    ])
}

/// Lets two heartbeat intervals pass, in which the instance learns of a newer text and takes
/// it in; returns the real milliseconds that this took.
fn receive_text(world: &mut World) -> Result<f64> {
    let began = Instant::now();
    world.advance(Duration::from_secs(2))?;
    let took = began.elapsed().as_secs_f64() * 1e3;
    ensure!(
        world.node.version() == world.text.0,
        "the new text is not in force after two heartbeats"
    );
    Ok(took)
}

fn idle(surroundings: Surroundings) -> Result<Vec<f64>> {
    const SECONDS: u64 = 60;
    let mut world = World::serving(surroundings)?;
    world.beats = Default::default();
    world.replies = Default::default();
    world.polls = Default::default();
    let began = Instant::now();
    world.advance(Duration::from_secs(SECONDS))?;
    let spent = began.elapsed().as_secs_f64() * 1e6 / SECONDS as f64;
    Ok(vec![
        resident_mib()?,
        spent,
        world.beats.calls as f64 / SECONDS as f64,
        world.beats.mean_bytes(),
        world.replies.mean_bytes(),
        world.polls.calls as f64 / SECONDS as f64,
        world.polls.mean_bytes(),
    ])
}

fn requests(surroundings: Surroundings) -> Result<Vec<f64>> {
    const REQUESTS: u64 = 20_000;
    let mut world = World::serving(surroundings)?;
    for _ in 0..REQUESTS / 10 {
        run_request(&mut world)?;
    }
    let (ended, began) = (world.ended, Instant::now());
    for _ in 0..REQUESTS {
        run_request(&mut world)?;
    }
    let spent = began.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
    ensure!(
        world.ended - ended >= REQUESTS,
        "requests were not answered"
    );
    Ok(vec![spent])
}

/// Runs one request from arrival to end. No virtual time passes once the adapter is
/// resident, so that the node's periodic work is not counted.
fn run_request(world: &mut World) -> Result<()> {
    world.arrive(BRAND, BUSY_ADAPTER, TOKENS)?;
    let mut tries = 0;
    while !world.answer(TOKENS)? {
        tries += 1;
        ensure!(tries < 100, "a request was not sent within 100 tries");
        world.advance(Duration::from_millis(100))?;
    }
    Ok(())
}

/// Simulates a minute at the planned rate of requests for two engines, after a warm-up.
/// Requests arrive as a Poisson process and run equally long; one in 100 is for an adapter
/// that is not resident.
fn send_updates(peers: usize) -> Result<Vec<f64>> {
    const SECONDS: f64 = 60.0;
    const WARM_UP: f64 = 20.0;
    const RATE: f64 = 30.0;
    const RUN_SECS: f64 = 11.0;
    let surroundings = Surroundings {
        targets: 2,
        peers,
        ..PLANNED
    };
    let mut world = World::serving(surroundings)?;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (mut at, mut arrived, mut ends) = (0.0, 0_u32, VecDeque::new());
    let mut began = None;
    while at < WARM_UP + SECONDS {
        if at >= WARM_UP && began.is_none() {
            (world.residency_updates, world.load_updates) = Default::default();
            began = Some((Instant::now(), arrived));
        }
        let next = at - (1.0 - random.random::<f64>()).ln() / RATE;
        while ends.front().is_some_and(|end| *end <= next) {
            let end = ends.pop_front().unwrap_or(next);
            world.advance(Duration::from_secs_f64((end - at).max(0.0)))?;
            at = at.max(end);
            world.answer(1)?;
        }
        world.advance(Duration::from_secs_f64(next - at))?;
        at = next;
        arrived += 1;
        let adapter = match arrived % 100 {
            0 => format!("film-produkcija-{:04}", arrived / 100),
            _ => BUSY_ADAPTER.to_owned(),
        };
        let before = world.sent.len();
        world.arrive(BRAND, &adapter, 304)?;
        ends.extend((before..world.sent.len()).map(|_| at + RUN_SECS));
    }
    let (began, before) = began.context("no minute was measured")?;
    let spent = began.elapsed().as_secs_f64() * 1e6 / SECONDS;
    let rate = |sent: Traffic| sent.calls as f64 / SECONDS;
    Ok(vec![
        f64::from(arrived - before),
        rate(world.residency_updates),
        world.residency_updates.mean_bytes(),
        rate(world.load_updates),
        world.load_updates.mean_bytes(),
        spent,
    ])
}

fn receive_updates(targets: usize) -> Result<Vec<f64>> {
    const ROUNDS: u64 = 50;
    let surroundings = Surroundings { targets, ..PLANNED };
    let mut world = World::serving(surroundings)?;
    let peer_engines = world
        .peer_engines()
        .map(|(peer, owned)| (peer.instance.clone(), owned.clone()));
    let peer_engines = peer_engines.collect::<Vec<_>>();
    let (mut spent, mut count, mut size) = (Duration::ZERO, 0, 0.0);
    for serial in 1..=ROUNDS {
        for (at, (owner, (target, fence))) in peer_engines.iter().enumerate() {
            let adapter = |n: u64| -> Result<_> {
                let n = 1 + (at as u64 * 31 + n) % 900;
                Ok((format!("film-produkcija-{n:04}").parse()?, base::Version(1)))
            };
            let update = Residents {
                owner: owner.clone(),
                target: target.clone(),
                fence: *fence,
                serial,
                full: serial == 1,
                added: vec![adapter(serial)?],
                removed: vec![adapter(serial - 1)?],
                in_flight: 170,
                queued: 3,
                evict_cost: 120,
            };
            size = super::encoded_len(&wire::call::Call::Residents(update.clone()))?;
            let began = Instant::now();
            world.deliver(update)?;
            spent += began.elapsed();
            count += 1;
        }
        world.advance(Duration::from_secs(1))?;
    }
    Ok(vec![spent.as_secs_f64() * 1e6 / f64::from(count), size])
}
