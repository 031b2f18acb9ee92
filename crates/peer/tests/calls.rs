//! Calls over an upgraded connection, also when one goes silent.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{InstanceName, TextVersion, Verdict};
use googletest::prelude::*;
use hyper::{Request, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use peer::{CallError, Link, accept, wants_upgrade};
use tokio::net::{TcpListener, TcpStream};
use wire::call::{Call, Reply};

/// Far above what any call here takes; only a failure waits this long.
const CEILING: Duration = Duration::from_secs(20);

async fn answer(_: InstanceName, call: Call) -> Reply {
    match call {
        Call::Text { have } => Reply::Text {
            version: have.next(),
            text: "text".to_owned(),
        },
        _ => Reply::Done,
    }
}

async fn start_peer() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let service = service_fn(|req: Request<Incoming>| async move {
                    assert!(wants_upgrade(&req));
                    Ok::<_, Infallible>(accept(req, answer))
                });
                let server = hyper::server::conn::http1::Builder::new();
                server
                    .serve_connection(TokioIo::new(stream), service)
                    .with_upgrades()
                    .await
                    .ok();
            });
        }
    });
    address
}

/// Passes bytes between callers and `to`; connections made before `silent`
/// is set carry nothing after it, but stay open.
async fn start_gate(to: String, silent: Arc<AtomicBool>, made: Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            let far = TcpStream::connect(&to).await.unwrap();
            let first = made.fetch_add(1, Ordering::SeqCst) == 0;
            let silent = silent.clone();
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            tokio::spawn(pass(near_in, far_out, silent.clone(), first));
            tokio::spawn(pass(far_in, near_out, silent, first));
        }
    });
    address
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silent: Arc<AtomicBool>,
    first: bool,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buf = vec![0; 4096];
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 {
            return;
        }
        if first && silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

fn name() -> InstanceName {
    "dubrava-1".parse().unwrap()
}

#[tokio::test]
async fn a_call_gets_its_reply() {
    let link = Link::new(name(), start_peer().await);
    let reply = link
        .call(
            Call::Text {
                have: TextVersion(4),
            },
            CEILING,
        )
        .await;
    let want = Reply::Text {
        version: TextVersion(5),
        text: "text".to_owned(),
    };
    assert_that!(reply.unwrap(), eq(&want));
}

#[tokio::test]
async fn an_unreachable_peer_certainly_did_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let err = Link::new(name(), address)
        .call(Call::Drain, CEILING)
        .await
        .unwrap_err();
    assert_that!(err.verdict(), eq(Verdict::NotRun));
}

/// A user sees: heartbeats to one peer fail for ever after a firewall
/// restarted, although the peer is well. The connection worked, then carried
/// nothing more without being closed. The cause: the link kept it.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let silent = Arc::new(AtomicBool::new(false));
    let made = Arc::new(AtomicUsize::new(0));
    let gate = start_gate(start_peer().await, silent.clone(), made.clone()).await;
    let link = Link::new(name(), gate);
    link.call(Call::Drain, CEILING).await.unwrap();
    silent.store(true, Ordering::SeqCst);
    let err = link
        .call(Call::Drain, Duration::from_millis(200))
        .await
        .unwrap_err();
    assert_that!(matches!(err, CallError::Timeout), eq(true));
    assert_that!(err.verdict(), eq(Verdict::MayHaveRun));
    assert_that!(
        link.call(Call::Drain, CEILING).await.unwrap(),
        eq(&Reply::Done)
    );
    assert_that!(made.load(Ordering::SeqCst), eq(2));
}

/// A common loss of power: one process is back before the others, whose
/// machines swallow what it sends. When they were up it still waited for its
/// first attempt, and every message waited behind that one.
#[tokio::test]
async fn an_attempt_that_hangs_holds_nobody_up_for_long() {
    let silent = Arc::new(AtomicBool::new(true));
    let made = Arc::new(AtomicUsize::new(0));
    let gate = start_gate(start_peer().await, silent, made).await;
    let link = Link::new(name(), gate);
    let (first, second) = tokio::join!(
        link.call(Call::Drain, CEILING),
        link.call(Call::Drain, CEILING),
    );
    assert_that!(first.unwrap_err().verdict(), eq(Verdict::NotRun));
    assert_that!(second.unwrap(), eq(&Reply::Done));
}
