//! Choice of a second target for a request whose first one answers late.

use std::{collections::BTreeSet, net::SocketAddr};

use base::{SoftwareVersion, Time};

use super::{TargetState, View, usable};
use crate::hedge::Wanted;

/// Failure rate from which on a target gets no extra send: one in five of its recent requests.
const FAILING: f64 = 0.2;

/// A request that looks for a second target.
#[derive(Clone, Copy, Debug)]
pub struct Second<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its adapter, empty for none.
    pub adapter: &'a str,
    /// The target that it was sent to.
    pub first: &'a str,
    /// The targets that it isn't sent to any more.
    pub tried: &'a BTreeSet<String>,
    /// The software at which it goes on, if it is the rest of a stream.
    pub software: Option<&'a SoftwareVersion>,
}

impl View {
    /// Returns another target for a request, on another machine and if possible in another zone
    /// than the first: one that has room, is not in need, and is expected to be as fast as is
    /// `wanted`.
    #[must_use]
    pub fn second(&self, now: Time, asked: &Second<'_>, wanted: Wanted) -> Option<String> {
        let first = &self.targets.get(asked.first)?.target;
        let others = self.targets.values();
        let others = others.filter(|k| machine(&k.target.addr) != machine(&first.addr));
        let others = others.filter(|k| self.fits(now, k, asked) && self.is_fast(k, wanted));
        let rated = others.map(|k| (self.cost(now, k, asked.tried), k));
        let (away, near): (Vec<_>, Vec<_>) = rated.partition(|(_, k)| k.target.zone != first.zone);
        let best = self.pick(&away, &()).or_else(|| self.pick(&near, &()))?;
        Some(best.target.id.clone())
    }

    /// Notes that a target had not answered when a second one, which got the request later, had.
    ///
    /// Failure: a target pauses, and its requests are taken from it one after the other. Without
    /// them it looks idle, and gets the next ones.
    pub fn outrun(&mut self, now: Time, id: &str) {
        self.outcome(now, id, false);
    }

    /// Returns whether a target may take the request and is sound.
    fn fits(&self, now: Time, known: &TargetState, asked: &Second<'_>) -> bool {
        let target = &known.target;
        let open = target.service == asked.service && self.takes_new(now, known);
        let open = open && !asked.tried.contains(&target.id);
        let able = self.holds(known, asked.adapter) && usable(known, now, asked.adapter);
        let able = able && self.runs(now, known, asked.software);
        let sound = !known.is_avoided(now) && known.failures.decayed_rate(now) < FAILING;
        open && able && sound && self.takes_over(now, known)
    }

    fn is_fast(&self, known: &TargetState, wanted: Wanted) -> bool {
        let expected = wanted.typical.as_secs_f64() * known.slow() + self.backlog(known);
        expected <= wanted.within.as_secs_f64()
    }
}

/// Returns the machine at an address.
fn machine(addr: &str) -> String {
    match addr.parse::<SocketAddr>() {
        Ok(addr) => addr.ip().to_string(),
        Err(_) => addr.to_owned(),
    }
}
