//! The leases of one instance: what it may send and order at a given time.

use std::time::Duration;

use base::{Fence, Time};
use googletest::prelude::*;
use owner::{Config, Input, Lessee, Order, Output, Ownership};
use wire::call::{Confirm, Handover, HeartbeatReply, Lease, Peer};

/// Milliseconds after its start at which a lessee certainly accepts engines; before, it
/// might break a promise that its previous incarnation gave.
const START: u64 = 10_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn peer(name: &str) -> Peer {
    Peer {
        instance: name.parse().unwrap(),
        zone: "za".parse().unwrap(),
        address: String::new(),
        owns: Vec::new(),
    }
}

fn reply(serial: u64, leases: &[(&str, u64, &[u64])]) -> HeartbeatReply {
    let leases = leases.iter().map(|(target, fence, former)| Lease {
        target: target.parse().unwrap(),
        fence: Fence(*fence),
        lasts: Duration::from_secs(3),
        former: former.iter().copied().map(Fence).collect(),
    });
    HeartbeatReply {
        serial,
        text: base::TextVersion(0),
        leases: leases.collect(),
        loads: 0,
        roster: serial,
        full: true,
        peers: vec![peer("me"), peer("mate")],
        removed: Vec::new(),
        want_engines: false,
        quarantine: Default::default(),
    }
}

fn lessee() -> Lessee {
    let (name, zone) = ("me".parse().unwrap(), "za".parse().unwrap());
    Lessee::new(Config::default(), name, zone, Time::ZERO)
}

fn step(lessee: &mut Lessee, ms: u64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    lessee.handle(at(ms), input, &mut out);
    out
}

fn heartbeat(lessee: &mut Lessee, ms: u64, reply: HeartbeatReply) -> Vec<Output> {
    let serial = reply.serial;
    step(lessee, ms, Input::Sent { serial });
    step(lessee, ms + 5, Input::Reply(reply))
}

fn ownership(lessee: &Lessee, ms: u64) -> Ownership {
    lessee.ownership(at(ms), &"e".parse().unwrap())
}

fn ask(fence: u64, lasts: u64) -> Confirm {
    Confirm {
        instance: "mate".parse().unwrap(),
        target: "e".parse().unwrap(),
        fence: Fence(fence),
        lasts: Duration::from_secs(lasts),
    }
}

fn unload(lessee: &Lessee, ms: u64, fencing: bool) -> bool {
    let (target, resident) = ("e".parse().unwrap(), "a@1".parse().unwrap());
    let order = Order::Unload(&resident);
    lessee.may_order(at(ms), &target, order, fencing).is_some()
}

/// An owner is stopped with SIGSTOP for longer than its lease. When it is resumed, it is
/// about to send an unload, while another instance owns the engine. No timer fires in a
/// stopped process, so the lease has to be checked at the time of sending.
#[test]
fn a_resumed_owner_finds_that_its_lease_has_ended() {
    base::covers!(engine_lease_lapsed);
    base::covers!(restricted_unload);
    let mut lessee = lessee();
    heartbeat(&mut lessee, START, reply(1, &[("e", 7, &[])]));
    let fence = Fence(7);
    assert_that!(
        ownership(&lessee, START + 2_999),
        eq(Ownership::Full { fence })
    );
    assert_that!(unload(&lessee, START + 100, false), eq(true));
    assert_that!(unload(&lessee, START + 2_600, false), eq(false));
    assert_that!(
        ownership(&lessee, START + 3_000),
        eq(Ownership::Restricted { fence })
    );
    assert_that!(unload(&lessee, START + 3_000, false), eq(false));
    assert_that!(unload(&lessee, START + 3_000, true), eq(true));
}

