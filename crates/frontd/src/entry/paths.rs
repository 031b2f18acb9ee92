//! How an entry instance connects to targets: directly, or through another instance while it
//! is cut off from all of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{InstanceName, Seed};
use daemon::{Clock, Fate, lock};
use gateway::{
    helpers::Helpers,
    reach::{Change, PROBE_TIMEOUT, Probe, Reach, SLOW_CONNECT, Summary, Targets},
    view::View,
};
use telemetry::{event, prom_metrics};
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep, timeout, timeout_at},
};
use web::{
    client::{Cause, Connect, Dialed, Dialer, direct},
    timeout::answer_by,
    tunnel::{self, Tunnel, TunnelError, TunnelStream},
};
use wire::helper::Helper;

use super::{Setup, state::State};
use crate::{MapAddress, names};

/// Time that one helper has to open a tunnel.
const HELPER_TIMEOUT: Duration = Duration::from_millis(300);

/// Most helpers that are tried for one connection without a pause.
const MAX_HELPERS: usize = 3;

/// Pause before a further helper is tried: one that is busy or in doubt may help by then.
const HELPER_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for the end of a doubt: as long as its probes take, and some more as they are
/// looked at late in a busy process.
const DOUBT_WAIT: Duration = Duration::from_millis(250);

/// Interval at which it is checked whether a target has to be tried, while cut off.
const CUT_INTERVAL: Duration = Duration::from_millis(50);

/// The ways from this instance to targets.
pub(super) struct Paths {
    name: InstanceName,
    port: u16,
    clock: Clock,
    address: MapAddress,
    view: Arc<Mutex<View>>,
    reach: Mutex<Reach>,
    helpers: Mutex<Helpers>,
    /// The helper through which each target was reached last.
    through: Mutex<BTreeMap<SocketAddr, InstanceName>>,
    /// Notified when a doubt or a cut begins or ends.
    changed: Notify,
}

