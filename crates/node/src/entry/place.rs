//! Carries out the outputs of a request: claims its key, places it on a target,
//! sends attempts, and ends it.

use std::{collections::BTreeMap, time::Duration};

use base::{Failure, Fence, InstanceName, Refusal, TargetNo, Ticket, Time, Verdict};
use request::{
    AttemptNo, ClaimOutcome, ClaimReply as Claimed, Fault, Final, Input as Step,
    Output as RequestOutput,
};
use route::RouterUpdate;
use wire::call::{self, Call, Claim, ClaimReply, Reply, Settle};

use super::{Entry, active::Active};
use crate::{
    io::{AnswerEnd, Attempt, Ending, Event, Flow, Output, Route},
    msg::{ENGINES, ENTRY, Msg},
    shared::{CALL_TIMEOUT, Out, Purpose, Shared},
};

/// Time limit for a claim: one round of replication in the log, and one more
/// after a change of leader.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest wait for an engine to get an owner. The previous lease may take three
/// seconds to expire, and the first heartbeat of the next owner one more.
const PARK_MAX: Duration = Duration::from_secs(6);

/// Time between two attempts to place a request that waits for an owner.
const PARK_RETRY: Duration = Duration::from_millis(100);

/// Upper limit of retries of a claim at other control instances.
const CLAIM_RETRIES_MAX: u32 = 3;

/// Retry-after time for callers whose claim failed: about the duration of an
/// election.
const CLAIM_RETRY: Duration = Duration::from_millis(1_500);

impl Entry {
    /// Carries out one output of a request; returns the input that it has to
    /// receive next, if any.
    pub(super) fn carry_out(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (ticket, step): (Ticket, u64),
        output: RequestOutput,
        out: &mut Out,
    ) -> Option<Step> {
        let flow = |flow| Output::Flow { ticket, step, flow };
        match output {
            RequestOutput::Claim => return self.claim(shared, ticket, out),
            RequestOutput::Place { avoid, retry } => {
                if let Some(held) = self.held(shared, now, ticket) {
                    return Some(held);
                }
                if retry && !self.may_retry(ticket, &avoid) {
                    let failure = Failure::not_run(Refusal::Unavailable);
                    return Some(Step::NoTarget(failure));
                }
                return self.find_place(shared, now, ticket, &avoid, out);
            }
            RequestOutput::Send {
                attempt,
                target,
                resume_from,
            } => self.send(shared, now, ticket, (attempt, target, resume_from), out),
            RequestOutput::Cancel { attempt } => self.cancel(shared, now, (ticket, attempt), out),
            RequestOutput::Withdraw => self.withdraw(ticket, out),
            RequestOutput::PassHead | RequestOutput::Pass => out.emit(flow(Flow::Pass)),
            RequestOutput::Hold => out.emit(flow(Flow::Hold)),
            RequestOutput::DropHeld => out.emit(flow(Flow::Drop)),
            RequestOutput::Release => out.emit(flow(Flow::Release)),
            RequestOutput::Settle(outcome) => self.settle_claim(shared, ticket, outcome, out),
            RequestOutput::ReportFault { target, fault } => {
                if fault == Fault::WrongAdapter {
                    let name = shared.names.target_name(target).clone();
                    out.emit(Output::Event(Event::WrongAdapter(name)));
                }
            }
            RequestOutput::Finish(end) => self.finish(now, ticket, end, out),
            RequestOutput::Wake { at } => {
                self.deadlines.insert((at, ticket));
                shared.wake(ENTRY, at);
            }
        }
        None
    }

    /// Returns whether the retry budget of the target that failed last allows
    /// a retry, and charges it.
    fn may_retry(&mut self, ticket: Ticket, avoid: &[TargetNo]) -> bool {
        let Some(failed) = avoid.last() else {
            return true;
        };
        let active = self.requests.get_mut(&ticket);
        let covered = active.and_then(|active| active.covered.take());
        if covered == Some(*failed) {
            base::hit!(covered_answer_goes_on);
            self.budget.owe(*failed);
            return true;
        }
        self.budget.spend(*failed)
    }

