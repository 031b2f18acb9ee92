//! Measures a control instance that is the only member of its replicated log, with a
//! simulated disk in memory.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use base::{Fence, Incarnation, PerSecond, Seed, TextVersion, Ticket, Time};
use control::{Checked, Config, Control, Input, Output, Texts};
use replog::{RawSettings, Record, Replica, ReplicaId, Restored, Settings, Snapshot};
use wire::{
    call::{Call, Claim, ClaimOutcome, Heartbeat, Reply, Settle},
    operator::{Applied, Apply},
};

use super::{Case, encoded_len, resident_mib, with_added_version};
use crate::samples;

/// Heartbeats of a number of entry instances, for 600 engines.
pub(super) const BEATS: Case = Case {
    name: "control-beats",
    size: "instances",
    sizes: &[7, 100, 380],
    columns: &[
        "ms a second",
        "beat bytes",
        "reply bytes",
        "first reply bytes",
        "s until even",
        "ms a second until then",
        "most reply bytes until then",
        "resident MiB",
    ],
    run: beats,
};

/// Claims of a number of idempotency keys, each claimed and settled.
pub(super) const CLAIMS: Case = Case {
    name: "control-claims",
    size: "keys",
    sizes: &[15_000, 30_000, 60_000],
    columns: &[
        "us a key",
        "memory MiB",
        "log MB",
        "call and reply bytes a key",
    ],
    run: claims,
};

/// Changes of one line in a text with a number of adapters.
pub(super) const CHANGES: Case = Case {
    name: "control-changes",
    size: "adapters",
    sizes: &[3_000, 12_000, 48_000],
    columns: &[
        "ms a change",
        "log bytes a change",
        "snapshot bytes",
        "restart ms",
        "replayed",
        "resident MiB",
    ],
    run: changes,
};

/// Number of engines of the planned site.
const ENGINES: usize = 600;
/// Number of changes before the restart. A snapshot is taken every 1,000 entries, and this
/// number leaves close to the longest log after the last one.
const CHANGES_BEFORE_RESTART: u64 = 1_990;
/// Number of claims submitted before the disk completes a write, so that they share one
/// write of the log.
const CLAIMS_PER_WRITE: u64 = 256;

/// A control instance and its simulated disk.
struct ControlSim {
    control: Control,
    now: Time,
    snapshot: Option<Snapshot>,
    /// Log records after the snapshot.
    disk: Vec<Record>,
    /// Bytes written to the log so far.
    written: u64,
    /// Whether completions of writes are held back.
    hold_syncs: bool,
    /// Writes whose completion has not been reported to the instance.
    pending_syncs: Vec<replog::WriteNo>,
    tickets: u64,
}

impl ControlSim {
    fn new(seed: u64, snapshot: Option<Snapshot>, disk: Vec<Record>) -> Result<Self> {
        let instance: base::InstanceName = "control-1".parse()?;
        let id = ReplicaId {
            instance: instance.clone(),
            incarnation: Incarnation(1),
        };
        let raw = RawSettings::with_defaults(id, vec![instance], Seed(seed));
        let restored = Restored::replay(snapshot.clone(), disk.clone()).context("damaged log")?;
        let replica = Replica::new(Settings::try_from(raw)?, restored);
        let check = |_: &str| Ok(Checked { rate: PerSecond(5) });
        Ok(ControlSim {
            control: Control::new(Config::default(), replica, Box::new(check)),
            now: Time::from_millis(5),
            snapshot,
            disk,
            written: 0,
            hold_syncs: false,
            pending_syncs: Vec::new(),
            tickets: 0,
        })
    }

    fn handle_input(&mut self, input: Input) -> Vec<Output> {
        let mut all = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.control.handle(self.now, input, &mut out);
            for output in out {
                self.persist(output, &mut all);
            }
            if !self.hold_syncs {
                inputs.extend(
                    self.pending_syncs
                        .drain(..)
                        .map(|upto| Input::Synced { upto }),
                );
            }
        }
        all
    }

    fn persist(&mut self, output: Output, rest: &mut Vec<Output>) {
        match output {
            Output::Write { no, records } => {
                self.written += replog::encode_frame(no.get(), &records).len() as u64;
                self.disk.extend(records);
                self.pending_syncs.push(no);
            }
            Output::Rewrite {
                no,
                snapshot,
                records,
            } => {
                self.snapshot = Some(snapshot);
                self.disk = records;
                self.pending_syncs.push(no);
            }
            output => rest.push(output),
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(50) {
            self.now = self.now + Duration::from_millis(50);
            self.handle_input(Input::Wake);
        }
    }

    fn become_leader(&mut self) -> Result<()> {
        self.advance(5_000);
        ensure!(
            self.control.leads(self.now),
            "the control instance did not become leader"
        );
        Ok(())
    }

    fn call(&mut self, call: Call) -> Option<Reply> {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let out = self.handle_input(Input::Call { ticket, call });
        out.into_iter().find_map(|output| match output {
            Output::Reply { reply, .. } => Some(reply),
            _ => None,
        })
    }
}

