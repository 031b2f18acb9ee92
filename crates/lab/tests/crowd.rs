//! Crowds of clients that don't behave, against the daemons of the product's own way.
//!
//! Each case holds the daemons to the limits of their machines, as the tests of the users'
//! platform do. The crowds run one at a time.

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use googletest::prelude::*;
use lab::{Chat, Crowd, Lab, Plan, Script, Watch, until};
use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpListener,
    sync::Mutex,
    time::sleep,
};

/// The configuration text; its bodies may be as large as the users' own.
const TEXT: &str = include_str!("processes/text.toml");

/// Largest body that the text allows, in bytes.
const BODY_MAX: usize = 4 << 20;

/// Key of the brand whose assistant is `drafting`.
const KEY: &str = "sample-key-kazaliste";

/// Memory of a machine, in bytes: less than the smallest of the users' machines has.
const MEMORY: u64 = 100_000_000;

/// Descriptors of a machine.
const DESCRIPTORS: usize = 3_075;

/// Descriptors of a machine that has few.
const FEW_DESCRIPTORS: usize = 400;

/// Clients whose bodies are more than the memory of the machine.
const BODIES: usize = 48;

/// Clients whose heads exceed the memory of the machine.
const HEADS: usize = 2_800;

/// Size of an unfinished head, in bytes: below every limit.
const HEAD: usize = 30 << 10;

/// Clients that use more descriptors than a machine with few has.
const CONNECTIONS: usize = 700;

/// Clients whose operators' bodies are more than the memory of the machine.
const TEXTS: usize = 8;

/// Size of an operator's body or of another instance's message, in bytes.
const LARGE: usize = (31 << 20) - 1;

/// Requests at the same time whose target is in trouble.
const ANSWERS: usize = 100;

/// Time in which a target sends what it does.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Time in which the platform's list is read by all.
const LIST_TIME: Duration = Duration::from_secs(2);

/// One crowd at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// The listener of a daemon that a crowd goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Callers,
    EntryPeers,
    Operators,
    ControlPeers,
}

/// A crowd: the descriptors of the machine, the listener that it goes to, its members, and
/// what each sends.
type Row = (usize, Listener, usize, fn(usize) -> Script);

/// Runs one crowd against a deployment.
fn check((descriptors, listener, members, script): Row) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let _turn = TURN.lock().await;
        let mut lab = start(descriptors).await.unwrap();
        let daemons = lab.entries.iter().chain(&lab.controls);
        let pids: Vec<u32> = daemons
            .map(|d| d.process.as_ref().unwrap().id().unwrap())
            .collect();
        let watches: Vec<Watch> = pids.into_iter().map(Watch::start).collect();
        let crowd = Crowd::send(address(&lab, listener), members, script).await;
        until_answered(&lab).await.unwrap();
        drop(crowd);
        until_answered(&lab).await.unwrap();
        let used: Vec<_> = watches.into_iter().map(Watch::peak).collect();
        println!("{used:?}");
        for daemon in lab.entries.iter_mut().chain(&mut lab.controls) {
            let process = daemon.process.as_mut().unwrap();
            assert_that!(process.is_running().unwrap(), eq(true));
        }
        for used in used {
            assert_that!(used.memory, le(MEMORY));
            assert_that!(used.descriptors, le(descriptors));
        }
        lab.clean().unwrap();
    });
}

/// Starts a deployment on machines with few resources and waits until it answers.
async fn start(descriptors: usize) -> Result<Lab> {
    let plan = Plan {
        controls: 1,
        engine_flags: vec!["--token-ms".to_owned(), "20".to_owned()],
        daemon_env: vec![
            ("QUETZAL_MEMORY".to_owned(), MEMORY.to_string()),
            ("QUETZAL_DESCRIPTORS".to_owned(), descriptors.to_string()),
        ],
        ..Plan::small()
    };
    let lab = Lab::start("crowd", &plan).await?;
    let text = TEXT.replace(
        "max-body-bytes = 65536",
        &format!("max-body-bytes = {BODY_MAX}"),
    );
    let version = lab.apply("first", &text).await?;
    lab.wait_ready(version).await?;
    until_answered(&lab).await?;
    Ok(lab)
}

fn address(lab: &Lab, listener: Listener) -> SocketAddr {
    match listener {
        Listener::Callers => lab.entries[0].listen,
        Listener::EntryPeers => lab.entries[0].peer,
        Listener::Operators => lab.controls[0].listen,
        Listener::ControlPeers => lab.controls[0].peer,
    }
}

