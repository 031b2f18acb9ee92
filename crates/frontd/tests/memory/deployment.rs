//! One control and one entry instance over loopback, and engines that break off streams.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use frontd::{CallOutcome, ControlSetup, EntrySetup, Operators, Platform};
use futures::FutureExt;
use gateway::zone_owner::{Held, ListedTarget, OrderOutcome, Report};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use tokio::{net::TcpListener, sync::Notify, time::sleep};
use tokio_util::sync::CancellationToken;
use web::{
    body::{self, Body, ReadLimits, full, read},
    client::{Client, Send},
    header_value, server,
};
use wire::fleet::Edition;

use crate::{
    engines::decoded,
    platform::{header_names, loopback_ip, retries, slack},
};

/// The adapter that every engine holds.
pub(crate) const ADAPTER: &str = "m/a";

/// Addresses reserved for the instances of one deployment.
const INSTANCES: u8 = 2;
const PEERS: u16 = 17_580;
const OPERATORS: u16 = 17_581;
const CALLERS: u16 = 17_582;
const READY: u16 = 17_583;

/// Number of the next deployment in this test process.
static NEXT: AtomicU8 = AtomicU8::new(1);

/// What an engine holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holds {
    /// Version of the base model's weights.
    pub(crate) weights: u32,
    /// Version of the adapter.
    pub(crate) adapter: u32,
    /// Version of the weights according to the platform's list.
    pub(crate) listed: u32,
    /// Version of the weights from the second event of a run on.
    pub(crate) midway: u32,
}

/// A run at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) engine: usize,
    pub(crate) holds: Holds,
    /// Whether it continues from the KV cache of a run at another engine.
    pub(crate) restored: bool,
}

struct Engine {
    addr: SocketAddr,
    holds: Mutex<Holds>,
}

struct Fleet {
    engines: Vec<Engine>,
    runs: Mutex<Vec<Run>>,
    /// Copies of KV caches, written ADDRESS/REQUEST.
    copies: Mutex<BTreeSet<String>>,
    /// Notified when streams have to break off.
    crash: Notify,
}

/// A deployment in this process.
pub(crate) struct Deployment {
    no: u8,
    fleet: Arc<Fleet>,
    _data: tempfile::TempDir,
}

impl Deployment {
    /// Starts all instances and waits until a request is answered.
    pub(crate) async fn start(holds: &[Holds]) -> Deployment {
        let no = NEXT.fetch_add(1, Ordering::Relaxed);
        let fleet = start_engines(holds).await;
        let data = tempfile::tempdir().unwrap();
        let platform = platform(no, &fleet);
        tokio::spawn(frontd::serve_control(
            ControlSetup {
                ip: own_ip(no, 1),
                listen: SocketAddr::new(own_ip(no, 1), OPERATORS),
                peer_port: PEERS,
                data_dir: data.path().to_owned(),
                bootstrap: true,
                zone: "za".to_owned(),
                zones: ["za".to_owned()].into(),
                takeover_delay: Duration::from_secs(3),
                list_lag: Duration::from_millis(2_300),
                machine: base::Machine::default(),
            },
            platform.clone(),
            take,
        ));
        tokio::spawn(frontd::serve_entry(
            EntrySetup {
                ip: own_ip(no, 2),
                zone: "za".to_owned(),
                zones: vec!["za".to_owned()],
                listen: SocketAddr::new(own_ip(no, 2), CALLERS),
                ready: SocketAddr::new(own_ip(no, 2), READY),
                operators: None,
                peer_port: PEERS,
                grace: Duration::from_secs(8),
                drain: Duration::from_secs(3),
                retries: retries(),
                hedge_limit: None,
                slack: slack(),
                machine: base::Machine::default(),
            },
            platform,
        ));
        let deployment = Deployment {
            no,
            fleet,
            _data: data,
        };
        deployment.submit("/1").await;
        while deployment.complete_answer("0", "m").await.is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        deployment.fleet.runs.lock().unwrap().clear();
        deployment
    }

