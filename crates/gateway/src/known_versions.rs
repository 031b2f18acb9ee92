//! The software versions that an owner of zones knows to have been there.
//!
//! What it has listed itself begins with its start. Earlier owners, and this one before it
//! started, have listed others, which may have begun streams: the log has them all, and the
//! owner is certain of its zones only once the leader has told it.

use std::{collections::BTreeSet, time::Duration};

use base::{SoftwareVersion, Time};
use wire::stream::ServiceSoftware;

use crate::streams::ListedSoftware;

/// Interval at which the leader is told which versions are listed, if nothing new is.
const NOTE_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a question to the leader counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// The software versions that this instance knows of.
#[derive(Debug, Default)]
pub struct KnownVersions {
    /// Those that were listed in its zones since it started.
    listed: ListedSoftware,
    /// Those in the log, as the leader last said; `None` if it hasn't since the start.
    noted: Option<Noted>,
    /// When the leader was last asked, if it hasn't answered.
    asking: Option<Time>,
}

/// What the leader has said of the log.
#[derive(Debug)]
struct Noted {
    asked: Time,
    versions: BTreeSet<ServiceSoftware>,
    /// Zones that this instance has owned without a break since it asked.
    zones: Vec<String>,
}

impl KnownVersions {
    /// Notes that a target is listed.
    pub fn listed(&mut self, now: Time, one: &ServiceSoftware) {
        self.listed.note(now, &one.service, one.software.as_ref());
    }

    /// Forgets what is too old for any stream.
    pub fn expire(&mut self, now: Time) {
        self.listed.expire(now);
    }

    /// Returns whether the log has this version.
    #[must_use]
    pub fn is_noted(&self, one: &ServiceSoftware) -> bool {
        let noted = self.noted.as_ref();
        noted.is_some_and(|noted| noted.versions.contains(one))
    }

    /// Returns the versions of `service` that may have begun a stream.
    #[must_use]
    pub fn of(&self, now: Time, service: &str) -> Vec<Option<SoftwareVersion>> {
        let mut all = self.listed.of(now, service);
        let noted = self.noted.iter().flat_map(|noted| &noted.versions);
        for one in noted.filter(|one| one.service == service) {
            if !all.contains(&one.software) {
                all.push(one.software.clone());
            }
        }
        all
    }

    /// Returns whether all versions of `zone` are known, if this instance owns it now: also
    /// those that an earlier owner, or this one before it started, has listed.
    #[must_use]
    pub fn covers(&self, zone: &String) -> bool {
        let noted = self.noted.as_ref();
        noted.is_some_and(|noted| noted.zones.contains(zone))
    }

    /// Notes that this instance owned the zones `before` until now, and `after` from now on.
    pub fn owned(&mut self, before: &[String], after: &[String]) {
        if let Some(noted) = &mut self.noted {
            let kept = |zone: &String| before.contains(zone) && after.contains(zone);
            noted.zones.retain(kept);
        }
        if before != after {
            self.asking = None;
        }
    }

    /// Returns whether the leader has to be asked about `listed`, in the owned `zones`, and
    /// takes it as asked.
    #[must_use]
    pub fn ask(&mut self, now: Time, zones: &[String], listed: &BTreeSet<ServiceSoftware>) -> bool {
        let waits = self.asking.is_some_and(|at| now.since(at) < ASK_TIMEOUT);
        let due = self.noted.as_ref().is_none_or(|noted| {
            let known = listed.is_subset(&noted.versions);
            let covered = zones.iter().all(|zone| noted.zones.contains(zone));
            !known || !covered || now.since(noted.asked) >= NOTE_INTERVAL
        });
        let asks = due && !waits;
        if asks {
            self.asking = Some(now);
        }
        asks
    }

    /// Takes over what the leader, asked at `asked`, has said of the log. This instance has
    /// owned `zones` since.
    pub fn noted(&mut self, asked: Time, zones: Vec<String>, versions: BTreeSet<ServiceSoftware>) {
        // Failure: the answer is to a question from before a zone had another owner meanwhile,
        // who has listed more.
        if self.asking != Some(asked) {
            return;
        }
        self.asking = None;
        self.noted = Some(Noted {
            asked,
            versions,
            zones,
        });
    }
}
