//! Configurations that operators number themselves, and versions of adapters.
//!
//! Beside the text of brands, which is changed from version to version, a
//! deployment may be driven by whole configurations whose numbers come from
//! outside. The highest number wins wherever and in whatever order they arrive.

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

    /// What came of an edition or a version.
    pub enum Taken {
        /// It is in force.
        InForce,
        /// A newer one, or this very one, was there before; nothing changed.
        Before,
    }
}

impl Editions {
    /// Returns the edition in force.
    #[must_use]
    pub fn newest(&self) -> Option<&Edition> {
        self.newest.as_ref()
    }

    /// Returns the newest version of each adapter that has a named one.
    #[must_use]
    pub fn versions(&self) -> &BTreeMap<String, u32> {
        &self.versions
    }

    /// Takes an edition if its number is the highest so far.
    ///
    /// Failure: two operators send different content under one number, or an
    /// old edition is resent after its answer was lost. Taking either would
    /// show callers a configuration, then another one, then the first again.
    /// Only a higher number changes anything, in the order of the log.
    pub(crate) fn publish(&mut self, edition: &Edition) -> Taken {
        let held = self.newest.as_ref().map_or(0, |held| held.number);
        if self.newest.is_some() && edition.number <= held {
            base::hit!(edition_not_higher);
            return Taken::Before;
        }
        self.newest = Some(edition.clone());
        Taken::InForce
    }

    /// Takes an adapter's version if it is the highest so far.
    pub(crate) fn revise(&mut self, adapter: &str, version: u32) -> Taken {
        let held = self.versions.entry(adapter.to_owned()).or_default();
        if version <= *held {
            return Taken::Before;
        }
        *held = version;
        Taken::InForce
    }
}
