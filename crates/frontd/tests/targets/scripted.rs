//! A target that frames its answers in any way and ends them at any byte. What it does is
//! written in the request's body.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::deployment::{Listed, listed_target};

/// Slots that the platform lists.
const SLOTS: u32 = 1_000;

/// Events of a complete answer; the id of each is its number.
const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

/// An event more that a run has which goes on elsewhere.
pub(crate) const MORE: &str = "id: 4\ndata: four\n\n";

/// Size of the chunks: they end within events.
const CHUNK: usize = 7;

/// A complete answer.
const ALL: Script = Script {
    content: Content::Lf,
    framing: Framing::Length,
    end: End::Close,
    sent: usize::MAX,
    again: Framing::Length,
};

/// How an answer shows where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length,
    Chunks,
    /// By the end of its connection.
    Neither,
}

/// What happens after the last byte that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Close,
    Reset,
    Silence,
    /// Bytes that don't end, see [`Endless`].
    Endless(Endless),
    /// Silence for as many milliseconds, and then the rest of the answer.
    Pause(u64),
    /// Silence for as many milliseconds, and then a reset.
    PauseReset(u64),
}

/// What a target sends on and on until its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endless {
    /// One character.
    Text,
    /// Chunks of the same.
    Chunks,
    /// Interim answers.
    Interim,
}

impl Endless {
    const ALL: [Endless; 3] = [Endless::Text, Endless::Chunks, Endless::Interim];

    /// Returns some kilobytes of it.
    fn bytes(self) -> Vec<u8> {
        let text = "x".repeat(4_096);
        match self {
            Endless::Text => text.into_bytes(),
            Endless::Chunks => format!("1000\r\n{text}\r\n").into_bytes(),
            Endless::Interim => "HTTP/1.1 102 Processing\r\n\r\n".repeat(64).into_bytes(),
        }
    }
}

/// Most time for which a target sends what doesn't end.
const ENDLESS_TIME: Duration = Duration::from_secs(8);

/// Sends until the other side closes its connection.
async fn send_endless(stream: &mut TcpStream, what: Endless) {
    let bytes = what.bytes();
    let until = Instant::now() + ENDLESS_TIME;
    while Instant::now() < until && stream.write_all(&bytes).await.is_ok() {}
}

/// Returns the number in brackets behind `name`.
fn number(raw: &str, name: &str) -> Option<u64> {
    let rest = raw.strip_prefix(name)?.strip_prefix('(')?;
    rest.strip_suffix(')')?.parse().ok()
}

impl FromStr for End {
    type Err = ();

    fn from_str(raw: &str) -> Result<Self, ()> {
        match raw {
            "Close" => Ok(End::Close),
            "Reset" => Ok(End::Reset),
            "Silence" => Ok(End::Silence),
            _ if raw.starts_with("Endless") => {
                let mut all = Endless::ALL.into_iter().map(End::Endless);
                all.find(|end| format!("{end:?}") == raw).ok_or(())
            }
            _ => number(raw, "PauseReset")
                .map(End::PauseReset)
                .or_else(|| number(raw, "Pause").map(End::Pause))
                .ok_or(()),
        }
    }
}

/// What a target does with a request that has reached a target before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Again {
    /// Answers it in full.
    #[default]
    Answers,
    /// Answers it in full after some milliseconds.
    AnswersAfter(u64),
    /// Resets the connection after the head and the first event.
    Breaks,
    /// Says that it hasn't run it.
    Refuses,
    /// Answers that it failed.
    Fails,
    /// Does what is written in it once more.
    Plays,
    /// Closes the connection after as many bytes of the head, and before its last one.
    CutsHead(usize),
}

/// What an answer contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Content {
    /// Events whose lines end with LF.
    Lf,
    /// Events whose lines end with CRLF.
    Crlf,
    /// The same text, but no events.
    Plain,
    /// A stream of events whose bytes are encoded, so that none can be told apart.
    Encoded,
}

impl Content {
    fn headers(self) -> &'static str {
        match self {
            Content::Lf | Content::Crlf => "content-type: text/event-stream\r\n",
            Content::Plain => "content-type: text/plain\r\n",
            Content::Encoded => "content-type: text/event-stream\r\ncontent-encoding: x-bytes\r\n",
        }
    }

    /// Returns a complete answer, or what is left of it after the event with the id `last`.
    pub(crate) fn text(self, last: usize) -> String {
        let text = EVENTS[last..].concat();
        match self {
            Content::Lf | Content::Plain => text,
            Content::Crlf => text.replace('\n', "\r\n"),
            Content::Encoded => text.trim_end().to_owned(),
        }
    }
}

