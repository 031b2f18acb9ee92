//! What this control instance knows of streams and of the software of targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{SoftwareVersion, Time};
use disk::Journal;
use gateway::{
    known_versions::KnownVersions, revisions::Revisions, streams::StreamRegister, zone_owner,
};
use telemetry::event;
use wire::{
    call::Reply,
    stream::{
        BegunStreams, FindStream, FoundStream, StreamSync, StreamSynced, TargetSoftware,
        first_revision,
    },
};

use super::Shell;

/// How long an end of a target's process is passed on; by then the list shows what follows.
const ENDED_MAX_AGE: Duration = Duration::from_secs(4);

/// Streams that have begun, and the software of targets.
#[derive(Debug)]
pub(super) struct Streams {
    register: StreamRegister,
    /// Holds the same over a restart; absent if it can't be written.
    journal: Option<Journal>,
    software: Revisions<Option<SoftwareVersion>>,
    pub(super) versions: KnownVersions,
    /// Targets whose process was reported to have ended, and when.
    ended: BTreeMap<String, Time>,
    /// Number of targets by service and software, as last logged.
    logged: BTreeMap<(String, SoftwareVersion), usize>,
}

impl Streams {
    /// Creates an empty state; `incarnation` has to differ between those of the process.
    pub(super) fn new(incarnation: u32, journal: Option<Journal>) -> Self {
        Streams {
            register: StreamRegister::default(),
            journal,
            software: Revisions::new(first_revision(incarnation)),
            versions: KnownVersions::default(),
            ended: BTreeMap::new(),
            logged: BTreeMap::new(),
        }
    }

    /// Takes over what the journal of an earlier incarnation holds.
    pub(super) fn restore(&mut self, now: Time, records: &[Vec<u8>]) {
        for record in records {
            if let Ok(begun) = rmp_serde::from_slice::<Vec<BegunStreams>>(record) {
                self.begun(now, &begun);
            }
        }
    }

    fn begun(&mut self, now: Time, begun: &[BegunStreams]) {
        for begun in begun {
            for key in &begun.keys {
                self.register.note(now, *key, &begun.origin);
            }
        }
    }

    /// Appends streams that have begun to the journal, if there is one.
    fn keep(&self, begun: &[BegunStreams]) {
        if let (Some(journal), Ok(record)) = (&self.journal, rmp_serde::to_vec(begun)) {
            journal.append(record);
        }
    }

    fn ended(&self, now: Time) -> Vec<(String, Duration)> {
        let ended = self.ended.iter();
        let ended = ended.map(|(target, at)| (target.clone(), now.since(*at)));
        ended.filter(|(_, ago)| *ago < ENDED_MAX_AGE).collect()
    }
}

impl Shell {
    /// Numbers the changes of the software of targets after their list was read. Versions that
    /// the log doesn't have yet aren't told.
    pub(super) fn software_listed(&mut self) {
        let now = self.clock.now();
        let mut ids = BTreeSet::new();
        let mut known = BTreeMap::new();
        for listed in self.zone_owner.owned_targets(now) {
            let one = listed.service_software();
            self.streams.versions.listed(now, &one);
            ids.insert(listed.id.as_str());
            if self.streams.versions.is_noted(&one) {
                known.insert(listed.id.clone(), one.software);
            } else if self.streams.software.contains(&listed.id) {
                known.insert(listed.id.clone(), None);
            }
        }
        self.streams.versions.expire(now);
        let software = &mut self.streams.software;
        software.retain(|id| ids.contains(id));
        software.update(&known);
        self.note_software();
    }

    pub(super) fn stream_sync(&mut self, sync: StreamSync) -> Reply {
        let now = self.clock.now();
        if !sync.begun.is_empty() {
            self.streams.begun(now, &sync.begun);
            self.streams.keep(&sync.begun);
        }
        if !sync.wants.is_empty() {
            self.owner_input(zone_owner::Input::StreamWants(sync.wants));
        }
        let new = self.streams.software.since(sync.revision);
        let software = new.versions.into_iter();
        Reply::Streams(StreamSynced {
            software: software
                .map(|(target, software)| TargetSoftware { target, software })
                .collect(),
            revision: new.known,
        })
    }

    /// Notes that the process of a target has ended, as an entry instance reports.
    pub(super) fn target_ended(&mut self, target: &str, ago: Duration) {
        let now = self.clock.now();
        let ended = &mut self.streams.ended;
        ended.retain(|_, at| now.since(*at) < ENDED_MAX_AGE);
        ended.insert(target.to_owned(), now - ago);
    }

    pub(super) fn find_stream(&self, asked: &FindStream) -> Reply {
        let now = self.clock.now();
        let register = &self.streams.register;
        let origin = asked.key.and_then(|key| register.find(now, &key).cloned());
        let listed = asked.service.as_ref();
        let listed = listed.map(|service| self.streams.versions.of(now, service));
        Reply::FoundStream(FoundStream {
            origin,
            listed: listed.unwrap_or_default(),
            covered: self.covered_zones(),
            ended: self.streams.ended(now),
        })
    }

    /// Logs which software targets run, if it differs within a service and this has changed.
    pub(super) fn log_software(&mut self) {
        let held = self.zone_owner.software();
        if held == self.streams.logged {
            return;
        }
        for ((service, software), targets) in &held {
            let other = |key: &(String, SoftwareVersion)| key.0 == *service && key.1 != *software;
            if held.keys().any(other) {
                event!(
                    telemetry::Event::SoftwareHeld,
                    service = service,
                    software = software.to_string(),
                    targets = *targets
                );
            }
        }
        self.streams.logged = held;
    }
}
