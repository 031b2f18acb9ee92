//! A target that falls silent and goes on, goes dark, or crashes and comes back. Its answers
//! are the same at all targets; how one is framed stands in the request's body.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpListener,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

/// Id of a part of a prompt that crashes each target that begins to answer on it.
pub(crate) const CRASHING_PART: &str = "bad";

/// Time from the first event of an answer to the crash that such a part causes.
const FUSE: Duration = Duration::from_millis(60);

/// Time from a crash until the target is back.
const RESTART: Duration = Duration::from_millis(600);

/// Whether a target says anything.
#[derive(Clone, Copy, Debug)]
enum Voice {
    Sounds,
    Silent(Instant),
    Dark,
}

/// A request that has reached a target.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) target: usize,
    pub(crate) reached: Instant,
    /// When it was begun: not while the target is silent.
    pub(crate) begun: Option<Instant>,
    /// When its first event was sent.
    pub(crate) first: Option<Instant>,
    /// When it was complete, or its connection was closed.
    pub(crate) ended: Option<Instant>,
}

/// A target.
#[derive(Debug)]
pub(crate) struct Target {
    no: usize,
    addr: SocketAddr,
    voice: watch::Sender<Voice>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    incarnation: u64,
    up: bool,
    ending: CancellationToken,
    runs: Vec<Run>,
    /// Times in which it crashed or was dark.
    unsound: Vec<(Instant, Instant)>,
    /// When it crashed because of a part.
    part_crashes: Vec<Instant>,
    /// Until when it turns requests away, and for how long it asks for rest.
    turns_away: Option<(Instant, Duration)>,
    /// Whether this incarnation says that it leaves.
    leaves: bool,
    words: Vec<Word>,
}

/// What an answer of a target said for all further requests of an instance.
#[derive(Clone, Debug)]
pub(crate) struct Word {
    /// The request that was answered.
    pub(crate) id: String,
    pub(crate) at: Instant,
    /// For how long it asked for rest; none if it said that it leaves.
    pub(crate) rest: Option<Duration>,
}

/// What a request asks for, as its body says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Asked {
    /// 0 for a length, 1 for chunks, 2 for neither.
    pub(crate) framing: u8,
    pub(crate) events: usize,
    /// Time before each event, in milliseconds.
    pub(crate) gap: u64,
}

impl Asked {
    pub(crate) fn body(self) -> String {
        format!("{} {} {}", self.framing, self.events, self.gap)
    }

    fn parse(raw: &str) -> Option<Asked> {
        let mut words = raw.split(' ').map(|word| word.parse::<u64>().ok());
        Some(Asked {
            framing: u8::try_from(words.next()??).ok()?,
            events: usize::try_from(words.next()??).ok()?,
            gap: words.next()??,
        })
    }

    /// Returns the events of a complete answer to the request `id` after event `last`.
    pub(crate) fn events(self, id: &str, last: usize) -> Vec<String> {
        let event = |no| format!("id: {no}\ndata: {id} {no}\n\n");
        (last + 1..=self.events).map(event).collect()
    }
}

/// A request as it was read.
#[derive(Default)]
struct Request {
    id: String,
    last: usize,
    stream: bool,
    /// Whether it holds the part that crashes targets.
    crashes: bool,
    body: String,
}

