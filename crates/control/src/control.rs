//! One control instance as one plain value.

mod answer;
mod calls;
mod drive;
mod io;
mod query;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use base::{InstanceName, PerSecond, Ticket, Time};
use owner::{Change, Grantor, Life};
use replog::{Index, Replica, Term};
use wire::call::{Reply, Share};

pub use self::io::{Event, Input, Output, Unnamed};
use self::{answer::Waiting, io::Asker};
use crate::{Command, Item, Limits, Outcome, State, What};

/// Claims that may wait for the log at once; beyond, callers come back later.
const QUEUE_MAX: usize = 4_096;
/// Claims in one write of the log.
const BATCH_MAX: usize = 256;
/// A claimer silent for so long is taken for dead: its claims may have run.
const CLAIMER_SILENT: Duration = Duration::from_secs(10);
/// How often claimers are looked at; each look goes through all open claims.
const CLAIMERS_EVERY: Duration = Duration::from_secs(1);
/// When to come back where no leader is known: about one election.
const RETRY_MS: u64 = 1_000;

/// Settings of a control instance beside those of its replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Times of leases.
    pub owner: owner::Config,
    /// How much of claims is remembered; the same at every control instance,
    /// and read only while the log is empty.
    pub limits: Limits,
    /// How often the leader looks for what is due.
    pub tick: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            owner: owner::Config::default(),
            limits: Limits::default(),
            tick: Duration::from_millis(200),
        }
    }
}

/// What the control instance needs to know of a checked text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checked {
    /// Loads a second that the weight store allows.
    pub rate: PerSecond,
}

/// Checks a text; errors are for operators.
pub type Check = Box<dyn Fn(&str) -> Result<Checked, Vec<String>> + Send>;

/// One control instance.
pub struct Control {
    config: Config,
    check: Check,
    replica: Replica,
    state: State,
    grantor: Grantor,
    /// What each instance last said of brands' shares.
    shares: BTreeMap<InstanceName, Vec<Share>>,
    /// The term in which this instance leads and may act on it.
    leads: Option<Term>,
    /// When it began to, and the state's clock then.
    began: (Time, u64),
    /// The wall clock, and when it was read.
    wall: (Time, u64),
    next: u64,
    waiting: BTreeMap<u64, Waiting>,
    /// Proposals whose index is known but whose command isn't applied yet.
    acked: BTreeMap<Index, u64>,
    /// Outcomes of commands whose proposals aren't answered yet.
    done: BTreeMap<Index, Outcome>,
    queue: VecDeque<(Option<Ticket>, Item)>,
    claiming: bool,
    /// When the leader looks next for what is due.
    tick: Time,
    looked: Time,
    replica_wake: Option<Time>,
    told_wake: Option<Time>,
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control")
            .field("id", self.replica.id())
            .field("leads", &self.leads)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Makes a control instance around the replica that its disk gives.
    #[must_use]
    pub fn new(config: Config, replica: Replica, check: Check) -> Self {
        Control {
            state: State::with_limits(config.limits.clone()),
            grantor: Grantor::new(config.owner),
            shares: BTreeMap::new(),
            config,
            check,
            replica,
            leads: None,
            began: (Time::ZERO, 0),
            wall: (Time::ZERO, 0),
            next: 0,
            waiting: BTreeMap::new(),
            acked: BTreeMap::new(),
            done: BTreeMap::new(),
            queue: VecDeque::new(),
            claiming: false,
            tick: Time::ZERO,
            looked: Time::ZERO,
            replica_wake: None,
            told_wake: None,
        }
    }

