//! One control instance: its replies while it leads and while it doesn't.

use std::time::Duration;

use base::{Bytes, Fence, Incarnation, PerSecond, Seed, TextVersion, Ticket, Time};
use control::{Checked, Config, Control, Event, Input, Output};
use googletest::prelude::*;
use replog::{RawSettings, Record, Replica, ReplicaId, Restored, Settings};
use wire::{
    call::{Call, Claim, ClaimReply, Heartbeat, Reply},
    operator::{Applied, Apply, Why},
};

/// A control instance that is the only replica of its log. Its writes can be held back.
struct SingleInstance {
    control: Control,
    now: Time,
    disk: Vec<Record>,
    hold_writes: bool,
    held_writes: Vec<replog::WriteNo>,
    tickets: u64,
}

impl SingleInstance {
    fn new(disk: Vec<Record>, backlog: u64) -> Self {
        let instance = "k1".parse().unwrap();
        let incarnation = Incarnation(1);
        let id = ReplicaId {
            instance,
            incarnation,
        };
        let mut raw = RawSettings::with_defaults(id.clone(), vec![id.instance], Seed(1));
        raw.backlog = Bytes(backlog);
        let restored = Restored::replay(None, disk.clone()).unwrap();
        let replica = Replica::new(Settings::try_from(raw).unwrap(), restored);
        let check = |text: &str| match text.contains("bad") {
            true => Err(vec!["it is bad".to_owned()]),
            false => Ok(Checked { rate: PerSecond(4) }),
        };
        SingleInstance {
            control: Control::new(Config::default(), replica, Box::new(check)),
            now: Time::from_millis(5),
            disk,
            hold_writes: false,
            held_writes: Vec::new(),
            tickets: 0,
        }
    }

    /// Returns an instance that leads.
    fn leading() -> Self {
        let mut single = SingleInstance::new(Vec::new(), 8 << 20);
        single.advance(5_000);
        assert_that!(single.control.leads(single.now), eq(true));
        single
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut all = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.control.handle(self.now, input, &mut out);
            for output in &out {
                if let Output::Write { no, records } = output {
                    self.disk.extend(records.clone());
                    self.held_writes.push(*no);
                }
            }
            if !self.hold_writes {
                inputs.extend(
                    self.held_writes
                        .drain(..)
                        .map(|upto| Input::Synced { upto }),
                );
            }
            all.extend(out);
        }
        all
    }

    /// Advances the time, with a wake-up every 50 ms.
    fn advance(&mut self, ms: u64) -> Vec<Output> {
        let mut all = Vec::new();
        for _ in 0..ms.div_ceil(50) {
            self.now = self.now + Duration::from_millis(50);
            all.extend(self.input(Input::Wake));
        }
        all
    }

    fn call(&mut self, call: Call) -> (Ticket, Vec<Output>) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        (ticket, self.input(Input::Call { ticket, call }))
    }

    fn apply(&mut self, change: &str, base: u64, text: &str) -> Vec<Output> {
        let apply = Apply {
            change: change.parse().unwrap(),
            base: TextVersion(base),
            by: "op".to_owned(),
            text: text.to_owned(),
        };
        let ticket = Ticket(99);
        self.input(Input::Apply { ticket, apply })
    }
}

fn beat(serial: u64, roster: u64) -> Call {
    Call::Heartbeat(Heartbeat {
        instance: "n1".parse().unwrap(),
        zone: "za".parse().unwrap(),
        incarnation: Incarnation(1),
        peer: "1:1".to_owned(),
        text: TextVersion(0),
        leaving: false,
        serial,
        heard: serial - 1,
        roster,
        engines: Some(vec!["e1".parse().unwrap()]),
        busy: Vec::new(),
        shares: Vec::new(),
        crashes: Default::default(),
        loads: 1,
    })
}

fn claim(key: u8) -> Call {
    Call::Claim(Claim {
        brand: "brand".parse().unwrap(),
        key: [key; 16],
        body: [0; 16],
        instance: "n1".parse().unwrap(),
        attempt: 1,
        dated: None,
    })
}

