//! What an entry instance knows of parts of prompts: which of them are sound, and which crashes
//! may still turn out to be another part's doing.
//!
//! Some parts are in nearly every request, so they were part of nearly every crash. Runs that
//! end well speak for them, but take seconds. So a crash counts against a part that was sound
//! until now only if for some time no run that was sent after it goes well.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use base::{Fingerprint, Time};
use wire::quarantine::CrashedRun;

/// How long a complete answer speaks for the parts of its request.
const KNOWN_TIME: Duration = Duration::from_secs(60);

/// Time after a crash in which a run that goes well clears a part that was sound before.
pub(crate) const DOUBT_TIME: Duration = Duration::from_millis(1_500);

/// The same for a part that an instance doesn't know which has just started.
const NEW_TIME: Duration = Duration::from_millis(600);

/// Time after the start of an instance in which it knows too little to call a part unknown.
const FIRST_TIME: Duration = Duration::from_secs(10);

/// Crashes from which on a verdict stands against answers of before.
const CERTAIN: u32 = 4;

/// Most parts that are known to be sound.
const MAX_KNOWN: usize = 16_384;

/// Most parts whose crashes wait.
const MAX_WAITING: usize = 8_192;

/// Parts of prompts at one entry instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parts {
    began: Option<Time>,
    /// Only looked up, or ordered before use.
    known: HashMap<Fingerprint, Known>,
    /// Crashes that count once they have not been contradicted for some time.
    waiting: BTreeMap<Fingerprint, Vec<(Time, CrashedRun)>>,
    /// Parts whose verdict was disputed here by answers of before it, and when.
    disputed: BTreeMap<Fingerprint, Time>,
}

/// A part that is known to be sound.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// When it was answered in full.
    answered: Time,
    /// When the newest run was sent that went well.
    sent: Time,
}

impl Known {
    /// Returns whether the last answer still speaks for the part.
    fn speaks(&self, now: Time) -> bool {
        now.since(self.answered) < KNOWN_TIME
    }
}

impl Parts {
    /// Takes a crash that a part was part of. Returns whether it counts now; if not, it may
    /// later, see [`Self::ripe`].
    pub(crate) fn crashed(&mut self, now: Time, run: &CrashedRun) -> bool {
        let part = run.fingerprint;
        if !self.is_known(now, &part) && !self.is_new(now) {
            return true;
        }
        if self.waiting.len() < MAX_WAITING || self.waiting.contains_key(&part) {
            let crash = (now - run.ago, run.clone());
            self.waiting.entry(part).or_default().push(crash);
        }
        false
    }

    /// Returns whether crashes of a part wait to be counted.
    pub(crate) fn waits(&self, part: &Fingerprint) -> bool {
        self.waiting.contains_key(part)
    }

    /// Takes the crashes that count from now on, with their times.
    pub(crate) fn ripe(&mut self, now: Time) -> Vec<(Time, CrashedRun)> {
        let mut ripe = Vec::new();
        for (part, crashes) in &mut self.waiting {
            // What is known to be sound comes last, as what is not may explain it.
            let time = match self.known.get(part) {
                Some(known) if known.speaks(now) => DOUBT_TIME,
                _ => NEW_TIME,
            };
            ripe.extend(crashes.extract_if(.., |(at, _)| now.since(*at) >= time));
        }
        self.waiting.retain(|_, crashes| !crashes.is_empty());
        ripe
    }

    /// Notes that a run that was sent at `sent` ended well.
    pub(crate) fn answered(&mut self, now: Time, part: Fingerprint, sent: Time) {
        self.is_new(now);
        let known = Known {
            answered: now,
            sent,
        };
        let kept = self.known.entry(part).or_insert(known);
        kept.answered = now;
        kept.sent = kept.sent.max(sent);
        self.clear(&part, sent);
        if self.known.len() > MAX_KNOWN {
            self.make_room(now);
        }
    }

    /// Notes that a run that was sent at `sent` has gone on for far longer than those that
    /// ended in crashes.
    pub(crate) fn outlived(&mut self, part: &Fingerprint, sent: Time) {
        if let Some(known) = self.known.get_mut(part) {
            known.sent = known.sent.max(sent);
        }
        self.clear(part, sent);
    }

    /// Returns the longest time that a run with this part lasted until a crash that waits.
    pub(crate) fn longest_run(&self, part: &Fingerprint) -> Option<Duration> {
        let crashes = self.waiting.get(part)?;
        crashes.iter().map(|(_, run)| run.ran).max()
    }

    /// Returns whether no crash waits.
    pub(crate) fn is_calm(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether this instance knows that a part is sound against which there is a
    /// verdict of `crashes` crashes.
    ///
    /// A part may be sound until targets change, so answers of before the verdict speak
    /// against it only once, and not against one of many crashes.
    pub(crate) fn disputes(&mut self, now: Time, part: &Fingerprint, crashes: u32) -> bool {
        let sent = self.known.get(part).map(|known| known.sent);
        if sent.is_some_and(|sent| now.since(sent) < DOUBT_TIME) {
            return true;
        }
        let known = crashes < CERTAIN && self.is_known(now, part);
        known && self.disputed.insert(*part, now).is_none()
    }

    /// Forgets what has ended.
    pub(crate) fn expire(&mut self, now: Time) {
        self.disputed.retain(|_, at| now.since(*at) < KNOWN_TIME);
    }

    fn clear(&mut self, part: &Fingerprint, sent: Time) {
        let Some(crashes) = self.waiting.get_mut(part) else {
            return;
        };
        crashes.retain(|(at, _)| *at >= sent);
        if crashes.is_empty() {
            self.waiting.remove(part);
        }
    }

    /// Returns whether a request with this part was answered in full lately.
    pub(crate) fn is_known(&self, now: Time, part: &Fingerprint) -> bool {
        let known = self.known.get(part);
        known.is_some_and(|known| known.speaks(now))
    }

    fn is_new(&mut self, now: Time) -> bool {
        now.since(*self.began.get_or_insert(now)) < FIRST_TIME
    }

    fn make_room(&mut self, now: Time) {
        self.known.retain(|_, known| known.speaks(now));
        if self.known.len() <= MAX_KNOWN / 2 {
            return;
        }
        let mut times: Vec<_> = self.known.values().map(|known| known.answered).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.known.retain(|_, known| known.answered > middle);
    }
}
