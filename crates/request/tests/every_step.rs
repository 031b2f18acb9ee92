//! Explores every order of events up to a bounded depth, with a failure possible at each
//! step, and checks the request's outputs against what really happened.
//!
//! The model of the environment knows what really happened: which attempts ran, and which
//! tokens each would send. It offers every event that could come next, including those of
//! attempts that were given up, and the checks run after each of them.

use std::{collections::HashSet, time::Duration};

use base::{AdapterKey, AdapterNo, Failure, Mark, Refusal, TargetNo, Time, Verdict, Version};
use request::{
    AttemptNo, ClaimOutcome, ClaimReply, Final, Input, Output, Part, RanOn, Request, Start,
};

const DEADLINE: Time = Time(1_000);
const DEPTH: usize = 10;
const TOKENS: u32 = 2;
const KEY: AdapterKey = AdapterKey {
    adapter: AdapterNo(1),
    version: Version(1),
};
const OTHER: AdapterKey = AdapterKey {
    adapter: AdapterNo(1),
    version: Version(2),
};

/// One attempt as the environment sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sent {
    no: AttemptNo,
    from: u32,
    /// Number of tokens that its answer has sent.
    next: u32,
    headed: bool,
    wrong: bool,
    /// Whether its head can't be used.
    bad: bool,
    /// Whether it was silent.
    silent: bool,
    /// Whether it sent the end marker.
    last: bool,
    over: bool,
    /// Whether it may have run on the target.
    ran: bool,
    cancelled: bool,
}

