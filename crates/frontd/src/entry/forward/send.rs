//! Sends a request to a target and classifies the outcome.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Mark, Verdict};
use futures::FutureExt;
use gateway::{
    table::Kind,
    view::{Backup, Unused},
};
use hyper::StatusCode;
use telemetry::{event, prom_metrics};
use tokio::time::Instant;
use web::client::{Answer, Broken, Cause, Check, Checks, Ending, HeadFault, Limits, Send};

use super::{
    ActiveRequest, REFUSED_PAUSE, millis,
    sending::{InFlight, Sending},
};
use crate::entry::{answer::refused, headers, limits, rests, signs};

/// Answers with fewer tokens get no copy of the run's KV cache: they last about half a
/// second as a stream.
const BACKUP_MIN_TOKENS: u64 = 100;

/// Time-out of a new connection. Zones are some milliseconds apart, and a lost packet is
/// sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the remaining time after which a request that may be retried is sent to
/// another target as well if no answer has begun.
const HEAD_TIMEOUT_PART: f64 = 0.4;

/// Longest idle time of a connection that is reused; see the connection pool of
/// [`web::client`].
const REUSE_IDLE_MAX: Duration = Duration::from_millis(1_000);

/// Outcome of sending a request to a target once.
pub(super) enum SendOutcome {
    /// The target answered and didn't refuse.
    Answered(Box<Answer>, InFlight),
    /// The request didn't reach the target.
    Unreached,
    /// No target can be reached, neither directly nor through another instance.
    NoPath,
    /// The request certainly hasn't run there.
    NotRun {
        /// Whether the target doesn't hold the adapter.
        missing_adapter: bool,
    },
    /// The outcome is unknown: the request may have run there.
    Unknown,
}

impl SendOutcome {
    /// Returns the label of this outcome in metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            SendOutcome::Answered(answer, _) if answer.status.is_server_error() => "failed",
            SendOutcome::Answered(..) => "answered",
            SendOutcome::Unreached => "unreached",
            SendOutcome::NoPath => "no_path",
            SendOutcome::NotRun { .. } => "not_run",
            SendOutcome::Unknown => "in_doubt",
        }
    }
}

impl ActiveRequest {
    /// Chooses a second target that keeps a copy of the run's KV cache.
    ///
    /// Failure: an engine crashes in the middle of a live draft that must not be run
    /// again, and its caller sees the stream break off. With a copy of the KV cache at
    /// another holder of the adapter the same run continues there. The transfers are
    /// worthwhile only for long answers; a stream that can be resumed computes the prompt
    /// again instead.
    pub(super) fn choose_backup(&self, target: &str) -> Option<Backup> {
        let fit = self.route.kind == Kind::Stream { resumable: false };
        if !fit || self.adapter.is_empty() || self.max_answer_tokens < BACKUP_MIN_TOKENS {
            return None;
        }
        let view = self.state.view();
        view.backup(self.state.now(), &self.service, &self.adapter, target)
    }

    /// Discards the copy unless the answer comes from the weights that it was chosen for.
    pub(super) fn confirm_backup(&mut self, answer: &Answer) {
        let Some(backup) = &self.backup else {
            return;
        };
        if !self.same_weights(backup, answer) {
            self.log_unused_backup(backup, Unused::Weights);
            self.backup = None;
        }
    }

    /// Discards the copy if the weights change within `events`, which are complete: a KV
    /// cache that was computed with several weights is useless. The first line of an
    /// event at which they change says so.
    pub(in crate::entry) fn check_weights(&mut self, events: &[u8]) {
        let Some(backup) = &self.backup else {
            return;
        };
        let name = self
            .state
            .platform
            .header_names
            .weights_version
            .as_str()
            .as_bytes();
        let mut lines = events.split(|b| *b == b'\n');
        let changes =
            lines.any(|line| line.strip_prefix(name).is_some_and(|l| l.starts_with(b":")));
        if changes {
            self.log_unused_backup(backup, Unused::Weights);
            self.backup = None;
        }
    }

    /// Returns whether an answer names the weights that the copied KV cache was computed
    /// with.
    fn same_weights(&self, backup: &Backup, answer: &Answer) -> bool {
        let weights = &self.state.platform.header_names.weights_version;
        let weights = headers::text(&answer.headers, weights);
        weights.is_some_and(|weights| weights.parse() == Ok(backup.origin.weights))
    }

    /// Continues a broken run from the copy of its KV cache at another target.
    pub(super) async fn restore(&mut self, last: &str) -> Option<(Answer, InFlight)> {
        let backup = self.backup.clone()?;
        if let Err(unused) = self.may_restore(&backup) {
            self.log_unused_backup(&backup, unused);
            return None;
        }
        if self.permit(&backup.target).await.is_err() {
            self.log_unused_backup(&backup, Unused::Limited);
            return None;
        }
        let sent = self.send_once(&backup.target, Some(last), true).await;
        self.backup = None;
        match sent {
            SendOutcome::Answered(answer, in_flight) if self.same_weights(&backup, &answer) => {
                Some((*answer, in_flight))
            }
            SendOutcome::Answered(..) => {
                self.log_unused_backup(&backup, Unused::Weights);
                None
            }
            SendOutcome::Unreached
            | SendOutcome::NoPath
            | SendOutcome::NotRun { .. }
            | SendOutcome::Unknown => {
                self.log_attempt(&backup.target, sent.label());
                None
            }
        }
    }

