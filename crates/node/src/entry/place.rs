//! What a request wants, carried out: a claim, a place, an attempt, an end.

use std::time::Duration;

use base::{Failure, Refusal, TargetNo, Ticket, Time, Verdict};
use request::{
    AttemptNo, ClaimReply as Claimed, Fate, Fault, Final, Input as Step, Output as Want,
};
use route::News;
use wire::call::{self, Call, Claim, ClaimReply, Reply, Settle};

use super::Entry;
use crate::{
    io::{Attempt, Ending, Event, Flow, Output, Route},
    msg::{ENGINES, ENTRY, Msg},
    shared::{CALL_LIMIT, Out, Purpose, Shared},
};

/// How long a claim may take: one round of the log, and one more after a
/// leader change.
const CLAIM_LIMIT: Duration = Duration::from_millis(2_000);

/// Longest wait for an engine to get an owner: a lease that has to be waited
/// out takes three seconds, and the next owner's first heartbeat one more.
const PARK_MAX: Duration = Duration::from_secs(6);

/// Pause between two looks for a place.
const PARK_LOOK: Duration = Duration::from_millis(100);

/// Control instances that one claim is sent to after the first.
const CLAIMS_MAX: u32 = 3;

/// When a caller whose claim can't be made may come back: an election takes
/// about as long.
const CLAIM_RETRY: Duration = Duration::from_millis(1_500);

impl Entry {
    /// Carries out one wish of a request; returns what it has to hear at once.
    pub(super) fn carry_out(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (ticket, step): (Ticket, u64),
        want: Want,
        out: &mut Out,
    ) -> Option<Step> {
        let flow = |flow| Output::Flow { ticket, step, flow };
        match want {
            Want::Claim => return self.claim(shared, ticket, out),
            Want::Place { avoid, retry } => {
                if retry && !self.may_retry(&avoid) {
                    let failure = Failure::not_run(Refusal::Unavailable);
                    return Some(Step::NoPlace(failure));
                }
                return self.find_place(shared, now, ticket, &avoid, out);
            }
            Want::Send {
                attempt,
                target,
                resume_from,
            } => self.send(shared, now, ticket, (attempt, target, resume_from), out),
            Want::Cancel { attempt } => self.cancel(now, ticket, attempt, out),
            Want::PassHead | Want::Pass => out.emit(flow(Flow::Pass)),
            Want::Hold => out.emit(flow(Flow::Hold)),
            Want::DropHeld => out.emit(flow(Flow::Drop)),
            Want::Release => out.emit(flow(Flow::Release)),
            Want::Settle(fate) => self.settle_claim(shared, ticket, fate, out),
            Want::Blame { target, fault } => {
                if fault == Fault::WrongAdapter {
                    let name = shared.names.target_name(target).clone();
                    out.emit(Output::Event(Event::WrongAdapter(name)));
                }
            }
            Want::Finish(end) => self.finish(now, ticket, end, out),
            Want::Wake { at } => {
                self.deadlines.insert((at, ticket));
                shared.wake(ENTRY, at);
            }
        }
        None
    }

    fn may_retry(&mut self, avoid: &[TargetNo]) -> bool {
        avoid.last().is_none_or(|failed| self.budget.spend(*failed))
    }

    fn claim(&mut self, shared: &mut Shared, ticket: Ticket, out: &mut Out) -> Option<Step> {
        let live = self.requests.get(&ticket)?;
        let key = live.key?;
        let retry = CLAIM_RETRY;
        let Some((_, address)) = shared.control(self.turn) else {
            return Some(Step::Claimed(Claimed::NotNow { retry }));
        };
        let claim = Claim {
            brand: live.brand.clone(),
            key: key.hash,
            body: live.body,
            instance: shared.settings.name.clone(),
            attempt: self.attempt_id(shared, ticket),
            dated: key.dated,
        };
        let purpose = Purpose::Claim { ticket };
        let body = Call::Claim(claim);
        shared.call(ENTRY, purpose, address, body, CLAIM_LIMIT, out);
        None
    }

    /// Sends a claim to another control instance, under the same attempt, where
    /// the one asked certainly did not take it.
    ///
    /// Leaders change in every rolling restart; without this each change would
    /// show as marked requests that are refused though a leader is there.
    pub(super) fn claim_again(
        &mut self,
        shared: &mut Shared,
        ticket: Ticket,
        reply: &Result<Reply, Verdict>,
        out: &mut Out,
    ) -> bool {
        match reply {
            Ok(Reply::Elsewhere { leader }) => shared.leader.clone_from(leader),
            Err(Verdict::NotRun) => shared.leader = None,
            _ => return false,
        }
        self.turn += 1;
        let Some(live) = self.requests.get_mut(&ticket) else {
            return false;
        };
        live.claims += 1;
        if live.claims > CLAIMS_MAX {
            return false;
        }
        base::hit!(claim_sent_elsewhere);
        self.claim(shared, ticket, out).is_none()
    }

