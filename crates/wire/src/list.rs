//! How old the platform's target list is by which a zone owner answers, and the list of a
//! zone for instances that its owner doesn't send it to.
//!
//! The calls are of their own, so that instances of earlier builds can read all others.

use std::time::Duration;

use base::record;

use crate::{
    account::OthersUsage,
    fleet::{Synced, Target, TargetStart},
    stream::TargetSoftware,
};

record! {
    /// The answer to [`crate::call::Call::SyncLists`].
    #[derive(Default)]
    pub struct SyncedLists {
        /// The answer to the exchange.
        pub synced: Synced,
        /// What the others have used of the accounts that the requester named.
        pub others: Vec<OthersUsage>,
        /// How old the lists of the zones are that this control instance owns.
        pub ages: Vec<ListAge>,
        /// Number of entry instances that share the budget of retries, once this control
        /// instance has heard from all.
        pub sharers: Option<u32>,
    }

    /// The answer to [`crate::call::Call::SyncStarts`].
    pub struct SyncedStarts {
        /// What the answer to [`crate::call::Call::SyncLists`] would be.
        pub lists: SyncedLists,
        /// When the targets in it started.
        pub starts: Vec<TargetStart>,
    }

    /// The answer to [`crate::call::Call::ZoneStarts`].
    pub struct ZoneStarts {
        /// What the answer to [`crate::call::Call::ZoneList`] would be.
        pub list: ZoneList,
        /// When its targets started.
        pub starts: Vec<TargetStart>,
    }

    /// How old the list of a zone is.
    pub struct ListAge {
        /// The zone.
        pub zone: String,
        /// Time since the list was requested from the platform.
        pub age: Duration,
    }

    /// The list of a zone.
    pub struct ZoneList {
        /// Time since the list was requested from the platform.
        pub age: Duration,
        /// Its targets, with the base models but without the adapters that they hold.
        pub targets: Vec<Target>,
        /// The software of each of them.
        pub software: Vec<TargetSoftware>,
        /// When each of them started; sent in [`ZoneStarts`].
        #[serde(skip)]
        pub starts: Vec<TargetStart>,
    }
}

impl From<ZoneList> for ZoneStarts {
    fn from(mut list: ZoneList) -> Self {
        let starts = std::mem::take(&mut list.starts);
        ZoneStarts { list, starts }
    }
}

impl From<ZoneStarts> for ZoneList {
    fn from(told: ZoneStarts) -> Self {
        let starts = told.starts;
        ZoneList {
            starts,
            ..told.list
        }
    }
}

impl From<SyncedLists> for SyncedStarts {
    fn from(mut lists: SyncedLists) -> Self {
        let starts = std::mem::take(&mut lists.synced.starts);
        SyncedStarts { lists, starts }
    }
}

impl From<SyncedStarts> for SyncedLists {
    fn from(told: SyncedStarts) -> Self {
        let mut lists = told.lists;
        lists.synced.starts = told.starts;
        lists
    }
}
