//! Answers that end within their head, at every byte.

use std::{net::SocketAddr, time::Duration};

use base::{Mark, Verdict};
use googletest::prelude::*;
use hyper::Method;
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};
use web::client::{Client, Send};

/// A complete answer.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// How the server ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Which connection carries the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    New,
    /// One that has carried another request.
    Used,
}

/// Starts a server that answers `/whole`, and ends the answer to `/N` after N bytes of `head`.
async fn server(head: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, head, end));
        }
    });
    addr
}

async fn serve(stream: TcpStream, head: &str, end: End) {
    let mut stream = BufReader::new(stream);
    while let Some(path) = read_path(&mut stream).await {
        let cut: Option<usize> = path[1..].parse().ok();
        let bytes = cut.map_or(WHOLE, |cut| &head[..cut]);
        if stream.get_mut().write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        if cut.is_some() {
            // Bytes that are sent before a reset may be lost with it.
            tokio::time::sleep(Duration::from_millis(5)).await;
            if end == End::Reset {
                stream.get_ref().set_zero_linger().unwrap();
            }
            return;
        }
    }
}

/// Reads the head of a request without a body, and returns its path.
async fn read_path(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut path = None;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            return path;
        }
        path = path.or_else(|| line.split(' ').nth(1).map(str::to_owned));
    }
}

fn check((head, connection): (&'static str, Connection)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        for end in [End::Close, End::Reset] {
            let addr = server(head, end).await;
            for mark in [Mark::Repeatable, Mark::Once] {
                for cut in 0..head.len() {
                    let send = |path| Send {
                        mark,
                        ..Send::new(addr, Method::POST, path)
                    };
                    let client = Client::default();
                    if connection == Connection::Used {
                        let answer = client.send(send("/whole".to_owned())).await.unwrap();
                        answer.read_all(2).await.unwrap();
                    }
                    let answer = client.send(send(format!("/{cut}"))).await;
                    let verdict = answer.map(|answer| answer.status).map_err(|b| b.verdict);
                    let expected = Err(Verdict::MayHaveRun);
                    assert_that!(verdict, eq(expected), "{end:?} {mark:?} {cut}");
                }
            }
        }
    });
}

base::cases! {
    /// Guards against an answer that breaks off within its head and is taken for one with an
    /// empty or short body, and against a request that has reached a server and counts as not
    /// run.
    answers_that_end_within_their_head_are_none: check => {
        with_a_length: ("HTTP/1.1 200 OK\r\nattempt: 1\r\ncontent-length: 2\r\n\r\n", Connection::New),
        with_chunks: ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nattempt: 1\r\n\r\n", Connection::New),
        with_neither: ("HTTP/1.1 200 OK\r\nattempt: 1\r\nconnection: close\r\n\r\n", Connection::New),
        without_headers: ("HTTP/1.1 200 OK\r\n\r\n", Connection::New),
        of_an_earlier_protocol: ("HTTP/1.0 200 OK\r\ncontent-type: text/plain\r\n\r\n", Connection::New),
        after_an_interim_answer: ("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nattempt: 1\r\n\r\n", Connection::New),
        without_a_body: ("HTTP/1.1 204 No Content\r\nattempt: 1\r\n\r\n", Connection::New),
        with_a_length_on_a_used_connection: ("HTTP/1.1 200 OK\r\nattempt: 1\r\ncontent-length: 2\r\n\r\n", Connection::Used),
        with_neither_on_a_used_connection: ("HTTP/1.1 200 OK\r\nattempt: 1\r\nconnection: close\r\n\r\n", Connection::Used),
    }
}