    /// Checks that the run may continue from its copy.
    ///
    /// Failure: engines that started at different times hold different weights, and an
    /// adapter is replaced while a run continues elsewhere. A KV cache that is read under
    /// other versions than it was computed with gives a wrong answer that looks complete.
    /// The engine checks the version of the adapter alone. Weights change when an engine
    /// restarts, possibly under the same id; it can be used only after its model and the
    /// adapter have been loaded, and a zone owner that was heard from lately has reported
    /// the new incarnation before that.
    fn may_restore(&self, backup: &Backup) -> Result<(), Unused> {
        if self.stream.software() != Some(&backup.software) {
            return Err(Unused::Software);
        }
        if Instant::now() >= self.deadline {
            return Err(Unused::Deadline);
        }
        let now = self.state.now();
        let heard = self.state.controls.zones(now);
        let view = self.state.view();
        view.check_restore(now, &self.adapter, backup)?;
        let zone = view.zone_of(&backup.target).unwrap_or_default();
        if !heard.iter().any(|own| own == zone) {
            return Err(Unused::Silent);
        }
        drop(view);
        if !self.state.try_retry(&self.service) {
            return Err(Unused::Repeats);
        }
        Ok(())
    }

    fn log_unused_backup(&self, backup: &Backup, unused: Unused) {
        event!(
            telemetry::Event::BackupUnused,
            request = self.id,
            adapter = self.adapter,
            target = backup.target,
            weights = backup.origin.weights,
            version = backup.origin.version,
            why = format!("{unused:?}")
        );
    }

    /// Sends the request to a target and waits for the answer, until the deadline at most.
    async fn send_once(&self, target: &str, last: Option<&str>, restored: bool) -> SendOutcome {
        let Some(mut sending) = self.begin(target, last, restored) else {
            return SendOutcome::Unreached;
        };
        let result = sending.ended().await;
        self.outcome(sending.in_flight, result)
    }

    /// Begins to send the request to a target, unless that is no longer known.
    pub(super) fn begin(
        &self,
        target: &str,
        last: Option<&str>,
        restored: bool,
    ) -> Option<Sending> {
        let state = &self.state;
        let send = self.build_send(target, last, restored)?;
        let in_flight = InFlight::begin(state, target, &self.adapter, self.prompt_tokens);
        limits::note_sent(state, target);
        let client = state.client.clone();
        Some(Sending {
            in_flight,
            silent_at: self.silent_at(),
            hedge_at: self.hedge_at(last),
            is_extra: false,
            until: self.deadline,
            answer: async move { client.send(send).await }.boxed(),
        })
    }