    /// Sets the version of the adapter, and waits until it is known everywhere.
    pub(crate) async fn set_version(&self, version: u32) {
        self.submit(&format!("/{version}?{ADAPTER}")).await;
        sleep(Duration::from_millis(1_500)).await;
    }

    /// Changes what an engine holds, and waits until it is known everywhere.
    pub(crate) async fn change(&self, engine: usize, change: impl FnOnce(&mut Holds)) {
        change(&mut self.fleet.engines[engine].holds.lock().unwrap());
        sleep(Duration::from_millis(1_500)).await;
    }

    /// Breaks off all streams, once their callers have the first events.
    pub(crate) async fn crash_streams(&self) {
        sleep(Duration::from_millis(50)).await;
        self.fleet.crash.notify_waiters();
    }

    /// Waits until a request runs, and returns the run.
    pub(crate) async fn started(&self, request: &str) -> Run {
        loop {
            if let Some(run) = self.runs().into_iter().find(|run| run.request == request) {
                return run;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.fleet.runs.lock().unwrap().clone()
    }

    /// Sends a request for `model`, and returns its answer if it is complete.
    pub(crate) async fn complete_answer(&self, request: &str, model: &str) -> Option<String> {
        let addr = SocketAddr::new(own_ip(self.no, 2), CALLERS);
        let mut send = Send::new(addr, Method::POST, "/x");
        let fields = [
            ("host", "a.example"),
            ("attempt", request),
            ("model", model),
            ("tokens", "100,400"),
            ("deadline", "20000"),
        ];
        for (name, value) in fields {
            send.headers.insert(name, header_value(value));
        }
        let answer = Client::default().send(send).await.ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        let body = answer.read_all(1 << 20).await.ok()?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    async fn submit(&self, path: &str) {
        let addr = SocketAddr::new(own_ip(self.no, 1), OPERATORS);
        loop {
            let send = Send::new(addr, Method::POST, path);
            let answer = Client::default().send(send).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn start_engines(holds: &[Holds]) -> Arc<Fleet> {
    let mut listeners = Vec::new();
    let mut engines = Vec::new();
    for holds in holds {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        engines.push(Engine {
            addr: listener.local_addr().unwrap(),
            holds: Mutex::new(*holds),
        });
        listeners.push(listener);
    }
    let fleet = Arc::new(Fleet {
        engines,
        runs: Mutex::default(),
        copies: Mutex::default(),
        crash: Notify::new(),
    });
    for (no, listener) in listeners.into_iter().enumerate() {
        let at = Arc::clone(&fleet);
        tokio::spawn(server::serve(
            listener,
            server::Limits::default(),
            move |req| run(Arc::clone(&at), no, req),
            CancellationToken::new(),
        ));
    }
    fleet
}

/// Runs a request. A run with the adapter sends two events and waits for the crash of its
/// engine; one that continues from a KV cache, or has no adapter, sends the last two.
async fn run(fleet: Arc<Fleet>, engine: usize, req: Request<Incoming>) -> Response<Body> {
    let headers = req.headers().clone();
    let text = |name: &str| headers.get(name)?.to_str().ok().map(str::to_owned);
    let holds = *fleet.engines[engine].holds.lock().unwrap();
    let model = text("model").unwrap_or_default();
    let own = if model == ADAPTER {
        holds.adapter
    } else {
        holds.weights
    };
    let other = text("version").is_some_and(|version| version != own.to_string());
    if other || text("target") != Some(format!("e{engine}")) {
        return head(&headers, holds, StatusCode::MISDIRECTED_REQUEST, full(""));
    }
    let request = text("attempt").unwrap_or_default();
    let restored = text("restore");
    if restored
        .as_ref()
        .is_some_and(|copy| !fleet.has_copy(engine, copy, &request))
    {
        return head(&headers, holds, StatusCode::SERVICE_UNAVAILABLE, full(""));
    }
    if let Some(place) = text("backup") {
        fleet
            .copies
            .lock()
            .unwrap()
            .insert(format!("{place}/{request}"));
    }
    fleet.runs.lock().unwrap().push(Run {
        request,
        engine,
        holds,
        restored: restored.is_some(),
    });
    if restored.is_some() || model != ADAPTER {
        let rest = full("id: 3\n\nid: 4\n\n");
        return head(&headers, holds, StatusCode::OK, rest);
    }
    let (writer, events) = body::channel(4);
    tokio::spawn(async move {
        let crash = fleet.crash.notified();
        let first = first_events(holds);
        writer.piece(Bytes::from(first)).await.ok();
        crash.await;
    });
    head(&headers, holds, StatusCode::OK, events)
}

/// Returns the first two events of a run.
fn first_events(holds: Holds) -> String {
    let change = if holds.midway == holds.weights {
        String::new()
    } else {
        format!("weights: {}\n", holds.midway)
    };
    format!("id: 1\n\n{change}id: 2\n\n")
}

impl Fleet {
    /// Returns whether an engine keeps the copy `copy` of the KV cache of `request`.
    fn has_copy(&self, engine: usize, copy: &str, request: &str) -> bool {
        let own = format!("{}/{request}", self.engines[engine].addr);
        copy == own && self.copies.lock().unwrap().contains(copy)
    }
}

fn head(headers: &HeaderMap, holds: Holds, status: StatusCode, body: Body) -> Response<Body> {
    let mut resp = Response::new(body);
    *resp.status_mut() = status;
    if let Some(id) = headers.get("attempt") {
        resp.headers_mut().insert("attempt", id.clone());
    }
    let weights = header_value(&holds.weights.to_string());
    resp.headers_mut().insert("weights", weights);
    resp
}

fn listed(fleet: &Fleet) -> Vec<ListedTarget> {
    let engines = fleet.engines.iter().enumerate();
    let listed = engines.map(|(no, engine)| ListedTarget {
        id: format!("e{no}"),
        born: 1,
        service: "s".to_owned(),
        addr: engine.addr.to_string(),
        zone: "za".to_owned(),
        software: Some("v1".parse().unwrap()),
        slots: 10,
        ready: true,
        held: Some(held(*engine.holds.lock().unwrap())),
    });
    listed.collect()
}

fn held(holds: Holds) -> Held {
    Held {
        models: BTreeMap::from([("m".to_owned(), Some(holds.listed))]),
        adapters: BTreeMap::from([(ADAPTER.to_owned(), holds.adapter)]),
    }
}

/// Answers a request of an operator: the path is a number, the query the adapter whose
/// version it is; without a query it is the number of an edition.
async fn take(operators: Operators, req: Request<Incoming>) -> Response<Body> {
    let number: u64 = req.uri().path()[1..].parse().unwrap();
    let adapter = req.uri().query().map(str::to_owned);
    read(req.into_body(), ReadLimits::default()).await.unwrap();
    let outcome = match adapter {
        Some(adapter) => {
            operators
                .set_version(adapter, u32::try_from(number).unwrap())
                .await
        }
        None => {
            let body = String::new();
            operators.publish(Edition { number, body }).await
        }
    };
    let mut resp = Response::new(full(""));
    if outcome != CallOutcome::Done {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}

fn own_ip(no: u8, instance: u8) -> IpAddr {
    loopback_ip(u16::from(no * INSTANCES + instance))
}

fn platform(no: u8, fleet: &Arc<Fleet>) -> Platform {
    let (list, ask) = (Arc::clone(fleet), Arc::clone(fleet));
    Platform {
        header_names: Arc::new(header_names()),
        decode: Arc::new(|_| Ok(decoded())),
        list_targets: Arc::new(move |_| {
            let list = listed(&list);
            async { Some(list) }.boxed()
        }),
        send_order: Arc::new(|_| async { OrderOutcome::Refused }.boxed()),
        read_report: Arc::new(move |id, _| {
            let listed = listed(&ask).into_iter().find(|listed| listed.id == id);
            let report = listed.map(|listed| Report {
                born: 1,
                held: listed.held.unwrap_or_default(),
                ..Report::default()
            });
            async { report }.boxed()
        }),
        read_seeds: Arc::new(move || Some(vec![own_ip(no, 1)])),
        map_address: Arc::new(|addr| addr),
    }
}
