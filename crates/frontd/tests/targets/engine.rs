//! Engines that some requests crash. Each runs on a runtime of its own, so that a crash
//! closes its listener and all its connections, as the end of a process does.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderValue},
};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use web::{
    body::{self, Body, ReadLimits, end_with_connection, full, read},
    server,
};

/// Part of a body that crashes the engine that begins to run it.
pub(crate) const CRASHING: &str = "crash";

/// Part of a body whose answer has neither a length nor chunks.
const UNFRAMED: &str = "unframed";

/// Part of a body whose answer has a length.
pub(crate) const LENGTH: &str = "length";

/// Part of a body whose answer has a length of 0.
pub(crate) const EMPTY: &str = "empty";

/// Part of a body whose answer is 204 and has no content.
pub(crate) const NO_CONTENT: &str = "nothing";

/// A body that crashes the engine, which closes the connection of the answer in order before.
pub(crate) const CRASHING_IN_ORDER: &str = "crash unframed";

/// A body whose answer has a length and breaks off behind its first event, as the engine crashes.
pub(crate) const CRASHING_MIDWAY: &str = "crash midway";

/// Id of a part of a prompt that crashes the engine that begins to answer on it.
pub(crate) const CRASHING_PART: &str = "bad";

/// Part of a body that makes an engine break off the run and go on.
pub(crate) const BROKEN_OFF: &str = "break off";

/// The complete answer to a run.
pub(crate) const ANSWER: &str = "id: 1\n\nid: 2\n\n";

/// Time from the beginning of a run to the crash that it causes.
const FUSE: Duration = Duration::from_millis(30);

/// Time that a connection takes to be closed in order.
const CLOSING: Duration = Duration::from_millis(5);

/// Time from a crash until the engine is back.
const RESTART: Duration = Duration::from_millis(600);

/// Time that a run takes.
const RUN: Duration = Duration::from_millis(400);

/// A request that reached an engine and was begun.
#[derive(Clone, Debug)]
pub(crate) struct Begun {
    pub(crate) body: String,
    /// The header with the parts of the prompt.
    pub(crate) parts: String,
    pub(crate) at: Instant,
}

/// What an engine does, over all its incarnations.
#[derive(Debug)]
pub(crate) struct Engine {
    no: usize,
    addr: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    incarnation: u64,
    up: bool,
    /// Whether the platform lists it as leaving.
    leaving: bool,
    running: usize,
    begun: Vec<Begun>,
    /// The limit that it names in its answers.
    limit: Option<String>,
    crashes: Vec<Instant>,
    /// For how long it asks for rest as it turns all requests away, if it does.
    rest: Option<String>,
    /// When it has turned requests away.
    turned: Vec<Instant>,
    /// Whether it says in all answers that it leaves.
    says_leaving: bool,
    /// Whether it answers all runs at once with a failure.
    fails: bool,
    /// Room of a brittle engine.
    brittle: Option<Brittle>,
    /// Places of an engine with few, which lets what comes beyond them wait, and their number.
    few: Option<(u32, Arc<Semaphore>)>,
    /// When requests were refused for want of room, lately.
    refused: Vec<Instant>,
    /// Bodies of runs whose callers left before the end.
    abandoned: Vec<String>,
    /// Id of another part that crashes it.
    crashing_part: Option<String>,
    /// The incarnation whose id later ones keep, if they do.
    kept: Option<u64>,
    /// Ends the present incarnation.
    crash: Option<mpsc::Sender<()>>,
}

/// An engine that falls over when it refuses too often.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Brittle {
    /// Requests that it takes at the same time.
    pub(crate) room: usize,
    /// Refusals a second that it bears.
    pub(crate) bears: usize,
}

