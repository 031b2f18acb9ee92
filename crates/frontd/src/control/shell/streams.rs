//! What this control instance knows of streams and of the software of targets.

use std::collections::BTreeMap;

use base::SoftwareVersion;
use gateway::{revisions::Revisions, streams::StreamRegister, zone_owner};
use telemetry::event;
use wire::{
    call::Reply,
    stream::{StreamSync, StreamSynced, TargetSoftware},
};

use super::Shell;

/// Streams that have begun, and the software of targets.
#[derive(Debug)]
pub(super) struct Streams {
    pub(super) register: StreamRegister,
    software: Revisions<Option<SoftwareVersion>>,
    /// Number of targets by service and software, as last logged.
    logged: BTreeMap<(String, SoftwareVersion), usize>,
}

impl Streams {
    /// Creates an empty state; `first` has to differ between incarnations of the process.
    pub(super) fn new(first: u64) -> Self {
        Streams {
            register: StreamRegister::default(),
            software: Revisions::new(first),
            logged: BTreeMap::new(),
        }
    }
}

impl Shell {
    /// Numbers the changes of the software of targets after their list was read.
    pub(super) fn software_listed(&mut self) {
        let known = self.zone_owner.target_software(self.clock.now());
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