    /// Returns when a target that a request is sent to now counts as silent, so that another
    /// one is tried; none if no other one may be.
    fn silent_at(&self) -> Option<Instant> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let patience = left.mul_f64(HEAD_TIMEOUT_PART);
        self.may_retry().then(|| Instant::now() + patience)
    }

    /// Notes what came of a send.
    pub(super) fn outcome(
        &self,
        mut in_flight: InFlight,
        result: Result<Answer, Broken>,
    ) -> SendOutcome {
        let state = &self.state;
        let names = &state.platform.header_names;
        let answer = match result {
            Ok(answer) => answer,
            Err(broken) => return self.unanswered(&in_flight, &broken),
        };
        let target = in_flight.id.clone();
        // Failure: a target sends a second or late answer where the answer to the next
        // request is due, and another caller would get it. Each answer repeats the id of
        // its request.
        let own = headers::text(&answer.headers, &names.request_id);
        if own.is_some_and(|id| id != self.id) {
            base::hit!(answer_of_another);
            event!(
                telemetry::Event::WrongAdapter,
                request = self.id,
                target = target
            );
            state.view().outcome(state.now(), &target, false);
            return SendOutcome::Unknown;
        }
        let signed = signs::check(answer.status, &answer.headers, (names, &self.id));
        if let Err(missing) = signed {
            self.log_unsigned(&target, missing);
            state.view().outcome(state.now(), &target, false);
            return SendOutcome::Unknown;
        }
        // A refusal as misdirected may come from another target.
        if answer.status != StatusCode::MISDIRECTED_REQUEST {
            limits::note_answer(state, &target, &answer.headers);
            rests::note_answer(state, &target, answer.status, &answer.headers);
        }
        if refused(answer.status, &answer.headers, names) {
            return self.refused(&target, &answer);
        }
        in_flight.answer_begun();
        state.view().answer_started(&target, &self.adapter);
        let good = !answer.status.is_server_error();
        state.view().outcome(state.now(), &target, good);
        if good {
            let (tokens, took) = (self.prompt_tokens, in_flight.ran());
            let mut hedging = state.hedging();
            hedging.answered(state.now(), &self.route, tokens, took);
        }
        SendOutcome::Answered(Box::new(answer), in_flight)
    }

    /// Notes a send that ended without an answer.
    fn unanswered(&self, in_flight: &InFlight, broken: &Broken) -> SendOutcome {
        let may_have_run = broken.verdict != Verdict::NotRun;
        if broken.cause == Cause::NoPath && !may_have_run {
            return SendOutcome::NoPath;
        }
        if broken.cause == Cause::Withdrawn && !may_have_run {
            return SendOutcome::Unreached;
        }
        if matches!(broken.cause, Cause::FirstByte | Cause::Deadline) {
            self.log_silent_head(in_flight);
        }
        if let Cause::Malformed(fault) = broken.cause {
            self.log_malformed(in_flight, fault);
        }
        let now = self.state.now();
        if may_have_run && broken.is_cut() {
            self.state.view().answer_lost(now, &in_flight.id);
            self.note_broken(in_flight, broken);
        } else {
            self.state.view().unreachable(now, &in_flight.id);
        }
        if may_have_run {
            SendOutcome::Unknown
        } else {
            SendOutcome::Unreached
        }
    }

    fn log_unsigned(&self, target: &str, missing: signs::Missing) {
        base::hit!(unsigned_answer);
        prom_metrics().bad_answer(missing.as_str());
        event!(
            telemetry::Event::AnswerUnsigned,
            request = self.id,
            target = target,
            missing = missing.as_str()
        );
    }

    fn log_malformed(&self, in_flight: &InFlight, fault: HeadFault) {
        prom_metrics().bad_answer(fault.rule.as_str());
        event!(
            telemetry::Event::AnswerMalformed,
            request = self.id,
            target = in_flight.id,
            rule = fault.rule.as_str(),
            at = fault.at
        );
    }

    pub(super) fn log_silent_head(&self, in_flight: &InFlight) {
        event!(
            telemetry::Event::TargetSilent,
            request = self.id,
            target = in_flight.id,
            phase = "head",
            silent_ms = millis(in_flight.ran())
        );
    }

    fn refused(&self, target: &str, answer: &Answer) -> SendOutcome {
        let mut view = self.state.view();
        let now = self.state.now();
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            view.adapter_missing(now, target, &self.adapter);
            return SendOutcome::NotRun {
                missing_adapter: !self.adapter.is_empty(),
            };
        }
        view.no_room(now, target);
        view.adapter_not_ready(now, target, &self.adapter, REFUSED_PAUSE);
        SendOutcome::NotRun {
            missing_adapter: false,
        }
    }

    fn build_send(&self, target: &str, last: Option<&str>, restored: bool) -> Option<Send> {
        let names = &self.state.platform.header_names;
        let (addr, version, backup) = {
            let view = self.state.view();
            let addr: SocketAddr = view.addr(target)?.parse().ok()?;
            let backup = self.backup.as_ref();
            let kept = backup.and_then(|backup| view.addr(&backup.target));
            let version = backup.map(|backup| backup.origin.version);
            let version = version.or_else(|| view.version(&self.adapter));
            (addr, version, kept.map(str::to_owned))
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut headers = self.headers.clone();
        headers::set_number(&mut headers, &names.deadline, millis(left).max(1));
        headers.insert(names.target.clone(), web::header_value(target));
        if !self.adapter.is_empty() {
            let priority = u64::from(self.route.priority.min(9));
            headers::set_number(&mut headers, &names.priority, priority);
            if let Some(version) = version {
                headers::set_number(&mut headers, &names.adapter_version, version.into());
            }
        }
        if restored {
            let from = format!("{addr}/{}", self.id);
            headers.insert(names.cache_source.clone(), web::header_value(&from));
        } else if let Some(backup) = &backup {
            headers.insert(names.cache_backup.clone(), web::header_value(backup));
        }
        if let Some(last) = last {
            headers.insert(names.last_event.clone(), web::header_value(last));
        }
        let mut send = Send::new(addr, self.method.clone(), self.path.clone());
        send.headers = headers;
        send.body = self.body.clone();
        send.ending = Ending::Framed;
        send.label.clone_from(&self.id);
        send.mark = if self.route.kind == Kind::Safe {
            Mark::Repeatable
        } else {
            Mark::Once
        };
        send.limits = limits_within(left);
        send.checks = self.checks(target);
        Some(send)
    }

    /// Returns what is checked just before the request is written to `target`: whether that
    /// still takes requests and hasn't asked for rest, and for a repeat on another connection whether the budget allows
    /// it.
    fn checks(&self, target: &str) -> Checks {
        let (state, id) = (Arc::clone(&self.state), target.to_owned());
        let write = Check::new(move || state.view().may_write(state.now(), &id));
        let (state, service) = (Arc::clone(&self.state), self.service.clone());
        let repeat = Check::new(move || state.try_retry(&service));
        Checks { write, repeat }
    }
}

/// Returns the limits of a send. A target that is silent is left only once another one has
/// answered.
fn limits_within(left: Duration) -> Limits {
    Limits {
        connect: CONNECT_TIMEOUT.min(left),
        reuse: REUSE_IDLE_MAX,
        hedge: left,
        ..Limits::within(left)
    }
}