impl Engine {
    /// Starts an engine that restarts after each crash for as long as the test runs.
    pub(crate) fn start(no: usize) -> Arc<Engine> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Engine {
            no,
            addr: listener.local_addr().unwrap(),
            state: Mutex::default(),
        });
        let run = Arc::clone(&engine);
        std::thread::spawn(move || run.incarnations(listener));
        engine
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the id of the present incarnation, or of the last one while it is down.
    pub(crate) fn id(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("e{}-{}", self.no, state.kept.unwrap_or(state.incarnation))
    }

    /// Returns when the present incarnation started, in any unit.
    pub(crate) fn born(&self) -> u64 {
        self.state.lock().unwrap().incarnation
    }

    /// Has all further incarnations start under the present id, and know nothing of what was asked of
    /// those before.
    pub(crate) fn keep_id(&self) {
        let mut state = self.state.lock().unwrap();
        state.kept = Some(state.incarnation);
    }

    pub(crate) fn up(&self) -> bool {
        self.state.lock().unwrap().up
    }

    /// Returns the requests that were begun here.
    pub(crate) fn begun(&self) -> Vec<Begun> {
        self.state.lock().unwrap().begun.clone()
    }

    /// Lists the engine as leaving from now on.
    pub(crate) fn leave(&self) {
        self.state.lock().unwrap().leaving = true;
    }

    pub(crate) fn leaves(&self) -> bool {
        self.state.lock().unwrap().leaving
    }

    /// Makes the engine brittle, which it says in all answers.
    pub(crate) fn make_brittle(&self, brittle: Brittle) {
        self.state.lock().unwrap().brittle = Some(brittle);
    }

    /// Gives the engine this many places only.
    pub(crate) fn limit_places(&self, places: u32) {
        let few = Arc::new(Semaphore::new(places as usize));
        self.state.lock().unwrap().few = Some((places, few));
    }

    /// Returns the number of slots that the platform lists.
    pub(crate) fn slots(&self) -> u32 {
        let state = self.state.lock().unwrap();
        let few = state.few.as_ref().map(|(places, _)| *places);
        let brittle = state.brittle.map(|brittle| brittle.room as u32);
        few.or(brittle).unwrap_or(64)
    }

    /// Waits for a place of an engine with few of them.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        let few = self.state.lock().unwrap().few.clone();
        few?.1.acquire_owned().await.ok()
    }

    /// Answers all runs with a failure from now on, at once and in full.
    pub(crate) fn fail(&self) {
        self.state.lock().unwrap().fails = true;
    }

    /// Crashes now, whatever runs there; it comes back as after any crash.
    pub(crate) fn crash(&self) {
        if let Some(crash) = &self.state.lock().unwrap().crash {
            crash.try_send(()).ok();
        }
    }

    /// Crashes from now on when it begins to answer on this part.
    pub(crate) fn crash_on(&self, part: &str) {
        self.state.lock().unwrap().crashing_part = Some(part.to_owned());
    }

    /// Returns whether a request with these parts crashes it.
    fn crashes_on(&self, parts: &str) -> bool {
        let further = self.state.lock().unwrap().crashing_part.clone();
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        ids.any(|id| id == CRASHING_PART || further.as_deref() == Some(id))
    }

    /// Turns all requests away from now on and asks for so long a rest, or takes them again.
    pub(crate) fn ask_rest(&self, rest: Option<&str>) {
        self.state.lock().unwrap().rest = rest.map(str::to_owned);
    }

    /// Returns when it has turned requests away, the oldest first.
    pub(crate) fn turned(&self) -> Vec<Instant> {
        self.state.lock().unwrap().turned.clone()
    }

    /// Says in all answers from now on that it leaves.
    pub(crate) fn say_leaving(&self) {
        self.state.lock().unwrap().says_leaving = true;
    }

    /// Turns a request away, if it turns away all of them.
    fn turn_away(&self, resp: &mut Response<Body>) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(rest) = state.rest.clone() else {
            return false;
        };
        state.turned.push(Instant::now());
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = resp.headers_mut();
        headers.insert("refused", "rest".parse().unwrap());
        headers.insert("retry-after", rest.parse().unwrap());
        true
    }

    /// Names a limit in all answers from now on, or none.
    pub(crate) fn name_limit(&self, limit: Option<&str>) {
        self.state.lock().unwrap().limit = limit.map(str::to_owned);
    }

    /// Returns the bodies of runs whose callers left before the end.
    pub(crate) fn abandoned(&self) -> Vec<String> {
        self.state.lock().unwrap().abandoned.clone()
    }

    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.state.lock().unwrap().crashes.clone()
    }

    fn incarnations(self: Arc<Self>, first: std::net::TcpListener) {
        let mut listener = Some(first);
        loop {
            let socket = listener.take().unwrap_or_else(|| {
                std::net::TcpListener::bind(self.addr).expect("the port is free again")
            });
            let runtime = Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build()
                .unwrap();
            let (crash, crashed) = mpsc::channel(8);
            self.serve(&runtime, socket, crash);
            wait_for_crash(crashed);
            {
                let mut state = self.state.lock().unwrap();
                state.up = false;
                state.crashes.push(Instant::now());
            }
            runtime.shutdown_timeout(Duration::from_millis(200));
            std::thread::sleep(RESTART);
        }
    }

    fn serve(
        self: &Arc<Self>,
        runtime: &Runtime,
        socket: std::net::TcpListener,
        crash: mpsc::Sender<()>,
    ) {
        socket.set_nonblocking(true).unwrap();
        let engine = Arc::clone(self);
        {
            let mut state = self.state.lock().unwrap();
            state.incarnation += 1;
            state.running = 0;
            state.up = true;
            state.crash = Some(crash.clone());
            if state.kept.is_some() {
                state.says_leaving = false;
                state.rest = None;
            }
        }
        runtime.spawn(async move {
            let listener = TcpListener::from_std(socket).unwrap();
            let handler = move |req| Arc::clone(&engine).answer(req, crash.clone());
            let stop = CancellationToken::new();
            server::serve(listener, server::Limits::default(), handler, stop).await
        });
    }

    async fn answer(
        self: Arc<Self>,
        req: Request<Incoming>,
        crash: mpsc::Sender<()>,
    ) -> Response<Body> {
        let headers = req.headers().clone();
        let text = |name: &str| headers.get(name)?.to_str().ok().map(str::to_owned);
        let expected = text("target");
        let body = read(req.into_body(), ReadLimits::default()).await.unwrap();
        let body = String::from_utf8_lossy(&body).into_owned();
        let mut resp = Response::new(full(""));
        if let Some(id) = headers.get("attempt") {
            resp.headers_mut().insert("attempt", id.clone());
        }
        let limit = self.state.lock().unwrap().limit.clone();
        if let Some(limit) = limit {
            resp.headers_mut().insert("limit", limit.parse().unwrap());
        }
        if expected != Some(self.id()) {
            *resp.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return resp;
        }
        if let Some(brittle) = self.state.lock().unwrap().brittle {
            let bears = brittle.bears.to_string();
            resp.headers_mut().insert("brittle", bears.parse().unwrap());
        }
        if self.state.lock().unwrap().says_leaving {
            resp.headers_mut().insert("leaving", "1".parse().unwrap());
        }
        if self.turn_away(&mut resp) {
            return resp;
        }
        let Some(running) = self.begin() else {
            if self.refuse() {
                crash.send(()).await.ok();
            }
            *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            resp.headers_mut()
                .insert("refused", "full".parse().unwrap());
            return resp;
        };
        let place = self.place().await;
        let parts = all_lines(&headers, "parts");
        let crashes = body.contains(CRASHING) || self.crashes_on(&parts);
        let begun = Begun {
            body: body.clone(),
            parts,
            at: Instant::now(),
        };
        let fails = {
            let mut state = self.state.lock().unwrap();
            state.begun.push(begun);
            state.fails
        };
        if fails {
            *resp.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            *resp.body_mut() = full("failed");
            if body.contains(UNFRAMED) {
                end_with_connection(&mut resp);
            }
            return resp;
        }
        if let Some((status, answer)) = at_once(&body) {
            let _taken = (running, place);
            sleep(RUN).await;
            if crashes {
                crash.send(()).await.ok();
                sleep(RUN).await;
            }
            *resp.status_mut() = status;
            *resp.body_mut() = full(answer);
            return resp;
        }
        let (writer, events) = body::channel(4);
        *resp.body_mut() = events;
        if body == CRASHING_MIDWAY {
            let length = HeaderValue::from(ANSWER.len());
            resp.headers_mut().insert(CONTENT_LENGTH, length);
        }
        let unframed = body.contains(UNFRAMED);
        if unframed {
            end_with_connection(&mut resp);
        }
        tokio::spawn(async move {
            let _taken = (running, place);
            let (first, rest) = ANSWER.split_at(ANSWER.len() / 2);
            writer.piece(Bytes::from(first)).await.ok();
            if crashes {
                sleep(FUSE).await;
                if unframed {
                    writer.end().await.ok();
                    sleep(CLOSING).await;
                }
                crash.send(()).await.ok();
                sleep(RUN).await;
                return;
            }
            sleep(RUN).await;
            if body.contains(BROKEN_OFF) {
                return;
            }
            if writer.piece(Bytes::from(rest)).await.is_err() {
                self.state.lock().unwrap().abandoned.push(body);
                return;
            }
            writer.end().await.ok();
        });
        resp
    }
}

