//! HTTP client that knows for each failed request whether it may have run.
//!
//! Each step has a timeout of its own instead of relying on the kernel to notice a dead
//! peer. A connection in an unknown state is closed, never reused.

mod answer;
mod broken;
mod checked;
mod checks;
mod dial;
mod head;
mod link;
mod pool;
mod unframed;

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use base::{Mark, Verdict};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, body::Incoming, header};
use tokio::time::Instant;

use self::{answer::ReadBy, link::Link, pool::Pool};
pub use self::{
    answer::{Answer, Framing, Read, is_json},
    broken::{Broken, Cause},
    checked::{AwaitedHead, Checked},
    checks::{Check, Checks},
    dial::{Connect, DialFn, Dialed, Dialer, Stream, direct},
    head::{HeadFault, HeadReader, HeadRule, Upgrade},
};
use crate::{
    memory::{HeldBack, Memory},
    timeout::{answer_by, passed},
};

/// Timeouts for the steps of an exchange (a request and its answer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time to establish the connection.
    pub connect: Duration,
    /// Time from the established connection to the head of the answer.
    pub first: Duration,
    /// Time between two pieces of the answer's body.
    pub idle: Duration,
    /// Time for the complete exchange.
    pub total: Duration,
    /// Longest idle time after which a pooled connection is reused; zero for a new
    /// connection each time.
    pub reuse: Duration,
    /// Time that a repeatable request waits for the head on a reused connection before
    /// it is also sent on a new one. Requests whose head always takes long
    /// (completions that are not streamed) set [`Limits::reuse`] to zero instead.
    pub hedge: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            // The round trip between zones takes a millisecond, and a lost SYN is sent
            // again after a second: time for one lost SYN and half a second more.
            connect: Duration::from_millis(1_500),
            first: Duration::from_secs(30),
            idle: Duration::from_secs(10),
            total: Duration::from_secs(300),
            // Middleboxes drop the state of idle connections after minutes, not seconds.
            reuse: Duration::from_secs(2),
            hedge: Duration::from_millis(300),
        }
    }
}

impl Limits {
    /// Returns limits that allow `limit` for the complete exchange and for each of its
    /// steps.
    #[must_use]
    pub fn within(limit: Duration) -> Self {
        Limits {
            connect: limit,
            first: limit,
            idle: limit,
            total: limit,
            ..Limits::default()
        }
    }
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct Send {
    /// Address of the server.
    pub addr: SocketAddr,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Its headers; `host` is added if it is missing.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Timeouts.
    pub limits: Limits,
    /// Whether it may be sent more than once.
    pub mark: Mark,
    /// How the end of a complete answer is recognised.
    pub ending: Ending,
    /// Names the request in logs.
    pub label: String,
    /// What is checked just before it is written.
    pub checks: Checks,
}

/// How the end of a complete answer is recognised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ending {
    /// By the rules of HTTP/1.1, and by `[DONE]` in event streams.
    #[default]
    Explicit,
    /// By the rules of HTTP/1.1 alone.
    Framed,
}

impl Send {
    /// Creates a repeatable request without headers and body.
    pub fn new(addr: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Send {
            addr,
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            limits: Limits::default(),
            mark: Mark::Repeatable,
            ending: Ending::default(),
            label: String::new(),
            checks: Checks::default(),
        }
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, Broken> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.path.parse().map_err(|_| Broken::bad_request())?;
        *req.headers_mut() = self.headers.clone();
        if !req.headers().contains_key(header::HOST) {
            let host = self.addr.to_string().parse();
            let host = host.map_err(|_| Broken::bad_request())?;
            req.headers_mut().insert(header::HOST, host);
        }
        Ok(req)
    }
}

/// Sends requests. Clones are cheap and share one connection pool.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pool: Arc<Pool>,
    dialer: Dialer,
    memory: Memory,
}

impl Client {
    /// Creates a client whose connections are made by `dialer`.
    #[must_use]
    pub fn new(dialer: Dialer) -> Self {
        Client {
            dialer,
            ..Client::default()
        }
    }

    /// Has what is held back of all answers be taken from `memory`.
    #[must_use]
    pub fn with_memory(self, memory: Memory) -> Self {
        Client { memory, ..self }
    }

    /// Returns what holds back parts of an answer.
    #[must_use]
    pub fn held_back(&self) -> HeldBack {
        HeldBack::new(&self.memory)
    }