/// The leader doesn't answer. The owner asks its zone peer for confirmation and goes on
/// while the confirmation is valid, counted from when it was requested. It stops at the
/// time after which the leader admits an instance that the owner doesn't know.
#[test]
fn an_owner_goes_on_with_confirmations_of_its_zone_peers() {
    base::covers!(leaderless_too_long);
    let mut lessee = lessee();
    heartbeat(&mut lessee, START, reply(1, &[("e", 7, &[])]));
    let fence = Fence(7);
    let mut ms = START + 1_500;
    let end = START + 600_000;
    while ms < end + 3_000 {
        for output in step(&mut lessee, ms, Input::Wake) {
            if let Output::Ask { to, round, confirm } = output {
                let (from, target) = (to, confirm.target);
                let granted = true;
                let input = Input::Confirmed {
                    from,
                    target,
                    round,
                    granted,
                };
                step(&mut lessee, ms + 3, input);
            }
        }
        if (START + 2_000..end - 100).contains(&ms) {
            assert_that!(
                ownership(&lessee, ms + 4),
                eq(Ownership::Full { fence }),
                "at {ms}"
            );
        }
        ms += 500;
    }
    assert_that!(ownership(&lessee, end), eq(Ownership::Restricted { fence }));
}

/// An instance has promised its zone peer not to take an engine. The leader, which can't
/// know that, assigns it the engine. If it accepted at once, the engine would have two
/// owners.
#[test]
fn a_promise_is_kept_against_the_leader() {
    base::covers!(kept_promise);
    base::covers!(newer_owner);
    base::covers!(just_restarted);
    let mut lessee = lessee();
    heartbeat(&mut lessee, 1_000, reply(1, &[("e", 9, &[])]));
    assert_that!(ownership(&lessee, 1_100), eq(Ownership::None));
    heartbeat(&mut lessee, START, reply(2, &[]));
    assert_that!(
        lessee.confirm(at(START), &ask(7, 3), &mut Vec::new()),
        eq(true)
    );
    heartbeat(&mut lessee, START + 1_000, reply(3, &[("e", 9, &[7])]));
    assert_that!(ownership(&lessee, START + 1_100), eq(Ownership::None));
    assert_that!(
        lessee.confirm(at(START + 1_200), &ask(7, 3), &mut Vec::new()),
        eq(false)
    );
    heartbeat(&mut lessee, START + 3_200, reply(4, &[("e", 9, &[7])]));
    assert_that!(
        ownership(&lessee, START + 3_300),
        eq(Ownership::Full { fence: Fence(9) })
    );
}

/// A zone peer asks for a promise that is valid for longer than a restarted instance
/// waits, so a restart would break it.
#[test]
fn an_endless_promise_is_refused() {
    base::covers!(long_promise);
    let mut lessee = lessee();
    heartbeat(&mut lessee, START, reply(1, &[]));
    assert_that!(
        lessee.confirm(at(START), &ask(7, 3_600), &mut Vec::new()),
        eq(false)
    );
}

/// Replies arrive out of order: a lease that the leader has withdrawn must not come back
/// with an older reply, nor with a reply to an unknown heartbeat.
#[test]
fn an_older_reply_restores_no_lease() {
    base::covers!(stale_reply);
    base::covers!(unknown_reply);
    let mut lessee = lessee();
    for serial in 1..=2 {
        step(&mut lessee, START, Input::Sent { serial });
    }
    step(&mut lessee, START + 5, Input::Reply(reply(2, &[])));
    step(
        &mut lessee,
        START + 6,
        Input::Reply(reply(1, &[("e", 7, &[])])),
    );
    assert_that!(ownership(&lessee, START + 7), eq(Ownership::None));
    step(&mut lessee, START + 8, Input::Sent { serial: 3 });
    step(&mut lessee, START + 9, Input::Reply(reply(3, &[])));
    step(
        &mut lessee,
        START + 9,
        Input::Reply(reply(3, &[("e", 7, &[])])),
    );
    assert_that!(ownership(&lessee, START + 10), eq(Ownership::None));
}

