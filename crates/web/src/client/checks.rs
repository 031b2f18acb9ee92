//! Checks that are made just before a request is written.

use std::{fmt, sync::Arc};

/// A check; the default one always passes.
#[derive(Clone, Default)]
pub struct Check(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

/// What is checked just before a request is written.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    /// Whether the request may still be sent to its server. It may have waited for a
    /// connection.
    pub write: Check,
    /// Whether it may be sent once more after it may have run.
    pub repeat: Check,
}

impl Check {
    /// Creates a check that passes where `check` returns true.
    pub fn new(check: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Check(Some(Arc::new(check)))
    }

    pub(super) fn passes(&self) -> bool {
        self.0.as_ref().is_none_or(|check| check())
    }
}

impl fmt::Debug for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Check").finish_non_exhaustive()
    }
}