impl Target {
    /// Starts a target at an address that nobody else listens on while it is down.
    pub(crate) async fn start(no: usize, addr: SocketAddr) -> Arc<Target> {
        let listener = TcpListener::bind(addr).await.unwrap();
        let target = Arc::new(Target {
            no,
            addr,
            voice: watch::Sender::new(Voice::Sounds),
            state: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&target).incarnations(listener));
        target
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns its name on the platform's list, and whether it is up.
    pub(crate) fn listed(&self) -> (String, bool) {
        let state = self.state.lock().unwrap();
        (format!("t{}-{}", self.no, state.incarnation), state.up)
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Turns all requests away for `time` and asks for `rest`, as seconds.
    pub(crate) fn turn_away(&self, time: Duration, rest: Duration) {
        self.state.lock().unwrap().turns_away = Some((Instant::now() + time, rest));
    }

    /// Says in all answers of this incarnation from now on that it leaves.
    pub(crate) fn leave(&self) {
        self.state.lock().unwrap().leaves = true;
    }

    /// Returns what its answers said.
    pub(crate) fn words(&self) -> Vec<Word> {
        self.state.lock().unwrap().words.clone()
    }

    /// Returns the rest that a request is told to give, if it is turned away, and what is said
    /// in the head of its answer.
    fn say(&self, id: &str) -> (Option<Duration>, &'static str) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let rest = state.turns_away.filter(|(until, _)| now < *until);
        let rest = rest.map(|(_, rest)| rest);
        let leaves = state.leaves;
        let said = rest.map(Some).into_iter().chain(leaves.then_some(None));
        let id = id.to_owned();
        let words: Vec<_> = said
            .map(|rest| Word {
                id: id.clone(),
                at: now,
                rest,
            })
            .collect();
        state.words.extend(words);
        (rest, if leaves { "leaving: 1\r\n" } else { "" })
    }

    /// Returns when it crashed because of a part.
    pub(crate) fn part_crashes(&self) -> Vec<Instant> {
        self.state.lock().unwrap().part_crashes.clone()
    }

    /// Returns whether it was up and not dark all the time.
    pub(crate) fn is_sound(&self, from: Instant, to: Instant) -> bool {
        let state = self.state.lock().unwrap();
        !state.unsound.iter().any(|(a, b)| *a <= to && from <= *b)
    }

    /// Says nothing for `time`, on no connection, and goes on. One that is silent already
    /// isn't so for longer.
    pub(crate) fn fall_silent(&self, time: Duration) {
        let now = Instant::now();
        self.voice.send_if_modified(|voice| match voice {
            Voice::Dark => false,
            Voice::Silent(until) if *until > now => false,
            Voice::Sounds | Voice::Silent(_) => {
                *voice = Voice::Silent(now + time);
                true
            }
        });
    }

    /// Says nothing for `time`, and is replaced then.
    pub(crate) async fn go_dark(&self, time: Duration) {
        self.voice.send_replace(Voice::Dark);
        let until = Instant::now() + time + RESTART;
        self.state
            .lock()
            .unwrap()
            .unsound
            .push((Instant::now(), until));
        sleep(time).await;
        self.crash();
    }

    /// Ends all runs and connections, and comes back as another incarnation.
    pub(crate) fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.unsound.push((now, now + RESTART));
        for run in &mut state.runs {
            run.ended.get_or_insert(now);
        }
        state.ending.cancel();
    }

    async fn incarnations(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let ending = CancellationToken::new();
            {
                let mut state = self.state.lock().unwrap();
                state.incarnation += 1;
                state.up = true;
                (state.leaves, state.turns_away) = (false, None);
                state.ending = ending.clone();
            }
            self.voice.send_replace(Voice::Sounds);
            ending
                .run_until_cancelled(self.accept(&listener, &ending))
                .await;
            drop(listener);
            self.state.lock().unwrap().up = false;
            sleep(RESTART).await;
            listener = loop {
                match TcpListener::bind(self.addr).await {
                    Ok(listener) => break listener,
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
            };
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, ending: &CancellationToken) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let (target, ending) = (Arc::clone(self), ending.clone());
            tokio::spawn(async move {
                let (read, mut write) = stream.into_split();
                let mut read = BufReader::new(read);
                let crashes = tokio::select! {
                    () = target.serve(&mut read, &mut write) => false,
                    () = ending.cancelled() => true,
                };
                if crashes {
                    write.as_ref().set_zero_linger().unwrap();
                    // Dropped, it would be closed in order first.
                    write.forget();
                }
            });
        }
    }

