//! Requests from arrival to final answer.
//!
//! Each request has a [`request::Request`] that decides what it needs next;
//! this service finds it a target, gets it claimed, and puts it into the
//! queue of its engine or passes it on to the engine's owner.

mod active;
mod explain;
mod hop;
mod ping;
mod place;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Failure, Fence, InstanceName, Mark, Refusal, TargetNo, Ticket, Time, Verdict};
use request::{AttemptNo, Input as Step, Part, RanOn};
use route::{News, RetryBudget, Router};
use wire::{
    call::{Call, ClaimReply, Reply, Settle},
    engine::{BadResident, Resident},
};

use self::{active::Live, hop::Hops};
use crate::{
    io::{Arrival, Input, Output, Progress},
    msg::{ENGINES, ENTRY, Msg},
    shared::{Out, Purpose, Shared},
};

/// Time before the leader is told again what became of a claimed request.
const SETTLE_AGAIN: Duration = Duration::from_millis(500);

/// All requests of this instance's callers, and those passed on to it.
#[derive(Debug)]
pub(crate) struct Entry {
    router: Router,
    budget: RetryBudget,
    requests: BTreeMap<Ticket, Live>,
    hops: Hops,
    owners: BTreeMap<TargetNo, (InstanceName, Fence)>,
    turn: u64,
    /// Moments at which requests have to hear that time has passed.
    deadlines: BTreeSet<(Time, Ticket)>,
    /// Signs of life of the owners that requests wait at.
    pulses: BTreeMap<InstanceName, ping::Pulse>,
    /// Requests that wait for an engine to get an owner.
    parked: BTreeSet<(Time, Ticket)>,
    /// What the leader has not heard yet of claimed requests.
    unsettled: Vec<Settle>,
    /// Calls under way that tell it.
    settling: u32,
    /// When a planned stop may end, once nothing runs.
    stop: Option<Time>,
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
            turn: 0,
            deadlines: BTreeSet::new(),
            pulses: BTreeMap::new(),
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
            Msg::Input(Input::CallerGone(ticket)) => self.left(shared, now, ticket, out),
            Msg::Input(Input::Progress {
                ticket,
                attempt,
                step,
                progress,
            }) => self.progress(shared, now, (ticket, attempt, step), progress, out),
            Msg::News(news) => self.router.note(now, news),
            Msg::Owner(target, owner, fence) => self.note_owner(target, owner, fence),
            Msg::Turn { ticket, priority } => self.turn(shared, now, ticket, priority, out),
            Msg::Refused { ticket, failure } => self.refused(shared, now, ticket, failure, out),
            Msg::GiveWay(ticket) => self.give_way(shared, now, ticket, out),
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
        match Live::new(shared, &self.router, now, arrival) {
            Ok(live) => {
                let start = live.start.clone();
                self.requests.insert(ticket, live);
                self.step(shared, now, ticket, 0, Step::Start(start), out);
            }
            Err(failure) => active::refuse(ticket, failure, out),
        }
    }

    /// Hands one input to a request and carries out what it wants.
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
            let Some(live) = self.requests.get_mut(&ticket) else {
                return;
            };
            let mut wants = Vec::new();
            live.request.handle(now, input, &mut wants);
            for want in wants {
                inputs.extend(self.carry_out(shared, now, (ticket, step), want, out));
            }
        }
        self.forget_if_over(ticket);
    }

    /// Forgets a request that is over, and when it would have had to end.
    ///
    /// Guard: the deadline of overnight work lies hours ahead. Kept until then,
    /// those of requests long answered would grow into hundreds of megabytes.
    fn forget_if_over(&mut self, ticket: Ticket) {
        let over = self
            .requests
            .get(&ticket)
            .filter(|live| live.request.is_over());
        let Some(deadline) = over.map(|live| live.start.deadline) else {
            return;
        };
        if self.deadlines.remove(&(deadline, ticket)) {
            base::hit!(deadline_forgotten);
        }
        self.requests.remove(&ticket);
    }

    fn left(&mut self, shared: &mut Shared, now: Time, ticket: Ticket, out: &mut Out) {
        if self.hops.left(ticket, out) {
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
            Progress::End { whole, answer } => {
                if let Some(live) = self.requests.get_mut(&ticket) {
                    live.kept = answer;
                }
                self.end_attempt(now, ticket, attempt, whole, out);
                Step::End { attempt, whole }
            }
            Progress::Failed {
                verdict,
                reason,
                retry,
            } => {
                let reason = self.moved(ticket, verdict, reason);
                self.end_attempt(now, ticket, attempt, !blames(reason, verdict), out);
                Step::AttemptFailed {
                    attempt,
                    verdict,
                    reason,
                    retry,
                }
            }
        };
        self.step(shared, now, ticket, step, input, out);
    }

    /// Tells an owner that could not take the request, without fault of the
    /// engine, from a target that failed.
    fn moved(&mut self, ticket: Ticket, verdict: Verdict, reason: Refusal) -> Refusal {
        let Some(live) = self.requests.get_mut(&ticket) else {
            return reason;
        };
        let Some(sent) = live.sent.as_ref().filter(|sent| sent.passed.is_some()) else {
            return reason;
        };
        let turned_away = matches!(reason, Refusal::Unavailable | Refusal::Moved);
        if verdict != Verdict::NotRun || !turned_away {
            return reason;
        }
        live.turned_away.push(sent.target);
        Refusal::Moved
    }

    fn note_piece(
        &mut self,
        now: Time,
        ticket: Ticket,
        attempt: AttemptNo,
        part: Part,
        out: &mut Out,
    ) {
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = live.sent.as_mut().filter(|sent| sent.attempt == attempt) else {
            return;
        };
        if let Part::Tokens(count) = part {
            live.tokens.came(now, count);
        }
        if !std::mem::replace(&mut sent.began, true) {
            let took = now.since(sent.at);
            self.router.note(now, News::Began(sent.target, took));
            if sent.local {
                out.send(ENGINES, Msg::Began(ticket));
            }
        }
    }

    /// Notes that the attempt under way is over, once.
    fn end_attempt(
        &mut self,
        now: Time,
        ticket: Ticket,
        attempt: AttemptNo,
        ok: bool,
        out: &mut Out,
    ) {
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = live.sent.take_if(|sent| sent.attempt == attempt) else {
            return;
        };
        let target = sent.target;
        self.router.note(now, News::Ended { target, ok });
        if sent.local {
            out.send(ENGINES, Msg::Ended { ticket, ok });
        }
    }

    /// Goes on with a request whose turn at an engine owned here has come.
    fn turn(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        priority: i32,
        out: &mut Out,
    ) {
        if self.hops.has(ticket) {
            self.hops.turn(shared, now, ticket, priority, out);
            return;
        }
        let Some(live) = self.requests.get_mut(&ticket) else {
            out.send(ENGINES, Msg::Ended { ticket, ok: true });
            return;
        };
        let Some(target) = live.queued.take() else {
            out.send(ENGINES, Msg::Ended { ticket, ok: true });
            return;
        };
        live.priority = priority;
        live.local = true;
        self.step(shared, now, ticket, 0, Step::Placed { target }, out);
    }

    /// Tries another target for a request that was turned away by an engine's
    /// queue here, unless it was turned away for good.
    fn refused(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        failure: Failure,
        out: &mut Out,
    ) {
        if self.hops.refused(ticket, &failure, out) {
            return;
        }
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(target) = live.queued.take() else {
            return;
        };
        live.turned_away.push(target);
        let again = matches!(failure.reason, Refusal::Unavailable | Refusal::Moved);
        let input = if again {
            self.find_place(shared, now, ticket, &[], out)
        } else {
            Some(Step::NoPlace(failure))
        };
        if let Some(input) = input {
            self.step(shared, now, ticket, 0, input, out);
        }
    }

    /// Breaks a running batch request off in favour of more urgent work; it
    /// is sent again later and goes on where it stopped.
    fn give_way(&mut self, shared: &mut Shared, now: Time, ticket: Ticket, out: &mut Out) {
        if self.hops.give_way(ticket, out) {
            return;
        }
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(sent) = &live.sent else {
            return;
        };
        if live.start.mark == Mark::Once {
            // A marked request can't be sent again: it runs out.
            out.send(ENGINES, Msg::Dequeue(ticket));
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
        out.send(ENGINES, Msg::Dequeue(ticket));
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
                if self.claim_again(shared, ticket, &reply, out) {
                    return;
                }
                let claimed = self.claimed(shared, ticket, reply, out);
                if let Some(live) = self.requests.get_mut(&ticket)
                    && let ClaimReply::Ran(Some(answer)) = &claimed
                {
                    live.replay = Some(answer.clone());
                }
                let input = Step::Claimed(place::claim_reply(&claimed));
                self.step(shared, now, ticket, 0, input, out);
            }
            Purpose::Ping { to } => self.on_pulse(shared, now, &to, &reply, out),
            Purpose::Settle(settle) => {
                self.settling -= 1;
                self.on_settled(shared, now, *settle, reply);
            }
            _ => {}
        }
    }
}

