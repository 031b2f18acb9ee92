//! Relays the body of an answer from target to caller.
//!
//! Dropping a [`Relay`] closes the connection to the target, so that a caller that
//! disconnects frees the target at once.

mod events;

use std::{pin::pin, sync::Arc, time::Duration};

use anyhow::anyhow;
use base::Verdict;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::Frame,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use telemetry::{event, prom_metrics};
use tokio::{task::yield_now, time::Instant};
use web::{
    body::{Body, end_with_connection},
    client::{Answer, Broken, Cause, Framing, Read},
};

pub(super) use self::events::Events;
use super::{
    forward::{ActiveRequest, InFlight},
    headers,
};

/// An answer that is being relayed to its caller.
pub(super) struct Relay {
    request: ActiveRequest,
    answer: Answer,
    in_flight: InFlight,
    /// Progress of the events, if the answer is a stream.
    events: Option<Events>,
    /// Whether a broken stream may go on at another target.
    resumable: bool,
    /// Whether the caller will see by a length or a last chunk that the answer is complete.
    framed: bool,
    /// Bytes that the present target has sent.
    bytes: usize,
    /// Since when a piece is waited for, if one is.
    waiting_from: Option<Instant>,
    /// The longest wait for a piece.
    longest_wait: Duration,
    ended: bool,
}

/// How the answer of one target ended.
enum End {
    Complete,
    /// The connection broke or fell silent, or the framing shows that bytes are missing.
    Broken(Broken),
    /// A stream ended within an event.
    WithinEvent,
    /// An event is larger than any that is held back, has no end, or found no room.
    Oversized,
    /// The connection was closed in order, and nothing shows that the answer is complete.
    Unconfirmed,
}

impl End {
    /// Returns the value of the metrics label.
    fn as_str(&self) -> &'static str {
        match self {
            End::Complete => "complete",
            End::Broken(broken) if broken.is_cut() => "cut",
            End::Broken(Broken {
                cause: Cause::NoRoom,
                ..
            }) => "no_room",
            End::Broken(_) => "silent",
            End::WithinEvent => "within_event",
            End::Oversized => "oversized",
            End::Unconfirmed => "unconfirmed",
        }
    }

    /// Returns the text for the log.
    fn reason(&self) -> String {
        match self {
            End::Broken(broken) => broken.to_string(),
            other => other.as_str().to_owned(),
        }
    }
}

impl Relay {
    pub(super) fn new(
        request: ActiveRequest,
        answer: Answer,
        in_flight: InFlight,
        resumable: bool,
    ) -> Self {
        let streams = request.streams(&answer);
        let events = streams.then(|| Events::new(request.state.client.held_back()));
        Relay {
            resumable: resumable && events.is_some(),
            framed: answer.framing() != Framing::Connection,
            events,
            request,
            answer,
            in_flight,
            bytes: 0,
            waiting_from: None,
            longest_wait: Duration::ZERO,
            ended: false,
        }
    }

    /// Returns the response to the caller. Its end says no more than the target's.
    pub(super) fn into_response(mut self) -> Response<Body> {
        self.note_end_if_read();
        let (status, framed) = (self.answer.status, self.framed);
        let mut headers = headers::to_caller(&self.answer.headers);
        if self.resumable {
            // The rest of another run may have another length.
            headers.remove(CONTENT_LENGTH);
        }
        let mut resp = Response::new(self.into_body());
        *resp.status_mut() = status;
        *resp.headers_mut() = headers;
        if !framed {
            end_with_connection(&mut resp);
        }
        resp
    }

