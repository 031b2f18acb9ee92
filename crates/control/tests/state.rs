//! The state machine: configuration texts, changes, claims, snapshots.

use std::time::Duration;

use base::{Fingerprint, Incarnation, TextVersion};
use control::{Command, Hold, Item, Limits, Outcome, Patch, State, Texts, What};
use googletest::prelude::*;
use owner::{Change, InstanceId};
use proptest::prelude::*;
use wire::{
    call::{Answer, Claim, ClaimOutcome, ClaimReply, Settle},
    operator::{Applied, Why},
};

/// A state and its log; the entry instances `a` and `b` have joined.
struct Log {
    state: State,
    index: u64,
    at: u64,
    wall: u64,
}

impl Log {
    fn new(limits: Limits) -> Self {
        let state = State::with_limits(limits);
        let mut log = Log {
            state,
            index: 0,
            at: 0,
            wall: 10_000_000_000,
        };
        log.join("a", 1);
        log.join("b", 1);
        log
    }

    fn put(&mut self, what: What) -> Outcome {
        self.index += 1;
        let wall = self.wall + self.at;
        let command = Command {
            at: self.at,
            wall,
            what,
        };
        let sent = Command::decode(&command.encode()).unwrap();
        assert_that!(sent, eq(&command));
        self.state.apply(self.index, &sent)
    }

    fn join(&mut self, name: &str, incarnation: u64) {
        let id = instance_id(name, incarnation);
        let (zone, peer) = ("za".parse().unwrap(), String::new());
        self.put(What::Owner(Change::Join { id, zone, peer }));
    }

    fn text(&mut self, change: &str, base: u64, new: &str) -> Applied {
        let patch = Patch::between(self.state.texts().text(), new);
        let what = What::Text {
            change: change.parse().unwrap(),
            base: TextVersion(base),
            by: change.to_owned(),
            patch,
            digest: Texts::digest(new),
        };
        match self.put(what) {
            Outcome::Text(applied) => applied,
            other => panic!("{other:?}"),
        }
    }

    fn claim(&mut self, who: &str, key: u8, attempt: u64, dated: Option<u64>) -> ClaimReply {
        let claim = claim(who, key, attempt, dated);
        match self.put(What::Claims(vec![Item::Claim(claim)])) {
            Outcome::Claims(answers) => answers[0].clone().unwrap(),
            other => panic!("{other:?}"),
        }
    }

    fn settle(&mut self, who: &str, key: u8, attempt: u64, outcome: ClaimOutcome) {
        let settle = Settle {
            brand: "brand".parse().unwrap(),
            key: [key; 16],
            instance: who.parse().unwrap(),
            attempt,
            outcome,
        };
        self.put(What::Claims(vec![Item::Settle(settle)]));
    }

    /// Saves and restores the state, as a snapshot or a restart does.
    fn reload(&mut self) {
        let restored = State::restore(&self.state.save()).unwrap();
        assert_that!(restored, eq(&self.state));
        self.state = restored;
    }
}