fn beat(
    i: usize,
    serial: u64,
    roster: u64,
    engines: Option<Vec<base::TargetName>>,
) -> Result<Heartbeat> {
    Ok(Heartbeat {
        instance: format!("instance-{i:04}").parse()?,
        zone: format!("zone-{}", i % 8).parse()?,
        incarnation: Incarnation(1_700_000_000_000 + i as u64),
        peer: format!("10.0.{}.{}:7100", i / 250, i % 250),
        text: TextVersion(1_000),
        leaving: false,
        serial,
        heard: serial - 1,
        roster,
        engines,
        busy: Vec::<(base::TargetName, Fence)>::new(),
        loads: 3,
        shares: Vec::new(),
        crashes: Default::default(),
    })
}

/// Returns the names of the engines in the zone of instance `i`.
fn zone_engines(i: usize) -> Result<Vec<base::TargetName>> {
    let near = (0..ENGINES).filter(|e| e % 8 == i % 8);
    let names = near.map(|e| Ok(format!("engine-{e:04}").parse()?));
    names.collect()
}

/// Entry instances that send a heartbeat once per second, and the leader that answers.
struct Fleet {
    sim: ControlSim,
    /// Roster version that each instance has got.
    rosters: Vec<u64>,
    /// Whether the leader has asked each instance for the engines that it reaches.
    wants_engines: Vec<bool>,
    serial: u64,
    /// Bytes of the last heartbeat, and of all replies of the last round.
    sizes: (f64, f64),
    /// Real time that the leader has taken.
    spent: Duration,
}

impl Fleet {
    fn new(instances: usize) -> Result<Self> {
        let mut sim = ControlSim::new(1, None, Vec::new())?;
        sim.become_leader()?;
        Ok(Fleet {
            sim,
            rosters: vec![0; instances],
            wants_engines: vec![true; instances],
            serial: 0,
            sizes: (0.0, 0.0),
            spent: Duration::ZERO,
        })
    }

    /// Sends one heartbeat of every instance, then lets a second pass.
    fn round(&mut self) -> Result<()> {
        self.serial += 1;
        self.sizes.1 = 0.0;
        for i in 0..self.rosters.len() {
            let engines = if self.wants_engines[i] {
                Some(zone_engines(i)?)
            } else {
                None
            };
            let call = Call::Heartbeat(beat(i, self.serial, self.rosters[i], engines)?);
            self.sizes.0 = encoded_len(&call)?;
            let began = Instant::now();
            let reply = self.sim.call(call);
            self.spent += began.elapsed();
            let Some(Reply::Heartbeat(reply)) = reply else {
                continue;
            };
            self.rosters[i] = reply.roster;
            self.wants_engines[i] = reply.want_engines;
            self.sizes.1 += encoded_len(&Reply::Heartbeat(reply))?;
        }
        let began = Instant::now();
        self.sim.advance(1_000);
        self.spent += began.elapsed();
        Ok(())
    }
}

fn beats(instances: usize) -> Result<Vec<f64>> {
    /// Rounds without a change of the roster after which ownership counts as settled.
    const STABLE_ROUNDS: u64 = 10;
    const ROUNDS_MAX: u64 = 600;
    const MEASURED: u64 = 20;
    let mut fleet = Fleet::new(instances)?;
    let count = instances as f64;
    let (mut stable, mut roster, mut most) = (0, 0, 0.0_f64);
    while stable < STABLE_ROUNDS {
        ensure!(
            fleet.serial < ROUNDS_MAX,
            "engine ownership did not settle within {ROUNDS_MAX} rounds"
        );
        fleet.round()?;
        let last = fleet.rosters.iter().copied().max().unwrap_or(0);
        stable = if last == roster && last > 0 {
            stable + 1
        } else {
            0
        };
        roster = last;
        if fleet.serial > STABLE_ROUNDS {
            most = most.max(fleet.sizes.1 / count);
        }
    }
    let settled = fleet.serial - STABLE_ROUNDS;
    let busy = fleet.spent.as_secs_f64() * 1e3 / fleet.serial as f64;
    fleet.spent = Duration::ZERO;
    for _ in 0..MEASURED {
        fleet.round()?;
    }
    let steady = fleet.spent.as_secs_f64() * 1e3 / MEASURED as f64;
    let reply = fleet.sizes.1 / count;
    let serial = fleet.serial + 1;
    let first = fleet.sim.call(Call::Heartbeat(beat(0, serial, 0, None)?));
    let first = encoded_len(&first.context("no reply to a first beat")?)?;
    Ok(vec![
        steady,
        fleet.sizes.0,
        reply,
        first,
        settled as f64,
        busy,
        most,
        resident_mib()?,
    ])
}

