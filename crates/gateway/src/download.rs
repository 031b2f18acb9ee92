//! Download of the newest edition (a numbered configuration) to an entry instance, part
//! by part.
//!
//! Failure: an edition of 2,000 routes was sent inside the answer of an exchange, by
//! every control instance at once. A slow link couldn't carry that within the exchange's
//! time limit; the received data was dropped, the next exchange started over, and the
//! instance went on with its old routes while its link was saturated. So one source is
//! asked at a time, for a part that a link carries quickly, and received parts are kept
//! for as long as any source has the rest.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;
use thiserror::Error;
use wire::{fleet::Part, patch::digest};

/// How long a source that failed to answer is asked only if there is no other.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// A request for a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRequest<K> {
    /// The source to ask.
    pub source: K,
    /// Number of the edition.
    pub number: u64,
    /// Offset of the part in the text, in bytes.
    pub from: u64,
}

/// Result of a [`PartRequest`].
#[derive(Clone, Debug)]
pub enum PartResult {
    /// The part.
    Part(Part),
    /// The source does not have the edition any more.
    Missing,
    /// No answer, or an unreadable one.
    Failed,
}

/// Reason for which the parts of an edition are dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadPart {
    /// The part can't be decompressed, or is empty.
    #[error("part of the edition is empty or can't be decompressed")]
    Unreadable,
    /// The part is not the requested one, or belongs to another text than the earlier
    /// parts.
    #[error("part belongs to another text than requested")]
    OtherText,
    /// All parts have arrived, but the text does not have the announced hash.
    #[error("hash of the downloaded text differs from the announced one")]
    HashMismatch,
}

/// Downloads newer editions from sources identified by `K`.
#[derive(Clone, Debug)]
pub struct Download<K> {
    /// Number of the newest complete edition; 0 for none.
    complete: u64,
    sources: BTreeMap<K, Source>,
    current: Option<InProgress<K>>,
    awaited: Option<PartRequest<K>>,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    /// Number of the newest edition that the source announced.
    newest: u64,
    /// Sources with a lower rank are asked first.
    rank: u64,
    /// When it last failed to answer.
    failed: Option<Time>,
}

/// An edition that is being downloaded.
#[derive(Clone, Debug)]
struct InProgress<K> {
    number: u64,
    text: Vec<u8>,
    /// Length and hash of the full text, as given by the first part.
    full: Option<(u64, u64)>,
    /// Sources that do not have this edition any more.
    missing_at: BTreeSet<K>,
}

impl<K> Default for Download<K> {
    fn default() -> Self {
        Download {
            complete: 0,
            sources: BTreeMap::new(),
            current: None,
            awaited: None,
        }
    }
}

impl<K: Copy + Ord> Download<K> {
    /// Records the newest edition that a source announces, and its rank; sources of a
    /// lower rank are asked first.
    pub fn announced(&mut self, source: K, newest: u64, rank: u64) {
        let failed = self.sources.get(&source).and_then(|state| state.failed);
        let announced = Source {
            newest,
            rank,
            failed,
        };
        self.sources.insert(source, announced);
    }

    /// Removes a source that is not heard from any more.
    pub fn remove_source(&mut self, source: K) {
        self.sources.remove(&source);
    }

    /// Returns the next request; `None` while an answer is awaited, or if no source has a
    /// newer edition.
    ///
    /// A download is finished before one of a newer edition is started.
    ///
    /// Failure: operators change the configuration faster than a slow link carries it. If
    /// each newer edition started a new download, none would be in force before the last
    /// change.
    pub fn next_request(&mut self, now: Time) -> Option<PartRequest<K>> {
        if self.awaited.is_some() {
            return None;
        }
        self.start();
        self.awaited = self.next_part(now);
        if self.awaited.is_none() && self.newest().is_some() {
            // No source that is heard from has the edition that was started.
            self.current = None;
            self.start();
            self.awaited = self.next_part(now);
        }
        self.awaited
    }

