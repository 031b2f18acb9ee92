//! How a process divides its machine among its listeners.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use base::{Bytes, Machine};
use telemetry::{Event, event, prom_metrics};
use web::memory::{Limited, Memory, Quota};

use crate::lock;

/// What an idle connection takes, in bytes: its task and the buffers of HTTP.
const CONNECTION: u64 = 16 << 10;

/// Part of the memory that idle connections of one listener may take.
const CONNECTION_PART: u64 = 4;

/// Descriptors are divided into so many parts.
const DESCRIPTOR_PARTS: u32 = 16;

/// Parts of the descriptors for requests under way, each of which has a connection to a target.
const REQUEST_PARTS: u32 = 4;

/// Connections to a listener for probes and metrics.
const PROBES: usize = 16;

/// Shortest time between two lines on limits that clients met.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What one listener may use.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Connections.
    pub connections: usize,
    /// What they can have the process hold.
    pub memory: Memory,
}

impl Capacity {
    /// Returns what a listener may use that gets `parts` of sixteen of the descriptors and one of
    /// `share` parts of the memory for what its connections bring.
    #[must_use]
    pub fn of(machine: Machine, parts: u32, share: u64) -> Capacity {
        let memory = machine.memory().get();
        let fit = memory / CONNECTION_PART / CONNECTION;
        let connections =
            descriptors(machine, parts).min(usize::try_from(fit).unwrap_or(usize::MAX));
        let quota = Quota {
            bytes: Bytes(memory / share),
            requests: descriptors(machine, REQUEST_PARTS),
        };
        Capacity {
            connections,
            memory: Memory::new(quota, report),
        }
    }

    /// Returns what a listener for probes and metrics may use, whose few connections bring
    /// little.
    #[must_use]
    pub fn of_probes() -> Capacity {
        Capacity {
            connections: PROBES,
            memory: Memory::new(Quota::UNLIMITED, report),
        }
    }
}

/// Returns what targets and the platform can have a process hold back of their answers: one of
/// `share` parts of the memory.
#[must_use]
pub fn answers(machine: Machine, share: u64) -> Memory {
    let quota = Quota {
        bytes: Bytes(machine.memory().get() / share),
        ..Quota::UNLIMITED
    };
    Memory::new(quota, report)
}

/// Returns `parts` of sixteen of the descriptors.
#[must_use]
pub fn descriptors(machine: Machine, parts: u32) -> usize {
    let all = machine.descriptors().get();
    usize::try_from(all / DESCRIPTOR_PARTS * parts).unwrap_or(usize::MAX)
}

/// Limits that clients met since the last line.
static MET: Mutex<Option<(Instant, u64)>> = Mutex::new(None);

/// Counts a limit that a client met, and logs it unless another one was logged lately.
fn report(limited: Limited, held: Bytes, most: Bytes) {
    prom_metrics().client_limited(limited.as_str(), held);
    let mut met = lock(&MET);
    let (last, count) = met.unwrap_or((Instant::now() - REPORT_INTERVAL, 0));
    if last.elapsed() < REPORT_INTERVAL {
        *met = Some((last, count + 1));
        return;
    }
    *met = Some((Instant::now(), 0));
    drop(met);
    event!(
        Event::ClientLimited,
        what = limited.as_str(),
        held = held.get(),
        most = most.get(),
        others = count
    );
}
