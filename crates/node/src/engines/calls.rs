//! Calls that this service makes and answers: heartbeats, confirmations of
//! ownership, handovers of engines, published residents.

use std::net::SocketAddr;

use base::{InstanceName, Time, Verdict};
use owner::Input as LesseeInput;
use route::Input as SchedulerInput;
use wire::call::{Call, Heartbeat, Reply, Share};

use super::{Engines, residents};
use crate::{
    heartbeat::HEARTBEAT_TIMEOUT,
    io::Output,
    msg::{ENTRY, HEARTBEAT, Msg},
    shared::{Out, Purpose, Shared},
};

/// Every how many heartbeats the brands' shares are reported.
const SHARES_EVERY: u64 = 5;

/// Upper limit of brands in one report; those with the most tokens are kept.
const SHARES_MAX: usize = 32;

impl Engines {
    /// Builds a heartbeat and sends it.
    pub(super) fn send_heartbeat(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (serial, control): (u64, InstanceName),
        address: SocketAddr,
        out: &mut Out,
    ) {
        let engines = self.zone_engines(shared);
        let changed = self.reported.as_ref() != Some(&engines);
        self.reported = Some(engines.clone());
        let crashes = Box::new(shared.crashes.report(now));
        let settings = &shared.settings;
        let beat = Heartbeat {
            instance: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
            peer: settings.peer.to_string(),
            text: shared.version,
            leaving: shared.draining || self.lessee.leaving(),
            serial,
            heard: self.lessee.heard(),
            roster: self.lessee.roster(),
            engines: changed.then_some(engines),
            busy: self.lessee.busy(),
            loads: self.scheduler.loads_wanted(),
            shares: self.shares(shared, serial),
            crashes,
        };
        // The lease is counted from before the heartbeat is sent, so that it
        // never ends later here than at the leader.
        self.drive_lessee(shared, now, LesseeInput::Sent { serial }, out);
        let purpose = Purpose::Heartbeat { serial, control };
        shared.call(
            HEARTBEAT,
            purpose,
            address,
            Call::Heartbeat(beat),
            HEARTBEAT_TIMEOUT,
            out,
        );
    }

    /// Returns the brands' shares of this instance's engines, in every
    /// [`SHARES_EVERY`]th heartbeat. They are shown to operators; no decision
    /// depends on them.
    fn shares(&self, shared: &Shared, serial: u64) -> Vec<Share> {
        if !serial.is_multiple_of(SHARES_EVERY) {
            return Vec::new();
        }
        let mut shares = self.scheduler.shares();
        shares.sort_by_key(|share| std::cmp::Reverse(share.tokens));
        shares.truncate(SHARES_MAX);
        let named = shares.into_iter().map(|share| Share {
            brand: shared.names.brand_name(share.brand).clone(),
            tokens: share.tokens,
            queued: share.queued,
            running: share.running,
            refused: share.refused,
            sent: share.sent,
            waited_ms: share.waited / 1_000,
        });
        named.collect()
    }

    /// Returns the engines of this zone in the platform's list, live and
    /// leaving.
    fn zone_engines(&self, shared: &Shared) -> Vec<base::TargetName> {
        let zone = &shared.settings.zone;
        let targets = shared.targets.values();
        let mine = targets.filter(|info| info.listed.zone == *zone && info.engine().is_some());
        mine.map(|info| info.listed.name.clone()).collect()
    }

    pub(super) fn on_reply(
        &mut self,
        shared: &mut Shared,
        now: Time,
        purpose: Purpose,
        reply: Result<Reply, Verdict>,
        out: &mut Out,
    ) {
        match purpose {
            Purpose::Confirm { to, target, round } => {
                let granted = matches!(reply, Ok(Reply::Confirm { granted: true }));
                if reply.is_err() {
                    return;
                }
                let input = LesseeInput::Confirmed {
                    from: to,
                    target,
                    round,
                    granted,
                };
                self.drive_lessee(shared, now, input, out);
            }
            Purpose::Residents { to, target } if residents::asks_for_full(&reply) => {
                self.send_full(shared, now, &to, &target, out);
            }
            _ => {}
        }
    }

    pub(super) fn on_called(
        &mut self,
        shared: &mut Shared,
        now: Time,
        call: u64,
        body: Call,
        out: &mut Out,
    ) {
        let body = match body {
            Call::Confirm(ask) => {
                let mut outputs = Vec::new();
                let granted = self.lessee.confirm(now, &ask, &mut outputs);
                self.carry_out_lessee(shared, now, outputs, out);
                Reply::Confirm { granted }
            }
            Call::Handover(handover) => {
                self.drive_lessee(shared, now, LesseeInput::Handover(handover), out);
                // The instance that hands over waits for this one to take the
                // lease, which is requested now rather than with the next
                // heartbeat.
                out.send(HEARTBEAT, Msg::HeartbeatNow);
                Reply::Done
            }
            Call::Residents(message) => {
                let granted = self.apply_residents(shared, now, message, out);
                Reply::Confirm { granted }
            }
            _ => Reply::Done,
        };
        out.emit(Output::Reply { call, body });
    }

    /// Limits loads to this instance's part of its zone's fixed share of the
    /// weight store's rate. The leader reserves this share for a zone that it
    /// has not heard from for the duration of a lease.
    pub(super) fn use_fixed_share(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let rate = shared.model.store.rate;
        let instances = self.lessee.zone_peers().count() + 1;
        let share = owner::fixed_share(rate, self.lessee.zones(), instances);
        self.drive_scheduler(shared, now, SchedulerInput::Budget(share), out);
    }

    /// Updates the addresses of peers and the owners of engines from the
    /// leader's roster.
    pub(super) fn update_peers(&mut self, shared: &mut Shared, out: &mut Out) {
        let before = shared.peers.len();
        // Guard: instances are replaced every day under new names. Without this
        // removal, changes would be sent forever to those that are gone, and
        // each such call would wait for its time limit.
        let (lessee, listed) = (&self.lessee, &shared.listed);
        shared
            .peers
            .retain(|name, _| lessee.peers().contains_key(name) || listed.contains(name));
        for (name, peer) in self.lessee.peers() {
            if let Ok(address) = peer.address.parse() {
                shared.peers.insert(name.clone(), address);
            }
        }
        for (name, peer) in self.lessee.peers() {
            for (target, fence) in &peer.owns {
                let target = shared.names.target(target);
                out.send(ENTRY, Msg::Owner(target, name.clone(), *fence));
            }
        }
        if shared.peers.len() != before {
            self.reported = None;
        }
    }
}
