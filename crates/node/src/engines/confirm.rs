//! Calls that this service makes and answers: heartbeats, confirmations,
//! handovers, news of residents.

use std::net::SocketAddr;

use base::{InstanceName, Time, Verdict};
use owner::Input as HolderInput;
use route::Input as SchedulerInput;
use wire::call::{Beat, Call, Reply, Share};

use super::{Engines, residents};
use crate::{
    beat::BEAT_LIMIT,
    io::Output,
    msg::{BEAT, ENTRY, Msg},
    shared::{Out, Purpose, Shared},
};

/// Beats from one account of shares to the next.
const SHARES_EVERY: u64 = 5;

/// Brands in one account, those with most tokens.
const SHARES_MAX: usize = 32;

impl Engines {
    /// Fills in a heartbeat and sends it.
    pub(super) fn send_beat(
        &mut self,
        shared: &mut Shared,
        now: Time,
        (serial, control): (u64, InstanceName),
        address: SocketAddr,
        out: &mut Out,
    ) {
        let reach = self.reach(shared);
        let news = self.told.as_ref() != Some(&reach);
        self.told = Some(reach.clone());
        let settings = &shared.settings;
        let beat = Beat {
            instance: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: settings.life,
            peer: settings.peer.to_string(),
            text: shared.version,
            leaving: shared.draining || self.holder.leaving(),
            serial,
            heard: self.holder.heard(),
            roster: self.holder.roster(),
            engines: news.then_some(reach),
            busy: self.holder.busy(),
            loads: self.scheduler.loads_wanted(),
            shares: self.shares(shared, serial),
        };
        // The lease counts from here: before the first byte leaves.
        self.hold(shared, now, HolderInput::Sent { serial }, out);
        let purpose = Purpose::Beat { serial, control };
        shared.call(BEAT, purpose, address, Call::Beat(beat), BEAT_LIMIT, out);
    }

    /// Returns what brands got here, in every [`SHARES_EVERY`]th beat: operators
    /// look at it, no decision needs it.
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

    /// Returns the engines of this zone that the list names live, and those
    /// leaving that still have requests.
    fn reach(&self, shared: &Shared) -> Vec<base::TargetName> {
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
                let input = HolderInput::Confirmed {
                    from: to,
                    target,
                    round,
                    granted,
                };
                self.hold(shared, now, input, out);
            }
            Purpose::Residents { to, target } if residents::asks_for_all(&reply) => {
                self.tell_whole(shared, now, &to, &target, out);
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
                let mut wants = Vec::new();
                let granted = self.holder.confirm(now, &ask, &mut wants);
                self.follow(shared, now, wants, out);
                Reply::Confirm { granted }
            }
            Call::Handover(handover) => {
                self.hold(shared, now, HolderInput::Handover(handover), out);
                // Whoever hands over waits for this instance to take the
                // lease: it asks now rather than with its next beat.
                out.tell(BEAT, Msg::BeatNow);
                Reply::Done
            }
            Call::Residents(news) => {
                let granted = self.hear_residents(shared, now, news, out);
                Reply::Confirm { granted }
            }
            _ => Reply::Done,
        };
        out.emit(Output::Reply { call, body });
    }

    /// Uses this zone's fixed part of the store's budget: the leader, silent
    /// for as long as a lease, has set it aside by now.
    pub(super) fn budget_alone(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let rate = shared.model.store.rate;
        let mates = self.holder.zone_peers().count() + 1;
        let part = owner::fixed_share(rate, self.holder.zones(), mates);
        self.scheduler(shared, now, SchedulerInput::Budget(part), out);
    }

    /// Takes the roster's peers into the addresses that calls go to.
    pub(super) fn learn_peers(&mut self, shared: &mut Shared, out: &mut Out) {
        let before = shared.peers.len();
        // Guard: instances are replaced every day under new names; news for
        // those long gone would be sent for ever, and each call waited for.
        let (holder, listed) = (&self.holder, &shared.listed);
        shared
            .peers
            .retain(|name, _| holder.peers().contains_key(name) || listed.contains(name));
        for (name, peer) in self.holder.peers() {
            if let Ok(address) = peer.address.parse() {
                shared.peers.insert(name.clone(), address);
            }
        }
        for (name, peer) in self.holder.peers() {
            for (target, fence) in &peer.owns {
                let target = shared.names.target(target);
                out.tell(ENTRY, Msg::Owner(target, name.clone(), *fence));
            }
        }
        if shared.peers.len() != before {
            self.told = None;
        }
    }
}