    fn claim(&mut self, shared: &mut Shared, ticket: Ticket, out: &mut Out) -> Option<Step> {
        let active = self.requests.get(&ticket)?;
        let key = active.key?;
        let retry = CLAIM_RETRY;
        let Some((_, address)) = shared.control(self.rotation) else {
            return Some(Step::Claimed(Claimed::Deferred { retry }));
        };
        let claim = Claim {
            brand: active.brand.clone(),
            key: key.hash,
            body: active.body,
            instance: shared.settings.name.clone(),
            attempt: self.attempt_id(shared, ticket),
            dated: key.dated,
        };
        let purpose = Purpose::Claim { ticket };
        let body = Call::Claim(claim);
        shared.call(ENTRY, purpose, address, body, CLAIM_TIMEOUT, out);
        None
    }

    /// Retries a claim at another control instance, under the same attempt
    /// number, if the last one certainly did not accept it. Returns whether a
    /// retry is outstanding.
    ///
    /// The leader changes in every rolling restart. Without a retry, marked
    /// requests would be refused at each change though there is a leader.
    pub(super) fn retry_claim(
        &mut self,
        shared: &mut Shared,
        ticket: Ticket,
        reply: &Result<Reply, Verdict>,
        out: &mut Out,
    ) -> bool {
        match reply {
            Ok(Reply::Redirect { leader }) => shared.leader.clone_from(leader),
            Err(Verdict::NotRun) => shared.leader = None,
            _ => return false,
        }
        self.rotation += 1;
        let Some(active) = self.requests.get_mut(&ticket) else {
            return false;
        };
        active.claim_retries += 1;
        if active.claim_retries > CLAIM_RETRIES_MAX {
            return false;
        }
        base::hit!(claim_retried);
        self.claim(shared, ticket, out).is_none()
    }

    /// Returns the attempt number of a claim, which differs between incarnations
    /// of this instance.
    fn attempt_id(&self, shared: &Shared, ticket: Ticket) -> u64 {
        let incarnation = shared.settings.incarnation.get().to_le_bytes();
        base::stable_hash(&[&incarnation, &ticket.0.to_le_bytes()])
    }

    /// Returns the reply to a claim from the end of the call.
    ///
    /// A claim with an unknown outcome may still be granted. As nothing has been
    /// sent to a target and nothing will be, the caller is told `not run`, and
    /// the claim is released by settling it as not run.
    pub(super) fn claim_result(
        &mut self,
        shared: &mut Shared,
        ticket: Ticket,
        reply: Result<Reply, Verdict>,
        out: &mut Out,
    ) -> ClaimReply {
        match reply {
            Ok(Reply::Claim(reply)) => reply,
            Ok(Reply::Redirect { leader }) => {
                shared.leader = leader;
                ClaimReply::Deferred { retry: CLAIM_RETRY }
            }
            Ok(_) | Err(Verdict::NotRun) => ClaimReply::Deferred { retry: CLAIM_RETRY },
            Err(_) => {
                base::hit!(unknown_claim_released);
                self.settle_claim(shared, ticket, ClaimOutcome::NotRun, out);
                ClaimReply::Deferred { retry: CLAIM_RETRY }
            }
        }
    }

