//! A request of one of this instance's own callers: what is known about it
//! besides the state in [`Request`].

use std::{collections::BTreeMap, time::Duration};

use base::{
    BrandName, Class, Failure, Fingerprint, InstanceName, Mark, Refusal, SoftwareVersion, TargetNo,
    Ticket, Time, Version,
};
use request::{AttemptNo, Request, Start};
use route::{RequestSpec, Router};
use text::model::{Limits, Service, ServiceKind};
use wire::{call::Answer, engine::Resident};

use crate::{
    io::{Arrival, Ending, Event, IdempotencyKey, Output},
    shared::{Out, Shared, TargetInfo},
};

/// Retry-after time for callers of a service that has not come up.
const UP_RETRY: Duration = Duration::from_secs(2);

/// Bit of a ticket that marks the place of a request's second attempt; the daemon counts
/// tickets from one.
const SPARE_PLACE: u64 = 1 << 63;

/// Returns the request that holds a place at an engine.
pub(super) fn request_of(place: Ticket) -> Ticket {
    Ticket(place.0 & !SPARE_PLACE)
}

/// A request that has not been answered.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) request: Request,
    pub(super) start: Start,
    /// What the router and the scheduler need of the request.
    pub(super) ask: RequestSpec,
    pub(super) brand: BrandName,
    /// Adapter to run on; none for a plain service.
    pub(super) resident: Option<Resident>,
    pub(super) key: Option<IdempotencyKey>,
    /// Hash of method, path and body.
    pub(super) body: [u8; 16],
    /// The same for all requests of a brand that ask one service for the same.
    pub(super) content: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub(super) parts: Vec<Fingerprint>,
    /// When it arrived.
    pub(super) arrived: Time,
    /// Engine owned here in whose queue it waits, and the ticket of its place there.
    pub(super) queued: Option<(Ticket, TargetNo)>,
    /// Whether it was dispatched by the scheduler of this instance, as the
    /// target is owned here.
    pub(super) local: bool,
    /// Priority in the engine's own queue.
    pub(super) priority: i32,
    /// Targets whose owner did not accept it, and engines without a reachable
    /// owner; cleared when the request is parked.
    pub(super) rejected: Vec<TargetNo>,
    /// Software of the target that made the first tokens of its answer; none if that isn't
    /// known.
    pub(super) software: Option<SoftwareVersion>,
    /// The current attempt.
    pub(super) sent: Option<Sent>,
    /// The attempt that may replace the current one, which is silent.
    pub(super) spare: Option<Sent>,
    /// Target of the last attempt, if its answer has begun and may go on elsewhere without
    /// credit for a retry.
    pub(super) covered: Option<TargetNo>,
    /// Number of times that a control instance did not accept its claim.
    pub(super) claim_retries: u32,
    /// Since when it waits for an engine to get an owner.
    pub(super) parked: Option<Time>,
    /// Copy of its answer, for the leader to store.
    pub(super) answer: Option<Answer>,
    /// Stored answer of an earlier request with the same idempotency key.
    pub(super) replay: Option<Answer>,
    pub(super) tokens: Tokens,
}

/// Counts the tokens of an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tokens {
    count: u32,
    /// When the first and the last one arrived.
    span: Option<(Time, Time)>,
}

impl Tokens {
    pub(super) fn record(&mut self, now: Time, count: u32) {
        self.count += count;
        let first = self.span.map_or(now, |(first, _)| first);
        self.span = Some((first, now));
    }
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) attempt: AttemptNo,
    pub(super) target: TargetNo,
    pub(super) at: Time,
    pub(super) local: bool,
    /// Ticket of its place at an engine owned here.
    pub(super) place: Ticket,
    /// Whether its target has fallen silent and has not gone on.
    pub(super) silent: bool,
    /// Owner of the target, if the attempt was forwarded to it.
    pub(super) forwarded_to: Option<InstanceName>,
    /// Software of the target as the platform listed it when the attempt was sent.
    pub(super) software: Option<SoftwareVersion>,
    /// Whether a part of the response body has arrived.
    pub(super) began: bool,
    /// Whether the answer speaks for its request once it is complete; see
    /// [`quarantine::clears`].
    pub(super) clears: bool,
}