    /// Closes all idle connections.
    pub fn forget_connections(&self) {
        self.pool.forget_all();
    }

    /// Sends a request and returns once the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails when no head arrives. The verdict is "not run" only if no byte of the
    /// request was written to any socket.
    pub async fn send(&self, send: Send) -> Result<Answer, Broken> {
        let end = Instant::now() + send.limits.total;
        let Some(link) = self.reusable(&send).await else {
            return self.fresh(&send, end).await;
        };
        self.reused(link, &send, end).await
    }

    /// Takes an idle connection from the pool, if the request may use one.
    ///
    /// An idle connection may be dead without either end having noticed. A marked
    /// request that is lost on one could not be sent again, so marked requests always
    /// get a new connection.
    async fn reusable(&self, send: &Send) -> Option<Link> {
        if send.mark == Mark::Once {
            base::hit!(marked_gets_new_connection);
            return None;
        }
        self.pool.take(send.addr, send.limits.reuse).await
    }

    async fn fresh(&self, send: &Send, end: Instant) -> Result<Answer, Broken> {
        let until = end.min(Instant::now() + send.limits.connect);
        let connect = Connect {
            addr: send.addr,
            until,
            end,
            label: send.label.clone(),
        };
        let dialed = self.dialer.dial(connect).await.map_err(Broken::unsent)?;
        let link = Link::over(dialed).await?;
        self.exchange(link, send, end).await
    }

    /// Sends the request on a reused connection, and also on a new one if the reused one
    /// fails or gives no answer within [`Limits::hedge`].
    async fn reused(&self, link: Link, send: &Send, end: Instant) -> Result<Answer, Broken> {
        let mut old = pin!(self.exchange(link, send, end));
        // A middlebox may have dropped the state of the idle connection, in which case
        // no answer ever arrives. The hedge delay is far below what a caller notices,
        // and sending twice is allowed since the request is repeatable.
        let first = tokio::select! {
            res = &mut old => Some(res),
            () = passed(Instant::now() + send.limits.hedge) => None,
        };
        if let Some(res) = first {
            let Err(lost) = res else { return res };
            if Instant::now() >= end {
                return Err(lost);
            }
            if lost.verdict != Verdict::NotRun && !send.checks.repeat.passes() {
                return Err(lost);
            }
            base::hit!(closed_pooled_connection);
            return self.fresh(send, end).await.map_err(|b| b.after(&lost));
        }
        if Instant::now() >= end || !send.checks.repeat.passes() {
            return old.await;
        }
        base::hit!(silent_pooled_connection);
        self.pool.forget(send.addr);
        let mut new = pin!(self.fresh(send, end));
        tokio::select! {
            res = &mut old => match res {
                Ok(answer) => Ok(answer),
                Err(lost) => new.await.map_err(|b| b.after(&lost)),
            },
            res = &mut new => match res {
                Ok(answer) => Ok(answer),
                Err(lost) => old.await.map_err(|b| b.after(&lost)),
            },
        }
    }

    async fn exchange(&self, mut link: Link, send: &Send, end: Instant) -> Result<Answer, Broken> {
        let req = send.request()?;
        if !send.checks.write.passes() {
            return Err(Broken::unsent(Cause::Withdrawn));
        }
        let until = end.min(Instant::now() + send.limits.first);
        let resp = match answer_by(until, link.send(req)).await {
            Some(Ok(resp)) => resp,
            Some(Err(err)) => return Err(link.broken(Cause::Cut(err.to_string()))),
            None if until == end => return Err(link.broken(Cause::Deadline)),
            None => return Err(link.broken(Cause::FirstByte)),
        };
        Ok(self.answer(link, resp, send, end))
    }

    fn answer(&self, link: Link, resp: Response<Incoming>, send: &Send, end: Instant) -> Answer {
        let pool = (Arc::clone(&self.pool), send.addr);
        let is_head = send.method == Method::HEAD;
        let read = ReadBy {
            is_head,
            ending: send.ending,
            idle: send.limits.idle,
            deadline: end,
            held: self.held_back(),
        };
        Answer::new(resp, link, pool, read)
    }
}

impl Broken {
    fn bad_request() -> Self {
        Broken {
            verdict: Verdict::NotRun,
            cause: Cause::BadRequest,
        }
    }
}
