//! Timeouts in a process that is too busy to check for the answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use tokio::{
    runtime::Builder,
    sync::oneshot,
    time::{Instant, sleep},
};
use web::{
    Method,
    client::{Client, Limits, Send},
    timeout::{MAX_EXTENSION, answer_by},
};

const LIMIT: Duration = Duration::from_millis(30);

/// The answer arrives in time, but the process is busy until long after the timeout. If
/// the timer decided alone, an order that was carried out would count as lost.
#[gtest]
#[tokio::test]
async fn an_answer_that_waits_to_be_read_counts() {
    base::covers!(looked_late);
    let (answer, received) = oneshot::channel();
    tokio::spawn(async move {
        sleep(LIMIT / 3).await;
        thread::sleep(LIMIT * 4);
        // Other tasks run before the answer is forwarded.
        sleep(LIMIT / 3).await;
        answer.send(7).ok();
    });
    let got = answer_by(Instant::now() + LIMIT, received).await;
    assert_that!(got, some(ok(eq(&7))));
}

#[gtest]
#[tokio::test]
async fn an_answer_that_does_not_come_ends_in_time() {
    let start = Instant::now();
    let (answer, received) = oneshot::channel::<u8>();
    let got = answer_by(start + LIMIT, received).await;
    assert_that!(got, none());
    assert_that!(start.elapsed(), lt(LIMIT + MAX_EXTENSION * 2));
    drop(answer);
}

/// Head and body of an answer.
const PARTS: [&str; 2] = ["HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhe", "llo"];

/// Starts a target on a thread of its own that writes each part `pause` after the one before.
fn target(pauses: [Duration; 2]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 16]).unwrap();
        for (part, pause) in PARTS.iter().zip(pauses) {
            thread::sleep(pause);
            stream.write_all(part.as_bytes()).unwrap();
        }
        thread::sleep(LIMIT * 10);
    });
    addr
}

/// Fetches an answer whose parts arrive before the limit, in a process whose only thread is busy
/// from before that until long after it.
fn check_busy((pauses, busy_after): ([Duration; 2], Duration)) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let body = runtime.block_on(async {
        let mut send = Send::new(target(pauses), Method::GET, "/");
        send.limits = Limits {
            first: LIMIT * 3,
            idle: LIMIT * 3,
            ..Limits::default()
        };
        tokio::spawn(async move {
            sleep(busy_after).await;
            thread::sleep(LIMIT * 6);
        });
        let answer = Client::default().send(send).await?;
        answer.read_all(16).await
    });
    assert_that!(body.as_deref(), ok(eq(b"hello")));
}

base::cases! {
    /// Guards against an answer that arrived in time and is given up, as the process was busy
    /// until after the timeout.
    answers_that_arrive_while_the_process_is_busy_are_read: check_busy => {
        head: ([LIMIT * 2, Duration::ZERO], LIMIT),
        body: ([Duration::ZERO, LIMIT * 2], LIMIT),
    }
}
