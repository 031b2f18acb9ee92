//! HTTP access to control and entry instances, one after the other or all at once.

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
    outcome::{CommandError, Exit},
};

/// Largest response body that is read; a text of 48,000 adapters has 2 MB.
const BODY_MAX: usize = 64 << 20;

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The instances that a command may ask.
pub(crate) struct Remote {
    client: Client,
    addrs: Vec<SocketAddr>,
    limits: Limits,
}

/// A complete HTTP response of any status.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    /// Whether the instance states that it did not run the request.
    pub(crate) refused: bool,
    pub(crate) body: Bytes,
}

/// Says why an instance gave no complete response.
#[derive(Debug)]
pub(crate) struct NoResponse {
    /// Whether the instance may have run the request.
    pub(crate) verdict: Verdict,
    message: String,
}

impl Remote {
    /// Uses the instances that the flag `name` or its environment variable gives.
    ///
    /// # Errors
    ///
    /// Fails when neither gives any.
    pub(crate) fn new(matches: &ArgMatches, name: &str) -> Result<Self> {
        let addrs: Vec<SocketAddr> = matches
            .get_many(name)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        if addrs.is_empty() {
            let upper = name.to_uppercase();
            let message = format!("no instance to ask: give --{name} or set QUETZAL_{upper}");
            return Err(CommandError {
                exit: Exit::Usage,
                message,
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

    /// Reads `path` from the first instance that answers it with success.
    ///
    /// # Errors
    ///
    /// Fails when an instance refuses the request, or when none answers.
    pub(crate) async fn first<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut failures = Vec::new();
        for addr in &self.addrs {
            match self.read(*addr, path).await {
                Ok(value) => return Ok(value),
                Err(err) if err.exit == Exit::Refused => return Err(err.into()),
                Err(err) => failures.push(err.message),
            }
        }
        Err(unreachable(&failures).into())
    }

    /// Reads `path` from all instances at once.
    pub(crate) async fn all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(SocketAddr, Result<T, CommandError>)> {
        let reads = self
            .addrs
            .iter()
            .map(async |addr| (*addr, self.read(*addr, path).await));
        futures::future::join_all(reads).await
    }

    /// Posts `body` as JSON to one instance.
    ///
    /// # Errors
    ///
    /// Fails when no complete response comes within the time limits.
    pub(crate) async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply, NoResponse> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.send(addr, Method::POST, path, body.into()).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let error = |exit, message: String| CommandError {
            exit,
            message: format!("{addr}: {message}"),
        };
        let sent = self.send(addr, Method::GET, path, Bytes::new()).await;
        let reply = sent.map_err(|err| error(Exit::Unreachable, err.to_string()))?;
        if reply.status.is_client_error() {
            return Err(error(Exit::Refused, reply.error_text()));
        }
        if !reply.status.is_success() {
            return Err(error(Exit::Unreachable, reply.error_text()));
        }
        let parsed = serde_json::from_slice(&reply.body);
        parsed.map_err(|err| error(Exit::Unreachable, format!("answer not understood: {err}")))
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, NoResponse> {
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
        let body = answer.read_all(BODY_MAX).await?;
        Ok(Reply {
            status,
            refused,
            body,
        })
    }
}

impl Reply {
    /// Returns the status and the error message of an unsuccessful response.
    pub(crate) fn error_text(&self) -> String {
        let status = self.status.as_u16();
        match serde_json::from_slice::<ErrorBody>(&self.body) {
            Ok(body) => format!("{status} {}", body.error.message),
            Err(_) => format!("{status} {}", String::from_utf8_lossy(&self.body).trim()),
        }
    }
}

impl From<web::client::Broken> for NoResponse {
    fn from(broken: web::client::Broken) -> Self {
        NoResponse {
            verdict: broken.verdict,
            message: broken.cause.to_string(),
        }
    }
}

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

/// Returns the time limits for one instance: one that accepts a request and then
/// doesn't answer must not keep the command from asking the next one.
fn limits(matches: &ArgMatches) -> Limits {
    let seconds = matches.get_one::<u64>(TIMEOUT).copied().unwrap_or_default();
    let timeout = Duration::from_secs(seconds);
    Limits {
        connect: CONNECT_TIMEOUT.min(timeout),
        first: timeout,
        idle: timeout,
        total: timeout * 4,
        reuse: Duration::ZERO,
        hedge: Duration::ZERO,
    }
}

/// Returns the error for the case that no instance answered; `failures` says why for
/// each.
pub(crate) fn unreachable(failures: &[String]) -> CommandError {
    let message = format!("no instance answers: {}", failures.join("; "));
    CommandError {
        exit: Exit::Unreachable,
        message,
    }
}
