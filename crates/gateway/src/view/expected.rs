//! Choice by the expected time until a target begins to answer.
//!
//! Pattern: waves of requests over engines of different speeds, with adapters that one
//! engine in ten holds. A request waits for a slot, then for the prompts before it; both
//! take longer at a slow engine. Counted in slots, an engine whose callers wait for
//! seconds looks little worse than one that answers at once, and no copy of its adapters
//! is asked for while others are idle.

use std::{collections::BTreeMap, collections::BTreeSet, time::Duration};

use base::Time;

use super::{Choice, TargetState, View, choose::sum, usable};
use crate::explain::{Part, Passed, Watch};

/// Initial estimate of the time that a request holds a slot.
const INITIAL_HOLD: Duration = Duration::from_millis(1_000);

/// Weight of the newest request in the time that requests hold a slot, which is thus an
/// average over some fifty.
const HOLD_WEIGHT: f64 = 0.02;

/// Requests that hold a slot for less than this are over before other instances hear of
/// them: the time between two exchanges.
const BRIEF_HOLD: Duration = Duration::from_millis(250);

/// Added for a target in another availability zone, in seconds: the way there and back,
/// and a preference for the own zone while that is about as fast.
const CROSS_ZONE_TIME: f64 = 0.04;

/// Added for a target that names a limit or is brittle, in seconds.
const LIMITED_TIME: f64 = 0.07;

/// Time lost by a request that fails and is sent again, in seconds.
const FAILURE_TIME: f64 = 0.5;

/// Added for a target that refused a request for want of room a moment ago, in seconds.
const FULL_TIME: f64 = 0.5;

/// How long a target counts as full after it refused a request for want of room: until the
/// load of the others is heard anew.
const FULL_PAUSE: Duration = Duration::from_millis(250);

/// Added for a target that could not be reached, in seconds.
const AVOIDED_TIME: f64 = 10.0;

/// Added for a target that failed the request already, in seconds.
const TRIED_TIME: f64 = 100.0;

/// Part of a target's slots by which its load is uncertain, as others send there meanwhile.
const UNCERTAIN_PART: f64 = 0.15;

/// Difference of expected times, in seconds, that makes a target a third as probable.
const EQUAL_TIME: f64 = 0.025;

/// Expected time at all holders of an adapter from which one more copy is asked for, in
/// seconds: the time that a load takes.
const COPY_WAIT: f64 = 0.25;

/// Slowest and fastest target, as a multiple of the typical time.
const FACTORS: (f64, f64) = (0.3, 4.0);

/// What is learned of the requests of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    services: BTreeMap<String, ServiceTime>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    /// Time that a request holds a slot at a typical target, in seconds.
    hold: f64,
    /// Tokens of a prompt.
    prompt: f64,
}

impl ServiceTimes {
    fn of(&self, service: &str) -> ServiceTime {
        let initial = ServiceTime {
            hold: INITIAL_HOLD.as_secs_f64(),
            prompt: 0.0,
        };
        self.services.get(service).copied().unwrap_or(initial)
    }

    fn add(&mut self, service: &str, hold: f64, prompt: f64) {
        let old = self.of(service);
        let new = match self.services.contains_key(service) {
            true => ServiceTime {
                hold: old.hold + (hold - old.hold) * HOLD_WEIGHT,
                prompt: old.prompt + (prompt - old.prompt) * HOLD_WEIGHT,
            },
            false => ServiceTime { hold, prompt },
        };
        self.services.insert(service.to_owned(), new);
    }
}

impl View {
    /// Updates the time that requests hold a slot from one that a target has answered for
    /// `hold`, its prompt of `tokens` read before.
    pub fn add_hold_sample(&mut self, id: &str, tokens: u64, hold: Duration) {
        let Some(known) = self.targets.get(id) else {
            return;
        };
        let typical = hold.as_secs_f64() / factor(known);
        let service = known.target.service.clone();
        self.times.add(&service, typical, tokens as f64);
    }

    /// Notes that a target refused a request for want of room.
    pub(super) fn note_full(&mut self, now: Time, id: &str) {
        if let Some(known) = self.targets.get_mut(id) {
            known.full_until = now + FULL_PAUSE;
        }
    }

