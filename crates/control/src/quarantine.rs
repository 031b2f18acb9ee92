//! Requests that are refused because they crash the targets that run them.

use std::collections::BTreeMap;

use base::{Fingerprint, record};

/// Most requests that are kept; beyond it the one that ends first is dropped.
const MAX_KEPT: usize = 1_024;

/// How long the end of a verdict is kept, so that instances that hear of the verdict late
/// hear of its end as well. In milliseconds.
const LIFTED_MS: u64 = 600_000;

record! {
    /// Records the verdict on one request.
    pub struct Sentence {
        /// Index of the log entry with the verdict or its end.
        pub index: u64,
        /// Time on the state clock, in milliseconds, at which this record ends.
        pub until: u64,
        /// The number of crashes that the request was part of.
        pub crashes: u32,
        /// Whether the request was cleared, and is no longer refused.
        pub lifted: bool,
    }

    /// The verdicts in force, by request.
    #[derive(Default)]
    pub struct Quarantine {
        requests: BTreeMap<Fingerprint, Sentence>,
    }
}

impl Quarantine {
    /// Returns the verdicts and their ends. Some may have passed their time.
    #[must_use]
    pub fn all(&self) -> &BTreeMap<Fingerprint, Sentence> {
        &self.requests
    }

    /// Refuses a request for `time` milliseconds from `at` on.
    pub(crate) fn hold(&mut self, index: u64, at: u64, fingerprint: Fingerprint, hold: Hold) {
        self.expire(at);
        let sentence = Sentence {
            index,
            until: at.saturating_add(hold.time),
            crashes: hold.crashes,
            lifted: false,
        };
        self.requests.insert(fingerprint, sentence);
        if self.requests.len() > MAX_KEPT {
            let first = self.requests.iter().min_by_key(|(_, kept)| kept.until);
            if let Some(first) = first.map(|(id, _)| *id) {
                self.requests.remove(&first);
            }
        }
    }

    /// Ends the verdict on a request, if there is one.
    pub(crate) fn lift(&mut self, index: u64, at: u64, fingerprint: &Fingerprint) {
        self.expire(at);
        if let Some(known) = self.requests.get_mut(fingerprint) {
            known.index = index;
            known.until = at.saturating_add(LIFTED_MS);
            known.lifted = true;
        }
    }

    fn expire(&mut self, at: u64) {
        self.requests.retain(|_, known| known.until > at);
    }
}

record! {
    /// For how long a request is refused, and why.
    pub struct Hold {
        /// Milliseconds.
        pub time: u64,
        /// The number of crashes that the request was part of.
        pub crashes: u32,
    }
}
