//! Sends heartbeats to the leader of the control instances, and searches for
//! the leader when it is not known.
//!
//! A heartbeat renews leases and asks for the newest text version and the
//! roster of instances. Adapters are not part of it, so its size doesn't depend
//! on their number.

use std::time::Duration;

use base::{InstanceName, Time, Verdict};
use quarantine::Change;
use wire::call::{HeartbeatReply, Reply};

use crate::{
    io::{Event, Output},
    msg::{ALL, ENGINES, HEARTBEAT, Msg},
    shared::{CALL_TIMEOUT, Out, Purpose, Shared},
};

/// Time between two heartbeats; a lease lasts three of them.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two heartbeats during a graceful shutdown. Shorter, because
/// this instance has to learn the new owners of its engines and tell them which
/// adapters its running requests still use.
const DRAIN_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before trying another control instance, after one that is not the
/// leader or does not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without a reply from the leader after which an event is logged: three
/// heartbeats, the duration of a lease.
const LEADER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// State of the heartbeats to the leader.
#[derive(Debug, Default)]
pub(crate) struct Heartbeat {
    /// Number of the last heartbeat; a reply repeats it.
    serial: u64,
    /// Selects the control instance to try while the leader is unknown.
    rotation: u64,
    /// When the next heartbeat is due.
    next: Time,
    /// When the leader last replied.
    last_reply: Option<Time>,
    /// Whether the leader is reported as not answering.
    silent: bool,
    /// Whether a heartbeat is outstanding.
    waiting: bool,
}

impl Heartbeat {
    pub(crate) fn handle(&mut self, shared: &mut Shared, now: Time, msg: Msg, out: &mut Out) {
        match msg {
            Msg::Replied {
                purpose: Purpose::Heartbeat { serial, control },
                reply,
            } => self.on_reply(shared, now, (serial, control), reply, out),
            Msg::HeartbeatNow => self.next = now,
            _ => {}
        }
        if now >= self.next && !self.waiting {
            self.send(shared, now, out);
        }
        self.check_leader(now, out);
        shared.wake(HEARTBEAT, self.next);
    }

    /// Asks [`ENGINES`], which knows the leases, to build and send the next
    /// heartbeat.
    fn send(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        self.next = now
            + if shared.draining {
                DRAIN_INTERVAL
            } else {
                INTERVAL
            };
        let Some((control, address)) = shared.control(self.rotation) else {
            return;
        };
        self.waiting = true;
        self.serial += 1;
        let serial = self.serial;
        out.send(
            ENGINES,
            Msg::SendHeartbeat {
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
            Ok(Reply::Heartbeat(reply)) if reply.serial == serial => {
                shared.leader = Some(control);
                self.last_reply = Some(now);
                let changes = shared.crashes.replied(now, &reply.quarantine);
                log_changes(changes, out);
                broadcast(reply, out);
            }
            Ok(Reply::Redirect { leader }) => {
                shared.crashes.not_replied();
                shared.leader = leader.filter(|name| *name != control);
                self.try_next(now);
            }
            _ => {
                shared.crashes.not_replied();
                log_changes(shared.crashes.judge_alone(now), out);
                shared.leader = None;
                self.try_next(now);
            }
        }
    }

    fn try_next(&mut self, now: Time) {
        self.rotation += 1;
        self.next = now + RETRY_DELAY;
    }

    fn check_leader(&mut self, now: Time, out: &mut Out) {
        let Some(last_reply) = self.last_reply else {
            return;
        };
        let silent = now.since(last_reply) >= LEADER_TIMEOUT;
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

/// Time limit for a heartbeat's reply.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = CALL_TIMEOUT;

fn log_changes(changes: Vec<Change>, out: &mut Out) {
    for change in changes {
        out.emit(Output::Event(Event::Quarantine(change)));
    }
}

fn broadcast(reply: HeartbeatReply, out: &mut Out) {
    for name in ALL.into_iter().filter(|name| *name != HEARTBEAT) {
        out.send(name, Msg::HeartbeatReply(Box::new(reply.clone())));
    }
}
