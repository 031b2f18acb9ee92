//! One control instance, some entry instances and some engines over loopback.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use frontd::{CallOutcome, ControlSetup, Decoded, EntrySetup, Operators, Platform};
use futures::{FutureExt, future::join_all};
use gateway::{
    budget,
    hedge::HedgeLimit,
    zone_owner::{Held, ListedTarget, OrderOutcome, Report},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tokio::{
    runtime::{Builder, Handle, Runtime},
    time::sleep,
};
use web::{
    body::{Body, ReadLimits, full, read},
    client::{self, Answer, Client, Framing},
    header_value,
};
use wire::fleet::Edition;

use crate::{
    engine::{Begun, Engine},
    engines::{decoded, decoded_with},
    links::Links,
    platform::{header_names, loopback_ip, retries, slack},
};

/// The adapter that every engine holds.
const ADAPTER: &str = "m/a";

/// Addresses reserved for the instances of one deployment: one control instance and up to four
/// entry instances.
const INSTANCES: u16 = 5;
const PEERS: u16 = 17_680;
const OPERATORS: u16 = 17_681;
const CALLERS: u16 = 17_682;
const READY: u16 = 17_683;

/// Retries that are enough where every request needs one.
const MANY_RETRIES: f64 = 10_000.0;

/// Number of the next deployment in this test process.
static NEXT: AtomicU16 = AtomicU16::new(1);

/// A target as the platform lists it.
pub(crate) struct Listed {
    pub(crate) target: ListedTarget,
    /// One that is down stays on the list for a while.
    pub(crate) up: bool,
}

/// Lists all targets.
pub(crate) type ListFn = Arc<dyn Fn() -> Vec<Listed> + Send + Sync>;

/// Returns the configuration.
pub(crate) type ConfigFn = Arc<dyn Fn() -> Decoded + Send + Sync>;

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Told {
    pub(crate) status: u16,
    /// The body, if it was complete.
    pub(crate) body: Option<String>,
    /// When to come back.
    pub(crate) again: Option<Duration>,
    /// Time until the end of the answer.
    pub(crate) took: Duration,
}

/// What requests are hedged by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HedgingSettings {
    pub(crate) limit: Option<HedgeLimit>,
    /// Goal of each route.
    pub(crate) goal: Duration,
}

/// A deployment in this process.
pub(crate) struct Deployment {
    no: u16,
    engines: Vec<Arc<Engine>>,
    list: ListFn,
    retries: budget::Limits,
    hedging: Option<HedgingSettings>,
    config: ConfigFn,
    next_id: AtomicU64,
    /// Links of each entry instance to the engines, if they can be cut.
    links: Vec<Arc<Links>>,
    /// Of the entry instances that can be killed.
    runtimes: Mutex<BTreeMap<u8, Runtime>>,
    /// Of the control instance.
    control: Mutex<Option<Runtime>>,
    /// Whether the control instance's calls to the platform fail.
    blind: Arc<AtomicBool>,
    data: tempfile::TempDir,
}

impl Deployment {
    /// Starts all instances and waits until each entry instance answers a request.
    pub(crate) async fn start(entries: u8, engines: usize) -> Deployment {
        Deployment::start_with(entries, engines, Vec::new()).await
    }

    /// As [`Self::start`], with links to engines that can be cut. The last entry instance
    /// stands in a zone of its own.
    pub(crate) async fn start_linked(entries: u8, engines: usize) -> Deployment {
        let links = join_all((0..entries).map(|_| Links::new())).await;
        Deployment::start_with(entries, engines, links).await
    }

    /// As [`Self::start_linked`], before other targets than engines.
    pub(crate) async fn start_listed(entries: u8, list: ListFn) -> Deployment {
        Deployment::start_allowing(entries, list, MANY_RETRIES).await
    }

