//! The software versions of services that may have begun streams of which callers still have
//! part.

use std::collections::BTreeMap;

use base::record;
use wire::stream::ServiceSoftware;

/// Time after which a version that is still listed is noted again, in milliseconds.
const REFRESH_MS: u64 = 20_000;

/// How long a version is kept after it was last noted, in milliseconds: a stream lives for a
/// minute at most, and the last note is [`REFRESH_MS`] older than the last stream at worst.
const KEPT_MS: u64 = 100_000;

/// Most versions that are kept. What doesn't fit isn't noted, so that nobody takes it for
/// known.
const MAX_KEPT: usize = 1_024;

record! {
    /// Versions that targets have had lately, in all availability zones.
    #[derive(Default)]
    pub struct SoftwareHistory {
        /// When each was last noted, on the state clock, in milliseconds.
        noted: BTreeMap<ServiceSoftware, u64>,
    }
}

impl SoftwareHistory {
    /// Returns the versions.
    pub fn all(&self) -> impl Iterator<Item = &ServiceSoftware> {
        self.noted.keys()
    }

    /// Returns whether nothing is noted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.noted.is_empty()
    }

    /// Returns whether some of `listed` have to be noted at `at`.
    #[must_use]
    pub fn is_due(&self, at: u64, listed: &[ServiceSoftware]) -> bool {
        let fits = self.noted.len() < MAX_KEPT;
        listed.iter().any(|one| match self.noted.get(one) {
            Some(noted) => at.saturating_sub(*noted) >= REFRESH_MS,
            None => fits,
        })
    }

    /// Notes that targets are listed with these versions.
    pub(crate) fn note(&mut self, at: u64, listed: &[ServiceSoftware]) {
        self.noted
            .retain(|_, noted| at.saturating_sub(*noted) < KEPT_MS);
        for one in listed {
            if self.noted.len() < MAX_KEPT || self.noted.contains_key(one) {
                self.noted.insert(one.clone(), at);
            }
        }
    }
}