    fn into_body(self) -> Body {
        let chunks = futures::stream::unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk.map(Frame::data), relay))
        });
        StreamBody::new(chunks.boxed()).boxed_unsync()
    }

    pub(super) async fn next(&mut self) -> Option<anyhow::Result<Bytes>> {
        while !self.ended {
            let end = match self.read().await {
                Read::Piece(chunk) => {
                    self.bytes += chunk.len();
                    self.note_wait();
                    match self.pass(chunk) {
                        Some(passed) if passed.is_empty() => continue,
                        Some(passed) => {
                            self.note_end_if_read();
                            return Some(Ok(passed));
                        }
                        None => End::Oversized,
                    }
                }
                Read::Broken(broken) if broken.cause == Cause::NoRoom && !self.resumable => {
                    let parts = self.events.as_mut().map(Events::take_partial);
                    return parts.map(Ok);
                }
                Read::Broken(broken) => End::Broken(broken),
                Read::End => self.end_in_order().await,
                Read::Silent => continue,
            };
            self.note_end(&end);
            if matches!(end, End::Complete) {
                self.ended = true;
                let rest = self.events.as_mut().map(Events::take_partial);
                return rest.filter(|rest| !rest.is_empty()).map(Ok);
            }
            // Boxed, as few streams break and each would hold the space for it.
            if !Box::pin(self.resume_elsewhere()).await {
                self.ended = true;
                self.log_broken_off(&end);
                // The server writes what it has only while the body is pending.
                yield_now().await;
                return Some(Err(anyhow!("the target broke off its answer")));
            }
        }
        None
    }

    /// Notes the end of an answer of which nothing is left to be read and nothing is held back.
    ///
    /// Failure: the server asks for no more of a body whose length it has written, and for
    /// nothing of one without content. An end that is noted only when more is asked for would
    /// never be noted, and what the answer says for its request and target would be lost.
    fn note_end_if_read(&mut self) {
        let holds_back = self.events.as_ref().is_some_and(Events::holds_back);
        if holds_back || !self.answer.is_read() {
            return;
        }
        self.ended = true;
        let end = match self.ends_within_event() {
            true => End::WithinEvent,
            false => End::Complete,
        };
        self.note_end(&end);
    }

    /// Reads from the present target, or from another one that has taken over while this one
    /// said nothing.
    async fn read(&mut self) -> Read {
        self.waiting_from.get_or_insert_with(Instant::now);
        let silent_at = self.silent_at();
        let given_up = self.events.as_ref().and_then(Events::given_up);
        let read = match given_up {
            None => self.answer.next_by(silent_at).await,
            // Boxed, as few streams hold back much and each would hold the space for it.
            Some(given_up) => {
                let next = self.answer.next_by(silent_at);
                Box::pin(unless_given_up(next, given_up)).await
            }
        };
        match read {
            // Boxed, as few targets are silent and each stream would hold the space for it.
            Read::Silent => Box::pin(self.outlast()).await,
            read => read,
        }
    }

    /// Returns when the present target counts as silent, so that another one is tried; none if
    /// no other one may be.
    fn silent_at(&self) -> Option<Instant> {
        if !self.resumable || !self.request.may_retry() {
            return None;
        }
        let state = &self.request.state;
        let patience = state
            .silences()
            .patience(state.now(), &self.request.service);
        Some(Instant::now() + patience)
    }

    /// Returns for how long the present target has said nothing.
    fn silence(&self) -> Duration {
        self.waiting_from.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Notes how long the piece that has come was waited for.
    fn note_wait(&mut self) {
        let wait = self.silence();
        self.waiting_from = None;
        if wait <= self.longest_wait {
            return;
        }
        self.longest_wait = wait;
        let state = &self.request.state;
        state
            .silences()
            .ended(state.now(), &self.request.service, wait);
    }

    /// Has the stream go on at another target, unless the present one says something before
    /// that has answered.
    async fn outlast(&mut self) -> Read {
        self.log_silent();
        let target = self.in_flight.id.clone();
        let state = Arc::clone(&self.request.state);
        state.view().outcome(state.now(), &target, false);
        self.request.avoid(&target);
        let last = self.last_event().map(str::to_owned);
        let within = self.events.as_ref().is_some_and(Events::is_within);
        let mut ended = Read::Silent;
        let moved = {
            let mut moving = pin!(self.request.continue_elsewhere(last.as_deref()));
            tokio::select! {
                biased;
                read = self.answer.next_by(None) => {
                    ended = read;
                    let incomplete = within && ended == Read::End;
                    match incomplete || matches!(ended, Read::Broken(_)) {
                        // The other target may have the request by now.
                        true => moving.await,
                        false => None,
                    }
                }
                moved = &mut moving => moved,
            }
        };
        match moved {
            Some((answer, in_flight)) if answer.status.is_success() => {
                self.note_left(ended);
                self.go_on_at(answer, in_flight, false);
                Read::Silent
            }
            _ => {
                self.request.stay_at(&target);
                ended
            }
        }
    }

    /// Notes that another target has taken over from a silent one; `ended` is what that has
    /// said last.
    fn note_left(&mut self, ended: Read) {
        match ended {
            Read::Broken(broken) => self.note_end(&End::Broken(broken)),
            Read::End => self.note_end(&End::WithinEvent),
            Read::Piece(_) | Read::Silent => {
                prom_metrics().answer_ended(self.answer.framing().as_str(), "silent");
            }
        }
    }

    /// Returns what of a chunk can be passed on; none if it belongs to an event that is too large
    /// to be held back.
    fn pass(&mut self, chunk: Bytes) -> Option<Bytes> {
        let Some(events) = &mut self.events else {
            return Some(chunk);
        };
        let complete = events.push(chunk, self.resumable).ok()?;
        if !complete.is_empty() {
            self.request.note_events(&self.in_flight);
        }
        self.request.note_writing(&self.in_flight);
        self.request.check_weights(&complete);
        Some(complete)
    }

    /// Finds out what it means that the target has ended its answer in order.
    async fn end_in_order(&self) -> End {
        if self.ends_within_event() {
            return End::WithinEvent;
        }
        if self.answer.framing() != Framing::Connection {
            return End::Complete;
        }
        if self.events.is_some() && self.bytes == 0 {
            // A run makes at least one event.
            return End::Unconfirmed;
        }
        if !self.framed {
            return End::Complete;
        }
        // The caller was promised a last chunk, which this target doesn't send.
        if self.request.still_runs(&self.in_flight).await {
            End::Complete
        } else {
            End::Unconfirmed
        }
    }

    /// Returns whether an answer that ends here ends within an event.
    fn ends_within_event(&self) -> bool {
        let within = self.events.as_ref().is_some_and(Events::is_within);
        within && self.consists_of_events()
    }

    /// Returns whether the answer is known to consist of events. One without a content type on
    /// a route for streams may have another content, if its framing shows it to be complete.
    fn consists_of_events(&self) -> bool {
        let says = self.answer.headers.contains_key(CONTENT_TYPE);
        says || self.answer.framing() == Framing::Connection
    }

    /// Notes the end of an answer, and what follows for its target.
    fn note_end(&self, end: &End) {
        let framing = self.answer.framing();
        prom_metrics().answer_ended(framing.as_str(), end.as_str());
        if self.events.is_some() {
            prom_metrics().longest_wait(self.longest_wait);
        }
        if matches!(end, End::Complete) {
            self.note_run();
        }
        match end {
            End::Complete => {
                let clears = quarantine::clears(self.answer.status.as_u16());
                match framing {
                    Framing::Connection => self.request.note_closed(&self.in_flight, clears),
                    _ if clears => self.request.note_answered(&self.in_flight),
                    _ => {}
                }
            }
            End::Broken(broken) => {
                match broken.cause {
                    Cause::Deadline => self.log_silent(),
                    Cause::HiddenChunks => prom_metrics().bad_answer("hidden_chunks"),
                    _ => {}
                }
                self.request.note_broken(&self.in_flight, broken);
            }
            End::Unconfirmed => self.request.note_cut(&self.in_flight),
            End::Oversized => {
                let state = &self.request.state;
                state.view().outcome(state.now(), &self.in_flight.id, false);
            }
            End::WithinEvent => {
                self.request.note_cut(&self.in_flight);
                event!(
                    telemetry::Event::StreamCutShort,
                    request = self.request.id,
                    target = self.in_flight.id,
                    framing = framing.as_str(),
                    bytes = self.bytes,
                    last = self.last_event().unwrap_or_default()
                );
            }
        }
    }

    /// Notes for how long the request has run, which is answered in full.
    fn note_run(&self) {
        if self.answer.status.is_success() {
            let state = &self.request.state;
            state.note_run(&self.request.route.name, self.in_flight.ran());
        }
    }

    fn log_silent(&self) {
        event!(
            telemetry::Event::TargetSilent,
            request = self.request.id,
            target = self.in_flight.id,
            phase = "body",
            silent_ms = self.silence().as_millis(),
            last = self.last_event().unwrap_or_default()
        );
    }

    fn log_broken_off(&self, end: &End) {
        prom_metrics().request("broken_off");
        event!(
            telemetry::Event::RequestFailed,
            request = self.request.id,
            adapter = self.request.adapter,
            target = self.in_flight.id,
            how = end.reason(),
            framing = self.answer.framing().as_str(),
            bytes = self.bytes,
            silent_ms = self.silence().as_millis(),
            last = self.last_event().unwrap_or_default()
        );
    }

    /// Returns the id of the last event that was passed on.
    fn last_event(&self) -> Option<&str> {
        self.events.as_ref()?.last()
    }

    /// Resumes a broken stream at another target, and returns whether it was resumed.
    async fn resume_elsewhere(&mut self) -> bool {
        let Some(events) = self.events.as_ref().filter(|_| self.resumable) else {
            return false;
        };
        let now = self.request.state.now();
        let state = Arc::clone(&self.request.state);
        state.view().outcome(now, &self.in_flight.id, false);
        self.request.avoid(&self.in_flight.id);
        let last = events.last().map(str::to_owned);
        let copy = last.is_some() && self.request.backup.is_some();
        let Some((answer, in_flight)) = self.request.continue_elsewhere(last.as_deref()).await
        else {
            return false;
        };
        if !answer.status.is_success() {
            return false;
        }
        self.go_on_at(answer, in_flight, copy);
        true
    }

    /// Goes on with the answer of another target, after the last complete event; `copy` says
    /// whether that has a copy of the run's KV cache.
    fn go_on_at(&mut self, answer: Answer, in_flight: InFlight, copy: bool) {
        if let Some(events) = &mut self.events {
            events.drop_partial();
        }
        event!(
            telemetry::Event::StreamResumed,
            request = self.request.id,
            adapter = self.request.adapter,
            from = self.in_flight.id,
            target = in_flight.id,
            copy = copy,
            began_at = self.request.began_at(),
            software = in_flight
                .software()
                .map(|s| s.to_string())
                .unwrap_or_default(),
            from_weights = self.weights(&self.answer),
            weights = self.weights(&answer)
        );
        self.answer = answer;
        self.in_flight = in_flight;
        self.bytes = 0;
        self.waiting_from = None;
    }

    /// Returns the version of the weights that an answer was computed with, as its
    /// headers say.
    fn weights<'a>(&self, answer: &'a Answer) -> &'a str {
        let weights = &self.request.state.platform.header_names.weights_version;
        headers::text(&answer.headers, weights).unwrap_or_default()
    }
}

/// Reads, unless what is held back of the answer is given up for others.
async fn unless_given_up(
    read: impl Future<Output = Read>,
    given_up: impl Future<Output = ()>,
) -> Read {
    tokio::select! {
        biased;
        read = read => read,
        () = given_up => Read::Broken(Broken {
            verdict: Verdict::MayHaveRun,
            cause: Cause::NoRoom,
        }),
    }
}
