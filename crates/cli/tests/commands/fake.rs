//! A fake of a control or entry instance that answers by a script.

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
pub(crate) enum Say {
    /// Answers 200 with this body.
    Ok(&'static str),
    /// Answers another status with this body.
    Status(u16, &'static str),
    /// Answers 503 and that nothing was done.
    NotRun,
    /// Reads the request and closes the connection.
    Cut,
    /// Takes the request and stays silent.
    Silent,
}

/// Answers left by path, and bodies taken.
#[derive(Default)]
struct Script {
    says: BTreeMap<String, Vec<Say>>,
    bodies: Vec<Value>,
}

impl Script {
    fn take(&mut self, path: String, body: &[u8]) -> Option<Say> {
        if let Ok(body) = serde_json::from_slice(body) {
            self.bodies.push(body);
        }
        let left = self.says.entry(path).or_default();
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
    /// Starts the fake `name` with those of `says` whose path it begins; the
    /// last answer of a path is given for ever.
    pub(crate) fn start(name: &str, says: &[(&str, &[Say])]) -> Self {
        let own = says.iter().filter_map(|(path, says)| {
            Some((
                path.strip_prefix(name)?.to_owned(),
                says.iter().rev().copied().collect(),
            ))
        });
        let script = Script {
            says: own.collect(),
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

    /// Returns its address as operators write it.
    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the JSON bodies that it was sent.
    pub(crate) fn bodies(&self) -> Vec<Value> {
        self.script.lock().unwrap().bodies.clone()
    }
}

/// Returns an address where nobody listens.
pub(crate) fn nobody() -> String {
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
    let say = script.lock().unwrap().take(path, &body);
    let (status, verdict, body) = match say {
        Some(Say::Ok(body)) => (200, None, body),
        Some(Say::Status(status, body)) => (status, None, body),
        Some(Say::NotRun) => (503, Some("not-run"), "busy"),
        Some(Say::Cut) => return Err(Cut),
        Some(Say::Silent) => std::future::pending().await,
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