/// The former owner was partitioned and may still have requests running. An adapter that
/// it may use is not unloaded until it reports which ones it uses or is known to be gone;
/// adapters that the new owner itself made resident may be unloaded.
#[test]
fn adapters_that_a_former_owner_may_use_stay() {
    base::covers!(inherited_adapter);
    base::covers!(loaded_by_other);
    base::covers!(unfenced_engine);
    let mut lessee = lessee();
    heartbeat(&mut lessee, START, reply(1, &[("e", 9, &[7])]));
    let target: base::TargetName = "e".parse().unwrap();
    assert_that!(unload(&lessee, START + 10, false), eq(false));
    assert_that!(lessee.may_send(at(START + 10), &target, true), none());
    assert_that!(
        lessee.may_send(at(START + 10), &target, false),
        some(eq(Fence(9)))
    );
    let loaded = |fresh| Input::Loaded {
        target: "e".parse().unwrap(),
        fence: Fence(9),
        resident: "a@1".parse().unwrap(),
        fresh,
    };
    step(&mut lessee, START + 20, loaded(false));
    assert_that!(
        lessee.may_send(at(START + 20), &target, true),
        some(anything())
    );
    assert_that!(unload(&lessee, START + 20, false), eq(false));
    step(&mut lessee, START + 30, loaded(true));
    assert_that!(unload(&lessee, START + 30, false), eq(true));
    let handover = |in_use: &[&str]| {
        Input::Handover(Handover {
            target: "e".parse().unwrap(),
            fence: Fence(7),
            in_use: in_use
                .iter()
                .map(|a| (a.parse().unwrap(), base::Version(1)))
                .collect(),
        })
    };
    step(&mut lessee, START + 40, handover(&["a"]));
    assert_that!(unload(&lessee, START + 40, false), eq(false));
    step(&mut lessee, START + 50, handover(&[]));
    assert_that!(unload(&lessee, START + 50, false), eq(true));
}

/// The engine restarts while a former owner is partitioned. The former owner takes the
/// adapters that the new owner loads again for resident, so they may not be unloaded
/// either.
#[test]
fn adapters_loaded_after_a_restart_stay() {
    base::covers!(restarted_under_former);
    let mut lessee = lessee();
    heartbeat(&mut lessee, START, reply(1, &[("e", 9, &[7])]));
    let target = || "e".parse().unwrap();
    let restarted = Input::Restarted { target: target() };
    step(&mut lessee, START + 10, restarted);
    let loaded = Input::Loaded {
        target: target(),
        fence: Fence(9),
        resident: "a@1".parse().unwrap(),
        fresh: true,
    };
    step(&mut lessee, START + 20, loaded);
    assert_that!(unload(&lessee, START + 30, false), eq(false));
    heartbeat(&mut lessee, START + 1_000, reply(2, &[("e", 9, &[])]));
    assert_that!(unload(&lessee, START + 1_100, false), eq(true));
}

/// A planned shutdown: no more orders are sent, heartbeats announce it, and the new owner
/// is told which adapters are in use until none is.
#[test]
fn a_leaving_owner_reports_adapters_in_use() {
    let mut lessee = lessee();
    heartbeat(&mut lessee, START, reply(1, &[("e", 7, &[])]));
    let out = step(&mut lessee, START + 10, Input::Renounce);
    let target: base::TargetName = "e".parse().unwrap();
    let gone = Output::Changed {
        target: target.clone(),
        ownership: Ownership::None,
    };
    assert_that!(out, contains(eq(&gone)));
    assert_that!(lessee.leaving(), eq(true));
    assert_that!(lessee.busy(), len(eq(1)));
    let using = |adapters: &[&str]| Input::InUse {
        target: "e".parse().unwrap(),
        adapters: adapters.iter().map(|a| a.parse().unwrap()).collect(),
    };
    step(&mut lessee, START + 20, using(&["a@1"]));
    let mut moved = reply(2, &[]);
    moved.peers[1].owns.push((target, Fence(9)));
    let out = heartbeat(&mut lessee, START + 1_000, moved);
    let named = |out: &[Output]| {
        let mut all = out.iter();
        all.find_map(|output| match output {
            Output::Handover { to, handover } => Some((to.to_string(), handover.in_use.len())),
            _ => None,
        })
    };
    assert_that!(named(&out), some(eq(&("mate".to_owned(), 1))));
    let out = step(&mut lessee, START + 1_100, using(&[]));
    assert_that!(named(&out), some(eq(&("mate".to_owned(), 0))));
    assert_that!(lessee.busy(), is_empty());
}
