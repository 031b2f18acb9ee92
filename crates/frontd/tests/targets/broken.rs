//! Answers whose head is no head, or doesn't tell one length of the body, at every byte.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, future::join_all, stream};
use googletest::prelude::*;
use tokio::runtime::Builder;

use crate::{
    deployment::Deployment,
    links::Cut,
    raw::{self, Ask, Exchange},
    raw_target::{CLOSE, RawTarget, Seen},
};

/// Targets of a deployment.
const TARGETS: u8 = 3;

/// Requests at the same time.
const AT_ONCE: usize = 32;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(4);

/// The body of an answer, in two lines so that it could be taken for the rest of a head.
const BODY: &str = "first: 1\r\nsecond lines of it";

/// Bytes that take the place of one byte of a head, or come before it.
const SPOILT: [&str; 12] = [
    "", "\0", "\x01", "\t", "\n", "\r", " ", ",", "0", ":", "x", "\x7f",
];

/// How callers reach targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    /// Through another instance.
    Helper,
}

/// Answers to requests on a route.
#[derive(Clone, Copy, Debug)]
struct Case {
    way: Way,
    path: &'static str,
    /// All answers, each with its connection's end where that is part of it.
    answers: fn() -> Vec<String>,
}

const ONCE: Case = Case {
    way: Way::Direct,
    path: "/once/x",
    answers: broken,
};

fn chunked() -> String {
    format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len())
}

/// Returns an answer with these lines in its head.
fn with(fields: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nattempt: {{id}}\r\n{fields}\r\n{body}{CLOSE}")
}

/// Returns answers whose length is told in no way that HTTP has, or whose head has a line that
/// is no field.
fn broken() -> Vec<String> {
    let length = BODY.len();
    let whole = format!("content-length: {length}\r\n");
    let codings = [
        "chunke",
        "chunkedd",
        "xchunked",
        "chunked,",
        ",",
        "",
        "identity",
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "chunked;q=1",
        "\"chunked\"",
        "chun ked",
    ];
    let coded = codings.map(|coding| with(&format!("transfer-encoding: {coding}\r\n"), &chunked()));
    let twice = [
        with(
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
            &chunked(),
        ),
        with(
            "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n",
            &chunked(),
        ),
        with(
            &format!("{whole}transfer-encoding: chunked\r\n"),
            &chunked(),
        ),
        with(
            &format!("transfer-encoding: chunked\r\n{whole}"),
            &chunked(),
        ),
        with(&format!("transfer-encoding: chunke\r\n{whole}"), &chunked()),
        with(&format!("{whole}content-length: 3\r\n"), BODY),
    ];
    let lengths = [
        "", "+28", "-28", "2 8", "0x1c", "28.0", "28;", "28, 3", ",", "28,", "1c", "28\0",
    ];
    let lengths = lengths.map(|raw| with(&format!("content-length: {raw}\r\n"), BODY));
    let lines = [
        "no field",
        "no-field",
        ": empty",
        " folded: 1",
        "\tfolded: 1",
        "na me: 1",
        "na\x01me: 1",
        "na\x7fme: 1",
        "name : 1",
        "name\t: 1",
        "na\0me: 1",
        "name: 1\0",
        "name: \x01",
        "na(me: 1",
        "na\"me: 1",
        "name: 1\rother: 2",
        "\r",
        "content length: 28",
        "content-length 28",
    ];
    let lines = lines.map(|line| with(&format!("{whole}{line}\r\n"), BODY));
    let bare = lines.clone().map(|answer| answer.replace(&whole, ""));
    let starts = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 101 OK",
        "HTTP/1.1 205 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 2 0 OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1.1.1 200 OK",
        "http/1.1 200 OK",
        "XTTP/1.1 200 OK",
        "HTTP 200 OK",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\x01K",
        "",
        " HTTP/1.1 200 OK",
        "ICY 200 OK",
        "200 OK",
    ];
    let sound = with(&whole, BODY);
    let starts = starts.map(|start| sound.replace("HTTP/1.1 200 OK", start));
    let coded_old = with("transfer-encoding: chunked\r\n", &chunked()).replace("/1.1", "/1.0");
    [
        coded.to_vec(),
        twice.to_vec(),
        lengths.to_vec(),
        lines.to_vec(),
        bare.to_vec(),
        starts.to_vec(),
    ]
    .concat()
    .into_iter()
    .chain([coded_old])
    .collect()
}

