//! Relays the body of an answer from target to caller.
//!
//! Dropping a [`Relay`] closes the connection to the target, so that a caller that
//! disconnects frees the target at once.

use anyhow::anyhow;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use gateway::table::Kind;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use telemetry::{event, prom_metrics};
use web::{
    body::Body,
    client::{Answer, Broken, Cause},
    sse::EventEnds,
};

use super::{
    forward::{ActiveRequest, InFlight},
    headers,
};

/// Largest size of one event. The first larger one ends the stream with an error: what
/// has been buffered of it isn't sent.
const EVENT_MAX: usize = 1 << 20;

/// An answer that is being relayed to its caller.
pub(super) struct Relay {
    request: ActiveRequest,
    answer: Answer,
    in_flight: InFlight,
    resume: Option<Resume>,
    /// Where the events end, if the answer is a stream.
    events: Option<EventEnds>,
    /// Bytes that the present target has sent.
    bytes: usize,
    ended: bool,
}

/// Progress of a stream that may be resumed.
#[derive(Debug, Default)]
pub(super) struct Resume {
    /// The id of the last complete event.
    last: Option<String>,
    /// Bytes of an event that is not complete yet.
    partial: BytesMut,
}

impl Resume {
    /// Takes a chunk and returns the events that it completes.
    ///
    /// Failure: a target stops in the middle of an event. If that part had been passed
    /// on, the caller would see it joined to the complete event of the next target.
    /// Therefore only complete events are returned.
    fn push(&mut self, chunk: &[u8]) -> Bytes {
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(chunk);
        let Some(end) = end_of_events(&self.partial, from) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last = Some(id);
        }
        complete
    }
}

/// Returns where the last complete event ends; an empty line ends an event.
fn end_of_events(raw: &[u8], from: usize) -> Option<usize> {
    let lf = raw[from..].windows(2).rposition(|w| w == b"\n\n");
    let crlf = raw[from..].windows(4).rposition(|w| w == b"\r\n\r\n");
    let lf = lf.map(|at| from + at + 2);
    let crlf = crlf.map(|at| from + at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    for line in lines {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(id) = line.strip_prefix(b"id:") {
            let id = std::str::from_utf8(id).ok()?;
            return Some(id.trim().to_owned());
        }
    }
    None
}

impl Relay {
    pub(super) fn new(
        request: ActiveRequest,
        answer: Answer,
        in_flight: InFlight,
        resume: Option<Resume>,
    ) -> Self {
        let streams = matches!(request.route.kind, Kind::Stream { .. });
        let events = streams && answer.status.is_success();
        Relay {
            events: events.then(EventEnds::default),
            bytes: 0,
            request,
            answer,
            in_flight,
            resume,
            ended: false,
        }
    }

    pub(super) fn into_body(self) -> Body {
        let chunks = futures::stream::unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk.map(Frame::data), relay))
        });
        StreamBody::new(chunks.boxed()).boxed_unsync()
    }

    async fn next(&mut self) -> Option<anyhow::Result<Bytes>> {
        loop {
            if self.ended {
                return None;
            }
            let chunk = match self.answer.next().await {
                None => {
                    self.ended = true;
                    self.note_end();
                    self.request.note_answered(&self.answer);
                    let resume = self.resume.take()?;
                    let partial = resume.partial.freeze();
                    return (!partial.is_empty()).then_some(Ok(partial));
                }
                Some(Ok(chunk)) => {
                    self.count(&chunk);
                    chunk
                }
                Some(Err(broken)) => {
                    self.note_break(&broken);
                    self.request.note_broken(&self.in_flight, &broken);
                    if self.resume_elsewhere().await {
                        continue;
                    }
                    self.ended = true;
                    prom_metrics().request("broken_off");
                    event!(
                        telemetry::Event::RequestFailed,
                        request = self.request.id,
                        adapter = self.request.adapter,
                        target = self.in_flight.id,
                        how = broken.to_string()
                    );
                    return Some(Err(anyhow!("the target broke off its answer")));
                }
            };
            let Some(resume) = &mut self.resume else {
                return Some(Ok(chunk));
            };
            let complete = resume.push(&chunk);
            if resume.partial.len() > EVENT_MAX {
                self.resume = None;
                return Some(Err(anyhow!(
                    "an event of the stream exceeds {EVENT_MAX} bytes"
                )));
            }
            if !complete.is_empty() {
                self.request.check_weights(&complete);
                return Some(Ok(complete));
            }
        }
    }

    fn count(&mut self, chunk: &[u8]) {
        self.bytes += chunk.len();
        if let Some(events) = &mut self.events {
            events.push(chunk);
        }
    }

    /// Returns whether the stream has stopped within an event.
    fn is_within_event(&self) -> bool {
        self.events.is_some_and(|events| events.is_within())
    }

    /// Notes how an answer ended that its framing shows to be complete, if it has one.
    fn note_end(&self) {
        let within = self.is_within_event();
        if !self.answer.is_framed() {
            prom_metrics().unframed(if within { "within_event" } else { "closed" });
        }
        if within {
            event!(
                telemetry::Event::StreamCutShort,
                request = self.request.id,
                target = self.in_flight.id,
                bytes = self.bytes,
                framed = self.answer.is_framed()
            );
        }
    }

    fn note_break(&self, broken: &Broken) {
        if !self.answer.is_framed() && matches!(broken.cause, Cause::Cut(_)) {
            prom_metrics().unframed("reset");
        }
    }

    /// Resumes a broken stream at another target, and returns whether it was resumed.
    async fn resume_elsewhere(&mut self) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        let now = self.request.state.now();
        let state = std::sync::Arc::clone(&self.request.state);
        state.view().outcome(now, &self.in_flight.id, false);
        self.request.mark_broken_off(&self.in_flight.id);
        resume.partial.clear();
        let last = resume.last.clone();
        let Some((answer, in_flight)) = self.request.continue_elsewhere(last.as_deref()).await
        else {
            return false;
        };
        if !answer.status.is_success() {
            return false;
        }
        event!(
            telemetry::Event::StreamResumed,
            request = self.request.id,
            adapter = self.request.adapter,
            from = self.in_flight.id,
            target = in_flight.id,
            from_weights = self.weights(&self.answer),
            weights = self.weights(&answer)
        );
        self.answer = answer;
        self.in_flight = in_flight;
        self.bytes = 0;
        self.events = Some(EventEnds::default());
        true
    }

    /// Returns the version of the weights that an answer was computed with, as its
    /// headers say.
    fn weights<'a>(&self, answer: &'a Answer) -> &'a str {
        let weights = &self.request.state.platform.header_names.weights_version;
        headers::text(&answer.headers, weights).unwrap_or_default()
    }
}
