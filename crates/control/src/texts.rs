//! The operators' text, its history and the outcome of each change.

use std::collections::{BTreeMap, VecDeque};

use base::{ChangeId, TextVersion, record};
use sha2::{Digest, Sha256};
use wire::operator::{Applied, Entry, Why};

use crate::Patch;

/// Accepted changes that are remembered, each for a resend and for the
/// history.
const CHANGES_MAX: usize = 20_000;

/// Changes kept as patches. An instance that misses more gets the whole text.
const RECENT_MAX: usize = 64;

/// Lines in one patch beyond which it is not kept: the whole text is as cheap.
const RECENT_LINES: u32 = 2_000;

/// What is answered where the outcome of a change is no longer remembered.
const NO_RETRY_MS: u64 = 0;

record! {
    /// The text in force and what is remembered of how it came about.
    #[derive(Default)]
    pub struct Texts {
        version: TextVersion,
        text: String,
        /// The last changes, for instances that are a little behind.
        recent: VecDeque<Patch>,
        history: VecDeque<Won>,
        #[serde(skip)]
        by_id: BTreeMap<ChangeId, TextVersion>,
    }

    /// An accepted change.
    struct Won {
        entry: Entry,
        digest: [u8; 16],
    }
}

/// A change as the log gives it.
#[derive(Clone, Copy, Debug)]
pub struct Given<'a> {
    /// Its id.
    pub change: &'a ChangeId,
    /// The version that it was made from.
    pub base: TextVersion,
    /// Who made it.
    pub by: &'a str,
    /// Hash of the whole new text.
    pub digest: [u8; 16],
}

impl Texts {
    /// Returns the hash by which a resent change is compared with the first.
    #[must_use]
    pub fn digest(text: &str) -> [u8; 16] {
        let hash = Sha256::digest(text.as_bytes());
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        short
    }

    /// Returns the version in force; 0 before the first change.
    #[must_use]
    pub fn version(&self) -> TextVersion {
        self.version
    }

    /// Returns the text in force.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns accepted changes after `from`, oldest first.
    pub fn history(&self, from: TextVersion) -> impl Iterator<Item = &Entry> {
        let entries = self.history.iter().map(|won| &won.entry);
        entries.filter(move |entry| entry.version > from)
    }

    /// Returns the outcome of a change as far as it is settled already: a
    /// resend, or one that came too late. Nothing means that it may be
    /// accepted.
    #[must_use]
    pub fn known(&self, given: Given<'_>) -> Option<Applied> {
        // Guard: an operator whose answer was lost sends the change again. It
        // must not be applied twice, nor be told that it lost against itself;
        // the outcome is part of the state, so it outlives leaders, snapshots
        // and restarts.
        if let Some(won) = self.by_id.get(given.change).and_then(|v| self.won(*v)) {
            base::hit!(resent_change);
            if won.digest != given.digest {
                return Some(Applied::Refused {
                    why: Why::ChangeReused,
                });
            }
            let version = won.entry.version;
            return Some(Applied::Accepted { version });
        }
        if given.base == self.version {
            return None;
        }
        // Guard: two operators edit the same version. The first in the log
        // wins; the other must not overwrite it unseen.
        base::hit!(lost_race);
        let next = given.base.next();
        let winner = self.won(next).or_else(|| self.history.back());
        let forgotten = self
            .history
            .front()
            .is_some_and(|won| won.entry.version > next);
        Some(match winner {
            Some(won) if !forgotten => Applied::Refused {
                why: Why::Conflict {
                    version: self.version,
                    winner: won.entry.change.clone(),
                    by: won.entry.by.clone(),
                },
            },
            Some(_) => Applied::Unknown {
                retry_ms: NO_RETRY_MS,
            },
            None => Applied::Refused {
                why: Why::BadText {
                    errors: vec!["no text has been accepted yet: the base is 0".to_owned()],
                },
            },
        })
    }

    /// Applies a change from the log and returns its outcome.
    pub(crate) fn apply(&mut self, given: Given<'_>, patch: &Patch) -> Applied {
        if let Some(applied) = self.known(given) {
            return applied;
        }
        let text = patch.apply(&self.text).ok();
        let Some(text) = text.filter(|text| Texts::digest(text) == given.digest) else {
            return Applied::Refused {
                why: Why::BadText {
                    errors: vec!["the change does not fit its base version".to_owned()],
                },
            };
        };
        self.version = self.version.next();
        self.text = text;
        self.keep(patch);
        let entry = Entry {
            version: self.version,
            change: given.change.clone(),
            by: given.by.to_owned(),
            added: patch.added(),
            removed: patch.removed(),
        };
        let digest = given.digest;
        self.by_id.insert(given.change.clone(), self.version);
        self.history.push_back(Won { entry, digest });
        if self.history.len() > CHANGES_MAX
            && let Some(old) = self.history.pop_front()
        {
            self.by_id.remove(&old.entry.change);
        }
        Applied::Accepted {
            version: self.version,
        }
    }

    /// Returns the patches that lead from `have` to the text in force, where
    /// they are still kept.
    #[must_use]
    pub fn since(&self, have: TextVersion) -> Option<Vec<Patch>> {
        let missed = self.version.get().checked_sub(have.get())?;
        let missed = usize::try_from(missed).ok()?;
        let first = self.recent.len().checked_sub(missed)?;
        (have > TextVersion(0)).then(|| self.recent.range(first..).cloned().collect())
    }

    fn keep(&mut self, patch: &Patch) {
        if patch.added().max(patch.removed()) > RECENT_LINES {
            self.recent.clear();
            return;
        }
        self.recent.push_back(patch.clone());
        if self.recent.len() > RECENT_MAX {
            self.recent.pop_front();
        }
    }

    /// Rebuilds what is derived, after decoding.
    pub(crate) fn index(&mut self) {
        let all = self.history.iter().map(|won| &won.entry);
        self.by_id = all.map(|e| (e.change.clone(), e.version)).collect();
    }

    fn won(&self, version: TextVersion) -> Option<&Won> {
        let first = self.history.front()?.entry.version;
        let at = version.get().checked_sub(first.get())?;
        self.history.get(usize::try_from(at).ok()?)
    }
}
