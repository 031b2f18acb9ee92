//! What follows a failed attempt.

use base::{Failure, Mark, Refusal, Time, Verdict};

use super::{Attempt, Failed, Reply, Request, Spare, Stage};
use crate::{
    Start,
    message::{Fault, Output},
};

impl Request {
    pub(super) fn on_failed(
        &mut self,
        now: Time,
        mut start: Start,
        (attempt, spare): (Attempt, Spare),
        failed: Failed,
        out: &mut Vec<Output>,
    ) {
        if self.end_passed {
            // Guards against a connection that breaks between the stream's end marker and
            // the end of its framing: the caller has the complete answer, and must get
            // neither an error after `[DONE]` nor a second answer.
            base::hit!(cut_after_the_end);
            self.drop_spare(spare, out);
            return self.finish_complete(&start, attempt, out);
        }
        if attempt.reply == Reply::Holding {
            out.push(Output::DropHeld);
        }
        if spare != Spare::None {
            return self.put_in(start, (attempt, spare), &failed, out);
        }
        if failed.reason == Refusal::Preempted && start.mark == Mark::Repeatable {
            return self.on_preempted(now, start, out);
        }
        if failed.reason == Refusal::Moved && failed.verdict == Verdict::NotRun {
            return self.on_moved(start, out);
        }
        if self.tokens > attempt.from {
            // Guards against giving up a long stream at its third interruption although
            // each attempt got further. Attempts that made progress are limited by the
            // deadline and the retry budget instead of the maximum of attempts.
            base::hit!(progress_not_counted);
            start.attempts += 1;
        }
        let verdict = self.note_failed(attempt, &failed, out);
        let retry = self.may_retry(now, &start, verdict);
        if retry {
            return self.place(start, out);
        }
        self.give_up(&start, Failure::not_run(failed.reason), out);
    }

    /// Records the failure of an attempt; returns its verdict.
    pub(super) fn note_failed(
        &mut self,
        attempt: Attempt,
        failed: &Failed,
        out: &mut Vec<Output>,
    ) -> Verdict {
        let target = attempt.target;
        if failed.verdict != Verdict::NotRun {
            let fault = failed.fault;
            out.push(Output::ReportFault { target, fault });
        }
        self.avoid.push(target);
        // A head proves that the target began to run the request, whatever the failure
        // says.
        let answered = attempt.reply != Reply::Awaited || failed.fault != Fault::Failed;
        let least = if answered {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let verdict = failed.verdict.max(least);
        self.verdict = self.verdict.max(verdict);
        self.reason = Some(failed.reason);
        self.retry = failed.retry;
        verdict
    }

    /// Finds another target after the request was preempted by a more urgent one.
    ///
    /// Nothing failed, so the attempt counts neither towards the maximum nor against the
    /// target: otherwise a batch request that is preempted for hours would be given up.
    pub(super) fn on_preempted(&mut self, now: Time, mut start: Start, out: &mut Vec<Output>) {
        base::hit!(preempted_not_counted);
        self.verdict = self.verdict.max(Verdict::MayHaveRun);
        self.reason = None;
        start.attempts += 1;
        if !self.may_retry(now, &start, Verdict::MayHaveRun) {
            return self.give_up(&start, Failure::not_run(Refusal::Preempted), out);
        }
        self.place_again(start, out);
    }

    /// Finds another target after an engine's owner refused the request because it no
    /// longer owns the engine.
    ///
    /// Nothing was sent to the engine and nothing failed. In a rolling restart all
    /// engines change owners within seconds, which alone would use up the attempts if
    /// they were counted.
    pub(super) fn on_moved(&mut self, mut start: Start, out: &mut Vec<Output>) {
        base::hit!(moved_not_counted);
        start.attempts += 1;
        self.place_again(start, out);
    }

    pub(super) fn place_again(&mut self, start: Start, out: &mut Vec<Output>) {
        out.push(Output::Place {
            avoid: self.avoid.clone(),
            retry: false,
        });
        self.stage = Stage::Placing(start);
    }
}
