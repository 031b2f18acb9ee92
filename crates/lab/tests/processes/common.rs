//! The deployment that process-level tests run against.

use std::{net::SocketAddr, sync::Arc};

use anyhow::Result;
use lab::{Caller, Chat, Lab, Plan, Reply};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::{StatusCode, body, reply, server};

/// The configuration text of the process-level tests.
pub(crate) const TEXT: &str = include_str!("text.toml");

/// Key of the brand `kazaliste`, whose assistant is `drafting`.
pub(crate) const KAZALISTE: &str = "sample-key-kazaliste";

/// Key of the brand `film`, whose assistant is `letters`.
pub(crate) const FILM: &str = "sample-key-film";

/// Returns a small plan whose engines take `token_ms` milliseconds a token.
pub(crate) fn slow_engines(token_ms: u32) -> Plan {
    Plan {
        engine_flags: vec!["--token-ms".to_owned(), token_ms.to_string()],
        ..Plan::small()
    }
}

/// Starts a deployment and waits until each entry instance answers for both brands.
pub(crate) async fn start(name: &str, plan: &Plan) -> Result<Lab> {
    start_with(name, plan, TEXT).await
}

/// Does the same with another configuration text of the same brands.
pub(crate) async fn start_with(name: &str, plan: &Plan, text: &str) -> Result<Lab> {
    let lab = Lab::start(name, plan).await?;
    let version = lab.apply("first", text).await?;
    lab.wait_ready(version).await?;
    for i in 0..lab.entries.len() {
        answered(&lab.caller(i, KAZALISTE), "drafting").await?;
        answered(&lab.caller(i, FILM), "letters").await?;
    }
    Ok(lab)
}

/// Sends requests until one gets a complete answer.
pub(crate) async fn answered(caller: &Caller, model: &str) -> Result<Reply> {
    let ask = async || {
        let reply = caller.chat(&Chat::stream(model, "hello")).await.ok()?;
        (reply.status == 200 && reply.complete).then_some(reply)
    };
    lab::until("an engine that answers", ask).await
}

/// Returns the tokens that only the right adapter and version generate.
pub(crate) fn expected(resident: &str, prompt: &str, tokens: usize) -> String {
    let prompt = standin::engine::prompt_of(&[prompt]);
    standin::engine::tokens(resident, &prompt, tokens)
}

/// Starts a fake OTLP collector that passes each body to `keep`.
pub(crate) async fn collector(keep: impl Fn(&Value) + Send + Sync + 'static) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let keep = Arc::new(keep);
    let handler = move |req: web::Request<web::Incoming>| {
        let keep = Arc::clone(&keep);
        async move {
            let raw = body::read(req.into_body(), body::ReadLimits::default()).await;
            if let Ok(value) = serde_json::from_slice::<Value>(&raw.unwrap_or_default()) {
                keep(&value);
            }
            reply::plain(StatusCode::OK, "{}")
        }
    };
    let (limits, stop) = (server::Limits::default(), CancellationToken::new());
    tokio::spawn(server::serve(listener, limits, handler, stop));
    Ok(address)
}
