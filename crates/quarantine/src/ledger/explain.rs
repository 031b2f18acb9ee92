//! Explains crashes by the requests that were part of them.
//!
//! Each crash is divided among the suspects that were part of it and of another one: by how
//! soon it came, by how well their crashes fit together, and by how many crashes each of
//! them explains, until that settles. A cause then explains the crashes of all that ran
//! beside it, and what ran beside several causes explains none that they don't.

use std::collections::BTreeMap;

use base::{Fingerprint, StableHash, Time};

use super::{SAME_CRASH, Suspect};

/// Steps in which crashes are divided.
const ROUNDS: usize = 16;

/// How much more a part of prompts claims than a whole request: it explains why requests that
/// are all different were part of crashes.
const PART_CLAIM: f64 = 2.0;

/// A suspect's part of the explanation of all crashes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Part {
    /// Number of crashes that it explains.
    pub(super) crashes: f64,
    /// Their weights, added up.
    pub(super) weight: f64,
    /// Number of crashes that no other suspect explains better.
    pub(super) best: f64,
    /// Whether each of its crashes may be of another one that is refused now. A trial shows
    /// whether it crashes targets without those.
    pub(super) shared: bool,
}

/// What a suspect may explain.
struct Claims {
    id: Fingerprint,
    part: Part,
    fit: f64,
    held: bool,
    /// Numbers of crashes, and their weights.
    crashes: Vec<(usize, f64)>,
}

/// Returns the parts of suspects that were part of several crashes.
pub(super) fn parts(
    now: Time,
    suspects: &BTreeMap<Fingerprint, Suspect>,
) -> BTreeMap<Fingerprint, Part> {
    let (mut claims, count) = claims(now, suspects);
    defer_parts(&mut claims, count);
    let mut sums = vec![0.0; count];
    for _ in 0..ROUNDS {
        sums.fill(0.0);
        for claim in &claims {
            for (crash, weight) in &claim.crashes {
                sums[*crash] += claim.claim(*weight);
            }
        }
        for claim in &mut claims {
            claim.part = claim.share(&sums);
        }
    }
    let mut most = vec![0.0_f64; count];
    for claim in &claims {
        for (crash, weight) in &claim.crashes {
            most[*crash] = most[*crash].max(claim.claim(*weight));
        }
    }
    // Only one that was part of a crash without others that are refused is known to
    // explain crashes by itself.
    let held = held_in(count, claims.iter().filter(|claim| claim.held));
    let alone = claims.iter().filter(|claim| claim.held);
    let alone = alone.filter(|claim| !claim.is_shared(&held, true));
    let shown = held_in(count, alone);
    // Requests that are refused bring the part that is the cause, so they don't explain it.
    let held_parts = claims
        .iter()
        .filter(|claim| claim.held && claim.id.is_part());
    let held_parts = held_in(count, held_parts);
    let parts = claims.iter().map(|claim| {
        let own = claim.held && !claim.is_shared(&held, true);
        let part = Part {
            best: claim.share(&most).crashes,
            shared: match claim.id.is_part() {
                true => claim.is_shared(&held_parts, claim.held),
                false => claim.is_shared(&shown, own),
            },
            ..claim.part
        };
        (claim.id, part)
    });
    parts.collect()
}

/// Leaves out the crashes of parts of prompts that one whole request was part of each of: it may
/// be the only one with that part.
fn defer_parts(claims: &mut [Claims], count: usize) {
    let mut requests = vec![Vec::new(); count];
    for (no, claim) in claims.iter().enumerate().filter(|(_, c)| !c.id.is_part()) {
        for (crash, _) in &claim.crashes {
            requests[*crash].push(no);
        }
    }
    for claim in claims.iter_mut().filter(|claim| claim.id.is_part()) {
        let mut crashes = claim.crashes.iter();
        let mut all = crashes
            .next()
            .map_or(Vec::new(), |(crash, _)| requests[*crash].clone());
        for (crash, _) in crashes {
            all.retain(|no| requests[*crash].contains(no));
        }
        if !all.is_empty() {
            claim.crashes.clear();
        }
    }
}

/// Returns the claims of suspects that were part of several crashes, and the number of crashes.
fn claims(now: Time, suspects: &BTreeMap<Fingerprint, Suspect>) -> (Vec<Claims>, usize) {
    let repeated = suspects.iter().filter(|(_, suspect)| suspect.count > 1);
    let (numbers, count) = numbers(repeated.clone().map(|(_, suspect)| suspect));
    let claims = repeated.map(|(id, suspect)| {
        let crashes = suspect.crashes.iter();
        let crashes = crashes.map(|crash| {
            let number = numbers[&(crash.target, crash.at)];
            (number, f64::from(crash.weight))
        });
        Claims {
            id: *id,
            part: Part {
                crashes: f64::from(suspect.weight),
                ..Part::default()
            },
            fit: suspect.fit(),
            held: suspect.is_held(now),
            crashes: crashes.collect(),
        }
    });
    (claims.collect(), count)
}

/// Returns the number of each crash, by its target and time as they were reported, and the
/// number of crashes.
fn numbers<'a>(
    suspects: impl Iterator<Item = &'a Suspect>,
) -> (BTreeMap<(StableHash, Time), usize>, usize) {
    let crashes = suspects.flat_map(|suspect| &suspect.crashes);
    let mut numbers: BTreeMap<_, _> = crashes.map(|c| ((c.target, c.at), 0)).collect();
    let mut first: Option<(StableHash, Time)> = None;
    let mut count = 0;
    for ((target, at), number) in &mut numbers {
        let same = first.is_some_and(|(of, from)| of == *target && at.since(from) < SAME_CRASH);
        if !same {
            first = Some((*target, *at));
            count += 1;
        }
        *number = count - 1;
    }
    (numbers, count)
}

/// Returns how many of some suspects were part of each crash.
fn held_in<'a>(count: usize, held: impl Iterator<Item = &'a Claims>) -> Vec<u32> {
    let mut sums = vec![0; count];
    for (crash, _) in held.flat_map(|claim| &claim.crashes) {
        sums[*crash] += 1;
    }
    sums
}

impl Claims {
    /// Returns how much it claims of a crash of this weight.
    fn claim(&self, weight: f64) -> f64 {
        let kind = if self.id.is_part() { PART_CLAIM } else { 1.0 };
        kind * self.part.crashes * self.fit * weight
    }

    /// Returns its part, if `sums` is what all claim of each crash.
    fn share(&self, sums: &[f64]) -> Part {
        let mut part = Part::default();
        for (crash, weight) in &self.crashes {
            let share = self.claim(*weight) / sums[*crash].max(f64::MIN_POSITIVE);
            part.crashes += share;
            part.weight += share * weight;
        }
        part
    }

    /// Returns whether others were part of each of its crashes, if `counted` tells whether
    /// it is one of those that `held` counts.
    fn is_shared(&self, held: &[u32], counted: bool) -> bool {
        let own = u32::from(counted);
        self.crashes.iter().all(|(crash, _)| held[*crash] > own)
    }
}
