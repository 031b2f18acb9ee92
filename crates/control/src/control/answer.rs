//! Proposals under way: who waits for them, and how they are answered.

use base::Ticket;
use replog::{Index, RejectReason, Rejected};
use wire::{
    call::Reply,
    operator::{Applied, Why},
};

use super::{Control, Outcome, Output, RETRY_MS, io::Requester};
use crate::NotPublished;

/// Who waits for the outcome of a proposal.
#[derive(Clone, Debug)]
pub(super) enum Waiting {
    /// Nobody.
    Nobody,
    /// The requester of a change of the configuration text.
    Text(Requester),
    /// The requesters of claims, one per item of the command.
    Claims(Vec<Option<Ticket>>),
    /// The operator that publishes an edition or an adapter's version.
    Published(Ticket),
    /// The caller that adds or removes a replica.
    Members(Ticket),
}

impl Control {
    /// Handles the log's answer to a proposal.
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
        match self.outcomes.remove(&index) {
            Some(outcome) => self.finish(ticket, outcome, out),
            None => {
                self.acknowledged.insert(index, ticket);
            }
        }
    }

    /// Handles the outcome of an applied command.
    pub(super) fn on_outcome(&mut self, index: Index, outcome: Outcome, out: &mut Vec<Output>) {
        if let Some(ticket) = self.acknowledged.remove(&index) {
            self.finish(ticket, outcome, out);
        } else if self.waiting.is_empty() {
            self.outcomes.clear();
        } else {
            self.outcomes.insert(index, outcome);
        }
    }

    /// Answers the proposals whose commands are contained in a restored snapshot. The
    /// snapshot doesn't tell the outcome of single commands, so it is unknown.
    pub(super) fn give_up_before(&mut self, index: Index, out: &mut Vec<Output>) {
        let later = self.acknowledged.split_off(&index.next());
        let skipped = std::mem::replace(&mut self.acknowledged, later);
        self.outcomes = self.outcomes.split_off(&index.next());
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
            (Some(Waiting::Text(requester)), Outcome::Text(applied)) => {
                out.push(requester.answer(applied))
            }
            (Some(Waiting::Published(ticket)), Outcome::Published(outcome)) => {
                let result = Ok(outcome);
                out.push(Output::Published { ticket, result });
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
            Some(Waiting::Text(requester)) => out.push(requester.answer(applied_reply(rejected))),
            Some(Waiting::Published(ticket)) => {
                let result = Err(not_published(rejected, self.other_leader()));
                out.push(Output::Published { ticket, result });
            }
            Some(Waiting::Claims(tickets)) => {
                self.claiming = false;
                // The claims may or may not be in the log. No requester has sent its
                // request yet; it retries at the leader with the same attempt number, and
                // gets the claim if the log contains it.
                let leader = self.other_leader();
                for ticket in tickets.into_iter().flatten() {
                    let leader = leader.clone();
                    let reply = Reply::Redirect { leader };
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

fn not_published(rejected: &Rejected, leader: Option<base::InstanceName>) -> NotPublished {
    match rejected {
        Rejected::Unknown { .. } => NotPublished::Unknown,
        Rejected::NotAccepted { why, .. } => match why {
            RejectReason::NotLeader => NotPublished::Elsewhere { leader },
            _ => NotPublished::Busy,
        },
    }
}

/// Returns the reply to an operator whose proposal got no index.
///
/// Guard: a change is reported as refused only if it certainly is in no replica's log.
/// Otherwise the operator would send it again under another id, and it would be applied
/// twice.
fn applied_reply(rejected: &Rejected) -> Applied {
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
