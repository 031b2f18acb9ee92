//! Reads the fields of a chat completion's body that routing needs.
//!
//! The body stays as its caller sent it: decoded, one of many small values would take a
//! multiple of its size.

mod messages;
mod rewrite;

use anyhow::{Result, ensure};
use base::{Fingerprint, Tokens, stable_hash};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use self::messages::Messages;
pub(crate) use self::rewrite::rewritten;

/// How often a body is held at once: as its caller sent it, and as it is sent to a target.
pub(crate) const CHAT_COPIES: u64 = 2;

/// Bytes at the beginning of the prompt that the hash for prefix caches covers: requests
/// to one assistant share the beginning of their prompts.
const PREFIX_BYTES: usize = 1_024;

/// Most messages of one prompt that are told apart: far more than the context of a model has room
/// for.
const MAX_PARTS: usize = 4_096;

/// Size of a message's content, in bytes, up to which it is decoded.
const DECODED_MAX: usize = 64 << 10;

/// Assumed limit of tokens in the answer if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A chat completion's body with the fields that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct Chat {
    /// The complete body; fields that are not read here are passed on unchanged.
    pub(crate) body: Bytes,
    /// `assistant` or `assistant@version`, as the caller wrote it.
    pub(crate) model: String,
    /// Whether the answer is to be streamed.
    pub(crate) stream: bool,
    /// Upper limit of tokens in the answer.
    pub(crate) tokens: Tokens,
    /// Hash of the beginning of the prompt.
    pub(crate) prefix: u64,
    /// The messages that other requests may share: all but the last one.
    pub(crate) parts: Vec<Fingerprint>,
}

#[derive(Deserialize)]
struct ChatFields<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Messages<'a>,
}

impl TryFrom<Bytes> for Chat {
    type Error = anyhow::Error;

    fn try_from(body: Bytes) -> Result<Self> {
        let object = body.trim_ascii_start().starts_with(b"{");
        ensure!(object, "the body is no JSON object");
        let fields: ChatFields<'_> = serde_json::from_slice(&body)?;
        Ok(Chat {
            prefix: prefix_hash(&fields.messages),
            parts: shared_parts(&fields.messages),
            model: fields.model,
            stream: fields.stream,
            tokens: Tokens(fields.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
            body,
        })
    }
}

fn shared_parts(messages: &Messages<'_>) -> Vec<Fingerprint> {
    let shared = messages.count.saturating_sub(1).min(MAX_PARTS);
    let parts = messages.first.iter().take(shared).map(|message| {
        let content = normalised(message.content);
        Fingerprint::of_part(&[message.role.as_bytes(), content.as_bytes()])
    });
    let mut parts: Vec<_> = parts.collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

fn prefix_hash(messages: &Messages<'_>) -> u64 {
    let mut prompt = String::new();
    for message in &messages.first {
        prompt.push_str(&message.role);
        prompt.push_str(&text(message.content));
        if prompt.len() >= PREFIX_BYTES {
            break;
        }
    }
    let bytes = prompt.as_bytes();
    stable_hash(&[&bytes[..bytes.len().min(PREFIX_BYTES)]])
}

/// Returns a content without what its writer may choose, such as spaces; a large one as it is.
fn normalised(content: Option<&RawValue>) -> String {
    decoded(content).to_string()
}

/// Returns the text of a content, or its JSON if it isn't a text.
fn text(content: Option<&RawValue>) -> String {
    match decoded(content) {
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    }
}

fn decoded(content: Option<&RawValue>) -> serde_json::Value {
    let raw = content.map_or("null", RawValue::get);
    if raw.len() > DECODED_MAX {
        return serde_json::Value::String(raw.to_owned());
    }
    // It was read as JSON before.
    serde_json::from_str(raw).unwrap_or_default()
}

#[cfg(test)]
#[path = "../tests/unit/prompt.rs"]
mod tests;
