//! Calls from other processes, and changes made by operators.

use std::time::Duration;

use base::{InstanceName, Ticket, Time};
use replog::{Message, ReplicaId};
use wire::{
    call::{Call, ClaimReply, Heartbeat, HeartbeatReply, Reply},
    operator::{Applied, Apply, Why},
};

use super::{
    CLAIM_QUEUE_MAX, Control, Item, Output, RETRY_MS, What, answer::Waiting, io::Requester,
};
use crate::{NotPublished, Patch, TextChange, Texts};

impl Control {
    pub(super) fn on_call(&mut self, now: Time, ticket: Ticket, call: Call, out: &mut Vec<Output>) {
        let reply = match call {
            Call::Log(raw) => self.on_log(now, &raw, out),
            Call::Version => Reply::Version(self.state.texts().version()),
            Call::Text { have } => self.newer_text(have),
            Call::Apply(apply) => {
                self.on_apply(now, Requester::Control(ticket), apply, out);
                return;
            }
            // Guard: a former leader that was partitioned or frozen would renew leases
            // and grant claims that a newer leader has given to others. So these calls
            // are answered only by an instance that may act as the leader at this moment.
            Call::Heartbeat(_) | Call::Claim(_) | Call::Settle(_) if !self.replica.leads(now) => {
                base::hit!(not_leading);
                let leader = self.other_leader();
                Reply::Redirect { leader }
            }
            Call::Heartbeat(beat) => Reply::Heartbeat(self.on_beat(now, &beat, out)),
            Call::Claim(claim) => match self.state.claims().known(&claim) {
                Some(known) => Reply::Claim(known),
                None => return self.on_item(ticket, Item::Claim(claim), out),
            },
            Call::Settle(settle) => return self.on_item(ticket, Item::Settle(settle), out),
            Call::Explain(_) => Reply::Explained(None),
            // The daemon answers these calls itself, from its own knowledge of targets,
            // zones and editions.
            Call::Sync(_)
            | Call::SyncUsage { .. }
            | Call::SyncLists { .. }
            | Call::SyncStarts { .. }
            | Call::ZoneList(_)
            | Call::ZoneStarts(_)
            | Call::Limits(_)
            | Call::Entries(_)
            | Call::Streams(_)
            | Call::FindStream(_)
            | Call::Retries(_)
            | Call::Rests(_)
            | Call::Software(_)
            | Call::Admission(_)
            | Call::Renew { .. }
            | Call::Edition { .. } => Reply::Redirect {
                leader: self.other_leader(),
            },
            Call::Confirm(_) | Call::Residents(_) | Call::Handover(_) | Call::Drain => Reply::Done,
        };
        out.push(Output::Reply { ticket, reply });
    }

    /// Handles an edition or an adapter's version published by an operator; only the
    /// leader accepts it.
    pub(super) fn on_publish(
        &mut self,
        now: Time,
        ticket: Ticket,
        what: What,
        out: &mut Vec<Output>,
    ) {
        if !self.replica.leads(now) {
            let result = Err(NotPublished::Elsewhere {
                leader: self.other_leader(),
            });
            out.push(Output::Published { ticket, result });
            return;
        }
        self.propose(now, what, Waiting::Published(ticket), out);
    }

    pub(super) fn on_apply(
        &mut self,
        now: Time,
        requester: Requester,
        apply: Apply,
        out: &mut Vec<Output>,
    ) {
        if !self.replica.leads(now) {
            out.push(self.forward(requester, apply));
            return;
        }
        let given = TextChange {
            change: &apply.change,
            base: apply.base,
            by: &apply.by,
            digest: Texts::digest(&apply.text),
        };
        if let Some(known) = self.state.texts().known(given) {
            out.push(requester.answer(known));
            return;
        }
        if let Err(errors) = (self.check)(&apply.text) {
            let why = Why::BadText { errors };
            out.push(requester.answer(Applied::Refused { why }));
            return;
        }
        let digest = given.digest;
        let patch = Patch::between(self.state.texts().text(), &apply.text);
        let what = What::Text {
            change: apply.change,
            base: apply.base,
            by: apply.by,
            patch,
            digest,
        };
        self.propose(now, what, Waiting::Text(requester), out);
    }

    /// Handles the leader's answer to a change that was forwarded to it.
    pub(super) fn on_forwarded(
        &mut self,
        ticket: Ticket,
        reply: Option<Reply>,
        out: &mut Vec<Output>,
    ) {
        let retry_ms = RETRY_MS;
        let applied = match reply {
            Some(Reply::Applied(applied)) => applied,
            // The called instance doesn't lead, so it has proposed nothing.
            Some(Reply::Redirect { .. }) => Applied::Refused {
                why: Why::NoQuorum { retry_ms },
            },
            _ => Applied::Unknown { retry_ms },
        };
        out.push(Output::Applied { ticket, applied });
    }

    /// Returns the leader, if it is another instance.
    pub(super) fn other_leader(&self) -> Option<InstanceName> {
        let leader = self.replica.leader()?;
        (leader != self.replica.id()).then(|| leader.instance.clone())
    }

    fn forward(&self, requester: Requester, apply: Apply) -> Output {
        match (requester, self.other_leader()) {
            (Requester::Operator(ticket), Some(to)) => Output::Forward { ticket, to, apply },
            (Requester::Operator(_), None) => {
                let retry_ms = RETRY_MS;
                let why = Why::NoQuorum { retry_ms };
                requester.answer(Applied::Refused { why })
            }
            (Requester::Control(ticket), leader) => {
                let reply = Reply::Redirect { leader };
                Output::Reply { ticket, reply }
            }
        }
    }

    fn on_log(&mut self, now: Time, raw: &[u8], out: &mut Vec<Output>) -> Reply {
        let envelope: Result<(ReplicaId, Message), _> = rmp_serde::from_slice(raw);
        if let Ok((from, message)) = envelope {
            self.drive(now, replog::Input::Received { from, message }, out);
        }
        Reply::Done
    }

    fn newer_text(&self, have: base::TextVersion) -> Reply {
        let texts = self.state.texts();
        if texts.version() <= have {
            return Reply::Done;
        }
        if let Some(patches) = texts.since(have) {
            base::hit!(text_as_patches);
            return Reply::Patches {
                version: texts.version(),
                digest: wire::patch::digest(texts.text()),
                patches,
            };
        }
        Reply::Text {
            version: texts.version(),
            text: texts.text().to_owned(),
        }
    }

    fn on_beat(&mut self, now: Time, beat: &Heartbeat, out: &mut Vec<Output>) -> HeartbeatReply {
        if !beat.shares.is_empty() {
            let shares = beat.shares.clone();
            self.shares.insert(beat.instance.clone(), shares);
        }
        let mut changes = Vec::new();
        let part = self
            .grantor
            .heartbeat(now, beat, self.state.table(), &mut changes);
        self.propose_changes(now, changes, out);
        self.add_evidence(now, &beat.crashes, out);
        let mut reply = part.reply(beat.serial, self.state.texts().version());
        reply.quarantine = self.crash_register.since(now, beat.crashes.known);
        reply
    }

    fn on_item(&mut self, ticket: Ticket, item: Item, out: &mut Vec<Output>) {
        if self.claim_queue.len() < CLAIM_QUEUE_MAX {
            self.enqueue(ticket, item);
            return;
        }
        let retry = Duration::from_millis(RETRY_MS);
        let reply = Reply::Claim(ClaimReply::Deferred { retry });
        out.push(Output::Reply { ticket, reply });
    }
}
