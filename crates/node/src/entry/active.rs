//! One request of this instance's own callers, beside its decisions.

use std::time::Duration;

use base::{
    BrandName, Class, Failure, InstanceName, Mark, Refusal, TargetNo, Ticket, Time, Version,
};
use request::{AttemptNo, Request, Start};
use route::{Ask, Router};
use text::model::{Limits, Service, ServiceKind};
use wire::{call::Answer, engine::Resident};

use crate::{
    io::{Arrival, Ending, Event, IdempotencyKey, Output},
    shared::{Out, Shared},
};

/// When a caller of a service that has not come up may come back.
const UP_RETRY: Duration = Duration::from_secs(2);

/// A request under way.
#[derive(Debug)]
pub(super) struct Live {
    pub(super) request: Request,
    pub(super) start: Start,
    pub(super) ask: Ask,
    pub(super) brand: BrandName,
    pub(super) resident: Option<Resident>,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) body: [u8; 16],
    pub(super) began: Time,
    /// The engine in whose queue it waits here.
    pub(super) queued: Option<TargetNo>,
    /// Whether the target that it was placed on is owned here.
    pub(super) local: bool,
    pub(super) priority: i32,
    /// Targets whose owner turned it away since it last waited.
    pub(super) turned_away: Vec<TargetNo>,
    pub(super) sent: Option<Sent>,
    /// How often its claim was sent to a control instance that could not take
    /// it.
    pub(super) claims: u32,
    /// Since when it waits for an engine to get an owner.
    pub(super) parked: Option<Time>,
    /// Its answer, where that may have to be kept.
    pub(super) kept: Option<Answer>,
    /// The first run's answer.
    pub(super) replay: Option<Answer>,
    pub(super) tokens: Tokens,
}

/// Tokens of the answer so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tokens {
    count: u32,
    /// When the first and the last one came.
    span: Option<(Time, Time)>,
}

impl Tokens {
    pub(super) fn came(&mut self, now: Time, count: u32) {
        self.count += count;
        let first = self.span.map_or(now, |(first, _)| first);
        self.span = Some((first, now));
    }
}

/// The attempt under way.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) attempt: AttemptNo,
    pub(super) target: TargetNo,
    pub(super) at: Time,
    pub(super) local: bool,
    /// The other instance that owns the target, where it was passed on.
    pub(super) passed: Option<InstanceName>,
    pub(super) began: bool,
}

impl Live {
    /// Looks up what the request needs.
    ///
    /// # Errors
    ///
    /// Fails as `not run` when the brand has no such service or version.
    pub(super) fn new(
        shared: &mut Shared,
        router: &Router,
        now: Time,
        arrival: Arrival,
    ) -> Result<Live, Failure> {
        let model = shared.model.clone();
        let service = model.service(&arrival.brand, &arrival.service);
        let service = service.ok_or_else(|| Failure::not_run(Refusal::NotFound))?;
        if !shared.up.has(&arrival.brand, &arrival.service) {
            base::hit!(service_not_up);
            return Err(Failure::not_run(Refusal::Unavailable).retry_after(UP_RETRY));
        }
        let resident = resident(shared, router, now, service, arrival.version)?;
        let mark = mark(service, arrival.key.is_some())?;
        let class = arrival
            .class
            .map_or(service.class, |c| c.min(service.class));
        let timeout = arrival.timeout.unwrap_or(deadline(&model.limits, class));
        let key = resident.as_ref().map(|r| shared.names.key(r));
        let start = Start {
            class,
            mark,
            deadline: now + timeout,
            stream: arrival.stream,
            resumable: key.is_some() && mark == Mark::Repeatable,
            outlives: key.is_none(),
            adapter: key,
            attempts: model.limits.attempts,
        };
        let ask = Ask {
            pool: shared.names.pool(&service.pool),
            key,
            brand: shared.names.brand(&arrival.brand),
            class,
            prefix: arrival.prefix,
            tokens: arrival.tokens,
            deadline: now + timeout,
        };
        Ok(Live {
            request: Request::default(),
            start,
            ask,
            brand: arrival.brand,
            resident,
            key: arrival.key,
            body: arrival.body,
            began: now,
            queued: None,
            local: false,
            priority: 0,
            turned_away: Vec::new(),
            sent: None,
            claims: 0,
            parked: None,
            kept: None,
            replay: None,
            tokens: Tokens::default(),
        })
    }

    /// Notes the attempt that is under way from now on.
    pub(super) fn note_sent(
        &mut self,
        now: Time,
        attempt: AttemptNo,
        target: TargetNo,
        passed: Option<InstanceName>,
    ) {
        self.parked = None;
        self.sent = Some(Sent {
            attempt,
            target,
            at: now,
            local: self.local,
            passed,
            began: false,
        });
    }

    /// Returns the owner that has it and has not answered yet.
    pub(super) fn waits_at(&self) -> Option<&InstanceName> {
        let sent = self.sent.as_ref().filter(|sent| !sent.began)?;
        sent.passed.as_ref()
    }

    /// Reports how it ended.
    pub(super) fn ended(&self, now: Time, failure: Option<Failure>, out: &mut Out) {
        if let Some((first, last)) = self.tokens.span {
            out.emit(Output::Event(Event::Streamed {
                brand: self.brand.clone(),
                class: self.start.class,
                tokens: self.tokens.count,
                first: first.since(self.began),
                rest: last.since(first),
            }));
        }
        out.emit(Output::Event(Event::Ended {
            brand: self.brand.clone(),
            class: self.start.class,
            failure,
            took: now.since(self.began),
        }));
    }
}

/// Returns the adapter's version that the request is for.
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

/// Returns whether the request may be repeated; one that may not has to name
/// itself by a key.
fn mark(service: &Service, keyed: bool) -> Result<Mark, Failure> {
    match (service.mark, keyed) {
        (_, true) => Ok(Mark::Once),
        (Mark::Repeatable, false) => Ok(Mark::Repeatable),
        (Mark::Once, false) => Err(Failure::not_run(Refusal::BadRequest)),
    }
}

/// Turns a request away before anything was decided about it.
pub(super) fn refuse(ticket: Ticket, failure: Failure, out: &mut Out) {
    let end = Ending::Failed(failure);
    out.emit(Output::Finish { ticket, end });
}

/// Returns how long a request of `class` may take when it doesn't say.
pub(super) fn deadline(limits: &Limits, class: Class) -> Duration {
    match class {
        Class::Critical => limits.critical_deadline,
        Class::Live => limits.live_deadline,
        Class::Batch => limits.batch_deadline,
    }
}
