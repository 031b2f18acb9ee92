//! Tells processes of targets apart that run one after the other under one id, so that what one
//! has asked for isn't taken for a word of the next.

use std::time::Duration;

use base::Time;

use super::View;

/// When a target started, by a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedStart {
    /// The target, by id.
    pub target: String,
    /// Its start as the platform gives it; 0 if the list doesn't say.
    pub born: u64,
    /// Time of the list.
    pub as_of: Time,
}

/// What tells a process from others under the same id.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Process {
    born: u64,
    addr: String,
}

/// The process that a target's id stands for.
#[derive(Clone, Debug)]
pub(super) struct KnownProcess {
    process: Process,
    before: Option<Process>,
    /// Time of the list that named it first.
    since: Time,
    /// Time of the list that first said that it takes no new requests.
    unready: Option<Time>,
}

impl KnownProcess {
    fn new(process: Process, as_of: Time) -> Self {
        KnownProcess {
            process,
            before: None,
            since: as_of,
            unready: None,
        }
    }

    /// Takes over the process that a list names. Returns whether it is another one.
    ///
    /// Failure: lists lag, each by another time, so the process before may be named again. Only an
    /// unknown later start is another process at once. An earlier one, as after a clock was set
    /// back, is one as soon as a list that lags by less than `lag` can't name the one before.
    fn replace(&mut self, mut told: Process, as_of: Time, lag: Duration) -> bool {
        if told.born == 0 {
            told.born = self.process.born;
        }
        if self.process.born == 0 && self.process.addr == told.addr {
            self.process.born = told.born;
        }
        if told == self.process {
            return false;
        }
        let later = told.born > self.process.born && self.before.as_ref() != Some(&told);
        if !later && as_of.since(self.since) <= lag {
            return false;
        }
        let before = std::mem::replace(&mut self.process, told);
        self.before = Some(before);
        self.since = as_of;
        self.unready = None;
        true
    }

    /// Notes whether a list says that it takes new requests. Returns whether it does so again
    /// though it didn't for longer than a list may lag: a target that leaves never does.
    fn returns(&mut self, ready: bool, as_of: Time, lag: Duration) -> bool {
        match self.unready {
            None if !ready => self.unready = Some(as_of),
            Some(from) if ready && as_of.since(from) > lag => {
                self.unready = None;
                return true;
            }
            _ => {}
        }
        false
    }
}

impl View {
    /// Takes over when the targets in this view started, by lists that lag by less than the bound
    /// on leaving targets. Returns those that have started anew under their ids.
    ///
    /// Failure: a target that leaves, or has asked for rest, ends and starts again under its id.
    /// Nothing is sent there, so nobody sees its process end, and the next one would get nothing
    /// for as long as the word of the one before stands.
    pub fn set_starts(
        &mut self,
        now: Time,
        told: impl IntoIterator<Item = ListedStart>,
    ) -> Vec<String> {
        let mut anew = Vec::new();
        for start in told {
            if self.starts_anew(&start) {
                self.end_said(now, &start);
                anew.push(start.target);
            }
        }
        anew
    }

    fn starts_anew(&mut self, start: &ListedStart) -> bool {
        let (id, as_of) = (&start.target, start.as_of);
        let Some(listed) = self.targets.get(id).map(|known| &known.target) else {
            return false;
        };
        let told = Process {
            born: start.born,
            addr: listed.addr.clone(),
        };
        let known = self.processes.entry(id.clone());
        let known = known.or_insert_with(|| KnownProcess::new(told.clone(), as_of));
        let lag = self.leavers.bound;
        let other = known.replace(told, as_of, lag);
        let back = known.returns(listed.ready, as_of, lag);
        other || back && self.leavers.has_said(id)
    }
}
