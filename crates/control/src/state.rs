//! The state machine over the log: a deterministic function of the commands.

mod saved;

use base::record;
use owner::{Change, Table};
use wire::{call::ClaimReply, operator::Applied};

pub use self::saved::BadState;
use self::saved::Saved;
use crate::{
    Claims, Command, Editions, Item, Limits, PublishOutcome, Quarantine, SoftwareHistory,
    TextChange, Texts, What, ZoneGrants,
};

/// Retry delay for a claim of an instance that is not in the table yet: the change that
/// its first heartbeat causes has not been applied.
const UNKNOWN_CLAIMER_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

record! {
    /// The outcome of one command.
    pub enum Outcome {
        /// Of a change of the configuration text.
        Text(Applied),
        /// Of claims and their outcomes: a reply for each claim, none for an outcome.
        Claims(Vec<Option<ClaimReply>>),
        /// Of a change of entry instances or engine owners: whether it had an effect.
        Owner(bool),
        /// Of a published edition or adapter version.
        Published(PublishOutcome),
        /// Of a command without result.
        Done,
    }

    /// The replicated state.
    #[derive(Default)]
    pub struct State {
        /// Time on the state clock, in milliseconds.
        at: u64,
        texts: Texts,
        editions: Editions,
        zones: ZoneGrants,
        table: Table,
        claims: Claims,
        quarantine: Quarantine,
        software: SoftwareHistory,
    }
}

impl State {
    /// Creates an empty state with the given limits for claims.
    #[must_use]
    pub fn with_limits(limits: Limits) -> Self {
        State {
            claims: Claims::new(limits),
            ..State::default()
        }
    }

    /// Applies the command at `index` of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        // Guard: the command of a new leader may carry an earlier time than the last one.
        // The state clock never goes back, or keys would be forgotten too early or never.
        self.at = self.at.max(command.at);
        let outcome = match &command.what {
            What::Text {
                change,
                base,
                by,
                patch,
                digest,
            } => {
                let given = TextChange {
                    change,
                    base: *base,
                    by,
                    digest: *digest,
                };
                Outcome::Text(self.texts.apply(given, patch))
            }
            What::Claims(items) => {
                let answers = items.iter().map(|item| self.claim(command.wall, item));
                Outcome::Claims(answers.collect())
            }
            What::Publish(edition) => Outcome::Published(self.editions.publish(edition)),
            What::Revise { adapter, version } => {
                Outcome::Published(self.editions.revise(adapter, *version))
            }
            What::OwnZone { zone, instance } => {
                self.zones.grant(index, zone, instance);
                Outcome::Published(PublishOutcome::InForce)
            }
            What::Owner(change) => Outcome::Owner(self.change_owners(index, change)),
            What::Lapse(id) => {
                if self.table.knows(id) {
                    self.claims.lapse(self.at, &id.instance);
                }
                Outcome::Done
            }
            What::Hold(fingerprint, hold) => {
                self.quarantine
                    .hold(index, self.at, *fingerprint, hold.clone());
                Outcome::Done
            }
            What::Lift(fingerprint) => {
                self.quarantine.lift(index, self.at, fingerprint);
                Outcome::Done
            }
            What::Software(listed) => {
                self.software.note(self.at, listed);
                Outcome::Published(PublishOutcome::InForce)
            }
        };
        self.claims.expire(self.at);
        outcome
    }

    /// Returns the time on the state clock, in milliseconds.
    #[must_use]
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Returns the configuration text and its history.
    #[must_use]
    pub fn texts(&self) -> &Texts {
        &self.texts
    }

    /// Returns the newest edition and the versions of adapters.
    #[must_use]
    pub fn editions(&self) -> &Editions {
        &self.editions
    }

    /// Returns the zone owner of each zone.
    #[must_use]
    pub fn zones(&self) -> &ZoneGrants {
        &self.zones
    }

    /// Returns the table of entry instances and engine owners.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the claims.
    #[must_use]
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the requests that are refused.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the software versions that may have begun streams.
    #[must_use]
    pub fn software(&self) -> &SoftwareHistory {
        &self.software
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Panics
    ///
    /// Never: every field of the state can be encoded.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        rmp_serde::to_vec(&Saved::from(self)).expect("a state has only encodable fields")
    }

    /// Decodes a state that was encoded by [`State::save`].
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid state or have an unknown format.
    pub fn restore(raw: &[u8]) -> Result<Self, BadState> {
        let saved: Saved<'_> = rmp_serde::from_slice(raw)?;
        State::try_from(saved)
    }

    fn claim(&mut self, wall: u64, item: &Item) -> Option<ClaimReply> {
        let claim = match item {
            Item::Claim(claim) => claim,
            Item::Settle(settle) => {
                self.claims.settle(self.at, settle);
                return None;
            }
        };
        // Guard: only instances in the table are watched for heartbeats. A claim of any
        // other instance would stay under way forever if that instance died.
        if !self.table.members().contains_key(&claim.instance) {
            base::hit!(unknown_claimer);
            let retry = UNKNOWN_CLAIMER_RETRY;
            return Some(ClaimReply::Deferred { retry });
        }
        Some(self.claims.claim(self.at, wall, claim))
    }

    fn change_owners(&mut self, index: u64, change: &Change) -> bool {
        let done = self.table.apply(index, change);
        if let (true, Change::Join { id, .. } | Change::Dismiss { id }) = (done, change) {
            self.claims.lapse(self.at, &id.instance);
        }
        done
    }
}
