//! A connection to a server through another instance of our own.
//!
//! The helper connects to the server and passes bytes on in both directions; it neither
//! reads nor decides anything, and says how the server's connection ended. So whatever the client promises for a direct connection holds
//! for a tunnel: nothing is sent before the tunnel stands, and a tunnel that breaks is a
//! connection that breaks.

mod frames;
mod splice;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{CONNECTION, HOST, HeaderMap, HeaderValue, UPGRADE},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::Instant,
};

pub use self::{frames::TunnelStream, splice::splice};
use crate::{
    body::{Body, full},
    client::{AwaitedHead, Checked, Upgrade},
    header_value,
    server::Socket,
    timeout::answer_by,
};

/// Path of the request for a tunnel.
const PATH: &str = "/quetzal/tunnel";

/// Path by which a helper is told of a server that has asked it for rest.
const REST_PATH: &str = "/quetzal/rest";

/// Protocol to which the connection is upgraded.
const PROTOCOL: &str = "quetzal-tunnel/2";

/// Address of the server.
const TARGET: &str = "target";

/// Milliseconds after which the helper closes the tunnel.
const LEFT: &str = "left-ms";

/// Most bytes that are buffered of an instance's answer, which has a head of some hundred.
const HEAD_BUFFER_MAX: usize = 16 << 10;

/// The request that the tunnel is opened for, for the helper's log.
const LABEL: &str = "label";

/// Most bytes of a label.
const LABEL_MAX: usize = 64;

/// The instance that asks, for the helper's log.
const FROM: &str = "from";

/// A tunnel to open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tunnel {
    /// Address of the server.
    pub target: SocketAddr,
    /// Time after which the helper closes it.
    pub left: Duration,
    /// The request that it is opened for.
    pub label: String,
    /// The instance that opens it.
    pub from: String,
}

/// Why there is no tunnel.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TunnelError {
    /// The helper could not be reached, or can't help.
    #[error("no help: {0}")]
    NoHelp(String),
    /// The server refuses connections.
    #[error("the server refuses connections")]
    Refused,
    /// The server can't be connected to.
    #[error("the server can't be reached")]
    Silent,
    /// The server has asked the helper for rest.
    #[error("the server rests")]
    Resting,
}

impl TunnelError {
    /// Returns the status by which a helper says so.
    fn status(&self) -> StatusCode {
        match self {
            TunnelError::NoHelp(_) => StatusCode::SERVICE_UNAVAILABLE,
            TunnelError::Refused => StatusCode::BAD_GATEWAY,
            TunnelError::Silent => StatusCode::GATEWAY_TIMEOUT,
            TunnelError::Resting => StatusCode::TOO_MANY_REQUESTS,
        }
    }

    fn of(status: StatusCode) -> Self {
        match status {
            StatusCode::BAD_GATEWAY => TunnelError::Refused,
            StatusCode::GATEWAY_TIMEOUT => TunnelError::Silent,
            StatusCode::TOO_MANY_REQUESTS => TunnelError::Resting,
            other => TunnelError::NoHelp(format!("the helper answered {other}")),
        }
    }

    /// Returns the helper's answer.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let mut resp = Response::new(full(""));
        *resp.status_mut() = self.status();
        resp
    }
}

/// Opens a tunnel through the instance at `helper`.
///
/// # Errors
///
/// Fails if the helper or the server can't be connected to until the time `until`.
pub async fn open(
    helper: SocketAddr,
    tunnel: &Tunnel,
    until: Instant,
) -> Result<TunnelStream, TunnelError> {
    // Boxed, as few requests open a tunnel and each would hold the space for it.
    match answer_by(until, Box::pin(ask(helper, tunnel))).await {
        Some(Ok(Ok(stream))) => Ok(stream),
        Some(Ok(Err(err))) => Err(err),
        Some(Err(err)) => Err(TunnelError::NoHelp(format!("{err:#}"))),
        None => Err(TunnelError::NoHelp("no answer in time".to_owned())),
    }
}

/// Tells a helper that a server wants nothing from it for the time `rest`, as an answer that
/// passed through it unread has said.
///
/// # Errors
///
/// Fails if the helper can't be told until the time `until`.
pub async fn tell_rest(
    helper: SocketAddr,
    (server, rest): (SocketAddr, Duration),
    until: Instant,
) -> anyhow::Result<()> {
    let told = async {
        let stream = TcpStream::connect(helper).await?;
        let stream = Checked::new(stream, AwaitedHead::new(Upgrade::No));
        let (mut sender, conn) = handshake(stream).await?;
        tokio::spawn(conn);
        let left = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
        let req = Request::post(REST_PATH)
            .header(HOST, header_value(&helper.to_string()))
            .header(TARGET, header_value(&server.to_string()))
            .header(LEFT, left)
            .body(Empty::<Bytes>::new())?;
        sender.send_request(req).await?;
        anyhow::Ok(())
    };
    let told = answer_by(until, Box::pin(told)).await;
    told.unwrap_or_else(|| Err(anyhow::anyhow!("no answer in time")))
}

