//! The newest edition on its way to an entry instance, part by part.
//!
//! Failure: an edition of 2,000 routes came inside the answer of an exchange, from
//! every control instance at once. A thin link couldn't carry that within the
//! exchange's time limit; what had come was dropped, the next exchange began anew,
//! and the instance went by its old routes while its link was full. Here one source
//! is asked at a time, for a part that a link carries in a moment, and what has come
//! is kept for as long as any source has the rest.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;
use thiserror::Error;
use wire::{fleet::Part, patch::digest};

/// How long a source that failed to answer comes after all others.
const REST: Duration = Duration::from_secs(2);

/// Which part to ask for, and whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask<K> {
    /// The source.
    pub source: K,
    /// Number of the edition.
    pub number: u64,
    /// Where the part begins, in bytes of the text.
    pub from: u64,
}

/// What came of an [`Ask`].
#[derive(Clone, Debug)]
pub enum Got {
    /// The part.
    Part(Part),
    /// The source doesn't have the edition any more.
    Without,
    /// No answer, or one that can't be read.
    Nothing,
}

/// Says why what has come of an edition is dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadPart {
    /// The part can't be unpacked, or is empty.
    #[error("a part can't be read")]
    Unreadable,
    /// The part isn't what was asked for, or is of another text than those before.
    #[error("a part is of another text")]
    OtherText,
    /// All parts are there, and don't make the text that was meant.
    #[error("the parts don't make the text that was meant")]
    NotWhole,
}

/// Gets newer editions from sources, which are told apart by `K`.
#[derive(Clone, Debug)]
pub struct Download<K> {
    /// The newest edition that has come whole; 0 for none.
    held: u64,
    sources: BTreeMap<K, Source>,
    coming: Option<Coming<K>>,
    asked: Option<Ask<K>>,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    /// Number of the newest edition there.
    newest: u64,
    /// Lower ones are asked first.
    rank: u64,
    /// When it last failed to answer.
    failed: Option<Time>,
}

/// An edition of which some parts have come.
#[derive(Clone, Debug)]
struct Coming<K> {
    number: u64,
    text: Vec<u8>,
    /// Length and hash of the whole text, as the first part said.
    whole: Option<(u64, u64)>,
    /// Sources that don't have it any more.
    without: BTreeSet<K>,
}

impl<K> Default for Download<K> {
    fn default() -> Self {
        Download {
            held: 0,
            sources: BTreeMap::new(),
            coming: None,
            asked: None,
        }
    }
}

impl<K: Copy + Ord> Download<K> {
    /// Takes the newest edition that a source says it has; sources of a lower rank
    /// are asked first.
    pub fn told(&mut self, source: K, newest: u64, rank: u64) {
        let failed = self.sources.get(&source).and_then(|known| known.failed);
        let told = Source {
            newest,
            rank,
            failed,
        };
        self.sources.insert(source, told);
    }

    /// Notes that a source isn't heard any more.
    pub fn lost(&mut self, source: K) {
        self.sources.remove(&source);
    }

    /// Returns what to ask for now; nothing while an answer is awaited, and where
    /// nobody has anything newer.
    ///
    /// An edition that has begun to come is finished before a newer one is begun.
    ///
    /// Failure: operators change the configuration faster than a thin link carries
    /// it. Had each newer edition started anew, none would be in force before the
    /// last change.
    pub fn ask(&mut self, now: Time) -> Option<Ask<K>> {
        if self.asked.is_some() {
            return None;
        }
        self.begin();
        self.asked = self.part(now);
        if self.asked.is_none() && self.newest().is_some() {
            // Whoever is heard doesn't have what was begun.
            self.coming = None;
            self.begin();
            self.asked = self.part(now);
        }
        self.asked
    }

