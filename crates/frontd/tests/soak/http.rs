//! A caller's connection, which is kept for as long as the answers allow it.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Longest time that an answer may take here.
const CEILING: Duration = Duration::from_secs(15);

/// What a caller has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Got {
    /// 0 without a head.
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Whether the answer ended as its framing says that it would.
    pub(crate) complete: bool,
    /// When to come back.
    pub(crate) again: Option<Duration>,
    /// Whether the connection can be used for another request.
    pub(crate) keeps: bool,
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection(TcpStream);

impl Connection {
    pub(crate) async fn open(addr: SocketAddr) -> Option<Connection> {
        let opened = timeout(CEILING, TcpStream::connect(addr)).await.ok()?;
        opened.ok().map(Connection)
    }

    /// Returns whether the other side has neither closed it nor sent anything.
    pub(crate) fn is_open(&self) -> bool {
        let read = self.0.try_read(&mut [0]);
        read.is_err_and(|err| err.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a whole request and reads its answer.
    pub(crate) async fn ask(&mut self, request: &str) -> Got {
        if self.0.write_all(request.as_bytes()).await.is_err() {
            return Got::default();
        }
        let mut bytes = Vec::new();
        let read = async {
            loop {
                let end = self.0.read_buf(&mut bytes).await.map(|n| n == 0);
                let got = received(&bytes, end.as_ref().is_ok_and(|end| *end));
                if got.complete || end.unwrap_or(true) {
                    return got;
                }
            }
        };
        let got = timeout(CEILING, read).await;
        got.unwrap_or_else(|_| received(&bytes, false))
    }
}

/// Returns what `bytes` contain, after which the connection was closed in order if `closed`.
fn received(bytes: &[u8], closed: bool) -> Got {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Got::default();
    };
    let (body, complete, framed) = match field(head, "transfer-encoding") {
        Some(_) => {
            let (body, complete) = dechunked(body);
            (body, complete, true)
        }
        None => match field(head, "content-length") {
            Some(length) => (body.to_owned(), length.parse() == Ok(body.len()), true),
            None => (body.to_owned(), closed, false),
        },
    };
    let status = head.split(' ').nth(1).and_then(|raw| raw.parse().ok());
    let again = field(head, "retry-after").and_then(|raw| raw.parse().ok());
    Got {
        status: status.unwrap_or(0),
        body,
        complete,
        again: again.map(Duration::from_secs_f64),
        keeps: complete && framed && field(head, "connection") != Some("close"),
    }
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(value)
}

/// Returns what the chunks contain, and whether the last one has come.
fn dechunked(mut raw: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = raw.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a size of a chunk");
        if size == 0 {
            return (body, rest == "\r\n");
        }
        if rest.len() < size + 2 {
            body.push_str(&rest[..size.min(rest.len())]);
            return (body, false);
        }
        body.push_str(&rest[..size]);
        raw = &rest[size + 2..];
    }
    (body, false)
}
