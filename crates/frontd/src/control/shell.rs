//! The task that does the I/O of a control instance. It owns the state machine of the
//! replicated log ([`Control`]), the one that gives orders to the engines of owned zones,
//! and the assignment of zones to their owners.

mod admission;
mod calls;
mod edition_cache;
mod lists;
mod orders;
mod software;
mod streams;
mod zones;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

use account::Tally;
use base::{InstanceName, Ticket, Time};
use control::{Control, Event, Input, NotPublished, Output, What};
use daemon::{Clock, Links};
use disk::{Journal, Writer};
use gateway::{
    budget::{Broker, Sharers},
    helpers::Roster,
    revisions::Revisions,
    timing::LIST_INTERVAL,
    zone_lease::{LeaseGranter, ZoneLease},
    zone_owner::{self, ListedTarget, ZoneOwner},
};
use replog::HaltReason;
use telemetry::{event, prom_metrics};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep_until,
};
use wire::{
    account::Usage,
    call::{Call, Reply},
    fleet::{Edition, Weights},
    stream::ServiceSoftware,
};

use self::{admission::Admission, edition_cache::EditionCache, lists::ZoneLists, streams::Streams};
use super::{CallOutcome, HANDOVER_TIMEOUT, Setup};
use crate::{Platform, names};

/// Most jobs taken at once before timers are checked again.
const MAX_BATCH: usize = 256;

/// Interval at which the zone owner acts on what is due without any input.
const OWNER_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the zone lease is renewed; it outlasts many lost renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Interval for an instance that owns no zone. After a restart of the whole deployment or
/// an election, callers wait for adapters until each zone has an owner again.
const RENEW_INTERVAL_IDLE: Duration = Duration::from_millis(80);

/// Time-out of a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which the settings are read for other control instances.
const SEEDS_INTERVAL: Duration = Duration::from_secs(1);

/// Time-out of a message of the replicated log. After it the message is lost, and the log
/// sends it again.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Inputs of the shell.
#[derive(Debug)]
pub(crate) enum Job {
    /// An input of the replicated log.
    Input(Input),
    /// An input of the zone owner.
    ZoneOwner(zone_owner::Input),
    /// A call of another instance.
    Call {
        /// The call.
        call: Call,
        /// Where the reply goes.
        to: oneshot::Sender<Reply>,
    },
    /// The platform's list of a zone was read, or can't be.
    Listed {
        /// The zone.
        zone: String,
        /// When it was requested.
        asked: Time,
        /// Its targets.
        list: Option<Vec<ListedTarget>>,
    },
    /// The leader has renewed the zone lease.
    Renewed {
        /// When the renewal was requested.
        asked: Time,
        /// The zones that this instance owns, with their fencing numbers.
        zones: Vec<(String, u64)>,
    },
    /// The leader has said which software versions the log has.
    SoftwareNoted {
        /// When it was asked.
        asked: Time,
        /// The zones that this instance owned then.
        zones: Vec<String>,
        /// The versions.
        versions: Vec<ServiceSoftware>,
    },
    /// A change by an operator.
    Change {
        /// The change.
        change: What,
        /// Where the outcome goes.
        to: oneshot::Sender<CallOutcome>,
    },
    /// A read of the newest edition by an operator.
    Newest(oneshot::Sender<Result<Option<Arc<Edition>>, CallOutcome>>),
    /// A planned stop was requested.
    Stop,
}

/// Why an incarnation of the replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// A planned stop.
    Stopped,
    /// It was removed from the voters of the log.
    Removed,
    /// Its disk failed a write.
    DiskFailed,
}

/// Whoever waits for the result of a ticket.
#[derive(Debug)]
enum Waiter {
    Call(oneshot::Sender<Reply>),
    Change(oneshot::Sender<CallOutcome>),
    /// No one; the zone's new owner is in the log once the ticket has its result.
    Zone(String),
    /// A zone owner; the versions that it lists are in the log then.
    Software(oneshot::Sender<Reply>),
    Sync {
        to: oneshot::Sender<Reply>,
        /// Number of the last change of adapter versions that the requester knows.
        revision: u64,
        /// Index of the last verdict on a request that the requester knows.
        verdict: u64,
        /// What accounts have used at the requester, if it has said so.
        usage: Option<(InstanceName, Usage)>,
        /// What else it asks for.
        detail: Detail,
    },
}

/// What an exchange asks for besides the state of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Detail {
    Nothing,
    /// How old lists are.
    Lists,
    /// The same, and when targets started.
    Starts,
}

