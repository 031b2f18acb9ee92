//! Explains to operators to which target a request would be sent, and why.

use base::{BrandName, ServiceName, Time, Tokens, Version};
use route::{
    Candidate as RouterCandidate, Eligibility as RouterStanding, Explanation, RequestSpec,
};
use text::model::{Model, Service, ServiceKind};
use wire::{
    call::Reply,
    engine::Resident,
    operator::{Asked, Candidate, Explain, Explained, Reason, Standing},
};

use super::{Entry, active};
use crate::{
    io::Output,
    shared::{Out, Shared},
};

impl Entry {
    /// Answers an operator's query without changing any state.
    pub(super) fn explain(
        &self,
        shared: &mut Shared,
        now: Time,
        (call, asked): (u64, Explain),
        out: &mut Out,
    ) {
        let body = Reply::Explained(self.explained(shared, now, &asked));
        out.emit(Output::Reply { call, body });
    }

    fn explained(&self, shared: &mut Shared, now: Time, asked: &Explain) -> Option<Explained> {
        let model = shared.model.clone();
        let (name, service) = find(&model, &asked.brand, &asked.what)?;
        let (resident, serves) = match &service.kind {
            ServiceKind::Plain => (None, None),
            ServiceKind::Assistant { adapter } => {
                let serves = model.adapters.get(adapter)?.serve;
                let no = shared.names.adapter(adapter);
                let version = self.router.pin(now, no, serves);
                let adapter = adapter.clone();
                (Some(Resident { adapter, version }), Some(serves))
            }
        };
        let ask = RequestSpec {
            pool: shared.names.pool(&service.pool),
            key: resident.as_ref().map(|r| shared.names.key(r)),
            brand: shared.names.brand(&asked.brand),
            class: service.class,
            prefix: 0,
            tokens: Tokens(0),
            deadline: now + active::default_timeout(&model.limits, service.class),
        };
        let explanation = self.router.explain(now, &ask);
        Some(self.answer(shared, (name, service), (resident, serves), &explanation))
    }

    /// Builds the answer from what the router says.
    fn answer(
        &self,
        shared: &Shared,
        (name, service): (&ServiceName, &Service),
        (resident, serves): (Option<Resident>, Option<Version>),
        explanation: &Explanation,
    ) -> Explained {
        let next = explanation
            .next
            .map(|no| shared.names.target_name(no).clone());
        let candidates = explanation.candidates.iter();
        Explained {
            instance: shared.settings.name.clone(),
            text: shared.version,
            service: name.clone(),
            class: service.class,
            pool: service.pool.clone(),
            resident: resident.map(|r| r.to_string()),
            serves,
            next,
            why: reason(explanation, serves.is_some()),
            targets: candidates
                .filter_map(|c| self.candidate(shared, c))
                .collect(),
        }
    }

    fn candidate(&self, shared: &Shared, known: &RouterCandidate) -> Option<Candidate> {
        let listed = &shared.targets.get(&known.target)?.listed;
        let owner = self.owners.get(&known.target);
        Some(Candidate {
            target: listed.name.clone(),
            zone: listed.zone.clone(),
            owner: owner.map(|(owner, _)| owner.clone()),
            holds: known.holds,
            // As a percentage. Loads are small and never negative.
            load: (known.load * 100.0) as u32,
            standing: match known.eligibility {
                RouterStanding::Usable => Standing::Usable,
                RouterStanding::Ejected => Standing::LeftOut,
                RouterStanding::Leaving => Standing::Leaving,
                RouterStanding::Unreachable => Standing::Unreachable,
                RouterStanding::Resting => Standing::Resting,
            },
        })
    }
}

/// Returns the service of that name, or the first one that uses the adapter.
fn find<'m>(
    model: &'m Model,
    brand: &BrandName,
    what: &Asked,
) -> Option<(&'m ServiceName, &'m Service)> {
    let mut services = model.services.get(brand)?.iter();
    match what {
        Asked::Service(name) => services.find(|(service, _)| *service == name),
        Asked::Adapter(name) => services.find(|(_, service)| match &service.kind {
            ServiceKind::Assistant { adapter } => adapter == name,
            ServiceKind::Plain => false,
        }),
    }
}

/// Returns why the router chose the target.
fn reason(explanation: &Explanation, assistant: bool) -> Reason {
    let Some(next) = explanation.next else {
        return Reason::Nobody;
    };
    if !assistant {
        return Reason::LeastLoaded;
    }
    let holds = explanation
        .candidates
        .iter()
        .any(|c| c.target == next && c.holds);
    if holds { Reason::Holds } else { Reason::Home }
}
