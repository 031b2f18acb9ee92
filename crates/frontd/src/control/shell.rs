//! The one task that owns the control instance, the granting of zones and the
//! holder of orders.

mod edition_cache;
mod orders;
mod zones;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

use base::{InstanceName, Ticket, Time};
use control::{Control, Event, Input, Output, Unnamed, What};
use daemon::{Clock, Links};
use disk::Writer;
use gateway::{
    holder::{self, Holder},
    revisions::Revisions,
    tenure::{Granter, Tenure},
};
use replog::HaltReason;
use telemetry::event;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep_until,
};
use wire::{
    call::{Call, Reply},
    fleet::{Edition, Weights},
};

use self::edition_cache::Handout;
use super::{CallOutcome, HANDOVER, Setup};
use crate::{Platform, names};

/// Jobs taken in one go before timers are looked at again.
const BURST: usize = 256;

/// How often the holder looks for what is due without any news.
const TICK: Duration = Duration::from_millis(100);

/// How often the owner of a zone reads the platform's list of it. It lags by
/// most of a second itself, and targets that leave have to be left within three.
const LIST_EVERY: Duration = Duration::from_millis(600);

/// How often the right to give orders is renewed; a tenure outlasts many lost
/// renewals.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// The same for an instance without any zone: after a restart of all, or with a
/// new leader, callers wait for adapters until each zone has its owner again.
const RENEW_SOON: Duration = Duration::from_millis(80);

/// How long a renewal may take.
const RENEW_LIMIT: Duration = Duration::from_millis(300);

/// How often the settings are looked at for other control instances.
const SEEDS_EVERY: Duration = Duration::from_secs(1);

/// How long a message of the log may take; it is lost then, and the log sends
/// it again.
const MESSAGE_LIMIT: Duration = Duration::from_millis(500);

/// What the shell takes in.
#[derive(Debug)]
pub(crate) enum Job {
    /// Something for the control instance.
    Input(Input),
    /// Something for the holder.
    Holder(holder::Input),
    /// Another instance calls.
    Call {
        /// Its call.
        call: Call,
        /// Where the reply goes.
        to: oneshot::Sender<Reply>,
    },
    /// The leader has renewed the right to give orders.
    Renewed {
        /// When it was asked to.
        asked: Time,
        /// Zones and fencing numbers.
        zones: Vec<(String, u64)>,
    },
    /// An operator names something.
    Name {
        /// What.
        what: What,
        /// Where the answer goes.
        to: oneshot::Sender<CallOutcome>,
    },
    /// An operator reads the newest edition.
    Newest(oneshot::Sender<Result<Option<Edition>, CallOutcome>>),
    /// This process is to stop.
    Stop,
}

/// How a life of the replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// By a planned stop.
    Stopped,
    /// It was removed from the log.
    Removed,
    /// Its disk refused a write.
    DiskFailed,
}

/// Whoever waits for a ticket.
#[derive(Debug)]
enum Waiter {
    Call(oneshot::Sender<Reply>),
    Name(oneshot::Sender<CallOutcome>),
    /// Nobody; the zone that is about to get an owner.
    Zone(String),
    Sync {
        to: oneshot::Sender<Reply>,
        /// Which named versions the asker has.
        revision: u64,
    },
}

pub(crate) struct Shell {
    control: Control,
    holder: Holder,
    handout: Handout,
    revisions: Revisions,
    writer: Writer,
    clock: Clock,
    platform: Platform,
    jobs: mpsc::UnboundedSender<Job>,
    links: Arc<Links>,
    port: u16,
    wake: Time,
    tick: Time,
    next_list: Time,
    next_seeds: Time,
    next_renew: Time,
    granter: Granter,
    tenure: Tenure,
    /// Zones whose next owner is on its way through the log.
    moving: BTreeSet<String>,
    zone: String,
    zones: BTreeSet<String>,
    turns: Duration,
    tickets: u64,
    waiters: HashMap<Ticket, Waiter>,
    /// How many engines held which weights when that was last logged.
    weights: BTreeMap<Weights, usize>,
    end: Option<End>,
}

impl Job {
    /// Returns its place among jobs that have come together, lower first.
    ///
    /// Failure: an instance is behind with its work, and exchanges of entry instances
    /// stand before the answers of engines. Orders count as lost that aren't, heartbeats
    /// are late, and it falls further behind.
    fn rank(&self) -> u8 {
        match self {
            Job::Call {
                call: Call::Sync(_) | Call::Edition { .. },
                ..
            } => 2,
            Job::Holder(_) => 1,
            _ => 0,
        }
    }
}

