//! The operators' configuration text, its history and the outcome of each change.

use std::collections::{BTreeMap, VecDeque};

use base::{ChangeId, TextVersion, record};
use sha2::{Digest, Sha256};
use wire::operator::{Applied, Entry, Why};

use crate::Patch;

/// Number of accepted changes that are remembered, for the history and to answer a resent
/// change.
const HISTORY_MAX: usize = 20_000;

/// Number of changes kept as patches. An instance that missed more gets the full text.
const PATCHES_MAX: usize = 64;

/// Lines added or removed beyond which a patch is not kept, because sending the full text
/// costs no more.
const PATCH_LINES_MAX: u32 = 2_000;

/// Retry delay in replies about a change whose outcome is forgotten: zero, since no retry
/// can tell more.
const NO_RETRY_MS: u64 = 0;

record! {
    /// The text in force and the changes that led to it.
    #[derive(Default)]
    pub struct Texts {
        version: TextVersion,
        text: String,
        /// Patches of the latest changes, for instances that are a few versions behind.
        patches: VecDeque<Patch>,
        /// The latest accepted changes, oldest first.
        history: VecDeque<AcceptedChange>,
        /// The version that each change in `history` created; derived from it.
        #[serde(skip)]
        by_id: BTreeMap<ChangeId, TextVersion>,
    }

    /// An accepted change.
    struct AcceptedChange {
        entry: Entry,
        digest: [u8; 16],
    }
}

/// A change of the text as given in a command or a request.
#[derive(Clone, Copy, Debug)]
pub struct TextChange<'a> {
    /// Its id.
    pub change: &'a ChangeId,
    /// The version to which it applies.
    pub base: TextVersion,
    /// The operator, as given in the request.
    pub by: &'a str,
    /// Hash of the complete new text; see [`Texts::digest`].
    pub digest: [u8; 16],
}

impl Texts {
    /// Returns the hash by which a resent change is compared with the original.
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

    /// Returns the accepted changes after version `from`, oldest first.
    pub fn history(&self, from: TextVersion) -> impl Iterator<Item = &Entry> {
        let entries = self.history.iter().map(|accepted| &accepted.entry);
        entries.filter(move |entry| entry.version > from)
    }

    /// Returns the outcome of a change if it can be told without the log: the change is a
    /// resend, or its base version is outdated. Returns none if the change may be
    /// accepted.
    #[must_use]
    pub fn known(&self, given: TextChange<'_>) -> Option<Applied> {
        // Guard: an operator that gets no reply sends the change again. The change must
        // neither be applied twice nor be reported as conflicting with itself. Outcomes
        // are part of the replicated state, so they survive changes of leader, snapshots
        // and restarts.
        if let Some(accepted) = self.by_id.get(given.change).and_then(|v| self.accepted(*v)) {
            base::hit!(resent_change);
            if accepted.digest != given.digest {
                return Some(Applied::Refused {
                    why: Why::ChangeReused,
                });
            }
            let version = accepted.entry.version;
            return Some(Applied::Accepted { version });
        }
        if given.base == self.version {
            return None;
        }
        // Guard: if two operators edit the same version, the first change in the log is
        // accepted. The other one is refused, since it would silently overwrite the
        // first.
        base::hit!(lost_race);
        let next = given.base.next();
        let winner = self.accepted(next).or_else(|| self.history.back());
        let forgotten = self
            .history
            .front()
            .is_some_and(|accepted| accepted.entry.version > next);
        Some(match winner {
            Some(accepted) if !forgotten => Applied::Refused {
                why: Why::Conflict {
                    version: self.version,
                    winner: accepted.entry.change.clone(),
                    by: accepted.entry.by.clone(),
                },
            },
            Some(_) => Applied::Unknown {
                retry_ms: NO_RETRY_MS,
            },
            None => Applied::Refused {
                why: Why::BadText {
                    errors: vec![
                        "no text has been accepted yet: the base version must be 0".to_owned(),
                    ],
                },
            },
        })
    }

    /// Applies a change from the log and returns its outcome.
    pub(crate) fn apply(&mut self, given: TextChange<'_>, patch: &Patch) -> Applied {
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
        self.keep_patch(patch);
        let entry = Entry {
            version: self.version,
            change: given.change.clone(),
            by: given.by.to_owned(),
            added: patch.added(),
            removed: patch.removed(),
        };
        let digest = given.digest;
        self.by_id.insert(given.change.clone(), self.version);
        self.history.push_back(AcceptedChange { entry, digest });
        if self.history.len() > HISTORY_MAX
            && let Some(old) = self.history.pop_front()
        {
            self.by_id.remove(&old.entry.change);
        }
        Applied::Accepted {
            version: self.version,
        }
    }

    /// Returns the patches that lead from version `have` to the text in force, or none if
    /// not all of them are kept.
    #[must_use]
    pub fn since(&self, have: TextVersion) -> Option<Vec<Patch>> {
        let missed = self.version.get().checked_sub(have.get())?;
        let missed = usize::try_from(missed).ok()?;
        let first = self.patches.len().checked_sub(missed)?;
        (have > TextVersion(0)).then(|| self.patches.range(first..).cloned().collect())
    }

    fn keep_patch(&mut self, patch: &Patch) {
        if patch.added().max(patch.removed()) > PATCH_LINES_MAX {
            self.patches.clear();
            return;
        }
        self.patches.push_back(patch.clone());
        if self.patches.len() > PATCHES_MAX {
            self.patches.pop_front();
        }
    }

    /// Rebuilds the fields that are not stored, after decoding.
    pub(crate) fn rebuild_index(&mut self) {
        let all = self.history.iter().map(|accepted| &accepted.entry);
        self.by_id = all.map(|e| (e.change.clone(), e.version)).collect();
    }

    fn accepted(&self, version: TextVersion) -> Option<&AcceptedChange> {
        let first = self.history.front()?.entry.version;
        let at = version.get().checked_sub(first.get())?;
        self.history.get(usize::try_from(at).ok()?)
    }
}
