//! The body of an answer, piece by piece, from target to caller.
//!
//! Dropping it closes the connection to the target, so a caller that leaves
//! frees the target at once.

use anyhow::anyhow;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use telemetry::{event, prom_metrics};
use web::{body::Body, client::Answer};

use super::{
    forward::{Job, Place},
    heads,
};

/// Bytes of one event at most; beyond it a stream is passed on as it comes and
/// can't be resumed any more.
const EVENT_MAX: usize = 1 << 20;

/// An answer on its way to the caller.
pub(super) struct Relay {
    job: Job,
    answer: Answer,
    place: Place,
    resume: Option<Resume>,
    over: bool,
}

/// What is known of a stream that may be resumed.
#[derive(Debug, Default)]
pub(super) struct Resume {
    /// The id of the last whole event.
    last: Option<String>,
    /// Bytes of an event that isn't whole yet.
    rest: BytesMut,
}

impl Resume {
    /// Takes a piece and returns the whole events that it completes.
    ///
    /// Failure: a target stops in the middle of an event. Had its part been
    /// passed on, the caller would see it joined to the whole event of the next
    /// target. Only whole events leave here.
    fn push(&mut self, piece: &[u8]) -> Bytes {
        let from = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(piece);
        let Some(end) = end_of_events(&self.rest, from) else {
            return Bytes::new();
        };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }
}

/// Returns the end of the last whole event; an empty line ends one.
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
    pub(super) fn new(job: Job, answer: Answer, place: Place, resume: Option<Resume>) -> Self {
        Relay {
            job,
            answer,
            place,
            resume,
            over: false,
        }
    }

    pub(super) fn into_body(self) -> Body {
        let pieces = futures::stream::unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece.map(Frame::data), relay))
        });
        StreamBody::new(pieces.boxed()).boxed_unsync()
    }

    async fn next(&mut self) -> Option<anyhow::Result<Bytes>> {
        loop {
            if self.over {
                return None;
            }
            let piece = match self.answer.next().await {
                None => {
                    self.over = true;
                    let resume = self.resume.take()?;
                    let rest = resume.rest.freeze();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Some(Ok(piece)) => piece,
                Some(Err(broken)) => {
                    if self.go_on().await {
                        continue;
                    }
                    self.over = true;
                    prom_metrics().request("broken_off");
                    event!(
                        telemetry::Event::RequestFailed,
                        request = self.job.id,
                        adapter = self.job.adapter,
                        target = self.place.id,
                        how = broken.to_string()
                    );
                    return Some(Err(anyhow!("the target broke off")));
                }
            };
            let Some(resume) = &mut self.resume else {
                return Some(Ok(piece));
            };
            let whole = resume.push(&piece);
            if resume.rest.len() > EVENT_MAX {
                self.resume = None;
                return Some(Err(anyhow!("an event is too long")));
            }
            if !whole.is_empty() {
                self.job.note_events(&whole);
                return Some(Ok(whole));
            }
        }
    }

    /// Resumes a broken stream at another target; returns whether it goes on.
    async fn go_on(&mut self) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        let now = self.job.state.now();
        let state = std::sync::Arc::clone(&self.job.state);
        state.view().outcome(now, &self.place.id, false);
        self.job.leave(&self.place.id);
        resume.rest.clear();
        let last = resume.last.clone();
        let Some((answer, place)) = self.job.elsewhere(last.as_deref()).await else {
            return false;
        };
        if !answer.status.is_success() {
            return false;
        }
        event!(
            telemetry::Event::StreamResumed,
            request = self.job.id,
            adapter = self.job.adapter,
            from = self.place.id,
            target = place.id,
            from_weights = self.weights(&self.answer),
            weights = self.weights(&answer)
        );
        self.answer = answer;
        self.place = place;
        true
    }

    /// Returns the version of the weights that an answer names.
    fn weights<'a>(&self, answer: &'a Answer) -> &'a str {
        let weights = &self.job.state.outside.dialect.weights;
        heads::text(&answer.headers, weights).unwrap_or_default()
    }
}