/// What the target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Script {
    pub(crate) content: Content,
    pub(crate) framing: Framing,
    pub(crate) end: End,
    /// Bytes of the answer that are sent, its head included.
    pub(crate) sent: usize,
    /// Framing of the complete answer if the request comes again.
    pub(crate) again: Framing,
}

impl Script {
    /// Returns the body of a request that asks for this.
    pub(crate) fn body(self) -> String {
        let Script {
            content,
            framing,
            end,
            sent,
            again,
        } = self;
        format!("{content:?} {framing:?} {end:?} {sent} {again:?}")
    }
}

impl FromStr for Script {
    type Err = ();

    fn from_str(raw: &str) -> Result<Self, ()> {
        let mut words = raw.split(' ');
        let content = match words.next() {
            Some("Lf") => Content::Lf,
            Some("Crlf") => Content::Crlf,
            Some("Plain") => Content::Plain,
            Some("Encoded") => Content::Encoded,
            _ => return Err(()),
        };
        let framing = words.next().ok_or(())?.parse()?;
        let end = words.next().ok_or(())?.parse()?;
        let sent = words.next().and_then(|raw| raw.parse().ok()).ok_or(())?;
        let again = words.next().ok_or(())?.parse()?;
        Ok(Script {
            content,
            framing,
            end,
            sent,
            again,
        })
    }
}

impl FromStr for Framing {
    type Err = ();

    fn from_str(raw: &str) -> Result<Self, ()> {
        match raw {
            "Length" => Ok(Framing::Length),
            "Chunks" => Ok(Framing::Chunks),
            "Neither" => Ok(Framing::Neither),
            _ => Err(()),
        }
    }
}

impl Script {
    /// Returns the head and the body of the complete answer to the request `id`, as they are
    /// written.
    pub(crate) fn answer(self, id: &str) -> (Vec<u8>, Vec<u8>) {
        self.answer_with(id, &self.content.text(0))
    }

    fn answer_with(self, id: &str, text: &str) -> (Vec<u8>, Vec<u8>) {
        let framed = match self.framing {
            Framing::Length => format!("content-length: {}\r\n", text.len()),
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Neither => "connection: close\r\n".to_owned(),
        };
        let headers = self.content.headers();
        let head = format!("HTTP/1.1 200 OK\r\nattempt: {id}\r\n{headers}{framed}\r\n");
        let body = match self.framing {
            Framing::Length | Framing::Neither => text.as_bytes().to_owned(),
            Framing::Chunks => chunked(text.as_bytes()),
        };
        (head.into_bytes(), body)
    }

    /// Returns an answer that breaks off after the first event.
    fn broken(self, id: &str) -> Script {
        let whole = Script {
            framing: self.again,
            ..ALL
        };
        let (head, _) = whole.answer_with(id, &(whole.content.text(0) + MORE));
        Script {
            end: End::Reset,
            sent: head.len() + EVENTS[0].len(),
            ..whole
        }
    }

    /// Returns an answer that ends within its head, after `sent` bytes at most.
    fn cut_head(self, id: &str, sent: usize) -> Script {
        let whole = Script {
            framing: self.again,
            ..ALL
        };
        let (head, _) = whole.answer_with(id, &whole.content.text(0));
        Script {
            sent: sent.min(head.len() - 1),
            ..whole
        }
    }

    /// Returns the number of bytes of the complete answer.
    pub(crate) fn whole(self, id: &str) -> usize {
        let (head, body) = self.answer(id);
        head.len() + body.len()
    }
}

fn chunked(text: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in text.chunks(CHUNK) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// What became of one request at all targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs {
    /// When it reached a target.
    pub(crate) reached: Vec<Instant>,
    /// When a target that it had reached before any other was left by its sender.
    pub(crate) left: Option<Instant>,
    /// When one was left that it had reached again.
    pub(crate) left_again: Option<Instant>,
    /// When a target that it had reached again began to answer.
    pub(crate) begun_again: Option<Instant>,
}

/// The requests that have reached any target, by id.
pub(crate) type Seen = Arc<Mutex<BTreeMap<String, Runs>>>;

/// A scripted target.
#[derive(Debug)]
pub(crate) struct Target {
    id: String,
    addr: SocketAddr,
}

impl Target {
    pub(crate) async fn start(no: usize, seen: Seen) -> Arc<Target> {
        Target::start_with(no, seen, Again::default()).await
    }

    pub(crate) async fn start_with(no: usize, seen: Seen, again: Again) -> Arc<Target> {
        let listener = TcpListener::bind((machine(no), 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(play(stream, Arc::clone(&seen), again));
            }
        });
        let id = format!("t{no}");
        Arc::new(Target { id, addr })
    }

    pub(crate) fn listed(&self) -> Listed {
        Listed {
            target: listed_target(self.id.clone(), self.addr, SLOTS),
            up: true,
        }
    }
}

