//! Injects faults of the simulated engines and services while the load runs, one after the
//! other, beside silences of some or all of them that are drawn from a seed.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use anyhow::Result;
use lab::{Caller, Lab};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Duration of a silence, in milliseconds.
const SILENCE_MS: RangeInclusive<u64> = 500..=3_000;

/// Time from the beginning of a silence to that of the next, in milliseconds: they overlap.
const GAP_MS: RangeInclusive<u64> = 500..=4_000;

/// One fault: the kind of its targets, and the HTTP request that injects it.
struct Fault {
    /// Whether it concerns engines; otherwise it concerns plain services.
    engine: bool,
    path: &'static str,
    body: fn() -> Value,
}

/// Each fault is injected once per run, at equal intervals.
const FAULTS: &[Fault] = &[
    Fault {
        engine: true,
        path: "/admin/cut-stream",
        body: || json!({"count": 20, "after": 5}),
    },
    Fault {
        engine: true,
        path: "/admin/wrong-adapter",
        body: || json!({"count": 1}),
    },
    Fault {
        engine: false,
        path: "/admin/faults",
        body: || json!({"cut": 3, "refuse": 3}),
    },
    Fault {
        engine: true,
        path: "/admin/stall",
        body: || json!({"ms": 1_000}),
    },
    Fault {
        engine: true,
        path: "/admin/restart-empty",
        body: || json!({}),
    },
];

/// Addresses at which faults can be injected.
#[derive(Clone, Debug)]
pub(crate) struct FaultTargets {
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
}

impl FaultTargets {
    pub(crate) fn of(lab: &Lab) -> Self {
        let addresses = |all: &[lab::Engine]| all.iter().map(|target| target.address).collect();
        FaultTargets {
            engines: addresses(&lab.engines),
            services: addresses(&lab.services),
        }
    }

    /// Injects each fault at every target of its kind, spread evenly over `time`, beside
    /// silences drawn from `seed`.
    pub(crate) async fn run(self, time: Duration, seed: u64) -> Result<()> {
        tokio::try_join!(self.inject(time), self.silence(time, seed))?;
        Ok(())
    }

    /// Makes targets silent until `time` has passed; all of them go on.
    async fn silence(&self, time: Duration, seed: u64) -> Result<()> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = Instant::now() + time;
        loop {
            sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
            if Instant::now() >= end {
                return Ok(());
            }
            let is_engine = rng.random_ratio(2, 3);
            let targets = if is_engine {
                &self.engines
            } else {
                &self.services
            };
            let most = if rng.random_ratio(1, 3) {
                targets.len()
            } else {
                1
            };
            let ms = rng.random_range(SILENCE_MS);
            let (path, body) = match rng.random_range(0..3) {
                0 if is_engine => ("/admin/freeze-connections", json!({"ms": ms})),
                form => ("/admin/stall", json!({"ms": ms, "head": form == 1})),
            };
            let chosen: Vec<_> = targets.sample(&mut rng, most).collect();
            for target in &chosen {
                Caller::new(**target, "").post(path, &body).await?;
            }
            println!("silence {path} {body} at {} targets", chosen.len());
        }
    }

    async fn inject(&self, time: Duration) -> Result<()> {
        let pause = time / (FAULTS.len() as u32 + 1);
        for fault in FAULTS {
            sleep(pause).await;
            let targets = if fault.engine {
                &self.engines
            } else {
                &self.services
            };
            for target in targets {
                let caller = Caller::new(*target, "");
                caller.post(fault.path, &(fault.body)()).await?;
            }
            println!("fault {} at {} targets", fault.path, targets.len());
        }
        Ok(())
    }
}