impl Shell {
    pub(super) fn new(
        control: Control,
        setup: &Setup,
        writer: Writer,
        clock: Clock,
        platform: Platform,
        jobs: mpsc::UnboundedSender<Job>,
    ) -> Self {
        let name = control.replica().id().instance.clone();
        let serial = u64::from(rand::random::<u32>());
        let config = holder::Config {
            zones: setup.zones.len(),
            list_lag: setup.list_lag,
            ..holder::Config::default()
        };
        Shell {
            control,
            holder: Holder::new(config, serial),
            handout: Handout::default(),
            revisions: Revisions::new(rand::random::<u64>() >> 2),
            writer,
            clock,
            platform,
            jobs,
            links: Arc::new(Links::new(name)),
            port: setup.peer_port,
            wake: Time::ZERO,
            tick: Time::ZERO,
            next_list: Time::ZERO,
            next_seeds: Time::ZERO,
            next_renew: Time::ZERO,
            granter: Granter::default(),
            tenure: Tenure::default(),
            moving: BTreeSet::new(),
            zone: setup.zone.clone(),
            zones: setup.zones.clone(),
            turns: setup.takeover_delay,
            tickets: 0,
            waiters: HashMap::new(),
            weights: BTreeMap::new(),
            end: None,
        }
    }

    pub(super) async fn run(&mut self, queue: &mut mpsc::UnboundedReceiver<Job>) -> End {
        self.input(Input::Wake);
        let mut burst = Vec::with_capacity(BURST);
        let mut stop_at = None;
        loop {
            let now = self.clock.now();
            if let Some(end) = self.end {
                return end;
            }
            if stop_at.is_some_and(|at| now >= at || !self.control.leads(now)) {
                return End::Stopped;
            }
            let wake = stop_at.map_or(self.wake, |at| self.wake.min(at));
            let wake = wake.min(self.next_seeds).min(self.next_renew);
            let wake = wake.min(self.tick);
            let wake = self.holder.next().map_or(wake, |at| wake.min(at));
            tokio::select! {
                count = queue.recv_many(&mut burst, BURST) => {
                    if count == 0 {
                        return End::Stopped;
                    }
                }
                () = sleep_until(self.clock.instant(wake)) => {}
            }
            burst.sort_by_key(Job::rank);
            for job in burst.drain(..) {
                if matches!(job, Job::Stop) {
                    event!(telemetry::Event::DrainBegun);
                    self.input(Input::HandOver);
                    stop_at = Some(self.clock.now() + HANDOVER);
                } else {
                    self.job(job);
                }
            }
            self.timers();
            self.order();
        }
    }

    fn timers(&mut self) {
        let now = self.clock.now();
        if now >= self.wake {
            self.wake = now + SEEDS_EVERY;
            self.input(Input::Wake);
        }
        if now >= self.next_seeds {
            self.next_seeds = now + SEEDS_EVERY;
            self.note_store();
            self.note_weights();
            if let Some(seeds) = (self.platform.read_seeds)() {
                let peers = seeds.into_iter().map(names::instance_name).collect();
                self.input(Input::Peers { peers });
            }
        }
        if now >= self.next_renew {
            let idle = self.tenure.zones(now).is_empty();
            self.next_renew = now + if idle { RENEW_SOON } else { RENEW_EVERY };
            self.renew(now);
        }
        if now >= self.next_list {
            self.next_list = now + LIST_EVERY;
            for zone in self.tenure.zones(now) {
                self.read_list(zone);
            }
        }
        if now >= self.tick {
            self.tick = now + TICK;
            self.hold(holder::Input::Wake);
        }
    }

    fn job(&mut self, job: Job) {
        match job {
            Job::Input(input) => self.input(input),
            Job::Holder(input) => self.hold(input),
            Job::Call { call, to } => self.call(call, to),
            Job::Renewed { asked, zones } => self.renewed(asked, zones),
            Job::Name { what, to } => {
                let ticket = self.wait(Waiter::Name(to));
                self.input(Input::Name { ticket, what });
            }
            Job::Newest(to) => {
                to.send(self.newest()).ok();
            }
            Job::Stop => {}
        }
    }

