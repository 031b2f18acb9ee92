//! Tests of single paths through a request's state machine.

use std::time::Duration;

use base::{
    AdapterKey, AdapterNo, Failure, Mark, Refusal, TargetNo, Time, Verdict, Version, covers,
};
use googletest::prelude::*;
use request::{
    AttemptNo, ClaimOutcome, ClaimReply, Fault, Final, Input, Output, Part, RanOn, Request, Start,
};

const DEADLINE: Time = Time(1_000_000);
const KEY: AdapterKey = AdapterKey {
    adapter: AdapterNo(7),
    version: Version(3),
};
const OTHER: AdapterKey = AdapterKey {
    adapter: AdapterNo(7),
    version: Version(4),
};
const RETRY: Option<Duration> = Some(Duration::from_secs(1));

struct Run {
    request: Request,
    out: Vec<Output>,
}

impl Run {
    fn new(start: Start) -> Self {
        let mut run = Run {
            request: Request::default(),
            out: Vec::new(),
        };
        run.give(Input::Start(start));
        run
    }

    /// Handles `input` just after the start and returns the outputs.
    fn give(&mut self, input: Input) -> Vec<Output> {
        self.at(Time(1), input)
    }

    fn at(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.request.handle(now, input, &mut out);
        self.out.extend(out.clone());
        out
    }

    /// Sends attempt `no` by placing the request on target `no`.
    fn sent(&mut self, no: u32) -> Vec<Output> {
        let target = TargetNo(no);
        self.give(Input::Placed { target })
    }
}

fn live() -> Start {
    Start {
        resumable: true,
        ..Start::live(Some(KEY), DEADLINE)
    }
}

fn marked() -> Start {
    Start {
        mark: Mark::Once,
        stream: false,
        ..Start::live(None, DEADLINE)
    }
}

fn head(no: u32, ran_on: RanOn, resumed: Option<u32>) -> Input {
    let attempt = AttemptNo(no);
    Input::Head {
        attempt,
        status: 200,
        ran_on,
        resumed,
    }
}

fn piece(no: u32, part: Part) -> Input {
    let attempt = AttemptNo(no);
    Input::Piece { attempt, part }
}

fn end(no: u32, complete: bool) -> Input {
    let attempt = AttemptNo(no);
    Input::End { attempt, complete }
}

fn failed(no: u32, verdict: Verdict) -> Input {
    Input::AttemptFailed {
        attempt: AttemptNo(no),
        verdict,
        reason: Refusal::TargetFailed,
        retry: None,
    }
}

fn send(no: u32, resume_from: u32) -> Output {
    Output::Send {
        attempt: AttemptNo(no),
        target: TargetNo(no),
        resume_from,
    }
}

fn failure(reason: Refusal, verdict: Verdict, retry: Option<Duration>) -> Failure {
    Failure {
        reason,
        verdict,
        retry,
    }
}

/// An engine breaks off a stream after two tokens and another engine resumes it: the
/// caller's text has no gap and no repetition.
#[gtest]
fn a_broken_stream_is_continued() {
    covers!(second_frame_dropped);
    let mut run = Run::new(live());
    expect_that!(run.sent(1), elements_are![eq(&send(1, 0))]);
    expect_that!(
        run.give(head(1, RanOn::Named(KEY), None)),
        eq(&vec![Output::PassHead])
    );
    run.give(piece(1, Part::Preamble));
    run.give(piece(1, Part::Tokens(2)));
    run.give(end(1, false));
    expect_that!(run.sent(2), elements_are![eq(&send(2, 2))]);
    expect_that!(run.give(head(2, RanOn::Named(KEY), Some(2))), is_empty());
    expect_that!(run.give(piece(2, Part::Preamble)), is_empty());
    expect_that!(run.give(piece(2, Part::Tokens(1))), eq(&vec![Output::Pass]));
    let done = run.give(end(2, true));
    expect_that!(done, eq(&vec![Output::Finish(Final::Complete)]));
}

