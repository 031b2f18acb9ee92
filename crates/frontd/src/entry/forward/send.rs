//! Sending a request to a target, and what came of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Mark;
use gateway::{
    table::Kind,
    view::{Backup, Unused},
};
use hyper::StatusCode;
use telemetry::event;
use tokio::time::{Instant, timeout_at};
use web::client::{Answer, Broken, Cause, Ending, Limits, Send};

use super::{Job, REFUSED_PAUSE, millis};
use crate::entry::{answer::refused, headers, state::State};

/// Fewest tokens of an answer for which a copy of its run's memory is kept:
/// about half a second of a stream.
const BACKUP_LEAST: u64 = 100;

/// How long a connection may take to stand: two zones are some milliseconds
/// apart, and a lost packet is sent again after a second.
const CONNECT: Duration = Duration::from_millis(400);

/// Part of the time left after which a repeatable request without any answer
/// is sent to another target.
const SILENT_PART: f64 = 0.4;

/// How long a stream that can be resumed may be silent. Its events come some
/// tens of milliseconds apart.
const STREAM_SILENT: Duration = Duration::from_millis(1_500);

/// Youngest connections only are used again; see the pool.
const REUSE: Duration = Duration::from_millis(1_000);

/// A request under way at a target; counted until it is dropped.
pub(in crate::entry) struct Place {
    state: Arc<State>,
    pub(in crate::entry) id: String,
    adapter: String,
    /// Prompt tokens that the target hasn't read yet.
    unread: u64,
    /// All that it had to read when the request was sent.
    ahead: u64,
    sent: Instant,
}

impl Place {
    /// Notes that the answer has begun, so the prompt is read.
    fn begun(&mut self) {
        let tokens = std::mem::take(&mut self.unread);
        let mut view = self.state.view();
        view.read(&self.id, tokens);
        view.answered(&self.id, self.ahead, self.sent.elapsed());
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut view = self.state.view();
        view.read(&self.id, self.unread);
        view.end(&self.id, &self.adapter);
    }
}

/// What came of one send.
pub(super) enum Sent {
    /// It answered, and didn't refuse.
    Answer(Box<Answer>, Place),
    /// Nothing of it reached the target.
    Unreached,
    /// It certainly has not run there.
    NotRun {
        /// Whether it lacks the adapter.
        lacks: bool,
    },
    /// It may have run there.
    InDoubt,
}

impl Sent {
    /// Returns its name in metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Sent::Answer(answer, _) if answer.status.is_server_error() => "failed",
            Sent::Answer(..) => "answered",
            Sent::Unreached => "unreached",
            Sent::NotRun { .. } => "not_run",
            Sent::InDoubt => "in_doubt",
        }
    }
}

impl Job {
    /// Chooses where the memory of a run is kept as well.
    ///
    /// Failure: an engine crashes in the middle of a live draft that can't be
    /// run again, and its caller sees it break off. With the run's memory at
    /// another holder of the adapter it goes on there as the same run. Worth its
    /// transfers only for long answers; those that can be resumed are simply
    /// read anew.
    pub(super) fn choose_backup(&self, target: &str) -> Option<Backup> {
        let fit = self.route.kind == Kind::Stream { resumable: false };
        if !fit || self.adapter.is_empty() || self.answer_tokens < BACKUP_LEAST {
            return None;
        }
        let view = self.state.view();
        view.backup(self.state.now(), &self.service, &self.adapter, target)
    }

    /// Forgets the copy unless the answer comes from the weights that it was chosen for.
    pub(super) fn confirm_backup(&mut self, answer: &Answer) {
        let Some(backup) = &self.backup else {
            return;
        };
        if !self.made_with(backup, answer) {
            self.note_unused(backup, Unused::Weights);
            self.backup = None;
        }
    }

