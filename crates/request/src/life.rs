//! The life of one request as a state machine.

mod answer;
mod failed;
mod rules;

use std::time::Duration;

use base::{Failure, Mark, Refusal, TargetNo, Time, Verdict};

use crate::{
    Start,
    message::{AttemptNo, ClaimReply, Fate, Fault, Final, Input, Output},
};

/// When a caller may come back if nobody knows better: long enough for a
/// failed engine to be found out and avoided.
const RETRY: Duration = Duration::from_secs(1);

/// One request. [`Request::handle`] drives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    stage: Stage,
    /// Attempts sent so far.
    sent: AttemptNo,
    avoid: Vec<TargetNo>,
    /// The verdict of all ended attempts together.
    verdict: Verdict,
    /// Why the last attempt failed.
    reason: Option<Refusal>,
    retry: Option<Duration>,
    /// Whether the caller has the head of a stream.
    headed: bool,
    /// Whether the caller has any piece of a stream.
    begun: bool,
    /// Tokens that the caller has.
    tokens: u32,
    /// The attempt from which the caller has what comes after the last token.
    tailed: Option<AttemptNo>,
    /// Whether the caller has bytes that can't be continued.
    raw: bool,
    /// Whether the caller has the mark that the stream is whole.
    marked: bool,
    /// Whether the caller left while the request goes on without it.
    alone: bool,
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
            headed: false,
            begun: false,
            tokens: 0,
            tailed: None,
            raw: false,
            marked: false,
            alone: false,
        }
    }
}

/// How far a request has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    New,
    /// The claim is under way.
    Claiming(Start),
    /// A target is being looked for.
    Placing(Start),
    /// An attempt is under way.
    Sent(Start, Attempt),
    /// Finished while the claim was under way: a grant must be given back.
    Unclaimed,
    /// Finished.
    Over,
}

/// The attempt under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    no: AttemptNo,
    target: TargetNo,
    /// Tokens that the caller had when it was sent.
    from: u32,
    reply: Reply,
}

/// What of the attempt's answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Awaited,
    /// Passed on piece by piece.
    Passing,
    /// Held back until it is whole.
    Holding,
}

/// An attempt's end, as far as it decides what follows.
struct Failed {
    verdict: Verdict,
    reason: Refusal,
    retry: Option<Duration>,
    fault: Fault,
}

