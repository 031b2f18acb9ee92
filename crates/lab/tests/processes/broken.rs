//! Answers whose head is none, from a plain service that writes raw bytes to a caller that reads
//! raw bytes.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
};

use anyhow::Result;
use googletest::prelude::*;
use lab::{Lab, Plan};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::common::{KAZALISTE, start};

/// A chunked body.
const CHUNKS: &str = "6\r\n{\"a\":1\r\n1\r\n}\r\n0\r\n\r\n";

/// The same without chunks.
const BODY: &str = "{\"a\":1}";

/// The next idempotency key.
static KEYS: AtomicU32 = AtomicU32::new(1);

/// Answers with whatever bytes the body of a request consists of, and closes.
async fn echo() -> Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    Ok(addr)
}

async fn answer(mut stream: TcpStream) -> Result<()> {
    let mut read = String::new();
    loop {
        let mut bytes = vec![0; 4_096];
        let count = stream.read(&mut bytes).await?;
        read += std::str::from_utf8(&bytes[..count])?;
        let Some((head, body)) = read.split_once("\r\n\r\n") else {
            continue;
        };
        let lines = head.lines().map(str::to_ascii_lowercase);
        let mut lengths = lines.filter_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
        if body.len() >= lengths.next().unwrap_or(0_usize) {
            return Ok(stream.write_all(body.as_bytes()).await?);
        }
    }
}

/// Sends a request to a path of a brand, whose service answers it with `answer`, and returns all
/// bytes that come back.
async fn ask(lab: &Lab, path: &str, answer: &str) -> Result<String> {
    let mut stream = TcpStream::connect(lab.entries[0].listen).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KAZALISTE}\r\n\
         connection: close\r\nidempotency-key: {}\r\ncontent-length: {}\r\n\r\n",
        KEYS.fetch_add(1, Ordering::Relaxed),
        answer.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(answer.as_bytes()).await?;
    let mut read = Vec::new();
    stream.read_to_end(&mut read).await.ok();
    Ok(String::from_utf8(read)?)
}

/// Guards against an answer whose head tells no length that HTTP has and that a caller of the
/// daemons gets with other bytes than the target's body.
#[tokio::test(flavor = "multi_thread")]
async fn answers_with_a_broken_head_reach_no_caller() -> Result<()> {
    let mut lab = start("broken", &Plan::small()).await?;
    let addr = echo().await?;
    lab.services.iter_mut().for_each(|s| s.listed = addr);
    lab.publish().await?;
    let sound = format!("HTTP/1.1 200 OK\r\ncontent-type: a/b\r\ncontent-length: 7\r\n\r\n{BODY}");
    let path = "/kazaliste/listing/x";
    let served = async || {
        let got = ask(&lab, path, &sound).await.ok()?;
        (got.starts_with("HTTP/1.1 200") && got.contains(BODY)).then_some(())
    };
    lab::until("the service is served", served).await?;
    let fields = [
        "transfer-encoding: chunkee",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: gzip",
        "transfer-encoding: ",
        "transfer-encoding: chunked\r\ncontent-length: 7",
        "content-length: 7\r\ncontent-length: 9",
        "content-length: +7",
        "content-length: 7\r\nno field",
        "content-length: 7\r\nna me: x",
    ];
    let heads = fields.map(|field| format!("HTTP/1.1 200 OK\r\ncontent-type: a/b\r\n{field}"));
    let statuses = ["000", "101", "600", "999", "20"];
    let statuses = statuses.map(|status| format!("HTTP/1.1 {status} OK\r\ncontent-length: 7"));
    let mut wrong = Vec::new();
    for head in heads.iter().chain(&statuses) {
        let body = if head.contains("chunke") {
            CHUNKS
        } else {
            BODY
        };
        let answer = format!("{head}\r\n\r\n{body}");
        for path in [path, "/kazaliste/submissions/apply"] {
            let got = ask(&lab, path, &answer).await?;
            if !got.starts_with("HTTP/1.1 502") {
                wrong.push((answer.clone(), got));
            }
        }
    }
    assert_that!(wrong, is_empty());
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}
