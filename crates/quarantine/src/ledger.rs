//! The evidence against requests: which runs ended as their target crashed.

mod explain;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Fingerprint, StableHash, Time, stable_hash};
use wire::quarantine::CrashedRun;

use self::explain::Part;

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

/// Time within which crashes are one piece of evidence against a part of prompts: several targets
/// that crash together were hardly crashed by as many requests.
const SAME_MOMENT: Duration = Duration::from_millis(30);

/// How much the time to a crash differs for one cause, beside a quarter of that time.
const USUAL_SPREAD: Duration = Duration::from_millis(50);

/// Time until a verdict, in which all instances report what ran at the same target.
const SETTLE: Duration = Duration::from_millis(150);

/// The same for a request that was refused before, as it may be sent again at once, and for a part
/// of prompts, as others bring it.
const SETTLE_AGAIN: Duration = Duration::from_millis(50);

/// Time within which the verdict on a request comes from the leader, once there is enough
/// evidence: [`SETTLE`], the leader's check, an entry of the log and the way back.
const VERDICT_TIME: Duration = Duration::from_millis(600);

/// How long evidence is kept after the last crash.
const EVIDENCE_TIME: Duration = Duration::from_secs(30 * 60);

/// How long a request is refused that is the cause of its crashes, for the first time.
const HOLD_TIME: Duration = Duration::from_secs(2 * 60);

/// How long it is refused after that.
const HOLD_AGAIN_TIME: Duration = Duration::from_secs(10 * 60);

/// How long a part of a prompt is refused for the first time. Nothing is lost by a long time, as
/// whatever is sound clears it.
const PART_HOLD_TIME: Duration = Duration::from_secs(10 * 60);

/// How long it is refused after that.
const PART_HOLD_AGAIN_TIME: Duration = Duration::from_secs(60 * 60);

/// Crashes that convict a part of a prompt however late they came.
const PART_CRASHES: u32 = 5;

/// Trials after which a request that was part of a crash again is the cause.
const TRIALS: u32 = 2;

/// How long a request is refused that may have run beside the cause only.
const TRIAL_TIME: Duration = Duration::from_secs(4);

/// Least time for which a verdict for long goes on that is made one for seconds: all
/// instances hear of that before it ends, as nothing tells them later.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// Time between the releases of requests that can't be told apart: longer than a cause
/// mostly needs to crash a target.
const TRIAL_STEP: Duration = Duration::from_millis(300);

/// Time after a crash in which verdicts are checked by it.
const LEARNED_TIME: Duration = Duration::from_secs(2);

/// Part of three crashes that a cause explains at least.
const SURE: f64 = 0.6;

/// Crashes that a suspect explains at least; below that others explain all of its crashes.
const EXPLAINED: f64 = 0.5;

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
    /// When the last verdict ends.
    until: Time,
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
    /// Whether it came within [`SAME_MOMENT`] of another one that counts.
    beside: bool,
}