impl Request {
    /// Takes in what happened at `now` and appends what to do to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match std::mem::take(&mut self.stage) {
            Stage::New => self.on_new(now, input, out),
            Stage::Claiming(start) => self.on_claiming(now, start, input, out),
            Stage::Placing(start) => self.on_placing(now, start, input, out),
            Stage::Sent(start, attempt) => self.on_sent(now, start, attempt, input, out),
            Stage::Unclaimed => self.on_unclaimed(&input, out),
            Stage::Over => self.stage = Stage::Over,
        }
    }

    /// Returns whether nothing more can come out of it.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Over
    }

    /// Returns how many tokens the caller has.
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
            Input::CallerGone => self.leave_claim(Refusal::CallerGone, out),
            Input::Wake if now >= start.deadline => self.leave_claim(Refusal::Deadline, out),
            _ => self.stage = Stage::Claiming(start),
        }
    }

    /// Ends while the claim is under way.
    ///
    /// Failure: the claim is granted after nobody waits for it any more. It
    /// would show as a key that stays `running` though nothing was sent. The
    /// stage outlives the final answer until the claim's own answer came.
    fn leave_claim(&mut self, reason: Refusal, out: &mut Vec<Output>) {
        self.fail(self.failure(Failure::not_run(reason)), out);
        self.stage = Stage::Unclaimed;
    }

    fn on_unclaimed(&mut self, input: &Input, out: &mut Vec<Output>) {
        self.stage = Stage::Unclaimed;
        let Input::Claimed(reply) = input else { return };
        if *reply == ClaimReply::Yours {
            base::hit!(late_claim_given_back);
            out.push(Output::Settle(Fate::NotRun));
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
            ClaimReply::Yours if now >= start.deadline => {
                out.push(Output::Settle(Fate::NotRun));
                self.fail(Failure::not_run(Refusal::Deadline), out);
            }
            ClaimReply::Yours => self.place(start, out),
            ClaimReply::Running => {
                self.fail(duplicate(Verdict::MayHaveRun).retry_after(RETRY), out);
            }
            ClaimReply::Ran { kept: true } => self.finish(Final::Replay, out),
            ClaimReply::Ran { kept: false } => self.fail(duplicate(Verdict::Ran), out),
            // A key that is forgotten may have run: nothing else is known.
            ClaimReply::MayHaveRun | ClaimReply::TooOld => {
                self.fail(duplicate(Verdict::MayHaveRun), out);
            }
            ClaimReply::OtherBody => self.fail(Failure::not_run(Refusal::KeyReused), out),
            ClaimReply::NotNow { retry } => {
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
            Input::NoPlace(failure) => self.give_up(&start, failure, out),
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
        self.sent.0 += 1;
        let no = self.sent;
        out.push(Output::Send {
            attempt: no,
            target,
            resume_from: self.tokens,
        });
        let attempt = Attempt {
            no,
            target,
            from: self.tokens,
            reply: Reply::Awaited,
        };
        self.stage = Stage::Sent(start, attempt);
    }

    fn on_sent(
        &mut self,
        now: Time,
        start: Start,
        attempt: Attempt,
        input: Input,
        out: &mut Vec<Output>,
    ) {
        if input.attempt().is_some_and(|no| no != attempt.no) {
            // Failure: an answer comes late, when its attempt was given up and
            // another is under way. Passed on it would mix two answers; the
            // number of the attempt tells them apart.
            base::hit!(late_attempt_ignored);
            self.stage = Stage::Sent(start, attempt);
            return;
        }
        match input {
            Input::AttemptFailed {
                verdict,
                reason,
                retry,
                ..
            } => {
                let fault = Fault::Failed;
                let failed = Failed {
                    verdict,
                    reason,
                    retry,
                    fault,
                };
                self.on_failed(now, start, attempt, failed, out);
            }
            Input::Head {
                status,
                ran_on,
                resumed,
                ..
            } => self.on_head(now, start, attempt, (status, ran_on, resumed), out),
            Input::Piece { part, .. } => self.on_piece(start, attempt, part, out),
            Input::End { whole: true, .. } => self.on_whole(now, start, attempt, out),
            Input::End { whole: false, .. } => {
                self.on_failed(now, start, attempt, Failed::broken(Fault::Failed), out);
            }
            Input::CallerGone => self.on_caller_gone(start, attempt, out),
            Input::Wake if now >= start.deadline => {
                self.abandon(&start, attempt, Refusal::Deadline, out);
            }
            _ => self.stage = Stage::Sent(start, attempt),
        }
    }

    fn on_caller_gone(&mut self, start: Start, attempt: Attempt, out: &mut Vec<Output>) {
        if start.outlives && start.mark == Mark::Once && !self.marked {
            base::hit!(marked_outlives_caller);
            self.alone = true;
            self.stage = Stage::Sent(start, attempt);
            return;
        }
        self.abandon(&start, attempt, Refusal::CallerGone, out);
    }

    /// Ends with an attempt under way, whose fate is unknown from then on.
    fn abandon(&mut self, start: &Start, attempt: Attempt, why: Refusal, out: &mut Vec<Output>) {
        out.push(Output::Cancel {
            attempt: attempt.no,
        });
        if attempt.reply == Reply::Holding {
            out.push(Output::DropHeld);
        }
        if self.marked {
            return self.end_whole(start, attempt, out);
        }
        self.verdict = self.verdict.max(Verdict::MayHaveRun);
        self.reason = None;
        self.give_up(start, Failure::not_run(why), out);
    }

    /// Ends with no attempt under way: settles the claim and answers at once.
    fn give_up(&mut self, start: &Start, failure: Failure, out: &mut Vec<Output>) {
        if start.mark == Mark::Once {
            out.push(Output::Settle(match self.verdict {
                Verdict::NotRun => Fate::NotRun,
                Verdict::MayHaveRun => Fate::MayHaveRun,
                Verdict::Ran => Fate::Ran,
            }));
        }
        let failure = self.failure(failure);
        self.fail(failure, out);
    }

    fn fail(&mut self, failure: Failure, out: &mut Vec<Output>) {
        let end = if self.headed {
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
    /// An answer that began and is of no use.
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
            | Input::End { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
