//! Claims of marked requests.
//!
//! A marked request carries an idempotency key and runs at most once. The entry instance
//! that receives it claims the key in the replicated log before it sends the request to
//! an engine, and reports the outcome afterwards.
//!
//! A key is first remembered in full, together with the answer if that is small, and
//! later only as a fingerprint of 8 bytes. A key that contains a date is eventually
//! forgotten; from then on, keys of that date or earlier are refused. A key without date
//! keeps its fingerprint; when there is no room for more fingerprints, new keys without
//! date are refused. No key ever runs a second time.

mod fingerprints;
mod record;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{BrandName, InstanceName, record, stable_hash};
use wire::call::{Answer, Claim, ClaimOutcome, ClaimReply, Settle};

use self::{
    fingerprints::Fingerprints,
    record::{Key, KeyRecord, Phase},
};

record! {
    /// Limits on what is remembered of claims. They are part of the replicated state, so
    /// that all replicas apply the same ones.
    pub struct Limits {
        /// How long a settled key is remembered in full, in milliseconds.
        pub full_ms: u64,
        /// How long a claim may be under way, in milliseconds. After that, its outcome is
        /// unknown: the request may have run.
        pub running_ms: u64,
        /// Number of keys remembered in full. Beyond it, settled keys are reduced to
        /// fingerprints before their time.
        pub full: usize,
        /// Size of the largest answer that is kept, in bytes.
        pub answer: usize,
        /// Total size of all kept answers, in bytes.
        pub answers: usize,
        /// Number of fingerprints of keys without date, per brand.
        pub undated: usize,
        /// Number of fingerprints of keys with date, per brand.
        pub dated: usize,
        /// How far a key's date may lie in the future, in milliseconds. A key with a
        /// later date is treated as one without date.
        pub ahead_ms: u64,
        /// How old a key's date may be, in milliseconds. Older keys are refused, so that
        /// keys of arbitrary dates can't fill the memory.
        pub window_ms: u64,
        /// Retry delay after a refusal for lack of room, in milliseconds.
        pub retry_ms: u64,
    }

    /// All claims.
    pub struct Claims {
        limits: Limits,
        /// The keys remembered in full.
        keys: BTreeMap<Key, KeyRecord>,
        /// Claims under way, by the time of the claim on the state clock.
        under_way: BTreeSet<(u64, Key)>,
        /// Settled keys remembered in full, by the time on the state clock when they were
        /// settled, oldest first.
        settled: VecDeque<(u64, Key)>,
        /// Keys with a kept answer, oldest first.
        answers: VecDeque<Key>,
        /// Total size of the kept answers.
        answer_bytes: usize,
        fingerprints: BTreeMap<BrandName, Fingerprints>,
    }
}

impl Default for Limits {
    /// Keys are remembered in full for long enough to answer a caller's retries. The
    /// counts bound the size of the state in memory and in snapshots
    /// (docs/design/claims.md).
    fn default() -> Self {
        Limits {
            full_ms: 600_000,
            running_ms: 3_600_000,
            full: 65_536,
            answer: 4_096,
            answers: 16 << 20,
            undated: 1_000_000,
            dated: 1_000_000,
            ahead_ms: 600_000,
            window_ms: 86_400_000,
            retry_ms: 60_000,
        }
    }
}

impl Default for Claims {
    fn default() -> Self {
        Claims::new(Limits::default())
    }
}

