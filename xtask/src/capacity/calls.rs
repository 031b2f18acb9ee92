//! Cost of a call between two instances besides its body: tarpc's envelope, sockets and
//! tasks, over loopback.

use std::{
    convert::Infallible,
    fs, io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context as Task, Poll},
    time::Duration,
};

use anyhow::{Context, Result, ensure};
use base::Fence;
use hyper::{Request, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use peer::{Link, accept};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use web::memory::Memory;
use wire::call::{Call, Reply, Residents};

use super::{Case, encoded_len};

/// A number of sequential calls on one connection.
pub(super) const CALLS: Case = Case {
    name: "peer-calls",
    size: "calls",
    sizes: &[5_000, 10_000, 20_000],
    columns: &[
        "cpu ms of both ends",
        "stream KB both ways",
        "body bytes",
        "stream bytes a call",
    ],
    run: calls,
};

/// Time limit of a call, far above what a call takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn calls(count: usize) -> Result<Vec<f64>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let transferred = Arc::new(AtomicU64::new(0));
        let address = serve(Arc::clone(&transferred)).await?;
        let link = Link::new("instance-0000".parse()?, address);
        let call = Call::Residents(Residents {
            owner: "instance-0000".parse()?,
            target: "engine-0000".parse()?,
            fence: Fence(1_234_567),
            serial: 1_000,
            full: false,
            added: Vec::new(),
            removed: Vec::new(),
            in_flight: 170,
            queued: 3,
            evict_cost: 120,
        });
        let body = encoded_len(&call)? + encoded_len(&Reply::Done)?;
        link.call(call.clone(), CALL_TIMEOUT).await?;
        let (cpu, before) = (cpu()?, transferred.load(Ordering::Relaxed));
        for _ in 0..count {
            let reply = link.call(call.clone(), CALL_TIMEOUT).await?;
            ensure!(reply == Reply::Done, "unexpected reply");
        }
        let spent = self::cpu()? - cpu;
        let stream = (transferred.load(Ordering::Relaxed) - before) as f64;
        Ok(vec![spent, stream / 1e3, body, stream / count as f64])
    })
}

async fn serve(transferred: Arc<AtomicU64>) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let transferred = Arc::clone(&transferred);
            let counted = CountingStream {
                stream,
                transferred,
            };
            let service = service_fn(|req: Request<Incoming>| async move {
                Ok::<_, Infallible>(accept(req, Memory::default(), |_, _| async { Reply::Done }))
            });
            let server = hyper::server::conn::http1::Builder::new();
            let io = TokioIo::new(counted);
            tokio::spawn(server.serve_connection(io, service).with_upgrades());
        }
    });
    Ok(address)
}

/// Returns the processor time that this process has used, in milliseconds.
fn cpu() -> Result<f64> {
    /// The kernel counts processor time in ticks of a hundredth of a second.
    const TICK_MS: f64 = 10.0;
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, rest) = stat.rsplit_once(')').context("no name in stat")?;
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks = fields.map(str::parse).collect::<Result<Vec<f64>, _>>()?;
    Ok(ticks.iter().sum::<f64>() * TICK_MS)
}

/// A stream that counts the bytes that it reads and writes.
struct CountingStream {
    stream: TcpStream,
    transferred: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Task<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(task, buf);
        let read = (buf.filled().len() - before) as u64;
        self.transferred.fetch_add(read, Ordering::Relaxed);
        done
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        task: &mut Task<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(task, buf);
        if let Poll::Ready(Ok(written)) = done {
            self.transferred
                .fetch_add(written as u64, Ordering::Relaxed);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Task<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(task)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Task<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(task)
    }
}
