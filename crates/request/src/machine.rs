//! The state machine of one request.

mod answer;
mod failed;
mod rules;
mod silent;

use std::time::Duration;

use base::{Failure, Mark, Refusal, TargetNo, Time, Verdict};

use crate::{
    Start,
    message::{AttemptNo, ClaimOutcome, ClaimReply, Fault, Final, Input, Output},
};

/// `Retry-After` when neither a target nor the control plane gave one: long enough for a
/// failed engine to be detected and avoided.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One request, driven by [`Request::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    stage: Stage,
    /// Number of attempts sent so far.
    sent: AttemptNo,
    avoid: Vec<TargetNo>,
    /// The combined verdict of all ended attempts.
    verdict: Verdict,
    /// Why the last attempt failed.
    reason: Option<Refusal>,
    retry: Option<Duration>,
    /// Whether the head of a stream was passed on.
    head_passed: bool,
    /// Whether any piece of a stream was passed on.
    any_passed: bool,
    /// Number of tokens passed on.
    tokens: u32,
    /// The attempt whose data after the last token was passed on.
    tail_passed: Option<AttemptNo>,
    /// Whether bytes were passed on that can't be resumed.
    raw_passed: bool,
    /// Whether the stream's end marker was passed on.
    end_passed: bool,
    /// Whether the caller left while the request continues without it.
    detached: bool,
}

impl Default for Request {
    fn default() -> Self {
        Request {
            stage: Stage::New,
            sent: AttemptNo::default(),
            avoid: Vec::new(),
            verdict: Verdict::NotRun,
            reason: None,
            retry: None,
            head_passed: false,
            any_passed: false,
            tokens: 0,
            tail_passed: None,
            raw_passed: false,
            end_passed: false,
            detached: false,
        }
    }
}

/// How far the request has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    New,
    /// The claim is awaited.
    Claiming(Start),
    /// A target is awaited.
    Placing(Start),
    /// An attempt is running, and another one may be there to replace it.
    Sent(Start, Attempt, Spare),
    /// Finished while the claim was awaited: if it is granted after all, it must be
    /// settled as not run.
    ClaimAbandoned,
    /// Finished.
    Over,
}

/// The running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    no: AttemptNo,
    target: TargetNo,
    /// Number of tokens passed on before it was sent.
    from: u32,
    reply: Reply,
}

/// What is there to replace a silent attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spare {
    None,
    /// A target for it is awaited.
    Placing {
        /// Whether it counts towards the maximum of attempts.
        counts: bool,
    },
    /// It was sent, and nothing of its answer has arrived.
    Sent(Attempt),
}

/// What happens to the attempt's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Awaited,
    /// Its pieces are passed on as they arrive.
    Streaming,
    /// It is held back until it is complete.
    Holding,
}

/// A failed attempt.
struct Failed {
    verdict: Verdict,
    reason: Refusal,
    retry: Option<Duration>,
    fault: Fault,
}