    /// Chooses a target, and queues the request if the engine is owned here.
    /// Returns the input that the request has to receive next, if any.
    pub(super) fn find_place(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        avoid: &[TargetNo],
        out: &mut Out,
    ) -> Option<Step> {
        loop {
            let active = self.requests.get_mut(&ticket)?;
            let mut unfit = active.unfit(&shared.targets);
            unfit.extend(&active.rejected);
            unfit.extend(silent_way(active, &self.owners, &shared.settings.name));
            let all: Vec<TargetNo> = avoid.iter().chain(&unfit).copied().collect();
            let choice = self.router.choose(now, &active.ask, &all);
            // With no other target left, one that failed this request may be
            // used again.
            let choice = choice.or_else(|_| self.router.choose(now, &active.ask, &unfit));
            let target = match choice {
                Ok(choice) => choice.target,
                Err(failure) if active.rejected.is_empty() && !waits_for_owner(active) => {
                    return Some(Step::NoTarget(failure));
                }
                Err(failure) => return self.park(shared, now, ticket, failure),
            };
            active.local = false;
            if active.start.adapter.is_none() {
                return Some(Step::Placed { target });
            }
            let owner = self.owners.get(&target).map(|(owner, _)| owner);
            if owner == Some(&shared.settings.name) {
                let ticket = active.place(ticket);
                active.queued = Some((ticket, target));
                let ask = active.ask;
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
            active.rejected.push(target);
        }
    }

    /// Lets a request wait until an engine of its pool gets an owner.
    ///
    /// Guard: after a shutdown or a failure of its owner, an engine has no owner
    /// for a moment. Refusing requests at once would cause a burst of failures in
    /// every rolling restart, though all engines work. The wait is limited by
    /// [`PARK_MAX`] and by the deadline; after that the caller is told when to
    /// retry.
    fn park(
        &mut self,
        shared: &mut Shared,
        now: Time,
        ticket: Ticket,
        failure: Failure,
    ) -> Option<Step> {
        let active = self.requests.get_mut(&ticket)?;
        let since = *active.parked.get_or_insert(now);
        if now.since(since) >= PARK_MAX {
            active.parked = None;
            return Some(Step::NoTarget(failure));
        }
        base::hit!(parked_without_owner);
        active.rejected.clear();
        let at = now + PARK_RETRY;
        self.parked.insert((at, ticket));
        shared.wake(ENTRY, at);
        None
    }

    /// Tries again to place the parked requests that are due.
    pub(super) fn retry_parked(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
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
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(info) = shared.targets.get(&target) else {
            return;
        };
        let timeout = active.start.deadline.since(now);
        let direct = active.local || active.start.adapter.is_none();
        let forwarded = self.owners.get(&target).filter(|_| !direct);
        let forwarded = forwarded.and_then(|(owner, _)| Some((owner, shared.peers.get(owner)?)));
        let forwarded = forwarded.map(|(owner, address)| (owner.clone(), *address));
        let route = match forwarded {
            Some((_, address)) => Route::Owner { address, timeout },
            None => Route::Target {
                address: info.address,
                priority: active.priority,
            },
        };
        let owner = forwarded.map(|(owner, _)| owner);
        let place = active.place(ticket);
        active.note_sent((now, ticket), attempt, info, target, owner.clone());
        if let Some(key) = active.start.adapter.filter(|_| active.local) {
            let ticket = place;
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
            resident: active.resident.clone(),
            brand: active.brand.clone(),
            class: active.start.class,
            mark: active.start.mark,
            resume,
            timeout,
        }));
        if let Some(owner) = owner {
            self.watch_owner(shared, now, owner);
        }
        self.router.apply(now, RouterUpdate::AttemptSent(target));
        if attempt.0 == 1 {
            self.budget.earn(target);
        }
    }

    fn cancel(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (ticket, attempt): (Ticket, AttemptNo),
        out: &mut Out,
    ) {
        out.emit(Output::Cancel {
            ticket,
            attempt: attempt.0,
        });
        let active = self.requests.get(&ticket);
        let sent = active.and_then(|active| active.attempt(attempt));
        let (place, silent) = sent.map_or((ticket, false), |sent| (sent.place, sent.silent));
        out.send(ENGINES, Msg::Dequeue(place));
        if silent {
            self.note_end(shared, now, (ticket, attempt), AnswerEnd::Cut, out);
        }
        self.end_attempt(now, ticket, attempt, !silent, out);
    }

    /// Stops looking for a target beside a silent attempt.
    fn withdraw(&mut self, ticket: Ticket, out: &mut Out) {
        self.parked.retain(|(_, parked)| *parked != ticket);
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        active.parked = None;
        if let Some((place, _)) = active.queued.take() {
            out.send(ENGINES, Msg::Dequeue(place));
        }
    }

    fn settle_claim(
        &mut self,
        shared: &mut Shared,
        ticket: Ticket,
        outcome: ClaimOutcome,
        out: &mut Out,
    ) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(key) = active.key else {
            return;
        };
        let outcome = match outcome {
            ClaimOutcome::NotRun => call::ClaimOutcome::NotRun,
            ClaimOutcome::MayHaveRun => call::ClaimOutcome::MayHaveRun,
            ClaimOutcome::Ran => call::ClaimOutcome::Ran(active.answer.take()),
        };
        let brand = active.brand.clone();
        let settle = Settle {
            brand,
            key: key.hash,
            instance: shared.settings.name.clone(),
            attempt: self.attempt_id(shared, ticket),
            outcome,
        };
        self.report_outcome(shared, settle, out);
    }

    /// Reports the outcome of a claimed request to the leader. It is retried
    /// until the leader acknowledges it.
    pub(super) fn report_outcome(&mut self, shared: &mut Shared, settle: Settle, out: &mut Out) {
        let Some((_, address)) = shared.control(self.rotation) else {
            self.unsettled.push(settle);
            return;
        };
        self.settling += 1;
        let purpose = Purpose::Settle(Box::new(settle.clone()));
        let body = Call::Settle(settle);
        shared.call(ENTRY, purpose, address, body, CALL_TIMEOUT, out);
    }

    fn finish(&mut self, now: Time, ticket: Ticket, end: Final, out: &mut Out) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        if let Some((place, _)) = active.queued.take() {
            out.send(ENGINES, Msg::Dequeue(place));
        }
        let failure = match &end {
            Final::Failed(failure) | Final::Broken(failure) => Some(failure.clone()),
            Final::Complete | Final::Replay => None,
        };
        let end = match end {
            Final::Complete => Ending::Whole,
            Final::Failed(failure) => Ending::Failed(failure),
            Final::Broken(failure) => Ending::Broken(failure),
            Final::Replay => match active.replay.take() {
                Some(answer) => Ending::Replay(answer),
                None => Ending::Failed(Failure {
                    reason: Refusal::Duplicate,
                    verdict: Verdict::Ran,
                    retry: None,
                }),
            },
        };
        active.ended(now, failure, out);
        out.emit(Output::Finish { ticket, end });
    }
}

