//! Control and entry instances, asked one after the other or all at once.

use std::{fmt, net::SocketAddr, time::Duration};

use anyhow::Result;
use base::Verdict;
use bytes::Bytes;
use clap::ArgMatches;
use serde::{Serialize, de::DeserializeOwned};
use web::{
    HeaderMap, Method, StatusCode,
    client::{Client, Limits, Send},
    header_value,
    reply::ErrorBody,
};

use crate::{
    args::TIMEOUT,
    outcome::{Exit, Stop},
};

/// Largest answer that is read: a text of 48,000 adapters has 2 MB.
const ANSWER_MOST: usize = 64 << 20;

/// Longest time for a connection to stand.
const CONNECT: Duration = Duration::from_millis(1_500);

/// Instances that may be asked.
pub(crate) struct Remote {
    client: Client,
    addrs: Vec<SocketAddr>,
    limits: Limits,
}

/// An answer, whatever its status.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    /// Whether the instance says that nothing was done.
    pub(crate) refused: bool,
    pub(crate) body: Bytes,
}

/// Why an instance gave no answer.
#[derive(Debug)]
pub(crate) struct Lost {
    pub(crate) verdict: Verdict,
    what: String,
}

impl Remote {
    /// Takes the instances that the flag `name` or its variable gives.
    pub(crate) fn new(matches: &ArgMatches, name: &str) -> Result<Self> {
        let addrs: Vec<SocketAddr> = matches
            .get_many(name)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        if addrs.is_empty() {
            let upper = name.to_uppercase();
            let what = format!("no instance to ask: give --{name} or set QUETZAL_{upper}");
            return Err(Stop {
                exit: Exit::Usage,
                what,
            }
            .into());
        }
        Ok(Remote {
            client: Client::default(),
            addrs,
            limits: limits(matches),
        })
    }

    pub(crate) fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Reads `path` from the first instance that answers it well.
    ///
    /// # Errors
    ///
    /// Fails when an instance refuses the question, or when none answers.
    pub(crate) async fn first<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut lost = Vec::new();
        for addr in &self.addrs {
            match self.read(*addr, path).await {
                Ok(value) => return Ok(value),
                Err(stop) if stop.exit == Exit::Refused => return Err(stop.into()),
                Err(stop) => lost.push(stop.what),
            }
        }
        Err(unreachable(&lost).into())
    }

    /// Reads `path` from all instances at once.
    pub(crate) async fn all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(SocketAddr, Result<T, Stop>)> {
        let reads = self
            .addrs
            .iter()
            .map(async |addr| (*addr, self.read(*addr, path).await));
        futures::future::join_all(reads).await
    }

    /// Sends `body` to one instance.
    pub(crate) async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply, Lost> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.send(addr, Method::POST, path, body.into()).await
    }

    async fn read<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T, Stop> {
        let stop = |exit, what: String| Stop {
            exit,
            what: format!("{addr}: {what}"),
        };
        let sent = self.send(addr, Method::GET, path, Bytes::new()).await;
        let reply = sent.map_err(|lost| stop(Exit::Unreachable, lost.to_string()))?;
        if reply.status.is_client_error() {
            return Err(stop(Exit::Refused, reply.said()));
        }
        if !reply.status.is_success() {
            return Err(stop(Exit::Unreachable, reply.said()));
        }
        let parsed = serde_json::from_slice(&reply.body);
        parsed.map_err(|err| stop(Exit::Unreachable, format!("answer not understood: {err}")))
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, Lost> {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", header_value("application/json"));
        let send = Send {
            headers,
            body,
            limits: self.limits,
            ..Send::new(addr, method, path)
        };
        let answer = self.client.send(send).await?;
        let (status, refused) = (answer.status, answer.refused());
        let body = answer.whole(ANSWER_MOST).await?;
        Ok(Reply {
            status,
            refused,
            body,
        })
    }
}

impl Reply {
    /// Returns what an instance said that didn't answer well.
    pub(crate) fn said(&self) -> String {
        let status = self.status.as_u16();
        match serde_json::from_slice::<ErrorBody>(&self.body) {
            Ok(body) => format!("{status} {}", body.error.message),
            Err(_) => format!("{status} {}", String::from_utf8_lossy(&self.body).trim()),
        }
    }
}

impl From<web::client::Broken> for Lost {
    fn from(broken: web::client::Broken) -> Self {
        Lost {
            verdict: broken.verdict,
            what: broken.cause.to_string(),
        }
    }
}

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.what)
    }
}

/// Returns how long one instance may take: an instance that took a question
/// and went silent must not keep an operator from the next one.
fn limits(matches: &ArgMatches) -> Limits {
    let seconds = matches.get_one::<u64>(TIMEOUT).copied().unwrap_or_default();
    let silent = Duration::from_secs(seconds);
    Limits {
        connect: CONNECT.min(silent),
        first: silent,
        idle: silent,
        whole: silent * 4,
        reuse: Duration::ZERO,
        hedge: Duration::ZERO,
    }
}

/// Says that nobody answered, and for each why.
pub(crate) fn unreachable(lost: &[String]) -> Stop {
    let what = format!("no instance answers: {}", lost.join("; "));
    Stop {
        exit: Exit::Unreachable,
        what,
    }
}
