//! Simulates the surroundings of one entry instance (node): the leading control instance,
//! peers, engines and the platform's list of targets.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Result;
use base::{Fence, Incarnation, Seed, TargetName, TextVersion, Ticket, Time, Tokens};
use node::{AnswerEnd, Arrival, Attempt, Input, Node, Order, OrderEnd, Output, Progress, Settings};
use request::Part;
use wire::{
    call::{Call, Heartbeat, HeartbeatReply, Lease, Peer, Reply, Residents},
    engine::{Report, Resident},
    patch::{self, Patch},
    platform,
};

use crate::samples;

/// Number of tokens of one answer.
pub(super) const TOKENS: u32 = 16;
/// Replacements in the sample text: engines of the planned site have larger batches and
/// more slots than those of the sample.
const PLANNED_ENGINE: [(&str, &str); 2] =
    [("batch = 32", "batch = 256"), ("slots = 8", "slots = 32")];

/// Sizes of the node's surroundings.
#[derive(Clone, Copy)]
pub(super) struct Surroundings {
    pub(super) adapters: usize,
    pub(super) targets: usize,
    /// Number of other entry instances.
    pub(super) peers: usize,
    /// Number of engines that the node owns.
    pub(super) owned: usize,
}

/// The planned surroundings; each case varies one of the sizes.
pub(super) const PLANNED: Surroundings = Surroundings {
    adapters: 3_000,
    targets: 600,
    peers: 48,
    owned: 2,
};

/// Number and total bytes of messages of one kind.
#[derive(Clone, Copy, Default)]
pub(super) struct Traffic {
    pub(super) calls: u64,
    pub(super) bytes: u64,
}

impl Traffic {
    /// Returns the mean size of a message.
    pub(super) fn mean_bytes(self) -> f64 {
        self.bytes as f64 / self.calls.max(1) as f64
    }
}

/// One node and its surroundings.
pub(super) struct World {
    /// Real time spent on checks of texts, which a daemon runs outside the node.
    pub(super) checking: Duration,
    pub(super) node: Node,
    pub(super) now: Time,
    pub(super) text: (TextVersion, String),
    /// Patch from the previous text to this one, for a requester that has the previous one.
    pub(super) patch: Option<Patch>,
    pub(super) sent: VecDeque<Attempt>,
    pub(super) ended: u64,
    pub(super) beats: Traffic,
    pub(super) replies: Traffic,
    /// Updates that change an engine's resident adapters.
    pub(super) residency_updates: Traffic,
    /// Updates of an engine's load alone.
    pub(super) load_updates: Traffic,
    pub(super) polls: Traffic,
    /// Size in bytes of the last reply with a text or patches.
    pub(super) fetched: u64,
    peers: Vec<Peer>,
    resident: BTreeMap<TargetName, Vec<String>>,
    steps: u64,
    tickets: u64,
    wake: Time,
}

/// Returns the name of engine `i`.
pub(super) fn engine(i: usize) -> Result<TargetName> {
    Ok(format!("engine-{i:04}").parse()?)
}

impl World {
    /// Creates a node and runs it until a text is in force.
    pub(super) fn serving(surroundings: Surroundings) -> Result<World> {
        let mut world = World::new(surroundings)?;
        world.input(Input::List(Some(list(surroundings.targets)?)))?;
        world.advance(Duration::from_secs(30))?;
        anyhow::ensure!(world.node.version() == world.text.0, "no text in force");
        Ok(world)
    }

    /// Returns a text with this many adapters for engines of the planned site.
    pub(super) fn sized_text(adapters: usize) -> String {
        let text = samples::agency(adapters);
        let replace = |text: String, (from, to): (&str, &str)| text.replace(from, to);
        PLANNED_ENGINE.into_iter().fold(text, replace)
    }