/// An interrupted stream that the engines can't resume ends with an error, never like a
/// complete answer.
#[gtest]
fn a_stream_that_cannot_be_continued_ends_with_an_error() {
    covers!(stream_not_resumable);
    covers!(stream_broken_off);
    let mut run = Run::new(Start {
        resumable: false,
        ..live()
    });
    run.sent(1);
    run.give(head(1, RanOn::Named(KEY), None));
    run.give(piece(1, Part::Tokens(1)));
    let out = run.give(end(1, false));
    let failure = failure(Refusal::TargetFailed, Verdict::MayHaveRun, RETRY);
    assert_that!(out, contains(eq(&Output::Finish(Final::Broken(failure)))));
}

/// Guards against an engine that was reloaded by someone else and answers with another
/// version: nothing of that answer may reach the caller.
#[gtest]
fn an_answer_of_another_version_is_stopped() {
    covers!(wrong_adapter_stopped);
    for ran_on in [RanOn::Named(OTHER), RanOn::Unknown, RanOn::Unnamed] {
        let mut run = Run::new(live());
        run.sent(1);
        let out = run.give(head(1, ran_on, None));
        let (target, fault) = (TargetNo(1), Fault::WrongAdapter);
        expect_that!(
            out,
            contains(eq(&Output::Cancel {
                attempt: AttemptNo(1)
            }))
        );
        expect_that!(out, contains(eq(&Output::ReportFault { target, fault })));
        expect_that!(out, not(contains(eq(&Output::PassHead))));
        let avoid = vec![target];
        expect_that!(out, contains(eq(&Output::Place { avoid, retry: true })));
    }
}

/// Guards against an engine that ignores the request to resume and starts from the
/// beginning.
#[gtest]
fn a_stream_that_starts_anew_is_not_passed_on() {
    covers!(wrong_resume_stopped);
    for resumed in [None, Some(0), Some(2)] {
        let mut run = Run::new(live());
        run.sent(1);
        run.give(head(1, RanOn::Named(KEY), None));
        run.give(piece(1, Part::Tokens(1)));
        run.give(end(1, false));
        run.sent(2);
        let out = run.give(head(2, RanOn::Named(KEY), resumed));
        expect_that!(
            out,
            contains(eq(&Output::Cancel {
                attempt: AttemptNo(2)
            }))
        );
        expect_that!(run.give(piece(2, Part::Tokens(1))), is_empty());
    }
}

/// Guards against an engine that answers after its attempt was given up: its pieces must
/// not be mixed into the answer of the second attempt.
#[gtest]
fn a_late_answer_is_ignored() {
    covers!(late_attempt_ignored);
    let mut run = Run::new(live());
    run.sent(1);
    run.give(failed(1, Verdict::MayHaveRun));
    run.sent(2);
    expect_that!(run.give(head(1, RanOn::Named(KEY), None)), is_empty());
    expect_that!(run.give(piece(1, Part::Tokens(5))), is_empty());
    expect_that!(run.give(end(1, true)), is_empty());
    expect_that!(run.request.tokens(), eq(0));
}

/// Guards against running a marked request twice: its connection breaks, and it may have
/// run.
#[gtest]
fn a_marked_request_with_unknown_outcome_is_not_retried() {
    covers!(marked_not_retried);
    let mut run = Run::new(marked());
    run.give(Input::Claimed(ClaimReply::Granted));
    run.sent(1);
    let out = run.give(failed(1, Verdict::MayHaveRun));
    let failure = failure(Refusal::TargetFailed, Verdict::MayHaveRun, RETRY);
    expect_that!(out, contains(eq(&Output::Settle(ClaimOutcome::MayHaveRun))));
    assert_that!(out, contains(eq(&Output::Finish(Final::Failed(failure)))));
}

