//! The one task that owns the node: inputs in, outputs carried out.

use std::{
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result};
use base::{Incarnation, Seed, TextVersion, Time};
use daemon::{Clock, Listeners};
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
    attempts, callers, calls, events, hops, outside, saved,
    state::{InForce, State},
};

/// Inputs taken in one go before timers are looked at again.
const BURST: usize = 256;

/// Most connections of callers and of peers; an idle one beyond them is
/// closed.
const CONNECTIONS: usize = 4_096;

/// How long requests under way may still run in a planned stop: overnight
/// work runs for hours, but is resumed elsewhere.
const DRAIN: Duration = Duration::from_secs(600);

/// Serves until a planned stop has ended.
///
/// # Errors
///
/// Fails when a signal can't be listened for.
pub(crate) async fn serve(settings: EntrySettings, listeners: Listeners) -> Result<()> {
    let clock = Clock::start();
    let (inputs, queue) = mpsc::unbounded_channel();
    let (texts, text) = watch::channel(Arc::new(InForce::default()));
    let identity = &settings.identity;
    let state = Arc::new(State::new(identity.name.clone(), inputs, text));
    let stop = CancellationToken::new();
    let grace = settings.drain_grace;
    tokio::spawn(outside::watch_list(Arc::clone(&state), identity.platform));
    let stopping = daemon::stop_signal()?;
    let stopped = Arc::clone(&state);
    tokio::spawn(async move {
        stopping.await;
        stopped.tell(Input::Drain);
    });
    let limits = Limits {
        connections: CONNECTIONS,
        linger: grace,
        drain: DRAIN,
        body_bytes: 64 << 20,
        ..Limits::default()
    };
    let peer_stop = CancellationToken::new();
    let at_callers = Arc::clone(&state);
    let handler = move |req| callers::answer(Arc::clone(&at_callers), req);
    let callers = tokio::spawn(server::serve(listeners.own, limits, handler, stop.clone()));
    let at_peers = Arc::clone(&state);
    let handler = move |req| hops::answer(Arc::clone(&at_peers), req);
    tokio::spawn(server::serve(
        listeners.peers,
        limits,
        handler,
        peer_stop.clone(),
    ));
    event!(Event::Started, listen = identity.listen.to_string());
    let node = Node::new(node_settings(&settings)?, clock.now());
    let shell = Shell {
        state: Arc::clone(&state),
        node,
        clock,
        texts,
        stop,
        wake: Time::ZERO,
        data: settings.data.clone(),
    };
    shell.run(queue).await;
    callers.await.context("the callers' listener failed")??;
    event!(Event::Stopped, running = state.running());
    Ok(())
}

/// Turns the daemon's settings into the node's.
fn node_settings(settings: &EntrySettings) -> Result<Settings> {
    let identity = &settings.identity;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = now.context("the clock stands before 1970")?.as_micros();
    Ok(Settings {
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        // A later incarnation has a greater number, also after a restart.
        incarnation: Incarnation(u64::try_from(incarnation)?),
        peer: identity.peer_address,
        controls: settings.controls.clone(),
        seed: settings.seed.unwrap_or_else(|| Seed(rand::random())),
        grace: settings.drain_grace,
    })
}

struct Shell {
    state: Arc<State>,
    node: Node,
    clock: Clock,
    texts: watch::Sender<Arc<InForce>>,
    stop: CancellationToken,
    wake: Time,
    /// Folder for the last text in force.
    data: Option<PathBuf>,
}

impl Shell {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        let mut outputs = Vec::new();
        let mut burst = Vec::with_capacity(BURST);
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
                count = queue.recv_many(&mut burst, BURST) => {
                    if count == 0 {
                        return;
                    }
                }
                () = timer => burst.push(Input::Wake),
            }
            for input in burst.drain(..) {
                if self.take(input, &mut outputs) {
                    return;
                }
            }
        }
    }

    /// Hands one input to the node; true when the daemon may end.
    fn take(&mut self, input: Input, outputs: &mut Vec<Output>) -> bool {
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

    /// Carries out what the node wants; true when the daemon may end.
    fn carry_out(&mut self, outputs: &mut Vec<Output>, step: Option<(base::Ticket, u64)>) -> bool {
        let exchange = step.and_then(|(ticket, _)| self.state.exchange(ticket));
        let mut ended = false;
        for output in outputs.drain(..) {
            ended |= matches!(output, Output::Drained);
            self.carry_out_one(output);
        }
        // What no output has named is not for the caller.
        if let (Some(exchange), Some((_, step))) = (exchange, step) {
            exchange.forget(step);
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
                    exchange.abandon(attempt);
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
            } => outside::order(state, order, address, body, fence),
            Output::Poll { poll, address, .. } => outside::poll(state, poll, address),
            Output::Call {
                call,
                address,
                body,
                timeout,
            } => calls::make(state, call, address, body, timeout),
            Output::Reply { call, body } => state.answer(call, body),
            Output::Check { version, raw } => check(state, version, raw),
            Output::Text {
                version,
                model,
                raw,
            } => {
                if let Some(data) = &self.data {
                    saved::write(data.clone(), version, raw);
                }
                let keys = Keys::from(&*model);
                let force = InForce {
                    version,
                    model,
                    keys,
                };
                self.texts.send_replace(Arc::new(force));
            }
            Output::Ready(ready) => state.ready.store(ready, Ordering::Relaxed),
            Output::Drained => {}
            Output::Event(report) => events::write(report),
            Output::Wake(at) => self.wake = at,
        }
    }
}

/// Checks a text on a thread of its own.
fn check(state: &Arc<State>, version: TextVersion, raw: Arc<str>) {
    let state = Arc::clone(state);
    tokio::task::spawn_blocking(move || {
        let model = Model::try_from(&*raw).ok().map(Arc::new);
        state.tell(Input::Checked { version, model });
    });
}
