//! Who waits for a proposal, and what each of them is told.

use base::Ticket;
use replog::{Index, RejectReason, Rejected};
use wire::{
    call::Reply,
    operator::{Applied, Why},
};

use super::{Control, Outcome, Output, RETRY_MS, io::Asker};
use crate::Unnamed;

/// Who waits for a proposal.
#[derive(Clone, Debug)]
pub(super) enum Waiting {
    /// Nobody.
    Nobody,
    /// Whoever changes the text.
    Text(Asker),
    /// Callers with claims, one for each.
    Claims(Vec<Option<Ticket>>),
    /// Whoever names an edition or a version.
    Named(Ticket),
    /// Whoever changes the replicas.
    Members(Ticket),
}

impl Control {
    /// Takes the log's answer to a proposal.
    pub(super) fn on_proposed(
        &mut self,
        ticket: u64,
        result: Result<Index, Rejected>,
        out: &mut Vec<Output>,
    ) {
        if let Some(Waiting::Members(ticket)) = self.waiting.get(&ticket) {
            let ticket = *ticket;
            out.push(Output::Members { ticket, result });
            return;
        }
        let index = match result {
            Ok(index) => index,
            Err(rejected) => {
                self.reject(ticket, &rejected, out);
                return;
            }
        };
        match self.done.remove(&index) {
            Some(outcome) => self.finish(ticket, outcome, out),
            None => {
                self.acked.insert(index, ticket);
            }
        }
    }

    /// Takes the outcome of an applied command.
    pub(super) fn on_outcome(&mut self, index: Index, outcome: Outcome, out: &mut Vec<Output>) {
        if let Some(ticket) = self.acked.remove(&index) {
            self.finish(ticket, outcome, out);
        } else if self.waiting.is_empty() {
            self.done.clear();
        } else {
            self.done.insert(index, outcome);
        }
    }

    /// Gives up on proposals whose commands are inside a snapshot: their
    /// outcome can't be told from here.
    pub(super) fn give_up_before(&mut self, index: Index, out: &mut Vec<Output>) {
        let later = self.acked.split_off(&index.next());
        let skipped = std::mem::replace(&mut self.acked, later);
        self.done = self.done.split_off(&index.next());
        let leader = None;
        for ticket in skipped.into_values() {
            let rejected = Rejected::Unknown {
                leader: leader.clone(),
            };
            self.reject(ticket, &rejected, out);
        }
    }

    fn finish(&mut self, ticket: u64, outcome: Outcome, out: &mut Vec<Output>) {
        match (self.waiting.remove(&ticket), outcome) {
            (Some(Waiting::Text(asker)), Outcome::Text(applied)) => out.push(asker.answer(applied)),
            (Some(Waiting::Named(ticket)), Outcome::Named(taken)) => {
                let result = Ok(taken);
                out.push(Output::Named { ticket, result });
            }
            (Some(Waiting::Claims(tickets)), Outcome::Claims(answers)) => {
                self.claiming = false;
                let answered = tickets.into_iter().zip(answers);
                for (ticket, answer) in answered {
                    if let Some(ticket) = ticket {
                        let reply = answer.map_or(Reply::Done, Reply::Claim);
                        out.push(Output::Reply { ticket, reply });
                    }
                }
            }
            _ => {}
        }
    }

    fn reject(&mut self, ticket: u64, rejected: &Rejected, out: &mut Vec<Output>) {
        match self.waiting.remove(&ticket) {
            Some(Waiting::Text(asker)) => out.push(asker.answer(applied_of(rejected))),
            Some(Waiting::Named(ticket)) => {
                let result = Err(unnamed_of(rejected, self.other_leader()));
                out.push(Output::Named { ticket, result });
            }
            Some(Waiting::Claims(tickets)) => {
                self.claiming = false;
                // The claim may be in the log or not. The asker hasn't sent
                // its request; it asks the leader again under the same attempt
                // and gets the claim if it was the one that made it.
                let leader = self.other_leader();
                for ticket in tickets.into_iter().flatten() {
                    let leader = leader.clone();
                    let reply = Reply::Elsewhere { leader };
                    out.push(Output::Reply { ticket, reply });
                }
            }
            Some(Waiting::Members(ticket)) => {
                let result = Err(rejected.clone());
                out.push(Output::Members { ticket, result });
            }
            Some(Waiting::Nobody) | None => {}
        }
    }
}

fn unnamed_of(rejected: &Rejected, leader: Option<base::InstanceName>) -> Unnamed {
    match rejected {
        Rejected::Unknown { .. } => Unnamed::Unknown,
        Rejected::NotAccepted { why, .. } => match why {
            RejectReason::NotLeader => Unnamed::Elsewhere { leader },
            _ => Unnamed::Busy,
        },
    }
}

/// Returns what an operator is told of a proposal without index.
///
/// Guard: "refused" is said only where the change certainly is in nobody's
/// log; an operator would make it again under another id, and have it twice.
fn applied_of(rejected: &Rejected) -> Applied {
    let why = match rejected {
        Rejected::Unknown { .. } => {
            base::hit!(may_have_been_accepted);
            return Applied::Unknown { retry_ms: RETRY_MS };
        }
        Rejected::NotAccepted { why, .. } => why,
    };
    let why = match why {
        RejectReason::DiskFull => Why::NoDisk,
        _ => Why::NoQuorum { retry_ms: RETRY_MS },
    };
    Applied::Refused { why }
}
