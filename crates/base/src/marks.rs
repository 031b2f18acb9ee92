//! Coverage marks: a guard names itself, and a test asks whether the guard
//! was reached.
//!
//! A test that passes without entering the guard it is meant for proves
//! nothing. [`hit!`](crate::hit) counts in the guard,
//! [`covers!`](crate::covers) fails the test if the count stayed where it was.
//! Counting is per thread, so that tests may run side by side; in a release
//! build without `debug_assertions` it costs nothing.

use std::{cell::RefCell, collections::BTreeMap};

thread_local! {
    static HITS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts one pass through the guard named `mark`.
pub fn count(mark: &'static str) {
    HITS.with_borrow_mut(|hits| *hits.entry(mark).or_default() += 1);
}

/// Returns how often this thread passed the guard named `mark`.
#[must_use]
pub fn hits(mark: &str) -> u64 {
    HITS.with_borrow(|hits| hits.get(mark).copied().unwrap_or_default())
}

/// Expects a guard to be passed before it goes out of scope.
#[derive(Debug)]
#[must_use = "the check runs when the value is dropped"]
pub struct Expected {
    mark: &'static str,
    before: u64,
}

impl Expected {
    /// Starts watching `mark` on this thread.
    pub fn new(mark: &'static str) -> Self {
        Expected {
            mark,
            before: hits(mark),
        }
    }
}

impl Drop for Expected {
    /// # Panics
    ///
    /// Panics when the guard was not passed since the value was made.
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        assert!(
            hits(self.mark) > self.before,
            "guard `{}` was not reached",
            self.mark
        );
    }
}

/// Marks a guard: `base::hit!(stale_term)`.
#[macro_export]
macro_rules! hit {
    ($mark:ident) => {
        if cfg!(debug_assertions) {
            $crate::count_mark(stringify!($mark));
        }
    };
}

/// Fails the surrounding test unless the guard is reached before the end of
/// the scope: `base::covers!(stale_term);`.
#[macro_export]
macro_rules! covers {
    ($mark:ident) => {
        let _expected = $crate::ExpectedMark::new(stringify!($mark));
    };
}
