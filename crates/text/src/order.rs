//! The order in which services come up: what is needed goes first.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use base::ServiceName;
use thiserror::Error;

/// Services that need each other in a circle; the first follows the last.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Cycle(pub Vec<ServiceName>);

impl fmt::Display for Cycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("services need each other in a circle: ")?;
        for name in &self.0 {
            write!(f, "{name} -> ")?;
        }
        write!(f, "{}", self.0[0])
    }
}

/// What each service needs.
pub(crate) type Needs<'a> = BTreeMap<&'a ServiceName, Vec<&'a ServiceName>>;

/// Orders services so that each comes after all that it needs, by name where
/// nothing else decides. Returns what could not be ordered beside it.
pub(crate) fn order<'a>(needs: &Needs<'a>) -> (Vec<&'a ServiceName>, BTreeSet<&'a ServiceName>) {
    let mut open: BTreeMap<&ServiceName, usize> = BTreeMap::new();
    let mut needed: BTreeMap<&ServiceName, Vec<&ServiceName>> = BTreeMap::new();
    for (name, list) in needs {
        let known = list.iter().filter(|need| needs.contains_key(*need));
        open.insert(name, known.clone().count());
        known.for_each(|need| needed.entry(need).or_default().push(name));
    }
    let mut ready: BTreeSet<_> = open
        .iter()
        .filter(|(_, n)| **n == 0)
        .map(|(s, _)| *s)
        .collect();
    let mut sorted = Vec::with_capacity(needs.len());
    while let Some(name) = ready.pop_first() {
        sorted.push(name);
        open.remove(name);
        for dependent in needed.get(name).into_iter().flatten() {
            let Some(left) = open.get_mut(dependent) else {
                continue;
            };
            *left -= 1;
            if *left == 0 {
                ready.insert(dependent);
            }
        }
    }
    (sorted, open.into_keys().collect())
}

/// Finds the circles among `needs`, each once and starting with its first
/// service by name.
///
/// Whatever [`order`] leaves over needs something else that is left over, so
/// a walk along such needs always ends in a circle; taking that circle out
/// and ordering the rest again finds the next.
pub(crate) fn cycles(needs: &Needs<'_>) -> Vec<Cycle> {
    let mut needs = needs.clone();
    let mut found = Vec::new();
    loop {
        let (_, left) = order(&needs);
        let Some(start) = left.first().copied() else {
            return found;
        };
        needs.retain(|name, _| left.contains(name));
        let cycle = walk(&needs, start);
        for name in &cycle {
            needs.remove(name);
        }
        found.push(Cycle(cycle.into_iter().cloned().collect()));
    }
}

/// Walks from `start` along needs until a service comes twice.
fn walk<'a>(needs: &Needs<'a>, start: &'a ServiceName) -> Vec<&'a ServiceName> {
    let mut path = vec![start];
    let mut places = BTreeMap::from([(start, 0)]);
    let mut at = start;
    while let Some(next) = needs[at]
        .iter()
        .copied()
        .find(|need| needs.contains_key(need))
    {
        if let Some(first) = places.get(next) {
            return rotate(&path[*first..]);
        }
        places.insert(next, path.len());
        path.push(next);
        at = next;
    }
    path
}

fn rotate<'a>(cycle: &[&'a ServiceName]) -> Vec<&'a ServiceName> {
    let mut cycle = cycle.to_vec();
    let first = cycle.iter().enumerate().min_by_key(|(_, name)| **name);
    let first = first.map_or(0, |(i, _)| i);
    cycle.rotate_left(first);
    cycle
}
