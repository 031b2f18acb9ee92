//! Which software version began each of the streams of the last minute, and which versions
//! could have.
//!
//! Pattern: a caller whose connection broke asks another instance for the rest of its
//! stream. What two versions write doesn't fit together, and targets don't check it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Fingerprint, SoftwareVersion, Time};
use wire::stream::{BegunStreams, FoundStream, StreamOrigin};

use crate::view::View;

/// How long a stream is remembered after the last report of it; callers wait for less.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Longest time until instances are told what a target runs that has started again.
const SHOWN_WITHIN: Duration = Duration::from_secs(5);

/// Most streams that are remembered: some 30 MB.
pub const MAX_STREAMS: usize = 250_000;

/// Most different origins.
const MAX_ORIGINS: usize = 4_096;

/// Origins of streams, by key.
#[derive(Debug, Default)]
pub struct StreamRegister {
    streams: BTreeMap<Fingerprint, Entry>,
    /// Reports by their time, the oldest first.
    reports: VecDeque<(Time, Fingerprint)>,
    origins: Vec<StreamOrigin>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Index of the origin; `None` if reports contradict each other.
    origin: Option<usize>,
    /// When it was last reported.
    reported: Time,
}

impl StreamRegister {
    /// Notes where a stream began. A stream that is reported with two origins has none: two
    /// callers use one id, and it is unknown whose is meant.
    pub fn note(&mut self, now: Time, key: Fingerprint, origin: &StreamOrigin) {
        self.expire(now);
        let index = self.index(origin);
        let new = Entry {
            origin: index,
            reported: now,
        };
        let entry = self.streams.entry(key).or_insert(new);
        entry.reported = now;
        if entry.origin != index {
            entry.origin = None;
        }
        self.reports.push_back((now, key));
    }

    /// Returns where a stream began, if that is known.
    #[must_use]
    pub fn find(&self, now: Time, key: &Fingerprint) -> Option<&StreamOrigin> {
        let entry = self.streams.get(key)?;
        if now.since(entry.reported) >= MAX_AGE {
            return None;
        }
        self.origins.get(entry.origin?)
    }

    /// Returns whether reports of a stream contradict each other.
    #[must_use]
    pub fn is_contradicted(&self, now: Time, key: &Fingerprint) -> bool {
        let entry = self.streams.get(key);
        entry.is_some_and(|entry| entry.origin.is_none() && now.since(entry.reported) < MAX_AGE)
    }

    /// Returns all streams whose origin is known, by origin.
    #[must_use]
    pub fn all(&self, now: Time) -> Vec<BegunStreams> {
        let mut all: Vec<BegunStreams> = Vec::new();
        let mut by_origin = BTreeMap::new();
        for (key, entry) in &self.streams {
            let recent = now.since(entry.reported) < MAX_AGE;
            let Some(origin) = entry.origin.filter(|_| recent) else {
                continue;
            };
            let at = *by_origin.entry(origin).or_insert_with(|| {
                let origin = self.origins[origin].clone();
                all.push(BegunStreams {
                    origin,
                    keys: Vec::new(),
                });
                all.len() - 1
            });
            all[at].keys.push(*key);
        }
        all
    }

    /// Returns the number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.reports.front().copied() {
            let due = now.since(at) >= MAX_AGE || self.reports.len() >= MAX_STREAMS;
            if !due {
                return;
            }
            self.reports.pop_front();
            if self.streams.get(&key).is_some_and(|e| e.reported == at) {
                self.streams.remove(&key);
            }
        }
        // No entry refers to an origin any more.
        self.streams.clear();
        self.origins.clear();
    }

    /// Returns the index of an origin; `None` if there are too many.
    fn index(&mut self, origin: &StreamOrigin) -> Option<usize> {
        if let Some(known) = self.origins.iter().rposition(|known| known == origin) {
            return Some(known);
        }
        if self.origins.len() >= MAX_ORIGINS {
            return None;
        }
        self.origins.push(origin.clone());
        Some(self.origins.len() - 1)
    }
}

