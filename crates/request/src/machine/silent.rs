//! A silent attempt is kept until another one has answered.
//!
//! Silence proves nothing: a sound target may say nothing for a while and go on. Giving it up
//! before anything replaces it would end the answer although its target goes on, where no
//! retry, no other target or only a refusal is left.

use base::{Refusal, TargetNo, Time, Verdict};

use super::{Attempt, Failed, Reply, Request, Spare, Stage};
use crate::{
    Start,
    message::{Fault, Input, Output},
};

impl Request {
    /// Looks for a target to try beside a silent one.
    pub(super) fn on_silent(
        &mut self,
        now: Time,
        start: Start,
        (attempt, spare): (Attempt, Spare),
        fault: bool,
        out: &mut Vec<Output>,
    ) {
        if spare != Spare::None || self.end_passed || !self.may_try(now, &start, attempt, fault) {
            base::hit!(silent_kept);
            self.stage = Stage::Sent(start, attempt, spare);
            return;
        }
        let mut avoid = self.avoid.clone();
        if fault {
            avoid.push(attempt.target);
        }
        let retry = fault;
        out.push(Output::Place { avoid, retry });
        let spare = Spare::Placing { counts: fault };
        self.stage = Stage::Sent(start, attempt, spare);
    }

    /// Returns whether another attempt may be sent beside a silent one. Neither one that has
    /// made progress nor one that waits for a silent owner counts.
    fn may_try(&self, now: Time, start: &Start, attempt: Attempt, counts: bool) -> bool {
        let free = u32::from(self.tokens > attempt.from) + u32::from(!counts);
        let start = Start {
            attempts: start.attempts + free,
            ..start.clone()
        };
        self.may_retry(now, &start, Verdict::MayHaveRun)
    }

    pub(super) fn send_spare(
        &mut self,
        mut start: Start,
        (attempt, spare): (Attempt, Spare),
        target: TargetNo,
        out: &mut Vec<Output>,
    ) {
        let Spare::Placing { counts } = spare else {
            self.stage = Stage::Sent(start, attempt, spare);
            return;
        };
        start.attempts += u32::from(!counts);
        let second = self.attempt(target, out);
        self.stage = Stage::Sent(start, attempt, Spare::Sent(second));
    }

    /// Gives up the replacement, as the silent attempt goes on or the request ends.
    pub(super) fn drop_spare(&mut self, spare: Spare, out: &mut Vec<Output>) {
        match spare {
            Spare::None => {}
            Spare::Placing { .. } => out.push(Output::Withdraw),
            Spare::Sent(second) => {
                base::hit!(silent_goes_on);
                let attempt = second.no;
                out.push(Output::Cancel { attempt });
            }
        }
    }

    /// Goes on with the replacement after the silent attempt has failed.
    pub(super) fn put_in(
        &mut self,
        mut start: Start,
        (attempt, spare): (Attempt, Spare),
        failed: &Failed,
        out: &mut Vec<Output>,
    ) {
        base::hit!(silent_failed);
        start.attempts += u32::from(self.tokens > attempt.from);
        self.note_failed(attempt, failed, out);
        self.stage = match spare {
            Spare::Sent(second) => Stage::Sent(start, second, Spare::None),
            Spare::None | Spare::Placing { .. } => Stage::Placing(start),
        };
    }

    /// Handles an input of the replacement.
    pub(super) fn on_spare(
        &mut self,
        now: Time,
        start: Start,
        (attempt, second): (Attempt, Attempt),
        input: Input,
        out: &mut Vec<Output>,
    ) {
        let cancel = Output::Cancel { attempt: second.no };
        match input {
            Input::Head {
                status,
                ran_on,
                resumed,
                ..
            } => {
                let good = (200..300).contains(&status);
                let fault = self.head_fault(&start, good, ran_on, resumed);
                if good && fault.is_none() {
                    return self.replace(start, attempt, second, out);
                }
                out.push(cancel);
                let failed = Failed::broken(fault.unwrap_or(Fault::Failed));
                self.spare_failed(now, start, (attempt, second), &failed, out);
            }
            Input::Silent { .. } => {
                out.push(cancel);
                self.verdict = self.verdict.max(Verdict::MayHaveRun);
                self.on_silent(now, start, (attempt, Spare::None), false, out);
            }
            Input::AttemptFailed { .. } | Input::End { .. } => {
                let failed = Failed::of(&input);
                self.spare_failed(now, start, (attempt, second), &failed, out);
            }
            _ => self.stage = Stage::Sent(start, attempt, Spare::Sent(second)),
        }
    }

    /// Goes on with the replacement, whose right head has arrived.
    fn replace(
        &mut self,
        mut start: Start,
        attempt: Attempt,
        mut second: Attempt,
        out: &mut Vec<Output>,
    ) {
        base::hit!(silent_replaced);
        out.push(Output::Cancel {
            attempt: attempt.no,
        });
        if attempt.reply == Reply::Holding {
            out.push(Output::DropHeld);
        }
        start.attempts += u32::from(self.tokens > attempt.from);
        self.avoid.push(attempt.target);
        self.verdict = self.verdict.max(Verdict::MayHaveRun);
        second.reply = self.pass_head(&start, true, out);
        self.stage = Stage::Sent(start, second, Spare::None);
    }

    /// Tries another target, while the silent attempt is kept.
    fn spare_failed(
        &mut self,
        now: Time,
        mut start: Start,
        (attempt, second): (Attempt, Attempt),
        failed: &Failed,
        out: &mut Vec<Output>,
    ) {
        let moved = failed.reason == Refusal::Moved && failed.verdict == Verdict::NotRun;
        if moved || failed.reason == Refusal::Preempted {
            self.verdict = self.verdict.max(failed.verdict);
            start.attempts += 1;
            return self.on_silent(now, start, (attempt, Spare::None), false, out);
        }
        self.note_failed(second, failed, out);
        if !self.may_try(now, &start, attempt, true) {
            self.stage = Stage::Sent(start, attempt, Spare::None);
            return;
        }
        let mut avoid = vec![attempt.target];
        avoid.extend(&self.avoid);
        let retry = true;
        out.push(Output::Place { avoid, retry });
        let spare = Spare::Placing { counts: true };
        self.stage = Stage::Sent(start, attempt, spare);
    }
}