    /// Applies the result of the last [`Self::next_request`]. Returns number and text of an
    /// edition that is now complete.
    ///
    /// # Errors
    ///
    /// Fails if the received parts are unusable; they are dropped and requested again.
    pub fn handle_result(
        &mut self,
        now: Time,
        got: PartResult,
    ) -> Result<Option<(u64, String)>, BadPart> {
        let Some(request) = self.awaited.take() else {
            return Ok(None);
        };
        match got {
            PartResult::Part(part) => self.add(now, request, &part),
            PartResult::Missing => {
                self.edition_missing(request);
                Ok(None)
            }
            PartResult::Failed => {
                self.failed(now, request.source);
                Ok(None)
            }
        }
    }

    /// Notes that a source does not have the requested edition.
    ///
    /// Failure: control instances come back without the edition that they announced.
    /// Their old announcement was still trusted, and they were asked for it again and
    /// again, as fast as messages travel. So a source that lacks the edition it announced
    /// as its newest is not asked until it announces one again.
    fn edition_missing(&mut self, request: PartRequest<K>) {
        if let Some(current) = &mut self.current {
            current.missing_at.insert(request.source);
        }
        if let Some(state) = self.sources.get_mut(&request.source)
            && state.newest == request.number
        {
            state.newest = 0;
        }
    }

    /// Returns the newest announced edition, if it is newer than the newest complete one.
    fn newest(&self) -> Option<u64> {
        let newest = self.sources.values().map(|source| source.newest).max();
        newest.filter(|newest| *newest > self.complete)
    }

    /// Starts a download of the newest edition unless one is in progress.
    fn start(&mut self) {
        if let (None, Some(number)) = (&self.current, self.newest()) {
            self.current = Some(InProgress {
                number,
                text: Vec::new(),
                full: None,
                missing_at: BTreeSet::new(),
            });
        }
    }

    /// Returns a request for the next part of the current download, to the preferred
    /// source.
    fn next_part(&self, now: Time) -> Option<PartRequest<K>> {
        let current = self.current.as_ref()?;
        let able = self.sources.iter().filter(|(source, state)| {
            state.newest >= current.number && !current.missing_at.contains(source)
        });
        let (source, _) = able.min_by_key(|(_, state)| (state.failed_recently(now), state.rank))?;
        Some(PartRequest {
            source: *source,
            number: current.number,
            from: current.text.len() as u64,
        })
    }

    fn add(
        &mut self,
        now: Time,
        request: PartRequest<K>,
        part: &Part,
    ) -> Result<Option<(u64, String)>, BadPart> {
        let Some(current) = &mut self.current else {
            return Ok(None);
        };
        let added = current.add(part);
        if added.is_err() {
            self.current = None;
            self.failed(now, request.source);
        } else if added.as_ref().is_ok_and(Option::is_some) {
            self.current = None;
            self.complete = request.number;
        }
        Ok(added?.map(|text| (request.number, text)))
    }

    fn failed(&mut self, now: Time, source: K) {
        if let Some(state) = self.sources.get_mut(&source) {
            state.failed = Some(now);
        }
    }
}

impl Source {
    fn failed_recently(&self, now: Time) -> bool {
        self.failed.is_some_and(|at| now.since(at) < FAILURE_PAUSE)
    }
}

impl<K> InProgress<K> {
    /// Appends a part; returns the text once it is complete.
    ///
    /// Failure: two control instances hold different texts under one number, or a part
    /// was damaged. Joined they would make routes that no operator wrote. So every part
    /// carries the hash of the full text.
    fn add(&mut self, part: &Part) -> Result<Option<String>, BadPart> {
        let full = *self.full.get_or_insert((part.size, part.digest));
        let fits = part.number == self.number && part.from == self.text.len() as u64;
        if !fits || full != (part.size, part.digest) {
            return Err(BadPart::OtherText);
        }
        let bytes = part.unpack().map_err(|_| BadPart::Unreadable)?;
        self.text.extend_from_slice(&bytes);
        let received = self.text.len() as u64;
        if received < part.size {
            return if bytes.is_empty() {
                Err(BadPart::Unreadable)
            } else {
                Ok(None)
            };
        }
        let text = String::from_utf8(std::mem::take(&mut self.text));
        let text = text.ok().filter(|text| digest(text) == part.digest);
        text.map(Some).ok_or(BadPart::HashMismatch)
    }
}
