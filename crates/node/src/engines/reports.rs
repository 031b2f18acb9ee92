//! Engines' reports: asked for regularly, and taken only when nothing has
//! overtaken them.

use std::time::Duration;

use base::{AdapterKey, TargetName, TargetNo, Time};
use member::{Observation, Observed};
use owner::Ownership;
use route::{Input as SchedulerInput, News, Report};
use wire::engine;

use super::{Engines, measure};
use crate::{
    io::{Event, Output},
    msg::{ENGINES, ENTRY, Msg},
    shared::{Out, Shared},
};

/// How often an owned engine is asked for its report.
const POLL_EVERY: Duration = Duration::from_millis(500);

/// A question for a report, until it is answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    target: TargetNo,
    watch: Observation,
    begun: Time,
}

impl Engines {
    pub(super) fn on_report(
        &mut self,
        shared: &mut Shared,
        now: Time,
        poll: u64,
        report: Option<engine::Report>,
        out: &mut Out,
    ) {
        let Some(poll) = self.polls.remove(&poll) else {
            return;
        };
        let target = poll.target;
        let name = shared.names.target_name(target).clone();
        let Some(report) = report else {
            if shared.watched.fail(&name, poll.watch).is_ok() {
                self.note_silent(target, &name, true, out);
                out.tell(ENTRY, Msg::News(News::Reachable(target, false)));
            }
            return;
        };
        let life = report.incarnation;
        let look = shared
            .watched
            .finish(&name, poll.watch, poll.begun, Some(life));
        let Ok(look) = look else {
            return;
        };
        self.note_silent(target, &name, false, out);
        out.tell(ENTRY, Msg::News(News::Reachable(target, true)));
        if look == Observed::Restarted {
            let input = owner::Input::Restarted {
                target: name.clone(),
            };
            self.hold(shared, now, input, out);
            if let Some(engine) = self.engines.get_mut(&target) {
                engine.held.clear();
            }
            out.emit(Output::Event(Event::EngineRestarted(name)));
        }
        self.take_report(shared, now, &poll, report, out);
    }

    /// Tells operators when an engine falls silent and when it is back.
    fn note_silent(&mut self, target: TargetNo, name: &TargetName, silent: bool, out: &mut Out) {
        let engine = self.engines.entry(target).or_default();
        if std::mem::replace(&mut engine.silent, silent) != silent {
            let event = Event::EngineSilent(name.clone(), silent);
            out.emit(Output::Event(event));
        }
    }

    fn take_report(
        &mut self,
        shared: &mut Shared,
        now: Time,
        poll: &Poll,
        report: engine::Report,
        out: &mut Out,
    ) {
        let target = poll.target;
        let taken = poll.begun - Duration::from_millis(report.age_ms);
        let mut held = Vec::new();
        for one in &report.resident {
            if let Ok(resident) = one.lora_name.parse() {
                held.push((shared.names.key(&resident), one.in_use));
            }
        }
        self.drop_unlearned(target, &mut held);
        let engine = self.engines.entry(target).or_default();
        let new = engine.life != Some(report.incarnation);
        engine.life = Some(report.incarnation);
        engine.held = held.iter().map(|(key, _)| *key).collect();
        self.teach(shared, now, out);
        if new {
            out.tell(ENTRY, Msg::Life(target, report.incarnation));
            self.own(shared, now, target, out);
        } else {
            self.touch(shared, now, target, out);
        }
        measure::batch(shared, target, report.running, out);
        let load = Report {
            target,
            incarnation: report.incarnation,
            taken,
            running: report.running,
            waiting: report.waiting,
            cached: report.cached,
        };
        out.tell(ENTRY, Msg::News(News::Report(load)));
        let input = SchedulerInput::Report {
            target,
            incarnation: report.incarnation,
            taken,
            held,
        };
        self.scheduler(shared, now, input, out);
    }

    /// Asks each engine that is due for its report.
    pub(super) fn poll(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        for (target, engine) in &mut self.engines {
            let Some(info) = shared.targets.get(target) else {
                continue;
            };
            if engine.owned.is_none() || now < engine.polled + POLL_EVERY {
                continue;
            }
            let name = info.listed.name.clone();
            let Some(watch) = shared.watched.begin(&name) else {
                continue;
            };
            engine.polled = now;
            self.next_poll += 1;
            let poll = Poll {
                target: *target,
                watch,
                begun: now,
            };
            self.polls.insert(self.next_poll, poll);
            out.emit(Output::Poll {
                poll: self.next_poll,
                target: name,
                address: info.address,
            });
        }
        shared.wake(ENGINES, now + POLL_EVERY);
    }

    /// Leaves out what this instance may not learn from a report.
    ///
    /// Guard: an owner without a lease sees in a report what its successor has
    /// loaded, and would send requests there that the successor knows nothing
    /// of; it would unload the adapter under them. Only what was known before
    /// stays, and nothing of it once the engine has restarted.
    fn drop_unlearned(&self, target: TargetNo, held: &mut Vec<(AdapterKey, u32)>) {
        let Some(engine) = self.engines.get(&target) else {
            return;
        };
        if self.restricted(target) {
            base::hit!(restricted_learns_nothing);
            held.retain(|(key, _)| engine.held.contains(key));
        }
    }

    /// Tells whether an engine is owned here without a valid lease.
    pub(super) fn restricted(&self, target: TargetNo) -> bool {
        let owned = self.engines.get(&target).and_then(|engine| engine.owned);
        matches!(owned, Some(Ownership::Restricted { .. }))
    }
}
