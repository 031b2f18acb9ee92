//! The task that owns the node: passes inputs to it and carries out its outputs.

use std::{
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result};
use base::{Incarnation, Seed, TextVersion, Time};
use daemon::{Capacity, Clock, Listeners};
use node::{Input, Node, Output, Settings};
use settings::EntrySettings;
use telemetry::{Event, event};
use text::{Keys, Model};
use tokio::{
    sync::{mpsc, watch},
    time::sleep_until,
};
use tokio_util::sync::CancellationToken;
use web::server::{self, Limits};

use crate::{
    attempts, callers, calls, events, external, hops, saved,
    state::{InForce, State},
};

/// Most inputs handled before timers are checked again.
const MAX_BURST: usize = 256;

/// Parts of sixteen of the descriptors for connections of callers.
const CALLER_PARTS: u32 = 7;

/// Callers' requests may take one of so many parts of the memory.
const CALLER_SHARE: u64 = 3;

/// Parts of sixteen of the descriptors for connections of other instances.
const PEER_PARTS: u32 = 4;

/// Requests and calls of other instances may take one of so many parts of the memory.
const PEER_SHARE: u64 = 4;

/// How long requests in progress may still run in a planned stop. Overnight batch
/// requests run for hours, but they are resumed through another instance.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Serves requests until a planned stop has completed.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed, the wall clock is set before 1970 or
/// the callers' listener fails.
pub(crate) async fn serve(settings: EntrySettings, listeners: Listeners) -> Result<()> {
    let clock = Clock::start();
    let (inputs, queue) = mpsc::unbounded_channel();
    let (text_sender, text) = watch::channel(Arc::new(InForce::default()));
    let identity = &settings.identity;
    let state = Arc::new(State::new(
        identity.name.clone(),
        inputs,
        text,
        settings.machine,
    ));
    let stop = CancellationToken::new();
    let grace = settings.drain_grace;
    tokio::spawn(external::poll_list(Arc::clone(&state), identity.platform));
    let stop_signal = daemon::stop_signal()?;
    let drain_state = Arc::clone(&state);
    tokio::spawn(async move {
        stop_signal.await;
        drain_state.send_input(Input::Drain);
    });
    let limits = |capacity: Capacity| Limits {
        connections: capacity.connections,
        memory: capacity.memory,
        linger: grace,
        drain: DRAIN_TIMEOUT,
        body_bytes: 64 << 20,
        ..Limits::default()
    };
    let at_callers = Capacity::of(settings.machine, CALLER_PARTS, CALLER_SHARE);
    let at_peers = Capacity::of(settings.machine, PEER_PARTS, PEER_SHARE);
    let peer_stop = CancellationToken::new();
    let caller_state = Arc::clone(&state);
    let handler = move |req| callers::answer(Arc::clone(&caller_state), req);
    let callers = tokio::spawn(server::serve(
        listeners.clients,
        limits(at_callers),
        handler,
        stop.clone(),
    ));
    let peer_state = Arc::clone(&state);
    let memory = at_peers.memory.clone();
    let handler = move |req| hops::answer(Arc::clone(&peer_state), memory.clone(), req);
    tokio::spawn(server::serve(
        listeners.peers,
        limits(at_peers),
        handler,
        peer_stop.clone(),
    ));
    event!(Event::Started, listen = identity.listen.to_string());
    let node = Node::new(node_settings(&settings)?, clock.now());
    let shell = Shell {
        state: Arc::clone(&state),
        node,
        clock,
        text_sender,
        stop,
        wake: Time::ZERO,
        data: settings.data.clone(),
    };
    shell.run(queue).await;
    callers.await.context("the callers' listener failed")??;
    event!(Event::Stopped, running = state.running());
    Ok(())
}

/// Converts the daemon's settings to the node's.
fn node_settings(settings: &EntrySettings) -> Result<Settings> {
    let identity = &settings.identity;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = now
        .context("the system clock is set before 1970")?
        .as_micros();
    Ok(Settings {
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        // Microseconds since 1970, so that a restarted process gets a greater number.
        incarnation: Incarnation(u64::try_from(incarnation)?),
        peer: identity.peer_address,
        controls: settings.controls.clone(),
        seed: settings.seed.unwrap_or_else(|| Seed(rand::random())),
        grace: settings.drain_grace,
    })
}