/// A control instance with its I/O.
pub(crate) struct Shell {
    control: Control,
    zone_owner: ZoneOwner,
    /// What entry instances have used of limited accounts.
    tally: Tally,
    admission: Admission,
    editions: EditionCache,
    /// The newest edition as operators last read it.
    read: Option<Arc<Edition>>,
    /// Entry instances, and which of them can help others.
    roster: Roster,
    /// Entry instances that share the budget of retries.
    sharers: Sharers,
    /// Retries that entry instances lend to each other.
    broker: Broker,
    /// Lists of zones for entry instances that ask for them.
    lists: ZoneLists,
    /// Versions of adapters, numbered by their changes.
    revisions: Revisions,
    writer: Writer,
    clock: Clock,
    platform: Platform,
    jobs: mpsc::UnboundedSender<Job>,
    links: Arc<Links>,
    port: u16,
    /// When the state machine of the log is due.
    next_log: Time,
    /// When the zone owner is due.
    next_owner: Time,
    next_list: Time,
    next_seeds: Time,
    next_renew: Time,
    granter: LeaseGranter,
    zone_lease: ZoneLease,
    /// Zones whose next owner has been proposed and isn't in the log yet.
    granting: BTreeSet<String>,
    zone: String,
    zones: BTreeSet<String>,
    takeover_delay: Duration,
    tickets: u64,
    waiters: HashMap<Ticket, Waiter>,
    /// Number of engines by the weights they hold, as last logged.
    weights: BTreeMap<Weights, usize>,
    streams: Streams,
    end: Option<End>,
}

impl Job {
    /// Returns the priority of a job among those taken at once; lower ones go first.
    ///
    /// Failure: an instance is overloaded, and exchanges with entry instances are handled
    /// before answers of engines. Orders count as lost that aren't, heartbeats are late,
    /// and it falls further behind.
    fn rank(&self) -> u8 {
        match self {
            Job::Call {
                call:
                    Call::Sync(_)
                    | Call::SyncUsage { .. }
                    | Call::SyncLists { .. }
                    | Call::SyncStarts { .. }
                    | Call::Retries(_)
                    | Call::Streams(_)
                    | Call::Admission(_)
                    | Call::Edition { .. },
                ..
            } => 2,
            Job::ZoneOwner(_) => 1,
            _ => 0,
        }
    }
}

impl Shell {
    pub(super) fn new(
        control: Control,
        setup: &Setup,
        writer: Writer,
        kept: (Option<Journal>, Vec<Vec<u8>>),
        clock: Clock,
        platform: Platform,
        jobs: mpsc::UnboundedSender<Job>,
    ) -> Self {
        let name = control.replica().id().instance.clone();
        let serial = u64::from(rand::random::<u32>());
        let (journal, begun) = kept;
        let mut streams = Streams::new(rand::random(), journal);
        streams.restore(clock.now(), &begun);
        let config = zone_owner::Config {
            zones: setup.zones.len(),
            rank: setup.zones.range(..setup.zone.clone()).count(),
            list_lag: setup.list_lag,
            ..zone_owner::Config::default()
        };
        Shell {
            control,
            zone_owner: ZoneOwner::new(config, serial),
            tally: Tally::new(clock.now(), rand::random::<u64>() >> 1),
            admission: Admission::new(clock.now()),
            editions: EditionCache::default(),
            read: None,
            roster: Roster::default(),
            sharers: Sharers::default(),
            broker: Broker::new(rand::random()),
            lists: ZoneLists::default(),
            revisions: Revisions::new(rand::random::<u64>() >> 2),
            writer,
            clock,
            platform,
            jobs,
            links: Arc::new(Links::new(name)),
            port: setup.peer_port,
            next_log: Time::ZERO,
            next_owner: Time::ZERO,
            next_list: Time::ZERO,
            next_seeds: Time::ZERO,
            next_renew: Time::ZERO,
            granter: LeaseGranter::default(),
            zone_lease: ZoneLease::default(),
            granting: BTreeSet::new(),
            zone: setup.zone.clone(),
            zones: setup.zones.clone(),
            takeover_delay: setup.takeover_delay,
            tickets: 0,
            waiters: HashMap::new(),
            weights: BTreeMap::new(),
            streams,
            end: None,
        }
    }