impl Active {
    /// Creates the request from the text in force.
    ///
    /// # Errors
    ///
    /// Fails as `not run` if the brand has no such service or adapter version,
    /// if the service has not come up, if the request crashes targets, or if it
    /// requires an idempotency key and has none.
    pub(super) fn new(
        shared: &mut Shared,
        router: &Router,
        now: Time,
        arrival: Arrival,
    ) -> Result<Active, Failure> {
        let model = shared.model.clone();
        let service = model.service(&arrival.brand, &arrival.service);
        let service = service.ok_or_else(|| Failure::not_run(Refusal::NotFound))?;
        if !shared.up.has(&arrival.brand, &arrival.service) {
            base::hit!(service_not_up);
            return Err(Failure::not_run(Refusal::Unavailable).retry_after(UP_RETRY));
        }
        let content = content(&arrival);
        refuse_held(shared, now, &arrival, &content)?;
        let resident = resident(shared, router, now, service, arrival.version)?;
        let mark = mark(service, arrival.key.is_some())?;
        let class = arrival
            .class
            .map_or(service.class, |c| c.min(service.class));
        let timeout = arrival
            .timeout
            .unwrap_or(default_timeout(&model.limits, class));
        let key = resident.as_ref().map(|r| shared.names.key(r));
        let deadline = now + timeout;
        let start = Start {
            class,
            mark,
            deadline,
            stream: arrival.stream,
            resumable: key.is_some() && mark == Mark::Repeatable,
            outlives: key.is_none(),
            adapter: key,
            attempts: model.limits.attempts,
        };
        let ask = spec(shared, service, &arrival, &start);
        Ok(Active {
            request: Request::default(),
            start,
            ask,
            brand: arrival.brand,
            resident,
            key: arrival.key,
            body: arrival.body,
            content,
            parts: arrival.parts,
            arrived: now,
            queued: None,
            local: false,
            priority: 0,
            rejected: Vec::new(),
            software: None,
            sent: None,
            spare: None,
            covered: None,
            claim_retries: 0,
            parked: None,
            answer: None,
            replay: None,
            tokens: Tokens::default(),
        })
    }

    /// Records the attempt that is sent now.
    pub(super) fn note_sent(
        &mut self,
        (now, ticket): (Time, Ticket),
        attempt: AttemptNo,
        target: &TargetInfo,
        no: TargetNo,
        forwarded_to: Option<InstanceName>,
    ) {
        self.parked = None;
        let sent = Sent {
            attempt,
            target: no,
            at: now,
            local: self.local,
            place: self.place(ticket),
            silent: false,
            forwarded_to,
            software: target.listed.software.clone(),
            began: false,
            clears: true,
        };
        if self.sent.is_some() {
            self.spare = Some(sent);
        } else {
            self.covered = None;
            self.sent = Some(sent);
        }
    }

    /// Returns the ticket for a place at an engine owned here. The current attempt may still
    /// hold another one.
    pub(super) fn place(&self, ticket: Ticket) -> Ticket {
        let taken = self.sent.as_ref().is_some_and(|sent| sent.place == ticket);
        if taken {
            Ticket(ticket.0 | SPARE_PLACE)
        } else {
            ticket
        }
    }

    /// Returns the attempts that run.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &Sent> {
        self.sent.iter().chain(&self.spare)
    }

    /// Returns a running attempt.
    pub(super) fn attempt(&self, no: AttemptNo) -> Option<&Sent> {
        self.attempts().find(|sent| sent.attempt == no)
    }

    /// Removes a running attempt; the one that may replace it takes its place.
    pub(super) fn take_attempt(&mut self, no: AttemptNo) -> Option<Sent> {
        if let Some(spare) = self.spare.take_if(|sent| sent.attempt == no) {
            return Some(spare);
        }
        let sent = self.sent.take_if(|sent| sent.attempt == no)?;
        self.covered = self.covered.filter(|_| self.spare.is_none());
        self.sent = self.spare.take();
        Some(sent)
    }

    /// Notes tokens of the current attempt's answer.
    pub(super) fn note_tokens(&mut self, now: Time, count: u32) {
        if self.tokens.count == 0 {
            let sent = self.sent.as_ref();
            self.software = sent.and_then(|sent| sent.software.clone());
        }
        self.tokens.record(now, count);
    }

    /// Returns the targets that can't go on with its answer: what two software versions make
    /// doesn't fit together.
    pub(super) fn unfit(&self, targets: &BTreeMap<TargetNo, TargetInfo>) -> Vec<TargetNo> {
        if self.tokens.count == 0 {
            return Vec::new();
        }
        let fits =
            |info: &TargetInfo| self.software.is_some() && info.listed.software == self.software;
        let unfit = targets.iter().filter(|(_, info)| !fits(info));
        unfit.map(|(no, _)| *no).collect()
    }

    /// Returns the owners that it was forwarded to, each until the first part of its response
    /// body arrives.
    pub(super) fn awaited_owners(&self) -> impl Iterator<Item = &InstanceName> {
        let awaited = self.attempts().filter(|sent| !sent.began);
        awaited.filter_map(|sent| sent.forwarded_to.as_ref())
    }

    /// Emits the metrics of its end.
    pub(super) fn ended(&self, now: Time, failure: Option<Failure>, out: &mut Out) {
        if let Some((first, last)) = self.tokens.span {
            out.emit(Output::Event(Event::Streamed {
                brand: self.brand.clone(),
                class: self.start.class,
                tokens: self.tokens.count,
                first: first.since(self.arrived),
                rest: last.since(first),
            }));
        }
        out.emit(Output::Event(Event::Ended {
            brand: self.brand.clone(),
            class: self.start.class,
            failure,
            took: now.since(self.arrived),
        }));
    }
}