    /// Tells claims of two lives of this instance apart.
    fn attempt_id(&self, shared: &Shared, ticket: Ticket) -> u64 {
        let life = shared.settings.incarnation.get().to_le_bytes();
        base::stable_hash(&[&life, &ticket.0.to_le_bytes()])
    }

    /// Turns the end of a claim call into its reply.
    ///
    /// A call that brought no reply may still be granted later. Nothing has
    /// been sent to any target and nothing will be, so the caller hears `not
    /// run`; the grant, should it come, is given back.
    pub(super) fn claimed(
        &mut self,
        shared: &mut Shared,
        ticket: Ticket,
        reply: Result<Reply, Verdict>,
        out: &mut Out,
    ) -> ClaimReply {
        match reply {
            Ok(Reply::Claim(reply)) => reply,
            Ok(Reply::Elsewhere { leader }) => {
                shared.leader = leader;
                ClaimReply::NotNow { retry: CLAIM_RETRY }
            }
            Ok(_) | Err(Verdict::NotRun) => ClaimReply::NotNow { retry: CLAIM_RETRY },
            Err(_) => {
                base::hit!(unheard_claim_given_back);
                self.settle_claim(shared, ticket, Fate::NotRun, out);
                ClaimReply::NotNow { retry: CLAIM_RETRY }
            }
        }
    }

    /// Finds a target; returns what the request has to hear at once.
    pub(super) fn find_place(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        avoid: &[TargetNo],
        out: &mut Out,
    ) -> Option<Step> {
        loop {
            let live = self.requests.get_mut(&ticket)?;
            let all: Vec<TargetNo> = avoid.iter().chain(&live.turned_away).copied().collect();
            let choice = self.router.choose(now, &live.ask, &all);
            // A target that failed this request once is better than none.
            let choice = choice.or_else(|_| self.router.choose(now, &live.ask, &live.turned_away));
            let target = match choice {
                Ok(choice) => choice.target,
                Err(failure) if live.turned_away.is_empty() => return Some(Step::NoPlace(failure)),
                Err(failure) => return self.park(shared, now, ticket, failure),
            };
            live.local = false;
            if live.start.adapter.is_none() {
                return Some(Step::Placed { target });
            }
            let owner = self.owners.get(&target).map(|(owner, _)| owner);
            if owner == Some(&shared.settings.name) {
                live.queued = Some(target);
                let ask = live.ask;
                out.send(
                    ENGINES,
                    Msg::Queue {
                        ticket,
                        target,
                        ask,
                    },
                );
                return None;
            }
            if owner.is_some_and(|owner| shared.peers.contains_key(owner)) {
                return Some(Step::Placed { target });
            }
            live.turned_away.push(target);
        }
    }

    /// Lets a request wait for an engine of its pool to get an owner.
    ///
    /// Guard: in a planned stop and after a failure an engine has no owner for
    /// a moment. Refusing at once would show as a burst of failures in every
    /// rolling restart, though nothing is wrong with any engine. It is bounded
    /// by [`PARK_MAX`] and by the deadline; after that the caller is told to
    /// come back.
    fn park(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        failure: Failure,
    ) -> Option<Step> {
        let live = self.requests.get_mut(&ticket)?;
        let since = *live.parked.get_or_insert(now);
        if now.since(since) >= PARK_MAX {
            return Some(Step::NoPlace(failure));
        }
        base::hit!(parked_without_owner);
        live.turned_away.clear();
        let at = now + PARK_LOOK;
        self.parked.insert((at, ticket));
        shared.wake(ENTRY, at);
        None
    }

    /// Looks again for a place for the requests that wait for one.
    pub(super) fn look_again(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        while let Some((at, ticket)) = self.parked.first().copied() {
            if at > now {
                shared.wake(ENTRY, at);
                break;
            }
            self.parked.pop_first();
            if let Some(input) = self.find_place(shared, now, ticket, &[], out) {
                self.step(shared, now, ticket, 0, input, out);
            }
        }
    }