/// The caller of a marked request disconnects during the answer. The request continues to
/// its end and is settled, so that a resend finds its answer.
#[gtest]
fn a_marked_request_outlives_its_caller() {
    covers!(marked_outlives_caller);
    let mut run = Run::new(Start {
        outlives: true,
        ..marked()
    });
    run.give(Input::Claimed(ClaimReply::Granted));
    run.sent(1);
    expect_that!(run.give(Input::CallerGone), is_empty());
    run.give(head(1, RanOn::Unnamed, None));
    let out = run.give(end(1, true));
    let failure = failure(Refusal::CallerGone, Verdict::Ran, None);
    let end = Output::Finish(Final::Failed(failure));
    assert_that!(out, eq(&vec![Output::Settle(ClaimOutcome::Ran), end]));
}

/// A claim is granted after its caller was told that the request did not run: the claim
/// is settled as not run.
#[gtest]
fn a_late_claim_is_given_back() {
    covers!(late_claim_given_back);
    let mut run = Run::new(marked());
    run.at(DEADLINE, Input::Wake);
    expect_that!(run.request.is_over(), eq(false));
    let out = run.at(DEADLINE, Input::Claimed(ClaimReply::Granted));
    assert_that!(out, eq(&vec![Output::Settle(ClaimOutcome::NotRun)]));
    assert_that!(run.request.is_over(), eq(true));
}

/// Guards against fetching an answer again after a part of it was passed on: the caller
/// would get its beginning twice.
#[gtest]
fn bytes_passed_on_are_not_fetched_anew() {
    covers!(raw_not_retried);
    let mut run = Run::new(Start {
        adapter: None,
        ..live()
    });
    run.sent(1);
    run.give(head(1, RanOn::Unnamed, None));
    run.give(piece(1, Part::Raw));
    let out = run.give(end(1, false));
    let failure = failure(Refusal::TargetFailed, Verdict::MayHaveRun, RETRY);
    assert_that!(out, contains(eq(&Output::Finish(Final::Broken(failure)))));
}

/// Guards against an error or a second answer after `[DONE]`, when the connection breaks
/// just after it: the caller has the complete answer.
#[gtest]
fn a_cut_after_the_end_marker_changes_nothing() {
    covers!(cut_after_the_end);
    let mut run = Run::new(live());
    run.sent(1);
    run.give(head(1, RanOn::Named(KEY), None));
    run.give(piece(1, Part::Tokens(1)));
    run.give(piece(1, Part::Last));
    let out = run.give(end(1, false));
    assert_that!(out, eq(&vec![Output::Finish(Final::Complete)]));
}

/// A batch request is preempted again and again, and its engines change owners in a
/// rolling restart. Neither may use up its attempts.
#[gtest]
fn giving_way_and_moving_are_no_failures() {
    covers!(preempted_not_counted);
    covers!(moved_not_counted);
    let mut run = Run::new(live());
    for no in (1..40).step_by(2) {
        let reasons = [
            (Verdict::MayHaveRun, Refusal::Preempted),
            (Verdict::NotRun, Refusal::Moved),
        ];
        for (i, (verdict, reason)) in (0..).zip(reasons) {
            let attempt = AttemptNo(no + i);
            run.sent(attempt.0);
            let retry = None;
            let out = run.give(Input::AttemptFailed {
                attempt,
                verdict,
                reason,
                retry,
            });
            let avoid = vec![];
            expect_that!(
                out,
                eq(&vec![Output::Place {
                    avoid,
                    retry: false
                }])
            );
        }
    }
}

/// A long stream is interrupted again and again, each time further on. It is resumed to
/// its end; without progress three attempts are the limit.
#[gtest]
fn a_stream_that_makes_progress_is_not_given_up() {
    covers!(progress_not_counted);
    let mut run = Run::new(live());
    let mut no = 0;
    for got in 0..20 {
        no += 1;
        expect_that!(run.sent(no), elements_are![eq(&send(no, got))]);
        run.give(head(no, RanOn::Named(KEY), (got > 0).then_some(got)));
        run.give(piece(no, Part::Tokens(1)));
        run.give(end(no, false));
    }
    for left in [true, true, false] {
        no += 1;
        run.sent(no);
        let out = run.give(failed(no, Verdict::MayHaveRun));
        let place = out
            .iter()
            .any(|output| matches!(output, Output::Place { .. }));
        expect_that!(place, eq(left));
    }
}

