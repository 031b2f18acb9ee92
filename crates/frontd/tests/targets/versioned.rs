//! A target that names its software version in each event, and breaks a run off where the
//! request's body says so.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::deployment::{Listed, listed_target};

/// Events of a complete stream; the id of each is its number.
pub(crate) const EVENTS: usize = 6;

/// Time between two events.
pub(crate) const PAUSE: Duration = Duration::from_millis(30);

/// Slots that the platform lists.
const SLOTS: u32 = 1_000;

/// A target of one software version.
#[derive(Debug)]
pub(crate) struct Target {
    id: String,
    addr: SocketAddr,
    software: Mutex<String>,
    /// The version on the platform's list.
    shown: Mutex<String>,
    listed: AtomicBool,
    down: Mutex<CancellationToken>,
    /// Requests that have reached it.
    seen: Mutex<BTreeSet<String>>,
}

impl Target {
    pub(crate) async fn start(id: &str, software: &str) -> Arc<Target> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Arc::new(Target {
            id: id.to_owned(),
            addr: listener.local_addr().unwrap(),
            software: Mutex::new(software.to_owned()),
            shown: Mutex::new(software.to_owned()),
            listed: AtomicBool::new(true),
            down: Mutex::default(),
            seen: Mutex::default(),
        });
        target.run(listener);
        target
    }

    fn run(self: &Arc<Self>, listener: TcpListener) {
        let (target, down) = (Arc::clone(self), self.down());
        tokio::spawn(async move {
            let serve = target.serve(listener);
            down.run_until_cancelled(serve).await
        });
    }

    fn down(&self) -> CancellationToken {
        self.down.lock().unwrap().clone()
    }

    /// Starts the target again under its id and at its address, with another version. The
    /// list goes on to show the old one.
    pub(crate) async fn restart(self: &Arc<Self>, software: &str, after: Duration) {
        self.end();
        sleep(after).await;
        *self.software.lock().unwrap() = software.to_owned();
        *self.down.lock().unwrap() = CancellationToken::new();
        self.run(TcpListener::bind(self.addr).await.unwrap());
    }

    pub(crate) fn software(&self) -> String {
        self.software.lock().unwrap().clone()
    }

    /// Has the platform's list show the version that the target runs.
    pub(crate) fn show(&self) {
        *self.shown.lock().unwrap() = self.software();
    }

    /// Ends the target and all its connections.
    pub(crate) fn end(&self) {
        self.down().cancel();
    }

    /// Takes the target off the platform's list.
    pub(crate) fn unlist(&self) {
        self.listed.store(false, Ordering::Relaxed);
    }

    /// Puts the target on the platform's list.
    pub(crate) fn enlist(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    pub(crate) fn list(&self) -> Option<Listed> {
        let mut target = listed_target(self.id.clone(), self.addr, SLOTS);
        target.software = self.shown.lock().unwrap().parse().ok();
        let listed = self.listed.load(Ordering::Relaxed);
        listed.then_some(Listed {
            target,
            up: !self.down().is_cancelled(),
        })
    }

    async fn serve(self: &Arc<Self>, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let target = Arc::clone(self);
            tokio::spawn(async move {
                let down = target.down();
                down.run_until_cancelled(target.answer_all(stream)).await
            });
        }
    }

    /// Answers the requests on one connection.
    async fn answer_all(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_request(&mut stream).await {
            let first = self.seen.lock().unwrap().insert(request.id.clone());
            let end = match request.break_after {
                Some(end) if first && request.last == 0 => end,
                _ => EVENTS,
            };
            let stream = stream.get_mut();
            if self.write(stream, &request, end).await.is_err() {
                return;
            }
            if end < EVENTS {
                return stream.set_zero_linger().unwrap();
            }
        }
    }

    /// Writes the events after the last one that the caller has, up to `end`.
    async fn write(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        end: usize,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt: {}\r\nweights: 1\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
            request.id
        );
        stream.write_all(head.as_bytes()).await?;
        for id in request.last + 1..=end {
            let event = format!("id: {id}\ndata: {}\n\n", self.software());
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            sleep(PAUSE).await;
        }
        if end == EVENTS {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

#[derive(Debug, Default)]
struct Request {
    id: String,
    /// The last event that the caller has; 0 for a new run.
    last: usize,
    /// The event after which a new run is broken off.
    break_after: Option<usize>,
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        match line.trim().split_once(": ") {
            Some(("attempt", id)) => request.id = id.to_owned(),
            Some(("resume", last)) => request.last = last.parse().unwrap(),
            Some(("content-length", bytes)) => length = bytes.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let body = String::from_utf8(body).unwrap();
    request.break_after = body.strip_prefix("break ").map(|at| at.parse().unwrap());
    Some(request)
}