impl Paths {
    pub(super) fn new(
        setup: &Setup,
        clock: Clock,
        address: MapAddress,
        view: Arc<Mutex<View>>,
    ) -> Arc<Paths> {
        let seed = Seed(rand::random());
        Arc::new(Paths {
            name: names::instance_name(setup.ip),
            port: setup.peer_port,
            clock,
            address,
            view,
            reach: Mutex::new(Reach::new(setup.zone.clone(), seed)),
            helpers: Mutex::new(Helpers::new(setup.zone.clone(), seed)),
            through: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Returns what makes connections to targets.
    pub(super) fn dialer(self: &Arc<Self>) -> Dialer {
        let paths = Arc::clone(self);
        Dialer::new(move |connect| {
            let paths = Arc::clone(&paths);
            async move { paths.dial(connect).await }
        })
    }

    /// Returns whether this instance is cut off from all targets.
    pub(super) fn is_cut(&self) -> bool {
        lock(&self.reach).is_cut()
    }

    /// Returns whether this instance can reach targets for others.
    pub(super) fn helps(&self) -> bool {
        let reach = lock(&self.reach);
        !reach.is_cut() && !reach.is_doubted()
    }

    /// Replaces the instances through which targets can be reached.
    pub(super) fn set_helpers(&self, helpers: Vec<Helper>) {
        lock(&self.helpers).told(helpers);
    }

    /// Connects to a target that this instance reaches itself.
    ///
    /// # Errors
    ///
    /// Fails with the reason; the instance then knows whether it is cut off.
    pub(super) async fn connect(
        self: &Arc<Self>,
        target: SocketAddr,
        until: Instant,
    ) -> Result<TcpStream, Cause> {
        let began = self.clock.now();
        let made = {
            let mut made = std::pin::pin!(direct((self.address)(target), until));
            match timeout(SLOW_CONNECT, &mut made).await {
                Ok(made) => made,
                Err(_) => {
                    self.doubt(began, target);
                    made.await
                }
            }
        };
        match made {
            Ok(stream) => {
                lock(&self.reach).connected(began);
                Ok(stream)
            }
            Err(cause) => {
                self.note_failed(target);
                self.doubt(began, target);
                self.settled().await;
                Err(cause)
            }
        }
    }

    /// Finds out what became of the target that listens at `target`.
    ///
    /// Failure: an instance is cut off from all targets in such a way that its connections
    /// are reset and new ones refused. It would take sound targets for crashed ones, and
    /// accuse the requests that ran there.
    pub(super) async fn fate(self: &Arc<Self>, target: SocketAddr) -> Fate {
        if !self.is_cut() {
            let began = self.clock.now();
            let fate = Fate::of((self.address)(target)).await;
            if fate != Fate::Crashed {
                return fate;
            }
            self.doubt(began, target);
            self.settled().await;
            if !self.is_cut() {
                return Fate::Crashed;
            }
        }
        let connect = Connect {
            addr: target,
            until: Instant::now() + HELPER_TIMEOUT,
            end: Instant::now() + HELPER_TIMEOUT,
            label: String::new(),
        };
        match self.open_tunnel(&connect).await {
            Ok(_) => Fate::Running,
            Err(TunnelError::Refused) => Fate::Crashed,
            Err(TunnelError::Silent | TunnelError::Resting | TunnelError::NoHelp(_)) => {
                Fate::Silent
            }
        }
    }

    async fn dial(self: Arc<Self>, connect: Connect) -> Result<Dialed, Cause> {
        if !self.is_cut() {
            let made = tokio::select! {
                made = self.connect(connect.addr, connect.until) => Some(made),
                () = self.cut() => None,
            };
            match made {
                Some(Ok(stream)) => {
                    return Ok(Dialed {
                        stream: Box::new(stream),
                        reusable: true,
                    });
                }
                Some(Err(cause)) if !self.is_cut() => return Err(cause),
                Some(Err(_)) | None => {}
            }
        }
        match self.open_tunnel(&connect).await {
            Ok(stream) => Ok(Dialed {
                stream: Box::new(stream),
                reusable: false,
            }),
            Err(TunnelError::Refused) => Err(Cause::Connect(TunnelError::Refused.to_string())),
            Err(TunnelError::Silent) => Err(Cause::ConnectTimeout),
            Err(TunnelError::Resting) => Err(Cause::Withdrawn),
            Err(TunnelError::NoHelp(_)) => Err(Cause::NoPath),
        }
    }

    /// Tells the helper through which a target was reached that this wants nothing from it: the
    /// target sees the helper's address, and its answers pass there unread.
    pub(super) async fn tell_rest(&self, target: SocketAddr, rest: Duration) {
        let helper = lock(&self.through).get(&target).cloned();
        let address = helper.and_then(|helper| names::instance_address(&helper, self.port));
        if let Some(address) = address {
            let until = Instant::now() + HELPER_TIMEOUT;
            // A helper that isn't told hears it from the target itself.
            tunnel::tell_rest(address, (target, rest), until).await.ok();
        }
    }

    /// Opens a tunnel through one of the helpers.
    async fn open_tunnel(&self, connect: &Connect) -> Result<TunnelStream, TunnelError> {
        let mut last = TunnelError::NoHelp("no helper is known".to_owned());
        for asked in 0.. {
            if asked >= MAX_HELPERS {
                if Instant::now() + HELPER_PAUSE >= connect.until {
                    break;
                }
                sleep(HELPER_PAUSE).await;
            }
            let Some(helper) = lock(&self.helpers).choose(self.clock.now()) else {
                break;
            };
            let Some(address) = names::instance_address(&helper, self.port) else {
                lock(&self.helpers).no_help(self.clock.now(), &helper);
                continue;
            };
            let tunnel = Tunnel {
                target: connect.addr,
                left: connect.left(),
                label: connect.label.clone(),
                from: self.name.to_string(),
            };
            let until = connect.end.min(Instant::now() + HELPER_TIMEOUT);
            let opened = tunnel::open(address, &tunnel, until).await;
            self.note_opened(&helper, connect, &opened);
            match opened {
                Err(TunnelError::NoHelp(why)) => {
                    lock(&self.helpers).no_help(self.clock.now(), &helper);
                    last = TunnelError::NoHelp(why);
                }
                // The helper may be cut off from this target only.
                Err(TunnelError::Silent) => last = TunnelError::Silent,
                Err(TunnelError::Resting) => last = TunnelError::Resting,
                opened => return opened,
            }
        }
        Err(last)
    }

    fn note_opened(
        &self,
        helper: &InstanceName,
        connect: &Connect,
        opened: &Result<TunnelStream, TunnelError>,
    ) {
        let outcome = match opened {
            Ok(_) => "opened",
            Err(TunnelError::NoHelp(_)) => "no_help",
            Err(TunnelError::Refused) => "refused",
            Err(TunnelError::Silent) => "silent",
            Err(TunnelError::Resting) => "resting",
        };
        if opened.is_ok() {
            lock(&self.through).insert(connect.addr, helper.clone());
        }
        prom_metrics().tunnel(outcome);
        event!(
            telemetry::Event::SentThrough,
            request = connect.label,
            target = connect.addr.to_string(),
            helper = helper.to_string(),
            outcome = outcome
        );
    }

    /// Tries other targets if a failed connection to `target` raises a doubt.
    fn doubt(self: &Arc<Self>, began: base::Time, target: SocketAddr) {
        let targets = self.targets();
        let probes = lock(&self.reach).doubt(began, target, &targets);
        self.probe_all(probes);
    }

    fn probe_all(self: &Arc<Self>, targets: BTreeSet<SocketAddr>) {
        for target in targets {
            tokio::spawn(Arc::clone(self).probe(target));
        }
    }

    async fn probe(self: Arc<Self>, target: SocketAddr) {
        let began = self.clock.now();
        let until = Instant::now() + PROBE_TIMEOUT;
        let made = answer_by(until, TcpStream::connect((self.address)(target))).await;
        let end = match made {
            Some(Ok(_)) => Probe::Connected,
            Some(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
            Some(Err(_)) | None => Probe::Silent,
        };
        let probed = lock(&self.reach).probed(self.clock.now(), began, target, end);
        if let Some(change) = &probed.change {
            self.apply(change);
        }
        self.probe_all(probed.probes);
        self.changed.notify_waiters();
    }

    fn apply(&self, change: &Change) {
        // Failures of the cut say nothing of the targets.
        lock(&self.view).forgive();
        match change {
            Change::Cut { since, targets } => {
                let age = self.clock.now().since(*since);
                event!(
                    telemetry::Event::TargetsCutOff,
                    targets = targets,
                    evidence_ms = age.as_millis()
                );
            }
            Change::Over { lasted } => {
                event!(
                    telemetry::Event::TargetsReachable,
                    lasted_ms = lasted.as_millis()
                );
            }
        }
    }

    /// Waits until this instance knows that it is cut off.
    async fn cut(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_cut() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until a doubt has ended.
    async fn settled(&self) {
        let until = Instant::now() + DOUBT_WAIT;
        loop {
            let changed = self.changed.notified();
            let doubted = lock(&self.reach).is_doubted();
            if !doubted || timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    fn targets(&self) -> Targets {
        lock(&self.view).addresses()
    }

    fn note_failed(&self, target: SocketAddr) {
        let summary = lock(&self.reach).failed(self.clock.now(), target);
        if let Some(Summary {
            made,
            failed,
            targets,
            during,
        }) = summary
        {
            event!(
                telemetry::Event::ConnectionsFailed,
                made = made,
                failed = failed,
                targets = targets,
                ms = during.as_millis()
            );
        }
    }
}

/// Tries targets while this instance is cut off, and tells the control instances when that
/// changes, for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    let paths = Arc::clone(&state.paths);
    let mut was_cut = false;
    loop {
        let changed = paths.changed.notified();
        let is_cut = paths.is_cut();
        if is_cut != was_cut {
            // Idle connections may be dead, and may live on though no new ones are made.
            state.client.forget_connections();
            state.controls.report_helping(&state);
            state.changed.notify_waiters();
            was_cut = is_cut;
        }
        if !is_cut {
            changed.await;
            continue;
        }
        let targets = paths.targets();
        let due = lock(&paths.reach).next_probe(paths.clock.now(), &targets);
        paths.probe_all(due.into_iter().collect());
        tokio::select! {
            () = changed => {}
            () = sleep(CUT_INTERVAL) => {}
        }
    }
}