impl Engine {
    /// Takes a place if there is room.
    fn begin(self: &Arc<Self>) -> Option<Running> {
        let mut state = self.state.lock().unwrap();
        if state.brittle.is_some_and(|b| state.running >= b.room) {
            return None;
        }
        state.running += 1;
        Some(Running(Arc::clone(self), state.incarnation))
    }

    /// Notes a refusal, and returns whether the engine falls over.
    fn refuse(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state
            .refused
            .retain(|at| *at + Duration::from_secs(1) > now);
        state.refused.push(now);
        let bears = state.brittle.map_or(usize::MAX, |brittle| brittle.bears);
        state.refused.len() > bears
    }
}

/// A run that takes a place.
struct Running(Arc<Engine>, u64);

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.0.state.lock().unwrap();
        if state.incarnation == self.1 {
            state.running -= 1;
        }
    }
}

/// Returns the values of all lines of a field as one list.
fn all_lines(headers: &HeaderMap, name: &str) -> String {
    let lines = headers.get_all(name).iter();
    let lines: Vec<_> = lines.filter_map(|line| line.to_str().ok()).collect();
    lines.join(",")
}

/// Returns the status and the content of an answer that is written at once, after the run, if `body`
/// asks for one.
fn at_once(body: &str) -> Option<(StatusCode, &'static str)> {
    let kinds = [
        (LENGTH, StatusCode::OK, ANSWER),
        (EMPTY, StatusCode::OK, ""),
        (NO_CONTENT, StatusCode::NO_CONTENT, ""),
    ];
    let mut kinds = kinds.into_iter();
    let (_, status, answer) = kinds.find(|(kind, ..)| body.contains(kind))?;
    Some((status, answer))
}

fn wait_for_crash(mut crashed: mpsc::Receiver<()>) {
    crashed.blocking_recv();
}