fn key(n: u64) -> [u8; 16] {
    let mut key = [7; 16];
    key[..8].copy_from_slice(&n.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
    key
}

/// Returns the claim of an idempotency key by its `n`th attempt.
fn claim(n: u64) -> Result<Call> {
    Ok(Call::Claim(Claim {
        brand: "brand".parse()?,
        key: key(n),
        body: key(n),
        instance: "instance-0000".parse()?,
        attempt: n,
        dated: None,
    }))
}

/// Returns the call by which the attempt of [`claim`] says that it has run.
fn settle(n: u64) -> Result<Call> {
    Ok(Call::Settle(Settle {
        brand: "brand".parse()?,
        key: key(n),
        instance: "instance-0000".parse()?,
        attempt: n,
        outcome: ClaimOutcome::Ran(None),
    }))
}

fn claims(keys: usize) -> Result<Vec<f64>> {
    let mut sim = ControlSim::new(1, None, Vec::new())?;
    sim.become_leader()?;
    for round in 1..4 {
        sim.call(Call::Heartbeat(beat(0, round, 0, Some(zone_engines(0)?))?));
        sim.advance(1_000);
    }
    let (before, log) = (resident_mib()?, sim.written);
    let mut spent = Duration::ZERO;
    let mut size = 0.0;
    for batch in 0..(keys as u64).div_ceil(CLAIMS_PER_WRITE) {
        let all = batch * CLAIMS_PER_WRITE..(batch + 1) * CLAIMS_PER_WRITE;
        let claims = all.clone().map(claim).collect::<Result<Vec<_>>>()?;
        let settles = all.map(settle).collect::<Result<Vec<_>>>()?;
        let replies = [Reply::Claim(wire::call::ClaimReply::Granted), Reply::Done];
        size = encoded_len(&claim(0)?)?
            + encoded_len(&settle(0)?)?
            + encoded_len(&replies[0])?
            + encoded_len(&replies[1])?;
        let began = Instant::now();
        for calls in [claims, settles] {
            sim.hold_syncs = true;
            for call in calls {
                sim.call(call);
            }
            sim.hold_syncs = false;
            sim.handle_input(Input::Wake);
        }
        spent += began.elapsed();
        sim.now = sim.now + Duration::from_millis(10);
        // The simulated disk must not count as memory of the instance.
        sim.disk = Vec::new();
    }
    Ok(vec![
        spent.as_secs_f64() * 1e6 / keys as f64,
        resident_mib()? - before,
        (sim.written - log) as f64 / 1e6,
        size,
    ])
}

/// Submits a change; returns whether it was accepted.
fn apply(sim: &mut ControlSim, n: u64, text: &str) -> bool {
    let apply = Apply {
        change: format!("change-{n}").parse().expect("a valid name"),
        base: TextVersion(n),
        by: "operator".to_owned(),
        text: text.to_owned(),
    };
    let ticket = Ticket(1_000_000 + n);
    let out = sim.handle_input(Input::Apply { ticket, apply });
    out.iter().any(|output| {
        let Output::Applied { applied, .. } = output else {
            return false;
        };
        matches!(applied, Applied::Accepted { .. })
    })
}

fn changes(adapters: usize) -> Result<Vec<f64>> {
    let one = samples::agency(adapters);
    let two = with_added_version(&one);
    let mut sim = ControlSim::new(1, None, Vec::new())?;
    sim.become_leader()?;
    ensure!(apply(&mut sim, 0, &one), "the first text was refused");
    let log = sim.written;
    let began = Instant::now();
    for n in 1..CHANGES_BEFORE_RESTART {
        let text = if n % 2 == 1 { &two } else { &one };
        ensure!(apply(&mut sim, n, text), "change {n} was refused");
    }
    let each = began.elapsed().as_secs_f64() * 1e3 / CHANGES_BEFORE_RESTART as f64;
    let log = (sim.written - log) as f64 / CHANGES_BEFORE_RESTART as f64;
    let memory = resident_mib()?;
    let snapshot = sim.snapshot.take().context("no snapshot yet")?;
    let size = replog::encode_snapshot(&snapshot).len();
    let replayed = sim.disk.len();
    let began = Instant::now();
    let mut restarted = ControlSim::new(2, Some(snapshot), sim.disk)?;
    restarted.become_leader()?;
    let restart = began.elapsed().as_secs_f64() * 1e3;
    ensure!(restarted.control.state().texts().version() == TextVersion(CHANGES_BEFORE_RESTART));
    ensure!(Texts::digest(restarted.control.state().texts().text()) == Texts::digest(&two));
    Ok(vec![
        each,
        log,
        size as f64,
        restart,
        replayed as f64,
        memory,
    ])
}
