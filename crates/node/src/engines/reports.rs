//! Polls the owned engines for their reports, and drops reports that are
//! outdated when they arrive.

use std::time::Duration;

use base::{AdapterKey, TargetName, TargetNo, Time};
use member::{Observation, Observed};
use owner::Ownership;
use route::{Input as SchedulerInput, Report, RouterUpdate};
use wire::engine;

use super::{Engines, measure};
use crate::{
    io::{Event, Output},
    msg::{ENGINES, ENTRY, Msg},
    shared::{Out, Shared},
};

/// Time between two polls of an owned engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// An outstanding poll of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    target: TargetNo,
    /// Tells whether an event has made the answer outdated meanwhile.
    watch: Observation,
    sent: Time,
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
                out.send(
                    ENTRY,
                    Msg::TargetUpdate(RouterUpdate::Reachable(target, false)),
                );
            }
            return;
        };
        let incarnation = report.incarnation;
        let look = shared
            .watched
            .finish(&name, poll.watch, poll.sent, Some(incarnation));
        let Ok(look) = look else {
            return;
        };
        self.note_silent(target, &name, false, out);
        out.send(
            ENTRY,
            Msg::TargetUpdate(RouterUpdate::Reachable(target, true)),
        );
        if look == Observed::Restarted {
            let input = owner::Input::Restarted {
                target: name.clone(),
            };
            self.drive_lessee(shared, now, input, out);
            if let Some(engine) = self.engines.get_mut(&target) {
                engine.resident.clear();
            }
            out.emit(Output::Event(Event::EngineRestarted(name)));
        }
        self.take_report(shared, now, &poll, report, out);
    }

    /// Logs when an engine stops answering polls and when it answers again.
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
        let taken = poll.sent - Duration::from_millis(report.age_ms);
        let mut held = Vec::new();
        for one in &report.resident {
            if let Ok(resident) = one.lora_name.parse() {
                held.push((shared.names.key(&resident), one.in_use));
            }
        }
        self.drop_unknown(target, &mut held);
        let engine = self.engines.entry(target).or_default();
        let new = engine.incarnation != Some(report.incarnation);
        engine.incarnation = Some(report.incarnation);
        engine.resident = held.iter().map(|(key, _)| *key).collect();
        self.publish_new_adapters(shared, now, out);
        if new {
            out.send(ENTRY, Msg::Incarnation(target, report.incarnation));
            self.publish_owned(shared, now, target, out);
        } else {
            self.raise_fence(shared, now, target, out);
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
        out.send(ENTRY, Msg::TargetUpdate(RouterUpdate::Report(load)));
        let input = SchedulerInput::Report {
            target,
            incarnation: report.incarnation,
            taken,
            held,
        };
        self.drive_scheduler(shared, now, input, out);
    }

    /// Polls each owned engine that is due.
    pub(super) fn poll(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        for (target, engine) in &mut self.engines {
            let Some(info) = shared.targets.get(target) else {
                continue;
            };
            if engine.owned.is_none() || now < engine.last_poll + POLL_INTERVAL {
                continue;
            }
            let name = info.listed.name.clone();
            let Some(watch) = shared.watched.begin(&name) else {
                continue;
            };
            engine.last_poll = now;
            self.next_poll += 1;
            let poll = Poll {
                target: *target,
                watch,
                sent: now,
            };
            self.polls.insert(self.next_poll, poll);
            out.emit(Output::Poll {
                poll: self.next_poll,
                target: name,
                address: info.address,
            });
        }
        shared.wake(ENGINES, now + POLL_INTERVAL);
    }

    /// Without a valid lease, removes adapters from a report that this instance
    /// did not know to be resident before.
    ///
    /// Guard: another owner may have loaded them. This instance would send
    /// requests that use them, and the other owner, which doesn't know of these
    /// requests, would unload the adapters while they run. After a restart of
    /// the engine no adapter is known.
    fn drop_unknown(&self, target: TargetNo, resident: &mut Vec<(AdapterKey, u32)>) {
        let Some(engine) = self.engines.get(&target) else {
            return;
        };
        if self.restricted(target) {
            base::hit!(restricted_ignores_new_residents);
            resident.retain(|(key, _)| engine.resident.contains(key));
        }
    }

    /// Returns whether an engine is owned here without a valid lease.
    pub(super) fn restricted(&self, target: TargetNo) -> bool {
        let owned = self.engines.get(&target).and_then(|engine| engine.owned);
        matches!(owned, Some(Ownership::Restricted { .. }))
    }
}