    /// As [`Self::start_listed`], with `ratio` retries for each request, and none at all if that
    /// is 0.
    pub(crate) async fn start_allowing(entries: u8, list: ListFn, ratio: f64) -> Deployment {
        let links = join_all((0..entries).map(|_| Links::new())).await;
        let retries = budget::Limits { ratio, ..retries() };
        let options = (retries, None, default_config());
        Deployment::start_before(entries, Vec::new(), list, links, options).await
    }

    /// As [`Self::start_listed`], with a configuration of its own.
    pub(crate) async fn start_configured(
        entries: u8,
        list: ListFn,
        config: ConfigFn,
    ) -> Deployment {
        let options = (retries(), None, config);
        Deployment::start_before(entries, Vec::new(), list, Vec::new(), options).await
    }

    /// As [`Self::start_listed`], with requests that are hedged.
    pub(crate) async fn start_hedging(list: ListFn, hedging: HedgingSettings) -> Deployment {
        let retries = budget::Limits {
            ratio: MANY_RETRIES,
            ..retries()
        };
        let config: ConfigFn = Arc::new(move || decoded_with(0, Some(hedging.goal)));
        let options = (retries, Some(hedging), config);
        Deployment::start_before(1, Vec::new(), list, Vec::new(), options).await
    }

    /// As [`Self::start`], with a configuration of its own and few places at each engine.
    pub(crate) async fn start_small(
        entries: u8,
        engines: usize,
        places: u32,
        config: ConfigFn,
    ) -> Deployment {
        let engines: Vec<_> = (0..engines).map(Engine::start).collect();
        engines
            .iter()
            .for_each(|engine| engine.limit_places(places));
        let list = listed(engines.clone());
        let options = (retries(), None, config);
        Deployment::start_before(entries, engines, list, Vec::new(), options).await
    }

    async fn start_with(entries: u8, engines: usize, links: Vec<Arc<Links>>) -> Deployment {
        let engines: Vec<_> = (0..engines).map(Engine::start).collect();
        let list = listed(engines.clone());
        let options = (retries(), None, default_config());
        Deployment::start_before(entries, engines, list, links, options).await
    }

    async fn start_before(
        entries: u8,
        engines: Vec<Arc<Engine>>,
        list: ListFn,
        links: Vec<Arc<Links>>,
        (retries, hedging, config): (budget::Limits, Option<HedgingSettings>, ConfigFn),
    ) -> Deployment {
        let no = NEXT.fetch_add(1, Ordering::Relaxed);
        let deployment = Deployment {
            no,
            engines,
            list,
            retries,
            hedging,
            config,
            next_id: AtomicU64::new(1),
            links,
            runtimes: Mutex::default(),
            control: Mutex::default(),
            blind: Arc::default(),
            data: tempfile::tempdir().unwrap(),
        };
        deployment.start_control(true);
        for entry in 1..=entries {
            deployment.start_entry(entry);
        }
        deployment.submit("/1").await;
        for entry in 1..=entries {
            deployment.wait_ready(entry).await;
        }
        deployment
    }

    /// Starts the entry instance with this number.
    pub(crate) fn start_entry(&self, entry: u8) {
        self.start_entry_on(entry, &Handle::current());
    }

    /// As [`Self::start_entry`], on a runtime of its own, so that it can be killed.
    pub(crate) fn start_entry_alone(&self, entry: u8) {
        let runtime = own_runtime();
        self.start_entry_on(entry, runtime.handle());
        self.runtimes.lock().unwrap().insert(entry, runtime);
    }

    /// Kills an entry instance: all its tasks end, and its connections are closed.
    pub(crate) fn kill_entry(&self, entry: u8) {
        let runtime = self.runtimes.lock().unwrap().remove(&entry);
        runtime.unwrap().shutdown_background();
    }