fn replies(out: &[Output]) -> Vec<&Reply> {
    let replies = out.iter().filter_map(|output| match output {
        Output::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    replies.collect()
}

fn applied(out: &[Output]) -> Option<&Applied> {
    out.iter().find_map(|output| match output {
        Output::Applied { applied, .. } => Some(applied),
        _ => None,
    })
}

/// A control instance that was partitioned or frozen still takes itself for the leader.
/// If it answered a heartbeat, the sender would rely on a lease for an engine that a
/// newer leader has given to another instance.
#[test]
fn an_instance_that_does_not_lead_grants_nothing() {
    base::covers!(not_leading);
    let mut single = SingleInstance::new(Vec::new(), 8 << 20);
    let redirect = Reply::Redirect { leader: None };
    for call in [beat(1, 0), claim(1)] {
        let (_, out) = single.call(call);
        assert_that!(replies(&out), elements_are![eq(&&redirect)]);
    }
    let out = single.apply("one", 0, "a\n");
    let why = Why::NoQuorum { retry_ms: 1_000 };
    assert_that!(applied(&out), some(eq(&Applied::Refused { why })));
}

/// An entry instance starts: it joins, is admitted, is assigned an engine, and gets the
/// lease with a later heartbeat.
#[test]
fn an_instance_with_heartbeats_gets_an_engine() {
    base::covers!(leadership_begins);
    let mut single = SingleInstance::leading();
    single.apply("one", 0, "a\n");
    let mut roster = 0;
    let mut got = None;
    for serial in 1..6 {
        let (_, out) = single.call(beat(serial, roster));
        let [Reply::Heartbeat(reply)] = replies(&out)[..] else {
            panic!("no reply to a heartbeat: {out:?}");
        };
        assert_that!(reply.text, eq(TextVersion(1)));
        roster = reply.roster;
        got = reply
            .leases
            .first()
            .map(|l| (l.fence, l.former.len()))
            .or(got);
        single.advance(1_000);
    }
    assert_that!(got, some((gt(Fence(0)), eq(0))));
    let status = single.control.status(single.now);
    assert_that!(status.engines[0].owner.as_ref().unwrap().as_str(), eq("n1"));
    assert_that!(status.instances, len(eq(1)));
}

/// While one command with claims is being written, all claims that arrive share the next
/// one.
#[test]
fn claims_share_a_write() {
    let mut single = SingleInstance::leading();
    single.call(beat(1, 0));
    single.advance(500);
    single.hold_writes = true;
    let before = single.disk.len();
    for key in 0..40 {
        let (_, out) = single.call(claim(key));
        assert_that!(replies(&out), is_empty());
    }
    single.hold_writes = false;
    let out = single.input(Input::Wake);
    let granted = Reply::Claim(ClaimReply::Granted);
    let count = replies(&out)
        .iter()
        .filter(|reply| ***reply == granted)
        .count();
    assert_that!(count, eq(40));
    let commands = single.disk[before..]
        .iter()
        .filter(|r| matches!(r, Record::Entry(_)));
    assert_that!(commands.count(), le(3));
}

/// An invalid text and a full disk: each change is refused with its reason, and neither
/// is in the log.
#[test]
fn a_refused_change_gets_a_reason() {
    let mut single = SingleInstance::leading();
    let out = single.apply("one", 0, "bad\n");
    let why = Why::BadText {
        errors: vec!["it is bad".to_owned()],
    };
    assert_that!(applied(&out), some(eq(&Applied::Refused { why })));
    single.input(Input::Space { full: true });
    let out = single.apply("one", 0, "a\n");
    let why = Why::NoDisk;
    assert_that!(applied(&out), some(eq(&Applied::Refused { why })));
    single.input(Input::Space { full: false });
    let out = single.apply("one", 0, "a\n");
    let version = TextVersion(1);
    assert_that!(applied(&out), some(eq(&Applied::Accepted { version })));
    assert_that!(out, contains(eq(&Output::Event(Event::Text { version }))));
}

/// The disk fails while a change is being written. Whether it is in the log is unknown,
/// so the operator is told to retry.
#[test]
fn a_change_lost_with_the_disk_may_have_been_accepted() {
    base::covers!(may_have_been_accepted);
    let mut single = SingleInstance::leading();
    single.hold_writes = true;
    single.apply("one", 0, "a\n");
    let no = single.held_writes.pop().unwrap();
    let out = single.input(Input::WriteFailed { no });
    assert_that!(
        applied(&out),
        some(eq(&Applied::Unknown { retry_ms: 1_000 }))
    );
}

/// A change is accepted, the process restarts from its disk, and the operator sends the
/// change restarted: it gets the first outcome.
#[test]
fn a_restart_keeps_the_outcome() {
    let mut single = SingleInstance::leading();
    single.apply("one", 0, "a\n");
    let mut restarted = SingleInstance::new(single.disk.clone(), 8 << 20);
    restarted.advance(5_000);
    let out = restarted.apply("one", 0, "a\n");
    let version = TextVersion(1);
    assert_that!(applied(&out), some(eq(&Applied::Accepted { version })));
    let (_, out) = restarted.call(Call::Text {
        have: TextVersion(0),
    });
    let text = "a\n".to_owned();
    assert_that!(
        replies(&out),
        elements_are![eq(&&Reply::Text { version, text })]
    );
    assert_that!(restarted.control.history(TextVersion(0)), len(eq(1)));
}
