//! The task that owns the control instance: passes inputs to it and carries out its
//! outputs.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use base::{Incarnation, InstanceName, Machine, Seed, Time};
use control::{Checked, Control, Event, Input, Output};
use daemon::{Capacity, Clock, Listeners};
use disk::Writer;
use replog::{RawSettings, Replica};
use settings::{Bootstrap, ControlSettings};
use telemetry::event;
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{interval, sleep_until},
};
use tokio_util::sync::CancellationToken;
use web::{
    client::{Client, Limits, Send},
    server::{self, Served},
};
use wire::platform::List;

use crate::{
    operators, peers,
    state::{Job, Query, State},
};

/// Parts of sixteen of the descriptors for connections of operators.
const OPERATOR_PARTS: u32 = 2;

/// Operators' requests may take one of so many parts of the memory.
const OPERATOR_SHARE: u64 = 3;

/// Parts of sixteen of the descriptors for connections of other instances.
const PEER_PARTS: u32 = 8;

/// Calls of other instances may take one of so many parts of the memory.
const PEER_SHARE: u64 = 4;

/// Most jobs handled before timers are checked again.
const MAX_BURST: usize = 256;

/// How often the platform's list and the wall clock are read.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Largest list of the platform, in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

/// How long a planned stop waits for another instance to take over the leadership.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Serves requests until a planned stop has completed.
///
/// # Errors
///
/// Fails if the data folder can't be opened, the signal handlers can't be installed or the
/// operators' listener fails.
pub(crate) async fn serve(settings: ControlSettings, listeners: Listeners) -> Result<()> {
    let clock = Clock::start();
    let (jobs, queue) = mpsc::unbounded_channel();
    let identity = &settings.identity;
    let controls = controls(&settings);
    let names = controls.keys().cloned().collect();
    let state = Arc::new(State::new(identity.name.clone(), controls, jobs.clone()));
    let (control, writer) = open(&settings, names, jobs.clone())?;
    let stop_signal = daemon::stop_signal()?;
    tokio::spawn(async move {
        stop_signal.await;
        jobs.send(Job::Stop).ok();
    });
    tokio::spawn(poll_platform(Arc::clone(&state), identity.platform));
    let stop = CancellationToken::new();
    let operators = start_servers(&state, listeners, settings.machine, stop.clone());
    event!(
        telemetry::Event::Started,
        listen = identity.listen.to_string()
    );
    let shell = Shell {
        state,
        control,
        writer,
        clock,
        wake: Time::ZERO,
    };
    shell.run(queue).await;
    stop.cancel();
    operators
        .await
        .context("the operators' listener failed")??;
    event!(telemetry::Event::Stopped, running = 0);
    Ok(())
}

/// Opens the data folder, starts its writer thread and restores the control instance from
/// the folder's content.
fn open(
    settings: &ControlSettings,
    names: Vec<InstanceName>,
    jobs: mpsc::UnboundedSender<Job>,
) -> Result<(Control, Writer)> {
    let seed = settings.seed.unwrap_or_else(|| Seed(rand::random()));
    let incarnation = Incarnation(u64::try_from(daemon::wall_clock()?.as_micros())?);
    let opened = disk::open(&settings.data, &settings.identity.name, incarnation)?;
    daemon::log_folder_state(&opened.outcome);
    let raw = RawSettings::with_defaults(opened.folder.id().clone(), names, seed);
    let replica = Replica::new(raw.try_into()?, opened.restored);
    let control = Control::new(control::Config::default(), replica, Box::new(check));
    let writer = daemon::start_writer(opened.folder, move |input| {
        // Fails after the shell has ended; then no one waits for the result.
        jobs.send(Job::Input(input)).ok();
    })?;
    Ok((control, writer))
}

/// Starts both servers and returns the task of the operators' one. It stops at `stop`;
/// the one for peers serves as long as the process runs.
fn start_servers(
    state: &Arc<State>,
    listeners: Listeners,
    machine: Machine,
    stop: CancellationToken,
) -> JoinHandle<Result<Served>> {
    let limits = |capacity: Capacity| server::Limits {
        body_bytes: 64 << 20,
        connections: capacity.connections,
        memory: capacity.memory,
        linger: Duration::from_millis(200),
        drain: Duration::from_secs(10),
        ..server::Limits::default()
    };
    let at_operators = limits(Capacity::of(machine, OPERATOR_PARTS, OPERATOR_SHARE));
    let at_peers = Capacity::of(machine, PEER_PARTS, PEER_SHARE);
    let memory = at_peers.memory.clone();
    let operator_state = Arc::clone(state);
    let handler = move |req| operators::answer(Arc::clone(&operator_state), req);
    let serving = server::serve(listeners.clients, at_operators, handler, stop);
    let operators = tokio::spawn(serving);
    let peer_state = Arc::clone(state);
    let handler = move |req| peers::answer(Arc::clone(&peer_state), memory.clone(), req);
    tokio::spawn(server::serve(
        listeners.peers,
        limits(at_peers),
        handler,
        CancellationToken::new(),
    ));
    operators
}

/// Returns the configured control instances and their peer listeners.
fn controls(settings: &ControlSettings) -> BTreeMap<InstanceName, SocketAddr> {
    match &settings.bootstrap {
        Bootstrap::Voters(voters) => voters.clone(),
        Bootstrap::Join(contacts) => contacts.clone(),
    }
}