/// The node with what its task needs to carry out the node's outputs.
struct Shell {
    state: Arc<State>,
    node: Node,
    clock: Clock,
    text_sender: watch::Sender<Arc<InForce>>,
    stop: CancellationToken,
    /// When the node wants its next [`Input::Wake`].
    wake: Time,
    /// Folder in which the text in force is saved.
    data: Option<PathBuf>,
}

impl Shell {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        let mut outputs = Vec::new();
        let mut burst = Vec::with_capacity(MAX_BURST);
        if let Some(saved) = self.data.as_deref().and_then(saved::read) {
            self.node.handle(self.clock.now(), saved, &mut outputs);
        }
        self.node
            .handle(self.clock.now(), Input::Wake, &mut outputs);
        loop {
            if self.carry_out(&mut outputs, None) {
                return;
            }
            let timer = sleep_until(self.clock.instant(self.wake));
            tokio::select! {
                count = queue.recv_many(&mut burst, MAX_BURST) => {
                    if count == 0 {
                        return;
                    }
                }
                () = timer => burst.push(Input::Wake),
            }
            for input in burst.drain(..) {
                if self.handle(input, &mut outputs) {
                    return;
                }
            }
        }
    }

    /// Passes one input to the node; returns whether the daemon may exit.
    fn handle(&mut self, input: Input, outputs: &mut Vec<Output>) -> bool {
        if input == Input::Drain {
            event!(Event::DrainBegun);
            self.stop.cancel();
        }
        let step = match &input {
            Input::Progress { ticket, step, .. } => Some((*ticket, *step)),
            _ => None,
        };
        self.node.handle(self.clock.now(), input, outputs);
        self.carry_out(outputs, step)
    }

    /// Carries out the node's outputs; returns whether the daemon may exit. `step` names
    /// the answer's head or piece that the input was about.
    fn carry_out(&mut self, outputs: &mut Vec<Output>, step: Option<(base::Ticket, u64)>) -> bool {
        let exchange = step.and_then(|(ticket, _)| self.state.exchange(ticket));
        let mut ended = false;
        for output in outputs.drain(..) {
            ended |= matches!(output, Output::Drained);
            self.carry_out_one(output);
        }
        // A head or piece that no output has named is discarded.
        if let (Some(exchange), Some((_, step))) = (exchange, step) {
            exchange.discard(step);
        }
        ended
    }

    fn carry_out_one(&mut self, output: Output) {
        let state = &self.state;
        match output {
            Output::Send(attempt) => {
                if let Some(exchange) = state.exchange(attempt.ticket) {
                    attempts::start(state, exchange, attempt);
                }
            }
            Output::Cancel { ticket, attempt } => {
                if let Some(exchange) = state.exchange(ticket) {
                    exchange.cancel(attempt);
                }
            }
            Output::Flow { ticket, step, flow } => {
                if let Some(exchange) = state.exchange(ticket) {
                    exchange.flow(state, step, flow);
                }
            }
            Output::Finish { ticket, end } => {
                if let Some(exchange) = state.remove(ticket) {
                    exchange.finish(end);
                }
            }
            Output::Order {
                order,
                address,
                body,
                fence,
                ..
            } => external::order(state, order, address, body, fence),
            Output::Poll { poll, address, .. } => external::poll(state, poll, address),
            Output::CheckTarget { target, address } => {
                external::check_target(state, target, address)
            }
            Output::Call {
                call,
                address,
                body,
                timeout,
            } => calls::send(state, call, address, body, timeout),
            Output::Reply { call, body } => state.reply(call, body),
            Output::Check { version, raw } => check(state, version, raw),
            Output::Text {
                version,
                model,
                raw,
            } => {
                if let Some(data) = &self.data {
                    saved::write(data.clone(), version, raw);
                }
                self.put_in_force(version, model);
            }
            Output::Ready(ready) => state.ready.store(ready, Ordering::Relaxed),
            Output::Drained => {}
            Output::Event(event) => events::write(event),
            Output::Wake(at) => self.wake = at,
        }
    }

    fn put_in_force(&self, version: TextVersion, model: Arc<text::Model>) {
        let keys = Keys::from(&*model);
        let in_force = InForce {
            version,
            model,
            keys,
        };
        self.text_sender.send_replace(Arc::new(in_force));
    }
}

/// Parses a text on a blocking thread and passes the result to the node.
fn check(state: &Arc<State>, version: TextVersion, raw: Arc<str>) {
    let state = Arc::clone(state);
    tokio::task::spawn_blocking(move || {
        let model = Model::try_from(&*raw).ok().map(Arc::new);
        state.send_input(Input::Checked { version, model });
    });
}