    fn new(surroundings: Surroundings) -> Result<World> {
        let address = |i: usize| std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + i as u16));
        let control = |i: usize| Ok((format!("control-{i}").parse()?, address(i)));
        let settings = Settings {
            name: "instance-0000".parse()?,
            zone: "zone-0".parse()?,
            incarnation: Incarnation(1),
            peer: address(100),
            controls: (0..7).map(control).collect::<Result<_>>()?,
            seed: Seed(1),
            grace: Duration::from_secs(2),
        };
        let text = World::sized_text(surroundings.adapters);
        Ok(World {
            checking: Duration::ZERO,
            node: Node::new(settings, Time::ZERO),
            now: Time::ZERO,
            text: (TextVersion(1), text),
            patch: None,
            sent: VecDeque::new(),
            ended: 0,
            beats: Traffic::default(),
            replies: Traffic::default(),
            residency_updates: Traffic::default(),
            load_updates: Traffic::default(),
            polls: Traffic::default(),
            fetched: 0,
            peers: peers(surroundings)?,
            resident: BTreeMap::new(),
            steps: 0,
            tickets: 0,
            wake: Time::ZERO,
        })
    }

    /// Lets virtual time pass, with all wake-ups that the node has asked for.
    pub(super) fn advance(&mut self, d: Duration) -> Result<()> {
        let end = self.now + d;
        while self.wake <= end {
            self.now = self.now.max(self.wake);
            self.wake = Time(u64::MAX);
            self.input(Input::Wake)?;
        }
        self.now = end;
        Ok(())
    }

    /// Gives the node one input and carries out its outputs, until it has no more.
    pub(super) fn input(&mut self, input: Input) -> Result<()> {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut out = Vec::new();
            self.node.handle(self.now, input, &mut out);
            for output in out {
                inputs.extend(self.carry_out(output)?);
            }
        }
        Ok(())
    }

    /// Sends one request for an adapter.
    pub(super) fn arrive(&mut self, brand: &str, adapter: &str, tokens: u32) -> Result<()> {
        self.tickets += 1;
        self.input(Input::Arrive(Arrival {
            ticket: Ticket(self.tickets),
            brand: brand.parse()?,
            service: adapter.parse()?,
            version: None,
            class: None,
            timeout: Some(Duration::from_secs(60)),
            key: None,
            body: [0; 16],
            prefix: 0,
            parts: Vec::new(),
            tokens: Tokens(tokens),
            stream: true,
        }))
    }

    /// Answers the oldest attempt in this many pieces; returns false if there is none.
    pub(super) fn answer(&mut self, pieces: u32) -> Result<bool> {
        let Some(attempt) = self.sent.pop_front() else {
            return Ok(false);
        };
        let head = Progress::Head {
            status: 200,
            ran: attempt.resident.clone().map(Ok),
            resumed: None,
        };
        self.progress(&attempt, head)?;
        for _ in 0..pieces {
            self.progress(&attempt, Progress::Piece(Part::Tokens(1)))?;
        }
        self.progress(&attempt, Progress::Piece(Part::Last))?;
        let end = Progress::End {
            end: AnswerEnd::Complete,
            answer: None,
        };
        self.progress(&attempt, end)?;
        Ok(true)
    }

    /// Delivers an update of a peer's engine.
    pub(super) fn deliver(&mut self, update: Residents) -> Result<()> {
        let from = update.owner.clone();
        let body = Call::Residents(update);
        self.steps += 1;
        let call = self.steps;
        self.input(Input::Called { call, from, body })
    }

    /// Returns the engines owned by peers, each with its owner.
    pub(super) fn peer_engines(&self) -> impl Iterator<Item = (&Peer, &(TargetName, Fence))> {
        let peer_engines = self.peers.iter().skip(1);
        peer_engines.flat_map(|peer| peer.owns.iter().map(move |owned| (peer, owned)))
    }

    fn progress(&mut self, attempt: &Attempt, progress: Progress) -> Result<()> {
        self.steps += 1;
        self.input(Input::Progress {
            ticket: attempt.ticket,
            attempt: attempt.attempt,
            step: self.steps,
            progress,
        })
    }

    fn carry_out(&mut self, output: Output) -> Result<Option<Input>> {
        match output {
            Output::Call { call, body, .. } => {
                let reply = Ok(self.call(body)?);
                return Ok(Some(Input::Replied { call, reply }));
            }
            Output::Check { version, raw } => {
                let began = Instant::now();
                let model = text::Model::try_from(&*raw).ok().map(Arc::new);
                self.checking += began.elapsed();
                return Ok(Some(Input::Checked { version, model }));
            }
            Output::Poll { poll, target, .. } => {
                let report = self.report(&target);
                self.polls.calls += 1;
                self.polls.bytes += serde_json::to_vec(&report)?.len() as u64;
                let report = Some(report);
                return Ok(Some(Input::Report { poll, report }));
            }
            Output::Order {
                order,
                target,
                body,
                ..
            } => {
                self.order(target, body);
                let end = OrderEnd::Done;
                return Ok(Some(Input::OrderEnded { order, end }));
            }
            Output::Send(attempt) => self.sent.push_back(attempt),
            Output::Finish { .. } => self.ended += 1,
            Output::Wake(at) => self.wake = at,
            _ => {}
        }
        Ok(None)
    }

    fn call(&mut self, body: Call) -> Result<Reply> {
        let size = rmp_serde::to_vec(&body)?.len() as u64;
        let reply = match body {
            Call::Heartbeat(beat) => {
                let reply = Reply::Heartbeat(self.beat(&beat));
                record(&mut self.beats, size);
                record(&mut self.replies, rmp_serde::to_vec(&reply)?.len() as u64);
                reply
            }
            Call::Residents(update) => {
                let held = update.added.len() + update.removed.len() > 0;
                let sent = if held {
                    &mut self.residency_updates
                } else {
                    &mut self.load_updates
                };
                record(sent, size);
                Reply::Done
            }
            Call::Version => Reply::Version(self.text.0),
            Call::Text { .. } => self.fetch()?,
            _ => Reply::Done,
        };
        Ok(reply)
    }

    fn fetch(&mut self) -> Result<Reply> {
        let (version, text) = self.text.clone();
        let reply = match self.patch.clone() {
            Some(patch) => Reply::Patches {
                version,
                digest: patch::digest(&text),
                patches: vec![patch],
            },
            None => Reply::Text { version, text },
        };
        self.fetched = rmp_serde::to_vec(&reply)?.len() as u64;
        Ok(reply)
    }

    fn beat(&self, beat: &Heartbeat) -> HeartbeatReply {
        let owns = &self.peers[0].owns;
        let leases = owns.iter().map(|(target, fence)| Lease {
            target: target.clone(),
            fence: *fence,
            lasts: Duration::from_secs(3),
            former: Vec::new(),
        });
        let full = beat.roster == 0;
        HeartbeatReply {
            serial: beat.serial,
            text: self.text.0,
            leases: leases.collect(),
            loads: 5_000,
            roster: 1,
            full,
            peers: if full { self.peers.clone() } else { Vec::new() },
            removed: Vec::new(),
            want_engines: false,
            quarantine: Default::default(),
        }
    }

    fn report(&self, target: &TargetName) -> Report {
        let held = self.resident.get(target).into_iter().flatten();
        Report::idle(Incarnation(1), held.cloned())
    }

    fn order(&mut self, target: TargetName, body: Order) {
        let held = self.resident.entry(target).or_default();
        let name = |resident: &Resident| resident.to_string();
        match body {
            Order::Load(resident, _) => held.push(name(&resident)),
            Order::Unload(resident) => held.retain(|lora| *lora != name(&resident)),
        }
    }
}

