//! Identities and counters of the log.

use std::fmt;

use base::{Incarnation, InstanceName};

base::record! {
    /// One replica of the log: an instance together with the life of its data
    /// folder.
    ///
    /// An emptied folder makes a new life, so the votes and acknowledgements
    /// of the old one are never taken for those of the new one.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ReplicaId {
        /// The instance whose folder it is.
        pub instance: InstanceName,
        /// The life of the folder; a later life has a greater number.
        pub life: Incarnation,
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.instance, self.life)
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
    /// An election's number; a term has at most one leader.
    Term
    /// The place of an entry in the log, from 1. A committed index is never
    /// given to another entry, so it serves as a fencing number.
    Index
    /// The number of a write to the disk, in the order of writing.
    WriteNo
}
