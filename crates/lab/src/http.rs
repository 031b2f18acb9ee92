//! A caller's side: requests, streams and what came of them.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use base::{Mark, Verdict};
use bytes::Bytes;
use serde_json::{Value, json};
use web::{
    HeaderMap, Method,
    client::{Client, Limits, Send},
    header_value,
    sse::Parser,
};
use wire::header;

/// Longest wait for anything; only a failure waits this long.
const CEILING: Duration = Duration::from_secs(60);

/// Largest answer that is read.
const BODY_MAX: usize = 64 << 20;

/// Somebody who calls an HTTP listener.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    /// The listener.
    pub address: SocketAddr,
    /// The bearer key.
    pub key: String,
}

/// One chat completion to ask for.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The assistant.
    pub model: String,
    /// The user's message.
    pub prompt: String,
    /// Most tokens of the answer.
    pub tokens: u32,
    /// Whether to stream.
    pub stream: bool,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

impl Chat {
    /// Makes a streamed completion of 16 tokens.
    #[must_use]
    pub fn stream(model: &str, prompt: &str) -> Self {
        Chat {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            tokens: 16,
            stream: true,
            headers: Vec::new(),
        }
    }
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The body as far as it came.
    pub body: Bytes,
    /// Whether it ended properly.
    pub complete: bool,
}

impl Reply {
    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when it is none.
    pub fn json(&self) -> Result<Value> {
        serde_json::from_slice(&self.body).context("the body is no JSON")
    }

    /// Returns the verdict that a failure names.
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        self.header(header::VERDICT)?.parse().ok()
    }

    /// Returns the text of the answer, streamed or whole.
    #[must_use]
    pub fn text(&self) -> String {
        if let Ok(json) = self.json() {
            let content = &json["choices"][0]["message"]["content"];
            return content.as_str().unwrap_or_default().to_owned();
        }
        let mut events = Vec::new();
        // What came before a malformed event still counts.
        Parser::default().push(&self.body, &mut events).ok();
        events.iter().filter_map(web::sse::Event::token).collect()
    }
}

impl Caller {
    /// Makes a caller of `address` with a bearer key.
    #[must_use]
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let client = Client::default();
        let key = key.to_owned();
        Caller {
            client,
            address,
            key,
        }
    }

    /// Asks for a chat completion and reads all of the answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes at all.
    pub async fn chat(&self, chat: &Chat) -> Result<Reply> {
        let body = json!({
            "model": chat.model,
            "messages": [{"role": "user", "content": chat.prompt}],
            "max_tokens": chat.tokens,
            "stream": chat.stream,
        });
        let body = Bytes::from(body.to_string());
        let path = "/v1/chat/completions";
        self.send(Method::POST, path, body, &chat.headers).await
    }

    /// Calls `path` with a body and reads all of the answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes at all.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        headers: &[(&'static str, String)],
    ) -> Result<Reply> {
        let mut send = Send::new(self.address, method, path);
        send.body = body;
        send.mark = Mark::Once;
        send.limits = Limits {
            first: CEILING,
            idle: CEILING,
            whole: CEILING * 2,
            ..Limits::default()
        };
        let bearer = header_value(&format!("Bearer {}", self.key));
        send.headers.insert("authorization", bearer);
        send.headers
            .insert("content-type", header_value("application/json"));
        for (name, value) in headers {
            send.headers.insert(*name, header_value(value));
        }
        let mut answer = self.client.send(send).await?;
        let mut body = Vec::new();
        let mut complete = true;
        while let Some(piece) = answer.next().await {
            match piece {
                Ok(piece) if body.len() + piece.len() <= BODY_MAX => {
                    body.extend_from_slice(&piece);
                }
                Ok(_) | Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Ok(Reply {
            status: answer.status.as_u16(),
            headers: answer.headers.clone(),
            body: body.into(),
            complete,
        })
    }

    /// Reads `path` as JSON.
    ///
    /// # Errors
    ///
    /// Fails when there is no such answer.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let reply = self.send(Method::GET, path, Bytes::new(), &[]).await?;
        anyhow::ensure!(reply.status == 200, "{path} answered {}", reply.status);
        reply.json()
    }

    /// Sends JSON to `path` and reads JSON.
    ///
    /// # Errors
    ///
    /// Fails when no JSON comes back.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let body = Bytes::from(body.to_string());
        self.send(Method::POST, path, body, &[]).await?.json()
    }
}
