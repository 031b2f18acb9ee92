//! The evidence against requests: which runs ended as their target crashed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Fingerprint, StableHash, Time, stable_hash};
use wire::quarantine::CrashedRun;

/// Crashes after which a request is refused.
const CRASHES: u32 = 3;

/// A crash this soon after a run began was most likely caused by it.
const SOON: Duration = Duration::from_millis(250);

/// A crash within this time was likely caused by the run.
const LIKELY: Duration = Duration::from_secs(1);

/// Weight of a crash that followed [`SOON`]. One within [`LIKELY`] has half of it, a later
/// one a quarter.
const SOON_WEIGHT: u32 = 4;

/// Time within which reports of one target are about one crash. A target needs longer
/// than this to come back.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// Time until a verdict, in which all instances report what ran at the same target.
const SETTLE: Duration = Duration::from_millis(150);

/// Time within which the verdict on a request comes from the leader, once there is enough
/// evidence: [`SETTLE`], the leader's check, an entry of the log and the way back.
const VERDICT_TIME: Duration = Duration::from_millis(600);

/// How long evidence is kept after the last crash.
const EVIDENCE_TIME: Duration = Duration::from_secs(30 * 60);

/// How long a request is refused that is the cause of its crashes, for the first time.
const HOLD_TIME: Duration = Duration::from_secs(2 * 60);

/// How long it is refused after that.
const HOLD_AGAIN_TIME: Duration = Duration::from_secs(10 * 60);

/// Trials after which a request that was part of a crash again is the cause.
const TRIALS: u32 = 2;

/// How long a request is refused that may have run beside the cause only.
const TRIAL_TIME: Duration = Duration::from_secs(4);

/// Time between the releases of requests that can't be told apart: longer than a cause
/// mostly needs to crash a target.
const TRIAL_STEP: Duration = Duration::from_millis(300);

/// Most crashes that are remembered of one request; older ones still count.
const MAX_CRASHES: usize = 16;

/// Most requests with evidence; beyond it those whose last crash is the oldest are
/// forgotten.
const MAX_SUSPECTS: usize = 8_192;

/// How many are forgotten at once, so that room isn't sought for each new one.
const FORGOTTEN_AT_ONCE: usize = MAX_SUSPECTS / 8;

/// A request that has to be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The number of crashes that it was part of.
    pub crashes: u32,
    /// For how long it is refused.
    pub time: Duration,
}

/// Evidence against requests.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// The number of crashes that it was part of.
    count: u32,
    /// Their weights, added up.
    weight: u32,
    /// The number of crashes at the last verdict.
    judged: u32,
    /// The number of verdicts.
    verdicts: u32,
    /// Whether the last verdict named it as the cause.
    held: bool,
    /// The newest ones, the oldest first.
    crashes: VecDeque<Crash>,
    /// When there was enough evidence for the next verdict.
    enough_since: Option<Time>,
    /// When the evidence was last added to.
    last: Time,
}

/// A crash that a request was part of.
#[derive(Clone, Debug)]
struct Crash {
    /// Hash of the target's id.
    target: StableHash,
    at: Time,
    weight: u32,
    /// How long the request had run.
    ran: Duration,
}

