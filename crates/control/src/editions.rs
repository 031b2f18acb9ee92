//! Editions, which are whole configurations numbered by operators, and versions of
//! adapters.
//!
//! A deployment is configured either by the operators' configuration text, which changes
//! from one version to the next, or by editions, whose numbers are assigned outside of
//! this system. The edition with the highest number is in force, in whatever order
//! editions arrive and whichever instance receives them.

use std::collections::BTreeMap;

use base::record;
use wire::fleet::Edition;

record! {
    /// The newest edition and the newest version of each adapter.
    #[derive(Default)]
    pub struct Editions {
        newest: Option<Edition>,
        versions: BTreeMap<String, u32>,
    }

    /// The outcome of publishing an edition or an adapter's version.
    pub enum PublishOutcome {
        /// It is in force.
        InForce,
        /// Its number is not higher than the one in force; nothing changed.
        Before,
    }
}

impl Editions {
    /// Returns the edition in force.
    #[must_use]
    pub fn newest(&self) -> Option<&Edition> {
        self.newest.as_ref()
    }

    /// Returns the newest published version of each adapter that has one.
    #[must_use]
    pub fn versions(&self) -> &BTreeMap<String, u32> {
        &self.versions
    }

    /// Accepts an edition if its number is higher than that of the edition in force.
    ///
    /// Failure: two operators send different content under one number, or an old edition
    /// is resent after its reply was lost. If either were accepted, clients would see one
    /// configuration, then another one, then the first again. So only a higher number has
    /// an effect, in the order of the log.
    pub(crate) fn publish(&mut self, edition: &Edition) -> PublishOutcome {
        let held = self.newest.as_ref().map_or(0, |held| held.number);
        if self.newest.is_some() && edition.number <= held {
            base::hit!(edition_not_higher);
            return PublishOutcome::Before;
        }
        self.newest = Some(edition.clone());
        PublishOutcome::InForce
    }

    /// Accepts an adapter's version if it is higher than the newest so far.
    pub(crate) fn revise(&mut self, adapter: &str, version: u32) -> PublishOutcome {
        let held = self.versions.entry(adapter.to_owned()).or_default();
        if version <= *held {
            return PublishOutcome::Before;
        }
        *held = version;
        PublishOutcome::InForce
    }
}
