//! What this control instance knows of streams and of the software of targets.

use std::{collections::BTreeMap, time::Duration};

use base::{SoftwareVersion, Time};
use gateway::{
    revisions::Revisions,
    streams::{ListedSoftware, StreamRegister},
    zone_owner,
};
use telemetry::event;
use wire::{
    call::Reply,
    stream::{FindStream, FoundStream, StreamSync, StreamSynced, TargetSoftware},
};

use super::Shell;

/// How long an end of a target's process is passed on; by then the list shows what follows.
const ENDED_MAX_AGE: Duration = Duration::from_secs(4);

/// Streams that have begun, and the software of targets.
#[derive(Debug)]
pub(super) struct Streams {
    register: StreamRegister,
    software: Revisions<Option<SoftwareVersion>>,
    /// The versions that services have had in the zones of this instance.
    listed: ListedSoftware,
    /// Targets whose process was reported to have ended, and when.
    ended: BTreeMap<String, Time>,
    /// When this incarnation began to note them.
    since: Time,
    /// Number of targets by service and software, as last logged.
    logged: BTreeMap<(String, SoftwareVersion), usize>,
}

impl Streams {
    /// Creates an empty state; `first` has to differ between incarnations of the process.
    pub(super) fn new(now: Time, first: u64) -> Self {
        Streams {
            register: StreamRegister::default(),
            software: Revisions::new(first),
            listed: ListedSoftware::default(),
            ended: BTreeMap::new(),
            since: now,
            logged: BTreeMap::new(),
        }
    }

    fn ended(&self, now: Time) -> Vec<(String, Duration)> {
        let ended = self.ended.iter();
        let ended = ended.map(|(target, at)| (target.clone(), now.since(*at)));
        ended.filter(|(_, ago)| *ago < ENDED_MAX_AGE).collect()
    }
}

impl Shell {
    /// Numbers the changes of the software of targets after their list was read.
    pub(super) fn software_listed(&mut self) {
        let now = self.clock.now();
        let mut known = BTreeMap::new();
        for listed in self.zone_owner.owned_targets(now) {
            let software = listed.software.as_ref();
            self.streams.listed.note(now, &listed.service, software);
            known.insert(listed.id.clone(), listed.software.clone());
        }
        self.streams.listed.expire(now);
        let software = &mut self.streams.software;
        software.retain(|id| known.contains_key(id));
        software.update(&known);
    }

    pub(super) fn stream_sync(&mut self, sync: StreamSync) -> Reply {
        let now = self.clock.now();
        for begun in &sync.begun {
            for key in &begun.keys {
                self.streams.register.note(now, *key, &begun.origin);
            }
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
        let listed = listed.map(|service| self.streams.listed.of(now, service));
        Reply::FoundStream(FoundStream {
            origin,
            listed: listed.unwrap_or_default(),
            zones: self.zone_lease.zones(now),
            ended: self.streams.ended(now),
            watched: now.since(self.streams.since),
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