    /// Starts the control instance, on its disk as it is.
    pub(crate) fn start_control(&self, bootstrap: bool) {
        let runtime = own_runtime();
        let platform = platform(self.no, &self.list, None, &self.config);
        runtime.spawn(frontd::serve_control(
            ControlSetup {
                ip: own_ip(self.no, 0),
                listen: SocketAddr::new(own_ip(self.no, 0), OPERATORS),
                peer_port: PEERS,
                data_dir: self.data.path().to_owned(),
                bootstrap,
                zone: "za".to_owned(),
                zones: ["za".to_owned()].into(),
                takeover_delay: Duration::from_secs(3),
                list_lag: Duration::from_millis(2_300),
                machine: base::Machine::default(),
            },
            half_blind(platform, Arc::clone(&self.blind)),
            take,
        ));
        *self.control.lock().unwrap() = Some(runtime);
    }

    /// Removes the control instance's journal of streams, which may be lost with the power.
    pub(crate) fn lose_journal(&self) {
        for entry in std::fs::read_dir(self.data.path()).unwrap() {
            let entry = entry.unwrap();
            if entry.file_name().to_string_lossy().starts_with("streams.") {
                std::fs::remove_file(entry.path()).unwrap();
            }
        }
    }

    /// Kills the control instance.
    pub(crate) fn kill_control(&self) {
        let runtime = self.control.lock().unwrap().take();
        runtime.unwrap().shutdown_background();
    }

