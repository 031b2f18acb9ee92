//! One control instance as a plain value: inputs go in, outputs come out.

mod answer;
mod calls;
mod crashes;
mod drive;
mod io;
mod query;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use base::{InstanceName, PerSecond, Ticket, Time};
use owner::{Change, Grantor, InstanceId};
use quarantine::Register;
use replog::{Index, Replica, Term};
use wire::call::{Reply, Share};

pub use self::io::{Event, Input, NotPublished, Output};
use self::{answer::Waiting, io::Requester};
use crate::{Command, Item, Limits, Outcome, State, What};

/// Number of claims that may wait for the log at once; further requesters are told to
/// retry later.
const CLAIM_QUEUE_MAX: usize = 4_096;
/// Number of claims in one command of the log.
const CLAIM_BATCH_MAX: usize = 256;
/// An entry instance not heard from for this long is taken for dead: its claims may have
/// run.
const CLAIMER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks for unresponsive claimers. Each check goes through all
/// claims under way, so it runs less often than the other checks.
const CLAIMER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay given to requesters: about the duration of an election.
const RETRY_MS: u64 = 1_000;

/// Settings of a control instance, besides those of its replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time limits of leases.
    pub owner: owner::Config,
    /// Limits on what is remembered of claims. Must be the same at every control
    /// instance; read only while the log is empty.
    pub limits: Limits,
    /// Interval at which the leader checks for changes to propose.
    pub check_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            owner: owner::Config::default(),
            limits: Limits::default(),
            check_interval: Duration::from_millis(200),
        }
    }
}

/// What a control instance needs to know of a valid configuration text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checked {
    /// Load rate that the weight store allows, per second.
    pub rate: PerSecond,
}

/// Checks a configuration text; returns errors for the operator.
pub type Check = Box<dyn Fn(&str) -> Result<Checked, Vec<String>> + Send>;

/// One control instance.
pub struct Control {
    config: Config,
    check: Check,
    replica: Replica,
    state: State,
    grantor: Grantor,
    /// Requests that crash targets: the evidence, and the verdicts in the log.
    crash_register: Register,
    /// Whether verdicts in the log have changed since the register took them over.
    verdicts_changed: bool,
    /// The shares of brands that each entry instance last reported.
    shares: BTreeMap<InstanceName, Vec<Share>>,
    /// The term in which this instance leads and may act as the leader.
    leading: Option<Term>,
    /// When this instance began to lead, and the time on the state clock then.
    leading_since: (Time, u64),
    /// Local time of the last reading of the wall clock, and that reading in milliseconds
    /// since 1970.
    wall: (Time, u64),
    /// Ticket of the last proposal.
    last_ticket: u64,
    /// Who waits for each proposal, by its ticket.
    waiting: BTreeMap<u64, Waiting>,
    /// Proposals with a known index whose command is not applied yet.
    acknowledged: BTreeMap<Index, u64>,
    /// Outcomes of commands whose proposal is not acknowledged yet.
    outcomes: BTreeMap<Index, Outcome>,
    /// Claims and outcomes that wait for the next command with claims.
    claim_queue: VecDeque<(Option<Ticket>, Item)>,
    /// Whether a command with claims is under way.
    claiming: bool,
    /// When the leader next checks for changes to propose.
    next_check: Time,
    /// When the leader last checked for unresponsive claimers.
    claimers_checked: Time,
    /// When the replica has to be woken.
    replica_wake: Option<Time>,
    /// The time of the last [`Output::Wake`].
    requested_wake: Option<Time>,
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control")
            .field("id", self.replica.id())
            .field("leads", &self.leading)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Creates a control instance around the replica restored from its disk.
    #[must_use]
    pub fn new(config: Config, replica: Replica, check: Check) -> Self {
        Control {
            state: State::with_limits(config.limits.clone()),
            grantor: Grantor::new(config.owner),
            crash_register: Register::default(),
            verdicts_changed: false,
            shares: BTreeMap::new(),
            config,
            check,
            replica,
            leading: None,
            leading_since: (Time::ZERO, 0),
            wall: (Time::ZERO, 0),
            last_ticket: 0,
            waiting: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            claim_queue: VecDeque::new(),
            claiming: false,
            next_check: Time::ZERO,
            claimers_checked: Time::ZERO,
            replica_wake: None,
            requested_wake: None,
        }
    }

