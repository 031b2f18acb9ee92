//! Sends heartbeats to the leader and finds it.
//!
//! A beat asks for leases, the newest version and the roster at once, so its
//! size doesn't depend on the number of adapters.

use std::time::Duration;

use base::{InstanceName, Time, Verdict};
use wire::call::{BeatReply, Reply};

use crate::{
    io::{Event, Output},
    msg::{ALL, BEAT, ENGINES, Msg},
    shared::{CALL_LIMIT, Out, Purpose, Shared},
};

/// Time between two beats; the lease lasts three of them.
const EVERY: Duration = Duration::from_millis(1_000);

/// The same in a planned stop: it learns who owns its engines now, and tells
/// them what it still uses there.
const EVERY_DRAINING: Duration = Duration::from_millis(200);

/// Time before the next control instance is tried after one that does not
/// lead or does not answer.
const RETRY: Duration = Duration::from_millis(100);

/// Silence of the leader after which operators are told: three beats, as long
/// as a lease lasts.
const SILENT: Duration = Duration::from_millis(3_000);

/// What is known of the leader.
#[derive(Debug, Default)]
pub(crate) struct Beat {
    serial: u64,
    turn: u64,
    next: Time,
    heard: Option<Time>,
    silent: bool,
    waiting: bool,
}

impl Beat {
    pub(crate) fn handle(&mut self, shared: &mut Shared, now: Time, msg: Msg, out: &mut Out) {
        match msg {
            Msg::Replied {
                purpose: Purpose::Beat { serial, control },
                reply,
            } => self.on_reply(shared, now, (serial, control), reply, out),
            Msg::BeatNow => self.next = now,
            _ => {}
        }
        if now >= self.next && !self.waiting {
            self.send(shared, now, out);
        }
        self.watch(now, out);
        shared.wake(BEAT, self.next);
    }

    /// Hands the turn to [`ENGINES`], which knows the leases, to fill in and
    /// send the beat.
    fn send(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        self.next = now
            + if shared.draining {
                EVERY_DRAINING
            } else {
                EVERY
            };
        let Some((control, address)) = shared.control(self.turn) else {
            return;
        };
        self.waiting = true;
        self.serial += 1;
        let serial = self.serial;
        out.send(
            ENGINES,
            Msg::SendBeat {
                serial,
                control,
                address,
            },
        );
    }

    fn on_reply(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (serial, control): (u64, InstanceName),
        reply: Result<Reply, Verdict>,
        out: &mut Out,
    ) {
        self.waiting = false;
        match reply {
            Ok(Reply::Beat(reply)) if reply.serial == serial => {
                shared.leader = Some(control);
                self.heard = Some(now);
                tell_all(reply, out);
            }
            Ok(Reply::Elsewhere { leader }) => {
                shared.leader = leader.filter(|name| *name != control);
                self.again(now);
            }
            _ => {
                shared.leader = None;
                self.again(now);
            }
        }
    }

    fn again(&mut self, now: Time) {
        self.turn += 1;
        self.next = now + RETRY;
    }

    fn watch(&mut self, now: Time, out: &mut Out) {
        let Some(heard) = self.heard else {
            return;
        };
        let silent = now.since(heard) >= SILENT;
        if silent != self.silent {
            self.silent = silent;
            let event = if silent {
                Event::LeaderSilent
            } else {
                Event::LeaderBack
            };
            out.emit(Output::Event(event));
        }
    }
}

/// How long a beat's reply is waited for.
pub(crate) const BEAT_LIMIT: Duration = CALL_LIMIT;

fn tell_all(reply: BeatReply, out: &mut Out) {
    for name in ALL.into_iter().filter(|name| *name != BEAT) {
        out.send(name, Msg::Beat(Box::new(reply.clone())));
    }
}