/// Returns the adapter and version that a request for `service` runs on.
fn resident(
    shared: &mut Shared,
    router: &Router,
    now: Time,
    service: &Service,
    asked: Option<Version>,
) -> Result<Option<Resident>, Failure> {
    let ServiceKind::Assistant { adapter } = &service.kind else {
        return Ok(None);
    };
    let not_found = || Failure::not_run(Refusal::NotFound);
    let model = shared.model.clone();
    let known = model.adapters.get(adapter).ok_or_else(not_found)?;
    let no = shared.names.adapter(adapter);
    let version = asked.unwrap_or_else(|| router.pin(now, no, known.serve));
    if !known.versions.contains(&version) {
        return Err(not_found());
    }
    Ok(Some(Resident {
        adapter: adapter.clone(),
        version,
    }))
}

/// Returns whether the request may run more than once. One that may not needs
/// an idempotency key.
fn mark(service: &Service, keyed: bool) -> Result<Mark, Failure> {
    match (service.mark, keyed) {
        (_, true) => Ok(Mark::Once),
        (Mark::Repeatable, false) => Ok(Mark::Repeatable),
        (Mark::Once, false) => Err(Failure::not_run(Refusal::BadRequest)),
    }
}

/// Refuses a request at arrival.
pub(super) fn refuse(ticket: Ticket, failure: Failure, out: &mut Out) {
    let end = Ending::Failed(failure);
    out.emit(Output::Finish { ticket, end });
}

/// Returns the time limit of requests of `class` that don't set one.
pub(super) fn default_timeout(limits: &Limits, class: Class) -> Duration {
    match class {
        Class::Critical => limits.critical_deadline,
        Class::Live => limits.live_deadline,
        Class::Batch => limits.batch_deadline,
    }
}

/// Refuses a request that crashes targets.
///
/// Guard: a marked request may have run when it was sent under its key before, and only
/// its claim tells. It is refused once the claim is granted, before it is sent.
fn refuse_held(
    shared: &Shared,
    now: Time,
    arrival: &Arrival,
    content: &Fingerprint,
) -> Result<(), Failure> {
    let held = shared.crashes.held(now, content, &arrival.parts);
    let Some(left) = held.filter(|_| arrival.key.is_none()) else {
        return Ok(());
    };
    base::hit!(crashing_request_refused);
    Err(Failure::not_run(Refusal::Held).retry_after(left))
}

/// Returns what the router is asked for a request that begins as `start`.
fn spec(shared: &mut Shared, service: &Service, arrival: &Arrival, start: &Start) -> RequestSpec {
    RequestSpec {
        pool: shared.names.pool(&service.pool),
        key: start.adapter,
        brand: shared.names.brand(&arrival.brand),
        class: start.class,
        prefix: arrival.prefix,
        tokens: arrival.tokens,
        deadline: start.deadline,
    }
}

fn content(arrival: &Arrival) -> Fingerprint {
    let (brand, service) = (arrival.brand.as_str(), arrival.service.as_str());
    Fingerprint::of(&[brand.as_bytes(), service.as_bytes(), &arrival.body])
}
