//! Replaces fields of a JSON object without decoding the others.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeSeed, MapAccess, Visitor},
};
use serde_json::{Value, value::RawValue};

/// Returns the JSON object `body` with `fields` in place of its own fields of these names.
///
/// # Errors
///
/// Fails if `body` is no JSON object.
pub(crate) fn rewritten(body: &[u8], fields: &[(&str, Value)]) -> serde_json::Result<Vec<u8>> {
    let mut parser = serde_json::Deserializer::from_slice(body);
    let rewrite = Rewrite {
        fields,
        out: Vec::with_capacity(body.len()),
    };
    let mut out = rewrite.deserialize(&mut parser)?;
    for (name, value) in fields {
        begin_field(&mut out, name)?;
        serde_json::to_writer(&mut out, value)?;
    }
    out.push(b'}');
    Ok(out)
}

/// Writes an object without its end.
struct Rewrite<'a> {
    fields: &'a [(&'a str, Value)],
    out: Vec<u8>,
}

impl<'de> DeserializeSeed<'de> for Rewrite<'_> {
    type Value = Vec<u8>;

    fn deserialize<D: Deserializer<'de>>(self, raw: D) -> Result<Vec<u8>, D::Error> {
        raw.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Rewrite<'_> {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut all: A) -> Result<Vec<u8>, A::Error> {
        self.out.push(b'{');
        while let Some((Name(name), value)) = all.next_entry::<Name<'de>, &RawValue>()? {
            if self.fields.iter().any(|(replaced, _)| *replaced == name) {
                continue;
            }
            let begun = begin_field(&mut self.out, &name);
            begun.map_err(serde::de::Error::custom)?;
            self.out.extend_from_slice(value.get().as_bytes());
        }
        Ok(self.out)
    }
}

#[derive(Deserialize)]
struct Name<'a>(#[serde(borrow)] Cow<'a, str>);

fn begin_field(out: &mut Vec<u8>, name: &str) -> serde_json::Result<()> {
    if out.last() != Some(&b'{') {
        out.push(b',');
    }
    serde_json::to_writer(&mut *out, name)?;
    out.push(b':');
    Ok(())
}