/// Returns the target of the silent attempt, unless another instance owns it by now.
fn silent_way(
    active: &Active,
    owners: &BTreeMap<TargetNo, (InstanceName, Fence)>,
    me: &InstanceName,
) -> Option<TargetNo> {
    let sent = active.sent.as_ref()?;
    let owner = owners.get(&sent.target).map(|(owner, _)| owner);
    let same = owner == Some(sent.forwarded_to.as_ref().unwrap_or(me));
    (same || active.start.adapter.is_none()).then_some(sent.target)
}

/// Returns whether the request waits for a silent owner, so that another one may follow.
fn waits_for_owner(active: &Active) -> bool {
    let sent = active.sent.as_ref();
    sent.is_some_and(|sent| !sent.began && sent.forwarded_to.is_some())
}

/// Converts the reply to a claim into the input of a [`request::Request`].
pub(super) fn claim_reply(reply: &ClaimReply) -> Claimed {
    match reply {
        ClaimReply::Granted => Claimed::Granted,
        ClaimReply::Running => Claimed::Running,
        ClaimReply::Ran(answer) => Claimed::Ran {
            kept: answer.is_some(),
        },
        ClaimReply::MayHaveRun => Claimed::MayHaveRun,
        ClaimReply::OtherBody => Claimed::OtherBody,
        ClaimReply::TooOld => Claimed::TooOld,
        ClaimReply::Deferred { retry } => Claimed::Deferred { retry: *retry },
    }
}
