//! Injects faults of the simulated engines and services while the load runs, one after the
//! other.

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use lab::{Caller, Lab};
use serde_json::{Value, json};
use tokio::time::sleep;

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

    /// Injects each fault at every target of its kind, spread evenly over `time`.
    pub(crate) async fn run(self, time: Duration) -> Result<()> {
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
