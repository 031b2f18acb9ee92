//! Targets that fall over when they have to refuse many requests.
//!
//! A brittle target says in its answers how many requests a second it may have to refuse for
//! want of room, over all entry instances together. It may keep fewer waiting than before, so
//! only its slots are sure room.
//!
//! Failure: many instances fill the same target, as each knows the requests of the others as
//! of half a second ago. All that is too much is refused at once, and the target falls over
//! with all that runs there. So each instance takes an even part of the slots that were free
//! when it last heard of the others, and after a refusal stays away for as long as its even
//! part of the refusals asks for.

use std::{collections::BTreeMap, time::Duration};

use base::{PerSecond, Time, stable_hash};

/// Time after which a request that finds no room looks again: an exchange with the zone
/// owner tells of the others' requests.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(60);

/// Part of the slots that stays free, for requests that others have sent since they were
/// last heard of.
const RESERVE_PART: u32 = 8;

/// Longest time for which an instance stays away from a target that refused a request.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// What the targets that are brittle say, as one entry instance knows it.
#[derive(Clone, Debug, Default)]
pub struct BrittleTargets {
    seed: u64,
    instances: u32,
    targets: BTreeMap<String, Known>,
}

#[derive(Clone, Debug)]
struct Known {
    bears: PerSecond,
    /// Requests of this instance that may run there, by what it last heard of the others.
    part: u32,
    /// Number of times that the part was computed.
    rounds: u64,
    away_until: Option<Time>,
}

/// Requests at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Those that it runs at the same time.
    pub slots: u32,
    /// This instance's own.
    pub own: u32,
    /// Those of all others, as last heard.
    pub others: u32,
}

impl BrittleTargets {
    /// Creates the state of one of `instances` instances. `seed` has to differ between them.
    #[must_use]
    pub fn new(seed: u64, instances: u32) -> Self {
        BrittleTargets {
            seed,
            instances,
            targets: BTreeMap::new(),
        }
    }

    /// Sets the number of entry instances.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Takes over what an answer of a target says: how many refusals a second it bears, or
    /// that it isn't brittle. Returns whether that has changed.
    pub fn seen(&mut self, id: &str, bears: Option<PerSecond>, load: Load) -> bool {
        let Some(bears) = bears else {
            return self.targets.remove(id).is_some();
        };
        if let Some(known) = self.targets.get_mut(id) {
            let changed = known.bears != bears;
            known.bears = bears;
            return changed;
        }
        let known = Known {
            bears,
            part: 0,
            rounds: 0,
            away_until: None,
        };
        self.targets.insert(id.to_owned(), known);
        self.heard(id, load);
        true
    }

    /// Returns the targets that are brittle.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.targets.keys().map(String::as_str)
    }

    /// Returns whether a target says that it is brittle.
    #[must_use]
    pub fn is_brittle(&self, id: &str) -> bool {
        self.targets.contains_key(id)
    }

    /// Computes this instance's part of the free slots of a target, as it has heard of the
    /// others' requests. What is left of the division goes to as many instances, drawn anew
    /// each time.
    pub fn heard(&mut self, id: &str, load: Load) {
        let (seed, instances) = (self.seed, self.instances.max(1));
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        known.rounds += 1;
        let reserve = load.slots.div_ceil(RESERVE_PART);
        let free = load.slots.saturating_sub(load.own + load.others + reserve);
        let draw = stable_hash(&[
            &seed.to_le_bytes(),
            &known.rounds.to_le_bytes(),
            id.as_bytes(),
        ]);
        let drawn = (draw % u64::from(instances)) < u64::from(free % instances);
        known.part = load.own + free / instances + u32::from(drawn);
    }

    /// Notes that a target refused a request for want of room.
    pub fn refused(&mut self, now: Time, id: &str) {
        let instances = self.instances.max(1);
        if let Some(known) = self.targets.get_mut(id) {
            let each = f64::from(instances) / f64::from(known.bears.get().max(1));
            let pause = Duration::from_secs_f64(each.max(1.0)).min(LONGEST_PAUSE);
            known.away_until = known.away_until.max(Some(now + pause));
        }
    }

    /// Returns the time for which a target takes no further request of this instance.
    #[must_use]
    pub fn blocked_for(&self, now: Time, id: &str, own: u32) -> Option<Duration> {
        let known = self.targets.get(id)?;
        if let Some(until) = known.away_until.filter(|until| now < *until) {
            return Some(until.since(now));
        }
        (own >= known.part).then_some(NO_ROOM_PAUSE)
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.targets.retain(|id, _| keep(id));
    }
}
