//! Identities and counters of the log.

use std::fmt;

use base::{Incarnation, InstanceName};

base::record! {
    /// A replica of the log: an instance name and the incarnation of its data folder.
    ///
    /// An emptied folder starts a new incarnation, so votes and acknowledgements of the
    /// old one are never attributed to the new one.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ReplicaId {
        /// The instance that owns the data folder.
        pub instance: InstanceName,
        /// The incarnation of the data folder; later incarnations have greater numbers.
        pub incarnation: Incarnation,
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.instance, self.incarnation)
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident)+) => {
        $(
            base::value! {
                $(#[$doc])*
                #[derive(Default)]
                #[serde(transparent)]
                pub struct $name(pub u64);
            }

            impl $name {
                /// Returns the plain number.
                #[must_use]
                pub fn get(self) -> u64 {
                    self.0
                }

                /// Returns the number after this one.
                #[must_use]
                pub fn next(self) -> Self {
                    $name(self.0 + 1)
                }

                /// Returns the number before this one, or zero.
                #[must_use]
                pub fn prev(self) -> Self {
                    $name(self.0.saturating_sub(1))
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    fmt::Display::fmt(&self.0, f)
                }
            }
        )+
    };
}

counters! {
    /// The number of an election; a term has at most one leader.
    Term
    /// The position of an entry in the log, counted from 1. A committed index is never
    /// reused for another entry, so it serves as a fencing token.
    Index
    /// The number of a write to the disk, in the order of writing.
    WriteNo
}