impl Sent {
    fn runs(&self) -> bool {
        !self.over && !self.cancelled
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Environment {
    claiming: bool,
    placing: bool,
    granted: bool,
    settled: Option<ClaimOutcome>,
    sent: Vec<Sent>,
    /// Tokens passed to the caller, in order.
    got: Vec<u32>,
    /// Tokens held back.
    held: Vec<u32>,
    end: Option<Ended>,
    gone: bool,
    late: bool,
    /// Whether the answer is bytes that can't be resumed.
    raw: bool,
    /// Whether the caller got the end marker.
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ended(String);

/// An event: the input, and the tokens in it.
type Event = (Input, Vec<u32>);

fn events(env: &Environment) -> Vec<Event> {
    let mut all = Vec::new();
    if env.claiming {
        let retry = Duration::from_millis(1);
        let (yes, no) = (ClaimReply::Granted, ClaimReply::Deferred { retry });
        let kept = ClaimReply::Ran { kept: true };
        let replies = [yes, no, kept, ClaimReply::Running, ClaimReply::MayHaveRun];
        all.extend(replies.map(|reply| (Input::Claimed(reply), vec![])));
    }
    if env.placing {
        let target = TargetNo(env.sent.len() as u32);
        all.push((Input::Placed { target }, vec![]));
        let none = Failure::not_run(Refusal::Unavailable);
        all.push((Input::NoTarget(none), vec![]));
    }
    for sent in env.sent.iter().filter(|sent| !sent.over) {
        all.extend(events_of(sent, env.raw));
    }
    if !env.gone {
        all.push((Input::CallerGone, vec![]));
    }
    if !env.late {
        all.push((Input::Wake, vec![]));
    }
    all
}

fn events_of(sent: &Sent, raw: bool) -> Vec<Event> {
    let attempt = sent.no;
    let why = |verdict, reason| Input::AttemptFailed {
        attempt,
        verdict,
        reason,
        retry: None,
    };
    let failed = |verdict| why(verdict, Refusal::TargetFailed);
    let preempted = why(Verdict::MayHaveRun, Refusal::Preempted);
    // Before its head only the owner of a target is known to be silent.
    let silent = Input::Silent {
        attempt,
        fault: sent.headed,
    };
    if !sent.headed {
        let head = |status, ran_on, resumed| Input::Head {
            attempt,
            status,
            ran_on,
            resumed,
        };
        let from = (sent.from > 0).then_some(sent.from);
        let mut all = vec![
            preempted,
            why(Verdict::NotRun, Refusal::Moved),
            failed(Verdict::NotRun),
            failed(Verdict::MayHaveRun),
            head(200, RanOn::Named(KEY), from),
            head(200, RanOn::Named(OTHER), from),
            head(500, RanOn::Unnamed, None),
            // The engine starts from the beginning although it was asked to resume.
            head(200, RanOn::Named(KEY), None),
        ];
        all.extend((!sent.silent).then_some(silent));
        return all.into_iter().map(|input| (input, vec![])).collect();
    }
    let piece = |part| Input::Piece { attempt, part };
    let end = |complete| Input::End { attempt, complete };
    // A target that says `not run` after it began to answer is wrong.
    let wrong = failed(Verdict::NotRun);
    let may_have_run = failed(Verdict::MayHaveRun);
    let ends = [preempted, wrong, may_have_run, end(false)];
    let mut all: Vec<Event> = ends.map(|input| (input, vec![])).into();
    all.extend((!sent.silent).then_some((silent, vec![])));
    let part = if raw { Part::Raw } else { Part::Tokens(1) };
    if sent.next < TOKENS {
        all.push((piece(part), vec![sent.next]));
    } else if raw || sent.last {
        all.push((end(true), vec![]));
    } else {
        all.push((piece(Part::Last), vec![]));
    }
    all
}

/// Applies the event to the environment and to the request, carries out the outputs, and
/// checks.
fn step(
    start: &Start,
    request: &Request,
    env: &Environment,
    event: &Event,
) -> (Request, Environment) {
    let (mut request, mut env) = (request.clone(), env.clone());
    env.happen(&event.0);
    let now = if env.late { DEADLINE } else { Time(1) };
    let mut out = Vec::new();
    request.handle(now, event.0.clone(), &mut out);
    for output in &out {
        env.carry_out(start, output, event);
    }
    env.check(start, &out);
    (request, env)
}

impl Environment {
    fn happen(&mut self, input: &Input) {
        match input {
            Input::Claimed(reply) => {
                self.claiming = false;
                self.granted = *reply == ClaimReply::Granted;
            }
            Input::Placed { .. } | Input::NoTarget(_) => self.placing = false,
            Input::CallerGone => self.gone = true,
            Input::Wake => self.late = true,
            Input::AttemptFailed {
                attempt, verdict, ..
            } => {
                let sent = self.attempt(*attempt);
                sent.over = true;
                // What an attempt says after it was cancelled isn't heard.
                sent.ran = sent.headed || sent.cancelled || *verdict != Verdict::NotRun;
            }
            Input::Head {
                attempt,
                ran_on,
                resumed,
                status,
            } => {
                let sent = self.attempt(*attempt);
                sent.headed = true;
                let resumes = sent.from == 0 || *resumed == Some(sent.from);
                sent.bad = *status != 200 || *ran_on != RanOn::Named(KEY) || !resumes;
                sent.next = resumed.unwrap_or_default();
                sent.wrong = *ran_on != RanOn::Named(KEY);
            }
            Input::Piece { attempt, part } => {
                let sent = self.attempt(*attempt);
                sent.last |= *part == Part::Last;
                sent.next += u32::from(*part != Part::Last);
            }
            Input::End { attempt, .. } => self.attempt(*attempt).over = true,
            Input::Silent { attempt, .. } => self.attempt(*attempt).silent = true,
            Input::Start(_) => {}
        }
    }

    fn attempt(&mut self, no: AttemptNo) -> &mut Sent {
        self.sent.iter_mut().find(|sent| sent.no == no).unwrap()
    }

    fn carry_out(&mut self, start: &Start, output: &Output, (input, tokens): &Event) {
        let over = self.end.is_some();
        match output {
            Output::Claim => self.claiming = true,
            Output::Place { .. } => {
                assert!(!self.placing, "a second target looked for");
                self.placing = true;
            }
            Output::Withdraw => {
                assert!(self.placing, "nothing to withdraw");
                self.placing = false;
            }
            Output::Send {
                attempt,
                resume_from,
                ..
            } => {
                assert!(!over, "sent after the final answer");
                let running = self.sent.iter().filter(|sent| sent.runs()).count();
                assert!(running < 2, "a third attempt beside two");
                let ran = self.sent.iter().any(|sent| sent.ran);
                assert!(
                    start.mark == Mark::Repeatable || !ran,
                    "marked request sent again after it may have run"
                );
                assert!(
                    start.mark == Mark::Repeatable || self.granted,
                    "marked request sent without a claim"
                );
                assert!(
                    *resume_from == 0 || start.resumable,
                    "resumed on an engine that can't resume"
                );
                self.sent.push(Sent {
                    no: *attempt,
                    from: *resume_from,
                    next: *resume_from,
                    headed: false,
                    wrong: false,
                    bad: false,
                    silent: false,
                    last: false,
                    over: false,
                    ran: true,
                    cancelled: false,
                });
            }
            Output::Cancel { attempt } => {
                let complete = self.ended || self.late;
                let outlives = start.outlives && self.gone && !complete;
                self.check_cancel(*attempt, input);
                let bad = self.attempt(*attempt).headed && self.attempt(*attempt).wrong;
                assert!(bad || !outlives, "cancelled though it outlives its caller");
                self.attempt(*attempt).cancelled = true;
            }
            Output::Pass | Output::PassHead => {
                assert!(
                    !over && !self.gone,
                    "passed on after the final answer or after the caller left"
                );
                self.check_source(input);
                assert!(!self.ended, "passed on after the end marker");
                self.ended = matches!(
                    input,
                    Input::Piece {
                        part: Part::Last,
                        ..
                    }
                );
                self.got.extend(tokens);
            }
            Output::Hold => self.held.extend(tokens),
            Output::DropHeld => self.held.clear(),
            Output::Release => self.got.append(&mut self.held),
            Output::Settle(outcome) => {
                assert_eq!(self.settled.replace(*outcome), None, "settled twice");
                assert!(self.granted, "settled without a claim");
                let ran = self.sent.iter().any(|sent| sent.ran);
                assert!(
                    !ran || *outcome != ClaimOutcome::NotRun,
                    "settled as not run, but it ran"
                );
            }
            Output::Finish(end) => {
                assert!(!over, "two final answers");
                self.check_end(end);
                self.end = Some(Ended(format!("{end:?}")));
            }
            Output::ReportFault { .. } | Output::Wake { .. } => {}
        }
    }

    /// Checks that an attempt that may go on is cancelled only when its request ends, or
    /// when another attempt has brought something.
    fn check_cancel(&self, attempt: AttemptNo, input: &Input) {
        let bad = self.sent.iter().any(|sent| sent.no == attempt && sent.bad);
        let ends = *input == Input::CallerGone || *input == Input::Wake;
        if ends || bad {
            return;
        }
        let others = || {
            self.sent
                .iter()
                .filter(|sent| sent.no != attempt && !sent.cancelled)
        };
        let replaced = match input {
            Input::Silent { attempt: no, fault } => {
                *no == attempt && !fault && others().any(Sent::runs)
            }
            Input::Head { attempt: no, .. }
            | Input::Piece { attempt: no, .. }
            | Input::End {
                attempt: no,
                complete: true,
            } => others().any(|sent| sent.no == *no),
            _ => false,
        };
        assert!(replaced, "{attempt:?} cancelled though nothing replaces it");
    }

    fn check_source(&mut self, input: &Input) {
        let (Input::Head { attempt, .. } | Input::Piece { attempt, .. }) = input else {
            panic!("passed on an input without data");
        };
        let sent = self.attempt(*attempt);
        assert!(!sent.wrong, "passed on a wrong adapter's answer");
        assert!(!sent.cancelled, "passed on a cancelled attempt's answer");
    }

    fn check_end(&self, end: &Final) {
        let ran = self.sent.iter().any(|sent| sent.ran);
        match end {
            Final::Complete => {
                let error = self.sent.last().is_some_and(|sent| sent.wrong);
                let all: Vec<u32> = (0..TOKENS).collect();
                assert!(
                    error || self.got == all,
                    "complete answer with tokens {:?}",
                    self.got
                );
            }
            Final::Replay => assert!(!ran),
            Final::Failed(failure) | Final::Broken(failure) => {
                assert!(
                    !ran || failure.verdict != Verdict::NotRun,
                    "verdict is not run, but it ran"
                );
                let uncertain = !ran && failure.verdict != Verdict::NotRun;
                let other = failure.reason == Refusal::Duplicate;
                assert!(
                    !uncertain || other,
                    "not run, but the verdict is uncertain: {failure:?}"
                );
                assert!(self.got.is_empty() || matches!(end, Final::Broken(_)));
                assert!(!self.ended, "error after the end marker");
            }
        }
    }

    fn check(&self, start: &Start, out: &[Output]) {
        let exact = self.got.iter().copied().eq(0..self.got.len() as u32);
        assert!(exact, "tokens out of order: {:?}", self.got);
        if self.end.is_none() {
            return;
        }
        let open = |sent: &Sent| !sent.over && !sent.cancelled;
        assert!(!self.sent.iter().any(open), "attempt left running: {out:?}");
        if start.mark == Mark::Once && !self.claiming {
            assert_eq!(self.settled.is_some(), self.granted, "claim not settled");
        }
    }
}

struct Search {
    start: Start,
    seen: HashSet<String>,
    ends: HashSet<String>,
}

impl Search {
    fn explore(
        &mut self,
        request: &Request,
        env: &Environment,
        left: usize,
        path: &mut Vec<Input>,
    ) {
        if !self.seen.insert(format!("{left}{request:?}{env:?}")) {
            return;
        }
        if let Some(Ended(end)) = &env.end {
            self.ends.insert(end.clone());
        }
        if left == 0 {
            return self.drain(request, env);
        }
        for event in events(env) {
            path.push(event.0.clone());
            let (request, env) = step(&self.start, request, env, &event);
            self.explore(&request, &env, left - 1, path);
            path.pop();
        }
    }

    /// Checks that the deadline brings the final answer in any state.
    fn drain(&self, request: &Request, env: &Environment) {
        let (_, env) = step(&self.start, request, env, &(Input::Wake, vec![]));
        assert!(env.end.is_some(), "no final answer: {env:?}");
    }
}

/// Prints the events that led to a failed check.
struct PathOnPanic<'a>(&'a mut Vec<Input>);

impl Drop for PathOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("check failed after {:#?}", self.0);
        }
    }
}

