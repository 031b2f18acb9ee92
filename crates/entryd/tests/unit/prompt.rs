//! Chat bodies that are read in part and passed on.

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{Value, json};

use super::{Chat, rewritten};

fn chat(body: &str) -> Option<Chat> {
    Chat::try_from(Bytes::from(body.to_owned())).ok()
}

/// Guards against fields that are lost, changed or doubled on the way to an engine.
#[gtest]
fn only_the_named_fields_are_replaced() {
    let body =
        r#" { "a\"b" : [1, {"x":null}], "model":"drafting","t":1.50,"priority":7,"messages":[] } "#;
    let fields = [("model", json!("kazaliste-live@1")), ("priority", json!(2))];
    let out = rewritten(body.as_bytes(), &fields).unwrap();
    let out: Value = serde_json::from_slice(&out).unwrap();
    let expected = json!({"a\"b": [1, {"x": null}], "model": "kazaliste-live@1", "t": 1.5,
        "priority": 2, "messages": []});
    expect_that!(out, eq(&expected));
    let empty = rewritten(b"{}", &fields[1..]).unwrap();
    expect_that!(empty, eq(br#"{"priority":2}"#));
}

/// Guards against bodies that are no chat and are passed on.
#[gtest]
fn what_is_no_chat_is_refused() {
    for body in [
        "",
        "[]",
        r#"["m",true,1,[]]"#,
        "{}",
        r#"{"model":"m"}"#,
        r#"{"model":"m","messages":{}}"#,
    ] {
        expect_that!(chat(body).is_none(), eq(true), "{body}");
    }
}

/// Guards against prompts that are told apart by the way in which they are written.
#[gtest]
fn spaces_and_escapes_change_no_part() {
    let one = chat(
        r#"{"model":"m","messages":[{"role":"user","content":"a\u0062"},{"content":["x", 1]},{}]}"#,
    );
    let two = chat(
        r#"{"messages" : [{"content":"ab","role":"user"},{"content":["x",1]},{}],"model":"m"}"#,
    );
    let (one, two) = (one.unwrap(), two.unwrap());
    expect_that!(one.parts, eq(&two.parts));
    expect_that!(one.parts.len(), eq(2));
    expect_that!(one.prefix, eq(two.prefix));
}

/// Guards against a message that crashes engines behind many others: what isn't looked at is never
/// suspected.
#[gtest]
fn messages_are_told_apart_wherever_they_stand() {
    let messages: Vec<_> = (0..300)
        .map(|no| format!(r#"{{"role":"user","content":"{no}"}}"#))
        .collect();
    let parts = |last: &str| {
        let messages = messages.join(",");
        let body =
            format!(r#"{{"model":"m","messages":[{messages},{{"content":"{last}"}},{{}}]}}"#);
        chat(&body).unwrap().parts
    };
    let (one, other) = (parts("one"), parts("other"));
    expect_that!(one.len(), eq(301));
    expect_that!(
        one.iter().filter(|part| !other.contains(part)).count(),
        eq(1)
    );
}
