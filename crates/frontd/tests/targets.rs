//! Targets in trouble: real control and entry instances over loopback, and engines that
//! crash and come back some time later, or that name a limit.

#[path = "targets/admission.rs"]
mod admission;
#[path = "targets/anew.rs"]
mod anew;
#[path = "targets/brittle.rs"]
mod brittle;
#[path = "targets/broken.rs"]
mod broken;
#[path = "targets/callers.rs"]
mod callers;
#[path = "targets/cleared.rs"]
mod cleared;
#[path = "targets/crashes.rs"]
mod crashes;
#[path = "targets/cuts.rs"]
mod cuts;
#[path = "targets/deployment.rs"]
mod deployment;
#[path = "targets/endless.rs"]
mod endless;
#[path = "targets/ends.rs"]
mod ends;
#[path = "targets/engine.rs"]
mod engine;
#[path = "common/engines.rs"]
mod engines;
#[path = "targets/explained.rs"]
mod explained;
#[path = "targets/hedged.rs"]
mod hedged;
#[path = "targets/leaving.rs"]
mod leaving;
#[path = "targets/limits.rs"]
mod limits;
#[path = "targets/links.rs"]
mod links;
#[path = "targets/parts.rs"]
mod parts;
#[path = "common/platform.rs"]
mod platform;
#[path = "targets/played.rs"]
mod played;
#[path = "targets/raw.rs"]
mod raw;
#[path = "targets/raw_target.rs"]
mod raw_target;
#[path = "targets/restarts.rs"]
mod restarts;
#[path = "targets/rests.rs"]
mod rests;
#[path = "targets/rush.rs"]
mod rush;
#[path = "targets/scripted.rs"]
mod scripted;
#[path = "targets/silence.rs"]
mod silence;
#[path = "targets/versioned.rs"]
mod versioned;
#[path = "targets/versions.rs"]
mod versions;

use std::time::Duration;

/// Time after which every instance knows what another one has seen.
const CONTACT: Duration = Duration::from_secs(3);
