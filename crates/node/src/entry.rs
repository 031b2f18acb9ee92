//! Handles requests from arrival to final answer.
//!
//! A [`request::Request`] per request decides what to do next. This service
//! carries it out: it claims the idempotency key at the leader, chooses a
//! target, and queues the request for the target's engine or forwards it to
//! the engine's owner.

mod active;
mod crashed;
mod explain;
mod hop;
mod ping;
mod place;
mod words;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Failure, Fence, InstanceName, Mark, Refusal, TargetNo, Ticket, Time, Verdict};
use request::{AttemptNo, Input as Step, Part, RanOn};
use route::{RetryBudget, Router, RouterUpdate};
use wire::{
    call::{Call, ClaimReply, Reply, Settle},
    engine::{BadResident, Resident},
};

use self::{
    active::{Active, request_of},
    hop::Hops,
};
use crate::{
    io::{AnswerEnd, Arrival, Input, Output, Progress},
    msg::{ENGINES, ENTRY, Msg},
    shared::{Out, Purpose, Shared},
};

/// Delay before the outcome of a claimed request is reported to the leader
/// again.
const SETTLE_RETRY: Duration = Duration::from_millis(500);

/// The requests of this instance's own callers, and those forwarded to it.
#[derive(Debug)]
pub(crate) struct Entry {
    router: Router,
    budget: RetryBudget,
    requests: BTreeMap<Ticket, Active>,
    hops: Hops,
    /// Owner of each engine and its fencing number, from the leader's roster.
    owners: BTreeMap<TargetNo, (InstanceName, Fence)>,
    /// Selects the control instance to try while the leader is unknown.
    rotation: u64,
    /// Times at which requests have to be woken.
    deadlines: BTreeSet<(Time, Ticket)>,
    /// Whether the owners of forwarded, unanswered requests are alive.
    liveness: BTreeMap<InstanceName, ping::Liveness>,
    /// Requests that wait for an engine to get an owner, by the time of the
    /// next attempt to place them.
    parked: BTreeSet<(Time, Ticket)>,
    /// Outcomes of claimed requests to be reported to the leader again.
    unsettled: Vec<Settle>,
    /// Number of outstanding calls that report an outcome.
    settling: u32,
    /// Earliest end of the graceful shutdown; none before [`Msg::Drain`].
    stop: Option<Time>,
    /// Whether [`Output::Drained`] has been emitted.
    stopped: bool,
}

impl Entry {
    pub(crate) fn new(shared: &mut Shared) -> Self {
        let zone = shared.settings.zone.clone();
        let zone = shared.names.zone(&zone);
        Entry {
            router: Router::new(zone, shared.settings.seed.get()),
            budget: RetryBudget::new(),
            requests: BTreeMap::new(),
            hops: Hops::default(),
            owners: BTreeMap::new(),
            rotation: 0,
            deadlines: BTreeSet::new(),
            liveness: BTreeMap::new(),
            parked: BTreeSet::new(),
            unsettled: Vec::new(),
            settling: 0,
            stop: None,
            stopped: false,
        }
    }

    pub(crate) fn handle(&mut self, shared: &mut Shared, now: Time, msg: Msg, out: &mut Out) {
        match msg {
            Msg::Input(Input::Arrive(arrival)) => self.arrive(shared, now, arrival, out),
            Msg::Input(Input::Hop(hop)) => self.hops.arrive(shared, now, hop, out),
            Msg::Input(Input::CallerGone(ticket)) => self.caller_gone(shared, now, ticket, out),
            Msg::Input(Input::Progress {
                ticket,
                attempt,
                step,
                progress,
            }) => self.progress(shared, now, (ticket, attempt, step), progress, out),
            Msg::Input(Input::TargetChecked { target, crashed }) => {
                self.target_checked(shared, now, &target, crashed, out);
            }
            Msg::Input(Input::Said { target, word }) => {
                self.said(shared, now, (&target, word), out);
            }
            Msg::TargetUpdate(update) => self.router.apply(now, update),
            Msg::Owner(target, owner, fence) => self.note_owner(target, owner, fence),
            Msg::Dispatch { ticket, priority } => self.dispatch(shared, now, ticket, priority, out),
            Msg::Refused { ticket, failure } => self.refused(shared, now, ticket, failure, out),
            Msg::Preempt(ticket) => self.preempt(shared, now, ticket, out),
            Msg::Replied { purpose, reply } => self.on_reply(shared, now, purpose, reply, out),
            Msg::Called {
                call,
                body: Call::Explain(asked),
            } => self.explain(shared, now, (call, asked), out),
            Msg::Wake => self.on_wake(shared, now, out),
            Msg::Drain => {
                let stop = now + shared.settings.grace;
                self.stop.get_or_insert(stop);
            }
            _ => {}
        }
        self.stop_when_done(shared, now, out);
    }

