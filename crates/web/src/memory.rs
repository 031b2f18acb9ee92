//! Bounds what all callers together can have a process hold.
//!
//! Each connection, head and body has a limit of its own; with thousands of them the process
//! would still run out of memory. So whatever grows with what callers send, or don't read, is
//! taken from one [`Memory`]. Where it is used up, unfinished heads and bodies that have made
//! no progress are given up, and else who asks is refused. What targets send and has to be held
//! back, such as events that aren't complete, is taken from another one in the same way.

mod ledger;

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Bytes, Failure, Refusal};
use hyper::http::Extensions;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

pub use self::ledger::Quota;
use self::ledger::{Full, HolderId, Ledger, Share};

/// What one request counts for besides its body, in bytes: its head and the bytes behind it
/// that wait in the kernel, its buffers and state, and a small body.
const REQUEST: u64 = 96 << 10;

/// Part of [`REQUEST`] that is meant for the body, in bytes.
const SMALL_BODY: u64 = 16 << 10;

/// Size from which a body is large, in bytes.
const LARGE_BODY: u64 = 64 << 10;

/// What an unfinished head counts for once it is larger than most, in bytes.
const HEAD: u64 = 96 << 10;

/// What an answer counts for that its caller doesn't read, in bytes: buffers of both
/// connections, here and in the kernel.
const UNREAD_ANSWER: u64 = 256 << 10;

/// What may be held back of each answer of a target whatever others hold, in bytes.
const FREE_ANSWER: u64 = 8 << 10;

/// Time after which a caller may come back that found no room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What found no room, or was given up for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limited {
    /// A request was refused at its head.
    Request,
    /// A body was refused.
    Body,
    /// An unfinished body was given up.
    StalledBody,
    /// A connection was closed amid a large head.
    Head,
    /// An answer was cut that its caller didn't read.
    UnreadAnswer,
    /// A message of another instance was refused.
    Message,
    /// What a target sent could not be held back, or was given up.
    Answer,
    /// A connection was closed to make room for another one.
    Idle,
    /// A connection was refused.
    Connection,
}

impl Limited {
    /// Returns the value of the metrics label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Limited::Request => "request",
            Limited::Body => "body",
            Limited::StalledBody => "stalled_body",
            Limited::Head => "head",
            Limited::UnreadAnswer => "unread_answer",
            Limited::Message => "message",
            Limited::Answer => "answer",
            Limited::Idle => "idle",
            Limited::Connection => "connection",
        }
    }
}

/// Told each time that callers meet a limit, with the bytes that are held and the most.
pub type Report = fn(limited: Limited, held: Bytes, most: Bytes);

/// The bytes and requests that callers may have a process hold; clones share them.
#[derive(Clone)]
pub struct Memory(Arc<Pool>);

struct Pool {
    started: Instant,
    state: Mutex<State>,
    report: Report,
}

struct State {
    ledger: Ledger,
    /// Whom to tell that an unfinished holder is given up.
    unfinished: BTreeMap<HolderId, Waiter>,
}

/// Whoever waits for the rest of something unfinished.
#[derive(Clone)]
enum Waiter {
    Body(Weak<Request>),
    Connection(CancellationToken),
    Answer(CancellationToken),
}

impl Memory {
    /// Creates the memory for callers. `report` is called where they meet the limit.
    #[must_use]
    pub fn new(quota: Quota, report: Report) -> Self {
        let state = State {
            ledger: Ledger::new(quota),
            unfinished: BTreeMap::new(),
        };
        Memory(Arc::new(Pool {
            started: Instant::now(),
            state: Mutex::new(state),
            report,
        }))
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn held(&self) -> Bytes {
        self.lock().ledger.bytes()
    }

    /// Returns how much may be held.
    #[must_use]
    pub fn quota(&self) -> Quota {
        self.lock().ledger.quota()
    }

    /// Begins a request.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub(crate) fn request(&self) -> Result<Held, Failure> {
        let id = self.lock().ledger.open();
        let request = Request {
            holder: Holder {
                memory: self.clone(),
                id,
            },
            body: AtomicU64::new(SMALL_BODY),
            given_up: AtomicBool::new(false),
            told: Notify::new(),
        };
        let began = self.change(Limited::Request, |now, ledger| {
            let mut given_up = ledger.begin_request(now, id)?;
            given_up.extend(ledger.grow(now, id, REQUEST, Share::Ordinary)?);
            Ok(given_up)
        });
        began.map_err(|Full| no_room())?;
        Ok(Held(Some(Arc::new(request))))
    }

    /// Reserves room for a large head; `connection` is closed if it is given up.
    pub(crate) fn head(&self, connection: &CancellationToken) -> Option<Holder> {
        let holder = self.part(Limited::Head, HEAD, Share::Large)?;
        holder.may_be_given_up(connection);
        Some(holder)
    }

