//! Passes bytes on between two connections.

use std::{future::pending, time::Duration};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::ReadHalf},
    time::{Instant, timeout, timeout_at},
};

use super::frames::{Frame, PIECE_MAX};

/// How long a client may take to close its connection after the server has ended its own.
const LINGER: Duration = Duration::from_secs(2);

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The client has closed its connection.
    ClientLeft,
    /// The server has closed its connection.
    ServerDone,
    /// The server's connection broke, or the time is over.
    Broken,
}

/// Which connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failed {
    Read,
    Write,
}

/// Passes bytes on between a client and a server until either closes its connection, or the
/// time `until`. `early` was received from the client already.
///
/// A client that leaves closes the server's connection at once, so that the server stops
/// working for it. What the server sends comes in frames, of which the last says that it has
/// closed its connection in order.
pub async fn splice(mut client: TcpStream, mut server: TcpStream, early: Bytes, until: Instant) {
    let end = {
        let (client_read, mut client_write) = client.split();
        let (server_read, mut server_write) = server.split();
        let up = async {
            // If the server can't be written to, its answer or its end tells the client.
            if server_write.write_all(&early).await.is_err() {
                return pending().await;
            }
            match pass(client_read, server_write).await {
                Ok(()) | Err(Failed::Read) => End::ClientLeft,
                Err(Failed::Write) => pending().await,
            }
        };
        let down = async {
            match pass_framed(server_read, &mut client_write).await {
                Ok(()) => End::ServerDone,
                Err(Failed::Read | Failed::Write) => End::Broken,
            }
        };
        let both = async {
            tokio::select! {
                end = down => end,
                end = up => end,
            }
        };
        timeout_at(until, both).await.unwrap_or(End::Broken)
    };
    match end {
        End::ClientLeft => {}
        End::ServerDone => close(client).await,
        // The socket is closed either way.
        End::Broken => drop(client.set_zero_linger()),
    }
}

/// Passes all bytes on. Ends when there are no more.
async fn pass(mut from: ReadHalf<'_>, mut to: impl AsyncWriteExt + Unpin) -> Result<(), Failed> {
    let mut chunk = vec![0; PIECE_MAX];
    loop {
        let read = from.read(&mut chunk).await.map_err(|_| Failed::Read)?;
        if read == 0 {
            return Ok(());
        }
        let written = to.write_all(&chunk[..read]).await;
        written.map_err(|_| Failed::Write)?;
    }
}

/// Passes all bytes on in frames, and then the end.
async fn pass_framed(
    mut from: ReadHalf<'_>,
    to: &mut (impl AsyncWriteExt + Unpin),
) -> Result<(), Failed> {
    let mut frame = Frame::new();
    loop {
        let read = from.read(frame.room()).await.map_err(|_| Failed::Read)?;
        let written = to.write_all(frame.of(read)).await;
        written.map_err(|_| Failed::Write)?;
        if read == 0 {
            return Ok(());
        }
    }
}

/// Closes a connection in order: while unread bytes are left, closing it would reset it, and
/// the end of the answer could be lost.
async fn close(mut client: TcpStream) {
    if client.shutdown().await.is_err() {
        return;
    }
    let mut chunk = vec![0; PIECE_MAX];
    let drained = async { while client.read(&mut chunk).await.is_ok_and(|n| n > 0) {} };
    // A client that doesn't close its connection is cut off.
    timeout(LINGER, drained).await.ok();
}