    fn send(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        (attempt, target, resume): (AttemptNo, TargetNo, u32),
        out: &mut Out,
    ) {
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(info) = shared.targets.get(&target) else {
            return;
        };
        let timeout = live.start.deadline.since(now);
        let direct = live.local || live.start.adapter.is_none();
        let passed = self.owners.get(&target).filter(|_| !direct);
        let passed = passed.and_then(|(owner, _)| Some((owner, shared.peers.get(owner)?)));
        let passed = passed.map(|(owner, address)| (owner.clone(), *address));
        let route = match passed {
            Some((_, address)) => Route::Owner { address, timeout },
            None => Route::Target {
                address: info.address,
                priority: live.priority,
            },
        };
        let owner = passed.map(|(owner, _)| owner);
        live.note_sent(now, attempt, target, owner.clone());
        if let Some(key) = live.start.adapter.filter(|_| live.local) {
            let using = Msg::Using {
                ticket,
                target,
                key,
            };
            out.send(ENGINES, using);
        }
        out.emit(Output::Send(Attempt {
            ticket,
            attempt: attempt.0,
            target: info.listed.name.clone(),
            route,
            resident: live.resident.clone(),
            brand: live.brand.clone(),
            class: live.start.class,
            mark: live.start.mark,
            resume,
            timeout,
        }));
        if let Some(owner) = owner {
            self.watch_owner(shared, now, owner);
        }
        self.router.note(now, News::Started(target));
        if attempt.0 == 1 {
            self.budget.earn(target);
        }
    }

    fn cancel(&mut self, now: Time, ticket: Ticket, attempt: AttemptNo, out: &mut Out) {
        out.emit(Output::Cancel {
            ticket,
            attempt: attempt.0,
        });
        out.send(ENGINES, Msg::Dequeue(ticket));
        self.end_attempt(now, ticket, attempt, true, out);
    }

    fn settle_claim(&mut self, shared: &mut Shared, ticket: Ticket, fate: Fate, out: &mut Out) {
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(key) = live.key else {
            return;
        };
        let fate = match fate {
            Fate::NotRun => call::Fate::NotRun,
            Fate::MayHaveRun => call::Fate::MayHaveRun,
            Fate::Ran => call::Fate::Ran(live.kept.take()),
        };
        let brand = live.brand.clone();
        let settle = Settle {
            brand,
            key: key.hash,
            instance: shared.settings.name.clone(),
            attempt: self.attempt_id(shared, ticket),
            fate,
        };
        self.report(shared, settle, out);
    }

    /// Tells the leader what became of a claimed request; repeated until it is
    /// heard.
    pub(super) fn report(&mut self, shared: &mut Shared, settle: Settle, out: &mut Out) {
        let Some((_, address)) = shared.control(self.turn) else {
            self.unsettled.push(settle);
            return;
        };
        self.settling += 1;
        let purpose = Purpose::Settle(Box::new(settle.clone()));
        let body = Call::Settle(settle);
        shared.call(ENTRY, purpose, address, body, CALL_LIMIT, out);
    }

    fn finish(&mut self, now: Time, ticket: Ticket, end: Final, out: &mut Out) {
        let Some(live) = self.requests.get_mut(&ticket) else {
            return;
        };
        if live.queued.take().is_some() {
            out.send(ENGINES, Msg::Dequeue(ticket));
        }
        let failure = match &end {
            Final::Failed(failure) | Final::Broken(failure) => Some(failure.clone()),
            Final::Whole | Final::Replay => None,
        };
        let end = match end {
            Final::Whole => Ending::Whole,
            Final::Failed(failure) => Ending::Failed(failure),
            Final::Broken(failure) => Ending::Broken(failure),
            Final::Replay => match live.replay.take() {
                Some(answer) => Ending::Replay(answer),
                None => Ending::Failed(Failure {
                    reason: Refusal::Duplicate,
                    verdict: Verdict::Ran,
                    retry: None,
                }),
            },
        };
        live.ended(now, failure, out);
        out.emit(Output::Finish { ticket, end });
    }
}

/// Turns the reply to a claim into what the request's decisions take.
pub(super) fn claim_reply(reply: &ClaimReply) -> Claimed {
    match reply {
        ClaimReply::Yours => Claimed::Yours,
        ClaimReply::Running => Claimed::Running,
        ClaimReply::Ran(answer) => Claimed::Ran {
            kept: answer.is_some(),
        },
        ClaimReply::MayHaveRun => Claimed::MayHaveRun,
        ClaimReply::OtherBody => Claimed::OtherBody,
        ClaimReply::TooOld => Claimed::TooOld,
        ClaimReply::NotNow { retry } => Claimed::NotNow { retry: *retry },
    }
}