    /// Takes what came of the last [`Self::ask`], and returns number and text of an
    /// edition that is whole now.
    ///
    /// # Errors
    ///
    /// Fails when what has come is of no use; it is dropped and asked for anew.
    pub fn answered(&mut self, now: Time, got: Got) -> Result<Option<(u64, String)>, BadPart> {
        let Some(ask) = self.asked.take() else {
            return Ok(None);
        };
        match got {
            Got::Part(part) => self.add(now, ask, &part),
            Got::Without => {
                self.without(ask);
                Ok(None)
            }
            Got::Nothing => {
                self.failed(now, ask.source);
                Ok(None)
            }
        }
    }

    /// Notes that a source doesn't have what it was asked for.
    ///
    /// Failure: control instances come back without the edition that they told of.
    /// Their old word was believed, and they were asked for it again and again, as
    /// fast as messages travel. Whoever lacks what it told as its newest counts for
    /// nothing until it tells anew.
    fn without(&mut self, ask: Ask<K>) {
        if let Some(coming) = &mut self.coming {
            coming.without.insert(ask.source);
        }
        if let Some(known) = self.sources.get_mut(&ask.source)
            && known.newest == ask.number
        {
            known.newest = 0;
        }
    }

    /// Returns the newest edition of all sources, where it is newer than what is held.
    fn newest(&self) -> Option<u64> {
        let newest = self.sources.values().map(|source| source.newest).max();
        newest.filter(|newest| *newest > self.held)
    }

    /// Begins with the newest edition unless one is on its way.
    fn begin(&mut self) {
        if let (None, Some(number)) = (&self.coming, self.newest()) {
            self.coming = Some(Coming {
                number,
                text: Vec::new(),
                whole: None,
                without: BTreeSet::new(),
            });
        }
    }

    /// Returns the next part of what is coming, from the source that is best asked.
    fn part(&self, now: Time) -> Option<Ask<K>> {
        let coming = self.coming.as_ref()?;
        let able = self.sources.iter().filter(|(source, known)| {
            known.newest >= coming.number && !coming.without.contains(source)
        });
        let (source, _) = able.min_by_key(|(_, known)| (known.rests(now), known.rank))?;
        Some(Ask {
            source: *source,
            number: coming.number,
            from: coming.text.len() as u64,
        })
    }

    fn add(
        &mut self,
        now: Time,
        ask: Ask<K>,
        part: &Part,
    ) -> Result<Option<(u64, String)>, BadPart> {
        let Some(coming) = &mut self.coming else {
            return Ok(None);
        };
        let added = coming.add(part);
        if added.is_err() {
            self.coming = None;
            self.failed(now, ask.source);
        } else if added.as_ref().is_ok_and(Option::is_some) {
            self.coming = None;
            self.held = ask.number;
        }
        Ok(added?.map(|text| (ask.number, text)))
    }

    fn failed(&mut self, now: Time, source: K) {
        if let Some(known) = self.sources.get_mut(&source) {
            known.failed = Some(now);
        }
    }
}

impl Source {
    fn rests(&self, now: Time) -> bool {
        self.failed.is_some_and(|at| now.since(at) < REST)
    }
}

impl<K> Coming<K> {
    /// Adds a part, and returns the text once it is whole.
    ///
    /// Failure: two control instances hold different texts under one number, or a
    /// part was damaged. Joined they would make routes that no operator wrote. The
    /// hash of the whole text stands in every part.
    fn add(&mut self, part: &Part) -> Result<Option<String>, BadPart> {
        let whole = *self.whole.get_or_insert((part.size, part.digest));
        let fits = part.number == self.number && part.from == self.text.len() as u64;
        if !fits || whole != (part.size, part.digest) {
            return Err(BadPart::OtherText);
        }
        let bytes = part.unpack().map_err(|_| BadPart::Unreadable)?;
        self.text.extend_from_slice(&bytes);
        let come = self.text.len() as u64;
        if come < part.size {
            return if bytes.is_empty() {
                Err(BadPart::Unreadable)
            } else {
                Ok(None)
            };
        }
        let text = String::from_utf8(std::mem::take(&mut self.text));
        let text = text.ok().filter(|text| digest(text) == part.digest);
        text.map(Some).ok_or(BadPart::NotWhole)
    }
}