/// Properties of one case's requests; the names of cases say what differs from [`PLAIN`].
#[derive(Clone, Copy)]
struct Kind {
    once: bool,
    stream: bool,
    resumable: bool,
    outlives: bool,
    raw: bool,
}

fn explore(kind: Kind) {
    let stream = kind.stream;
    let mark = if kind.once {
        Mark::Once
    } else {
        Mark::Repeatable
    };
    let start = Start {
        mark,
        stream,
        resumable: kind.resumable,
        outlives: kind.outlives,
        attempts: 3,
        ..Start::live(Some(KEY), DEADLINE)
    };
    let mut search = Search {
        start: start.clone(),
        seen: HashSet::new(),
        ends: HashSet::new(),
    };
    let (mut request, mut out) = (Request::default(), vec![]);
    let mut env = Environment {
        raw: kind.raw,
        ..Environment::default()
    };
    request.handle(Time::ZERO, Input::Start(start.clone()), &mut out);
    let first = (Input::Start(start.clone()), vec![]);
    for output in &out {
        env.carry_out(&start, output, &first);
    }
    let mut path = Vec::new();
    let on_panic = PathOnPanic(&mut path);
    search.explore(&request, &env, DEPTH, &mut *on_panic.0);
    // The search proves nothing unless it reaches both successful and failed ends.
    let reached = |what: &str| search.ends.iter().any(|end| end.contains(what));
    for what in ["Complete", "NotRun", "MayHaveRun", "Deadline", "CallerGone"] {
        assert!(reached(what), "no path ends with {what}");
    }
    assert_eq!(
        reached("Broken"),
        stream,
        "streams can break off, other answers can't"
    );
    println!("{} states, {} ends", search.seen.len(), search.ends.len());
}

const PLAIN: Kind = Kind {
    once: false,
    stream: false,
    resumable: false,
    outlives: false,
    raw: false,
};

const STREAM: Kind = Kind {
    stream: true,
    ..PLAIN
};

const ONCE: Kind = Kind {
    once: true,
    ..PLAIN
};

base::cases! {
    every_step: explore => {
        stream: STREAM,
        stream_resumable: Kind { resumable: true, ..STREAM },
        stream_raw: Kind { raw: true, ..STREAM },
        stream_raw_resumable: Kind { raw: true, resumable: true, ..STREAM },
        whole: PLAIN,
        marked_stream: Kind { once: true, resumable: true, ..STREAM },
        marked_whole: ONCE,
        marked_outliving: Kind { outlives: true, ..ONCE },
        marked_outliving_stream: Kind { once: true, outlives: true, ..STREAM },
    }
}
