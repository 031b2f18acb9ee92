//! Which answers are accepted and when an attempt may be retried.

use base::{Failure, Mark, Refusal, Time, Verdict};

use super::{RETRY_AFTER, Request};
use crate::{
    Start,
    message::{Fault, RanOn},
};

impl Request {
    /// Checks an answer's head before anything of the answer is passed on, and returns
    /// the target's fault, if any.
    ///
    /// Guards against an engine that was restarted or reloaded and answers with another
    /// adapter or version, so that a caller would get an answer of another brand's adapter.
    /// The head comes before the first byte of the answer, so nothing of it has been passed
    /// on.
    pub(super) fn head_fault(
        &self,
        start: &Start,
        good: bool,
        ran_on: RanOn,
        resumed: Option<u32>,
    ) -> Option<Fault> {
        if !good {
            // The head of the stream was passed on already: an error can't replace it.
            return self.head_passed.then_some(Fault::Failed);
        }
        if start.adapter.is_some_and(|key| ran_on != RanOn::Named(key)) {
            base::hit!(wrong_adapter_stopped);
            return Some(Fault::WrongAdapter);
        }
        if self.tokens > 0 && resumed != Some(self.tokens) {
            base::hit!(wrong_resume_stopped);
            return Some(Fault::WrongResume);
        }
        None
    }

    /// Returns whether another attempt may follow one that ended with `verdict`.
    ///
    /// Guards against running a marked request twice because its first attempt only
    /// seemed to have failed: it is retried only when that attempt certainly did not run.
    pub(super) fn may_retry(&self, now: Time, start: &Start, verdict: Verdict) -> bool {
        if self.sent.0 >= start.attempts || now >= start.deadline || self.detached {
            return false;
        }
        if start.mark == Mark::Once && verdict != Verdict::NotRun {
            base::hit!(marked_not_retried);
            return false;
        }
        if self.raw_passed {
            // Guards against fetching a plain service's answer again after a part of it
            // was passed on: the caller would get its beginning twice.
            base::hit!(raw_not_retried);
            return false;
        }
        if self.tokens > 0 && !start.resumable {
            base::hit!(stream_not_resumable);
            return false;
        }
        true
    }

    /// Completes `failure` with the reason, verdict and retry time of earlier attempts.
    pub(super) fn failure(&self, failure: Failure) -> Failure {
        let own = matches!(failure.reason, Refusal::Deadline | Refusal::CallerGone);
        let reason = self.reason.filter(|_| !own);
        Failure {
            reason: reason.unwrap_or(failure.reason),
            verdict: failure.verdict.max(self.verdict),
            retry: failure.retry.or(self.retry).or(Some(RETRY_AFTER)),
        }
    }
}
