//! One control instance: who is answered what, while it leads and while not.

use std::time::Duration;

use base::{Bytes, Fence, Incarnation, PerSecond, Seed, TextVersion, Ticket, Time};
use control::{Checked, Config, Control, Event, Input, Output};
use googletest::prelude::*;
use replog::{RawSettings, Record, Replica, ReplicaId, Restored, Settings};
use wire::{
    call::{Beat, Call, Claim, ClaimReply, Reply},
    operator::{Applied, Apply, Why},
};

/// A control instance, alone in its log, with a disk that is held back at
/// will.
struct Alone {
    control: Control,
    now: Time,
    disk: Vec<Record>,
    hold: bool,
    held: Vec<replog::WriteNo>,
    tickets: u64,
}

impl Alone {
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
        Alone {
            control: Control::new(Config::default(), replica, Box::new(check)),
            now: Time::from_millis(5),
            disk,
            hold: false,
            held: Vec::new(),
            tickets: 0,
        }
    }

    /// An instance that leads.
    fn leading() -> Self {
        let mut alone = Alone::new(Vec::new(), 8 << 20);
        alone.pass(5_000);
        assert_that!(alone.control.leads(alone.now), eq(true));
        alone
    }

    fn give(&mut self, input: Input) -> Vec<Output> {
        let mut all = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.control.handle(self.now, input, &mut out);
            for output in &out {
                if let Output::Write { no, records } = output {
                    self.disk.extend(records.clone());
                    self.held.push(*no);
                }
            }
            if !self.hold {
                inputs.extend(self.held.drain(..).map(|upto| Input::Synced { upto }));
            }
            all.extend(out);
        }
        all
    }

    /// Lets time pass, and the instance wake up every 50 ms.
    fn pass(&mut self, ms: u64) -> Vec<Output> {
        let mut all = Vec::new();
        for _ in 0..ms.div_ceil(50) {
            self.now = self.now + Duration::from_millis(50);
            all.extend(self.give(Input::Wake));
        }
        all
    }

    fn call(&mut self, call: Call) -> (Ticket, Vec<Output>) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        (ticket, self.give(Input::Call { ticket, call }))
    }

    fn apply(&mut self, change: &str, base: u64, text: &str) -> Vec<Output> {
        let apply = Apply {
            change: change.parse().unwrap(),
            base: TextVersion(base),
            by: "op".to_owned(),
            text: text.to_owned(),
        };
        let ticket = Ticket(99);
        self.give(Input::Apply { ticket, apply })
    }
}

fn beat(serial: u64, roster: u64) -> Call {
    Call::Beat(Beat {
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

/// A control instance was cut off, or frozen and thawed, and still takes
/// itself for the leader. Would it answer a beat, the sender would go on under
/// a lease that a newer leader has given to another.
#[test]
fn who_does_not_lead_grants_nothing() {
    base::covers!(not_leading);
    let mut alone = Alone::new(Vec::new(), 8 << 20);
    let elsewhere = Reply::Elsewhere { leader: None };
    for call in [beat(1, 0), claim(1)] {
        let (_, out) = alone.call(call);
        assert_that!(replies(&out), elements_are![eq(&&elsewhere)]);
    }
    let out = alone.apply("one", 0, "a\n");
    let why = Why::NoQuorum { retry_ms: 1_000 };
    assert_that!(applied(&out), some(eq(&Applied::Refused { why })));
}

/// An entry instance starts: it joins, may own engines, gets one, and its
/// lease with the next beat.
#[test]
fn an_instance_that_beats_gets_an_engine() {
    base::covers!(leadership_begins);
    let mut alone = Alone::leading();
    alone.apply("one", 0, "a\n");
    let mut roster = 0;
    let mut got = None;
    for serial in 1..6 {
        let (_, out) = alone.call(beat(serial, roster));
        let [Reply::Beat(reply)] = replies(&out)[..] else {
            panic!("no answer to a beat: {out:?}");
        };
        assert_that!(reply.text, eq(TextVersion(1)));
        roster = reply.roster;
        got = reply
            .leases
            .first()
            .map(|l| (l.fence, l.former.len()))
            .or(got);
        alone.pass(1_000);
    }
    assert_that!(got, some((gt(Fence(0)), eq(0))));
    let status = alone.control.status(alone.now);
    assert_that!(status.engines[0].owner.as_ref().unwrap().as_str(), eq("n1"));
    assert_that!(status.instances, len(eq(1)));
}

/// While one write of claims is under way, all that arrive share the next.
#[test]
fn claims_share_a_write() {
    let mut alone = Alone::leading();
    alone.call(beat(1, 0));
    alone.pass(500);
    alone.hold = true;
    let before = alone.disk.len();
    for key in 0..40 {
        let (_, out) = alone.call(claim(key));
        assert_that!(replies(&out), is_empty());
    }
    alone.hold = false;
    let out = alone.give(Input::Wake);
    let yours = Reply::Claim(ClaimReply::Yours);
    let count = replies(&out)
        .iter()
        .filter(|reply| ***reply == yours)
        .count();
    assert_that!(count, eq(40));
    let commands = alone.disk[before..]
        .iter()
        .filter(|r| matches!(r, Record::Entry(_)));
    assert_that!(commands.count(), le(3));
}

/// A bad text, a full disk, a change that the log can't take: each is refused
/// with its reason, and nothing of it is in the log.
#[test]
fn a_refused_change_is_told_why() {
    let mut alone = Alone::leading();
    let out = alone.apply("one", 0, "bad\n");
    let why = Why::BadText {
        errors: vec!["it is bad".to_owned()],
    };
    assert_that!(applied(&out), some(eq(&Applied::Refused { why })));
    alone.give(Input::Space { full: true });
    let out = alone.apply("one", 0, "a\n");
    let why = Why::NoDisk;
    assert_that!(applied(&out), some(eq(&Applied::Refused { why })));
    alone.give(Input::Space { full: false });
    let out = alone.apply("one", 0, "a\n");
    let version = TextVersion(1);
    assert_that!(applied(&out), some(eq(&Applied::Accepted { version })));
    assert_that!(out, contains(eq(&Output::Event(Event::Text { version }))));
}

/// The disk fails while a change is being written. Nobody can say whether it
/// is in the log, so the operator is told to ask again.
#[test]
fn a_change_lost_with_the_disk_may_have_been_accepted() {
    base::covers!(may_have_been_accepted);
    let mut alone = Alone::leading();
    alone.hold = true;
    alone.apply("one", 0, "a\n");
    let no = alone.held.pop().unwrap();
    let out = alone.give(Input::WriteFailed { no });
    assert_that!(
        applied(&out),
        some(eq(&Applied::Unknown { retry_ms: 1_000 }))
    );
}

/// A change is accepted, the process restarts from its disk, the operator
/// resends: the first outcome.
#[test]
fn a_restart_keeps_the_outcome() {
    let mut alone = Alone::leading();
    alone.apply("one", 0, "a\n");
    let mut again = Alone::new(alone.disk.clone(), 8 << 20);
    again.pass(5_000);
    let out = again.apply("one", 0, "a\n");
    let version = TextVersion(1);
    assert_that!(applied(&out), some(eq(&Applied::Accepted { version })));
    let (_, out) = again.call(Call::Text {
        have: TextVersion(0),
    });
    let text = "a\n".to_owned();
    assert_that!(
        replies(&out),
        elements_are![eq(&&Reply::Text { version, text })]
    );
    assert_that!(again.control.history(TextVersion(0)), len(eq(1)));
}