/// Sends one ordinary request until it is answered: while it isn't, its caller is told to come
/// back.
async fn until_answered(lab: &Lab) -> Result<()> {
    let ask = async || {
        let chat = Chat {
            tokens: 2,
            ..Chat::stream("drafting", "hello")
        };
        let reply = lab.caller(0, KEY).chat(&chat).await.ok()?;
        (reply.status == 200 && reply.complete).then_some(())
    };
    until("an ordinary request that is answered", ask).await
}

fn post(path: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Type: application/json\r\n{more}\r\n"
    )
}

fn sized(path: &str, length: usize) -> String {
    post(path, &format!("Content-Length: {length}\r\n"))
}

const CHAT: &str = "/v1/chat/completions";

/// A body of the largest size that stops just short of its end.
fn almost_whole(_: usize) -> Script {
    Script::body(sized(CHAT, BODY_MAX), BODY_MAX - 1, BODY_MAX - 1)
}

/// A body in large chunks that lacks its last chunk.
fn large_chunks(_: usize) -> Script {
    let chunked = post(CHAT, "Transfer-Encoding: chunked\r\n");
    Script::chunks(chunked, BODY_MAX / (256 << 10), 256 << 10)
}

/// A body in chunks of 16 bytes that lacks its last chunk.
fn small_chunks(_: usize) -> Script {
    let chunked = post(CHAT, "Transfer-Encoding: chunked\r\n");
    Script::chunks(chunked, BODY_MAX / 16, 16).batched(256)
}

/// A whole request with a large prompt.
fn whole(_: usize) -> Script {
    let body = json!({"model": "drafting", "max_tokens": 2_000, "stream": true,
        "messages": [{"role": "user", "content": "p".repeat(BODY_MAX - 1_024)}]});
    let body = body.to_string();
    Script::only(format!("{}{body}", sized(CHAT, body.len())))
}

/// A whole request with very many small values.
fn small_values(_: usize) -> Script {
    let values = "0,".repeat(BODY_MAX / 2 - 1_024);
    let body = format!(
        r#"{{"model":"drafting","max_tokens":2000,"stream":true,"messages":[{{"role":"user","content":"p"}}],"values":[{values}0]}}"#
    );
    Script::only(format!("{}{body}", sized(CHAT, body.len())))
}

/// A head that has no end.
fn endless_head(_: usize) -> Script {
    let long = "h".repeat(HEAD);
    Script::only(format!(
        "GET /v1/models HTTP/1.1\r\nHost: a\r\nX-Long: {long}"
    ))
}

/// Nothing at all, for some time.
fn silent(_: usize) -> Script {
    Script {
        pause: Duration::from_secs(2),
        ..Script::default()
    }
}

/// A request for a long answer that isn't read.
fn unread_answer(member: usize) -> Script {
    let body = json!({"model": "drafting", "max_tokens": 20_000, "stream": true,
        "messages": [{"role": "user", "content": format!("p{member}")}]});
    let body = body.to_string();
    Script::only(format!("{}{body}", sized(CHAT, body.len())))
}

/// A request that runs for long, and bytes that are sent on behind it.
fn sent_ahead(member: usize) -> Script {
    let head = unread_answer(member).head;
    let mut script = Script::body(head, 512 << 10, 16 << 10);
    script.pause = Duration::from_millis(300);
    script
}

/// A request of another instance that stops just short of its end.
fn hop_almost_whole(_: usize) -> Script {
    Script::body(sized("/quetzal/hop", BODY_MAX), BODY_MAX - 1, 64 << 10)
}

/// A message of another instance that lacks its last byte.
fn unfinished_call(_: usize) -> Script {
    let upgrade = "GET /quetzal/call HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n\
                   Upgrade: quetzal-call/1\r\n\r\n";
    let mut script = Script::body(upgrade, LARGE, 64 << 10);
    let size = u32::try_from(LARGE + 1).unwrap();
    script.lead = size.to_be_bytes().to_vec().into();
    script.pause = Duration::from_millis(300);
    script
}

/// A configuration text that lacks its last byte.
fn text_almost_whole(_: usize) -> Script {
    Script::body(sized("/v1/apply", LARGE + 1), LARGE, 64 << 10)
}