    /// Waits until nothing listens at an instance's addresses any more: a killed one closes its
    /// sockets some time later here, unlike a process.
    pub(crate) async fn wait_gone(&self, instance: u8) {
        let ports = [PEERS, OPERATORS, CALLERS, READY];
        let addrs = ports.map(|port| SocketAddr::new(own_ip(self.no, instance), port));
        while addrs.iter().any(|addr| TcpListener::bind(addr).is_err()) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Has an entry instance that can be killed stand still.
    pub(crate) fn freeze_entry(&self, entry: u8, time: Duration) {
        stand_still(&self.runtimes.lock().unwrap()[&entry], time);
    }

    /// Has the control instance stand still.
    pub(crate) fn freeze_control(&self, time: Duration) {
        stand_still(self.control.lock().unwrap().as_ref().unwrap(), time);
    }

    /// Makes the calls of the control instance to the platform fail from now on.
    pub(crate) fn blind_control(&self) {
        self.blind.store(true, Ordering::Relaxed);
    }

    fn start_entry_on(&self, entry: u8, runtime: &Handle) {
        let ip = own_ip(self.no, entry);
        let last = usize::from(entry) == self.links.len();
        runtime.spawn(frontd::serve_entry(
            EntrySetup {
                ip,
                zone: if last { "zb" } else { "za" }.to_owned(),
                zones: vec!["za".to_owned()],
                listen: SocketAddr::new(ip, CALLERS),
                ready: SocketAddr::new(ip, READY),
                operators: Some(SocketAddr::new(ip, OPERATORS)),
                peer_port: PEERS,
                grace: Duration::from_secs(8),
                drain: Duration::from_secs(3),
                retries: self.retries,
                hedge_limit: self.hedging.and_then(|hedging| hedging.limit),
                slack: slack(),
                machine: base::Machine::default(),
            },
            platform(
                self.no,
                &self.list,
                self.links.get(usize::from(entry) - 1),
                &self.config,
            ),
        ));
    }

    /// Returns where an instance listens for callers.
    pub(crate) fn caller_addr(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(own_ip(self.no, entry), CALLERS)
    }

    /// Returns where an entry instance answers operators.
    pub(crate) fn operators_addr(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(own_ip(self.no, entry), OPERATORS)
    }

    /// Returns where an instance listens for others.
    pub(crate) fn peer_addr(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(own_ip(self.no, entry), PEERS)
    }

    /// Returns the links of the entry instance with this number.
    pub(crate) fn links(&self, entry: u8) -> &Arc<Links> {
        &self.links[usize::from(entry) - 1]
    }

    /// Waits until an entry instance answers a request.
    pub(crate) async fn wait_ready(&self, entry: u8) {
        while self.ask(entry, "are you ready").await.status != 200 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns a number that no request has had.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a request under a new id, and returns what its caller was told.
    pub(crate) async fn ask(&self, entry: u8, body: &str) -> Told {
        self.ask_parts(entry, body, "").await
    }

    /// As [`Self::ask`], with the parts of the prompt as the header names them.
    pub(crate) async fn ask_parts(&self, entry: u8, body: &str, parts: &str) -> Told {
        self.ask_at(entry, "/x", body, ("parts", parts)).await
    }

    /// As [`Self::ask`], at a path and with one more field.
    pub(crate) async fn ask_at(
        &self,
        entry: u8,
        path: &str,
        body: &str,
        field: (&'static str, &str),
    ) -> Told {
        self.ask_by(entry, (Method::POST, path), body, field).await
    }

    /// As [`Self::ask_at`], with a method of its own. Each line of the field is one of its own.
    pub(crate) async fn ask_by(
        &self,
        entry: u8,
        (method, path): (Method, &str),
        body: &str,
        field: (&'static str, &str),
    ) -> Told {
        let id = self.next_id().to_string();
        let mut send = client::Send::new(self.caller_addr(entry), method, path);
        let fields = [
            ("host", "a.example"),
            ("attempt", &id),
            ("model", ADAPTER),
            ("tokens", "100,50"),
            ("deadline", "10000"),
        ];
        let lines = field.1.split('\n').map(|line| (field.0, line));
        for (name, value) in fields.into_iter().chain(lines) {
            send.headers.append(name, header_value(value));
        }
        send.body = body.to_owned().into();
        let begun = Instant::now();
        let Ok(mut answer) = Client::default().send(send).await else {
            return Told::nothing(begun);
        };
        let status = answer.status.as_u16();
        let again = answer.headers.get("retry-after");
        let again = again.and_then(|raw| raw.to_str().ok()?.parse().ok());
        let body = match answer.framing() {
            Framing::Connection => read_to_close(&mut answer).await,
            Framing::Length | Framing::Chunks => answer.read_all(1 << 20).await.ok(),
        };
        Told {
            status,
            body: body.map(|body| String::from_utf8_lossy(&body).into_owned()),
            again: again.map(Duration::from_secs_f64),
            took: begun.elapsed(),
        }
    }

    /// Returns the runs that were begun with `body` at any engine, the oldest first.
    pub(crate) fn runs(&self, body: &str) -> Vec<Begun> {
        let all = self.engines.iter().flat_map(|engine| engine.begun());
        let mut runs: Vec<_> = all.filter(|run| run.body == body).collect();
        runs.sort_by_key(|run| run.at);
        runs
    }

    /// Returns when runs with this part of a prompt were begun at any engine, the oldest first.
    pub(crate) fn runs_of_part(&self, id: &str) -> Vec<Instant> {
        let all = self.engines.iter().flat_map(|engine| engine.begun());
        let own = all.filter(|run| {
            let mut ids = run
                .parts
                .split(',')
                .filter_map(|part| part.split(':').next());
            ids.any(|part| part == id)
        });
        let mut times: Vec<_> = own.map(|run| run.at).collect();
        times.sort();
        times
    }

    /// Returns the engine with this number, from 0 on.
    pub(crate) fn engine(&self, no: usize) -> &Engine {
        &self.engines[no]
    }

    /// Returns when engines crashed, the oldest first.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        let mut all: Vec<_> = self.engines.iter().flat_map(|e| e.crashes()).collect();
        all.sort();
        all
    }

    /// Publishes the edition whose number is in `path`.
    pub(crate) async fn submit(&self, path: &str) {
        let addr = SocketAddr::new(own_ip(self.no, 0), OPERATORS);
        loop {
            let send = client::Send::new(addr, Method::POST, path);
            let answer = Client::default().send(send).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Dropped where blocking isn't allowed.
        for (_, runtime) in std::mem::take(&mut *self.runtimes.lock().unwrap()) {
            runtime.shutdown_background();
        }
        if let Some(runtime) = self.control.lock().unwrap().take() {
            runtime.shutdown_background();
        }
    }
}

impl Told {
    fn nothing(begun: Instant) -> Told {
        Told {
            status: 0,
            body: None,
            again: None,
            took: begun.elapsed(),
        }
    }
}

/// Reads a body that ends with its connection; none if that was reset.
async fn read_to_close(answer: &mut Answer) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(piece) = answer.next().await {
        body.extend_from_slice(&piece.ok()?);
    }
    Some(body.freeze())
}

fn listed(engines: Vec<Arc<Engine>>) -> ListFn {
    Arc::new(move || {
        let listed = engines.iter().map(|engine| Listed {
            target: ListedTarget {
                ready: !engine.leaves(),
                born: engine.born(),
                ..listed_target(engine.id(), engine.addr(), engine.slots())
            },
            up: engine.up(),
        });
        listed.collect()
    })
}

/// Returns a target that holds the adapter.
pub(crate) fn listed_target(id: String, addr: SocketAddr, slots: u32) -> ListedTarget {
    ListedTarget {
        id,
        born: 1,
        service: "s".to_owned(),
        addr: addr.to_string(),
        zone: "za".to_owned(),
        software: Some("v1".parse().unwrap()),
        slots,
        ready: true,
        held: Some(held()),
    }
}

fn held() -> Held {
    Held {
        models: BTreeMap::from([("m".to_owned(), Some(1))]),
        adapters: BTreeMap::from([(ADAPTER.to_owned(), 1)]),
    }
}

/// Answers a request of an operator: the path is the number of an edition.
async fn take(operators: Operators, req: Request<Incoming>) -> Response<Body> {
    let number: u64 = req.uri().path()[1..].parse().unwrap();
    read(req.into_body(), ReadLimits::default()).await.unwrap();
    let body = String::new();
    let outcome = operators.publish(Edition { number, body }).await;
    let mut resp = Response::new(full(""));
    if outcome != CallOutcome::Done {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}

fn own_ip(no: u16, instance: u8) -> IpAddr {
    loopback_ip(no * INSTANCES + u16::from(instance))
}

fn default_config() -> ConfigFn {
    Arc::new(decoded)
}

/// Blocks the only thread that runs the tasks of an instance.
fn stand_still(runtime: &Runtime, time: Duration) {
    runtime.spawn(async move { std::thread::sleep(time) });
}

/// Returns a runtime for an instance that can be killed.
fn own_runtime() -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(1).enable_all().build().unwrap()
}

/// Returns a platform whose lists can't be read while `blind` is set.
fn half_blind(platform: Platform, blind: Arc<AtomicBool>) -> Platform {
    let list = Arc::clone(&platform.list_targets);
    Platform {
        list_targets: Arc::new(move |zone| match blind.load(Ordering::Relaxed) {
            true => async { None }.boxed(),
            false => list(zone),
        }),
        ..platform
    }
}

fn platform(no: u16, list: &ListFn, links: Option<&Arc<Links>>, config: &ConfigFn) -> Platform {
    let (links, config) = (links.map(Arc::clone), Arc::clone(config));
    let (list, ask) = (Arc::clone(list), Arc::clone(list));
    Platform {
        header_names: Arc::new(header_names()),
        decode: Arc::new(move |_| Ok(config())),
        list_targets: Arc::new(move |_| {
            let list = list().into_iter().map(|listed| listed.target).collect();
            async { Some(list) }.boxed()
        }),
        send_order: Arc::new(|_| async { OrderOutcome::Refused }.boxed()),
        read_report: Arc::new(move |id, _| {
            let listed = ask().into_iter();
            let mut known = listed.filter(|listed| listed.target.id == id && listed.up);
            let report = known.next().map(|listed| Report {
                born: listed.target.born,
                held: held(),
                ..Report::default()
            });
            async { report }.boxed()
        }),
        read_seeds: Arc::new(move || Some(vec![own_ip(no, 0)])),
        map_address: Arc::new(move |engine| {
            let links = links.as_ref();
            links.map_or(engine, |links| links.address(engine))
        }),
    }
}
