//! Reads what routing needs from a chat completion's body.

use base::{Tokens, stable_hash};
use serde::Deserialize;
use serde_json::{Map, Value};

/// Bytes of the prompt's head that count for prefix caches: the part that
/// requests of one assistant share is at its beginning.
const HEAD: usize = 1_024;

/// Tokens of an answer when the request names no number.
const TOKENS: u32 = 256;

/// A chat completion's body, as far as the system reads it.
#[derive(Clone, Debug)]
pub(crate) struct Chat {
    /// The whole body; what isn't known here is passed on untouched.
    pub(crate) body: Map<String, Value>,
    /// The assistant, and the version where the caller names one.
    pub(crate) model: String,
    /// Whether the answer is to be streamed.
    pub(crate) stream: bool,
    /// Most tokens of the answer.
    pub(crate) tokens: Tokens,
    /// Hash of the head of the prompt.
    pub(crate) prefix: u64,
}

#[derive(Deserialize)]
struct Known {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    messages: Vec<Message>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

impl TryFrom<&[u8]> for Chat {
    type Error = serde_json::Error;

    fn try_from(raw: &[u8]) -> Result<Self, serde_json::Error> {
        let body: Map<String, Value> = serde_json::from_slice(raw)?;
        let known: Known = serde_json::from_value(Value::Object(body.clone()))?;
        Ok(Chat {
            prefix: head(&known.messages),
            body,
            model: known.model,
            stream: known.stream,
            tokens: Tokens(known.max_tokens.unwrap_or(TOKENS)),
        })
    }
}

fn head(messages: &[Message]) -> u64 {
    let mut head = String::new();
    for message in messages {
        head.push_str(&message.role);
        match &message.content {
            Value::String(text) => head.push_str(text),
            other => head.push_str(&other.to_string()),
        }
        if head.len() >= HEAD {
            break;
        }
    }
    let bytes = head.as_bytes();
    stable_hash(&[&bytes[..bytes.len().min(HEAD)]])
}
