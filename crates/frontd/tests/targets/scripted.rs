//! A target that frames its answers in any way and ends them at any byte. What it does is
//! written in the request's body.

use std::{net::SocketAddr, str::FromStr, sync::Arc};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

use crate::deployment::{Listed, listed_target};

/// Slots that the platform lists.
const SLOTS: u32 = 1_000;

/// Events of a complete answer; the id of each is its number.
const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

/// Size of the chunks: they end within events.
const CHUNK: usize = 7;

/// How an answer shows where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length,
    Chunks,
    /// By the end of its connection.
    Neither,
}

/// What happens after the last byte that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Close,
    Reset,
    Silence,
}

/// What the target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Script {
    pub(crate) framing: Framing,
    pub(crate) end: End,
    /// Bytes of the answer that are sent, its head included.
    pub(crate) sent: usize,
}

impl Script {
    /// Returns the body of a request that asks for this.
    pub(crate) fn body(self) -> String {
        let Script { framing, end, sent } = self;
        format!("{framing:?} {end:?} {sent}")
    }
}

impl FromStr for Script {
    type Err = ();

    fn from_str(raw: &str) -> Result<Self, ()> {
        let mut words = raw.split(' ');
        let framing = match words.next() {
            Some("Length") => Framing::Length,
            Some("Chunks") => Framing::Chunks,
            Some("Neither") => Framing::Neither,
            _ => return Err(()),
        };
        let end = match words.next() {
            Some("Close") => End::Close,
            Some("Reset") => End::Reset,
            Some("Silence") => End::Silence,
            _ => return Err(()),
        };
        let sent = words.next().and_then(|raw| raw.parse().ok()).ok_or(())?;
        Ok(Script { framing, end, sent })
    }
}

/// Returns the body of a complete answer that goes on after the event with the id `last`.
pub(crate) fn events(last: usize) -> String {
    EVENTS[last..].concat()
}

/// Returns the bytes of an answer with `body`.
pub(crate) fn answer(framing: Framing, id: &str, body: &str) -> Vec<u8> {
    let framed = match framing {
        Framing::Length => format!("content-length: {}\r\n", body.len()),
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Neither => "connection: close\r\n".to_owned(),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt: {id}\r\ncontent-type: text/event-stream\r\n{framed}\r\n"
    );
    let mut bytes = head.into_bytes();
    if framing != Framing::Chunks {
        bytes.extend_from_slice(body.as_bytes());
        return bytes;
    }
    for chunk in body.as_bytes().chunks(CHUNK) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// A scripted target.
#[derive(Debug)]
pub(crate) struct Target {
    id: String,
    addr: SocketAddr,
}

impl Target {
    pub(crate) async fn start(no: usize) -> Arc<Target> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(play(stream));
            }
        });
        let id = format!("t{no}");
        Arc::new(Target { id, addr })
    }

    pub(crate) fn listed(&self) -> Listed {
        Listed {
            target: listed_target(self.id.clone(), self.addr, SLOTS),
            up: true,
        }
    }
}

/// Answers the requests on one connection until an answer ends it.
async fn play(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await {
        let body = events(request.last);
        let all = Script {
            framing: Framing::Length,
            end: End::Close,
            sent: usize::MAX,
        };
        // What goes on elsewhere is answered in full.
        let script = match request.last {
            0 => request.body.parse().unwrap_or(all),
            _ => all,
        };
        let bytes = answer(script.framing, &request.id, &body);
        let sent = &bytes[..script.sent.min(bytes.len())];
        if stream.get_mut().write_all(sent).await.is_err() {
            return;
        }
        let whole = sent.len() == bytes.len();
        if whole && script.framing != Framing::Neither {
            continue;
        }
        match script.end {
            End::Close => return,
            End::Reset => return stream.get_ref().set_zero_linger().unwrap(),
            End::Silence => {
                // Until the other side has closed.
                stream.read_u8().await.ok();
                return;
            }
        }
    }
}

#[derive(Debug, Default)]
struct Request {
    id: String,
    /// The last event that the caller has; 0 for a new run.
    last: usize,
    body: String,
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
        let Some((name, value)) = line.trim().split_once(": ") else {
            continue;
        };
        match name {
            "attempt" => request.id = value.to_owned(),
            "resume" => request.last = value.parse().unwrap(),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    request.body = String::from_utf8(body).unwrap();
    Some(request)
}
