//! A target that answers with the bytes that a request's body consists of.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

use crate::deployment::{Listed, listed_target};

/// Slots that the platform lists.
const SLOTS: u32 = 1_000;

/// What stands for the id of the request in the bytes of an answer.
pub(crate) const ID: &str = "{id}";

/// Ends the connection where it ends the bytes of an answer.
pub(crate) const CLOSE: &str = "{close}";

/// The answer to what is no script, or comes again.
const SOUND: &str = "HTTP/1.1 200 OK\r\nattempt: {id}\r\ncontent-length: 6\r\n\r\nsecond";

/// The ids of requests that have reached any target.
pub(crate) type Seen = Arc<Mutex<BTreeSet<String>>>;

/// A target on a machine of its own.
#[derive(Clone, Debug)]
pub(crate) struct RawTarget {
    id: String,
    addr: SocketAddr,
}

impl RawTarget {
    /// Starts the target with this number.
    pub(crate) async fn start(no: u8, seen: Seen) -> RawTarget {
        let machine = Ipv4Addr::new(127, 0, 0, 1 + no);
        let listener = TcpListener::bind((machine, 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(play(stream, Arc::clone(&seen)));
            }
        });
        let id = format!("t{no}");
        RawTarget { id, addr }
    }

    pub(crate) fn listed(&self) -> Listed {
        Listed {
            target: listed_target(self.id.clone(), self.addr, SLOTS),
            up: true,
        }
    }
}

/// Answers the requests on one connection until an answer ends it or the other side does.
async fn play(stream: TcpStream, seen: Seen) {
    let mut stream = BufReader::new(stream);
    while let Some((id, body)) = read_request(&mut stream).await {
        let first = seen.lock().unwrap().insert(id.clone());
        let script = if first && body.contains(ID) {
            &body
        } else {
            SOUND
        };
        let answer = script.replace(ID, &id);
        let (bytes, closes) = match answer.strip_suffix(CLOSE) {
            Some(bytes) => (bytes, true),
            None => (answer.as_str(), false),
        };
        if stream.get_mut().write_all(bytes.as_bytes()).await.is_err() || closes {
            return;
        }
    }
}

/// Reads a request and returns its id and body.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        match line.trim_end().split_once(": ") {
            Some(("attempt", value)) => id = value.to_owned(),
            Some(("content-length", value)) => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((id, String::from_utf8(body).unwrap()))
}
