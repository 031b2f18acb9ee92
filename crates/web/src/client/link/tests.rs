//! Verdicts of connections that fail around the time of the write.

use std::net::SocketAddr;

use base::covers;
use googletest::prelude::*;
use tokio::{
    net::TcpListener,
    time::{Duration, Instant},
};

use super::*;
use crate::client::direct;

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::from_static(b"an application")))
}

async fn connect(addr: SocketAddr, until: Instant) -> Link {
    let dialed = Dialed {
        stream: Box::new(direct(addr, until).await.unwrap()),
        reusable: true,
    };
    Link::over(dialed).await.unwrap()
}

/// The timeout fires just before the connection's task writes. A caller that is told
/// "not run" sends its request again, so it would run twice if the first one were still
/// written.
#[gtest]
#[tokio::test]
async fn nothing_is_sent_after_the_verdict_not_run() {
    covers!(nothing_was_written);
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let until = Instant::now() + Duration::from_secs(20);
    let addr = listener.local_addr().unwrap();
    let mut link = connect(addr, until).await;
    {
        let sent = std::pin::pin!(link.send(request()));
        assert!(futures::poll!(sent).is_pending());
    }
    let broken = link.broken(Cause::FirstByte);
    expect_that!(broken.verdict, eq(Verdict::NotRun));
    let (mut peer, _) = listener.accept().await.unwrap();
    let mut got = Vec::new();
    // The connection closes, and nothing was sent on it.
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut got).await;
    assert_that!(got, is_empty());
}

/// As above, with the write on another thread, where aborting the connection's task comes
/// too late to prevent it.
#[gtest]
fn a_sealed_meter_lets_no_write_through() {
    let meter = Meter::default();
    let write = |n| meter.write(|| Poll::Ready(Ok(n)));
    expect_that!(write(5).is_ready(), eq(true));
    expect_that!(meter.seal(), eq(5));
    let late = meter.write(|| panic!("written after the seal"));
    expect_that!(matches!(late, Poll::Ready(Err(_))), eq(true));
    expect_that!(meter.seal(), eq(5));
}

#[gtest]
#[tokio::test]
async fn a_written_request_may_have_run() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let until = Instant::now() + Duration::from_secs(20);
    let addr = listener.local_addr().unwrap();
    let mut link = connect(addr, until).await;
    {
        let mut sent = std::pin::pin!(link.send(request()));
        let (mut peer, _) = listener.accept().await.unwrap();
        let mut byte = [0];
        let read = tokio::io::AsyncReadExt::read_exact(&mut peer, &mut byte);
        tokio::select! {
            _ = &mut sent => panic!("nobody answered"),
            _ = read => {}
        }
    }
    assert_that!(
        link.broken(Cause::FirstByte).verdict,
        eq(Verdict::MayHaveRun)
    );
}