/// Streams that began at each target so lately that the platform's list may not have shown
/// yet what it ran.
#[derive(Debug, Default)]
pub struct RecentStreams {
    begun: VecDeque<Recent>,
}

#[derive(Debug)]
struct Recent {
    at: Time,
    target: String,
    key: Fingerprint,
    origin: StreamOrigin,
}

impl RecentStreams {
    /// Notes that a stream began at `target`, which was taken to run the software of `origin`.
    pub fn note(&mut self, now: Time, target: &str, key: Fingerprint, origin: &StreamOrigin) {
        self.expire(now);
        self.begun.push_back(Recent {
            at: now,
            target: target.to_owned(),
            key,
            origin: origin.clone(),
        });
    }

    /// Returns the streams that began at `target`, which is now told to run `software`, and
    /// that may have begun at that already: each with that origin.
    pub fn doubted(
        &mut self,
        now: Time,
        target: &str,
        software: &SoftwareVersion,
    ) -> Vec<(Fingerprint, StreamOrigin)> {
        self.expire(now);
        let begun = self.begun.iter().filter(|begun| begun.target == target);
        let other = begun.filter(|begun| begun.origin.software != *software);
        let doubted = other.map(|begun| {
            let service = begun.origin.service.clone();
            let software = software.clone();
            (begun.key, StreamOrigin { service, software })
        });
        doubted.collect()
    }

    fn expire(&mut self, now: Time) {
        while let Some(first) = self.begun.front() {
            if now.since(first.at) < SHOWN_WITHIN && self.begun.len() < MAX_STREAMS {
                return;
            }
            self.begun.pop_front();
        }
    }
}

/// Software versions of services that were listed while a stream may have lived.
#[derive(Clone, Debug, Default)]
pub struct ListedSoftware {
    /// When each was last seen; `None` stands for targets that name no version.
    seen: BTreeMap<(String, Option<SoftwareVersion>), Time>,
}

impl ListedSoftware {
    /// Notes that a target of `service` is listed with this version.
    pub fn note(&mut self, now: Time, service: &str, software: Option<&SoftwareVersion>) {
        let key = (service.to_owned(), software.cloned());
        self.seen.insert(key, now);
    }

    /// Forgets what is too old for any stream.
    pub fn expire(&mut self, now: Time) {
        self.seen.retain(|_, at| now.since(*at) < MAX_AGE);
    }

    /// Returns the versions of `service`.
    #[must_use]
    pub fn of(&self, now: Time, service: &str) -> Vec<Option<SoftwareVersion>> {
        let seen = self.seen.iter();
        let seen = seen.filter(|((of, _), at)| of == service && now.since(**at) < MAX_AGE);
        seen.map(|((_, software), _)| software.clone()).collect()
    }
}

/// Returns the version that all of `listed` are, if they are one that is known.
#[must_use]
pub fn only_version(listed: &[Option<SoftwareVersion>]) -> Option<&SoftwareVersion> {
    let (first, rest) = listed.split_first()?;
    rest.iter()
        .all(|other| other == first)
        .then_some(first.as_ref())
        .flatten()
}

/// Returns where every stream of `service` began that a caller may have part of, if there has
/// been one version only, by an entry instance's `view` and the answers of the owners of all
/// `zones` of the deployment.
///
/// A version that no owner in the answers covers may have begun the stream: the owner has just
/// started, hasn't heard yet what earlier owners have listed, or can't read the list.
#[must_use]
pub fn only_origin(
    now: Time,
    view: &View,
    zones: &[String],
    service: &str,
    answers: &[FoundStream],
) -> Option<StreamOrigin> {
    let owned = |zone: &String| answers.iter().any(|found| found.covered.contains(zone));
    if !zones.iter().chain(&view.zones_with(service)).all(owned) {
        return None;
    }
    let mut listed = view.listed_software(now, service);
    listed.extend(answers.iter().flat_map(|found| found.listed.clone()));
    let software = only_version(&listed)?.clone();
    Some(StreamOrigin {
        service: service.to_owned(),
        software,
    })
}