    fn call(&mut self, call: Call, to: oneshot::Sender<Reply>) {
        match call {
            Call::Sync(sync) => {
                let revision = sync.revision;
                let ticket = self.wait(Waiter::Sync { to, revision });
                self.hold(holder::Input::Sync(ticket, *sync));
            }
            Call::Edition { number, from } => {
                let part = self.handout.part(self.clock.now(), number, from);
                to.send(Reply::Edition(part)).ok();
            }
            Call::Renew { instance, zone } => {
                to.send(self.grant(&instance, &zone)).ok();
            }
            call => {
                let ticket = self.wait(Waiter::Call(to));
                self.input(Input::Call { ticket, call });
            }
        }
    }

    fn newest(&self) -> Result<Option<Edition>, CallOutcome> {
        // Failure: this instance was cut off, and another leads and has taken
        // newer editions. Only a leader whose lease runs knows the newest.
        if !self.control.leads(self.clock.now()) {
            return Err(CallOutcome::NotLeader(self.leader_ip()));
        }
        Ok(self.control.state().editions().newest().cloned())
    }

    fn leader(&self) -> Option<InstanceName> {
        let id = self.control.replica().leader()?;
        (id != self.control.replica().id()).then(|| id.instance.clone())
    }

    fn leader_ip(&self) -> Option<IpAddr> {
        let address = names::instance_address(&self.leader()?, self.port)?;
        Some(address.ip())
    }

    fn wait(&mut self, waiter: Waiter) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.waiters.insert(ticket, waiter);
        ticket
    }

    fn input(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.control.handle(self.clock.now(), input, &mut outputs);
        for output in outputs {
            self.one(output);
        }
    }

    fn one(&mut self, output: Output) {
        match output {
            Output::Reply { ticket, reply } => {
                if let Some(Waiter::Call(to)) = self.waiters.remove(&ticket) {
                    to.send(reply).ok();
                }
            }
            Output::Named { ticket, result } => match self.waiters.remove(&ticket) {
                Some(Waiter::Name(to)) => {
                    to.send(self.named(result)).ok();
                }
                Some(Waiter::Zone(zone)) => {
                    self.moving.remove(&zone);
                    self.next_renew = Time::ZERO;
                }
                _ => {}
            },
            Output::Send { to, call } => self.send(&to, call),
            Output::Write { no, records } => self.write(replog::Output::Write { no, records }),
            Output::Rewrite {
                no,
                snapshot,
                records,
            } => self.write(replog::Output::Rewrite {
                no,
                snapshot,
                records,
            }),
            Output::Wake(at) => self.wake = at,
            Output::Event(report) => self.report(report),
            // Texts of brands and hand-made changes of replicas play no part
            // here: nothing asks for them.
            Output::Applied { .. } | Output::Pass { .. } | Output::Members { .. } => {}
        }
    }

    fn named(&self, result: Result<control::Taken, Unnamed>) -> CallOutcome {
        match result {
            Ok(_) => CallOutcome::Done,
            Err(Unnamed::Elsewhere { leader }) => {
                let address = leader.and_then(|name| names::instance_address(&name, self.port));
                CallOutcome::NotLeader(address.map(|a| a.ip()))
            }
            Err(Unnamed::Busy) => CallOutcome::Busy,
            Err(Unnamed::Unknown) => CallOutcome::Unknown,
        }
    }

    fn write(&self, output: replog::Output) {
        let left = self.writer.take(output);
        debug_assert_eq!(left, None, "every write is for the writer");
    }

    fn send(&self, to: &InstanceName, call: Call) {
        let Some(address) = names::instance_address(to, self.port) else {
            return;
        };
        let links = Arc::clone(&self.links);
        tokio::spawn(async move {
            // A lost message is the log's own affair.
            links.to(address).call(call, MESSAGE_LIMIT).await.ok();
        });
    }

    fn report(&mut self, report: Event) {
        use telemetry::Event as Line;
        match report {
            Event::Leads { term } => {
                event!(Line::LeaderElected, term = term);
                self.granter.lead(self.clock.now());
                self.next_renew = Time::ZERO;
            }
            Event::Follows => {
                event!(Line::LeaderLost);
                self.granter.follow();
            }
            Event::Named => self.named_changed(),
            Event::Halted { reason } => {
                event!(Line::DiskFailed, why = reason.to_string());
                self.end = Some(match reason {
                    HaltReason::Removed => End::Removed,
                    HaltReason::WriteFailed => End::DiskFailed,
                });
            }
            Event::Unreadable { index } => event!(Line::PeerRefused, index = index),
            Event::Text { .. }
            | Event::Owner { .. }
            | Event::Joined { .. }
            | Event::Admitted { .. }
            | Event::Dismissed { .. } => {}
        }
    }
}
