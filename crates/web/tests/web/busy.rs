//! A process that is busy for longer than its limits, with a target that answers at once.

use std::{net::SocketAddr, thread, time::Duration};

use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Runtime,
    sync::oneshot,
};
use web::{
    Method,
    client::{Broken, Client, Limits, Send},
};

/// Limit of each step, and how long the process is busy.
const LIMIT: Duration = Duration::from_millis(200);
const BUSY: Duration = Duration::from_millis(350);

/// Time between two pieces of an answer.
const PACE: Duration = Duration::from_millis(50);

/// Starts a target on a thread of its own that sends a head at once, and a piece every
/// [`PACE`].
async fn start_target() -> SocketAddr {
    let (told, address) = oneshot::channel();
    thread::spawn(move || {
        let runtime = Runtime::new().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            told.send(listener.local_addr().unwrap()).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await.unwrap();
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n";
            stream.write_all(head).await.unwrap();
            for _ in 0..20 {
                tokio::time::sleep(PACE).await;
                if stream.write_all(b"x").await.is_err() {
                    return;
                }
            }
        });
    });
    address.await.unwrap()
}

fn send(addr: SocketAddr) -> Send {
    let mut send = Send::new(addr, Method::GET, "/");
    send.limits = Limits {
        connect: LIMIT,
        first: LIMIT,
        idle: LIMIT,
        ..Limits::default()
    };
    send
}

/// Keeps the only thread busy again and again while `answer` is awaited.
async fn beside_work<T>(answer: impl Future<Output = T>) -> T {
    let work = async {
        loop {
            thread::sleep(BUSY);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        biased;
        done = answer => done,
        () = work => unreachable!("the work has no end"),
    }
}

/// Guards against a busy process that leaves a target whose head has arrived in time.
#[tokio::test]
async fn a_head_that_arrived_while_the_process_was_busy_counts() {
    let (client, addr) = (Client::default(), start_target().await);
    let answer = beside_work(client.send(send(addr))).await;
    assert_that!(answer.is_ok(), eq(true), "{:?}", answer.err());
}

/// Guards against a busy process that leaves a target whose pieces have arrived in time.
#[tokio::test]
async fn pieces_that_arrived_while_the_process_was_busy_count() {
    let (client, addr) = (Client::default(), start_target().await);
    let answer = client.send(send(addr)).await.unwrap();
    let read: std::result::Result<_, Broken> = beside_work(answer.read_all(100)).await;
    assert_that!(
        read.as_ref().map(|body| body.len()).ok(),
        some(eq(20)),
        "{read:?}"
    );
}