    pub(super) async fn run(&mut self, queue: &mut mpsc::UnboundedReceiver<Job>) -> End {
        self.input(Input::Wake);
        let mut batch = Vec::with_capacity(MAX_BATCH);
        let mut stop_at = None;
        loop {
            let now = self.clock.now();
            if let Some(end) = self.end {
                return end;
            }
            if stop_at.is_some_and(|at| now >= at || !self.control.leads(now)) {
                return End::Stopped;
            }
            let wake = stop_at.map_or(self.next_log, |at| self.next_log.min(at));
            let wake = wake.min(self.next_seeds).min(self.next_renew);
            let wake = wake.min(self.next_owner);
            let wake = self.zone_owner.next_due().map_or(wake, |at| wake.min(at));
            tokio::select! {
                count = queue.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return End::Stopped;
                    }
                }
                () = sleep_until(self.clock.instant(wake)) => {}
            }
            batch.sort_by_key(Job::rank);
            for job in batch.drain(..) {
                if matches!(job, Job::Stop) {
                    event!(telemetry::Event::DrainBegun);
                    self.input(Input::HandOver);
                    stop_at = Some(self.clock.now() + HANDOVER_TIMEOUT);
                } else {
                    self.handle_job(job);
                }
            }
            self.run_timers();
            self.run_owner();
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        if now >= self.next_log {
            self.next_log = now + SEEDS_INTERVAL;
            self.input(Input::Wake);
        }
        if now >= self.next_seeds {
            self.next_seeds = now + SEEDS_INTERVAL;
            self.log_store();
            self.log_weights();
            self.log_software();
            self.count_suspects();
            self.tally.expire(now);
            self.admission.expire(now);
            let leader = self.control.replica().leader().is_some();
            self.sharers.leader(now, leader);
            if let Some(seeds) = (self.platform.read_seeds)() {
                let peers = seeds.into_iter().map(names::instance_name).collect();
                self.input(Input::Peers { peers });
            }
        }
        if now >= self.next_renew {
            let idle = self.zone_lease.zones(now).is_empty();
            self.next_renew = now
                + if idle {
                    RENEW_INTERVAL_IDLE
                } else {
                    RENEW_INTERVAL
                };
            self.renew(now);
        }
        if now >= self.next_list {
            self.next_list = now + LIST_INTERVAL;
            for zone in self.zone_lease.zones(now) {
                self.read_list(zone);
            }
        }
        if now >= self.next_owner {
            self.next_owner = now + OWNER_INTERVAL;
            self.owner_input(zone_owner::Input::Wake);
        }
    }

    fn count_suspects(&self) {
        let register = self.control.crash_register();
        prom_metrics().suspects(register.suspects());
        prom_metrics().held_requests(register.held());
    }

    fn handle_job(&mut self, job: Job) {
        match job {
            Job::Input(input) => self.input(input),
            Job::ZoneOwner(input) => self.owner_input(input),
            Job::Call { call, to } => self.call(call, to),
            Job::Listed { zone, asked, list } => self.listed(zone, asked, list),
            Job::Renewed { asked, zones } => self.renewed(asked, zones),
            Job::SoftwareNoted {
                asked,
                zones,
                versions,
            } => self.software_noted(asked, zones, versions),
            Job::Change { change, to } => {
                let ticket = self.wait(Waiter::Change(to));
                self.input(Input::Publish {
                    ticket,
                    what: change,
                });
            }
            Job::Newest(to) => {
                to.send(self.newest()).ok();
            }
            Job::Stop => {}
        }
    }

    /// Returns the newest edition, of which all who read it share one copy.
    fn newest(&mut self) -> Result<Option<Arc<Edition>>, CallOutcome> {
        // Failure: this instance was cut off, and another one leads and has accepted
        // newer editions. Only a leader whose lease is running knows the newest one.
        if !self.control.leads(self.clock.now()) {
            return Err(CallOutcome::NotLeader(self.leader_ip()));
        }
        let newest = self.control.state().editions().newest();
        let number = newest.map(|edition| edition.number);
        if self.read.as_ref().map(|read| read.number) != number {
            self.read = newest.cloned().map(Arc::new);
        }
        Ok(self.read.clone())
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
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Reply { ticket, reply } => {
                if let Some(Waiter::Call(to)) = self.waiters.remove(&ticket) {
                    to.send(reply).ok();
                }
            }
            Output::Published { ticket, result } => match self.waiters.remove(&ticket) {
                Some(Waiter::Change(to)) => {
                    to.send(self.call_outcome(result)).ok();
                }
                Some(Waiter::Zone(zone)) => {
                    self.granting.remove(&zone);
                    self.next_renew = Time::ZERO;
                }
                Some(Waiter::Software(to)) => {
                    let reply = match result {
                        Ok(_) => self.software_in_log(),
                        Err(_) => Reply::Redirect { leader: None },
                    };
                    to.send(reply).ok();
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
            Output::Wake(at) => self.next_log = at,
            Output::Event(event) => self.handle_event(event),
            // Texts of brands and membership changes by operators aren't used in this
            // deployment: nothing requests them.
            Output::Applied { .. } | Output::Forward { .. } | Output::Members { .. } => {}
        }
    }

    fn call_outcome(&self, result: Result<control::PublishOutcome, NotPublished>) -> CallOutcome {
        match result {
            Ok(_) => CallOutcome::Done,
            Err(NotPublished::Elsewhere { leader }) => {
                let address = leader.and_then(|name| names::instance_address(&name, self.port));
                CallOutcome::NotLeader(address.map(|a| a.ip()))
            }
            Err(NotPublished::Busy) => CallOutcome::Busy,
            Err(NotPublished::Unknown) => CallOutcome::Unknown,
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
            // The log itself sends a lost message again.
            links.to(address).call(call, MESSAGE_TIMEOUT).await.ok();
        });
    }

    fn handle_event(&mut self, event: Event) {
        use telemetry::Event as Line;
        match event {
            Event::Leads { term } => {
                event!(Line::LeaderElected, term = term);
                self.granter.lead(self.clock.now());
                self.next_renew = Time::ZERO;
            }
            Event::Follows => {
                event!(Line::LeaderLost);
                self.granter.follow();
            }
            Event::Published => self.editions_changed(),
            Event::Quarantine(change) => daemon::log_quarantine(&change, "log"),
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
