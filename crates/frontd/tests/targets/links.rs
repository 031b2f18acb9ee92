//! The links of one entry instance to all engines, which can be cut. A proxy stands before
//! each engine.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::{sleep, timeout},
};

/// Connections that fill the queue of a listener on which nothing is accepted.
const FILLING: usize = 8;

/// State of the links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Everything passes.
    #[default]
    No,
    /// Connections go silent, and new ones aren't established.
    Hangs,
    /// Connections are reset, and new ones are refused.
    Resets,
    /// Connections live on, and new ones are refused.
    RefusesNew,
}

/// The links of one entry instance.
#[derive(Debug)]
pub(crate) struct Links {
    state: watch::Sender<Cut>,
    /// Bound but not listening, so that no other listener gets the port.
    refusing: TcpSocket,
    /// Where no connection is established.
    hanging: SocketAddr,
    proxies: Mutex<BTreeMap<SocketAddr, SocketAddr>>,
}

impl Links {
    pub(crate) async fn new() -> Arc<Links> {
        Arc::new(Links {
            state: watch::Sender::default(),
            refusing: refusing(),
            hanging: hanging().await,
            proxies: Mutex::default(),
        })
    }

    /// Cuts or restores all links.
    pub(crate) fn set(&self, cut: Cut) {
        self.state.send_replace(cut);
    }

    /// Returns the address at which the instance finds the engine that listens at `engine`.
    pub(crate) fn address(&self, engine: SocketAddr) -> SocketAddr {
        match *self.state.borrow() {
            // A proxy would accept connections to an engine that is down.
            Cut::No if listens(engine) => self.proxy(engine),
            Cut::No => self.refusing(),
            Cut::Hangs => self.hanging,
            Cut::Resets | Cut::RefusesNew => self.refusing(),
        }
    }

    /// Returns where nothing listens.
    fn refusing(&self) -> SocketAddr {
        self.refusing.local_addr().unwrap()
    }

    fn proxy(&self, engine: SocketAddr) -> SocketAddr {
        let mut proxies = self.proxies.lock().unwrap();
        *proxies.entry(engine).or_insert_with(|| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            listener.set_nonblocking(true).unwrap();
            let addr = listener.local_addr().unwrap();
            tokio::spawn(serve(listener, engine, self.state.subscribe()));
            addr
        })
    }
}

async fn serve(listener: std::net::TcpListener, engine: SocketAddr, state: watch::Receiver<Cut>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let (near, _) = listener.accept().await.unwrap();
        tokio::spawn(forward_both(near, engine, state.clone()));
    }
}

async fn forward_both(mut near: TcpStream, engine: SocketAddr, state: watch::Receiver<Cut>) {
    // An engine that is down refuses the connection.
    let Ok(mut far) = TcpStream::connect(engine).await else {
        near.set_zero_linger().unwrap();
        return;
    };
    let mut reset = state.clone();
    let passed = async {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::try_join!(
            forward(near_read, far_write, state.clone()),
            forward(far_read, near_write, state),
        )
    };
    let was_reset = tokio::select! {
        _ = reset.wait_for(|cut| *cut == Cut::Resets) => true,
        ends = passed => ends.is_err(),
    };
    if was_reset {
        near.set_zero_linger().unwrap();
        far.set_zero_linger().unwrap();
    }
}

/// The connection to one end was reset.
struct WasReset;

/// Passes bytes on until `from` has closed its end.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<Cut>,
) -> Result<(), WasReset> {
    let mut chunk = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut chunk).await;
        if state.wait_for(|cut| *cut != Cut::Hangs).await.is_err() {
            return Ok(());
        }
        match read {
            Ok(0) => {
                // Either end may be gone already.
                to.shutdown().await.ok();
                return Ok(());
            }
            Ok(n) => to.write_all(&chunk[..n]).await.map_err(|_| WasReset)?,
            Err(_) => return Err(WasReset),
        }
    }
}

fn listens(engine: SocketAddr) -> bool {
    std::net::TcpStream::connect_timeout(&engine, Duration::from_millis(50)).is_ok()
}

fn refusing() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Opens a listener whose queue is full, so that the first packet of each further connection
/// is dropped.
async fn hanging() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let filling: Vec<_> = (0..FILLING)
            .map(|_| tokio::spawn(TcpStream::connect(addr)))
            .collect();
        std::future::pending::<()>().await;
        drop((listener, filling));
    });
    while timeout(Duration::from_millis(30), TcpStream::connect(addr))
        .await
        .is_ok()
    {
        sleep(Duration::from_millis(10)).await;
    }
    addr
}
