//! Sound answers whose head is spoilt at one byte, judged by a strict reader of their own.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use hyper::Method;
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::TcpListener,
    runtime::Builder,
};
use web::client::{Answer, Client, Ending, Send};

const BODY: &str = "a line\r\nand 1 more: of it\n";

/// Starts a server that answers one request with these bytes and closes.
async fn serve(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            stream.read_line(&mut line).await.unwrap();
        }
        stream.write_all(&answer).await.ok();
        stream.shutdown().await.ok();
        // Until the other side has closed as well.
        stream.read_line(&mut line).await.ok();
    });
    addr
}

async fn read(mut answer: Answer) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(piece) = answer.next().await {
        body.extend_from_slice(&piece.ok()?);
    }
    Some(body.freeze())
}

/// Returns the body that the client takes for complete.
fn fetched(answer: Vec<u8>) -> Option<Bytes> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(async {
            let addr = serve(answer).await;
            let mut send = Send::new(addr, Method::POST, "/");
            send.mark = base::Mark::Once;
            send.ending = Ending::Framed;
            read(Client::default().send(send).await.ok()?).await
        })
}

/// Returns the body of an answer, if that is one.
fn strict(answer: &[u8]) -> Option<Vec<u8>> {
    let end = answer.windows(4).position(|four| four == b"\r\n\r\n")?;
    let (head, body) = (&answer[..end], &answer[end + 4..]);
    let (mut lines, mut rest) = (Vec::new(), head);
    while let Some(at) = rest.windows(2).position(|two| two == b"\r\n") {
        lines.push(&rest[..at]);
        rest = &rest[at + 2..];
    }
    lines.push(rest);
    let text = |line: &[u8]| {
        line.iter()
            .all(|b| matches!(b, b'\t' | b' '..=b'~' | 0x80..))
    };
    if !lines.iter().all(|line| text(line)) {
        return None;
    }
    let status = lines[0]
        .strip_prefix(b"HTTP/1.1 ")
        .or(lines[0].strip_prefix(b"HTTP/1.0 "))?;
    let minor = lines[0][7];
    let (code, reason) = status.split_at_checked(3)?;
    let code: u16 = std::str::from_utf8(code).ok()?.parse().ok()?;
    if !status[0].is_ascii_digit()
        || !(200..600).contains(&code)
        || !(reason.is_empty() || reason[0] == b' ')
    {
        return None;
    }
    let (mut length, mut chunked) = (None, false);
    for line in &lines[1..] {
        let colon = line.iter().position(|b| *b == b':')?;
        let name = std::str::from_utf8(&line[..colon])
            .ok()?
            .to_ascii_lowercase();
        let value = line[colon + 1..].trim_ascii();
        let is_token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
        if name.is_empty() || !name.chars().all(is_token) {
            return None;
        }
        if name == "content-length" {
            let digits = value.iter().all(u8::is_ascii_digit);
            let said: usize = std::str::from_utf8(value)
                .ok()
                .filter(|_| digits)?
                .parse()
                .ok()?;
            if length.replace(said).is_some_and(|before| before != said) {
                return None;
            }
        }
        if name == "transfer-encoding" {
            if chunked || !value.eq_ignore_ascii_case(b"chunked") || minor == b'0' {
                return None;
            }
            chunked = true;
        }
    }
    let whole = match (length, chunked) {
        (Some(_), true) => return None,
        _ if matches!(code, 204 | 304) => Vec::new(),
        (Some(length), false) => body.get(..length)?.to_vec(),
        (None, true) => dechunked(body)?,
        (None, false) if dechunked(body).is_some() => return None,
        (None, false) => body.to_vec(),
    };
    (code != 205 || whole.is_empty() && length.unwrap_or(0) == 0).then_some(whole)
}

fn dechunked(mut raw: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = raw.windows(2).position(|two| two == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&raw[..end]).ok()?, 16).ok()?;
        raw = &raw[end + 2..];
        if size == 0 {
            return (raw == b"\r\n").then_some(body);
        }
        body.extend_from_slice(raw.get(..size)?);
        raw = raw.get(size..)?.strip_prefix(b"\r\n")?;
    }
}

/// Sound answers of each framing: their head and their body.
fn sound() -> impl Strategy<Value = (String, String)> {
    let length = format!("Content-Length: {}\r\n", BODY.len());
    let chunks = format!(
        "7\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        &BODY[..7],
        BODY.len() - 7,
        &BODY[7..]
    );
    let framings = [
        (length, BODY.to_owned()),
        ("Transfer-Encoding: chunked\r\n".to_owned(), chunks),
        ("Connection: close\r\n".to_owned(), BODY.to_owned()),
    ];
    let framing = proptest::sample::select(framings.to_vec());
    let more = proptest::sample::select(vec!["", "X-Any: \u{e4} 1\r\n", "Empty:\r\n"]);
    (framing, more, 0..2_u8).prop_map(|((line, body), more, minor)| {
        let minor = if body.ends_with("0\r\n\r\n") {
            1
        } else {
            minor
        };
        (
            format!("HTTP/1.{minor} 200 OK\r\n{more}{line}Date: now\r\n\r\n"),
            body,
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_200, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a spoilt head whose answer is taken for complete with another body than a
    /// strict reader finds, and against sound heads that are refused.
    #[test]
    fn a_spoilt_head_changes_no_body((head, body) in sound(), at in any::<prop::sample::Index>(), byte: u8) {
        let mut answer = head.into_bytes();
        let at = at.index(answer.len());
        answer[at] = byte;
        answer.extend_from_slice(body.as_bytes());
        let expected = strict(&answer);
        prop_assert_eq!(fetched(answer).map(|body| body.to_vec()), expected);
    }
}

/// Guards against a body without framing that begins as chunks do and is refused or changed,
/// though it isn't written in chunks, and against one that is and gets through.
#[gtest]
fn what_begins_as_chunks_is_told_apart() {
    for body in [
        "200\r\n",
        "a\r\nab",
        "3\r\nabc\r\nand more",
        "0",
        "0\r\n",
        "fee\r\nfi",
        "1;x\r\nab",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        expect_that!(
            fetched(answer.into_bytes()),
            some(eq(body.as_bytes())),
            "{body:?}"
        );
    }
    let long = format!("1\r\na\r\nffff\r\n{}", "x".repeat(20_000));
    let first = format!("ffff\r\n{}\r\n0\r\n\r\n", "x".repeat(65_535));
    for body in [
        "0\r\n\r\n",
        "3\r\nabc\r\n0\r\n\r\n",
        "3;x=1\r\nabc\r\n1",
        &long,
        &first,
        "1 \r\na\r\n0\r\na: b\r\n\r\n",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        expect_that!(fetched(answer.into_bytes()), none(), "{body:?}");
    }
}