fn claim_reply((reply, reason, verdict, retry): (ClaimReply, Refusal, Verdict, Option<Duration>)) {
    let mut run = Run::new(marked());
    let out = run.give(Input::Claimed(reply));
    let end = Final::Failed(failure(reason, verdict, retry));
    assert_eq!(out, vec![Output::Finish(end)]);
}

const HALF: Duration = Duration::from_millis(500);

base::cases! {
    /// A claim that is not granted is answered at once, with the verdict that is known.
    claims_refused: claim_reply => {
        running: (ClaimReply::Running, Refusal::Duplicate, Verdict::MayHaveRun, RETRY),
        ran: (ClaimReply::Ran { kept: false }, Refusal::Duplicate, Verdict::Ran, None),
        unknown_outcome: (ClaimReply::MayHaveRun, Refusal::Duplicate, Verdict::MayHaveRun, None),
        too_old: (ClaimReply::TooOld, Refusal::Duplicate, Verdict::MayHaveRun, None),
        other_body: (ClaimReply::OtherBody, Refusal::KeyReused, Verdict::NotRun, None),
        no_quorum: (ClaimReply::Deferred { retry: HALF }, Refusal::NoQuorum, Verdict::NotRun, Some(HALF)),
    }
}

fn silent(no: u32, fault: bool) -> Input {
    let attempt = AttemptNo(no);
    Input::Silent { attempt, fault }
}

fn cancel(no: u32) -> Output {
    Output::Cancel {
        attempt: AttemptNo(no),
    }
}

/// Returns a stream that has two tokens and whose first target is silent, with a second
/// attempt beside it.
fn doubled() -> Run {
    let mut run = Run::new(live());
    run.sent(1);
    run.give(head(1, RanOn::Named(KEY), None));
    run.give(piece(1, Part::Tokens(2)));
    let (avoid, retry) = (vec![TargetNo(1)], true);
    let out = run.give(silent(1, true));
    assert_that!(out, eq(&vec![Output::Place { avoid, retry }]));
    assert_that!(run.sent(2), elements_are![eq(&send(2, 2))]);
    run
}

/// Guards against a stream that is given up for silence before another target has answered.
#[gtest]
fn a_silent_attempt_is_left_for_a_right_head_only() {
    covers!(silent_replaced);
    let mut run = doubled();
    let out = run.give(head(2, RanOn::Named(OTHER), Some(2)));
    expect_that!(out, contains(eq(&cancel(2))));
    expect_that!(out, not(contains(eq(&cancel(1)))));
    run.sent(3);
    let out = run.give(head(3, RanOn::Named(KEY), Some(2)));
    expect_that!(out, eq(&vec![cancel(1)]));
    let out = run.give(piece(3, Part::Tokens(1)));
    expect_that!(out, eq(&vec![Output::Pass]));
    expect_that!(run.give(piece(1, Part::Tokens(1))), is_empty());
}

/// A silent target goes on: the replacement is given up, also while its target is looked for.
#[gtest]
fn a_silent_attempt_that_goes_on_wins() {
    covers!(silent_goes_on);
    let mut run = doubled();
    let out = run.give(piece(1, Part::Tokens(1)));
    expect_that!(out, eq(&vec![cancel(2), Output::Pass]));
    expect_that!(run.give(head(2, RanOn::Named(KEY), Some(2))), is_empty());
    run.give(silent(1, true));
    let out = run.give(piece(1, Part::Tokens(1)));
    expect_that!(out, eq(&vec![Output::Withdraw, Output::Pass]));
}

/// A silent target fails after all: the replacement goes on without one more attempt.
#[gtest]
fn a_replacement_takes_the_place_of_a_failed_attempt() {
    covers!(silent_failed);
    let mut run = doubled();
    let out = run.give(end(1, false));
    let place = |output: &Output| matches!(output, Output::Place { .. } | Output::Finish(_));
    expect_that!(out.iter().any(place), eq(false));
    expect_that!(run.give(head(2, RanOn::Named(KEY), Some(2))), is_empty());
    let out = run.give(piece(2, Part::Tokens(1)));
    expect_that!(out, eq(&vec![Output::Pass]));
}