    /// Takes whole events of the answer. Memory that was made with several weights has no
    /// use: an event at which they change says so in its first line.
    pub(in crate::entry) fn note_events(&mut self, events: &[u8]) {
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
            self.note_unused(backup, Unused::Weights);
            self.backup = None;
        }
    }

    /// Tells whether an answer names the weights that a copy's memory was made with.
    fn made_with(&self, backup: &Backup, answer: &Answer) -> bool {
        let weights = &self.state.platform.header_names.weights_version;
        let weights = headers::text(&answer.headers, weights);
        weights.is_some_and(|weights| weights.parse() == Ok(backup.origin.weights))
    }

    /// Goes on with a broken run from its memory at another target.
    pub(super) async fn restore(&mut self, last: &str) -> Option<(Answer, Place)> {
        let backup = self.backup.clone()?;
        if let Err(unused) = self.may_restore(&backup) {
            self.note_unused(&backup, unused);
            return None;
        }
        let sent = self.send(&backup.target, Some(last), true).await;
        self.backup = None;
        match sent {
            Sent::Answer(answer, place) if self.made_with(&backup, &answer) => {
                Some((*answer, place))
            }
            Sent::Answer(..) => {
                self.note_unused(&backup, Unused::Weights);
                None
            }
            Sent::Unreached | Sent::NotRun { .. } | Sent::InDoubt => {
                self.note_attempt(&backup.target, sent.label());
                None
            }
        }
    }

    /// Checks that the run may go on from its copy.
    ///
    /// Failure: engines that started at different times hold different weights, and an
    /// adapter is replaced while a run goes on elsewhere. Memory read under other
    /// versions than it was made with gives a wrong answer that looks whole. An engine
    /// checks the version of the adapter alone. Weights change when it starts again,
    /// possibly under its old id; it is of use only after a load of its model and one of
    /// the adapter, and an owner that is heard has told of its new life before.
    fn may_restore(&self, backup: &Backup) -> Result<(), Unused> {
        if Instant::now() >= self.until {
            return Err(Unused::Deadline);
        }
        let now = self.state.now();
        let heard = self.state.sources.zones(now);
        let view = self.state.view();
        view.restores(now, &self.adapter, backup)?;
        let zone = view.zone_of(&backup.target).unwrap_or_default();
        if !heard.iter().any(|own| own == zone) {
            return Err(Unused::Silent);
        }
        drop(view);
        if !self.state.repeat(&self.service) {
            return Err(Unused::Repeats);
        }
        Ok(())
    }

    fn note_unused(&self, backup: &Backup, unused: Unused) {
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

    pub(super) async fn send(&self, target: &str, last: Option<&str>, restored: bool) -> Sent {
        let state = &self.state;
        let names = &state.platform.header_names;
        let Some(send) = self.request(target, last, restored) else {
            return Sent::Unreached;
        };
        let ahead = state.view().begin(target, &self.adapter, self.tokens);
        let mut place = Place {
            state: Arc::clone(state),
            id: target.to_owned(),
            adapter: self.adapter.clone(),
            unread: self.tokens,
            ahead,
            sent: Instant::now(),
        };
        let until = self.until;
        let sent = match timeout_at(until, state.client.send(send)).await {
            Ok(sent) => sent,
            Err(_) => {
                state.view().unreachable(state.now(), target);
                return Sent::InDoubt;
            }
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(broken) => return self.unanswered(target, &broken),
        };
        // Failure: a target sends a second answer, or a late one, where the
        // next one is due. It would reach another caller. Each answer repeats
        // the id of its request.
        let own = headers::text(&answer.headers, &names.request_id);
        if own.is_some_and(|id| id != self.id) {
            base::hit!(answer_of_another);
            event!(
                telemetry::Event::WrongAdapter,
                request = self.id,
                target = target
            );
            state.view().outcome(state.now(), target, false);
            return Sent::InDoubt;
        }
        if refused(answer.status, &answer.headers, names) {
            return self.refused(target, &answer);
        }
        place.begun();
        state.view().used(target, &self.adapter);
        let good = !answer.status.is_server_error();
        state.view().outcome(state.now(), target, good);
        Sent::Answer(Box::new(answer), place)
    }

    /// Notes a send that ended without an answer.
    fn unanswered(&self, target: &str, broken: &Broken) -> Sent {
        let ran = broken.verdict != base::Verdict::NotRun;
        let now = self.state.now();
        if ran && matches!(broken.cause, Cause::Cut(_)) {
            self.state.view().broke_off(now, target);
        } else {
            self.state.view().unreachable(now, target);
        }
        if ran { Sent::InDoubt } else { Sent::Unreached }
    }

    fn refused(&self, target: &str, answer: &Answer) -> Sent {
        let mut view = self.state.view();
        let now = self.state.now();
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            view.lacks(now, target, &self.adapter);
            return Sent::NotRun {
                lacks: !self.adapter.is_empty(),
            };
        }
        view.not_yet(now, target, &self.adapter, REFUSED_PAUSE);
        Sent::NotRun { lacks: false }
    }

    fn request(&self, target: &str, last: Option<&str>, restored: bool) -> Option<Send> {
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
        let left = self.until.saturating_duration_since(Instant::now());
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
        send.mark = if self.route.kind == Kind::Safe {
            Mark::Repeatable
        } else {
            Mark::Once
        };
        send.limits = self.limits(left);
        Some(send)
    }

    fn limits(&self, left: Duration) -> Limits {
        let again = self.may_run_again() && self.ran + 1 < self.route.attempts;
        let silent = match self.route.kind {
            Kind::Stream { resumable: true } if again => STREAM_SILENT,
            _ => left,
        };
        let first = if again {
            left.mul_f64(SILENT_PART)
        } else {
            left
        };
        Limits {
            connect: CONNECT.min(left),
            first,
            idle: silent,
            whole: left,
            reuse: REUSE,
            hedge: left,
        }
    }
}