fn record(sent: &mut Traffic, size: u64) {
    sent.calls += 1;
    sent.bytes += size;
}

/// Returns all entry instances, the node first; the engines that it does not own are
/// distributed round-robin over the others.
fn peers(surroundings: Surroundings) -> Result<Vec<Peer>> {
    let mut peers = Vec::new();
    for i in 0..=surroundings.peers {
        let engines = match i {
            0 => (0..surroundings.owned).collect::<Vec<_>>(),
            _ => (surroundings.owned..surroundings.targets)
                .filter(|e| e % surroundings.peers == i - 1)
                .collect(),
        };
        let owns = engines
            .into_iter()
            .map(|e| Ok((engine(e)?, Fence(e as u64 + 1))));
        peers.push(Peer {
            instance: format!("instance-{i:04}").parse()?,
            zone: format!("zone-{}", i % 8).parse()?,
            address: format!("127.0.{}.{}:7100", i / 250, i % 250),
            owns: owns.collect::<Result<_>>()?,
        });
    }
    Ok(peers)
}

/// Returns the platform's list: engines in eight zones, and one plain service replica.
fn list(targets: usize) -> Result<platform::List> {
    let target = |name: TargetName, pool: &str, i: usize| {
        Ok(platform::Target {
            name,
            pool: pool.parse()?,
            zone: format!("zone-{}", i % 8).parse()?,
            address: format!("127.0.0.1:{}", 10_000 + i),
            state: platform::State::Live,
            software: "v1".parse().ok(),
        })
    };
    let engines = (0..targets).map(|i| target(engine(i)?, "drafting", i));
    let mut targets = engines.collect::<Result<Vec<_>>>()?;
    targets.push(target("portal-0".parse()?, "portal", 0)?);
    Ok(platform::List {
        serial: 1,
        instances: Vec::new(),
        targets,
    })
}