    /// Chooses among the holders of an adapter, also of those that are still loading it, and
    /// tells `watch` what is weighed.
    pub(super) fn choose_by_time(
        &self,
        now: Time,
        holders: &[&TargetState],
        adapter: &str,
        tried: &BTreeSet<String>,
        watch: &impl Watch,
    ) -> Choice {
        let rated = holders.iter().map(|known| {
            let load = known.loads_for(now, adapter);
            let parts = self.expected_parts(now, known, tried, load);
            watch.rated(&known.target, &parts);
            (sum(&parts), *known)
        });
        let rated: Vec<_> = rated.collect();
        let Some(best) = self.pick_by_time(&rated) else {
            return Choice::Wait(Duration::ZERO);
        };
        for known in holders {
            let taken = known.target.id == best.target.id;
            watch.check(&known.target, taken, || Passed::NotDrawn);
        }
        let wait = best.loads_for(now, adapter);
        match watch.check(&best.target, usable(best, now, adapter), || {
            Passed::Loading(wait)
        }) {
            true => Choice::Send(best.target.id.clone()),
            false => Choice::Wait(wait),
        }
    }

    /// Draws a target, the more probably the less it costs.
    ///
    /// Failure: all instances know the same loads, a quarter of a second old, and send to
    /// the same target until they hear of each other. However little it is better than
    /// the next, it is filled.
    fn pick_by_time<'a>(&self, rated: &[(f64, &'a TargetState)]) -> Option<&'a TargetState> {
        let drawn = rated.iter().map(|(cost, known)| {
            let part = (self.rank(known) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            // The largest of such numbers is drawn by the weights exp(-cost).
            (-cost / EQUAL_TIME - (-part.ln()).ln(), *known)
        });
        let best = drawn.max_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.1)
    }

    /// Returns the expected time until a target begins to answer the next request, in
    /// seconds.
    pub(super) fn expected_time(&self, now: Time, known: &TargetState) -> f64 {
        let (queue, prompts) = self.time_parts(now, known);
        queue + prompts
    }

    /// Returns the expected time until a slot of a target is free for the next request, and then
    /// until its prompt is read, in seconds.
    fn time_parts(&self, now: Time, known: &TargetState) -> (f64, f64) {
        let times = self.times.of(&known.target.service);
        let factor = factor(known);
        let hold = times.hold * factor;
        let slots = f64::from(known.target.slots.max(1));
        let brief = times.hold < BRIEF_HOLD.as_secs_f64();
        let running = self.probable_running(now, known, brief);
        let uncertain = (UNCERTAIN_PART * slots).max(1.0);
        let queued = softplus((running + 1.0 - slots) / uncertain) * uncertain;
        let read = self.read_time(self.ahead(known) as f64 + times.prompt);
        (queued * hold / slots, read * factor)
    }

    /// Returns the parts of the cost of a target that has the adapter after `load`, in seconds.
    fn expected_parts(
        &self,
        now: Time,
        known: &TargetState,
        tried: &BTreeSet<String>,
        load: Duration,
    ) -> [(Part, f64); 9] {
        let target = &known.target;
        let when = |applies: bool, time: f64| if applies { time } else { 0.0 };
        let (queue, prompts) = self.time_parts(now, known);
        let failures = FAILURE_TIME * known.failures.decayed_rate(now);
        [
            (Part::Queue, queue),
            (Part::Prompts, prompts),
            (Part::Failures, failures),
            (Part::Zone, when(target.zone != self.zone, CROSS_ZONE_TIME)),
            (Part::Need, when(self.in_need(&target.id), LIMITED_TIME)),
            (Part::Full, when(known.full_until > now, FULL_TIME)),
            (Part::Avoided, when(known.is_avoided(now), AVOIDED_TIME)),
            (Part::Tried, when(tried.contains(&target.id), TRIED_TIME)),
            (Part::Loading, load.as_secs_f64()),
        ]
    }

    /// Returns the zone of the target that would serve a further copy of an adapter
    /// soonest, if all `holders` keep their callers waiting.
    pub(super) fn zone_by_time(
        &self,
        now: Time,
        holders: &[&TargetState],
        rest: &[&TargetState],
    ) -> Option<&str> {
        let waits = |known: &&&TargetState| self.expected_time(now, known) > COPY_WAIT;
        if !holders.iter().all(|known| waits(&known)) {
            return None;
        }
        let open = rest.iter().filter(|known| !known.is_avoided(now));
        let timed = open.map(|known| (self.expected_time(now, known), known));
        let (least, known) = timed.min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.targets
            .get(&known.target.id)
            .filter(|_| least < COPY_WAIT / 2.0)
            .map(|known| known.target.zone.as_str())
    }
}

/// Returns how many times as long as a typical target this one takes.
fn factor(known: &TargetState) -> f64 {
    match known.target.slowness {
        0 => 1.0,
        percent => (f64::from(percent) / 100.0).clamp(FACTORS.0, FACTORS.1),
    }
}

/// Returns a smooth maximum of `x` and 0.
fn softplus(x: f64) -> f64 {
    x.max(0.0) + (-x.abs()).exp().ln_1p()
}
