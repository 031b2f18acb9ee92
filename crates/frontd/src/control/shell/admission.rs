//! Adds up what entry instances report of offered and ended work, and tells it with the room
//! of the zones that this control instance owns.

use std::time::Duration;

use admission::Tally;
use base::Time;
use wire::admission::{AdmissionReport, AdmissionTold, Room};

use super::Shell;

/// Time for which counted rooms are told again: many entry instances ask, and each count
/// takes a step for each target.
const ROOMS_KEPT_FOR: Duration = Duration::from_millis(50);

/// What entry instances report, and the rooms as last counted.
#[derive(Debug)]
pub(super) struct Admission {
    tally: Tally,
    rooms: Vec<Room>,
    counted: Option<Time>,
}

impl Admission {
    pub(super) fn new(now: Time) -> Self {
        Admission {
            tally: Tally::new(now),
            rooms: Vec::new(),
            counted: None,
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.tally.expire(now);
    }
}

impl Shell {
    /// Adds the report of an entry instance, and returns what it is told.
    pub(super) fn admission_report(&mut self, report: &AdmissionReport) -> AdmissionTold {
        let now = self.clock.now();
        let admission = &mut self.admission;
        let recent = |at: Time| now.since(at) < ROOMS_KEPT_FOR;
        if !admission.counted.is_some_and(recent) {
            admission.counted = Some(now);
            admission.rooms = self.zone_owner.rooms(now);
        }
        admission.tally.add(now, report);
        admission.tally.told(now, admission.rooms.clone())
    }
}