impl Ledger {
    /// Adds a run that ended as its target crashed.
    pub fn crashed(&mut self, now: Time, run: &CrashedRun) {
        let crash = Crash {
            target: stable_hash(&[run.target.as_bytes()]),
            at: now - run.ago,
            weight: weight(run.ran),
            ran: run.ran,
        };
        if !self.suspects.contains_key(&run.fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(run.fingerprint).or_default();
        suspect.add(crash);
    }

    /// Clears a request that was answered in full: it doesn't crash what runs it.
    pub fn answered(&mut self, fingerprint: &Fingerprint) {
        self.suspects.remove(fingerprint);
    }

    /// Returns whether there is evidence against a request.
    #[must_use]
    pub fn suspects(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Returns the number of requests with evidence.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns for how much longer the verdict on a request may be on its way, if there is
    /// enough evidence for one, and the number of its crashes.
    #[must_use]
    pub fn awaited(&self, now: Time, fingerprint: &Fingerprint) -> Option<(Duration, u32)> {
        let suspect = self.suspects.get(fingerprint)?;
        let left = VERDICT_TIME.checked_sub(now.since(suspect.enough_since?))?;
        (!left.is_zero()).then_some((left, suspect.count))
    }

    /// Returns whether there is no evidence at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Notes that a verdict is in force.
    pub fn judged(&mut self, now: Time, verdict: &Verdict) {
        let id = verdict.fingerprint;
        if !self.suspects.contains_key(&id) {
            self.make_room();
        }
        let suspect = self.suspects.entry(id).or_default();
        suspect.count = suspect.count.max(verdict.crashes);
        suspect.judged = suspect.judged.max(verdict.crashes);
        suspect.verdicts += 1;
        if suspect.count == suspect.judged {
            suspect.enough_since = None;
        }
        suspect.held = verdict.time > TRIAL_TIME;
        suspect.last = suspect.last.max(now);
    }

    /// Returns the verdicts that are due.
    ///
    /// What causes crashes was part of each of them and had just begun, so the request
    /// that this fits best is refused for long, and what it explains doesn't speak
    /// against others. Any other one is refused for seconds, and for long once it was part
    /// of a crash again after that.
    ///
    /// Failure: callers that resend at once send what merely ran on a crashed target to
    /// the same next target as the cause, three times in a row, and all would be refused
    /// for as long as the cause. So requests that can't be told apart are released one
    /// after the other, the least suspect first. Alone, each shows what it does.
    #[must_use]
    pub fn due(&self, now: Time) -> Vec<Verdict> {
        let due = self.suspects.iter();
        let mut due: Vec<_> = due.filter(|(_, suspect)| suspect.is_due(now)).collect();
        let mut verdicts = Vec::new();
        let mut causes: Vec<_> = self.suspects.values().filter(|s| s.held).collect();
        due.retain(|(_, suspect)| suspect.unexplained(&causes) >= CRASHES);
        while let Some((id, cause)) = cause(&due) {
            verdicts.push(cause.verdict(id, cause.hold_time()));
            causes.push(cause);
            due.retain(|(other, suspect)| **other != id && suspect.unexplained(&causes) >= CRASHES);
        }
        due.sort_by_key(|(id, s)| (s.weight, Reverse(s.last_ran()), **id));
        let count = u32::try_from(due.len()).unwrap_or(u32::MAX);
        let step = TRIAL_STEP.min(TRIAL_TIME / count.max(1));
        for ((id, suspect), place) in due.into_iter().zip(1..) {
            let time = if suspect.verdicts < TRIALS {
                step * place
            } else {
                suspect.hold_time()
            };
            verdicts.push(suspect.verdict(*id, time));
        }
        verdicts
    }

    /// Forgets old evidence.
    pub fn expire(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < EVIDENCE_TIME);
    }

    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let ages = self
            .suspects
            .iter()
            .map(|(id, suspect)| (suspect.last, *id));
        let mut ages: Vec<_> = ages.collect();
        ages.sort_unstable();
        for (_, id) in ages.into_iter().take(FORGOTTEN_AT_ONCE) {
            self.suspects.remove(&id);
        }
    }
}

/// Returns the one suspect that the evidence fits best, if it is the cause.
fn cause<'a>(due: &[(&'a Fingerprint, &'a Suspect)]) -> Option<(Fingerprint, &'a Suspect)> {
    let (id, first) = due.iter().max_by_key(|(_, suspect)| suspect.weight)?;
    let alike = due.iter().filter(|(_, s)| s.weight == first.weight);
    let sure = first.weight >= CRASHES * SOON_WEIGHT && alike.count() == 1;
    sure.then_some((**id, *first))
}

/// Returns how much a crash speaks against a run that had lasted for `ran`.
fn weight(ran: Duration) -> u32 {
    if ran <= SOON {
        SOON_WEIGHT
    } else if ran <= LIKELY {
        SOON_WEIGHT / 2
    } else {
        SOON_WEIGHT / 4
    }
}

impl Suspect {
    fn add(&mut self, crash: Crash) {
        self.last = self.last.max(crash.at);
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            // Several instances ran it there: the run that began last counts.
            self.weight += crash.weight.saturating_sub(known.weight);
            known.weight = known.weight.max(crash.weight);
            known.ran = known.ran.min(crash.ran);
            return;
        }
        self.count += 1;
        self.weight += crash.weight;
        if self.count >= CRASHES && self.count > self.judged {
            self.enough_since.get_or_insert(crash.at);
        }
        self.crashes.push_back(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    fn hold_time(&self) -> Duration {
        if self.held {
            HOLD_AGAIN_TIME
        } else {
            HOLD_TIME
        }
    }

    /// Returns the number of its crashes that none of `causes` explains better.
    fn unexplained(&self, causes: &[&Suspect]) -> u32 {
        let explained = self.crashes.iter().filter(|crash| {
            let better = causes.iter().filter(|cause| cause.weight > self.weight);
            better.into_iter().any(|cause| cause.was_part(crash))
        });
        let explained = u32::try_from(explained.count()).unwrap_or(u32::MAX);
        self.count.saturating_sub(explained)
    }

    fn was_part(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|own| own.is_same(crash))
    }

    fn is_due(&self, now: Time) -> bool {
        self.enough_since
            .is_some_and(|since| now.since(since) >= SETTLE)
    }

    fn last_ran(&self) -> Duration {
        self.crashes
            .back()
            .map_or(Duration::ZERO, |crash| crash.ran)
    }

    fn verdict(&self, fingerprint: Fingerprint, time: Duration) -> Verdict {
        Verdict {
            fingerprint,
            crashes: self.count,
            time,
        }
    }
}

impl Crash {
    fn is_same(&self, other: &Crash) -> bool {
        let (first, second) = (self.at.min(other.at), self.at.max(other.at));
        self.target == other.target && second.since(first) < SAME_CRASH
    }
}
