//! Sends one request and classifies its answer.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Result, ensure};
use base::{Mark, Verdict};
use bytes::Bytes;
use serde_json::json;
use tokio::time::{Instant, sleep};
use web::{
    Method,
    client::{Answer, Client, Limits, Send},
    header_value,
    sse::{Event, Parser},
};
use wire::header;

use super::mix::{Kind, LoadRequest};

/// Largest answer that is read, in bytes.
const BODY_MAX: usize = 1 << 20;

/// The deployment that is called, and the paths and names of its services.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) client: Client,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) key: String,
    pub(crate) assistant: String,
    pub(crate) listing: String,
    pub(crate) submit: String,
}

/// Outcome of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) kind: Kind,
    /// The name of a marked request.
    pub(crate) key: Option<String>,
    pub(crate) end: End,
    /// Time until the first token of a stream, or until any other answer was complete.
    pub(crate) first: Option<Duration>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    /// The answer is complete.
    Complete,
    /// The answer ends properly but has another number of tokens than requested.
    Short,
    /// The answer was cut off after a part of it.
    Cut,
    /// The answer was cut off after a part of it and an event that names the error.
    Broken(Verdict, String),
    /// The request failed with this verdict and reason.
    Failed(Verdict, String),
    /// Neither an answer nor a refusal came; what the client makes of it.
    Unanswered(Verdict, String),
}

impl Site {
    /// Sends a request and, if it has a resend delay, its copy to the next entry instance.
    pub(crate) async fn send(&self, request: &LoadRequest) -> Vec<Outcome> {
        let first = self.send_once(request, request.entry);
        let Some(wait) = request.resend else {
            return vec![first.await];
        };
        let second = async {
            sleep(wait).await;
            self.send_once(request, request.entry + 1).await
        };
        let (first, second) = tokio::join!(first, second);
        vec![first, second]
    }

    /// Fetches the listing page from `addr`; returns the time in microseconds.
    pub(crate) async fn list(&self, addr: SocketAddr) -> Result<u64> {
        let start = Instant::now();
        let send = self.plain(addr, Method::GET, &self.listing);
        let answer = self.client.send(send).await?;
        ensure!(
            answer.status.is_success(),
            "the listing answered {}",
            answer.status
        );
        answer.read_all(BODY_MAX).await?;
        Ok(u64::try_from(start.elapsed().as_micros())?)
    }

    async fn send_once(&self, request: &LoadRequest, entry: usize) -> Outcome {
        let addr = self.entries[entry % self.entries.len()];
        let start = Instant::now();
        let (end, first) = match self.client.send(self.request(request, addr)).await {
            Ok(answer) => self.classify(answer, request, start).await,
            Err(broken) => {
                let why = broken.reason().to_string();
                (End::Unanswered(broken.verdict, why), None)
            }
        };
        Outcome {
            kind: request.kind,
            key: (request.kind == Kind::Marked).then(|| request.name.clone()),
            end,
            first,
        }
    }

    fn request(&self, request: &LoadRequest, addr: SocketAddr) -> Send {
        match request.kind {
            Kind::Stream => self.chat(request, addr, true),
            Kind::Single => self.chat(request, addr, false),
            Kind::Listing => self.plain(addr, Method::GET, &self.listing),
            Kind::Marked => {
                let mut send = self.plain(addr, Method::POST, &self.submit);
                send.body = Bytes::from(json!({"seat": request.name}).to_string());
                let key = header_value(&request.name);
                send.headers.insert(header::IDEMPOTENCY_KEY, key);
                send
            }
        }
    }

    fn chat(&self, request: &LoadRequest, addr: SocketAddr, stream: bool) -> Send {
        let mut send = self.plain(addr, Method::POST, "/v1/chat/completions");
        let body = json!({"model": self.assistant, "stream": stream, "max_tokens": request.tokens,
            "messages": [{"role": "user", "content": request.name}]});
        send.body = Bytes::from(body.to_string());
        send
    }

    fn plain(&self, addr: SocketAddr, method: Method, path: &str) -> Send {
        let mut send = Send::new(addr, method, path);
        let bearer = header_value(&format!("Bearer {}", self.key));
        send.headers.insert("authorization", bearer);
        let json = header_value("application/json");
        send.headers.insert("content-type", json);
        // The client must not retry, so that each outcome belongs to exactly one request.
        send.mark = Mark::Once;
        send.limits = Limits {
            first: Duration::from_secs(40),
            idle: Duration::from_secs(25),
            total: Duration::from_secs(55),
            ..Limits::default()
        };
        send
    }

    async fn classify(
        &self,
        mut answer: Answer,
        request: &LoadRequest,
        start: Instant,
    ) -> (End, Option<Duration>) {
        if !answer.status.is_success() {
            let verdict = answer
                .header(header::VERDICT)
                .and_then(|raw| raw.parse().ok());
            let reason = answer.header(header::REASON).unwrap_or("no reason");
            let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
            return (End::Failed(verdict, reason.to_owned()), None);
        }
        if request.kind != Kind::Stream {
            return match answer.read_all(BODY_MAX).await {
                Ok(_) => (End::Complete, Some(start.elapsed())),
                Err(_) => (End::Cut, None),
            };
        }
        let (mut parser, mut events, mut first) = (Parser::default(), Vec::new(), None);
        while let Some(piece) = answer.next().await {
            let Ok(piece) = piece else {
                let error = events.last().and_then(Event::error);
                let named = error.map(|e| End::Broken(e.verdict, e.kind.to_string()));
                return (named.unwrap_or(End::Cut), first);
            };
            if parser.push(&piece, &mut events).is_err() {
                return (End::Cut, first);
            }
            if parser.tokens() > 0 {
                first.get_or_insert(start.elapsed());
            }
        }
        let end = if parser.tokens() == request.tokens {
            End::Complete
        } else {
            End::Short
        };
        (end, first)
    }
}
