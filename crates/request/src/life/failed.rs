//! What follows an attempt that came to nothing.

use base::{Failure, Mark, Refusal, Time, Verdict};

use super::{Attempt, Failed, Reply, Request, Stage};
use crate::{
    Start,
    message::{Fault, Output},
};

impl Request {
    pub(super) fn on_failed(
        &mut self,
        now: Time,
        mut start: Start,
        attempt: Attempt,
        failed: Failed,
        out: &mut Vec<Output>,
    ) {
        if self.marked {
            // Failure: the connection breaks between the stream's own end and
            // the end of its framing. The caller has it all; an error after
            // `[DONE]`, or a second answer, would spoil what is whole.
            base::hit!(cut_after_the_end);
            return self.end_whole(&start, attempt, out);
        }
        if attempt.reply == Reply::Holding {
            out.push(Output::DropHeld);
        }
        if failed.reason == Refusal::Preempted && start.mark == Mark::Repeatable {
            return self.on_preempted(now, start, out);
        }
        if failed.reason == Refusal::Moved && failed.verdict == Verdict::NotRun {
            return self.on_moved(start, out);
        }
        if self.tokens > attempt.from {
            // Failure: a long stream breaks now and then, each time further
            // on, and is given up at the third break. Attempts that got on
            // are bounded by the deadline and the retry budget, not the cap.
            base::hit!(progress_uses_no_attempt);
            start.attempts += 1;
        }
        let target = attempt.target;
        if failed.verdict != Verdict::NotRun {
            let fault = failed.fault;
            out.push(Output::Blame { target, fault });
        }
        self.avoid.push(target);
        // A head proves that the target began, whatever the failure says.
        let answered = attempt.reply != Reply::Awaited || failed.fault != Fault::Failed;
        let least = if answered {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let verdict = failed.verdict.max(least);
        let again = self.may_repeat(now, &start, verdict);
        self.verdict = self.verdict.max(verdict);
        self.reason = Some(failed.reason);
        self.retry = failed.retry;
        if again {
            return self.place(start, out);
        }
        self.give_up(&start, Failure::not_run(failed.reason), out);
    }

    /// Goes on after giving way to more urgent work.
    ///
    /// Nothing failed, so the attempt counts neither against the cap nor
    /// against the target: batch work that gives way all evening would else
    /// be given up before the morning.
    pub(super) fn on_preempted(&mut self, now: Time, mut start: Start, out: &mut Vec<Output>) {
        base::hit!(preempted_goes_on);
        self.verdict = self.verdict.max(Verdict::MayHaveRun);
        self.reason = None;
        start.attempts += 1;
        if !self.may_repeat(now, &start, Verdict::MayHaveRun) {
            return self.give_up(&start, Failure::not_run(Refusal::Preempted), out);
        }
        self.again(start, out);
    }

    /// Finds another place after the owner of an engine turned it away because
    /// the engine is no longer its own.
    ///
    /// Nothing was sent to the engine and nothing failed: in a rolling restart
    /// all engines change owners within seconds, and counted attempts would be
    /// used up by that alone.
    pub(super) fn on_moved(&mut self, mut start: Start, out: &mut Vec<Output>) {
        base::hit!(moved_goes_on);
        start.attempts += 1;
        self.again(start, out);
    }

    pub(super) fn again(&mut self, start: Start, out: &mut Vec<Output>) {
        out.push(Output::Place {
            avoid: self.avoid.clone(),
            retry: false,
        });
        self.stage = Stage::Placing(start);
    }
}
