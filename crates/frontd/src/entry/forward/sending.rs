//! A request on its way to a target, and one that a target is running.

use std::{sync::Arc, time::Duration};

use base::{SoftwareVersion, Verdict};
use futures::future::BoxFuture;
use rest::Trial;
use tokio::time::Instant;
use web::{
    client::{Answer, Broken, Cause},
    timeout::answer_by,
};

use super::hedged::HedgeAt;
use crate::entry::state::State;

/// A request that a target is running. The view counts it as load of the target until it
/// is dropped.
pub(in crate::entry) struct InFlight {
    state: Arc<State>,
    pub(in crate::entry) id: String,
    adapter: String,
    /// Prompt tokens of the request, and those of them that the target hasn't read yet.
    prompt: u64,
    unread: u64,
    /// Prompt tokens that the target had to read when the request was sent, its own
    /// included.
    backlog: u64,
    sent: Instant,
    /// When its answer began.
    begun: Option<Instant>,
    /// Whether it is one of the first that the target gets after a rest.
    trial: Trial,
    /// The software of the target as it was chosen, if that was known.
    software: Option<SoftwareVersion>,
}

impl InFlight {
    /// Counts a request that is sent to `target` now.
    pub(super) fn begin(state: &Arc<State>, target: &str, adapter: &str, tokens: u64) -> InFlight {
        let software = state.view().software(state.now(), target).cloned();
        let backlog = state.view().begin(target, adapter, tokens);
        let trial = state.view().rests().begin(state.now(), target);
        InFlight {
            state: Arc::clone(state),
            id: target.to_owned(),
            adapter: adapter.to_owned(),
            prompt: tokens,
            unread: tokens,
            backlog,
            sent: Instant::now(),
            begun: None,
            trial,
            software,
        }
    }

    /// Returns the software of the target, if it is known.
    pub(in crate::entry) fn software(&self) -> Option<SoftwareVersion> {
        self.software.clone().or_else(|| {
            let view = self.state.view();
            view.software(self.state.now(), &self.id).cloned()
        })
    }

    /// Returns the time since the request was sent.
    pub(in crate::entry) fn ran(&self) -> Duration {
        self.sent.elapsed()
    }

    /// Returns the time since its answer began, if it has.
    pub(in crate::entry) fn wrote(&self) -> Option<Duration> {
        self.begun.map(|at| at.elapsed())
    }

    /// Notes that the answer has begun, which means that the prompt has been read.
    pub(super) fn answer_begun(&mut self) {
        self.begun.get_or_insert_with(Instant::now);
        let tokens = std::mem::take(&mut self.unread);
        let mut view = self.state.view();
        view.read(&self.id, tokens);
        view.rests().answered(self.id.as_str(), &mut self.trial);
        view.add_speed_sample(&self.id, self.backlog, self.sent.elapsed());
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut view = self.state.view();
        view.read(&self.id, self.unread);
        view.rests().lost(self.id.as_str(), &mut self.trial);
        if let Some(begun) = self.begun {
            view.add_hold_sample(&self.id, self.prompt, begun.elapsed());
        }
        view.end(&self.id, &self.adapter);
    }
}

/// What a target has said nothing until.
#[derive(Clone, Copy, Debug)]
pub(super) enum Outlived {
    /// A second target is tried.
    Due(HedgeAt),
    /// It counts as silent.
    Silent,
}

/// A request on its way to a target. Dropping it closes the connection.
pub(super) struct Sending {
    pub(super) in_flight: InFlight,
    /// When its target counts as silent.
    pub(super) silent_at: Option<Instant>,
    /// When a second target is tried.
    pub(super) hedge_at: Option<HedgeAt>,
    /// Whether this is the send to the second target.
    pub(super) is_extra: bool,
    pub(super) until: Instant,
    pub(super) answer: BoxFuture<'static, Result<Answer, Broken>>,
}

impl Sending {
    /// Waits for the answer, until the deadline at most.
    pub(super) async fn ended(&mut self) -> Result<Answer, Broken> {
        let answer = answer_by(self.until, &mut self.answer).await;
        answer.unwrap_or(Err(Broken {
            verdict: Verdict::MayHaveRun,
            cause: Cause::Deadline,
        }))
    }

    /// As [`Self::ended`], until a second target is tried or the target counts as silent.
    pub(super) async fn ended_or_late(&mut self) -> Result<Result<Answer, Broken>, Outlived> {
        let silent_at = self.silent_at;
        let due = self.hedge_at.take();
        let due = due.filter(|due| silent_at.is_none_or(|silent_at| due.at < silent_at));
        let Some(due) = due else {
            let ended = self.ended_or_silent().await;
            return ended.ok_or(Outlived::Silent);
        };
        let ended = answer_by(due.at, self.ended()).await;
        ended.ok_or(Outlived::Due(due))
    }

    /// As [`Self::ended`], or returns `None` once the target counts as silent.
    pub(super) async fn ended_or_silent(&mut self) -> Option<Result<Answer, Broken>> {
        let Some(at) = self.silent_at else {
            return Some(self.ended().await);
        };
        answer_by(at, self.ended()).await
    }
}