/// Parses an operator's text.
///
/// # Errors
///
/// Returns a message for each error in the text.
fn check(raw: &str) -> Result<Checked, Vec<String>> {
    match text::Model::try_from(raw) {
        Ok(model) => Ok(Checked {
            rate: model.store.rate,
        }),
        Err(errors) => Err(errors.messages()),
    }
}

/// Reads the platform's list and the wall clock at a fixed interval.
async fn poll_platform(state: Arc<State>, platform: SocketAddr) {
    let client = Client::default();
    let mut tick = interval(POLL_INTERVAL);
    loop {
        tick.tick().await;
        if let Ok(since) = daemon::wall_clock() {
            let ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            state.send_input(Input::Wall { ms });
        }
        if let Some(list) = list(&client, platform).await {
            let instances = list.instances.into_iter().map(|i| i.name).collect();
            state.send_input(Input::List { instances });
        }
    }
}

async fn list(client: &Client, platform: SocketAddr) -> Option<List> {
    let mut send = Send::new(platform, hyper::Method::GET, "/v1/list");
    send.limits = Limits::within(POLL_INTERVAL);
    let answer = client.send(send).await.ok()?;
    let body = answer.read_json(MAX_LIST_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// The control instance with what its task needs to carry out its outputs.
struct Shell {
    state: Arc<State>,
    control: Control,
    writer: Writer,
    clock: Clock,
    /// When the control instance wants its next [`Input::Wake`].
    wake: Time,
}

impl Shell {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Job>) {
        self.handle(Input::Wake);
        let mut burst = Vec::with_capacity(MAX_BURST);
        let mut stop_at = None;
        loop {
            let now = self.clock.now();
            let leads = self.control.leads(now);
            if stop_at.is_some_and(|at| now >= at || !leads) {
                return;
            }
            let wake = stop_at.map_or(self.wake, |at| self.wake.min(at));
            tokio::select! {
                count = queue.recv_many(&mut burst, MAX_BURST) => {
                    if count == 0 {
                        return;
                    }
                }
                () = sleep_until(self.clock.instant(wake)) => {
                    burst.push(Job::Input(Input::Wake));
                }
            }
            for job in burst.drain(..) {
                match job {
                    Job::Input(input) => self.handle(input),
                    Job::Query(query) => self.answer(query),
                    Job::Stop => {
                        event!(telemetry::Event::DrainBegun);
                        self.handle(Input::HandOver);
                        stop_at = Some(self.clock.now() + HANDOVER_TIMEOUT);
                    }
                }
            }
        }
    }

    fn handle(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.control.handle(self.clock.now(), input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        let state = &self.state;
        match output {
            Output::Reply { ticket, reply } => state.reply(ticket, reply),
            Output::Applied { ticket, applied } => state.finish_change(ticket, applied),
            Output::Forward { ticket, to, apply } => peers::forward(state, ticket, &to, apply),
            Output::Send { to, call } => peers::send(state, &to, call),
            Output::Write { no, records } => {
                self.write(replog::Output::Write { no, records });
            }
            Output::Rewrite {
                no,
                snapshot,
                records,
            } => self.write(replog::Output::Rewrite {
                no,
                snapshot,
                records,
            }),
            // This daemon has no API that changes the log's members or
            // publishes editions or adapter versions.
            Output::Members { .. } | Output::Published { .. } => {}
            Output::Wake(at) => self.wake = at,
            Output::Event(event) => write_event(event),
        }
    }

    fn write(&self, output: replog::Output) {
        let left = self.writer.take(output);
        debug_assert_eq!(left, None, "the writer takes every write");
    }

    fn answer(&self, query: Query) {
        // Sending fails if the caller has disconnected.
        match query {
            Query::Status(to) => {
                to.send(self.control.status(self.clock.now())).ok();
            }
            Query::History(to) => {
                to.send(self.control.history(base::TextVersion(0))).ok();
            }
            Query::Text(to) => {
                to.send(self.control.text()).ok();
            }
            Query::Peers(to) => {
                to.send(self.peers()).ok();
            }
        }
    }

    /// Returns the addresses of the entry instances' peer listeners.
    fn peers(&self) -> BTreeMap<InstanceName, SocketAddr> {
        let members = self.control.state().table().members().iter();
        let addressed = members.filter_map(|(name, member)| {
            let address = member.peer.parse().ok()?;
            Some((name.clone(), address))
        });
        addressed.collect()
    }
}

/// Logs one event of the control instance.
fn write_event(event: Event) {
    use telemetry::Event as Line;
    match event {
        Event::Leads { term } => event!(Line::LeaderElected, term = term),
        Event::Follows => event!(Line::LeaderLost),
        Event::Text { version } => event!(Line::TextAccepted, version = version),
        Event::Owner {
            target,
            instance,
            fence,
        } => event!(
            Line::EngineTaken,
            engine = target,
            owner = instance,
            fence = fence
        ),
        Event::Published => {}
        Event::Quarantine(change) => daemon::log_quarantine(&change, "log"),
        Event::Joined { instance } => event!(Line::PeerBack, instance = instance),
        Event::Admitted { instance } => event!(Line::PeerBack, instance = instance),
        Event::Dismissed { instance } => event!(Line::PeerSilent, instance = instance),
        Event::Unreadable { index } => event!(Line::PeerRefused, index = index),
        Event::Halted { reason } => {
            let why = reason.to_string();
            event!(Line::DiskFailed, why = why);
        }
    }
}
