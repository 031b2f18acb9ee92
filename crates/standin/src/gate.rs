//! A TCP proxy that loses connections as a stateful middlebox does: present connections go
//! silent without being closed, while new ones pass. All connections can also be silent for
//! a bounded time and go on.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;
use web::{Incoming, Method, Request, Response, StatusCode, body::Body};

use crate::server::{self, Running};

/// Size of the read buffer, in bytes.
const CHUNK: usize = 16 << 10;

/// Delay before connections go silent, so that the answer to a request that came through
/// the gate itself can pass.
const SILENCE_DELAY: Duration = Duration::from_millis(50);

/// Statistics of a gate, as `GET /admin/stats` returns them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Accepted connections.
    pub connections: u64,
    /// Connections open now, including silent ones.
    pub open: u64,
}

/// Silence of a gate, as `POST /admin/silence` orders it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Silence {
    /// Duration in milliseconds, in which new connections are silent as well and after which
    /// all go on; without it the present ones are silent permanently and new ones pass.
    pub ms: Option<u64>,
}

impl Silence {
    pub(crate) fn time(self) -> Option<Duration> {
        self.ms.map(Duration::from_millis)
    }
}

/// A running gate; dropping it closes all its connections.
#[derive(Debug)]
pub struct Gate {
    /// Address that the gate listens on.
    pub addr: SocketAddr,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    target: SocketAddr,
    /// Connections up to this number are silent; they are numbered from one.
    silent: watch::Sender<u64>,
    /// Until when nothing is forwarded on any connection.
    paused: watch::Sender<Option<Instant>>,
    /// Connections up to this number are closed.
    cut: watch::Sender<u64>,
    connections: AtomicU64,
    open: AtomicU64,
    stop: CancellationToken,
}

/// Starts a gate that forwards connections from `listener` to `target`.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn open(listener: TcpListener, target: SocketAddr) -> Result<Gate> {
    let addr = listener.local_addr()?;
    let core = Arc::new(Core {
        target,
        silent: watch::Sender::new(0),
        paused: watch::Sender::default(),
        cut: watch::Sender::new(0),
        connections: AtomicU64::new(0),
        open: AtomicU64::new(0),
        stop: CancellationToken::new(),
    });
    let task = Arc::clone(&core);
    tokio::spawn(async move {
        let stop = task.stop.clone();
        stop.run_until_cancelled(task.accept(listener)).await;
    });
    Ok(Gate { addr, core })
}

/// Serves the admin interface of a gate on `listener`.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn serve_admin(listener: TcpListener, gate: &Gate) -> Result<Running> {
    let core = Arc::clone(&gate.core);
    server::run(listener, move |req| order(Arc::clone(&core), req))
}

async fn order(core: Arc<Core>, req: Request<Incoming>) -> Response<Body> {
    match (req.method() == Method::GET, req.uri().path()) {
        (true, "/admin/stats") => return server::show(&core.stats()),
        (false, "/admin/silence") => match server::body::<Silence>(req).await {
            Ok(silence) => core.silence(core.present(), silence.time()),
            Err(refused) => return refused.answer(),
        },
        (false, "/admin/cut") => core.cut(),
        _ => return server::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
    server::done()
}

impl Gate {
    /// Makes the present connections silent permanently; new ones pass.
    pub fn silence(&self) {
        self.core.silence(self.core.present(), None);
    }

    /// Makes all connections silent for `time`, those that are opened meanwhile too; then
    /// they go on, and nothing is lost.
    pub fn pause(&self, time: Duration) {
        self.core.silence(0, Some(time));
    }

    /// As [`Self::pause`], or as [`Self::silence`] without a time, but after
    /// [`SILENCE_DELAY`], so that the request to do so can be answered.
    pub(crate) fn silence_soon(&self, time: Option<Duration>) {
        let core = Arc::clone(&self.core);
        let present = core.present();
        tokio::spawn(async move {
            tokio::time::sleep(SILENCE_DELAY).await;
            core.silence(present, time);
        });
    }

    /// Closes the present connections, including silent ones.
    pub fn cut(&self) {
        self.core.cut();
    }

    /// Returns the statistics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.core.stats()
    }

    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.core.stop.clone()
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.core.stop.cancel();
    }
}

impl Core {
    /// Returns the number of the newest connection.
    fn present(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Makes all connections silent for `time`, or those up to `present` permanently.
    fn silence(&self, present: u64, time: Option<Duration>) {
        match time {
            Some(time) => {
                self.paused.send_replace(Some(Instant::now() + time));
            }
            None => {
                self.silent.send_replace(present);
            }
        }
    }

    /// Waits until connections aren't silent for a bounded time.
    async fn resumed(&self) {
        loop {
            let until = *self.paused.borrow();
            match until.filter(|&until| until > Instant::now()) {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    fn cut(&self) {
        self.cut.send_replace(self.present());
    }

    fn stats(&self) -> Stats {
        Stats {
            connections: self.connections.load(Ordering::SeqCst),
            open: self.open.load(Ordering::SeqCst),
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let id = self.connections.fetch_add(1, Ordering::SeqCst) + 1;
            let core = Arc::clone(&self);
            tokio::spawn(async move {
                core.open.fetch_add(1, Ordering::SeqCst);
                let mut cut = core.cut.subscribe();
                tokio::select! {
                    _ = core.forward(near, id) => {}
                    _ = cut.wait_for(|&cut| cut >= id) => {}
                    () = core.stop.cancelled() => {}
                }
                core.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    async fn forward(&self, near: TcpStream, id: u64) -> Result<()> {
        self.resumed().await;
        let far = TcpStream::connect(self.target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::try_join!(
            self.copy(near_read, far_write, id),
            self.copy(far_read, near_write, id),
        )?;
        Ok(())
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, id: u64) -> Result<()> {
        let mut silent = self.silent.subscribe();
        let mut chunk = vec![0; CHUNK];
        loop {
            let n = tokio::select! {
                biased;
                _ = silent.wait_for(|&silent| silent >= id) => None,
                n = from.read(&mut chunk) => Some(n),
            };
            self.resumed().await;
            let Some(n) = n.filter(|_| *silent.borrow() < id) else {
                // Both sockets stay open, but no data is forwarded any more.
                return std::future::pending().await;
            };
            let n = n?;
            if n == 0 {
                to.shutdown().await?;
                return Ok(());
            }
            to.write_all(&chunk[..n]).await?;
        }
    }
}