impl Claims {
    /// Creates an empty set of claims.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Claims {
            limits,
            keys: BTreeMap::new(),
            under_way: BTreeSet::new(),
            settled: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            fingerprints: BTreeMap::new(),
        }
    }

    /// Returns the reply to a claim of a key that is already settled; none if the claim
    /// has to go through the log.
    #[must_use]
    pub fn known(&self, claim: &Claim) -> Option<ClaimReply> {
        let record = self.keys.get(&Key::of(claim))?;
        let reply = record.reply(claim);
        (!matches!(reply, ClaimReply::Granted | ClaimReply::Running)).then_some(reply)
    }

    /// Returns the number of keys remembered in full and the number of fingerprints.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let fingerprints = self.fingerprints.values().map(Fingerprints::len).sum();
        (self.keys.len(), fingerprints)
    }

    /// Applies a claim at time `at` of the state clock and time `wall` of the leader's
    /// wall clock.
    pub(crate) fn claim(&mut self, at: u64, wall: u64, claim: &Claim) -> ClaimReply {
        let key = Key::of(claim);
        if let Some(record) = self.keys.get(&key) {
            return record.reply(claim);
        }
        let dated = self.accepted_date(wall, claim);
        let fingerprint = fingerprint_of(&key);
        if let Some(fingerprints) = self.fingerprints.get(&claim.brand) {
            // Guard: a key that was reduced to a fingerprint has no record, but a late
            // retry with it must not be taken for a new key. The fingerprint is also
            // found if the date was accepted for only one of the two claims.
            if let Some(ran) = fingerprints.find(claim.dated, fingerprint) {
                base::hit!(fingerprint_found);
                return if ran {
                    ClaimReply::Ran(None)
                } else {
                    ClaimReply::MayHaveRun
                };
            }
            // Guard: keys of this date were forgotten for lack of room, and this may be
            // one of them. A refusal makes the caller use a new key at worst; accepting
            // it could run the request twice.
            if claim.dated.is_some_and(|date| fingerprints.forgot(date)) {
                base::hit!(key_too_old);
                return ClaimReply::TooOld;
            }
        }
        if claim.dated.is_some_and(|date| self.too_old(wall, date)) {
            base::hit!(key_outside_window);
            return ClaimReply::TooOld;
        }
        if !self.has_room(&claim.brand, dated) {
            base::hit!(no_room_for_keys);
            let retry = std::time::Duration::from_millis(self.limits.retry_ms);
            return ClaimReply::Deferred { retry };
        }
        self.fingerprints
            .entry(claim.brand.clone())
            .or_default()
            .reserve(dated);
        self.under_way.insert((at, key.clone()));
        self.keys.insert(key, KeyRecord::running(claim, dated, at));
        ClaimReply::Granted
    }

    /// Applies an outcome at time `at` of the state clock; returns whether it comes from
    /// the instance and attempt that hold the claim.
    pub(crate) fn settle(&mut self, at: u64, settle: &Settle) -> bool {
        let key = Key::of_settle(settle);
        let Some(record) = self.keys.get_mut(&key) else {
            return false;
        };
        // Guard: the late outcome of an attempt that was given up must not free a key
        // that another instance has claimed since, or the request would run a second
        // time.
        if record.instance != settle.instance || record.attempt != settle.attempt {
            base::hit!(foreign_settle);
            return false;
        }
        if matches!(record.phase, Phase::Ran(_)) {
            return true;
        }
        match &settle.outcome {
            ClaimOutcome::NotRun => self.free(&key),
            ClaimOutcome::Ran(answer) => self.finish(at, &key, Phase::Ran(None), answer.clone()),
            ClaimOutcome::MayHaveRun => self.finish(at, &key, Phase::MayHaveRun, None),
        }
        true
    }

    /// Settles all claims that `instance` has under way: their requests may have run.
    pub(crate) fn lapse(&mut self, at: u64, instance: &InstanceName) {
        let claimer = |key: &Key| self.keys.get(key).map(|record| &record.instance);
        let under_way = self.under_way.iter().map(|(_, key)| key);
        let keys = under_way.filter(|key| claimer(key) == Some(instance));
        let keys: Vec<_> = keys.cloned().collect();
        for key in keys {
            // Guard: an instance that died may or may not have sent the request. If the
            // key were freed, the request could run again.
            base::hit!(claimer_died);
            self.finish(at, &key, Phase::MayHaveRun, None);
        }
    }

    /// Returns the instances with claims under way.
    #[must_use]
    pub fn claimers(&self) -> BTreeSet<&InstanceName> {
        let keys = self.under_way.iter().map(|(_, key)| key);
        keys.filter_map(|key| Some(&self.keys.get(key)?.instance))
            .collect()
    }

    /// Settles claims that are under way for too long at time `at` of the state clock,
    /// and reduces settled keys to fingerprints once they no longer have to be remembered
    /// in full.
    pub(crate) fn expire(&mut self, at: u64) {
        while let Some((since, key)) = self.under_way.first().cloned() {
            if at.saturating_sub(since) <= self.limits.running_ms {
                break;
            }
            self.finish(at, &key, Phase::MayHaveRun, None);
        }
        while let Some((since, _)) = self.settled.front() {
            let over = at.saturating_sub(*since) > self.limits.full_ms;
            if !over && self.keys.len() <= self.limits.full {
                return;
            }
            let Some((since, key)) = self.settled.pop_front() else {
                return;
            };
            let settled = self.keys.get(&key).and_then(|record| record.settled);
            if settled == Some(since) {
                self.reduce(&key);
            }
        }
    }

    /// Returns the key's date, unless it lies too far in the future.
    fn accepted_date(&self, wall: u64, claim: &Claim) -> Option<u64> {
        let limit = wall.saturating_add(self.limits.ahead_ms);
        claim.dated.filter(|date| *date <= limit)
    }

    fn too_old(&self, wall: u64, date: u64) -> bool {
        date.saturating_add(self.limits.window_ms) < wall
    }

    fn has_room(&self, brand: &BrandName, dated: Option<u64>) -> bool {
        if self.under_way.len() >= self.limits.full {
            return false;
        }
        let Some(fingerprints) = self.fingerprints.get(brand) else {
            return true;
        };
        dated.is_some() || fingerprints.undated() < self.limits.undated
    }

    fn free(&mut self, key: &Key) {
        if let Some(record) = self.keys.remove(key) {
            self.under_way.remove(&(record.since, key.clone()));
            let fingerprints = self.fingerprints.entry(key.brand.clone()).or_default();
            fingerprints.release(record.dated);
        }
    }

    fn finish(&mut self, at: u64, key: &Key, phase: Phase, answer: Option<Answer>) {
        let Some(record) = self.keys.get_mut(key) else {
            return;
        };
        record.phase = phase;
        record.settled = Some(at);
        self.under_way.remove(&(record.since, key.clone()));
        self.settled.push_back((at, key.clone()));
        let small = answer.filter(|a| size_of(a) <= self.limits.answer);
        if let Some(answer) = small {
            self.answer_bytes += size_of(&answer);
            record.phase = Phase::Ran(Some(answer));
            self.answers.push_back(key.clone());
        }
        while self.answer_bytes > self.limits.answers {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, key: &Key) {
        let Some(record) = self.keys.get_mut(key) else {
            return;
        };
        if let Phase::Ran(answer) = &mut record.phase
            && let Some(answer) = answer.take()
        {
            self.answer_bytes -= size_of(&answer);
        }
    }

    fn reduce(&mut self, key: &Key) {
        self.drop_answer(key);
        let Some(record) = self.keys.remove(key) else {
            return;
        };
        let ran = matches!(record.phase, Phase::Ran(_));
        let fingerprints = self.fingerprints.entry(key.brand.clone()).or_default();
        fingerprints.release(record.dated);
        fingerprints.add(record.dated, fingerprint_of(key), ran);
        fingerprints.trim(self.limits.dated);
        while self
            .answers
            .front()
            .is_some_and(|k| !self.keys.contains_key(k))
        {
            self.answers.pop_front();
        }
    }
}

/// Returns the fingerprint of a key. Its lowest bit is zero, as [`Fingerprints`]
/// stores a flag there.
fn fingerprint_of(key: &Key) -> u64 {
    stable_hash(&[&key.hash]) & !1
}

fn size_of(answer: &Answer) -> usize {
    answer.body.len() + answer.content.len()
}
