//! Which parts of an attempt's answer are passed on.

use base::{Failure, Mark, Refusal, Time, Verdict};

use super::{Attempt, Failed, Reply, Request, Spare, Stage};
use crate::{
    Start,
    message::{AttemptNo, ClaimOutcome, Fault, Final, Output, Part, RanOn},
};

impl Request {
    pub(super) fn on_head(
        &mut self,
        now: Time,
        start: Start,
        mut attempt: Attempt,
        (status, ran_on, resumed): (u16, RanOn, Option<u32>),
        out: &mut Vec<Output>,
    ) {
        if attempt.reply != Reply::Awaited {
            self.stage = Stage::Sent(start, attempt, Spare::None);
            return;
        }
        let good = (200..300).contains(&status);
        if let Some(fault) = self.head_fault(&start, good, ran_on, resumed) {
            out.push(Output::Cancel {
                attempt: attempt.no,
            });
            self.on_failed(
                now,
                start,
                (attempt, Spare::None),
                Failed::broken(fault),
                out,
            );
            return;
        }
        if status >= 500 && self.may_retry(now, &start, Verdict::MayHaveRun) {
            out.push(Output::Cancel {
                attempt: attempt.no,
            });
            self.on_failed(
                now,
                start,
                (attempt, Spare::None),
                Failed::broken(Fault::Failed),
                out,
            );
            return;
        }
        attempt.reply = self.pass_head(&start, good, out);
        self.stage = Stage::Sent(start, attempt, Spare::None);
    }

    pub(super) fn pass_head(&mut self, start: &Start, good: bool, out: &mut Vec<Output>) -> Reply {
        if self.head_passed {
            return Reply::Streaming;
        }
        if !start.stream || !good || self.detached {
            out.push(Output::Hold);
            return Reply::Holding;
        }
        self.head_passed = true;
        out.push(Output::PassHead);
        Reply::Streaming
    }

    pub(super) fn on_piece(
        &mut self,
        start: Start,
        attempt: Attempt,
        part: Part,
        out: &mut Vec<Output>,
    ) {
        self.stage = Stage::Sent(start, attempt, Spare::None);
        match attempt.reply {
            Reply::Awaited => {}
            Reply::Holding => out.push(Output::Hold),
            Reply::Streaming if self.detached => {}
            Reply::Streaming => self.pass(attempt.no, part, out),
        }
    }

    pub(super) fn pass(&mut self, no: AttemptNo, part: Part, out: &mut Vec<Output>) {
        let already_passed = match part {
            Part::Preamble => self.any_passed,
            Part::Tail => self.tail_passed.is_some_and(|by| by != no),
            Part::Tokens(_) | Part::Last | Part::Raw => false,
        };
        if already_passed {
            // The resuming engine sends the data before the first and after the last
            // token again; the caller already has it.
            base::hit!(second_frame_dropped);
            return;
        }
        self.any_passed = true;
        match part {
            Part::Tokens(n) => self.tokens += n,
            Part::Tail => self.tail_passed = Some(no),
            Part::Last => self.end_passed = true,
            Part::Raw => self.raw_passed = true,
            Part::Preamble => {}
        }
        out.push(Output::Pass);
    }

    pub(super) fn on_complete(
        &mut self,
        now: Time,
        start: Start,
        attempt: Attempt,
        out: &mut Vec<Output>,
    ) {
        if attempt.reply == Reply::Awaited {
            let failed = Failed::broken(Fault::Failed);
            return self.on_failed(now, start, (attempt, Spare::None), failed, out);
        }
        self.finish_complete(&start, attempt, out);
    }

    /// Ends the request with the complete answer.
    pub(super) fn finish_complete(
        &mut self,
        start: &Start,
        attempt: Attempt,
        out: &mut Vec<Output>,
    ) {
        if start.mark == Mark::Once {
            out.push(Output::Settle(ClaimOutcome::Ran));
        }
        if self.detached {
            let failure = Failure {
                reason: Refusal::CallerGone,
                verdict: Verdict::Ran,
                retry: None,
            };
            return self.fail(failure, out);
        }
        if attempt.reply == Reply::Holding {
            out.push(Output::Release);
        }
        self.finish(Final::Complete, out);
    }
}