/// Returns answers with one byte of the line that tells the length spoilt, left out or put before
/// it.
fn spoilt() -> Vec<String> {
    let length = format!("content-length: {}\r\n", BODY.len());
    let coding = "transfer-encoding: chunked\r\n";
    let lengths = spoil(&length).into_iter();
    let lengths = lengths.filter(|line| !tells_less(line));
    let codings = spoil(coding).into_iter();
    let lengths = lengths.map(|line| with(&line, BODY));
    lengths
        .chain(codings.map(|line| with(&line, &chunked())))
        .collect()
}

/// Returns a line with each byte spoilt in turn.
fn spoil(line: &str) -> Vec<String> {
    let all = (0..line.len()).flat_map(|at| {
        let (before, rest) = line.split_at(at);
        SPOILT.map(|byte| {
            let instead = format!("{before}{byte}{}", &rest[1..]);
            [instead, format!("{before}{byte}{rest}")]
        })
    });
    let all = all.flatten();
    all.filter(|spoilt| spoilt != line).collect()
}

/// Returns whether a line is a sound one that tells a smaller length: nothing in the head shows
/// that it was another one.
fn tells_less(line: &str) -> bool {
    let Some(field) = line.strip_suffix("\r\n") else {
        return false;
    };
    let value = field.strip_prefix("content-length:");
    let length = value.and_then(|value| value.trim_matches([' ', '\t']).parse().ok());
    length.is_some_and(|length: usize| length < BODY.len())
}

/// Starts a deployment with targets that answer with raw bytes.
async fn start(way: Way) -> Deployment {
    let seen = Seen::default();
    let targets = join_all((0..TARGETS).map(|no| RawTarget::start(no, Arc::clone(&seen)))).await;
    let list = Arc::new(move || targets.iter().map(RawTarget::listed).collect());
    let deployment = Deployment::start_listed(3, list).await;
    if way == Way::Helper {
        deployment.links(1).set(Cut::RefusesNew);
        deployment.wait_ready(1).await;
    }
    deployment
}

/// Returns what callers got whose targets answered so.
fn play(case: Case) -> Vec<(String, Exchange)> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let deployment = start(case.way).await;
        let addr = deployment.caller_addr(1);
        let asked = (case.answers)().into_iter().map(|answer| {
            let id = format!("a{:05}", deployment.next_id());
            async move {
                let ask = Ask {
                    path: case.path,
                    id,
                    minor: 1,
                    deadline: DEADLINE,
                    tokens: 50,
                    fields: Vec::new(),
                    body: answer.clone(),
                };
                (answer, raw::exchange_bytes(addr, &ask).await)
            }
        });
        stream::iter(asked)
            .buffer_unordered(AT_ONCE)
            .collect()
            .await
    })
}

/// Checks that no caller gets a broken answer: it gets none, a failure of ours, or where it may
/// be run again, the answer of another target.
fn check_refused(case: Case) {
    let repeats = case.path == "/repeatable/x";
    let all = play(case).into_iter();
    let wrong: Vec<_> = all
        .filter(|(_, got)| match repeats {
            true => !got.is_success_with("second"),
            false => got.status() != Some(502) || !got.is_whole(),
        })
        .collect();
    assert_that!(wrong, is_empty());
}

/// Checks that a success has the target's whole body, and a head of fields only.
fn check_spoilt(case: Case) {
    let wrong: Vec<_> = play(case)
        .into_iter()
        .filter(|(_, got)| {
            let own = ["second", BODY]
                .iter()
                .any(|body| got.is_success_with(body));
            !got.is_whole() || (got.is_success() && !own)
        })
        .collect();
    assert_that!(wrong, is_empty());
}

