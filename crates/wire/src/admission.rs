//! Work that callers offer and targets finish, exchanged so that entry instances refuse in
//! the same proportions when a service has too little room.
//!
//! The call is of its own, and is made only where admission is on, so that instances of
//! earlier builds can read all others.

use base::{AccountName, InstanceName, record};

record! {
    /// Entry to control: what one entry instance has counted since its last report.
    pub struct AdmissionReport {
        /// The entry instance.
        pub instance: InstanceName,
        /// Work that callers have offered.
        pub offered: Vec<Offered>,
        /// Work that has ended.
        pub ended: Vec<Ended>,
    }

    /// Work of one account and rank that was offered to one service.
    pub struct Offered {
        /// The service.
        pub service: String,
        /// The account; absent for callers without one.
        pub account: Option<AccountName>,
        /// The rank; 0 is the most urgent.
        pub rank: u8,
        /// Weight of the account among those of the service.
        pub weight: u64,
        /// Units of work; units a second in an answer.
        pub units: u64,
    }

    /// Work at one service that has ended.
    pub struct Ended {
        /// The service.
        pub service: String,
        /// Units of work; units a second in an answer.
        pub units: u64,
        /// Requests; thousandths of a request a second in an answer.
        pub requests: u64,
    }

    /// Control to entry: the room of the control instance's own zones, and what it has heard
    /// from all entry instances.
    #[derive(Default)]
    pub struct AdmissionTold {
        /// Places and requests, by service and zone.
        pub rooms: Vec<Room>,
        /// Work offered, where a service may have too little room, or not much more.
        pub offered: Vec<Offered>,
        /// Work that has ended, for the same services.
        pub ended: Vec<Ended>,
    }

    /// The room that a service has in one zone.
    pub struct Room {
        /// The service.
        pub service: String,
        /// The zone.
        pub zone: String,
        /// Requests that its targets can work on at the same time.
        pub slots: u32,
        /// Requests under way at its targets.
        pub running: u32,
        /// Requests among these that wait at targets, as all places there are taken.
        pub queued: u32,
    }
}