/// Returns the address of a machine with one target.
fn machine(no: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 1 + u8::try_from(no).unwrap())
}

/// Notes that a request has reached a target, and returns whether it is the first one.
fn note_reached(seen: &Seen, id: &str) -> bool {
    let mut seen = seen.lock().unwrap();
    let runs = seen.entry(id.to_owned()).or_default();
    runs.reached.push(Instant::now());
    runs.reached.len() == 1
}

/// Answers the requests on one connection until an answer ends it.
async fn play(stream: TcpStream, seen: Seen, again: Again) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await {
        let first = note_reached(&seen, &request.id);
        let asked: Script = request.body.parse().unwrap_or(ALL);
        let script = match (first, again) {
            (true, _) | (_, Again::Plays) => asked,
            (false, Again::Breaks) => asked.broken(&request.id),
            (false, Again::CutsHead(sent)) => asked.cut_head(&request.id, sent),
            (false, _) => Script {
                framing: asked.again,
                ..ALL
            },
        };
        if !first {
            match again {
                Again::Refuses | Again::Fails => {
                    let error = error(&request.id, again == Again::Refuses);
                    if stream.get_mut().write_all(error.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                Again::AnswersAfter(ms) => {
                    if left_within(&mut stream, Duration::from_millis(ms)).await {
                        return note_left(&seen, &request.id, first);
                    }
                }
                Again::Answers | Again::Plays | Again::Breaks | Again::CutsHead(_) => {}
            }
            let mut seen = seen.lock().unwrap();
            let runs = seen.get_mut(&request.id).unwrap();
            runs.begun_again.get_or_insert_with(Instant::now);
        }
        let more = if first { "" } else { MORE };
        let text = script.content.text(request.last) + more;
        let (mut bytes, body) = script.answer_with(&request.id, &text);
        bytes.extend_from_slice(&body);
        let (sent, rest) = bytes.split_at(script.sent.min(bytes.len()));
        if stream.get_mut().write_all(sent).await.is_err() {
            return;
        }
        let mut whole = rest.is_empty();
        if let (End::Pause(ms) | End::PauseReset(ms), false) = (script.end, whole) {
            if left_within(&mut stream, Duration::from_millis(ms)).await {
                return note_left(&seen, &request.id, first);
            }
            if matches!(script.end, End::PauseReset(_)) {
                return stream.get_ref().set_zero_linger().unwrap();
            }
            if stream.get_mut().write_all(rest).await.is_err() {
                return;
            }
            whole = true;
        }
        if whole && script.framing != Framing::Neither {
            continue;
        }
        match script.end {
            End::Close | End::Pause(_) | End::PauseReset(_) => return,
            End::Reset => return stream.get_ref().set_zero_linger().unwrap(),
            End::Endless(what) => {
                send_endless(stream.get_mut(), what).await;
                return note_left(&seen, &request.id, first);
            }
            End::Silence => {
                // Until the other side has closed.
                stream.read_u8().await.ok();
                return note_left(&seen, &request.id, first);
            }
        }
    }
}

/// Returns whether the other side closes the connection within `time`.
async fn left_within(stream: &mut BufReader<TcpStream>, time: Duration) -> bool {
    tokio::select! {
        read = stream.read_u8() => {
            assert!(read.is_err(), "a request is sent before the last one is answered");
            true
        }
        () = sleep(time) => false,
    }
}

fn note_left(seen: &Seen, id: &str, first: bool) {
    let mut seen = seen.lock().unwrap();
    let runs = seen.get_mut(id).unwrap();
    let left = match first {
        true => &mut runs.left,
        false => &mut runs.left_again,
    };
    *left = Some(Instant::now());
}

/// Returns a server error, which says whether the request was refused.
fn error(id: &str, refused: bool) -> String {
    let refused = if refused { "refused: full\r\n" } else { "" };
    let status = if refused.is_empty() { 500 } else { 503 };
    format!("HTTP/1.1 {status} Error\r\nattempt: {id}\r\n{refused}content-length: 0\r\n\r\n")
}

#[derive(Debug, Default)]
struct Request {
    id: String,
    /// The last event that the caller has; 0 for a new run.
    last: usize,
    body: String,
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        let Some((name, value)) = line.trim().split_once(": ") else {
            continue;
        };
        match name {
            "attempt" => request.id = value.to_owned(),
            "resume" => request.last = value.parse().unwrap(),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    request.body = String::from_utf8(body).unwrap();
    Some(request)
}