base::cases! {
    /// Guards against an answer whose head is none, or tells no length, that a caller gets as
    /// complete with other bytes than the target's body.
    answers_with_a_broken_head_reach_no_caller: check_refused => {
        once: ONCE,
        once_through_another_instance: Case { way: Way::Helper, ..ONCE },
        repeatable: Case { path: "/repeatable/x", ..ONCE },
        stream: Case { path: "/x", ..ONCE },
    }
}

base::cases! {
    /// Guards against a head that is spoilt at one byte where it tells the length, and whose
    /// body reaches a caller as something else.
    a_spoilt_length_changes_no_body: check_spoilt => {
        once: Case { answers: spoilt, ..ONCE },
        repeatable: Case { path: "/repeatable/x", answers: spoilt, ..ONCE },
    }
}

/// Returns answers in all framings that HTTP has, as targets may write them.
fn sound() -> Vec<String> {
    let length = BODY.len();
    let plain = |fields: &str| with(fields, BODY);
    let long = format!("content-length: {length}\r\n");
    let odd = format!(
        "1\r\nf\r\n{:x};ext=\"1\"\r\n{}\r\n00\r\nafter: 1\r\n\r\n",
        length - 1,
        &BODY[1..]
    );
    vec![
        plain(&long),
        plain(&format!("Content-Length:{length}\r\n")),
        plain(&format!("CONTENT-LENGTH: \t {length} \t \r\n")),
        plain(&format!("content-length: {length}, {length}\r\n")),
        plain(&format!("{long}{long}")),
        plain(&format!(
            "{long}empty:\r\nx!#$%&'*+-.^_`|~9: any \u{e4} text\r\n"
        )),
        plain(&format!("{long}connection: close\r\n")),
        with("transfer-encoding: chunked\r\n", &chunked()),
        with("Transfer-Encoding:Chunked\r\n", &chunked()),
        with(
            "TRANSFER-ENCODING: \t chunked \t\r\ntrailer: after\r\n",
            &odd,
        ),
        plain(""),
        plain("connection: close\r\n"),
        plain("").replace("/1.1", "/1.0"),
        plain(&long).replace("/1.1", "/1.0"),
        plain(&long).replace("200 OK", "200 "),
        plain(&long).replace("200 OK", "200"),
        plain(&long).replace("200 OK", "299 Fine, \t and so on"),
        plain(&long).replace(CLOSE, ""),
        with("transfer-encoding: chunked\r\n", &chunked()).replace(CLOSE, ""),
        format!(
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nlink: x\r\n\r\n{}",
            plain(&long)
        ),
        format!("HTTP/1.1 100 Continue\r\n\r\n{}", plain("")),
        plain(&long)
            .replace("\r\n", "\n")
            .replace("1\nsecond", "1\r\nsecond"),
    ]
}

/// Returns the same answers, which say that they hold no events.
fn sound_on_a_route_for_streams() -> Vec<String> {
    let answers = sound().into_iter();
    answers
        .map(|answer| match answer.split_once("\r\nattempt:") {
            Some((before, after)) => {
                format!("{before}\r\ncontent-type: text/plain\r\nattempt:{after}")
            }
            None => answer.replace("attempt:", "content-type: text/plain\nattempt:"),
        })
        .collect()
}

/// Checks that callers get sound answers unchanged.
fn check_served(case: Case) {
    let wrong: Vec<_> = play(case)
        .into_iter()
        .filter(|(_, got)| !got.is_success_with(BODY))
        .collect();
    assert_that!(wrong, is_empty());
}

base::cases! {
    /// Guards against sound answers that are refused as broken.
    answers_of_every_framing_are_served: check_served => {
        once: Case { answers: sound, ..ONCE },
        once_through_another_instance: Case { way: Way::Helper, answers: sound, ..ONCE },
        stream: Case { path: "/x", answers: sound_on_a_route_for_streams, ..ONCE },
    }
}
