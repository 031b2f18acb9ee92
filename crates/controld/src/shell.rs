//! The one task that owns the control instance: inputs in, outputs carried
//! out.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use base::{Incarnation, InstanceName, Seed, Time};
use control::{Checked, Control, Event, Input, Output};
use daemon::{Clock, Listeners};
use disk::Writer;
use replog::{RawSettings, Replica};
use settings::{Begin, ControlSettings};
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
    state::{Job, Read, State},
};

/// Jobs taken in one go before timers are looked at again.
const BURST: usize = 256;

/// How often the platform's list and the wall clock are read.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Largest list, in bytes.
const LIST_MAX: usize = 1 << 20;

/// How long leadership may take to be handed over in a planned stop.
const HANDOVER: Duration = Duration::from_millis(1_500);

/// Serves until a planned stop has ended.
///
/// # Errors
///
/// Fails when the data folder can't be used or a signal not listened for.
pub(crate) async fn serve(settings: ControlSettings, listeners: Listeners) -> Result<()> {
    let clock = Clock::start();
    let (jobs, queue) = mpsc::unbounded_channel();
    let identity = &settings.identity;
    let controls = controls(&settings);
    let names = controls.keys().cloned().collect();
    let state = Arc::new(State::new(identity.name.clone(), controls, jobs.clone()));
    let (control, writer) = open(&settings, names, jobs.clone())?;
    let stopping = daemon::stop_signal()?;
    tokio::spawn(async move {
        stopping.await;
        jobs.send(Job::Stop).ok();
    });
    tokio::spawn(look(Arc::clone(&state), identity.platform));
    let stop = CancellationToken::new();
    let operators = answer(&state, listeners, stop.clone());
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

/// Opens the data folder, and starts its writer and the control instance on
/// what it holds.
fn open(
    settings: &ControlSettings,
    names: Vec<InstanceName>,
    jobs: mpsc::UnboundedSender<Job>,
) -> Result<(Control, Writer)> {
    let seed = settings.seed.unwrap_or_else(|| Seed(rand::random()));
    let life = Incarnation(u64::try_from(daemon::wall_clock()?.as_micros())?);
    let opened = disk::open(&settings.data, &settings.identity.name, life)?;
    daemon::report_fate(&opened.fate);
    let raw = RawSettings::usual(opened.folder.id().clone(), names, seed);
    let replica = Replica::new(raw.try_into()?, opened.restored);
    let control = Control::new(control::Config::default(), replica, Box::new(check));
    let writer = daemon::start_writer(opened.folder, move |input| {
        // After the shell has ended nobody waits for it.
        jobs.send(Job::Input(input)).ok();
    })?;
    Ok((control, writer))
}

/// Answers operators until `stop`, and peers as long as the process runs;
/// returns the task of the operators' listener.
fn answer(
    state: &Arc<State>,
    listeners: Listeners,
    stop: CancellationToken,
) -> JoinHandle<Result<Served>> {
    let limits = server::Limits {
        body_bytes: 64 << 20,
        linger: Duration::from_millis(200),
        drain: Duration::from_secs(10),
        ..server::Limits::default()
    };
    let at_operators = Arc::clone(state);
    let handler = move |req| operators::answer(Arc::clone(&at_operators), req);
    let operators = tokio::spawn(server::serve(listeners.own, limits, handler, stop));
    let at_peers = Arc::clone(state);
    let handler = move |req| peers::answer(Arc::clone(&at_peers), req);
    tokio::spawn(server::serve(
        listeners.peers,
        limits,
        handler,
        CancellationToken::new(),
    ));
    operators
}

fn controls(settings: &ControlSettings) -> BTreeMap<InstanceName, SocketAddr> {
    match &settings.begin {
        Begin::Voters(voters) => voters.clone(),
        Begin::Join(contacts) => contacts.clone(),
    }
}

/// Checks a text for operators.
fn check(raw: &str) -> Result<Checked, Vec<String>> {
    match text::Model::try_from(raw) {
        Ok(model) => Ok(Checked {
            rate: model.store.rate,
        }),
        Err(errors) => Err(errors.messages()),
    }
}

/// Reads the platform's list and the wall clock over and over.
async fn look(state: Arc<State>, platform: SocketAddr) {
    let client = Client::default();
    let mut tick = interval(LOOK_EVERY);
    loop {
        tick.tick().await;
        if let Ok(since) = daemon::wall_clock() {
            let ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            state.tell(Input::Wall { ms });
        }
        if let Some(list) = list(&client, platform).await {
            let instances = list.instances.into_iter().map(|i| i.name).collect();
            state.tell(Input::List { instances });
        }
    }
}

async fn list(client: &Client, platform: SocketAddr) -> Option<List> {
    let mut send = Send::new(platform, hyper::Method::GET, "/v1/list");
    send.limits = Limits::within(LOOK_EVERY);
    let answer = client.send(send).await.ok()?;
    let body = answer.read_all(LIST_MAX).await.ok()?;
    serde_json::from_slice(&body).ok()
}

struct Shell {
    state: Arc<State>,
    control: Control,
    writer: Writer,
    clock: Clock,
    wake: Time,
}

impl Shell {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Job>) {
        self.handle(Input::Wake);
        let mut burst = Vec::with_capacity(BURST);
        let mut stop_at = None;
        loop {
            let now = self.clock.now();
            let led = self.control.leads(now);
            if stop_at.is_some_and(|at| now >= at || !led) {
                return;
            }
            let wake = stop_at.map_or(self.wake, |at| self.wake.min(at));
            tokio::select! {
                count = queue.recv_many(&mut burst, BURST) => {
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
                    Job::Read(read) => self.read(read),
                    Job::Stop => {
                        event!(telemetry::Event::DrainBegun);
                        self.handle(Input::HandOver);
                        stop_at = Some(self.clock.now() + HANDOVER);
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
            Output::Applied { ticket, applied } => state.answer(ticket, applied),
            Output::Forward { ticket, to, apply } => peers::pass(state, ticket, &to, apply),
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
            // Nobody here changes replicas, or names editions and versions.
            Output::Members { .. } | Output::Published { .. } => {}
            Output::Wake(at) => self.wake = at,
            Output::Event(report) => write_event(report),
        }
    }

    fn write(&self, output: replog::Output) {
        let left = self.writer.take(output);
        debug_assert_eq!(left, None, "every write is for the writer");
    }

    fn read(&self, read: Read) {
        // Whoever asked may have left.
        match read {
            Read::Status(to) => {
                to.send(self.control.status(self.clock.now())).ok();
            }
            Read::History(to) => {
                to.send(self.control.history(base::TextVersion(0))).ok();
            }
            Read::Text(to) => {
                to.send(self.control.text()).ok();
            }
            Read::Peers(to) => {
                to.send(self.peers()).ok();
            }
        }
    }

    fn peers(&self) -> BTreeMap<InstanceName, SocketAddr> {
        let members = self.control.state().table().members().iter();
        let addressed = members.filter_map(|(name, member)| {
            let address = member.peer.parse().ok()?;
            Some((name.clone(), address))
        });
        addressed.collect()
    }
}

fn write_event(report: Event) {
    use telemetry::Event as Line;
    match report {
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