    /// Reserves room for an answer that its caller doesn't read.
    pub(crate) fn unread_answer(&self) -> Option<Holder> {
        self.part(Limited::UnreadAnswer, UNREAD_ANSWER, Share::Large)
    }

    /// Reserves room for an unfinished message of another instance; `connection` is cancelled
    /// if it is given up.
    #[must_use]
    pub fn message(&self, bytes: u64, connection: &CancellationToken) -> Option<Holder> {
        let holder = self.part(Limited::Message, bytes, Share::Ordinary)?;
        holder.may_be_given_up(connection);
        Some(holder)
    }

    /// Reports that callers have met a limit.
    pub(crate) fn report(&self, limited: Limited) {
        let (held, quota) = (self.held(), self.quota());
        (self.0.report)(limited, held, quota.bytes);
    }

    fn open(&self) -> Holder {
        Holder {
            memory: self.clone(),
            id: self.lock().ledger.open(),
        }
    }

    fn part(&self, limited: Limited, bytes: u64, share: Share) -> Option<Holder> {
        let holder = self.open();
        let grown = self.change(limited, |now, ledger| {
            ledger.grow(now, holder.id, bytes, share)
        });
        grown.ok().map(|()| holder)
    }

    /// Changes the account, and tells those who are given up for that.
    fn change(
        &self,
        limited: Limited,
        change: impl FnOnce(Duration, &mut Ledger) -> Result<Vec<HolderId>, Full>,
    ) -> Result<(), Full> {
        let now = self.0.started.elapsed();
        let mut state = self.lock();
        let changed = change(now, &mut state.ledger);
        let given_up = changed.as_deref().unwrap_or_default();
        let waiters = given_up.iter().filter_map(|id| state.unfinished.remove(id));
        let waiters: Vec<Waiter> = waiters.collect();
        drop(state);
        for waiter in waiters {
            self.tell(&waiter);
        }
        if changed.is_err() {
            self.report(limited);
        }
        changed.map(|_| ())
    }

