//! A fake of a control or entry instance that gives scripted answers.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
};

use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::runtime::Runtime;

/// What the fake does with one request.
#[derive(Clone, Copy)]
pub(crate) enum Reply {
    /// Answers 200 with this body.
    Ok(&'static str),
    /// Answers with another status and this body.
    Status(u16, &'static str),
    /// Answers 503 with the verdict that the request did not run.
    NotRun,
    /// Reads the request and closes the connection without an answer.
    Cut,
    /// Reads the request and never answers.
    Silent,
}

/// The answers left for each path, last one first, and the bodies received.
#[derive(Default)]
struct Script {
    replies: BTreeMap<String, Vec<Reply>>,
    bodies: Vec<Value>,
}

impl Script {
    fn take(&mut self, path: String, body: &[u8]) -> Option<Reply> {
        if let Ok(body) = serde_json::from_slice(body) {
            self.bodies.push(body);
        }
        let left = self.replies.entry(path).or_default();
        if left.len() > 1 {
            left.pop()
        } else {
            left.last().copied()
        }
    }
}

/// A running fake.
pub(crate) struct Fake {
    addr: SocketAddr,
    script: Arc<Mutex<Script>>,
    _runtime: Runtime,
}

impl Fake {
    /// Starts the fake `name` with the entries of `replies` whose path starts with that
    /// name. The last answer of a path is repeated without end.
    pub(crate) fn start(name: &str, replies: &[(&str, &[Reply])]) -> Self {
        let own = replies.iter().filter_map(|(path, replies)| {
            Some((
                path.strip_prefix(name)?.to_owned(),
                replies.iter().rev().copied().collect(),
            ))
        });
        let script = Script {
            replies: own.collect(),
            ..Script::default()
        };
        let script = Arc::new(Mutex::new(script));
        let runtime = Runtime::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        runtime.spawn(serve(listener, script.clone()));
        Fake {
            addr,
            script,
            _runtime: runtime,
        }
    }

    /// Returns its address as a URL.
    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the JSON bodies that it received.
    pub(crate) fn bodies(&self) -> Vec<Value> {
        self.script.lock().unwrap().bodies.clone()
    }
}

/// Returns a URL with a port on which nobody listens.
pub(crate) fn unused_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

async fn serve(listener: TcpListener, script: Arc<Mutex<Script>>) {
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let script = script.clone();
        let service = service_fn(move |req| answer(req, script.clone()));
        let conn = hyper::server::conn::http1::Builder::new();
        tokio::spawn(conn.serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(
    req: Request<Incoming>,
    script: Arc<Mutex<Script>>,
) -> Result<Response<Full<Bytes>>, Cut> {
    let path = req.uri().path_and_query().unwrap().to_string();
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let next = script.lock().unwrap().take(path, &body);
    let (status, verdict, body) = match next {
        Some(Reply::Ok(body)) => (200, None, body),
        Some(Reply::Status(status, body)) => (status, None, body),
        Some(Reply::NotRun) => (503, Some("not-run"), "busy"),
        Some(Reply::Cut) => return Err(Cut),
        Some(Reply::Silent) => std::future::pending().await,
        None => (404, None, "no such path"),
    };
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status.try_into().unwrap();
    if let Some(verdict) = verdict {
        reply
            .headers_mut()
            .insert("x-quetzal-verdict", verdict.parse().unwrap());
    }
    Ok(reply)
}

/// Makes hyper close the connection without an answer.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut")
    }
}

impl std::error::Error for Cut {}