impl Request {
    /// Handles one event at `now` and appends the actions that follow to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match std::mem::take(&mut self.stage) {
            Stage::New => self.on_new(now, input, out),
            Stage::Claiming(start) => self.on_claiming(now, start, input, out),
            Stage::Placing(start) => self.on_placing(now, start, input, out),
            Stage::Sent(start, attempt, spare) => {
                self.on_sent(now, start, (attempt, spare), input, out);
            }
            Stage::ClaimAbandoned => self.on_claim_abandoned(&input, out),
            Stage::Over => self.stage = Stage::Over,
        }
    }

    /// Returns whether no more outputs can follow.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Over
    }

    /// Returns the number of tokens passed on.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    fn on_new(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        let Input::Start(start) = input else { return };
        if now >= start.deadline {
            return self.fail(Failure::not_run(Refusal::Deadline), out);
        }
        out.push(Output::Wake { at: start.deadline });
        match start.mark {
            Mark::Once => {
                out.push(Output::Claim);
                self.stage = Stage::Claiming(start);
            }
            Mark::Repeatable => self.place(start, out),
        }
    }

    fn on_claiming(&mut self, now: Time, start: Start, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Claimed(reply) => self.on_claimed(now, start, reply, out),
            Input::CallerGone => self.abandon_claim(Refusal::CallerGone, out),
            Input::Wake if now >= start.deadline => self.abandon_claim(Refusal::Deadline, out),
            _ => self.stage = Stage::Claiming(start),
        }
    }

    /// Ends the request while its claim is awaited.
    ///
    /// Guards against a claim that is granted after the request ended: its key would stay
    /// `running` although nothing was sent. This stage lasts beyond the final answer,
    /// until the claim is answered.
    fn abandon_claim(&mut self, reason: Refusal, out: &mut Vec<Output>) {
        self.fail(self.failure(Failure::not_run(reason)), out);
        self.stage = Stage::ClaimAbandoned;
    }

    fn on_claim_abandoned(&mut self, input: &Input, out: &mut Vec<Output>) {
        self.stage = Stage::ClaimAbandoned;
        let Input::Claimed(reply) = input else { return };
        if *reply == ClaimReply::Granted {
            base::hit!(late_claim_given_back);
            out.push(Output::Settle(ClaimOutcome::NotRun));
        }
        self.stage = Stage::Over;
    }

    fn on_claimed(&mut self, now: Time, start: Start, reply: ClaimReply, out: &mut Vec<Output>) {
        let duplicate = |verdict| Failure {
            reason: Refusal::Duplicate,
            verdict,
            retry: None,
        };
        match reply {
            ClaimReply::Granted if now >= start.deadline => {
                out.push(Output::Settle(ClaimOutcome::NotRun));
                self.fail(Failure::not_run(Refusal::Deadline), out);
            }
            ClaimReply::Granted => self.place(start, out),
            ClaimReply::Running => {
                self.fail(duplicate(Verdict::MayHaveRun).retry_after(RETRY_AFTER), out);
            }
            ClaimReply::Ran { kept: true } => self.finish(Final::Replay, out),
            ClaimReply::Ran { kept: false } => self.fail(duplicate(Verdict::Ran), out),
            // A key that is no longer remembered may have run.
            ClaimReply::MayHaveRun | ClaimReply::TooOld => {
                self.fail(duplicate(Verdict::MayHaveRun), out);
            }
            ClaimReply::OtherBody => self.fail(Failure::not_run(Refusal::KeyReused), out),
            ClaimReply::Deferred { retry } => {
                let failure = Failure::not_run(Refusal::NoQuorum);
                self.fail(failure.retry_after(retry), out);
            }
        }
    }

    fn place(&mut self, start: Start, out: &mut Vec<Output>) {
        out.push(Output::Place {
            avoid: self.avoid.clone(),
            retry: self.sent.0 > 0,
        });
        self.stage = Stage::Placing(start);
    }

    fn on_placing(&mut self, now: Time, start: Start, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Placed { target } => self.send(start, target, out),
            Input::NoTarget(failure) => self.give_up(&start, failure, out),
            Input::CallerGone => {
                self.give_up(&start, Failure::not_run(Refusal::CallerGone), out);
            }
            Input::Wake if now >= start.deadline => {
                self.give_up(&start, Failure::not_run(Refusal::Deadline), out);
            }
            _ => self.stage = Stage::Placing(start),
        }
    }

    fn send(&mut self, start: Start, target: TargetNo, out: &mut Vec<Output>) {
        let attempt = self.attempt(target, out);
        self.stage = Stage::Sent(start, attempt, Spare::None);
    }

    /// Sends one more attempt.
    fn attempt(&mut self, target: TargetNo, out: &mut Vec<Output>) -> Attempt {
        self.sent.0 += 1;
        let no = self.sent;
        out.push(Output::Send {
            attempt: no,
            target,
            resume_from: self.tokens,
        });
        Attempt {
            no,
            target,
            from: self.tokens,
            reply: Reply::Awaited,
        }
    }

    fn on_sent(
        &mut self,
        now: Time,
        start: Start,
        (attempt, spare): (Attempt, Spare),
        input: Input,
        out: &mut Vec<Output>,
    ) {
        let no = input.attempt();
        if let Spare::Sent(second) = spare
            && no == Some(second.no)
        {
            return self.on_spare(now, start, (attempt, second), input, out);
        }
        if no.is_some_and(|no| no != attempt.no) {
            // Guards against an answer that arrives after its attempt was given up and
            // another one was sent: passed on, it would mix two answers. The attempt
            // number tells them apart.
            base::hit!(late_attempt_ignored);
            self.stage = Stage::Sent(start, attempt, spare);
            return;
        }
        match input {
            Input::AttemptFailed { .. }
            | Input::End {
                complete: false, ..
            } => {
                let failed = Failed::of(&input);
                self.on_failed(now, start, (attempt, spare), failed, out);
            }
            Input::Silent { fault, .. } => self.on_silent(now, start, (attempt, spare), fault, out),
            Input::Placed { target } => self.send_spare(start, (attempt, spare), target, out),
            Input::NoTarget(_) => self.stage = Stage::Sent(start, attempt, Spare::None),
            Input::Wake if now < start.deadline => {
                self.stage = Stage::Sent(start, attempt, spare);
            }
            _ => {
                self.drop_spare(spare, out);
                self.on_answer(now, start, attempt, input, out);
            }
        }
    }

    /// Handles what the attempt's target says, or the end of the request.
    fn on_answer(
        &mut self,
        now: Time,
        start: Start,
        attempt: Attempt,
        input: Input,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Head {
                status,
                ran_on,
                resumed,
                ..
            } => self.on_head(now, start, attempt, (status, ran_on, resumed), out),
            Input::Piece { part, .. } => self.on_piece(start, attempt, part, out),
            Input::End { .. } => self.on_complete(now, start, attempt, out),
            Input::CallerGone => self.on_caller_gone(start, attempt, out),
            Input::Wake => self.abandon(&start, attempt, Refusal::Deadline, out),
            _ => self.stage = Stage::Sent(start, attempt, Spare::None),
        }
    }

    fn on_caller_gone(&mut self, start: Start, attempt: Attempt, out: &mut Vec<Output>) {
        if start.outlives && start.mark == Mark::Once && !self.end_passed {
            base::hit!(marked_outlives_caller);
            self.detached = true;
            self.stage = Stage::Sent(start, attempt, Spare::None);
            return;
        }
        self.abandon(&start, attempt, Refusal::CallerGone, out);
    }

    /// Ends the request while an attempt is running, whose outcome stays unknown.
    fn abandon(&mut self, start: &Start, attempt: Attempt, why: Refusal, out: &mut Vec<Output>) {
        out.push(Output::Cancel {
            attempt: attempt.no,
        });
        if attempt.reply == Reply::Holding {
            out.push(Output::DropHeld);
        }
        if self.end_passed {
            return self.finish_complete(start, attempt, out);
        }
        self.verdict = self.verdict.max(Verdict::MayHaveRun);
        self.reason = None;
        self.give_up(start, Failure::not_run(why), out);
    }

    /// Ends the request while no attempt is running: settles the claim and answers with
    /// the failure.
    fn give_up(&mut self, start: &Start, failure: Failure, out: &mut Vec<Output>) {
        if start.mark == Mark::Once {
            out.push(Output::Settle(match self.verdict {
                Verdict::NotRun => ClaimOutcome::NotRun,
                Verdict::MayHaveRun => ClaimOutcome::MayHaveRun,
                Verdict::Ran => ClaimOutcome::Ran,
            }));
        }
        let failure = self.failure(failure);
        self.fail(failure, out);
    }

    fn fail(&mut self, failure: Failure, out: &mut Vec<Output>) {
        let end = if self.head_passed {
            base::hit!(stream_broken_off);
            Final::Broken(failure)
        } else {
            Final::Failed(failure)
        };
        self.finish(end, out);
    }

    fn finish(&mut self, end: Final, out: &mut Vec<Output>) {
        out.push(Output::Finish(end));
        self.stage = Stage::Over;
    }
}

impl Failed {
    /// Returns the failure of an attempt, or of an answer that broke off.
    fn of(input: &Input) -> Self {
        let Input::AttemptFailed {
            verdict,
            reason,
            retry,
            ..
        } = input
        else {
            return Failed::broken(Fault::Failed);
        };
        Failed {
            verdict: *verdict,
            reason: *reason,
            retry: *retry,
            fault: Fault::Failed,
        }
    }

    /// Returns the failure of an answer that began but can't be used.
    fn broken(fault: Fault) -> Self {
        Failed {
            verdict: Verdict::MayHaveRun,
            reason: Refusal::TargetFailed,
            retry: None,
            fault,
        }
    }
}

impl Input {
    /// Returns the attempt that the input belongs to.
    fn attempt(&self) -> Option<AttemptNo> {
        match self {
            Input::AttemptFailed { attempt, .. }
            | Input::Head { attempt, .. }
            | Input::Piece { attempt, .. }
            | Input::End { attempt, .. }
            | Input::Silent { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
