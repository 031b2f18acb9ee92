//! How a client connects to a server.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
    time::{Instant, timeout_at},
};

use super::broken::Cause;

/// A connection to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connect {
    /// Address of the server.
    pub addr: SocketAddr,
    /// When the attempt is given up.
    pub until: Instant,
    /// When the exchange that needs the connection ends at the latest.
    pub end: Instant,
    /// Names the request in logs.
    pub label: String,
}

/// A connection over which HTTP can be spoken.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + fmt::Debug {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + fmt::Debug> Stream for S {}

/// A connection that was made.
#[derive(Debug)]
pub struct Dialed {
    /// The connection.
    pub stream: Box<dyn Stream>,
    /// Whether further requests may be sent on it.
    pub reusable: bool,
}

/// Makes a connection. The error is the reason why there is none.
pub type DialFn = dyn Fn(Connect) -> BoxFuture<'static, Result<Dialed, Cause>> + Send + Sync;

/// Makes the connections of a client.
#[derive(Clone)]
pub struct Dialer(Arc<DialFn>);

impl Dialer {
    /// Creates a dialer that connects by `dial`.
    pub fn new<F, Fut>(dial: F) -> Self
    where
        F: Fn(Connect) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Dialed, Cause>> + Send + 'static,
    {
        Dialer(Arc::new(move |connect| dial(connect).boxed()))
    }

    pub(super) async fn dial(&self, connect: Connect) -> Result<Dialed, Cause> {
        (self.0)(connect).await
    }
}

impl Default for Dialer {
    fn default() -> Self {
        Dialer::new(|connect: Connect| async move {
            let stream = direct(connect.addr, connect.until).await?;
            Ok(Dialed {
                stream: Box::new(stream),
                reusable: true,
            })
        })
    }
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dialer").finish_non_exhaustive()
    }
}

/// Size of the receive buffer of a connection to a target, in bytes. What of an answer its caller
/// doesn't read waits there.
const RECEIVE_BUFFER: u32 = 32 << 10;

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Where the buffer can't be bounded, the kernel's own limit holds.
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok();
    socket.connect(addr).await
}

/// Connects to `addr` until the time `until` at most.
///
/// # Errors
///
/// Fails with [`Cause::Connect`] or [`Cause::ConnectTimeout`].
pub async fn direct(addr: SocketAddr, until: Instant) -> Result<TcpStream, Cause> {
    let stream = match timeout_at(until, connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(Cause::Connect(err.to_string())),
        Err(_) => return Err(Cause::ConnectTimeout),
    };
    // Without this, small writes would wait for the peer's delayed ACK.
    let nodelay = stream.set_nodelay(true);
    nodelay.map_err(|err| Cause::Connect(err.to_string()))?;
    Ok(stream)
}

impl Connect {
    /// Returns the time that is left for the exchange.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }
}
