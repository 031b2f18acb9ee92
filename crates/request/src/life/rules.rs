//! What a request may do next, judged from what is known of it.

use base::{Failure, Mark, Refusal, Time, Verdict};

use super::{RETRY, Request};
use crate::{
    Start,
    message::{Fault, RanOn},
};

impl Request {
    /// Judges a head before anything of its answer is passed on.
    ///
    /// Failure: an engine was restarted or reloaded and answers with another
    /// adapter or version, which would show as one brand's answer in another's
    /// voice. The head comes before the first byte, so nothing has left yet.
    pub(super) fn fault_of(
        &self,
        start: &Start,
        good: bool,
        ran_on: RanOn,
        resumed: Option<u32>,
    ) -> Option<Fault> {
        if !good {
            // The head of the stream is out: an error can't replace it.
            return self.headed.then_some(Fault::Failed);
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

    /// Returns whether another attempt may follow one that ended with
    /// `verdict`.
    ///
    /// Failure: an application is handed in twice because its first attempt
    /// was only thought to have failed. A marked request goes out again only
    /// when the attempt before certainly did not run.
    pub(super) fn may_repeat(&self, now: Time, start: &Start, verdict: Verdict) -> bool {
        if self.sent.0 >= start.attempts || now >= start.deadline || self.alone {
            return false;
        }
        if start.mark == Mark::Once && verdict != Verdict::NotRun {
            base::hit!(marked_not_repeated);
            return false;
        }
        if self.raw {
            // Failure: a plain service's answer is cut and fetched anew. Its
            // beginning would stand twice in what the caller takes for whole.
            base::hit!(bytes_not_repeated);
            return false;
        }
        if self.tokens > 0 && !start.resumable {
            base::hit!(stream_not_resumable);
            return false;
        }
        true
    }

    /// Adds to `failure` what earlier attempts left behind.
    pub(super) fn failure(&self, failure: Failure) -> Failure {
        let own = matches!(failure.reason, Refusal::Deadline | Refusal::CallerGone);
        let reason = self.reason.filter(|_| !own);
        Failure {
            reason: reason.unwrap_or(failure.reason),
            verdict: failure.verdict.max(self.verdict),
            retry: failure.retry.or(self.retry).or(Some(RETRY)),
        }
    }
}