impl Entry {
    /// Keeps what the leader has not heard for another try.
    fn on_settled(
        &mut self,
        shared: &mut Shared,
        now: Time,
        settle: Settle,
        reply: Result<Reply, Verdict>,
    ) {
        match reply {
            Ok(Reply::Done | Reply::Claim(_)) => return,
            Ok(Reply::Elsewhere { leader }) => shared.leader = leader,
            _ => self.turn += 1,
        }
        self.unsettled.push(settle);
        shared.wake(ENTRY, now + SETTLE_AGAIN);
    }

    fn on_wake(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        for settle in std::mem::take(&mut self.unsettled) {
            self.report(shared, settle, out);
        }
        self.ping_owners(shared, now, out);
        self.look_again(shared, now, out);
        while let Some((at, ticket)) = self.deadlines.first().copied() {
            if at > now {
                shared.wake(ENTRY, at);
                break;
            }
            self.deadlines.pop_first();
            self.step(shared, now, ticket, 0, Step::Wake, out);
        }
    }

    /// Ends a planned stop once the grace time is over and nothing runs.
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

/// Returns whether a failed attempt speaks against its target: what the owner
/// refused for load or for a missing lease does not.
fn blames(reason: Refusal, verdict: Verdict) -> bool {
    reason == Refusal::TargetFailed
        || (reason == Refusal::Unavailable && verdict != Verdict::NotRun)
}

fn ran_on(shared: &mut Shared, ran: Option<Result<Resident, BadResident>>) -> RanOn {
    match ran {
        None => RanOn::Unnamed,
        Some(Ok(resident)) => RanOn::Named(shared.names.key(&resident)),
        Some(Err(_)) => RanOn::Unknown,
    }
}