base::cases! {
    /// Guards against a daemon that runs out of memory by what clients send or don't read.
    a_crowd_is_borne_by_daemons: check => {
        bodies_almost_whole: (DESCRIPTORS, Listener::Callers, BODIES, almost_whole),
        bodies_in_large_chunks: (DESCRIPTORS, Listener::Callers, BODIES, large_chunks),
        bodies_in_small_chunks: (DESCRIPTORS, Listener::Callers, BODIES, small_chunks),
        whole_bodies_that_wait: (DESCRIPTORS, Listener::Callers, BODIES, whole),
        whole_bodies_of_small_values: (DESCRIPTORS, Listener::Callers, BODIES, small_values),
        endless_heads: (DESCRIPTORS, Listener::Callers, HEADS, endless_head),
        unread_answers: (DESCRIPTORS, Listener::Callers, 200, unread_answer),
        bytes_sent_ahead: (DESCRIPTORS, Listener::Callers, 800, sent_ahead),
        hops_almost_whole: (DESCRIPTORS, Listener::EntryPeers, BODIES, hop_almost_whole),
        heads_at_the_peers_of_an_entry_instance: (DESCRIPTORS, Listener::EntryPeers, HEADS, endless_head),
        calls_almost_whole_at_an_entry_instance: (DESCRIPTORS, Listener::EntryPeers, TEXTS, unfinished_call),
        texts_almost_whole: (DESCRIPTORS, Listener::Operators, TEXTS, text_almost_whole),
        heads_at_the_operators: (DESCRIPTORS, Listener::Operators, HEADS, endless_head),
        calls_almost_whole_at_a_control_instance: (DESCRIPTORS, Listener::ControlPeers, TEXTS, unfinished_call),
        heads_at_the_peers_of_a_control_instance: (DESCRIPTORS, Listener::ControlPeers, HEADS, endless_head),
    }

    /// Guards against a daemon that has no descriptor left for its targets and peers.
    connections_to_daemons_are_bounded: check => {
        of_callers: (FEW_DESCRIPTORS, Listener::Callers, CONNECTIONS, silent),
        of_the_peers_of_an_entry_instance: (FEW_DESCRIPTORS, Listener::EntryPeers, CONNECTIONS, silent),
        of_operators: (FEW_DESCRIPTORS, Listener::Operators, CONNECTIONS, silent),
        of_the_peers_of_a_control_instance: (FEW_DESCRIPTORS, Listener::ControlPeers, CONNECTIONS, silent),
    }
}

/// What a plain service answers whose answers don't end.
#[derive(Clone, Copy, Debug)]
struct Unfinished {
    /// The head, and the beginning of the body.
    head: &'static str,
    /// Bytes of the body that are sent, and then nothing.
    bytes: usize,
}

/// Answers each request on a connection of its own.
async fn unfinished(answer: Unfinished) -> Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = BufReader::new(&mut stream).lines();
                while head.next_line().await?.is_some_and(|line| !line.is_empty()) {}
                stream.write_all(answer.head.as_bytes()).await?;
                let piece = vec![b'a'; 64 << 10];
                for _ in 0..answer.bytes / piece.len() {
                    stream.write_all(&piece).await?;
                }
                // Until the other side has closed.
                stream.read_u8().await
            });
        }
    });
    Ok(addr)
}

/// Sends requests to a plain service that answers so.
fn check_answers(answer: Unfinished) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let _turn = TURN.lock().await;
        let mut lab = start(DESCRIPTORS).await.unwrap();
        let sound = lab.services[0].listed;
        lab.services[0].listed = unfinished(answer).await.unwrap();
        lab.publish().await.unwrap();
        sleep(LIST_TIME).await;
        let pid = lab.entries[0].process.as_ref().unwrap().id().unwrap();
        let watch = Watch::start(pid);
        let ask = |_| Script::only(sized("/kazaliste/listing/x", 0));
        let crowd = Crowd::send(lab.entries[0].listen, ANSWERS, ask).await;
        sleep(ANSWER_TIME).await;
        until_answered(&lab).await.unwrap();
        drop(crowd);
        lab.services[0].listed = sound;
        lab.publish().await.unwrap();
        until_answered(&lab).await.unwrap();
        let used = watch.peak();
        println!("{used:?}");
        let process = lab.entries[0].process.as_mut().unwrap();
        assert_that!(process.is_running().unwrap(), eq(true));
        assert_that!(used.memory, le(MEMORY));
        lab.clean().unwrap();
    });
}

base::cases! {
    /// Guards against a daemon that runs out of memory by what targets send.
    targets_in_trouble_are_borne_by_daemons: check_answers => {
        events_that_stop: Unfinished {
            head: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ",
            bytes: 960 << 10,
        },
        events_without_end: Unfinished {
            head: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ",
            bytes: 64 << 20,
        },
        bodies_that_stop: Unfinished {
            head: "HTTP/1.1 200 OK\r\ncontent-length: 8000000\r\n\r\n",
            bytes: 7 << 20,
        },
        documents_that_stop: Unfinished {
            head: "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n[",
            bytes: 7 << 20,
        },
    }
}