/// Returns the server that wants nothing from this helper, and for how long, if a request says
/// so.
#[must_use]
pub fn told_rest(req: &Request<Incoming>) -> Option<(SocketAddr, Duration)> {
    if req.uri().path() != REST_PATH {
        return None;
    }
    let left: u64 = text(req.headers(), LEFT)?.parse().ok()?;
    let server = text(req.headers(), TARGET)?.parse().ok()?;
    Some((server, Duration::from_millis(left)))
}

async fn ask(
    helper: SocketAddr,
    tunnel: &Tunnel,
) -> anyhow::Result<Result<TunnelStream, TunnelError>> {
    let stream = TcpStream::connect(helper).await?;
    stream.set_nodelay(true)?;
    let stream = Checked::new(stream, AwaitedHead::new(Upgrade::Asked));
    let (mut sender, conn) = handshake(stream).await?;
    tokio::spawn(conn.with_upgrades());
    let left = u64::try_from(tunnel.left.as_millis()).unwrap_or(u64::MAX);
    let req = Request::get(PATH)
        .header(HOST, header_value(&helper.to_string()))
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, PROTOCOL)
        .header(TARGET, header_value(&tunnel.target.to_string()))
        .header(LEFT, left)
        .header(LABEL, header_value(short(&tunnel.label)))
        .header(FROM, header_value(&tunnel.from))
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(req).await?;
    if answer.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Ok(Err(TunnelError::of(answer.status())));
    }
    if !switches_to(answer.headers(), PROTOCOL) {
        return Ok(Err(TunnelError::NoHelp("another protocol".to_owned())));
    }
    let upgraded = hyper::upgrade::on(answer).await?;
    let parts = upgraded.downcast::<TokioIo<Checked<TcpStream>>>();
    let parts = parts.map_err(|_| anyhow::anyhow!("the connection is of another kind"))?;
    let stream = TunnelStream::new(parts.io.into_inner().into_inner(), &parts.read_buf);
    Ok(Ok(stream))
}

type Handshake<S> = (
    http1::SendRequest<Empty<Bytes>>,
    http1::Connection<TokioIo<S>, Empty<Bytes>>,
);

/// Begins to speak HTTP on a connection to another instance, whose answers have a head only.
async fn handshake<S>(stream: S) -> hyper::Result<Handshake<S>>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_BUFFER_MAX);
    builder.handshake(TokioIo::new(stream)).await
}

/// Returns whether headers name this protocol as the one that the connection changes to.
#[must_use]
pub fn switches_to(headers: &HeaderMap, protocol: &str) -> bool {
    headers.get(UPGRADE).is_some_and(|value| value == protocol)
}

/// Returns the tunnel that a request asks for, or `None` if it asks for none.
#[must_use]
pub fn wanted(req: &Request<Incoming>) -> Option<Tunnel> {
    let headers = req.headers();
    if req.uri().path() != PATH || !switches_to(headers, PROTOCOL) {
        return None;
    }
    let left: u64 = text(headers, LEFT)?.parse().ok()?;
    Some(Tunnel {
        target: text(headers, TARGET)?.parse().ok()?,
        left: Duration::from_millis(left),
        label: text(headers, LABEL).unwrap_or_default().to_owned(),
        from: text(headers, FROM).unwrap_or_default().to_owned(),
    })
}

/// Returns the answer to a request for a tunnel that stands.
#[must_use]
pub fn accepted() -> Response<Body> {
    let mut resp = Response::new(full(""));
    *resp.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = resp.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(PROTOCOL));
    resp
}

/// Waits for the connection on which a tunnel was accepted.
///
/// # Errors
///
/// Fails if the other side has left.
pub async fn upgraded(req: Request<Incoming>) -> anyhow::Result<(TcpStream, Bytes)> {
    let upgraded = hyper::upgrade::on(req).await?;
    let parts = upgraded.downcast::<TokioIo<Socket>>();
    let parts = parts.map_err(|_| anyhow::anyhow!("the connection is of another kind"))?;
    Ok((parts.io.into_inner().into_inner(), parts.read_buf))
}

/// Returns the beginning of a label, which names a request by an id that its caller chose.
fn short(label: &str) -> &str {
    &label[..label.floor_char_boundary(LABEL_MAX)]
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