impl Ledger {
    /// Adds a run that ended as its target crashed.
    pub fn crashed(&mut self, now: Time, run: &CrashedRun) {
        let crash = Crash {
            target: stable_hash(&[run.target.as_bytes()]),
            at: now - run.ago,
            weight: weight(run.ran),
            ran: run.ran,
            beside: false,
        };
        if !self.suspects.contains_key(&run.fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(run.fingerprint).or_default();
        suspect.add(crash, run.fingerprint.is_part());
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

    /// Keeps the evidence against a part of a prompt whose verdict was disputed: the next crash
    /// counts for all.
    pub fn disputed(&mut self, part: &Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(part) {
            suspect.judged = suspect.count;
            suspect.enough_since = None;
            suspect.held = false;
        }
    }

    /// Returns when the first crash was that is remembered of a request.
    #[must_use]
    pub fn first_crash(&self, fingerprint: &Fingerprint) -> Option<Time> {
        let suspect = self.suspects.get(fingerprint)?;
        suspect.crashes.front().map(|crash| crash.at)
    }

    /// Returns the longest time that a run of a request lasted until a crash.
    #[must_use]
    pub fn longest_run(&self, fingerprint: &Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(fingerprint)?;
        suspect.crashes.iter().map(|crash| crash.ran).max()
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
        suspect.until = now + verdict.time;
        suspect.last = suspect.last.max(now);
    }

    /// Returns the verdicts that are due.
    ///
    /// Each crash was caused by one of the requests that were part of it, so a suspect is
    /// judged by its part in the explanation of all crashes. What explains three of them
    /// that came soon after it began is refused for long. Any other one is refused for
    /// seconds, and for long once it explains crashes after that too. What others explain
    /// isn't refused. A verdict for long becomes one for seconds if others explain the
    /// crashes after all, or others that are refused were part of each of them.
    ///
    /// Failure: callers that resend at once send what merely ran on a crashed target to
    /// the same next target as the cause, three times in a row, and all would be refused
    /// for as long as the cause. So requests that can't be told apart are released one
    /// after the other, the least suspect first. Alone, each shows what it does.
    #[must_use]
    pub fn due(&self, now: Time) -> Vec<Verdict> {
        let mut all = self.suspects.iter();
        let any_due = all.any(|(id, suspect)| suspect.is_due(now, id.is_part()));
        if !any_due && !self.may_change(now) {
            return Vec::new();
        }
        let parts = explain::parts(now, &self.suspects);
        let (mut verdicts, mut rest) = (Vec::new(), Vec::new());
        for (id, suspect) in &self.suspects {
            let part = parts.get(id).copied().unwrap_or_default();
            let due = suspect.is_due(now, id.is_part());
            if id.is_part() {
                if due && suspect.is_cause_as_part(&part) {
                    verdicts.push(suspect.verdict(*id, suspect.part_hold_time()));
                }
                continue;
            }
            let explained = part.best < EXPLAINED;
            let doubtful = suspect.is_held(now) && (explained || part.shared);
            if due && suspect.is_cause(&part) {
                verdicts.push(suspect.verdict(*id, suspect.hold_time()));
            } else if doubtful || due && !explained {
                rest.push((*id, suspect));
            }
        }
        rest.sort_by_key(|(id, s)| (s.weight, Reverse(s.last_ran()), *id));
        let count = u32::try_from(rest.len()).unwrap_or(u32::MAX);
        let step = TRIAL_STEP.min(TRIAL_TIME / count.max(1));
        for ((id, suspect), place) in rest.into_iter().zip(1..) {
            let least = match suspect.is_held(now) {
                true => RELEASE_TIME,
                false => Duration::ZERO,
            };
            verdicts.push(suspect.verdict(id, (step * place).max(least)));
        }
        verdicts
    }

    /// Returns whether a verdict for long may be wrong by what was learned lately.
    fn may_change(&self, now: Time) -> bool {
        let mut all = self.suspects.values();
        let learned = all.any(|suspect| now.since(suspect.last) < LEARNED_TIME);
        learned && self.suspects.values().any(|suspect| suspect.is_held(now))
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
    fn add(&mut self, mut crash: Crash, part: bool) {
        self.last = self.last.max(crash.at);
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            // Several instances ran it there: the run that began last counts.
            if !known.beside {
                self.weight += crash.weight.saturating_sub(known.weight);
                known.weight = known.weight.max(crash.weight);
            }
            known.ran = known.ran.min(crash.ran);
            return;
        }
        let mut counted = self.crashes.iter().filter(|known| !known.beside);
        crash.beside = part && counted.any(|known| known.is_beside(&crash));
        if crash.beside {
            crash.weight = 0;
        } else {
            self.count += 1;
        }
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

    fn part_hold_time(&self) -> Duration {
        if self.verdicts > 0 {
            PART_HOLD_AGAIN_TIME
        } else {
            PART_HOLD_TIME
        }
    }

    /// Returns whether it is the cause as a part of prompts. Others are not tried alone: what is
    /// sound is cleared by answers, and what crashes targets may reach few of them.
    fn is_cause_as_part(&self, part: &Part) -> bool {
        let soon = part.weight >= SURE * f64::from(CRASHES * SOON_WEIGHT);
        let enough = self.count >= PART_CRASHES || self.verdicts > 0;
        part.crashes >= SURE * f64::from(CRASHES) && (soon || enough) && !part.shared
    }

    /// Returns whether it is the cause, by its part in the explanation of all crashes.
    fn is_cause(&self, part: &Part) -> bool {
        let soon = part.weight >= SURE * f64::from(CRASHES * SOON_WEIGHT);
        let tried = self.verdicts >= TRIALS;
        part.crashes >= SURE * f64::from(CRASHES) && (soon || tried) && !part.shared
    }

    fn is_held(&self, now: Time) -> bool {
        self.held && self.until > now
    }

    /// Returns how well its crashes fit together: a cause takes about the same time to
    /// crash each target.
    fn fit(&self) -> f64 {
        let times = self.crashes.iter().map(|crash| crash.ran.as_secs_f64());
        let count = self.crashes.len().max(1) as f64;
        let mean = times.clone().sum::<f64>() / count;
        let variance = times.map(|time| (time - mean).powi(2)).sum::<f64>() / count;
        let usual = USUAL_SPREAD.as_secs_f64() + mean / 4.0;
        1.0 / (1.0 + variance / usual.powi(2))
    }

    fn is_due(&self, now: Time, part: bool) -> bool {
        let settle = match self.verdicts {
            0 if !part => SETTLE,
            _ => SETTLE_AGAIN,
        };
        self.enough_since
            .is_some_and(|since| now.since(since) >= settle)
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
        self.target == other.target && self.apart(other) < SAME_CRASH
    }

    fn is_beside(&self, other: &Crash) -> bool {
        self.apart(other) < SAME_MOMENT
    }

    fn apart(&self, other: &Crash) -> Duration {
        self.at.max(other.at).since(self.at.min(other.at))
    }
}
