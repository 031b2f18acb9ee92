//! What a choice of a target has weighed, and why it passed targets over.
//!
//! The code that chooses tells a `Watch` what it looks at. For a request nobody watches; for
//! an operator's question [`explain`] keeps what was told, and nothing is sent.

use std::{cell::RefCell, collections::BTreeMap, collections::BTreeSet, time::Duration};

use base::{SoftwareVersion, Time};
use wire::{explain as told, fleet::Target};

use crate::view::{Choice, View};

/// A part of the cost of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Requests that run there.
    Load,
    /// Time until a slot is free.
    Queue,
    /// Prompts that it has to read before.
    Prompts,
    /// It is in another availability zone.
    Zone,
    /// It names a limit or is brittle.
    Need,
    /// Requests that failed there lately.
    Failures,
    /// It has just refused a request for want of room.
    Full,
    /// It could not be reached lately.
    Avoided,
    /// It has failed this request already.
    Tried,
    /// It is still loading the adapter.
    Loading,
}

/// Why a target was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// It takes no requests any more.
    Leaving,
    /// It doesn't certainly run the software that the stream needs.
    Software,
    /// It doesn't hold the adapter.
    NoAdapter,
    /// It holds an older version of the adapter, this one.
    OldVersion(u32),
    /// It could not be reached lately.
    Unreachable,
    /// It has failed this request already.
    Tried,
    /// Its limit is used up for so long.
    Blocked(Duration),
    /// It has asked this instance for rest, or has just rested and takes few requests.
    Resting(Duration),
    /// It is still loading the adapter, for so long.
    Loading(Duration),
    /// It costs more than another one.
    Dearer,
    /// The one that costs least is in another zone.
    Elsewhere,
    /// It was not drawn among those that cost about as much.
    NotDrawn,
}

/// One target that was weighed.
#[derive(Clone, Debug, PartialEq)]
pub struct Weighed {
    /// Its id.
    pub target: String,
    /// Its availability zone.
    pub zone: String,
    /// The parts of its cost; none if it was passed over before.
    pub parts: Vec<(Part, f64)>,
    /// Why it was passed over; `None` for the one that is chosen.
    pub passed: Option<Passed>,
}

/// Is told what a choice looks at.
pub(crate) trait Watch {
    /// Takes note that a target was passed over, unless it is `fit`. Returns `fit`.
    fn check(&self, target: &Target, fit: bool, why: impl FnOnce() -> Passed) -> bool;

    /// Takes note of what a target costs.
    fn rated(&self, target: &Target, parts: &[(Part, f64)]);
}

/// Nobody watches.
impl Watch for () {
    fn check(&self, _: &Target, fit: bool, _: impl FnOnce() -> Passed) -> bool {
        fit
    }

    fn rated(&self, _: &Target, _: &[(Part, f64)]) {}
}

#[derive(Debug, Default)]
struct Notes {
    weighed: RefCell<BTreeMap<String, Weighed>>,
}

impl Notes {
    fn note(&self, target: &Target, write: impl FnOnce(&mut Weighed)) {
        let mut all = self.weighed.borrow_mut();
        let weighed = all.entry(target.id.clone()).or_insert_with(|| Weighed {
            target: target.id.clone(),
            zone: target.zone.clone(),
            parts: Vec::new(),
            passed: None,
        });
        write(weighed);
    }
}

impl Watch for Notes {
    fn check(&self, target: &Target, fit: bool, why: impl FnOnce() -> Passed) -> bool {
        self.note(target, |weighed| {
            if !fit {
                weighed.passed.get_or_insert_with(why);
            }
        });
        fit
    }

    fn rated(&self, target: &Target, parts: &[(Part, f64)]) {
        self.note(target, |weighed| weighed.parts = parts.to_vec());
    }
}

/// Returns what [`View::choose`] returns for the same request, and the targets of the service
/// that it has weighed, by id.
#[must_use]
pub fn explain(
    view: &View,
    now: Time,
    (service, adapter): (&str, &str),
    tried: &BTreeSet<String>,
    wanted: Option<&SoftwareVersion>,
) -> (Choice, Vec<Weighed>) {
    let notes = Notes::default();
    let choice = view.choose_watched(now, (service, adapter), tried, wanted, &notes);
    (choice, notes.weighed.into_inner().into_values().collect())
}

impl From<Part> for told::Part {
    fn from(part: Part) -> Self {
        match part {
            Part::Load => told::Part::Load,
            Part::Queue => told::Part::Queue,
            Part::Prompts => told::Part::Prompts,
            Part::Zone => told::Part::Zone,
            Part::Need => told::Part::Need,
            Part::Failures => told::Part::Failures,
            Part::Full => told::Part::Full,
            Part::Avoided => told::Part::Avoided,
            Part::Tried => told::Part::Tried,
            Part::Loading => told::Part::Loading,
        }
    }
}

impl From<Passed> for told::Passed {
    fn from(passed: Passed) -> Self {
        match passed {
            Passed::Leaving => told::Passed::Leaving,
            Passed::Software => told::Passed::Software,
            Passed::NoAdapter => told::Passed::NoAdapter,
            Passed::OldVersion(version) => told::Passed::OldVersion { version },
            Passed::Unreachable => told::Passed::Unreachable,
            Passed::Tried => told::Passed::Tried,
            Passed::Blocked(wait) => told::Passed::Blocked {
                left_ms: told::millis(wait),
            },
            Passed::Resting(wait) => told::Passed::Resting {
                left_ms: told::millis(wait),
            },
            Passed::Loading(wait) => told::Passed::Loading {
                left_ms: told::millis(wait),
            },
            Passed::Dearer => told::Passed::Dearer,
            Passed::Elsewhere => told::Passed::Elsewhere,
            Passed::NotDrawn => told::Passed::NotDrawn,
        }
    }
}

impl From<Weighed> for told::Weighed {
    fn from(weighed: Weighed) -> Self {
        // Costs are small and never negative.
        let thousandths = |cost: f64| (cost * 1_000.0).round() as u64;
        let cost = weighed.parts.iter().map(|(_, cost)| cost).sum();
        let parts = weighed.parts.iter().map(|(part, cost)| told::CostPart {
            part: (*part).into(),
            cost: thousandths(*cost),
        });
        let parts = parts.filter(|part| part.cost > 0);
        told::Weighed {
            parts: parts.collect(),
            cost: (!weighed.parts.is_empty()).then(|| thousandths(cost)),
            target: weighed.target,
            zone: weighed.zone,
            passed: weighed.passed.map(Into::into),
        }
    }
}

impl From<Choice> for told::Next {
    fn from(choice: Choice) -> Self {
        match choice {
            Choice::Send(target) => told::Next::Send { target },
            Choice::Wait(wait) => told::Next::Wait {
                wait_ms: told::millis(wait),
            },
            Choice::Missing => told::Next::Missing,
            Choice::Limited(target, wait) => told::Next::Limited {
                target,
                wait_ms: told::millis(wait),
            },
            Choice::Resting(target, wait) => told::Next::Resting {
                target,
                wait_ms: told::millis(wait),
            },
            Choice::NoTarget => told::Next::NoTarget,
        }
    }
}