    /// Waits until the target isn't silent.
    async fn speaks(&self) {
        let mut voice = self.voice.subscribe();
        loop {
            let until = match *voice.borrow_and_update() {
                Voice::Sounds => return,
                Voice::Silent(until) if until <= Instant::now() => return,
                Voice::Silent(until) => Some(until),
                Voice::Dark => None,
            };
            let over = async {
                match until {
                    Some(until) => sleep_until(until.into()).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = over => {}
                _ = voice.changed() => {}
            }
        }
    }

    /// Answers the requests on one connection.
    async fn serve(&self, read: &mut BufReader<OwnedReadHalf>, write: &mut OwnedWriteHalf) {
        while let Some(request) = read_request(read).await {
            let run = self.note(&request.id);
            let left = tokio::select! {
                () = self.speaks() => false,
                _ = read.fill_buf() => true,
            };
            if left {
                self.end(run);
                // A silent process runs it all the same, as it learns of that afterwards.
                self.speaks().await;
            }
            let (rest, leaving) = self.say(&request.id);
            if let Some(rest) = rest.filter(|_| !left) {
                self.end(run);
                let (id, rest) = (&request.id, rest.as_secs_f64());
                let away = format!(
                    "HTTP/1.1 503 Away\r\nattempt: {id}\r\nrefused: rest\r\n{leaving}retry-after: \
                     {rest}\r\ncontent-length: 0\r\n\r\n"
                );
                if write.write_all(away.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            self.state.lock().unwrap().runs[run].begun = Some(Instant::now());
            if left {
                return;
            }
            let goes_on = tokio::select! {
                goes_on = self.answer(&request, (run, leaving), write) => goes_on,
                // The other side sends nothing more before the answer.
                _ = read.fill_buf() => false,
            };
            self.end(run);
            if !goes_on {
                return;
            }
        }
    }

    fn end(&self, run: usize) {
        let ended = &mut self.state.lock().unwrap().runs[run].ended;
        ended.get_or_insert_with(Instant::now);
    }

    fn note_first(&self, run: usize) {
        let first = &mut self.state.lock().unwrap().runs[run].first;
        first.get_or_insert_with(Instant::now);
    }

    fn crash_by_part(&self) {
        self.state.lock().unwrap().part_crashes.push(Instant::now());
        self.crash();
    }

    /// Notes that a request has come.
    fn note(&self, id: &str) -> usize {
        let runs = &mut self.state.lock().unwrap().runs;
        runs.push(Run {
            id: id.to_owned(),
            target: self.no,
            reached: Instant::now(),
            begun: None,
            first: None,
            ended: None,
        });
        runs.len() - 1
    }

    /// Sends an answer; returns whether the connection can be used for another one.
    async fn answer(
        &self,
        request: &Request,
        (run, leaving): (usize, &str),
        write: &mut OwnedWriteHalf,
    ) -> bool {
        let default = Asked {
            framing: 0,
            events: 1,
            gap: 0,
        };
        let asked = Asked::parse(&request.body).unwrap_or(default);
        let events = asked.events(&request.id, request.last);
        let framed = match asked.framing {
            0 => format!("content-length: {}", events.concat().len()),
            1 => "transfer-encoding: chunked".to_owned(),
            _ => "connection: close".to_owned(),
        };
        let kind = match request.stream {
            true => "text/event-stream",
            false => "text/plain",
        };
        let id = &request.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt: {id}\r\n{leaving}content-type: {kind}\r\n{framed}\r\n\r\n"
        );
        let gap = Duration::from_millis(asked.gap);
        sleep(gap).await;
        self.speaks().await;
        if write.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for event in events {
            sleep(gap).await;
            self.speaks().await;
            let piece = match asked.framing {
                1 => format!("{:x}\r\n{event}\r\n", event.len()),
                _ => event,
            };
            if write.write_all(piece.as_bytes()).await.is_err() {
                return false;
            }
            self.note_first(run);
            if request.crashes {
                sleep(FUSE).await;
                self.crash_by_part();
                return false;
            }
        }
        let end: &[u8] = if asked.framing == 1 {
            b"0\r\n\r\n"
        } else {
            b""
        };
        write.write_all(end).await.is_ok() && asked.framing != 2
    }
}

async fn read_request(read: &mut BufReader<OwnedReadHalf>) -> Option<Request> {
    let (mut request, mut length) = (Request::default(), 0);
    loop {
        let mut line = String::new();
        if read.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        if let Some(path) = line.strip_prefix("POST ") {
            request.stream = path.starts_with("/x") || path.starts_with("/resumable/");
        }
        let Some((name, value)) = line.trim().split_once(": ") else {
            continue;
        };
        match name {
            "attempt" => request.id = value.to_owned(),
            "parts" => request.crashes = value.contains(CRASHING_PART),
            "resume" => request.last = value.parse().unwrap(),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    read.read_exact(&mut body).await.ok()?;
    request.body = String::from_utf8(body).unwrap();
    Some(request)
}
