//! Many clients at once that don't keep to the protocol's spirit: they stop short, send on, or
//! never read.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

/// A client whose bytes aren't taken for so long stops to send and stays open.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long a client waits for its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the receive buffer of a client, in bytes: what it doesn't read stays at the sender.
const RECEIVE_BUFFER: u32 = 4 << 10;

/// Size of the send buffer of a client, in bytes, so that what isn't taken shows soon.
const SEND_BUFFER: u32 = 64 << 10;

/// What one client sends.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Sent first.
    pub head: Bytes,
    /// How long the client waits after that.
    pub pause: Duration,
    /// Sent once after the pause.
    pub lead: Bytes,
    /// Sent again and again.
    pub piece: Bytes,
    /// How often the piece is sent.
    pub count: usize,
    /// Sent last.
    pub tail: Bytes,
}

impl Script {
    /// Sends `head` only.
    #[must_use]
    pub fn only(head: impl Into<Bytes>) -> Script {
        Script {
            head: head.into(),
            ..Script::default()
        }
    }

    /// Sends `head` and then a body of `length` bytes in pieces of `size` bytes.
    #[must_use]
    pub fn body(head: impl Into<Bytes>, length: usize, size: usize) -> Script {
        Script {
            head: head.into(),
            piece: vec![b'b'; size].into(),
            count: length / size,
            tail: vec![b'b'; length % size].into(),
            ..Script::default()
        }
    }

    /// Sends `head` and then `count` chunks of `size` bytes, but no last chunk.
    #[must_use]
    pub fn chunks(head: impl Into<Bytes>, count: usize, size: usize) -> Script {
        let chunk = format!("{size:x}\r\n{}\r\n", "b".repeat(size));
        Script {
            head: head.into(),
            piece: chunk.into(),
            count,
            ..Script::default()
        }
    }

    /// Sends several pieces with one write, where they are small.
    #[must_use]
    pub fn batched(mut self, pieces: usize) -> Script {
        self.piece = self.piece.repeat(pieces).into();
        self.count = self.count.div_ceil(pieces);
        self
    }
}

/// Clients that stay connected until they are dropped.
#[derive(Debug, Default)]
pub struct Crowd {
    open: Vec<TcpStream>,
}

impl Crowd {
    /// Has `members` clients connect to `address` at once and send what `script` says for each.
    /// Returns once each has sent it all, was refused, or isn't read any more.
    pub async fn send(
        address: SocketAddr,
        members: usize,
        script: impl Fn(usize) -> Script,
    ) -> Crowd {
        let mut tasks = JoinSet::new();
        for member in 0..members {
            tasks.spawn(one(address, script(member)));
        }
        let mut crowd = Crowd::default();
        while let Some(ended) = tasks.join_next().await {
            crowd.open.extend(ended.ok().flatten());
        }
        crowd
    }

    /// Adds the clients of another crowd.
    pub fn join(&mut self, other: Crowd) {
        self.open.extend(other.open);
    }

    /// Returns how many clients were not refused.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether all clients were refused.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// Runs one client; none if its connection was refused or closed.
async fn one(address: SocketAddr, script: Script) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    socket.set_send_buffer_size(SEND_BUFFER).ok()?;
    let connected = timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    if !sent(&mut stream, &script.head).await? {
        return Some(stream);
    }
    sleep(script.pause).await;
    if !sent(&mut stream, &script.lead).await? {
        return Some(stream);
    }
    for _ in 0..script.count {
        if !sent(&mut stream, &script.piece).await? {
            return Some(stream);
        }
    }
    sent(&mut stream, &script.tail).await?;
    Some(stream)
}

/// Returns whether all was taken; none if the connection was closed.
async fn sent(stream: &mut TcpStream, bytes: &[u8]) -> Option<bool> {
    match timeout(PATIENCE, stream.write_all(bytes)).await {
        Ok(written) => written.ok().map(|()| true),
        Err(_) => Some(false),
    }
}
