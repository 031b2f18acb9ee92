//! The client side: a link to one peer, which reconnects after a call failed or timed out.

use std::{sync::Arc, time::Duration};

use base::{InstanceName, Verdict};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Request, StatusCode, client::conn::http1, header, upgrade::Upgraded};
use hyper_util::rt::TokioIo;
use tarpc::client::RpcError;
use thiserror::Error;
use tokio::{net::TcpStream, sync::Mutex, time::Instant};
use web::{
    client::{AwaitedHead, Checked},
    timeout::{MAX_EXTENSION, answer_by},
    tunnel::switches_to,
};
use wire::call::{Call, Reply};

use crate::rpc::{CallerClient, PATH, PROTOCOL, transport};

/// Time limit for one attempt to connect: long enough for two round trips between regions
/// and a peer that is busy starting. All calls on the link wait for the attempt.
///
/// A machine without power drops the first packet (SYN) of a connection, and the kernel
/// sends it again only after one second. With a longer limit, the instance that restarts
/// first after a common loss of power is still waiting for that when the others are up,
/// which left the replicated log without a leader for another half second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Most bytes that are buffered of a peer's answer to the upgrade, which has a head of some
/// hundred, and of calls that follow it in the same read.
const HEAD_BUFFER_MAX: usize = 16 << 10;

/// Why a call got no reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be made, so nothing was sent.
    #[error("can't reach the peer: {0}")]
    Connect(String),
    /// No reply arrived within the time limit.
    #[error("no reply in time")]
    Timeout,
    /// The connection broke before the reply arrived.
    #[error("the connection broke: {0}")]
    Broken(String),
}

impl CallError {
    /// Returns whether the peer may have carried out the call.
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

/// The connection in use.
#[derive(Debug, Default)]
struct Slot {
    /// Number of the connection on this link, counted from 1.
    serial: u64,
    client: Option<CallerClient>,
}

impl Link {
    /// Creates a link from the instance `from` to the peer at `address` (IP and port). It
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

    /// Makes one call and waits at most `limit` for the reply, including the time to
    /// connect.
    ///
    /// # Errors
    ///
    /// Fails if no reply arrives in time; [`CallError::verdict`] tells whether the call
    /// may have been carried out.
    pub async fn call(&self, call: Call, limit: Duration) -> Result<Reply, CallError> {
        let deadline = Instant::now() + limit;
        let Some(connected) = answer_by(deadline, self.client()).await else {
            return Err(CallError::Connect("no connection in time".to_owned()));
        };
        let (serial, client) = connected?;
        let mut context = tarpc::context::current();
        context.deadline = (deadline + MAX_EXTENSION).into_std();
        let reply = client.call(context, self.inner.from.clone(), call);
        match answer_by(deadline, reply).await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(err)) => Err(self.fail(serial, err).await),
            None => Err(self.fail(serial, RpcError::DeadlineExceeded).await),
        }
    }

    /// Drops the connection `serial` after a call on it failed, and returns the call's
    /// error.
    ///
    /// A middlebox between the two processes may have dropped the state of the
    /// connection: every call on it would then time out, while a new connection works. A
    /// connection on which one call timed out is therefore not used again. A newer
    /// connection that another call has made meanwhile stays in use.
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

    /// Returns the connection and its number; connects if there is none.
    async fn client(&self) -> Result<(u64, CallerClient), CallError> {
        let mut slot = self.inner.slot.lock().await;
        if let Some(client) = &slot.client {
            return Ok((slot.serial, client.clone()));
        }
        let until = Instant::now() + CONNECT_TIMEOUT;
        let connected = answer_by(until, Box::pin(connect(&self.inner.address))).await;
        let connected = connected.unwrap_or_else(|| Err(anyhow::anyhow!("no answer in time")));
        let io = connected.map_err(|err| CallError::Connect(format!("{err:#}")))?;
        let client = CallerClient::new(
            tarpc::client::Config::default(),
            transport(TokioIo::new(io)),
        )
        .spawn();
        slot.serial += 1;
        slot.client = Some(client.clone());
        Ok((slot.serial, client))
    }
}

async fn connect(address: &str) -> anyhow::Result<Upgraded> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let stream = Checked::new(stream, AwaitedHead::new(web::client::Upgrade::Asked));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_BUFFER_MAX);
    let (mut sender, conn) = builder.handshake(TokioIo::new(stream)).await?;
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
    anyhow::ensure!(
        switches_to(answer.headers(), PROTOCOL),
        "the peer speaks another protocol"
    );
    Ok(hyper::upgrade::on(answer).await?)
}
