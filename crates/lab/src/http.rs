//! An HTTP client for tests: sends requests and collects complete or partial answers.

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

/// Longest wait for an answer; ample, so that only a failure takes that long.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Largest response body that is read.
const BODY_MAX: usize = 64 << 20;

/// A client of one HTTP listener.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    /// Address of the listener.
    pub address: SocketAddr,
    /// The key sent as a bearer token.
    pub key: String,
}

/// A request for a chat completion.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Name of the assistant, sent as the model.
    pub model: String,
    /// Messages before the user's.
    pub context: Vec<String>,
    /// The user's message.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub tokens: u32,
    /// Whether to stream.
    pub stream: bool,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
}

impl Chat {
    /// Returns a request for a streamed completion of 16 tokens.
    #[must_use]
    pub fn stream(model: &str, prompt: &str) -> Self {
        Chat {
            model: model.to_owned(),
            context: Vec::new(),
            prompt: prompt.to_owned(),
            tokens: 16,
            stream: true,
            headers: Vec::new(),
        }
    }
}

/// An answer, possibly broken off.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The body as far as it was received.
    pub body: Bytes,
    /// Whether the body is complete.
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
    /// Fails when it is not valid JSON.
    pub fn json(&self) -> Result<Value> {
        serde_json::from_slice(&self.body).context("the body is not JSON")
    }

    /// Returns the verdict in the header, which a failed request has.
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        self.header(header::VERDICT)?.parse().ok()
    }

    /// Returns the text of a streamed or plain chat completion.
    #[must_use]
    pub fn text(&self) -> String {
        if let Ok(json) = self.json() {
            let content = &json["choices"][0]["message"]["content"];
            return content.as_str().unwrap_or_default().to_owned();
        }
        let mut events = Vec::new();
        // The events before a malformed one still count.
        Parser::default().push(&self.body, &mut events).ok();
        events.iter().filter_map(web::sse::Event::token).collect()
    }
}

impl Caller {
    /// Creates a client of `address` with a bearer key.
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

    /// Requests a chat completion and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails when no response head is received; a body that breaks off gives a reply
    /// that is not complete.
    pub async fn chat(&self, chat: &Chat) -> Result<Reply> {
        let context = chat.context.iter();
        let context = context.map(|text| json!({"role": "system", "content": text}));
        let prompt = json!({"role": "user", "content": chat.prompt});
        let messages: Vec<_> = context.chain([prompt]).collect();
        let body = json!({
            "model": chat.model,
            "messages": messages,
            "max_tokens": chat.tokens,
            "stream": chat.stream,
        });
        let body = Bytes::from(body.to_string());
        let path = "/v1/chat/completions";
        self.send(Method::POST, path, body, &chat.headers).await
    }

    /// Sends a request with a body and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails when no response head is received; a body that breaks off gives a reply
    /// that is not complete.
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
            first: TIMEOUT,
            idle: TIMEOUT,
            total: TIMEOUT * 2,
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
        let mut complete = answer.shows_end();
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
    /// Fails when the status is not 200 or the body is not JSON.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let reply = self.send(Method::GET, path, Bytes::new(), &[]).await?;
        anyhow::ensure!(reply.status == 200, "{path} answered {}", reply.status);
        reply.json()
    }

    /// Sends JSON to `path` and reads JSON.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes or its body is not JSON.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let body = Bytes::from(body.to_string());
        self.send(Method::POST, path, body, &[]).await?.json()
    }
}
