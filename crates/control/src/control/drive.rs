//! Drives the replica of the log: hands in its inputs and carries out its outputs.

use std::collections::VecDeque;

use base::Time;
use owner::Change;
use replog::{Blob, Index};
use wire::call::Call;

use super::{Control, Event, Output};
use crate::{Command, Outcome, PublishOutcome, State, What};

impl Control {
    /// Hands one input to the replica and carries out the resulting outputs.
    pub(super) fn drive(&mut self, now: Time, input: replog::Input, out: &mut Vec<Output>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut outputs = Vec::new();
            self.replica.handle(now, input, &mut outputs);
            for output in outputs {
                inputs.extend(self.carry_out(output, out));
            }
        }
    }

    /// Carries out one output; returns the next input for the replica, if any.
    fn carry_out(
        &mut self,
        output: replog::Output,
        out: &mut Vec<Output>,
    ) -> Option<replog::Input> {
        match output {
            replog::Output::Send { to, message } => {
                let envelope = (self.replica.id(), message);
                let raw = rmp_serde::to_vec(&envelope);
                let raw = raw.expect("a message has only encodable fields");
                let call = Call::Log(raw.into());
                out.push(Output::Send { to, call });
            }
            replog::Output::Write { no, records } => out.push(Output::Write { no, records }),
            replog::Output::Rewrite {
                no,
                snapshot,
                records,
            } => out.push(Output::Rewrite {
                no,
                snapshot,
                records,
            }),
            replog::Output::Apply { index, command, .. } => self.apply(index, &command, out),
            replog::Output::Restore { index, data } => self.restore(index, &data, out),
            replog::Output::Proposed { ticket, result } => self.on_proposed(ticket, result, out),
            replog::Output::TakeSnapshot { upto } => {
                let data = self.state.save().into();
                return Some(replog::Input::Snapshot { index: upto, data });
            }
            replog::Output::Wake { at } => self.replica_wake = Some(at),
            replog::Output::Role { .. } => {}
            replog::Output::Halted { reason } => out.push(Output::Event(Event::Halted { reason })),
        }
        None
    }

    fn apply(&mut self, index: Index, raw: &Blob, out: &mut Vec<Output>) {
        let Ok(command) = Command::decode(raw) else {
            out.push(Output::Event(Event::Unreadable { index }));
            return;
        };
        let outcome = self.state.apply(index.get(), &command);
        self.verdicts_changed |= matches!(command.what, What::Hold(..) | What::Lift(_));
        self.report(index, &command, &outcome, out);
        self.on_outcome(index, outcome, out);
    }

    fn restore(&mut self, index: Index, raw: &Blob, out: &mut Vec<Output>) {
        match State::restore(raw) {
            Ok(state) => self.state = state,
            Err(_) => out.push(Output::Event(Event::Unreadable { index })),
        }
        self.give_up_before(index, out);
        self.verdicts_changed = true;
        self.text_changed(out);
        out.push(Output::Event(Event::Published));
    }

    fn report(
        &mut self,
        index: Index,
        command: &Command,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        match (&command.what, outcome) {
            (What::Text { .. }, Outcome::Text(wire::operator::Applied::Accepted { version }))
                if *version == self.state.texts().version() =>
            {
                self.text_changed(out);
            }
            // It concerns no edition.
            (What::Software(_), _) => {}
            (_, Outcome::Published(PublishOutcome::InForce)) => {
                out.push(Output::Event(Event::Published))
            }
            (What::Owner(change), Outcome::Owner(true)) => {
                let event = event_of(index, change);
                out.extend(event.map(Output::Event));
            }
            _ => {}
        }
    }

    fn text_changed(&mut self, out: &mut Vec<Output>) {
        let version = self.state.texts().version();
        if let Ok(checked) = (self.check)(self.state.texts().text()) {
            self.grantor.set_rate(checked.rate);
        }
        out.push(Output::Event(Event::Text { version }));
    }
}

fn event_of(index: Index, change: &Change) -> Option<Event> {
    let event = match change {
        Change::Join { id, .. } => Event::Joined {
            instance: id.instance.clone(),
        },
        Change::Admit { id } => Event::Admitted {
            instance: id.instance.clone(),
        },
        Change::Dismiss { id } => Event::Dismissed {
            instance: id.instance.clone(),
        },
        Change::Assign { target, id, .. } => Event::Owner {
            target: target.clone(),
            instance: id.instance.clone(),
            fence: base::Fence(index.get()),
        },
        Change::Account { .. } | Change::Forget { .. } => return None,
    };
    Some(event)
}
