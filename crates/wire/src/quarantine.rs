//! Evidence about requests that crash the targets that run them, and the verdicts on it.

use std::time::Duration;

use base::{Fingerprint, record};

record! {
    /// Entry to control: what an entry instance has seen and what it knows.
    #[derive(Default)]
    pub struct CrashReport {
        /// Runs that ended as their target crashed, since the last exchange.
        pub runs: Vec<CrashedRun>,
        /// Requests that were answered in full though there is evidence against them.
        pub answered: Vec<Fingerprint>,
        /// Index of the newest [`QuarantineChange`] that the requester has from this
        /// control instance.
        pub known: u64,
    }

    /// A run that ended as its target crashed.
    pub struct CrashedRun {
        /// The request.
        pub fingerprint: Fingerprint,
        /// The target, by id.
        pub target: String,
        /// Time since the crash.
        pub ago: Duration,
        /// Time from the send of the request to the crash.
        pub ran: Duration,
    }

    /// Control to entry: changes since [`CrashReport::known`].
    #[derive(Default)]
    pub struct Quarantine {
        /// The changes, in the order of the log.
        pub changes: Vec<QuarantineChange>,
        /// Index of the newest one.
        pub last: u64,
    }

    /// A verdict on a request, or its end.
    pub struct QuarantineChange {
        /// The request.
        pub fingerprint: Fingerprint,
        /// Index of its entry in the replicated log.
        pub index: u64,
        /// For how much longer the request is refused; zero if it no longer is.
        pub left: Duration,
        /// The number of crashes that it was part of.
        pub crashes: u32,
    }
}

impl CrashReport {
    /// Returns whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == CrashReport::default()
    }
}

impl Quarantine {
    /// Returns whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Quarantine::default()
    }
}