fn instance_id(name: &str, incarnation: u64) -> InstanceId {
    InstanceId {
        instance: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn claim(who: &str, key: u8, attempt: u64, dated: Option<u64>) -> Claim {
    Claim {
        brand: "brand".parse().unwrap(),
        key: [key; 16],
        body: [1; 16],
        instance: who.parse().unwrap(),
        attempt,
        dated,
    }
}

fn small() -> Limits {
    Limits {
        full_ms: 1_000,
        full: 8,
        answers: 100,
        undated: 3,
        dated: 2,
        ..Limits::default()
    }
}

/// Two operators edit version 1 at once. The reply to one of them is lost, so it sends
/// its change again, after a restart from a snapshot. One change is accepted and the
/// other operator learns which; the resent change gets its first outcome; the same id
/// with another text is refused.
#[test]
fn of_two_operators_one_wins_and_a_resend_changes_nothing() {
    base::covers!(lost_race);
    base::covers!(resent_change);
    let mut log = Log::new(Limits::default());
    let accepted = |version| Applied::Accepted {
        version: TextVersion(version),
    };
    assert_that!(log.text("one", 0, "a\n"), eq(&accepted(1)));
    assert_that!(log.text("two", 1, "a\nb\n"), eq(&accepted(2)));
    let conflict = |version| Applied::Refused {
        why: Why::Conflict {
            version: TextVersion(version),
            winner: "two".parse().unwrap(),
            by: "two".to_owned(),
        },
    };
    assert_that!(log.text("three", 1, "a\nc\n"), eq(&conflict(2)));
    log.reload();
    assert_that!(log.text("two", 1, "a\nb\n"), eq(&accepted(2)));
    assert_that!(log.text("three", 1, "a\nc\n"), eq(&conflict(2)));
    let reused = Applied::Refused {
        why: Why::ChangeReused,
    };
    assert_that!(log.text("two", 2, "other\n"), eq(&reused));
    assert_that!(log.text("four", 2, "a\n"), eq(&accepted(3)));
    assert_that!(log.state.texts().text(), eq("a\n"));
    let entries: Vec<_> = log.state.texts().history(TextVersion(1)).collect();
    assert_that!((entries[0].added, entries[0].removed), eq((1, 0)));
    assert_that!((entries[1].added, entries[1].removed), eq((0, 1)));
}

/// A change is resent after its outcome was forgotten. It may have been accepted, so it
/// must not be reported as refused.
#[test]
fn a_forgotten_change_is_not_called_refused() {
    let mut log = Log::new(Limits::default());
    for version in 0..20_002 {
        log.text(&format!("c{version}"), version, &format!("{version}\n"));
    }
    let old = log.text("c0", 0, "0\n");
    assert_that!(matches!(old, Applied::Unknown { .. }), eq(true));
    let known = log.text("c5", 5, "5\n");
    assert_that!(
        known,
        eq(&Applied::Accepted {
            version: TextVersion(6)
        })
    );
}

/// A marked request is resent through another instance: while the first one is under way,
/// after it, and when only the key's fingerprint is left.
#[test]
fn a_key_runs_once_whoever_resends_it() {
    base::covers!(claimed_by_other);
    base::covers!(key_with_other_body);
    base::covers!(fingerprint_found);
    let mut log = Log::new(small());
    assert_that!(log.claim("a", 1, 1, None), eq(&ClaimReply::Granted));
    assert_that!(log.claim("a", 1, 1, None), eq(&ClaimReply::Granted));
    assert_that!(log.claim("a", 1, 2, None), eq(&ClaimReply::Running));
    assert_that!(log.claim("b", 1, 1, None), eq(&ClaimReply::Running));
    let mut other = claim("b", 1, 1, None);
    other.body = [2; 16];
    let outcome = log.put(What::Claims(vec![Item::Claim(other)]));
    assert_that!(
        outcome,
        eq(&Outcome::Claims(vec![Some(ClaimReply::OtherBody)]))
    );
    let answer = Some(Answer {
        status: 201,
        content: "text/plain".to_owned(),
        body: b"done".to_vec(),
    });
    log.settle("a", 1, 1, ClaimOutcome::Ran(answer.clone()));
    log.reload();
    assert_that!(log.claim("b", 1, 7, None), eq(&ClaimReply::Ran(answer)));
    log.at = 5_000;
    log.claim("a", 2, 1, None);
    assert_that!(log.state.claims().counts(), eq((1, 1)));
    log.reload();
    assert_that!(log.claim("b", 1, 8, None), eq(&ClaimReply::Ran(None)));
}

/// An instance dies between its claim and the outcome. Whether the request ran is
/// unknown, so the key is not free again unless the same instance and attempt reports
/// that the request was not sent.
#[test]
fn a_dead_claimers_key_may_have_run() {
    base::covers!(claimer_died);
    base::covers!(foreign_settle);
    base::covers!(unknown_claimer);
    let mut log = Log::new(small());
    log.claim("a", 1, 1, None);
    log.claim("a", 2, 2, None);
    log.settle("a", 1, 9, ClaimOutcome::NotRun);
    assert_that!(log.claim("b", 1, 1, None), eq(&ClaimReply::Running));
    log.put(What::Lapse(instance_id("a", 1)));
    assert_that!(log.claim("b", 1, 1, None), eq(&ClaimReply::MayHaveRun));
    log.settle("a", 1, 1, ClaimOutcome::NotRun);
    assert_that!(log.claim("b", 1, 1, None), eq(&ClaimReply::Granted));
    log.settle("a", 2, 2, ClaimOutcome::Ran(None));
    assert_that!(log.claim("b", 2, 1, None), eq(&ClaimReply::Ran(None)));
    log.join("b", 2);
    assert_that!(log.claim("a", 1, 3, None), eq(&ClaimReply::MayHaveRun));
    let unknown = log.claim("stranger", 9, 1, None);
    assert_that!(matches!(unknown, ClaimReply::Deferred { .. }), eq(true));
}

/// Memory is bounded. Keys with a date are forgotten by date and refused from then on;
/// new keys without date are refused when there is no room left. No key runs twice.
#[test]
fn no_key_runs_twice_when_memory_is_full() {
    base::covers!(key_too_old);
    base::covers!(no_room_for_keys);
    const HOUR: u64 = 3_600_000;
    base::covers!(key_outside_window);
    let mut log = Log::new(small());
    log.wall = 6 * HOUR;
    for key in 0..6 {
        log.at += 2_000;
        let dated = Some(u64::from(key) * HOUR);
        assert_that!(log.claim("a", key, 1, dated), eq(&ClaimReply::Granted));
        log.settle("a", key, 1, ClaimOutcome::Ran(None));
    }
    log.at += 2_000;
    for key in 10..14 {
        log.claim("a", key, 1, None);
        log.settle("a", key, 1, ClaimOutcome::Ran(None));
    }
    for key in 0..6 {
        let want = if key < 4 {
            ClaimReply::TooOld
        } else {
            ClaimReply::Ran(None)
        };
        assert_that!(
            log.claim("b", key, 2, Some(u64::from(key) * HOUR)),
            eq(&want),
            "{key}"
        );
    }
    for key in 10..13 {
        assert_that!(
            log.claim("b", key, 2, None),
            eq(&ClaimReply::Ran(None)),
            "{key}"
        );
    }
    log.wall = 40 * HOUR;
    assert_that!(
        log.claim("b", 30, 2, Some(8 * HOUR)),
        eq(&ClaimReply::TooOld)
    );
    log.wall = 6 * HOUR;
    let late = log.claim("b", 13, 2, None);
    assert_that!(matches!(late, ClaimReply::Deferred { .. }), eq(true));
    assert_that!(
        log.claim("b", 20, 1, Some(6 * HOUR)),
        eq(&ClaimReply::Granted)
    );
}

/// The leaders' wall clocks differ, so a key's date is accepted for the first claim and
/// not for the second, or the other way round. The key is found in both cases.
#[test]
fn a_key_whose_date_is_accepted_once_runs_once() {
    for (first, then) in [(50_001_000_000, 1_000_000), (1_000_000, 50_001_000_000)] {
        let mut log = Log::new(small());
        let dated = Some(50_000_000_000);
        log.wall = first;
        log.claim("a", 1, 1, dated);
        log.settle("a", 1, 1, ClaimOutcome::MayHaveRun);
        log.at = 5_000;
        log.wall = then;
        log.claim("a", 2, 1, None);
        assert_that!(log.state.claims().counts(), eq((1, 1)));
        assert_that!(
            log.claim("b", 1, 2, dated),
            eq(&ClaimReply::MayHaveRun),
            "{first}"
        );
    }
}

/// A claim that is under way for longer than any request may take ends with an unknown
/// outcome. Kept answers stay within their limit in bytes.
#[test]
fn claims_end_and_answers_stay_bounded() {
    let mut log = Log::new(small());
    log.claim("a", 1, 1, None);
    log.at = 3_600_001;
    log.claim("a", 2, 1, None);
    assert_that!(log.claim("b", 1, 1, None), eq(&ClaimReply::MayHaveRun));
    let answer = Some(Answer {
        status: 200,
        content: String::new(),
        body: vec![0; 60],
    });
    log.settle("a", 2, 1, ClaimOutcome::Ran(answer.clone()));
    log.claim("a", 3, 1, None);
    log.settle("a", 3, 1, ClaimOutcome::Ran(answer.clone()));
    assert_that!(log.claim("b", 2, 1, None), eq(&ClaimReply::Ran(None)));
    assert_that!(log.claim("b", 3, 1, None), eq(&ClaimReply::Ran(answer)));
}

/// The clock of a new leader is behind that of the last one: the state clock stands still
/// until the leader's has caught up.
#[test]
fn time_never_goes_back() {
    let mut log = Log::new(Limits::default());
    log.at = 9_000;
    log.text("one", 0, "a\n");
    log.at = 10;
    log.text("two", 1, "b\n");
    assert_that!(log.state.at(), eq(9_000));
    assert_that!(
        Duration::from_millis(log.state.at()),
        eq(Duration::from_secs(9))
    );
}

#[test]
fn broken_bytes_are_no_state_and_no_command() {
    assert_that!(State::restore(b"xyz"), err(anything()));
    assert_that!(Command::decode(b""), err(anything()));
    let mut saved = State::default().save();
    saved[1] = 9;
    let refused = State::restore(&saved).unwrap_err().to_string();
    assert_that!(refused, contains_substring("format 9"));
}

proptest! {
    /// A patch turns any old text into any new one.
    #[test]
    fn a_patch_makes_the_new_text(old in "([abc]\n?){0,24}", new in "([abc]\n?){0,24}") {
        let patch = Patch::between(&old, &new);
        prop_assert_eq!(patch.apply(&old).unwrap(), new);
    }
}

/// The patch for single changed lines in a text of 48,000 adapters stays small, even if
/// the lines are far apart.
#[test]
fn a_small_change_of_a_large_text_is_a_small_patch() {
    let line = |i: u32| format!("[adapters.a{i}]\nbrand = \"b{}\"\nserve = 1\n", i % 40);
    let old: String = (0..48_000).map(line).collect();
    let new = old.replace("[adapters.a7]\n", "[adapters.x]\n");
    let new = new.replace("[adapters.a47000]\n", "[adapters.y]\nweights = \"w\"\n");
    let patch = Patch::between(&old, &new);
    assert_that!((patch.added(), patch.removed()), eq((3, 2)));
    assert_that!(patch.apply(&old).unwrap() == new, eq(true));
}

/// An instance that is a few versions behind gets patches; one that is far behind, or has
/// no text, gets the full text.
#[test]
fn recent_changes_travel_as_patches() {
    let mut log = Log::new(Limits::default());
    for i in 0..70 {
        log.text(&format!("c-{i}"), i, &format!("line\nchange {i}\n"));
    }
    let texts = log.state.texts();
    let now = texts.version();
    assert_that!(texts.since(now), some(is_empty()));
    assert_that!(
        texts.since(TextVersion(now.get() - 3)).map(|p| p.len()),
        some(eq(3))
    );
    assert_that!(texts.since(TextVersion(now.get() - 65)), none());
    assert_that!(texts.since(TextVersion(0)), none());
}

fn hold(log: &mut Log, content: &[u8], time: u64) -> Fingerprint {
    let id = Fingerprint::of(&[content]);
    log.put(What::Hold(id, Hold { time, crashes: 3 }));
    id
}

/// Guards against verdicts on crashing requests that are lost with a snapshot, or with a
/// restart of all instances.
#[test]
fn verdicts_outlast_a_snapshot() {
    let mut log = Log::new(Limits::default());
    let id = hold(&mut log, b"one", 60_000);
    let restored = State::restore(&log.state.save()).unwrap();
    assert_that!(restored.quarantine(), eq(log.state.quarantine()));
    assert_that!(restored.quarantine().all().contains_key(&id), eq(true));
}

/// Guards against verdicts that stay in snapshots after they ended.
#[test]
fn ended_verdicts_leave_a_snapshot() {
    let mut log = Log::new(Limits::default());
    hold(&mut log, b"one", 1_000);
    log.at += 2_000;
    let id = hold(&mut log, b"two", 1_000);
    assert_that!(log.state.quarantine().all().len(), eq(1));
    log.at += 3_600_000;
    log.put(What::Lift(id));
    assert_that!(log.state.quarantine().all().is_empty(), eq(true));
}

/// Guards against a list of verdicts that grows without limit, and against one that is
/// never lifted.
#[test]
fn verdicts_are_bounded_and_can_be_lifted() {
    let mut log = Log::new(Limits::default());
    for no in 0..2_000_u32 {
        hold(&mut log, &no.to_le_bytes(), 60_000 + u64::from(no));
    }
    assert_that!(log.state.quarantine().all().len(), le(1_024));
    let last = Fingerprint::of(&[&1_999_u32.to_le_bytes()]);
    log.put(What::Lift(last));
    assert_that!(log.state.quarantine().all()[&last].lifted, eq(true));
}
