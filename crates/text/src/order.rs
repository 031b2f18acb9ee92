//! The order in which services are started: dependencies first.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use base::ServiceName;
use thiserror::Error;

/// Services that depend on each other in a cycle: each needs the next one, and the last
/// needs the first.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Cycle(pub Vec<ServiceName>);

impl fmt::Display for Cycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("services depend on each other in a cycle: ")?;
        for name in &self.0 {
            write!(f, "{name} -> ")?;
        }
        write!(f, "{}", self.0[0])
    }
}

/// The services that each service depends on.
pub(crate) type Needs<'a> = BTreeMap<&'a ServiceName, Vec<&'a ServiceName>>;

/// Sorts services topologically: each comes after all that it needs, and services that
/// don't depend on each other are ordered by name. Also returns those that can't be
/// ordered, because they are part of a cycle or depend on one.
pub(crate) fn order<'a>(needs: &Needs<'a>) -> (Vec<&'a ServiceName>, BTreeSet<&'a ServiceName>) {
    // Number of needs of each service that are not in `sorted` yet.
    let mut unmet: BTreeMap<&ServiceName, usize> = BTreeMap::new();
    let mut dependents: BTreeMap<&ServiceName, Vec<&ServiceName>> = BTreeMap::new();
    for (name, list) in needs {
        let known = list.iter().filter(|need| needs.contains_key(*need));
        unmet.insert(name, known.clone().count());
        known.for_each(|need| dependents.entry(need).or_default().push(name));
    }
    let mut ready: BTreeSet<_> = unmet
        .iter()
        .filter(|(_, n)| **n == 0)
        .map(|(s, _)| *s)
        .collect();
    let mut sorted = Vec::with_capacity(needs.len());
    while let Some(name) = ready.pop_first() {
        sorted.push(name);
        unmet.remove(name);
        for dependent in dependents.get(name).into_iter().flatten() {
            let Some(left) = unmet.get_mut(dependent) else {
                continue;
            };
            *left -= 1;
            if *left == 0 {
                ready.insert(dependent);
            }
        }
    }
    (sorted, unmet.into_keys().collect())
}

/// Finds the cycles in `needs`, each once and starting with its first service by name.
///
/// Each service that [`order`] can't order needs another such service, so following
/// these needs always leads into a cycle. Removing that cycle and ordering the rest
/// again finds the next one.
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

/// Follows the needs from `start` until a service is reached again, and returns the
/// cycle that this closes.
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

/// Rotates a cycle so that it starts with its first service by name.
fn rotate<'a>(cycle: &[&'a ServiceName]) -> Vec<&'a ServiceName> {
    let mut cycle = cycle.to_vec();
    let first = cycle.iter().enumerate().min_by_key(|(_, name)| **name);
    let first = first.map_or(0, |(i, _)| i);
    cycle.rotate_left(first);
    cycle
}
