//! The server side: upgrades a connection and serves the calls on it.

use std::{future::Future, sync::Arc};

use base::InstanceName;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::Empty;
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use hyper_util::rt::TokioIo;
use tarpc::server::{BaseChannel, Channel};
use tokio_util::sync::CancellationToken;
use web::memory::Memory;
use wire::call::{Call, Reply};

use crate::bounded::Bounded;
use crate::rpc::{Caller, PATH, PROTOCOL, transport};

/// Most calls of one connection that run at once. Further calls wait, on this connection
/// only.
const MAX_CONCURRENT_CALLS: usize = 256;

/// Returns whether `req` asks for the upgrade that [`accept`] performs.
#[must_use]
pub fn wants_upgrade<B>(req: &Request<B>) -> bool {
    let protocol = req.headers().get(header::UPGRADE);
    req.uri().path() == PATH && protocol.is_some_and(|value| value == PROTOCOL)
}

/// Answers `req` with the upgrade and serves the connection's calls in the background
/// until the peer closes it. `handler` gets the calling instance and the call; what is unfinished
/// of a large call is held in `memory`.
pub fn accept<F, Fut>(req: Request<Incoming>, memory: Memory, handler: F) -> Response<Empty<Bytes>>
where
    F: Fn(InstanceName, Call) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    tokio::spawn(async move {
        match hyper::upgrade::on(req).await {
            Ok(io) => serve(io, memory, handler).await,
            Err(err) => tracing::debug!("failed to upgrade a peer's connection: {err}"),
        }
    });
    let mut answer = Response::new(Empty::new());
    *answer.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = answer.headers_mut();
    headers.insert(
        header::CONNECTION,
        header::HeaderValue::from_static("upgrade"),
    );
    headers.insert(header::UPGRADE, header::HeaderValue::from_static(PROTOCOL));
    answer
}

async fn serve<F, Fut>(io: hyper::upgrade::Upgraded, memory: Memory, handler: F)
where
    F: Fn(InstanceName, Call) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let server = Server {
        handler: Arc::new(handler),
    };
    let closed = CancellationToken::new();
    let io = Bounded::new(TokioIo::new(io), memory, closed.clone());
    let channel = BaseChannel::with_defaults(transport(io));
    let calls = channel.execute(server.serve()).for_each_concurrent(
        MAX_CONCURRENT_CALLS,
        |call| async move {
            tokio::spawn(call).await.ok();
        },
    );
    closed.run_until_cancelled(calls).await;
}

struct Server<F> {
    handler: Arc<F>,
}

impl<F> Clone for Server<F> {
    fn clone(&self) -> Self {
        Server {
            handler: Arc::clone(&self.handler),
        }
    }
}

impl<F, Fut> Caller for Server<F>
where
    F: Fn(InstanceName, Call) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    async fn call(self, _: tarpc::context::Context, from: InstanceName, call: Call) -> Reply {
        (self.handler)(from, call).await
    }
}
