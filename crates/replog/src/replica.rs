//! The replica: state, dispatch of inputs, and roles.

mod election;
mod follow;
mod found;
mod grace;
mod lead;
mod members;
mod piece;
mod progress;
mod restored;
mod send;
mod writes;

use base::{Bytes, StableHash, Time, stable_hash};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::restored::Restored;
use self::{
    election::Votes, follow::Follow, found::Founding, grace::Grace, lead::Leader, writes::Writes,
};
use crate::{
    HaltReason, Index, Input, Message, Output, Outputs, Payload, Record, RejectReason, Rejected,
    ReplicaId, Settings, Term,
    journal::{Journal, entry_size},
};

/// One replica of the log: a state machine without I/O, driven by [`Replica::handle`].
#[derive(Clone, Debug)]
pub struct Replica {
    settings: Settings,
    rng: ChaCha8Rng,
    term: Term,
    voted: Option<ReplicaId>,
    journal: Journal,
    writes: Writes,
    commit: Index,
    applied: Index,
    role: Role,
    leader: Option<ReplicaId>,
    /// When the leader was last heard from. For an election timeout after it, this
    /// replica grants no vote.
    heard: Option<Time>,
    /// When to start an election.
    deadline: Time,
    /// Elections started since a leader was last heard from.
    attempts: u32,
    /// The grace period after a restart, while it lasts.
    grace: Option<Grace>,
    follow: Follow,
    founding: Founding,
    /// The index of the snapshot requested from the state machine.
    pending_snapshot: Option<Index>,
    /// Bytes of entries applied since a snapshot was last requested or installed.
    applied_bytes: Bytes,
    full: bool,
    halted: Option<HaltReason>,
    started: bool,
    reported: Reported,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate(Votes),
    Leader(Box<Leader>),
}

/// The outputs reported last; only changes are reported again.
#[derive(Clone, Debug, Default)]
struct Reported {
    wake: Option<Time>,
    leader: Option<ReplicaId>,
    leading: bool,
}

impl Replica {
    /// Creates a replica from the content of its disk. Its first input should be
    /// [`Input::Wake`].
    #[must_use]
    pub fn new(settings: Settings, restored: Restored) -> Self {
        let seed = seed_of(&settings);
        let journal = Journal::new(restored.base, restored.entries);
        let applied = journal.base_index();
        Replica {
            rng: ChaCha8Rng::seed_from_u64(seed),
            term: restored.term,
            voted: restored.voted,
            writes: Writes::new(journal.last().index),
            commit: applied,
            applied,
            role: Role::Follower,
            leader: None,
            heard: None,
            deadline: Time::ZERO,
            attempts: 0,
            grace: None,
            follow: Follow::default(),
            founding: Founding::default(),
            pending_snapshot: None,
            applied_bytes: Bytes(0),
            full: false,
            halted: None,
            started: false,
            reported: Reported::default(),
            journal,
            settings,
        }
    }

