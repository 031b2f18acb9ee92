//! Coverage marks, by which a test checks that it reached a certain line of code.
//!
//! A test of a guard (code that handles a certain fault) proves nothing if it passes
//! without entering the guard. [`hit!`](crate::hit) in the guard increments a counter
//! with the mark's name, and [`covers!`](crate::covers) in the test fails if the counter
//! did not change. Counters are per thread, so that tests can run in parallel; without
//! `debug_assertions` (in release builds) `hit!` does nothing.

use std::{cell::RefCell, collections::BTreeMap};

thread_local! {
    static HITS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Increments the counter of `mark` on this thread.
pub fn count(mark: &'static str) {
    HITS.with_borrow_mut(|hits| *hits.entry(mark).or_default() += 1);
}

/// Returns how often this thread has reached `mark`.
#[must_use]
pub fn hits(mark: &str) -> u64 {
    HITS.with_borrow(|hits| hits.get(mark).copied().unwrap_or_default())
}

/// Panics when it goes out of scope unless its mark was reached since its creation.
#[derive(Debug)]
#[must_use = "the check runs when the value is dropped"]
pub struct Expected {
    mark: &'static str,
    before: u64,
}

impl Expected {
    /// Expects `mark` to be reached on this thread from now on.
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
    /// Panics if the mark was not reached since the value was created.
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        assert!(
            hits(self.mark) > self.before,
            "coverage mark `{}` was not reached",
            self.mark
        );
    }
}

/// Records that a coverage mark was reached: `base::hit!(stale_term);`.
#[macro_export]
macro_rules! hit {
    ($mark:ident) => {
        if cfg!(debug_assertions) {
            $crate::count_mark(stringify!($mark));
        }
    };
}

/// Fails the test unless the coverage mark is reached before the end of the scope:
/// `base::covers!(stale_term);`.
#[macro_export]
macro_rules! covers {
    ($mark:ident) => {
        let _expected = $crate::ExpectedMark::new(stringify!($mark));
    };
}