    /// Handles one input and appends the resulting outputs to `out`, in order.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.update_role(now, out);
        self.dispatch(now, input, out);
        self.update_role(now, out);
        self.propose_due(now, out);
        self.flush_claims(now, out);
        if std::mem::take(&mut self.verdicts_changed) {
            self.verdicts_logged(now, out);
        }
        self.request_wake(out);
    }

    /// Returns the replicated state as far as it has been applied here.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the replica of the log.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the evidence against requests that crash targets, and the verdicts.
    #[must_use]
    pub fn crash_register(&self) -> &Register {
        &self.crash_register
    }

    /// Returns whether this instance may act as the leader at `now`.
    #[must_use]
    pub fn leads(&self, now: Time) -> bool {
        self.replica.leads(now)
    }

    fn dispatch(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Call { ticket, call } => self.on_call(now, ticket, call, out),
            Input::Apply { ticket, apply } => {
                self.on_apply(now, Requester::Operator(ticket), apply, out)
            }
            Input::Forwarded { ticket, reply } => self.on_forwarded(ticket, reply, out),
            Input::Synced { upto } => self.drive(now, replog::Input::Synced { upto }, out),
            Input::WriteFailed { no } => self.drive(now, replog::Input::WriteFailed { no }, out),
            Input::Space { full } => self.drive(now, replog::Input::Space { full }, out),
            Input::Crashes(report) => self.add_evidence(now, &report, out),
            Input::Publish { ticket, what } => self.on_publish(now, ticket, what, out),
            Input::Peers { peers } => self.drive(now, replog::Input::Peers { peers }, out),
            Input::List { instances } => self.grantor.set_list(instances),
            Input::Wall { ms } => self.wall = (now, ms),
            Input::AddReplica { ticket, id } => {
                let ticket = self.register(Waiting::Members(ticket));
                self.drive(now, replog::Input::AddReplica { ticket, id }, out);
            }
            Input::RemoveReplica { ticket, id } => {
                let ticket = self.register(Waiting::Members(ticket));
                self.drive(now, replog::Input::RemoveReplica { ticket, id }, out);
            }
            Input::HandOver => self.drive(now, replog::Input::TransferLeadership, out),
            Input::Wake => self.drive(now, replog::Input::Wake, out),
        }
    }

    /// Handles the beginning and the end of this instance's leadership.
    ///
    /// Guard: between two inputs this instance may have lost leadership and won it again.
    /// Another leader may have granted leases meanwhile, so what this instance remembers
    /// of granted leases is discarded: each leadership starts without it and waits until
    /// older leases have ended.
    fn update_role(&mut self, now: Time, out: &mut Vec<Output>) {
        let leads = self.replica.leads(now).then(|| self.replica.term());
        if leads == self.leading {
            return;
        }
        self.leading = leads;
        if let Some(term) = leads {
            base::hit!(leadership_begins);
            self.leading_since = (now, self.state.at());
            self.grantor.lead(now);
            out.push(Output::Event(Event::Leads { term }));
            return;
        }
        self.grantor.follow();
        out.push(Output::Event(Event::Follows));
        let leader = self.other_leader();
        for (ticket, _) in std::mem::take(&mut self.claim_queue) {
            if let Some(ticket) = ticket {
                let leader = leader.clone();
                let reply = Reply::Redirect { leader };
                out.push(Output::Reply { ticket, reply });
            }
        }
    }

    /// Proposes the changes that are due, if this instance leads.
    fn propose_due(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.leading.is_none() {
            return;
        }
        if now >= self.next_check {
            self.next_check = now + self.config.check_interval;
            let mut changes = Vec::new();
            self.grantor.wake(now, self.state.table(), &mut changes);
            self.propose_changes(now, changes, out);
            self.judge(now, out);
        }
        if now.since(self.claimers_checked) < CLAIMER_CHECK_INTERVAL {
            return;
        }
        self.claimers_checked = now;
        for id in self.unresponsive_claimers(now) {
            self.propose(now, What::Lapse(id), Waiting::Nobody, out);
        }
    }

    fn unresponsive_claimers(&self, now: Time) -> Vec<InstanceId> {
        let members = self.state.table().members();
        let claimers = self.state.claims().claimers().into_iter();
        let unresponsive =
            claimers.filter(|name| self.grantor.silence(now, name) > CLAIMER_TIMEOUT);
        let ids = unresponsive.filter_map(|name| {
            let incarnation = members.get(name)?.incarnation;
            let instance = name.clone();
            Some(InstanceId {
                instance,
                incarnation,
            })
        });
        ids.collect()
    }

    fn propose_changes(&mut self, now: Time, changes: Vec<Change>, out: &mut Vec<Output>) {
        for change in changes {
            self.propose(now, What::Owner(change), Waiting::Nobody, out);
        }
    }

    /// Returns the time on the state clock by which this instance proposes commands as the
    /// leader, in milliseconds.
    #[must_use]
    pub fn state_clock(&self, now: Time) -> u64 {
        self.leading_since.1 + millis(now.since(self.leading_since.0))
    }

    fn propose(&mut self, now: Time, what: What, waiting: Waiting, out: &mut Vec<Output>) {
        let command = Command {
            at: self.state_clock(now),
            wall: self.wall.1 + millis(now.since(self.wall.0)),
            what,
        };
        let ticket = self.register(waiting);
        let command = command.encode().into();
        self.drive(now, replog::Input::Propose { ticket, command }, out);
    }

    fn register(&mut self, waiting: Waiting) -> u64 {
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, waiting);
        self.last_ticket
    }

    /// Adds a claim or an outcome to the next command with claims.
    fn enqueue(&mut self, ticket: Ticket, item: Item) {
        self.claim_queue.push_back((Some(ticket), item));
    }

    /// Proposes the waiting claims, unless a command with claims is under way: all claims
    /// that arrive until it is applied share the next one.
    fn flush_claims(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.claiming || self.claim_queue.is_empty() || self.leading.is_none() {
            return;
        }
        self.claiming = true;
        let count = self.claim_queue.len().min(CLAIM_BATCH_MAX);
        let (tickets, items) = self.claim_queue.drain(..count).unzip();
        self.propose(now, What::Claims(items), Waiting::Claims(tickets), out);
    }

    fn request_wake(&mut self, out: &mut Vec<Output>) {
        let check = self.leading.map(|_| self.next_check);
        let wake = [self.replica_wake, check].into_iter().flatten().min();
        if let Some(at) = wake
            && self.requested_wake != wake
        {
            self.requested_wake = wake;
            out.push(Output::Wake(at));
        }
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