    fn note_owner(&mut self, target: TargetNo, owner: InstanceName, fence: Fence) {
        let known = self.owners.get(&target).map(|(_, fence)| *fence);
        if known.is_none_or(|known| known <= fence) {
            self.owners.insert(target, (owner, fence));
        }
    }

    fn arrive(&mut self, shared: &mut Shared, now: Time, arrival: Arrival, out: &mut Out) {
        let ticket = arrival.ticket;
        match Active::new(shared, &self.router, now, arrival) {
            Ok(active) => {
                let start = active.start.clone();
                self.requests.insert(ticket, active);
                self.step(shared, now, ticket, 0, Step::Start(start), out);
            }
            Err(failure) => active::refuse(ticket, failure, out),
        }
    }

    /// Hands one input to a request and carries out its outputs.
    fn step(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        step: u64,
        input: Step,
        out: &mut Out,
    ) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(active) = self.requests.get_mut(&ticket) else {
                return;
            };
            let mut outputs = Vec::new();
            active.request.handle(now, input, &mut outputs);
            for output in outputs {
                inputs.extend(self.carry_out(shared, now, (ticket, step), output, out));
            }
        }
        self.remove_if_over(ticket);
    }

    /// Removes a request that is over, along with its deadline.
    ///
    /// Guard: the deadlines of batch requests are hours ahead. If they were kept
    /// until then, those of answered requests would take hundreds of megabytes.
    fn remove_if_over(&mut self, ticket: Ticket) {
        let over = self
            .requests
            .get(&ticket)
            .filter(|active| active.request.is_over());
        let Some(deadline) = over.map(|active| active.start.deadline) else {
            return;
        };
        if self.deadlines.remove(&(deadline, ticket)) {
            base::hit!(deadline_forgotten);
        }
        self.requests.remove(&ticket);
    }

    fn caller_gone(&mut self, shared: &mut Shared, now: Time, ticket: Ticket, out: &mut Out) {
        if self.hops.caller_gone(ticket, out) {
            return;
        }
        self.step(shared, now, ticket, 0, Step::CallerGone, out);
    }

    fn progress(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (ticket, attempt, step): (Ticket, u32, u64),
        progress: Progress,
        out: &mut Out,
    ) {
        self.note_turned_away(now, (ticket, attempt), &progress, out);
        if self.hops.has(ticket) {
            self.hops.progress(ticket, step, progress, out);
            return;
        }
        let attempt = AttemptNo(attempt);
        let input = match progress {
            Progress::Head {
                status,
                ran,
                resumed,
            } => Step::Head {
                attempt,
                status,
                ran_on: ran_on(shared, ran),
                resumed,
            },
            Progress::Piece(part) => {
                self.note_piece(now, ticket, attempt, part, out);
                Step::Piece { attempt, part }
            }
            Progress::End { end, answer } => {
                self.note_end(shared, now, (ticket, attempt), end, out);
                if let Some(active) = self.requests.get_mut(&ticket) {
                    active.answer = answer;
                }
                let complete = end != AnswerEnd::Cut;
                self.end_attempt(now, ticket, attempt, complete, out);
                Step::End { attempt, complete }
            }
            Progress::Silent => self.silent(ticket, attempt),
            Progress::Failed {
                verdict,
                reason,
                retry,
            } => {
                let reason = self.failed(shared, now, (ticket, attempt), (verdict, reason), out);
                Step::AttemptFailed {
                    attempt,
                    verdict,
                    reason,
                    retry,
                }
            }
        };
        let head = match input {
            Step::Head { status, .. } => Some(status),
            _ => None,
        };
        self.step(shared, now, ticket, step, input, out);
        if let Some(status) = head {
            self.note_head(ticket, attempt, status);
        }
    }

    /// Records that the answer of the current attempt has begun. An attempt whose head was
    /// not accepted has ended.
    fn note_head(&mut self, ticket: Ticket, attempt: AttemptNo, status: u16) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = active.sent.as_mut().filter(|sent| sent.attempt == attempt) else {
            return;
        };
        sent.clears = quarantine::clears(status);
        let target = sent.target;
        active.covered = self.budget.covers(target).then_some(target);
    }

    /// Records the end of an attempt that failed; returns the reason to go by.
    fn failed(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (ticket, attempt): (Ticket, AttemptNo),
        (verdict, reason): (Verdict, Refusal),
        out: &mut Out,
    ) -> Refusal {
        if verdict != Verdict::NotRun && reason == Refusal::TargetFailed {
            self.note_end(shared, now, (ticket, attempt), AnswerEnd::Cut, out);
        }
        let reason = self.failure_reason((ticket, attempt), verdict, reason);
        let ok = !is_target_failure(reason, verdict);
        self.end_attempt(now, ticket, attempt, ok, out);
        reason
    }

    /// Returns the reason of a failed attempt; [`Refusal::Moved`] if the owner
    /// it was forwarded to did not accept it, which is no failure of the engine.
    fn failure_reason(
        &mut self,
        (ticket, attempt): (Ticket, AttemptNo),
        verdict: Verdict,
        reason: Refusal,
    ) -> Refusal {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return reason;
        };
        let sent = active.attempt(attempt);
        let Some(sent) = sent.filter(|sent| sent.forwarded_to.is_some()) else {
            return reason;
        };
        let not_accepted = matches!(reason, Refusal::Unavailable | Refusal::Moved);
        if verdict != Verdict::NotRun || !not_accepted {
            return reason;
        }
        let target = sent.target;
        active.rejected.push(target);
        Refusal::Moved
    }

    /// Records that an attempt's target has fallen silent.
    fn silent(&mut self, ticket: Ticket, attempt: AttemptNo) -> Step {
        let active = self.requests.get_mut(&ticket);
        let sent = active.and_then(|active| active.sent.as_mut());
        if let Some(sent) = sent.filter(|sent| sent.attempt == attempt) {
            sent.silent = true;
        }
        let fault = true;
        Step::Silent { attempt, fault }
    }

    fn note_piece(
        &mut self,
        now: Time,
        ticket: Ticket,
        attempt: AttemptNo,
        part: Part,
        out: &mut Out,
    ) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        if active
            .sent
            .as_ref()
            .is_none_or(|sent| sent.attempt != attempt)
        {
            return;
        }
        if let Part::Tokens(count) = part {
            active.note_tokens(now, count);
        }
        let Some(sent) = &mut active.sent else {
            return;
        };
        sent.silent = false;
        if !std::mem::replace(&mut sent.began, true) {
            let took = now.since(sent.at);
            self.router
                .apply(now, RouterUpdate::ResponseBegan(sent.target, took));
            if sent.local {
                out.send(ENGINES, Msg::Began(sent.place));
            }
        }
    }

    /// Records the end of an attempt, if it has not been recorded.
    fn end_attempt(
        &mut self,
        now: Time,
        ticket: Ticket,
        attempt: AttemptNo,
        ok: bool,
        out: &mut Out,
    ) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = active.take_attempt(attempt) else {
            return;
        };
        let target = sent.target;
        self.router
            .apply(now, RouterUpdate::AttemptEnded { target, ok });
        if sent.local {
            let ticket = sent.place;
            out.send(ENGINES, Msg::Ended { ticket, ok });
        }
    }

    /// Sends a request that the scheduler of an engine owned here dispatched.
    fn dispatch(
        &mut self,
        shared: &mut Shared,
        now: Time,
        place: Ticket,
        priority: i32,
        out: &mut Out,
    ) {
        if self.hops.has(place) {
            self.hops.dispatch(shared, now, place, priority, out);
            return;
        }
        let ticket = request_of(place);
        let active = self.requests.get_mut(&ticket);
        let queued = active.and_then(|active| {
            let (_, target) = active.queued.take_if(|(queued, _)| *queued == place)?;
            Some((active, target))
        });
        let Some((active, target)) = queued else {
            let ticket = place;
            out.send(ENGINES, Msg::Ended { ticket, ok: true });
            return;
        };
        active.priority = priority;
        active.local = true;
        self.step(shared, now, ticket, 0, Step::Placed { target }, out);
    }

    /// Handles a refusal by the queue of an engine owned here: tries another
    /// target, unless the reason applies to all targets.
    fn refused(
        &mut self,
        shared: &mut Shared,
        now: Time,
        place: Ticket,
        failure: Failure,
        out: &mut Out,
    ) {
        if self.hops.refused(place, &failure, out) {
            return;
        }
        let ticket = request_of(place);
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let queued = active.queued.take_if(|(queued, _)| *queued == place);
        let Some((_, target)) = queued else {
            return;
        };
        active.rejected.push(target);
        let again = matches!(failure.reason, Refusal::Unavailable | Refusal::Moved);
        let input = if again {
            self.find_place(shared, now, ticket, &[], out)
        } else {
            Some(Step::NoTarget(failure))
        };
        if let Some(input) = input {
            self.step(shared, now, ticket, 0, input, out);
        }
    }

    /// Cancels a running batch request in favour of more urgent work. It is
    /// sent again later and continues where it stopped.
    fn preempt(&mut self, shared: &mut Shared, now: Time, place: Ticket, out: &mut Out) {
        if self.hops.preempt(place, out) {
            return;
        }
        let ticket = request_of(place);
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = active.attempts().find(|sent| sent.place == place) else {
            return;
        };
        if active.start.mark == Mark::Once {
            // A marked request can't be sent again, so it runs to its end.
            out.send(ENGINES, Msg::Dequeue(place));
            return;
        }
        let attempt = sent.attempt;
        let input = Step::AttemptFailed {
            attempt,
            verdict: Verdict::MayHaveRun,
            reason: Refusal::Preempted,
            retry: None,
        };
        out.emit(Output::Cancel {
            ticket,
            attempt: attempt.0,
        });
        out.send(ENGINES, Msg::Dequeue(place));
        self.end_attempt(now, ticket, attempt, true, out);
        self.step(shared, now, ticket, 0, input, out);
    }

    fn on_reply(
        &mut self,
        shared: &mut Shared,
        now: Time,
        purpose: Purpose,
        reply: Result<Reply, Verdict>,
        out: &mut Out,
    ) {
        match purpose {
            Purpose::Claim { ticket } => {
                if self.retry_claim(shared, ticket, &reply, out) {
                    return;
                }
                let claimed = self.claim_result(shared, ticket, reply, out);
                if let Some(active) = self.requests.get_mut(&ticket)
                    && let ClaimReply::Ran(Some(answer)) = &claimed
                {
                    active.replay = Some(answer.clone());
                }
                let input = Step::Claimed(place::claim_reply(&claimed));
                self.step(shared, now, ticket, 0, input, out);
            }
            Purpose::Ping { to } => self.on_ping_reply(shared, now, &to, &reply, out),
            Purpose::Settle(settle) => {
                self.settling -= 1;
                self.on_settled(shared, now, *settle, reply);
            }
            _ => {}
        }
    }
}