    /// Takes one input and appends what has to be done about it, in order.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.follow_role(now, out);
        self.dispatch(now, input, out);
        self.follow_role(now, out);
        self.look(now, out);
        self.flush_claims(now, out);
        self.set_wake(out);
    }

    /// Returns the replicated state as far as it is known here.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the replica of the log.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Tells whether this instance may act as the leader at `now`.
    #[must_use]
    pub fn leads(&self, now: Time) -> bool {
        self.replica.leads(now)
    }

    fn dispatch(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Call { ticket, call } => self.on_call(now, ticket, call, out),
            Input::Apply { ticket, apply } => {
                self.on_apply(now, Asker::Operator(ticket), apply, out)
            }
            Input::Passed { ticket, reply } => self.on_passed(ticket, reply, out),
            Input::Synced { upto } => self.drive(now, replog::Input::Synced { upto }, out),
            Input::WriteFailed { no } => self.drive(now, replog::Input::WriteFailed { no }, out),
            Input::Space { full } => self.drive(now, replog::Input::Space { full }, out),
            Input::Name { ticket, what } => self.on_named(now, ticket, what, out),
            Input::Peers { peers } => self.drive(now, replog::Input::Peers { peers }, out),
            Input::List { instances } => self.grantor.set_list(instances),
            Input::Wall { ms } => self.wall = (now, ms),
            Input::AddReplica { ticket, id } => {
                let ticket = self.wait(Waiting::Members(ticket));
                self.drive(now, replog::Input::AddReplica { ticket, id }, out);
            }
            Input::RemoveReplica { ticket, id } => {
                let ticket = self.wait(Waiting::Members(ticket));
                self.drive(now, replog::Input::RemoveReplica { ticket, id }, out);
            }
            Input::HandOver => self.drive(now, replog::Input::TransferLeadership, out),
            Input::Wake => self.drive(now, replog::Input::Wake, out),
        }
    }

    /// Notices the beginning and the end of this instance's leadership.
    ///
    /// Guard: between two inputs this instance may have lost and won
    /// leadership again. What it remembers of leases granted is worthless as
    /// soon as another may have granted some; each leadership starts anew and
    /// waits out what is older.
    fn follow_role(&mut self, now: Time, out: &mut Vec<Output>) {
        let leads = self.replica.leads(now).then(|| self.replica.term());
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        if let Some(term) = leads {
            base::hit!(leadership_begins);
            self.began = (now, self.state.at());
            self.grantor.lead(now);
            out.push(Output::Event(Event::Leads { term }));
            return;
        }
        self.grantor.follow();
        out.push(Output::Event(Event::Follows));
        let leader = self.other_leader();
        for (ticket, _) in std::mem::take(&mut self.queue) {
            if let Some(ticket) = ticket {
                let leader = leader.clone();
                let reply = Reply::Elsewhere { leader };
                out.push(Output::Reply { ticket, reply });
            }
        }
    }

    /// Proposes what the leader finds due.
    fn look(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.leads.is_none() {
            return;
        }
        if now >= self.tick {
            self.tick = now + self.config.tick;
            let mut changes = Vec::new();
            self.grantor.wake(now, self.state.table(), &mut changes);
            self.propose_changes(now, changes, out);
        }
        if now.since(self.looked) < CLAIMERS_EVERY {
            return;
        }
        self.looked = now;
        for life in self.silent_claimers(now) {
            self.propose(now, What::Lapse(life), Waiting::Nobody, out);
        }
    }

    fn silent_claimers(&self, now: Time) -> Vec<Life> {
        let members = self.state.table().members();
        let claimers = self.state.claims().claimers().into_iter();
        let silent = claimers.filter(|name| self.grantor.silence(now, name) > CLAIMER_SILENT);
        let lives = silent.filter_map(|name| {
            let incarnation = members.get(name)?.incarnation;
            let instance = name.clone();
            Some(Life {
                instance,
                incarnation,
            })
        });
        lives.collect()
    }

    fn propose_changes(&mut self, now: Time, changes: Vec<Change>, out: &mut Vec<Output>) {
        for change in changes {
            self.propose(now, What::Owner(change), Waiting::Nobody, out);
        }
    }

    fn propose(&mut self, now: Time, what: What, waiting: Waiting, out: &mut Vec<Output>) {
        let command = Command {
            at: self.began.1 + millis(now.since(self.began.0)),
            wall: self.wall.1 + millis(now.since(self.wall.0)),
            what,
        };
        let ticket = self.wait(waiting);
        let command = command.encode().into();
        self.drive(now, replog::Input::Propose { ticket, command }, out);
    }

    fn wait(&mut self, waiting: Waiting) -> u64 {
        self.next += 1;
        self.waiting.insert(self.next, waiting);
        self.next
    }

    /// Puts a claim or an outcome into the next write of the log.
    fn enqueue(&mut self, ticket: Ticket, item: Item) {
        self.queue.push_back((Some(ticket), item));
    }

    /// Proposes the claims that wait, unless a write of claims is under way:
    /// all that arrive in the meantime share the next one.
    fn flush_claims(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.claiming || self.queue.is_empty() || self.leads.is_none() {
            return;
        }
        self.claiming = true;
        let count = self.queue.len().min(BATCH_MAX);
        let (tickets, items) = self.queue.drain(..count).unzip();
        self.propose(now, What::Claims(items), Waiting::Claims(tickets), out);
    }

    fn set_wake(&mut self, out: &mut Vec<Output>) {
        let tick = self.leads.map(|_| self.tick);
        let wake = [self.replica_wake, tick].into_iter().flatten().min();
        if let Some(at) = wake
            && self.told_wake != wake
        {
            self.told_wake = wake;
            out.push(Output::Wake(at));
        }
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
