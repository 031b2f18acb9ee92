//! Sends one request and knows, whatever fails, whether it may have run.
//!
//! Nothing here waits for the kernel to notice a dead peer: each wait has its
//! own limit, and a connection that was left in doubt is closed, never reused.

mod answer;
mod broken;
mod link;
mod pool;

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use base::{Mark, Verdict};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, body::Incoming, header};
use tokio::time::{Instant, sleep, timeout_at};

pub use self::{
    answer::Answer,
    broken::{Broken, Cause},
};
use self::{link::Link, pool::Pool};

/// How long each part of an exchange may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Until the connection stands.
    pub connect: Duration,
    /// From the connection to the head of the answer.
    pub first: Duration,
    /// Between two pieces of the answer.
    pub idle: Duration,
    /// The whole exchange.
    pub whole: Duration,
    /// How long a connection may have lain idle and still be used again; zero
    /// for a new connection each time.
    pub reuse: Duration,
    /// How long a repeatable request waits for the head on a reused connection
    /// before it is sent on a new one as well. Requests whose head is slow by
    /// nature (whole completions) set [`Limits::reuse`] to zero instead.
    pub hedge: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            // A zone is a millisecond away: a second is a lost SYN and a half.
            connect: Duration::from_millis(1_500),
            first: Duration::from_secs(30),
            idle: Duration::from_secs(10),
            whole: Duration::from_secs(300),
            // A middlebox forgets connections after minutes, not seconds.
            reuse: Duration::from_secs(2),
            hedge: Duration::from_millis(300),
        }
    }
}

impl Limits {
    /// Lets the whole exchange, and so each part of it, take `limit`.
    #[must_use]
    pub fn within(limit: Duration) -> Self {
        Limits {
            connect: limit,
            first: limit,
            idle: limit,
            whole: limit,
            ..Limits::default()
        }
    }
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct Send {
    /// Where to.
    pub addr: SocketAddr,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Its headers; `host` is added where it is missing.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// How long each part may take.
    pub limits: Limits,
    /// Whether it may be sent twice.
    pub mark: Mark,
    /// What shows that its answer is whole.
    pub ending: Ending,
}

/// What shows that an answer is whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ending {
    /// Its length or last chunk, and for a stream of events `[DONE]`.
    #[default]
    Marked,
    /// Whatever HTTP itself takes for the end: also a connection closed in
    /// order, where the answer has neither length nor chunks.
    Framed,
}

impl Send {
    /// Makes a repeatable request without headers and body.
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

/// Sends requests; cheap to clone, all clones share one pool.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Fails when no head comes. The verdict is `not run` only when no byte
    /// of the request was handed to any socket.
    pub async fn send(&self, send: Send) -> Result<Answer, Broken> {
        let end = Instant::now() + send.limits.whole;
        let Some(link) = self.reusable(&send).await else {
            return self.fresh(&send, end).await;
        };
        self.reused(link, &send, end).await
    }

    /// Takes an idle connection, where the request may travel on one.
    ///
    /// A kept connection may be dead without anybody knowing. A marked request
    /// that vanishes on one could not be sent again, so it always gets a new
    /// one.
    async fn reusable(&self, send: &Send) -> Option<Link> {
        if send.mark == Mark::Once {
            base::hit!(marked_gets_new_connection);
            return None;
        }
        self.pool.take(send.addr, send.limits.reuse).await
    }

    async fn fresh(&self, send: &Send, end: Instant) -> Result<Answer, Broken> {
        let until = end.min(Instant::now() + send.limits.connect);
        let link = Link::connect(send.addr, until).await?;
        self.exchange(link, send, end).await
    }

    /// Sends on a reused connection, and on a new one as soon as the first
    /// fails or stays silent.
    async fn reused(&self, link: Link, send: &Send, end: Instant) -> Result<Answer, Broken> {
        let mut old = pin!(self.exchange(link, send, end));
        // Failure: something between the two ends forgot the idle connection.
        // It shows as silence after the send. The limit is far below what a
        // caller notices, and the request is repeatable.
        let first = tokio::select! {
            res = &mut old => Some(res),
            () = sleep(send.limits.hedge) => None,
        };
        if let Some(res) = first {
            let Err(lost) = res else { return res };
            if Instant::now() >= end {
                return Err(lost);
            }
            base::hit!(closed_pooled_connection);
            return self.fresh(send, end).await.map_err(|b| b.after(&lost));
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
        let until = end.min(Instant::now() + send.limits.first);
        let resp = match timeout_at(until, link.send(req)).await {
            Ok(Ok(resp)) => resp,
            Ok(Err(err)) => return Err(link.broken(Cause::Cut(err.to_string()))),
            Err(_) if until == end => return Err(link.broken(Cause::Deadline)),
            Err(_) => return Err(link.broken(Cause::FirstByte)),
        };
        Ok(self.answer(link, resp, send, end))
    }

    fn answer(&self, link: Link, resp: Response<Incoming>, send: &Send, end: Instant) -> Answer {
        let home = (Arc::clone(&self.pool), send.addr);
        let head = send.method == Method::HEAD;
        let head = (head, send.ending);
        Answer::new(resp, link, home, head, send.limits.idle, end)
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