impl Entry {
    /// Handles the reply to a reported outcome; schedules a retry unless the
    /// leader acknowledged it.
    fn on_settled(
        &mut self,
        shared: &mut Shared,
        now: Time,
        settle: Settle,
        reply: Result<Reply, Verdict>,
    ) {
        match reply {
            Ok(Reply::Done | Reply::Claim(_)) => return,
            Ok(Reply::Redirect { leader }) => shared.leader = leader,
            _ => self.rotation += 1,
        }
        self.unsettled.push(settle);
        shared.wake(ENTRY, now + SETTLE_RETRY);
    }

    fn on_wake(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        for settle in std::mem::take(&mut self.unsettled) {
            self.report_outcome(shared, settle, out);
        }
        self.ping_owners(shared, now, out);
        self.retry_parked(shared, now, out);
        while let Some((at, ticket)) = self.deadlines.first().copied() {
            if at > now {
                shared.wake(ENTRY, at);
                break;
            }
            self.deadlines.pop_first();
            self.step(shared, now, ticket, 0, Step::Wake, out);
        }
    }

    /// Ends the graceful shutdown once the grace period is over and no request
    /// is left.
    fn stop_when_done(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let Some(stop) = self.stop.filter(|_| !self.stopped) else {
            return;
        };
        if now < stop {
            shared.wake(ENTRY, stop);
            return;
        }
        let settled = self.unsettled.is_empty() && self.settling == 0;
        if self.requests.is_empty() && self.hops.is_empty() && settled {
            self.stopped = true;
            out.emit(Output::Drained);
        }
    }
}

/// Returns whether a failed attempt is a failure of its target. A refusal by the
/// owner because of load or a missing lease is not.
fn is_target_failure(reason: Refusal, verdict: Verdict) -> bool {
    reason == Refusal::TargetFailed
        || (reason == Refusal::Unavailable && verdict != Verdict::NotRun)
}

/// Converts the adapter that a target reports having used.
fn ran_on(shared: &mut Shared, ran: Option<Result<Resident, BadResident>>) -> RanOn {
    match ran {
        None => RanOn::Unnamed,
        Some(Ok(resident)) => RanOn::Named(shared.names.key(&resident)),
        Some(Err(_)) => RanOn::Unknown,
    }
}
