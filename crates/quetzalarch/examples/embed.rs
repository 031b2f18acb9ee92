//! Embeds a node in a program with a transport of its own: an in-memory queue whose
//! messages are delivered one by one.
//!
//! The program simulates the leader, the engine and the caller. It prints the
//! node's main outputs: `cargo run -p quetzalarch --example embed`.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use quetzalarch::{
    AnswerEnd, Arrival, Input, Node, OrderEnd, Output, Progress, Settings,
    base::{Fence, Incarnation, Seed, TextVersion, Ticket, Time, Tokens},
    request::Part,
    wire::{
        call::{Call, Heartbeat, HeartbeatReply, Lease, Peer, Reply},
        engine::Report,
        platform,
    },
};

const TEXT: &str = r#"
[pools.drafting]
kind = "engine"
base = "gemma-hr"
slots = 2
batch = 4
fencing = true

[brands.film]
keys = ["ec2e4f36aef3777915b08aa86b74cc25dec708201225a37165173af7379485a6"]
base = "gemma-hr"
weights = "film/{adapter}/{version}"

[brands.film.services.letters]
kind = "assistant"
adapter = "film-live"
pool = "drafting"
class = "live"

[brands.film.adapters]
film-live = [1]
"#;

/// Limit on the inputs delivered, so that the example ends if no answer comes.
const STEPS_MAX: u32 = 10_000;

fn main() {
    let mut world = World::new();
    world.queue.push_back(Input::List(Some(list())));
    let complete = world.run();
    assert!(complete, "the request was not answered");
    println!("answered");
}

/// The embedding program: its transport, its clock, and the state of the simulated
/// leader, engine and caller.
struct World {
    node: Node,
    now: Time,
    wake: Time,
    queue: VecDeque<Input>,
    loaded: Vec<String>,
    requested: bool,
    complete: bool,
}

impl World {
    fn new() -> World {
        let settings = Settings {
            name: "dubrava-1".parse().expect("a name"),
            zone: "dubrava".parse().expect("a name"),
            incarnation: Incarnation(1),
            peer: ([127, 0, 0, 1], 7001).into(),
            controls: BTreeMap::from([(
                "control-1".parse().expect("a name"),
                ([127, 0, 0, 1], 7101).into(),
            )]),
            seed: Seed(1),
            grace: Duration::from_secs(4),
        };
        World {
            node: Node::new(settings, Time::ZERO),
            now: Time::ZERO,
            wake: Time::ZERO,
            queue: VecDeque::new(),
            loaded: Vec::new(),
            requested: false,
            complete: false,
        }
    }

    /// Delivers queued messages; if there are none, advances the clock to the node's
    /// next wake-up. Returns whether the request was answered.
    fn run(&mut self) -> bool {
        for _ in 0..STEPS_MAX {
            let input = self.queue.pop_front().unwrap_or_else(|| {
                self.now = self.now.max(self.wake);
                Input::Wake
            });
            let mut outputs = Vec::new();
            self.node.handle(self.now, input, &mut outputs);
            for output in outputs {
                self.carry_out(output);
            }
            if self.complete {
                return true;
            }
        }
        false
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Wake(at) => self.wake = at,
            Output::Call { call, body, .. } => {
                let reply = Ok(self.leader(body));
                self.queue.push_back(Input::Replied { call, reply });
            }
            Output::Check { version, raw } => {
                let model = quetzalarch::text::Model::try_from(&*raw).ok().map(Arc::new);
                self.queue.push_back(Input::Checked { version, model });
            }
            Output::Poll { poll, .. } => {
                let report = Some(self.report());
                self.queue.push_back(Input::Report { poll, report });
            }
            Output::Order { order, body, .. } => {
                println!("order: {body:?}");
                if let quetzalarch::Order::Load(resident, _) = body {
                    self.loaded.push(resident.to_string());
                }
                let end = OrderEnd::Done;
                self.queue.push_back(Input::OrderEnded { order, end });
            }
            Output::Event(quetzalarch::Event::Owns(engine, fence)) => {
                println!("owns {engine} under {fence}");
                if !std::mem::replace(&mut self.requested, true) {
                    self.queue.push_back(Input::Arrive(arrival()));
                }
            }
            Output::Send(attempt) => {
                println!("send to {}: {:?}", attempt.target, attempt.resident);
                self.answer(attempt);
            }
            Output::Finish { end, .. } => {
                println!("finish: {end:?}");
                self.complete = end == quetzalarch::Ending::Whole;
            }
            _ => {}
        }
    }

    /// Simulates the engine's answer: a head, one token, the end.
    fn answer(&mut self, attempt: quetzalarch::Attempt) {
        let steps = [
            Progress::Head {
                status: 200,
                ran: attempt.resident.map(Ok),
                resumed: None,
            },
            Progress::Piece(Part::Tokens(1)),
            Progress::End {
                end: AnswerEnd::Complete,
                answer: None,
            },
        ];
        for (step, progress) in (1..).zip(steps) {
            self.queue.push_back(Input::Progress {
                ticket: attempt.ticket,
                attempt: attempt.attempt,
                step,
                progress,
            });
        }
    }

    fn leader(&self, call: Call) -> Reply {
        match call {
            Call::Heartbeat(beat) => Reply::Heartbeat(leases(&beat)),
            Call::Version => Reply::Version(TextVersion(1)),
            Call::Text { .. } => Reply::Text {
                version: TextVersion(1),
                text: TEXT.to_owned(),
            },
            _ => Reply::Done,
        }
    }

    fn report(&self) -> Report {
        Report::idle(Incarnation(1), self.loaded.iter().cloned())
    }
}

/// Simulates the leader's answer to a heartbeat: a lease on the engine `e-1`.
fn leases(beat: &Heartbeat) -> HeartbeatReply {
    let target: quetzalarch::base::TargetName = "e-1".parse().expect("a name");
    let fence = Fence(7);
    HeartbeatReply {
        serial: beat.serial,
        text: TextVersion(1),
        leases: vec![Lease {
            target: target.clone(),
            fence,
            lasts: Duration::from_secs(3),
            former: Vec::new(),
        }],
        loads: 5_000,
        roster: 1,
        full: true,
        peers: vec![Peer {
            instance: beat.instance.clone(),
            zone: beat.zone.clone(),
            address: beat.peer.clone(),
            owns: vec![(target, fence)],
        }],
        removed: Vec::new(),
        want_engines: false,
        quarantine: Default::default(),
    }
}

fn list() -> platform::List {
    platform::List {
        serial: 1,
        instances: Vec::new(),
        targets: vec![platform::Target {
            name: "e-1".parse().expect("a name"),
            pool: "drafting".parse().expect("a name"),
            zone: "dubrava".parse().expect("a name"),
            address: "127.0.0.1:7201".to_owned(),
            state: platform::State::Live,
            software: "v1".parse().ok(),
        }],
    }
}

fn arrival() -> Arrival {
    Arrival {
        ticket: Ticket(1),
        brand: "film".parse().expect("a name"),
        service: "letters".parse().expect("a name"),
        version: None,
        class: None,
        timeout: None,
        key: None,
        body: [0; 16],
        prefix: 0,
        parts: Vec::new(),
        tokens: Tokens(1),
        stream: true,
    }
}
