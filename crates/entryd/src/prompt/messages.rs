//! The messages of a prompt, of which only the first ones are kept.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{SeqAccess, Visitor},
};
use serde_json::value::RawValue;

use super::MAX_PARTS;

/// One message.
#[derive(Debug, Deserialize)]
pub(super) struct Message<'a> {
    #[serde(default, borrow)]
    pub(super) role: Cow<'a, str>,
    #[serde(default, borrow)]
    pub(super) content: Option<&'a RawValue>,
}

/// The messages of a prompt.
#[derive(Debug, Default)]
pub(super) struct Messages<'a> {
    /// The first ones, and one more than are told apart.
    pub(super) first: Vec<Message<'a>>,
    /// How many there are.
    pub(super) count: usize,
}

impl<'de: 'a, 'a> Deserialize<'de> for Messages<'a> {
    fn deserialize<D: Deserializer<'de>>(raw: D) -> Result<Self, D::Error> {
        raw.deserialize_seq(First)
    }
}

struct First;

impl<'de> Visitor<'de> for First {
    type Value = Messages<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut all: A) -> Result<Messages<'de>, A::Error> {
        let mut messages = Messages::default();
        while let Some(message) = all.next_element()? {
            messages.count += 1;
            if messages.first.len() <= MAX_PARTS {
                messages.first.push(message);
            }
        }
        Ok(messages)
    }
}
