//! Line-based patches between two versions of the operators' configuration text.
//!
//! A text of 48,000 adapters has several megabytes, but a change touches a few
//! lines. The replicated log carries the patch only, as each replica already has
//! the version that it applies to.

use std::collections::BTreeMap;

use base::{record, stable_hash};
use thiserror::Error;

/// A patch reached beyond the end of the text that it was applied to.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the patch was made for another text")]
pub struct BadPatch;

record! {
    /// A list of line replacements that turns one text into another.
    #[derive(Default)]
    pub struct Patch {
        /// Replaced ranges of lines, in the order of the old text.
        hunks: Vec<Hunk>,
    }

    /// One replaced range of lines.
    struct Hunk {
        /// Number of unchanged lines since the previous hunk.
        keep: u32,
        /// Number of old lines that are removed.
        drop: u32,
        /// Lines inserted in their place, each with its line break.
        put: Vec<String>,
    }
}

/// Returns the hash of a text, by which a receiver checks that applying a patch
/// gave the text that its sender has.
#[must_use]
pub fn digest(text: &str) -> u64 {
    stable_hash(&[text.as_bytes()])
}

/// A pair of equal lines, or a position: line index in the old text and in the new.
type Match = (usize, usize);

impl Patch {
    /// Returns the patch that turns `old` into `new`.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let (old, new) = (lines(old), lines(new));
        let mut matches = Vec::new();
        align(&old, &new, (0, 0), &mut matches);
        matches.push((old.len(), new.len()));
        let mut hunks = Vec::new();
        let (mut i, mut j, mut kept) = (0, 0, 0);
        for (a, b) in matches {
            if a > i || b > j {
                let put = new[j..b].iter().map(|line| (*line).to_owned());
                hunks.push(Hunk {
                    keep: count(kept),
                    drop: count(a - i),
                    put: put.collect(),
                });
                kept = 0;
            }
            kept += 1;
            (i, j) = (a + 1, b + 1);
        }
        Patch { hunks }
    }

    /// Returns `old` with the patch applied.
    ///
    /// # Errors
    ///
    /// Fails when the patch reaches beyond the end of `old`.
    pub fn apply(&self, old: &str) -> Result<String, BadPatch> {
        let old = lines(old);
        let mut new = String::new();
        let mut at = 0;
        for hunk in &self.hunks {
            let kept = at + hunk.keep as usize;
            let next = kept + hunk.drop as usize;
            let keep = old.get(at..kept).ok_or(BadPatch)?;
            old.get(kept..next).ok_or(BadPatch)?;
            new.extend(keep.iter().copied());
            new.extend(hunk.put.iter().map(String::as_str));
            at = next;
        }
        new.extend(old[at..].iter().copied());
        Ok(new)
    }

    /// Returns the number of lines that the patch inserts.
    #[must_use]
    pub fn added(&self) -> u32 {
        self.hunks.iter().map(|hunk| count(hunk.put.len())).sum()
    }

    /// Returns the number of lines that the patch removes.
    #[must_use]
    pub fn removed(&self) -> u32 {
        self.hunks.iter().map(|hunk| hunk.drop).sum()
    }
}

fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Appends the pairs of equal lines to `out`, in order: the common prefix, the lines
/// that occur exactly once in both texts (with a recursive alignment of what lies
/// between them), and the common suffix. This is the patience diff algorithm.
fn align(old: &[&str], new: &[&str], at: Match, out: &mut Vec<Match>) {
    let head = common(old.iter(), new.iter());
    out.extend((0..head).map(|k| (at.0 + k, at.1 + k)));
    let (old, new) = (&old[head..], &new[head..]);
    let at = (at.0 + head, at.1 + head);
    let tail = common(old.iter().rev(), new.iter().rev());
    let (a_end, b_end) = (old.len() - tail, new.len() - tail);
    let (mid_old, mid_new) = (&old[..a_end], &new[..b_end]);
    let anchors = longest(&unique_pairs(mid_old, mid_new));
    let (mut i, mut j) = (0, 0);
    for (a, b) in &anchors {
        let (a, b) = (*a, *b);
        align(&mid_old[i..a], &mid_new[j..b], (at.0 + i, at.1 + j), out);
        out.push((at.0 + a, at.1 + b));
        (i, j) = (a + 1, b + 1);
    }
    if !anchors.is_empty() {
        align(&mid_old[i..], &mid_new[j..], (at.0 + i, at.1 + j), out);
    }
    out.extend((0..tail).map(|k| (at.0 + a_end + k, at.1 + b_end + k)));
}

fn common<'a>(a: impl Iterator<Item = &'a &'a str>, b: impl Iterator<Item = &'a &'a str>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

/// Returns the indices of the lines that occur exactly once in each text, ordered by
/// their index in `old`.
fn unique_pairs(old: &[&str], new: &[&str]) -> Vec<Match> {
    let (old, new) = (places(old), places(new));
    let pairs = old.iter().filter_map(|(line, a)| {
        let b = (*new.get(line)?)?;
        Some(((*a)?, b))
    });
    let mut pairs: Vec<_> = pairs.collect();
    pairs.sort_unstable();
    pairs
}

/// Returns the index of each line, or `None` for lines that occur more than once.
fn places<'a>(text: &[&'a str]) -> BTreeMap<&'a str, Option<usize>> {
    let mut places = BTreeMap::new();
    for (i, line) in text.iter().enumerate() {
        let place = places.entry(*line).or_insert(Some(i));
        if *place != Some(i) {
            *place = None;
        }
    }
    places
}

/// Returns the longest subsequence of `pairs` that increases in both indices.
fn longest(pairs: &[Match]) -> Vec<Match> {
    let mut ends: Vec<usize> = Vec::new();
    let mut before = vec![None; pairs.len()];
    for (i, (_, b)) in pairs.iter().enumerate() {
        let slot = ends.partition_point(|end| pairs[*end].1 < *b);
        before[i] = slot.checked_sub(1).map(|slot| ends[slot]);
        if slot == ends.len() {
            ends.push(i);
        } else {
            ends[slot] = i;
        }
    }
    let mut found = Vec::new();
    let mut next = ends.last().copied();
    while let Some(i) = next {
        found.push(pairs[i]);
        next = before[i];
    }
    found.reverse();
    found
}
