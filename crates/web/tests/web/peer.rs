//! Peers for the tests: a target with scripted answers and a caller that writes raw bytes.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Timeout far above the duration of any step of a passing test.
pub(crate) const CEILING: Duration = Duration::from_secs(20);

/// What a target does with one request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Writes these bytes and waits for the next request.
    Answer(String),
    /// Writes these bytes and closes.
    Close(String),
    /// Writes these bytes and keeps the connection open without sending anything more.
    Silent(String),
}

/// A target that carries out one step for each request, counted over all connections.
pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Target {
    pub(crate) async fn start(steps: impl IntoIterator<Item = Step>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Target {
            addr: listener.local_addr().unwrap(),
            connections: Arc::default(),
            requests: Arc::default(),
        };
        let steps: VecDeque<Step> = steps.into_iter().collect();
        let steps = Arc::new(Mutex::new(steps));
        let (connections, requests) = (target.connections.clone(), target.requests.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(play(stream, steps.clone(), requests.clone()));
            }
        });
        target
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn play(
    mut stream: TcpStream,
    steps: Arc<Mutex<VecDeque<Step>>>,
    requests: Arc<AtomicUsize>,
) {
    while read_head(&mut stream).await {
        requests.fetch_add(1, Ordering::SeqCst);
        let step = steps.lock().unwrap().pop_front();
        match step {
            Some(Step::Answer(text)) => stream.write_all(text.as_bytes()).await.unwrap(),
            Some(Step::Close(text)) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                return;
            }
            Some(Step::Silent(text)) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                return std::future::pending().await;
            }
            None => return,
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> bool {
    let mut last = [0; 4];
    while last != *b"\r\n\r\n" {
        let Ok(byte) = stream.read_u8().await else {
            return false;
        };
        last.rotate_left(1);
        last[3] = byte;
    }
    true
}

/// Returns an answer with a correct `content-length`.
pub(crate) fn sized(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Opens a connection and writes `text`.
pub(crate) async fn connect_and_write(addr: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads until the peer closes the connection.
pub(crate) async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let read = timeout(CEILING, stream.read_to_end(&mut text)).await;
    // A reset counts as a close.
    let _ = read.expect("the connection stays open");
    String::from_utf8_lossy(&text).into_owned()
}
