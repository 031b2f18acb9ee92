//! Prompt tokens that targets have to read before the next request (prefill), and when
//! one more copy of an adapter would serve sooner.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use wire::fleet::PromptTime;

use super::{TargetState, View};

/// Prefill backlog, in seconds, that weighs as much as a target with all slots in use:
/// about the longest pause allowed in its running streams.
pub(super) const FULL_WAIT: f64 = 0.27;

/// Initial estimate of the prompt tokens that a target reads per second: between the
/// engine types of the deployment's data sheets, which read 26 to 39 in a millisecond.
const INITIAL_SPEED: f64 = 30_000.0;

/// Weight of the newest request in the estimated speed, which is thus an average over
/// about a hundred requests, some seconds of an instance's traffic.
const SPEED_WEIGHT: f64 = 0.02;

/// Minimum backlog, in tokens, for a speed sample: with fewer, the decoding steps of
/// running requests take most of the time.
const MIN_SAMPLE_TOKENS: u64 = 1_000;

impl View {
    /// Replaces the numbers of prompt tokens of other instances that the targets of
    /// `zones` have not read yet.
    pub fn set_unread(
        &mut self,
        zones: &[String],
        unread: impl IntoIterator<Item = (String, u64)>,
    ) {
        let targets = &self.targets;
        self.unread_others
            .retain(|id, _| known_outside(targets, zones, id));
        self.unread_others.extend(unread);
    }

    /// Returns the prompt tokens sent by this instance that targets of `zones` have not
    /// read yet.
    #[must_use]
    pub fn unread(&self, zones: &[String]) -> Vec<(String, u64)> {
        let in_zones = self.targets.iter();
        let in_zones = in_zones.filter(|(_, known)| known.unread > 0);
        let in_zones = in_zones.filter(|(_, known)| zones.contains(&known.target.zone));
        in_zones
            .map(|(id, known)| (id.clone(), known.unread))
            .collect()
    }

    /// Returns the prompt tokens that a target has to read before the next request.
    pub(super) fn ahead(&self, known: &TargetState) -> u64 {
        let others = self.unread_others.get(&known.target.id);
        known.unread + others.copied().unwrap_or(0)
    }

    /// Returns the estimated time until a target has read all prompts it was sent, in
    /// seconds.
    pub(super) fn backlog(&self, known: &TargetState) -> f64 {
        self.read_time(self.ahead(known) as f64) * known.slow()
    }

    /// Returns the time that a typical target takes to read `tokens`, in seconds.
    pub(super) fn read_time(&self, tokens: f64) -> f64 {
        tokens / self.speed.unwrap_or(INITIAL_SPEED)
    }

    /// Updates the speed of targets from a request whose answer began `after` it was
    /// sent, to a target that had `tokens` to read, its own included.
    pub fn add_speed_sample(&mut self, id: &str, tokens: u64, after: Duration) {
        if tokens < MIN_SAMPLE_TOKENS || self.tight && self.is_filled(id) {
            return;
        }
        self.note_pace(id, tokens, after);
        let newest = tokens as f64 / after.as_secs_f64().max(0.001);
        let speed = self.speed.unwrap_or(INITIAL_SPEED);
        self.speed = Some(speed + (newest - speed) * SPEED_WEIGHT);
    }

    /// Returns whether requests wait for a slot at a target, so that the time until it answers
    /// doesn't tell how fast it reads.
    fn is_filled(&self, id: &str) -> bool {
        let known = self.targets.get(id);
        known.is_some_and(|known| self.load(known) >= 1.0)
    }

    fn note_pace(&mut self, id: &str, tokens: u64, after: Duration) {
        let new = || PromptTime {
            target: id.to_owned(),
            tokens: 0,
            took: Duration::ZERO,
        };
        let pace = self.paces.entry(id.to_owned()).or_insert_with(new);
        pace.tokens += tokens;
        pace.took += after;
    }

    /// Removes and returns the time that targets of `zones` took to read prompts.
    pub fn take_paces(&mut self, zones: &[String]) -> Vec<PromptTime> {
        let targets = &self.targets;
        let in_zones = |id: &String| !known_outside(targets, zones, id);
        let (due, rest) = std::mem::take(&mut self.paces)
            .into_iter()
            .partition(|(id, _)| in_zones(id));
        self.paces = rest;
        let due: BTreeMap<_, _> = due;
        due.into_values().collect()
    }

    /// Returns the zone where one more copy of `adapter` should be loaded, if all its
    /// holders need longer than `load` to read the prompts they were sent.
    ///
    /// Pattern: a few adapters get a fifth of all requests or more. One engine reads the
    /// prompts of some ten requests a second; the holders of such an adapter had a
    /// backlog of three seconds while other engines were idle. If the wait is longer than
    /// a load, a new copy serves callers sooner; it goes to the zone of the target with
    /// the smallest backlog.
    #[must_use]
    pub fn zone_for_copy(
        &self,
        now: Time,
        service: &str,
        adapter: &str,
        load: Duration,
    ) -> Option<&str> {
        if adapter.is_empty() {
            return None;
        }
        let of_service = self.targets.values();
        let of_service = of_service.filter(|k| k.target.service == service && k.target.ready);
        let (holders, rest): (Vec<_>, Vec<_>) =
            of_service.partition(|known| self.holds(known, adapter));
        if self.tight {
            return self.zone_by_time(now, &holders, &rest);
        }
        let behind = |known: &&TargetState| self.backlog(known) > load.as_secs_f64();
        if !holders.iter().all(behind) {
            return None;
        }
        let rest = rest.into_iter().filter(|known| !known.is_avoided(now));
        let least = rest.min_by(|a, b| self.backlog(a).total_cmp(&self.backlog(b)))?;
        let worth = self.backlog(least) < load.as_secs_f64() / 2.0;
        worth.then_some(least.target.zone.as_str())
    }
}

/// Returns whether a target is known and in none of `zones`.
pub(super) fn known_outside(
    targets: &BTreeMap<String, TargetState>,
    zones: &[String],
    id: &str,
) -> bool {
    let zone = targets.get(id).map(|known| &known.target.zone);
    zone.is_some_and(|zone| !zones.contains(zone))
}
