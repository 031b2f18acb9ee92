//! The calling end: one link to one peer, made anew whenever it goes silent.

use std::{sync::Arc, time::Duration};

use base::{InstanceName, Verdict};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Request, StatusCode, header, upgrade::Upgraded};
use hyper_util::rt::TokioIo;
use tarpc::client::RpcError;
use thiserror::Error;
use tokio::{net::TcpStream, sync::Mutex, time::Instant};
use web::timeout::{MAX_EXTENSION, answer_by};
use wire::call::{Call, Reply};

use crate::rpc::{CallerClient, PATH, PROTOCOL, transport};

/// How long one attempt at a connection may take: two round trips between
/// regions and the start of a busy process. Its calls wait for it in line.
///
/// Failure: a machine without power swallows the first packet of a connection,
/// and the system sends it again only after a second. Whoever restarts first
/// after a common loss of power then can't talk to the others when they are up:
/// the log had no leader for another half second.
const CONNECT: Duration = Duration::from_millis(250);

/// Why a call brought no reply, and whether it may have been carried out.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be made: nothing was sent.
    #[error("can't reach the peer: {0}")]
    Connect(String),
    /// No reply came in time.
    #[error("no reply in time")]
    Timeout,
    /// The connection broke before the reply.
    #[error("the connection broke: {0}")]
    Broken(String),
}

impl CallError {
    /// Tells whether the peer may have carried the call out.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Connect(_) => Verdict::NotRun,
            CallError::Timeout | CallError::Broken(_) => Verdict::MayHaveRun,
        }
    }
}

/// A link to one peer; clones share the connection.
#[derive(Clone, Debug)]
pub struct Link {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    from: InstanceName,
    address: String,
    slot: Mutex<Slot>,
}

/// The connection in use; `serial` tells it from the ones before it.
#[derive(Debug, Default)]
struct Slot {
    serial: u64,
    client: Option<CallerClient>,
}

impl Link {
    /// Makes a link from `from` to the peer at `address` (IP and port); it
    /// connects at the first call.
    #[must_use]
    pub fn new(from: InstanceName, address: String) -> Self {
        let slot = Mutex::default();
        Link {
            inner: Arc::new(Inner {
                from,
                address,
                slot,
            }),
        }
    }

    /// Returns the peer's address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.inner.address
    }

    /// Makes one call and waits at most `limit` for the reply, the time for a
    /// new connection included.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says whether the call may have been
    /// carried out.
    pub async fn call(&self, call: Call, limit: Duration) -> Result<Reply, CallError> {
        let until = Instant::now() + limit;
        let (serial, client) = match tokio::time::timeout(limit, self.client()).await {
            Ok(found) => found?,
            Err(_) => return Err(CallError::Connect("no connection in time".to_owned())),
        };
        let mut context = tarpc::context::current();
        context.deadline = (until + MAX_EXTENSION).into_std();
        let reply = client.call(context, self.inner.from.clone(), call);
        match answer_by(until, reply).await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(err)) => Err(self.fail(serial, err).await),
            None => Err(self.fail(serial, RpcError::DeadlineExceeded).await),
        }
    }

    /// Drops the connection after a failure.
    ///
    /// Something between the two ends may have lost track of the connection:
    /// calls on it would then time out for ever while a new one works. A
    /// connection that let one call time out is therefore not used again; one
    /// that another call has made since is kept.
    async fn fail(&self, serial: u64, err: RpcError) -> CallError {
        let mut slot = self.inner.slot.lock().await;
        if slot.serial == serial {
            slot.client = None;
        }
        drop(slot);
        match err {
            RpcError::DeadlineExceeded => CallError::Timeout,
            other => CallError::Broken(other.to_string()),
        }
    }

    async fn client(&self) -> Result<(u64, CallerClient), CallError> {
        let mut slot = self.inner.slot.lock().await;
        if let Some(client) = &slot.client {
            return Ok((slot.serial, client.clone()));
        }
        let connected = tokio::time::timeout(CONNECT, connect(&self.inner.address)).await;
        let connected = connected.unwrap_or_else(|_| Err(anyhow::anyhow!("no answer in time")));
        let io = connected.map_err(|err| CallError::Connect(format!("{err:#}")))?;
        let client = CallerClient::new(tarpc::client::Config::default(), transport(io)).spawn();
        slot.serial += 1;
        slot.client = Some(client.clone());
        Ok((slot.serial, client))
    }
}

async fn connect(address: &str) -> anyhow::Result<Upgraded> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn.with_upgrades());
    let req = Request::get(PATH)
        .header(header::HOST, address)
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, PROTOCOL)
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(req).await?;
    anyhow::ensure!(
        answer.status() == StatusCode::SWITCHING_PROTOCOLS,
        "the peer answered {} to the upgrade",
        answer.status()
    );
    Ok(hyper::upgrade::on(answer).await?)
}