/// Guards against an answer that ends for want of a replacement, and against more attempts
/// than are allowed: each replacement fails, and the silent target goes on.
#[gtest]
fn a_silent_attempt_is_kept_when_nothing_replaces_it() {
    covers!(silent_kept);
    let mut run = Run::new(live());
    run.sent(1);
    run.give(head(1, RanOn::Named(KEY), None));
    run.give(silent(1, true));
    let none = Failure::not_run(Refusal::Unavailable);
    expect_that!(run.give(Input::NoTarget(none)), is_empty());
    run.give(silent(1, true));
    for no in [2, 3] {
        run.sent(no);
        run.give(failed(no, Verdict::MayHaveRun));
    }
    expect_that!(run.give(silent(1, true)), is_empty());
    let out = run.give(piece(1, Part::Tokens(1)));
    expect_that!(out, eq(&vec![Output::Pass]));
}

/// Guards against a marked request that runs twice, as its target or the owner is silent.
#[gtest]
fn a_marked_request_is_not_sent_beside_a_silent_attempt() {
    for fault in [true, false] {
        let mut run = Run::new(marked());
        run.give(Input::Claimed(ClaimReply::Granted));
        run.sent(1);
        expect_that!(run.give(silent(1, fault)), is_empty());
        run.give(head(1, RanOn::Unnamed, None));
        let out = run.give(end(1, true));
        expect_that!(out, contains(eq(&Output::Finish(Final::Complete))));
    }
}

/// Guards against a long stream that is given up at its third silence although each target
/// brought it further.
#[gtest]
fn a_stream_that_makes_progress_is_replaced_again_and_again() {
    let mut run = Run::new(live());
    run.sent(1);
    run.give(head(1, RanOn::Named(KEY), None));
    for no in 1..20 {
        run.give(piece(no, Part::Tokens(1)));
        let out = run.give(silent(no, true));
        let place = |output: &Output| matches!(output, Output::Place { .. });
        expect_that!(out.iter().any(place), eq(true), "{no}");
        run.sent(no + 1);
        run.give(head(no + 1, RanOn::Named(KEY), Some(no)));
    }
}

/// Owners fall silent one after the other, which uses up no attempt.
#[gtest]
fn silent_owners_use_up_no_attempt() {
    let mut run = Run::new(live());
    run.sent(1);
    run.give(silent(1, false));
    for no in 2..20 {
        run.sent(no);
        let out = run.give(silent(no, false));
        let (avoid, retry) = (vec![], false);
        let place = Output::Place { avoid, retry };
        expect_that!(out, eq(&vec![cancel(no), place]));
    }
}

/// Guards against two answers in one: what was held back of the silent attempt's answer is
/// dropped when another one replaces it.
#[gtest]
fn a_replacement_drops_what_was_held_back() {
    let mut run = Run::new(Start {
        stream: false,
        ..live()
    });
    run.sent(1);
    run.give(head(1, RanOn::Named(KEY), None));
    run.give(piece(1, Part::Tokens(1)));
    run.give(silent(1, true));
    run.sent(2);
    let out = run.give(head(2, RanOn::Named(KEY), None));
    expect_that!(out, eq(&vec![cancel(1), Output::DropHeld, Output::Hold]));
}

/// Guards against fewer attempts for a stream whose silent target had brought it further than
/// for one that it had broken off: the first attempt doesn't count, the three others do.
#[gtest]
fn a_silent_attempt_that_made_progress_does_not_count() {
    let mut run = doubled();
    for (no, left) in [(2, true), (3, true), (4, false)] {
        let out = run.give(failed(no, Verdict::MayHaveRun));
        let place = |output: &Output| matches!(output, Output::Place { .. });
        expect_that!(out.iter().any(place), eq(left), "{no}");
        run.sent(no + 1);
    }
}