    fn tell(&self, waiter: &Waiter) {
        match waiter {
            Waiter::Body(request) => {
                self.report(Limited::StalledBody);
                if let Some(request) = request.upgrade() {
                    request.given_up.store(true, Ordering::Relaxed);
                    request.told.notify_one();
                }
            }
            Waiter::Connection(connection) => {
                self.report(Limited::Head);
                connection.cancel();
            }
            Waiter::Answer(answer) => {
                self.report(Limited::Answer);
                answer.cancel();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Memory {
    /// Returns a memory without limits.
    fn default() -> Self {
        Memory::new(Quota::UNLIMITED, |_, _, _| {})
    }
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ledger = &self.lock().ledger;
        f.debug_struct("Memory")
            .field("held", &ledger.bytes())
            .field("quota", &ledger.quota())
            .finish()
    }
}

/// A part of the memory, which is given back when it is dropped.
#[derive(Debug)]
pub struct Holder {
    memory: Memory,
    id: HolderId,
}

impl Holder {
    /// Notes that more of what it is for has come.
    pub fn progress(&self) {
        let now = self.memory.0.started.elapsed();
        self.memory.lock().ledger.progress(now, self.id);
    }

    /// Lets it be given up for others once it makes no progress; `connection` is cancelled then.
    pub(crate) fn may_be_given_up(&self, connection: &CancellationToken) {
        self.unfinished(Waiter::Connection(connection.clone()));
    }

    fn unfinished(&self, waiter: Waiter) {
        self.memory.lock().unfinished.insert(self.id, waiter);
        self.progress();
    }

    /// Keeps it from being given up.
    pub(crate) fn finish(&self) {
        let mut state = self.memory.lock();
        state.ledger.finish(self.id);
        state.unfinished.remove(&self.id);
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.ledger.close(self.id);
        state.unfinished.remove(&self.id);
    }
}

/// What is held back of one answer of a target.
///
/// A little needs no room, so that answers of the usual size never lack it; what is more counts
/// with the growth of its buffer. It is given up for others once nothing has been added for a
/// while.
#[derive(Debug)]
pub struct HeldBack {
    memory: Memory,
    /// What it has beyond what is free.
    room: Option<Room>,
}

/// Room for what is held back of one answer.
#[derive(Debug)]
struct Room {
    holder: Holder,
    /// Bytes that are counted.
    bytes: u64,
    given_up: CancellationToken,
}

impl HeldBack {
    /// Creates what holds nothing yet, and takes from `memory`.
    #[must_use]
    pub fn new(memory: &Memory) -> Self {
        HeldBack {
            memory: memory.clone(),
            room: None,
        }
    }

    /// Has it hold `bytes` in all, and returns whether there is room.
    #[must_use]
    pub fn hold(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if bytes <= FREE_ANSWER {
            self.clear();
            return true;
        }
        let memory = &self.memory;
        let room = self.room.get_or_insert_with(|| Room::open(memory));
        !room.given_up.is_cancelled() && room.grow(bytes.next_power_of_two())
    }

    /// Gives back what it holds.
    pub fn clear(&mut self) {
        self.room = None;
    }

    /// Keeps it from being given up, as all has come that is held.
    pub fn finish(&self) {
        if let Some(room) = &self.room {
            room.holder.finish();
        }
    }

    /// Waits until it is given up for others; none if it holds no more than everyone may.
    pub fn given_up(&self) -> Option<impl Future<Output = ()> + Send + use<>> {
        let room = self.room.as_ref()?;
        Some(room.given_up.clone().cancelled_owned())
    }
}

impl Room {
    fn open(memory: &Memory) -> Room {
        let (holder, given_up) = (memory.open(), CancellationToken::new());
        holder.unfinished(Waiter::Answer(given_up.clone()));
        Room {
            holder,
            bytes: 0,
            given_up,
        }
    }

    /// Has it count for `bytes` in all, and returns whether there is room.
    fn grow(&mut self, bytes: u64) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let Holder { memory, id } = &self.holder;
        let grown = memory.change(Limited::Answer, |now, ledger| {
            ledger.grow(now, *id, more, Share::Ordinary)
        });
        if grown.is_err() {
            return false;
        }
        self.bytes += more;
        self.holder.progress();
        true
    }
}

/// What one request has the process hold.
#[derive(Debug)]
struct Request {
    holder: Holder,
    /// Bytes of the body that are reserved.
    body: AtomicU64,
    given_up: AtomicBool,
    told: Notify,
}

/// The part of the memory that a request holds; clones share it, and the last one gives it
/// back. The server adds it to the request's extensions.
#[derive(Clone, Debug, Default)]
pub struct Held(Option<Arc<Request>>);

impl Held {
    /// Returns what a request holds; nothing if it came from no server of ours.
    #[must_use]
    pub fn of(extensions: &Extensions) -> Held {
        extensions.get().cloned().unwrap_or_default()
    }

    /// Has the request hold a body of `bytes`, if it doesn't already.
    ///
    /// # Errors
    ///
    /// Fails with [`Refusal::Overloaded`] if there is no room now, and with
    /// [`Refusal::TooLarge`] if there never can be. The request has not run.
    pub fn hold_body(&self, bytes: u64) -> Result<(), Failure> {
        let Some(request) = &self.0 else {
            return Ok(());
        };
        let reserved = request.body.load(Ordering::Relaxed);
        let more = bytes.saturating_sub(reserved);
        if more == 0 {
            return Ok(());
        }
        if bytes > self.most_body() {
            return Err(Failure::not_run(Refusal::TooLarge));
        }
        let share = match bytes > LARGE_BODY {
            true => Share::Large,
            false => Share::Ordinary,
        };
        let Holder { memory, id } = &request.holder;
        let grown = memory.change(Limited::Body, |now, ledger| {
            ledger.grow(now, *id, more, share)
        });
        grown.map_err(|Full| no_room())?;
        request.body.store(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Returns the largest body that there can be room for, in bytes.
    #[must_use]
    pub fn most_body(&self) -> u64 {
        let request = self.0.as_ref();
        request.map_or(u64::MAX, |request| {
            request
                .holder
                .memory
                .lock()
                .ledger
                .most(Share::Large)
                .saturating_sub(REQUEST)
        })
    }

    /// Marks the request unfinished until the returned value is dropped.
    pub(crate) fn reading(&self) -> Reading<'_> {
        if let Some(request) = &self.0 {
            let waiter = Waiter::Body(Arc::downgrade(request));
            request.holder.unfinished(waiter);
        }
        Reading(self.0.as_deref())
    }
}

/// Marks a request as unfinished, since its body is still being read.
pub(crate) struct Reading<'a>(Option<&'a Request>);

impl Reading<'_> {
    /// Notes that a piece has come.
    pub(crate) fn progress(&self) {
        if let Some(request) = self.0 {
            request.holder.progress();
        }
    }

    /// Waits until the request is given up for others.
    pub(crate) async fn given_up(&self) {
        let Some(request) = self.0 else {
            return std::future::pending().await;
        };
        while !request.given_up.load(Ordering::Relaxed) {
            request.told.notified().await;
        }
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.0 {
            request.holder.finish();
        }
    }
}

/// Returns the refusal of what finds no room.
pub(crate) fn no_room() -> Failure {
    Failure::not_run(Refusal::Overloaded).retry_after(RETRY_AFTER)
}
