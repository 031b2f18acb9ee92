//! A caller that reads raw bytes and judges by HTTP's framing alone whether an answer is
//! complete.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Longest time that an answer may take here.
const CEILING: Duration = Duration::from_secs(20);

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Ask<'a> {
    pub(crate) path: &'a str,
    pub(crate) id: String,
    /// Version of HTTP, after the dot.
    pub(crate) minor: u8,
    pub(crate) deadline: Duration,
    /// Most tokens of the answer: the run of a longer one is copied to a second target.
    pub(crate) tokens: u32,
    /// Further headers.
    pub(crate) fields: Vec<(&'static str, String)>,
    pub(crate) body: String,
}

/// What a caller has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Received {
    /// 0 without a head.
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Whether the answer ended as its framing says that it would.
    pub(crate) complete: bool,
    /// Whether there is a length, or are chunks.
    pub(crate) framed: bool,
}

/// Sends a request and reads until the connection ends.
pub(crate) async fn ask(addr: SocketAddr, ask: &Ask<'_>) -> Received {
    exchange(addr, ask, None).await
}

/// Sends a request and reads until the connection ends, or what has come is `enough`.
pub(crate) async fn ask_until(
    addr: SocketAddr,
    ask: &Ask<'_>,
    enough: impl Fn(&str) -> bool,
) -> Received {
    exchange(addr, ask, Some(&enough)).await
}

/// Sends a request and reads until the connection ends; returns how long that took.
pub(crate) async fn time_to_end(addr: SocketAddr, ask: &Ask<'_>) -> Duration {
    let begun = Instant::now();
    let mut stream = send(addr, ask).await;
    let mut sink = tokio::io::sink();
    let read = tokio::io::copy(&mut stream, &mut sink);
    // A connection that is reset has ended as well.
    timeout(CEILING, read).await.expect("the answer ends").ok();
    begun.elapsed()
}

async fn exchange(
    addr: SocketAddr,
    ask: &Ask<'_>,
    enough: Option<&dyn Fn(&str) -> bool>,
) -> Received {
    let mut stream = send(addr, ask).await;
    let mut bytes = Vec::new();
    let read = async {
        while stream.read_buf(&mut bytes).await? > 0 {
            if enough.is_some_and(|enough| enough(&String::from_utf8_lossy(&bytes))) {
                break;
            }
        }
        std::io::Result::Ok(())
    };
    let end = timeout(CEILING, read).await;
    let in_order = end.expect("the answer ends in time").is_ok();
    received(&bytes, in_order)
}

/// Sends a request on a new connection.
pub(crate) async fn send(addr: SocketAddr, ask: &Ask<'_>) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let Ask {
        path,
        id,
        minor,
        deadline,
        tokens,
        fields,
        body,
    } = ask;
    let fields: String = fields
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let head = format!(
        "POST {path} HTTP/1.{minor}\r\nhost: a.example\r\nattempt: {id}\r\nmodel: m/a\r\n\
         tokens: 100,{tokens}\r\ndeadline: {}\r\nconnection: close\r\n{fields}content-length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    stream
}

fn received(bytes: &[u8], in_order: bool) -> Received {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Received {
            status: 0,
            body: String::new(),
            complete: false,
            framed: false,
        };
    };
    let status = head.split(' ').nth(1).and_then(|raw| raw.parse().ok());
    let framed = ["transfer-encoding", "content-length"]
        .iter()
        .any(|name| field(head, name).is_some());
    let (body, complete) = match field(head, "transfer-encoding") {
        Some(_) => dechunked(body),
        None => match field(head, "content-length") {
            Some(length) => (body.to_owned(), length.parse() == Ok(body.len())),
            None => (body.to_owned(), in_order),
        },
    };
    Received {
        status: status.unwrap_or(0),
        body,
        complete,
        framed,
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

/// What came on a connection until it ended, byte by byte.
#[derive(Clone)]
pub(crate) struct Exchange {
    bytes: Vec<u8>,
    /// Whether the connection was closed in order.
    in_order: bool,
}

/// Sends a request and reads until the connection ends.
pub(crate) async fn exchange_bytes(addr: SocketAddr, ask: &Ask<'_>) -> Exchange {
    let mut stream = send(addr, ask).await;
    let mut bytes = Vec::new();
    let end = timeout(CEILING, stream.read_to_end(&mut bytes)).await;
    let in_order = end.expect("the answer ends in time").is_ok();
    Exchange { bytes, in_order }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} in order: {}",
            String::from_utf8_lossy(&self.bytes),
            self.in_order
        )
    }
}

impl Exchange {
    /// Returns the lines of the head without their ends, and the bytes behind it.
    fn split(&self) -> Option<(Vec<&[u8]>, &[u8])> {
        let end = self.bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let (head, rest) = self.bytes.split_at(end);
        let lines = head.split(|byte| *byte == b'\n');
        let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
        Some((lines.collect(), &rest[4..]))
    }

    /// Returns the status, if one came.
    pub(crate) fn status(&self) -> Option<u16> {
        let (lines, _) = self.split()?;
        let status = lines[0].strip_prefix(b"HTTP/1.")?.get(2..5)?;
        std::str::from_utf8(status).ok()?.parse().ok()
    }

    /// Returns whether nothing came, or an answer whose head consists of a status line and
    /// fields as HTTP defines them.
    pub(crate) fn is_whole(&self) -> bool {
        let Some((lines, _)) = self.split() else {
            return self.bytes.is_empty();
        };
        let status = self
            .status()
            .is_some_and(|status| (200..600).contains(&status));
        status && lines[1..].iter().all(|line| is_field(line))
    }

    /// Returns whether this is a complete success.
    pub(crate) fn is_success(&self) -> bool {
        let got = received(&self.bytes, self.in_order);
        (200..300).contains(&got.status) && got.complete
    }

    /// Returns whether this is a complete success with this body.
    pub(crate) fn is_success_with(&self, body: &str) -> bool {
        let got = received(&self.bytes, self.in_order);
        self.is_whole() && self.is_success() && got.body == body
    }
}

/// Returns whether a line is a field (RFC 9110, section 5): a token, a colon and a value without
/// control bytes.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = line.split_at(colon);
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    let is_text = |byte: &u8| *byte == b'\t' || (*byte >= b' ' && *byte != 0x7f);
    !name.is_empty() && name.iter().all(is_token) && value.iter().all(is_text)
}