    /// Processes one input and appends the resulting outputs, in order.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Outputs) {
        if self.halted.is_some() {
            refuse(input, out);
            return;
        }
        if !self.started {
            self.start(now, out);
        }
        self.check_quorum(now, out);
        self.dispatch(now, input, out);
        if self.halted.is_some() {
            return;
        }
        self.tick(now, out);
        self.finish_input(now, out);
        self.report(out);
    }

    /// Returns whether this replica may act as the leader at `now`: it has won an
    /// election, has applied all entries committed before, and holds a lease from a
    /// quorum.
    #[must_use]
    pub fn leads(&self, now: Time) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        // A leader that was partitioned, or whose process was suspended, still considers
        // itself leader of its term after another one has been elected. Followers refuse
        // votes for an election timeout after they answered a heartbeat round. The lease
        // is shorter by the drift margin and counts from the start of the round, so it
        // expires before any of them can elect another leader.
        let leased = |contact| now < contact + self.settings.lease;
        let held = self.quorum_contact(leader, now).is_some_and(leased);
        if !held {
            base::hit!(lease_lapsed);
        }
        held && self.halted.is_none() && self.applied >= leader.noop
    }

    /// Returns the leader as far as known.
    #[must_use]
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns this replica's identity.
    #[must_use]
    pub fn id(&self) -> &ReplicaId {
        self.settings.id()
    }

    /// Returns the newest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the last index known to be committed.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the membership as of the end of the log; `None` before the log is founded.
    #[must_use]
    pub fn members(&self) -> Option<&crate::Members> {
        self.journal.members()
    }

    /// Returns whether the newest membership change is known to be committed.
    #[must_use]
    pub fn membership_committed(&self) -> bool {
        self.journal.members_index() <= self.commit
    }

    /// Returns why the replica has stopped, if it has.
    #[must_use]
    pub fn halted(&self) -> Option<HaltReason> {
        self.halted
    }

    fn start(&mut self, now: Time, out: &mut Outputs) {
        self.started = true;
        self.reset_election_timer(now);
        if let Some(base) = self.journal.base()
            && base.at.index > Index(0)
        {
            out.push(Output::Restore {
                index: base.at.index,
                data: base.data.clone(),
            });
        }
        if self.log_is_empty() {
            self.deadline = now;
            return;
        }
        self.begin_grace(now);
    }

    fn dispatch(&mut self, now: Time, input: Input, out: &mut Outputs) {
        match input {
            Input::Received { from, message } => self.receive(now, &from, message, out),
            Input::Propose { ticket, command } => {
                self.propose(ticket, Payload::Command(command), out);
            }
            Input::Synced { upto } => self.synced(now, upto, out),
            Input::WriteFailed { .. } => {
                // After a failed sync the kernel may drop the dirty pages and report
                // success for the next sync, so a retry would acknowledge data that is
                // not on disk. The replica halts instead, and the majority continues
                // without it.
                base::hit!(halted_by_write);
                self.halt(HaltReason::WriteFailed, out);
            }
            Input::Space { full } => self.full = full,
            Input::Wake => {}
            Input::Snapshot { index, data } => self.snapshot_taken(index, data, out),
            Input::AddReplica { ticket, id } => self.add_replica(now, Some(ticket), id, out),
            Input::RemoveReplica { ticket, id } => self.remove_replica(now, ticket, &id, out),
            Input::Peers { peers } => self.settings.raw.peers = peers,
            Input::TransferLeadership => self.transfer_leadership(now),
        }
    }

    fn receive(&mut self, now: Time, from: &ReplicaId, message: Message, out: &mut Outputs) {
        if from == self.id() {
            return;
        }
        match message {
            Message::Join => self.join(now, from, out),
            Message::Ask { instances } => self.founding.named.extend(instances),
            Message::Found { members } => self.found(from, members, out),
            Message::Founded { members } => self.founded(now, from, &members),
            Message::Vote { term, kind, last } => self.vote(now, from, (term, kind), last, out),
            Message::VoteReply {
                term,
                kind,
                granted,
            } => self.vote_reply(now, from, (term, kind), granted, out),
            Message::Append {
                term, incarnation, ..
            }
            | Message::Piece {
                term, incarnation, ..
            }
            | Message::Chunk {
                term, incarnation, ..
            } => {
                // A message for another incarnation shows that the leader doesn't know
                // this one yet.
                if incarnation == self.id().incarnation && self.accept_leader(now, from, term, out)
                {
                    self.follow(from, message, out);
                }
            }
            Message::AppendReply { term, .. }
            | Message::PieceReply { term, .. }
            | Message::ChunkReply { term, .. } => {
                if term > self.term {
                    self.step_down(now, term, out);
                } else if term == self.term {
                    self.follower_replied(now, from, message, out);
                }
            }
            Message::TimeoutNow { term } => self.timeout_now(now, from, term, out),
            Message::Leading { number } => self.answer_leading(from, number, out),
            Message::Idle { number } => self.record_idle(now, from, number),
            Message::Removed { id } => {
                if id == *self.id() {
                    base::hit!(removed_halts);
                    self.halt(HaltReason::Removed, out);
                }
            }
        }
    }

    fn synced(&mut self, now: Time, upto: crate::WriteNo, out: &mut Outputs) {
        self.writes.synced(upto, out);
        match &self.role {
            Role::Follower => self.report_durable(out),
            Role::Candidate(_) => self.count_own_vote(now, upto, out),
            Role::Leader(_) => self.advance_commit(out),
        }
    }

    /// Emits the writes, messages and commits that an input has caused.
    fn finish_input(&mut self, now: Time, out: &mut Outputs) {
        // While a write is in flight, a leader's proposals wait for the next one: on a
        // slow disk, one sync then makes many of them durable.
        let wait = matches!(self.role, Role::Leader(_)) && self.writes.should_batch();
        if !wait {
            self.writes.flush(self.journal.last().index, out);
        }
        self.replicate(out);
        self.finish_transfer(now, out);
    }

    fn report(&mut self, out: &mut Outputs) {
        let leading = matches!(self.role, Role::Leader(_));
        if (&self.reported.leader, self.reported.leading) != (&self.leader, leading) {
            self.reported.leader.clone_from(&self.leader);
            self.reported.leading = leading;
            out.push(Output::Role {
                leader: self.leader.clone(),
                leading,
            });
        }
        let at = self.next_wake();
        if self.reported.wake != Some(at) {
            self.reported.wake = Some(at);
            out.push(Output::Wake { at });
        }
    }

    fn tick(&mut self, now: Time, out: &mut Outputs) {
        if matches!(self.role, Role::Leader(_)) {
            self.heartbeat(now, out);
            return;
        }
        self.query_voters(now, out);
        if now < self.deadline {
            return;
        }
        if self.is_voter() && !self.log_is_empty() {
            self.campaign(now, crate::VoteKind::Pre, out);
        } else {
            self.request_join(now, out);
        }
    }

    fn next_wake(&self) -> Time {
        match &self.role {
            Role::Leader(leader) => leader.next_wake(),
            _ => {
                let ask = self.grace_wake().unwrap_or(self.deadline);
                ask.min(self.deadline)
            }
        }
    }

    /// Becomes a follower in `term` with no known leader.
    fn step_down(&mut self, now: Time, term: Term, out: &mut Outputs) {
        self.become_follower(now, term, None, out);
    }

    fn become_follower(
        &mut self,
        now: Time,
        term: Term,
        leader: Option<ReplicaId>,
        out: &mut Outputs,
    ) {
        if term > self.term {
            self.set_term(term, None);
        }
        if leader.is_some() {
            self.grace = None;
            self.attempts = 0;
        }
        if self.leader != leader {
            self.leader = leader;
            self.follow = Follow::default();
        }
        if !matches!(self.role, Role::Follower) {
            let role = std::mem::replace(&mut self.role, Role::Follower);
            self.reset_election_timer(now);
            self.answer_unknown(role, out);
        }
    }

    /// Answers a leader's open proposals when it loses its term.
    ///
    /// Its entries may be on a majority, and the next leader may commit them. Reporting
    /// "not accepted" could turn out false, and an operator who repeats the change would
    /// make it twice.
    fn answer_unknown(&self, role: Role, out: &mut Outputs) {
        let Role::Leader(leader) = role else { return };
        for ticket in leader.tickets() {
            base::hit!(unknown_on_lost_term);
            out.push(Output::Proposed {
                ticket,
                result: Err(Rejected::Unknown {
                    leader: self.leader.clone(),
                }),
            });
        }
    }

    fn set_term(&mut self, term: Term, voted: Option<ReplicaId>) {
        if term > self.term {
            self.follow = Follow::default();
        }
        self.term = term;
        self.voted.clone_from(&voted);
        self.writes.push(Record::Vote { term, voted });
    }

    fn halt(&mut self, reason: HaltReason, out: &mut Outputs) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.leader = None;
        self.answer_unknown(role, out);
        self.halted = Some(reason);
        self.report(out);
        out.push(Output::Halted { reason });
    }

    /// Resets the election timer, with jitter so that two followers seldom start an
    /// election at once.
    fn reset_election_timer(&mut self, now: Time) {
        let election = self.settings.raw.election;
        let jitter = self.rng.random_range(0..election.as_micros() as u64);
        self.deadline = now + election + std::time::Duration::from_micros(jitter);
    }

    /// Applies the committed entries.
    fn apply(&mut self, out: &mut Outputs) {
        while self.applied < self.commit && self.halted.is_none() {
            let Some(entry) = self.journal.get(self.applied.next()).cloned() else {
                return;
            };
            self.applied = entry.at.index;
            self.applied_bytes = Bytes(self.applied_bytes.get() + entry_size(&entry));
            match entry.payload {
                Payload::Noop => {}
                Payload::Command(command) => out.push(Output::Apply {
                    index: entry.at.index,
                    term: entry.at.term,
                    command,
                }),
                Payload::Members(ref members) => self.members_committed(members, out),
            }
            self.answer(out);
            self.ask_snapshot(out);
        }
    }

    /// Answers the proposal of the entry applied last.
    fn answer(&mut self, out: &mut Outputs) {
        let index = self.applied;
        if let Role::Leader(leader) = &mut self.role
            && let Some(ticket) = leader.take_ticket(index)
        {
            out.push(Output::Proposed {
                ticket,
                result: Ok(index),
            });
        }
    }

    /// Requests a snapshot once enough entries or bytes have been applied.
    ///
    /// Failure: entries of some megabytes fill the disk long before the entry count is
    /// reached. All replicas hold the same entries, so all disks are full at once, no
    /// majority can write, and no change is acknowledged any more. Bytes are counted as
    /// entries are applied, so applied entries in the file exceed the limit by at most
    /// one entry; entries that are not applied yet are bounded by the backlog.
    fn ask_snapshot(&mut self, out: &mut Outputs) {
        if self.pending_snapshot.is_some() {
            return;
        }
        let raw = &self.settings.raw;
        let entries = self.applied.get() - self.journal.base_index().get();
        let heavy = self.applied_bytes >= raw.compact_bytes;
        if entries < raw.compact && !heavy {
            return;
        }
        if heavy {
            base::hit!(compacted_by_bytes);
        }
        self.pending_snapshot = Some(self.applied);
        self.applied_bytes = Bytes(0);
        out.push(Output::TakeSnapshot { upto: self.applied });
    }

    fn snapshot_taken(&mut self, index: Index, data: crate::Blob, out: &mut Outputs) {
        if self.pending_snapshot != Some(index) {
            return;
        }
        self.pending_snapshot = None;
        if index <= self.journal.base_index() {
            return;
        }
        let Some(snapshot) = self.journal.snapshot(index, data) else {
            return;
        };
        let raw = &self.settings.raw;
        self.journal.compact(snapshot, raw.keep, raw.keep_bytes);
        self.rewrite(out);
    }

    /// Rewrites snapshot and log file from memory.
    fn rewrite(&mut self, out: &mut Outputs) {
        let Some(snapshot) = self.journal.base().cloned() else {
            return;
        };
        let mut records = self.journal.records();
        let voted = self.voted.clone();
        records.insert(
            0,
            Record::Vote {
                term: self.term,
                voted,
            },
        );
        let last = self.journal.last().index;
        self.writes.rewrite(last, snapshot, records, out);
    }
}

/// Answers the proposals made to a halted replica.
fn refuse(input: Input, out: &mut Outputs) {
    let (Input::Propose { ticket, .. }
    | Input::AddReplica { ticket, .. }
    | Input::RemoveReplica { ticket, .. }) = input
    else {
        return;
    };
    out.push(not_accepted(ticket, RejectReason::NotLeader, None));
}

fn not_accepted(ticket: u64, why: RejectReason, leader: Option<ReplicaId>) -> Output {
    Output::Proposed {
        ticket,
        result: Err(Rejected::NotAccepted { why, leader }),
    }
}

/// Mixes the identity into the seed, so that replicas with the same configured seed still
/// time out at different times.
fn seed_of(settings: &Settings) -> StableHash {
    let seed = settings.raw.seed.get().to_le_bytes();
    let incarnation = settings.id().incarnation.get().to_le_bytes();
    stable_hash(&[
        &seed,
        settings.id().instance.as_str().as_bytes(),
        &incarnation,
    ])
}
