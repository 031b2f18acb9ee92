//! Parsing of server-sent events that are split at every byte.

use base::{Failure, Refusal};
use googletest::prelude::*;
use web::sse::{self, Event, EventEnds, Parser};

fn stream() -> Vec<u8> {
    let token = r#"{"choices":[{"delta":{"content":"ab "}}]}"#;
    let empty = r#"{"choices":[{"delta":{"content":""}}]}"#;
    let mut bytes = Vec::new();
    bytes.extend(sse::data(empty));
    bytes.extend_from_slice(sse::PING);
    bytes.extend(sse::data(token));
    bytes.extend_from_slice(b"event: x\r\ndata:one\r\ndata: two\r\n\r\n");
    bytes.extend(sse::data(token));
    bytes.extend_from_slice(sse::DONE_EVENT);
    bytes
}

#[gtest]
fn events_are_the_same_wherever_they_are_cut() {
    let bytes = stream();
    for at in 0..=bytes.len() {
        let (mut parser, mut events) = (Parser::default(), Vec::new());
        for part in [&bytes[..at], &bytes[at..]] {
            parser.push(part, &mut events).unwrap();
        }
        expect_that!(events.len(), eq(5), "cut at {at}");
        expect_that!(events[2].data, eq("one\ntwo"));
        expect_that!(parser.tokens(), eq(2));
        expect_that!(parser.is_done(), eq(true));
    }
}

#[gtest]
fn a_stream_cut_anywhere_is_not_done() {
    let bytes = stream();
    for at in 0..bytes.len() {
        let (mut parser, mut events) = (Parser::default(), Vec::new());
        parser.push(&bytes[..at], &mut events).unwrap();
        expect_that!(parser.is_done(), eq(false), "cut at {at}");
    }
}

#[gtest]
fn an_error_event_is_no_token_and_no_end() {
    let bytes = sse::error(&Failure::not_run(Refusal::TargetFailed));
    let (mut parser, mut events) = (Parser::default(), Vec::new());
    parser.push(&bytes, &mut events).unwrap();
    expect_that!(events.len(), eq(1));
    expect_that!(events[0].token(), none());
    expect_that!(parser.is_done(), eq(false));
}

#[gtest]
fn an_endless_event_is_refused() {
    let mut parser = Parser::default();
    let big = vec![b'x'; sse::EVENT_MAX + 1];
    expect_that!(parser.push(&big, &mut Vec::new()), err(eq(sse::BadStream)));
}

#[gtest]
fn an_event_is_written_as_it_was_read() {
    let event = Event {
        data: String::from("one\ntwo"),
    };
    let (mut parser, mut events) = (Parser::default(), Vec::new());
    parser.push(&event.to_bytes(), &mut events).unwrap();
    expect_that!(events, elements_are![eq(&event)]);
}

/// Guards against a stream that is cut within an event and counts as complete.
#[gtest]
fn the_ends_of_events_are_found_wherever_they_are_cut() {
    for line_end in ["\n", "\r\n", "\r"] {
        let text = "id: 1\ndata: a\n\n: x\n\n\nid: 2\n\n".replace('\n', line_end);
        let bytes = text.as_bytes();
        for at in 0..=bytes.len() {
            let before = &text[..at];
            // Only what comes next shows that a first CR ends its line.
            let between = before.is_empty() || before.ends_with(&line_end.repeat(2));
            let mut ends = EventEnds::default();
            let first = ends.push(&bytes[..at]);
            expect_that!(ends.is_within(), eq(!between), "cut at {at} of {text:?}");
            if between && at > 0 {
                expect_that!(first, some(eq(at)));
            }
            let all = ends.push(&bytes[at..]);
            expect_that!(ends.is_within(), eq(false), "cut at {at} of {text:?}");
            let rest = bytes.len() - at;
            expect_that!(
                all,
                eq((rest > 0).then_some(rest)),
                "cut at {at} of {text:?}"
            );
        }
    }
}
