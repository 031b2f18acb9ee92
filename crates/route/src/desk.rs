//! The owner's side: queues before engines, loads and shares.

use base::{Failure, Refusal, Time};

use crate::{BrandShare, Input, Output};

/// All engines that this instance owns, and the requests for them.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    seed: u64,
}

impl Desk {
    /// Makes a desk without engines; `seed` spreads `Retry-After`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Desk { seed }
    }

    /// Takes in one event.
    pub fn handle(&mut self, _now: Time, input: Input, out: &mut Vec<Output>) {
        if let Input::Arrive { ticket, .. } = input {
            let failure = Failure::not_run(Refusal::Unavailable);
            out.push(Output::Refuse { ticket, failure });
        }
    }

    /// Returns the loads that wait, for this instance's part of the budget.
    #[must_use]
    pub fn loads_wanted(&self) -> u32 {
        0
    }

    /// Returns each brand's share and waits, for `status`.
    #[must_use]
    pub fn shares(&self) -> Vec<BrandShare> {
        Vec::new()
    }
}
