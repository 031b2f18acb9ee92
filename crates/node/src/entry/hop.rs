//! Requests passed on by other entry instances, for engines owned here.
//!
//! The sender decides about attempts and what its caller sees; here a request
//! waits for its turn, is sent once, and its answer flows back as it comes.

use std::collections::BTreeMap;

use base::{Failure, Mark, Refusal, TargetNo, Ticket, Time, Verdict};
use route::Ask;
use wire::engine::Resident;

use super::active;
use crate::{
    io::{Attempt, Ending, Flow, Hop, Output, Progress, Route},
    msg::{ENGINES, Msg},
    shared::{Out, Shared},
};

/// The only attempt of a request that was passed on.
const ATTEMPT: u32 = 1;

/// One request passed on to this instance.
#[derive(Debug)]
struct Passed {
    hop: Hop,
    target: TargetNo,
    ask: Ask,
    sent: bool,
    began: bool,
    headed: bool,
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct Hops {
    passed: BTreeMap<Ticket, Passed>,
}

impl Hops {
    pub(super) fn has(&self, ticket: Ticket) -> bool {
        self.passed.contains_key(&ticket)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.passed.is_empty()
    }

    pub(super) fn arrive(&mut self, shared: &mut Shared, now: Time, hop: Hop, out: &mut Out) {
        let ticket = hop.ticket;
        let target = shared.names.target(&hop.target);
        let Some(info) = shared.targets.get(&target) else {
            let failure = Failure::not_run(Refusal::Unavailable);
            return active::refuse(ticket, failure, out);
        };
        let pool = info.listed.pool.clone();
        let resident = Resident {
            adapter: hop.adapter.clone(),
            version: hop.version,
        };
        let ask = Ask {
            pool: shared.names.pool(&pool),
            key: Some(shared.names.key(&resident)),
            brand: shared.names.brand(&hop.brand),
            class: hop.class,
            prefix: hop.prefix,
            tokens: hop.tokens,
            deadline: now + hop.timeout,
        };
        let passed = Passed {
            hop,
            target,
            ask,
            sent: false,
            began: false,
            headed: false,
        };
        self.passed.insert(ticket, passed);
        out.send(
            ENGINES,
            Msg::Queue {
                ticket,
                target,
                ask,
            },
        );
    }

    /// Sends a request whose turn has come.
    pub(super) fn turn(
        &mut self,
        shared: &Shared,
        now: Time,
        ticket: Ticket,
        priority: i32,
        out: &mut Out,
    ) {
        let Some(passed) = self.passed.get_mut(&ticket) else {
            return;
        };
        let Some(info) = shared.targets.get(&passed.target) else {
            return;
        };
        passed.sent = true;
        if let Some(key) = passed.ask.key {
            let target = passed.target;
            out.send(
                ENGINES,
                Msg::Using {
                    ticket,
                    target,
                    key,
                },
            );
        }
        let hop = &passed.hop;
        out.emit(Output::Send(Attempt {
            ticket,
            attempt: ATTEMPT,
            target: hop.target.clone(),
            route: Route::Target {
                address: info.address,
                priority,
            },
            resident: Some(Resident {
                adapter: hop.adapter.clone(),
                version: hop.version,
            }),
            brand: hop.brand.clone(),
            class: hop.class,
            mark: hop.mark,
            resume: hop.resume,
            timeout: passed.ask.deadline.since(now),
        }));
    }

    /// Passes the engine's answer back as it comes; the sender judges it.
    pub(super) fn progress(
        &mut self,
        ticket: Ticket,
        step: u64,
        progress: Progress,
        out: &mut Out,
    ) {
        let Some(passed) = self.passed.get_mut(&ticket) else {
            return;
        };
        let flow = Flow::Pass;
        match progress {
            Progress::Head { .. } => {
                passed.headed = true;
                out.emit(Output::Flow { ticket, step, flow });
            }
            Progress::Piece(_) => {
                if !std::mem::replace(&mut passed.began, true) {
                    out.send(ENGINES, Msg::Began(ticket));
                }
                out.emit(Output::Flow { ticket, step, flow });
            }
            Progress::End { whole: true, .. } => self.end(ticket, Ending::Whole, true, out),
            Progress::End { whole: false, .. } => {
                let failure = Failure {
                    reason: Refusal::TargetFailed,
                    verdict: Verdict::MayHaveRun,
                    retry: None,
                };
                self.fail(ticket, failure, false, out);
            }
            Progress::Failed {
                verdict,
                reason,
                retry,
            } => {
                let failure = Failure {
                    reason,
                    verdict,
                    retry,
                };
                let ok = super::blames(reason, verdict);
                self.fail(ticket, failure, !ok, out);
            }
        }
    }

    /// Answers a request that was turned away; false when it isn't one of
    /// these.
    pub(super) fn refused(&mut self, ticket: Ticket, failure: &Failure, out: &mut Out) -> bool {
        if self.passed.remove(&ticket).is_none() {
            return false;
        }
        active::refuse(ticket, failure.clone(), out);
        true
    }

    /// Breaks a request off in favour of more urgent work; the sender sends it
    /// again and it goes on where it stopped.
    pub(super) fn give_way(&mut self, ticket: Ticket, out: &mut Out) -> bool {
        let Some(passed) = self.passed.get(&ticket) else {
            return false;
        };
        if passed.hop.mark == Mark::Once {
            // A marked request can't be sent again: it runs out.
            out.send(ENGINES, Msg::Dequeue(ticket));
            return true;
        }
        let failure = Failure {
            reason: Refusal::Preempted,
            verdict: Verdict::MayHaveRun,
            retry: None,
        };
        self.abandon(ticket, out);
        out.send(ENGINES, Msg::Dequeue(ticket));
        self.fail(ticket, failure, true, out);
        true
    }

    /// Frees the engine's place of a request whose sender left.
    pub(super) fn left(&mut self, ticket: Ticket, out: &mut Out) -> bool {
        let Some(passed) = self.passed.remove(&ticket) else {
            return false;
        };
        if passed.sent {
            self.abandon(ticket, out);
        }
        out.send(ENGINES, Msg::Dequeue(ticket));
        if passed.sent {
            out.send(ENGINES, Msg::Ended { ticket, ok: true });
        }
        let end = Ending::Failed(Failure::not_run(Refusal::CallerGone));
        out.emit(Output::Finish { ticket, end });
        true
    }

    fn abandon(&self, ticket: Ticket, out: &mut Out) {
        let attempt = ATTEMPT;
        out.emit(Output::Cancel { ticket, attempt });
    }

    fn fail(&mut self, ticket: Ticket, failure: Failure, ok: bool, out: &mut Out) {
        let headed = self.passed.get(&ticket).is_some_and(|p| p.headed);
        let end = if headed {
            Ending::Broken(failure)
        } else {
            Ending::Failed(failure)
        };
        self.end(ticket, end, ok, out);
    }

    fn end(&mut self, ticket: Ticket, end: Ending, ok: bool, out: &mut Out) {
        self.passed.remove(&ticket);
        out.send(ENGINES, Msg::Ended { ticket, ok });
        out.emit(Output::Finish { ticket, end });
    }
}
