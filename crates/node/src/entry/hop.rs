//! Requests that other entry instances forward to this one, for engines owned
//! here.
//!
//! The forwarding instance decides on retries and on what its caller receives.
//! Here a request is queued, sent once, and its answer passed back as it arrives.

use std::collections::BTreeMap;

use base::{Failure, Mark, Refusal, TargetNo, Ticket, Time, Verdict};
use route::RequestSpec;
use wire::engine::Resident;

use super::active;
use crate::{
    io::{AnswerEnd, Attempt, Ending, Flow, Hop, Output, Progress, Route},
    msg::{ENGINES, Msg},
    shared::{Out, Shared},
};

/// Number of the only attempt of a forwarded request.
const ATTEMPT: u32 = 1;

/// A request forwarded to this instance.
#[derive(Debug)]
struct Forwarded {
    hop: Hop,
    target: TargetNo,
    ask: RequestSpec,
    /// Whether it was sent to the engine.
    sent: bool,
    /// Whether a part of the response body has arrived.
    began: bool,
    /// Whether the response head was passed back.
    head_passed: bool,
}

/// The forwarded requests that have not ended.
#[derive(Debug, Default)]
pub(super) struct Hops {
    requests: BTreeMap<Ticket, Forwarded>,
}

impl Hops {
    pub(super) fn has(&self, ticket: Ticket) -> bool {
        self.requests.contains_key(&ticket)
    }

    /// Returns the target of a request that is forwarded here.
    pub(super) fn target(&self, ticket: Ticket) -> Option<TargetNo> {
        self.requests.get(&ticket).map(|forwarded| forwarded.target)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
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
        let ask = RequestSpec {
            pool: shared.names.pool(&pool),
            key: Some(shared.names.key(&resident)),
            brand: shared.names.brand(&hop.brand),
            class: hop.class,
            prefix: hop.prefix,
            tokens: hop.tokens,
            deadline: now + hop.timeout,
        };
        let forwarded = Forwarded {
            hop,
            target,
            ask,
            sent: false,
            began: false,
            head_passed: false,
        };
        self.requests.insert(ticket, forwarded);
        out.send(
            ENGINES,
            Msg::Queue {
                ticket,
                target,
                ask,
            },
        );
    }

    /// Sends a request that the scheduler dispatched.
    pub(super) fn dispatch(
        &mut self,
        shared: &Shared,
        now: Time,
        ticket: Ticket,
        priority: i32,
        out: &mut Out,
    ) {
        let Some(forwarded) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(info) = shared.targets.get(&forwarded.target) else {
            return;
        };
        forwarded.sent = true;
        if let Some(key) = forwarded.ask.key {
            let target = forwarded.target;
            out.send(
                ENGINES,
                Msg::Using {
                    ticket,
                    target,
                    key,
                },
            );
        }
        let hop = &forwarded.hop;
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
            timeout: forwarded.ask.deadline.since(now),
        }));
    }

    /// Passes the engine's answer back as it arrives; the forwarding instance
    /// checks it.
    pub(super) fn progress(
        &mut self,
        ticket: Ticket,
        step: u64,
        progress: Progress,
        out: &mut Out,
    ) {
        let Some(forwarded) = self.requests.get_mut(&ticket) else {
            return;
        };
        let flow = Flow::Pass;
        match progress {
            Progress::Head { .. } => {
                forwarded.head_passed = true;
                out.emit(Output::Flow { ticket, step, flow });
            }
            Progress::Piece(_) => {
                if !std::mem::replace(&mut forwarded.began, true) {
                    out.send(ENGINES, Msg::Began(ticket));
                }
                out.emit(Output::Flow { ticket, step, flow });
            }
            // The forwarding instance notices it as well.
            Progress::Silent => {}
            Progress::End {
                end: AnswerEnd::Complete | AnswerEnd::Closed,
                ..
            } => self.end(ticket, Ending::Whole, true, out),
            Progress::End {
                end: AnswerEnd::Cut,
                ..
            } => {
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
                let failed = super::is_target_failure(reason, verdict);
                self.fail(ticket, failure, !failed, out);
            }
        }
    }

    /// Ends a request that the engine's queue refused; returns false if it is
    /// not a forwarded one.
    pub(super) fn refused(&mut self, ticket: Ticket, failure: &Failure, out: &mut Out) -> bool {
        if self.requests.remove(&ticket).is_none() {
            return false;
        }
        active::refuse(ticket, failure.clone(), out);
        true
    }

    /// Cancels a request in favour of more urgent work; the forwarding instance
    /// sends it again and it continues where it stopped. Returns false if it is
    /// not a forwarded one.
    pub(super) fn preempt(&mut self, ticket: Ticket, out: &mut Out) -> bool {
        let Some(forwarded) = self.requests.get(&ticket) else {
            return false;
        };
        if forwarded.hop.mark == Mark::Once {
            // A marked request can't be sent again, so it runs to its end.
            out.send(ENGINES, Msg::Dequeue(ticket));
            return true;
        }
        let failure = Failure {
            reason: Refusal::Preempted,
            verdict: Verdict::MayHaveRun,
            retry: None,
        };
        self.cancel(ticket, out);
        out.send(ENGINES, Msg::Dequeue(ticket));
        self.fail(ticket, failure, true, out);
        true
    }

    /// Ends a request whose forwarding instance disconnected, and frees its
    /// place at the engine. Returns false if it is not a forwarded one.
    pub(super) fn caller_gone(&mut self, ticket: Ticket, out: &mut Out) -> bool {
        let Some(forwarded) = self.requests.remove(&ticket) else {
            return false;
        };
        if forwarded.sent {
            self.cancel(ticket, out);
        }
        out.send(ENGINES, Msg::Dequeue(ticket));
        if forwarded.sent {
            out.send(ENGINES, Msg::Ended { ticket, ok: true });
        }
        let end = Ending::Failed(Failure::not_run(Refusal::CallerGone));
        out.emit(Output::Finish { ticket, end });
        true
    }

    fn cancel(&self, ticket: Ticket, out: &mut Out) {
        let attempt = ATTEMPT;
        out.emit(Output::Cancel { ticket, attempt });
    }

    fn fail(&mut self, ticket: Ticket, failure: Failure, ok: bool, out: &mut Out) {
        let head_passed = self
            .requests
            .get(&ticket)
            .is_some_and(|forwarded| forwarded.head_passed);
        let end = if head_passed {
            Ending::Broken(failure)
        } else {
            Ending::Failed(failure)
        };
        self.end(ticket, end, ok, out);
    }

    fn end(&mut self, ticket: Ticket, end: Ending, ok: bool, out: &mut Out) {
        self.requests.remove(&ticket);
        out.send(ENGINES, Msg::Ended { ticket, ok });
        out.emit(Output::Finish { ticket, end });
    }
}
