//! A deployment of three control instances, and entry instances behind links of limited
//! bandwidth.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use frontd::{CallOutcome, ControlSetup, Decoded, EntrySetup, Operators, Platform};
use futures::FutureExt;
use gateway::table::{Kind, RawTable, Route, Service, Table};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until, timeout},
};
use web::{
    body::{Body, ReadLimits, full, read},
    client::{Client, Send},
    header_value,
};
use wire::fleet::Edition;

use crate::platform::{header_names, loopback_ip, retries, slack};

/// Bandwidth of an entry instance's link: 10 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 1_250_000.0;

/// Bytes that a link passes at once.
const SLICE: usize = 4 << 10;

pub(crate) const CONTROLS: u8 = 3;
/// Addresses reserved for the instances of one deployment.
const INSTANCES: u8 = 16;
/// Port on which control instances listen for each other.
const PEERS: u16 = 17_480;
const OPERATORS: u16 = 17_481;
/// Lowest port of the proxies in front of control instances; each link has its own.
const LINKS: u16 = 17_490;
const CALLERS: u16 = 17_482;
const READY: u16 = 17_483;

/// Number of the next deployment in this test process.
static NEXT: AtomicU8 = AtomicU8::new(1);

/// A deployment in this process.
pub(crate) struct Deployment {
    no: u8,
    /// How often control instances have decoded an edition.
    decoded: Arc<AtomicUsize>,
    _data: Vec<tempfile::TempDir>,
}

/// An entry instance behind its own link.
pub(crate) struct Entry {
    ip: IpAddr,
    link: Arc<Link>,
}

/// Traffic that a link has carried to its entry instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Used {
    pub(crate) bytes: usize,
    pub(crate) connections: usize,
}

impl Used {
    pub(crate) fn since(self, before: Used) -> Used {
        Used {
            bytes: self.bytes - before.bytes,
            connections: self.connections - before.connections,
        }
    }
}

#[derive(Default)]
struct Link {
    /// When the next bytes may pass.
    free: Mutex<Option<Instant>>,
    /// The control instance whose bytes are held back.
    silent: Mutex<Option<u8>>,
    bytes: AtomicUsize,
    connections: AtomicUsize,
}

impl Deployment {
    /// Starts the control instances and publishes a first edition of one route.
    pub(crate) async fn start() -> Deployment {
        let no = NEXT.fetch_add(1, Ordering::Relaxed);
        let decoded = Arc::new(AtomicUsize::new(0));
        let mut data = Vec::new();
        for control in 1..=CONTROLS {
            let folder = tempfile::tempdir().unwrap();
            start_control(no, control, folder.path(), &decoded);
            data.push(folder);
        }
        let deployment = Deployment {
            no,
            decoded,
            _data: data,
        };
        deployment.publish(1, "a.example /first/\n").await;
        deployment
    }

    /// Publishes an edition, retrying until the leader has accepted it.
    pub(crate) async fn publish(&self, number: u64, body: &str) {
        self.submit(&format!("/{number}"), body).await;
    }

    /// Sets the version of an adapter, retrying until the leader has accepted it.
    pub(crate) async fn set_version(&self, adapter: &str, version: u32) {
        self.submit(&format!("/{version}?adapter"), adapter).await;
    }

    /// Returns how often control instances have decoded an edition.
    pub(crate) fn decode_count(&self) -> usize {
        self.decoded.load(Ordering::Relaxed)
    }

    async fn submit(&self, path: &str, body: &str) {
        for control in (1..=CONTROLS).cycle().take(300) {
            let addr = SocketAddr::new(control_ip(self.no, control), OPERATORS);
            let mut send = Send::new(addr, Method::POST, path);
            send.body = body.to_owned().into();
            let answer = Client::default().send(send).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("no control instance accepts {path}");
    }

    /// Starts an entry instance behind a link of its own.
    pub(crate) async fn entry(&self, no: u8) -> Entry {
        let link = Arc::new(Link::default());
        let port = LINKS + u16::from(no);
        for control in 1..=CONTROLS {
            let ip = control_ip(self.no, control);
            let listener = TcpListener::bind((ip, port)).await.unwrap();
            tokio::spawn(proxy(Arc::clone(&link), listener, ip, control));
        }
        let ip = own_ip(self.no, CONTROLS + no);
        let setup = EntrySetup {
            ip,
            zone: "za".to_owned(),
            zones: vec!["za".to_owned()],
            listen: SocketAddr::new(ip, CALLERS),
            ready: SocketAddr::new(ip, READY),
            operators: None,
            peer_port: port,
            grace: Duration::from_secs(8),
            drain: Duration::from_secs(3),
            retries: retries(),
            hedge_limit: None,
            slack: slack(),
            machine: base::Machine::default(),
        };
        tokio::spawn(frontd::serve_entry(setup, platform(self.no)));
        Entry { ip, link }
    }
}

impl Entry {
    /// Waits until its readiness probe succeeds.
    pub(crate) async fn until_ready(&self, limit: Duration) {
        let addr = SocketAddr::new(self.ip, READY);
        let ready = async {
            while status(addr, "/").await != Some(StatusCode::OK) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(limit, ready)
            .await
            .expect("the entry instance is not ready in time");
    }

    /// Waits until a request matches a route, and returns how long that took.
    pub(crate) async fn until_served(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<Duration, String> {
        let addr = SocketAddr::new(self.ip, CALLERS);
        let begun = Instant::now();
        loop {
            let found = status(addr, path).await;
            if found.is_some_and(|status| status != StatusCode::NOT_FOUND) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() >= limit {
                return Err(format!("{path} is not served after {limit:?}"));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Holds back all bytes of one control instance, and no longer those of another.
    pub(crate) fn silence(&self, control: u8) {
        *self.link.silent.lock().unwrap() = Some(control);
    }

    /// Returns the bytes that the link carries to the instance during `time`.
    pub(crate) async fn carried(&self, time: Duration) -> usize {
        let before = self.link();
        sleep(time).await;
        self.link().since(before).bytes
    }

    pub(crate) fn link(&self) -> Used {
        Used {
            bytes: self.link.bytes.load(Ordering::Relaxed),
            connections: self.link.connections.load(Ordering::Relaxed),
        }
    }
}

/// Returns an edition of `routes` routes as long as those of real configurations, and of
/// `/added/`.
pub(crate) fn body(routes: usize) -> String {
    let mut text = String::from("a.example /first/\na.example /added/\n");
    for no in 0..routes {
        let name = base::stable_hash(&[&no.to_le_bytes()]);
        let fixed = r#""kind":"stream","limit":15000,"aim":1000,"priority":1,"service":"huvo11a","tries":2,"stays":true,"goes-on":true,"longest-pause":300,"weight":1"#;
        text += &format!(
            "b.example /{name:016x}/ \"name\":\"r-{name:08x}\",\"host\":\"ficu95.example\",\"prefix\":\"/{name:012x}/\",{fixed}\n"
        );
    }
    text
}

/// Returns an edition of `/added/` and about `bytes` bytes that hardly compress.
pub(crate) fn incompressible_body(bytes: usize) -> String {
    let mut text = String::from("a.example /first/\na.example /added/\n");
    let mut no: u64 = 0;
    while text.len() < bytes {
        no += 1;
        text += &format!("c.example /{no}/ ");
        for part in 0..32 {
            let hash = base::stable_hash(&[&no.to_le_bytes(), &[part]]);
            let chars = hash.to_le_bytes().map(|byte| char::from(b'0' + byte % 64));
            text.extend(chars);
        }
        text.push('\n');
    }
    text
}

fn control_ip(no: u8, control: u8) -> IpAddr {
    own_ip(no, control)
}

fn own_ip(no: u8, instance: u8) -> IpAddr {
    loopback_ip(u16::from(no * INSTANCES + instance))
}

fn start_control(no: u8, control: u8, data: &std::path::Path, decoded: &Arc<AtomicUsize>) {
    let ip = control_ip(no, control);
    let setup = ControlSetup {
        ip,
        listen: SocketAddr::new(ip, OPERATORS),
        peer_port: PEERS,
        data_dir: data.to_owned(),
        bootstrap: true,
        zone: "za".to_owned(),
        zones: ["za".to_owned()].into(),
        takeover_delay: Duration::from_secs(3),
        list_lag: Duration::from_millis(2_300),
        machine: base::Machine::default(),
    };
    let decoded = Arc::clone(decoded);
    let mut platform = platform(no);
    platform.decode = Arc::new(move |body| {
        decoded.fetch_add(1, Ordering::Relaxed);
        decode(body)
    });
    tokio::spawn(frontd::serve_control(setup, platform, take));
}

/// Answers a request of an operator. The path is the number of the edition in the body;
/// with a query the body is an adapter and the path its version.
async fn take(operators: Operators, req: Request<Incoming>) -> Response<Body> {
    let number: u64 = req.uri().path()[1..].parse().unwrap();
    let adapter = req.uri().query().is_some();
    let limits = ReadLimits {
        bytes: 16 << 20,
        ..ReadLimits::default()
    };
    let body = read(req.into_body(), limits).await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    let outcome = if adapter {
        operators
            .set_version(body, u32::try_from(number).unwrap())
            .await
    } else {
        operators.publish(Edition { number, body }).await
    };
    let mut resp = Response::new(full(""));
    if outcome != CallOutcome::Done {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}

async fn status(addr: SocketAddr, path: &str) -> Option<StatusCode> {
    let mut send = Send::new(addr, Method::GET, path);
    send.headers.insert("host", header_value("a.example"));
    let answer = Client::default().send(send).await;
    answer.ok().map(|answer| answer.status)
}

/// Forwards connections of an entry instance to one control instance over the link.
async fn proxy(link: Arc<Link>, listener: TcpListener, ip: IpAddr, control: u8) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            return;
        };
        link.connections.fetch_add(1, Ordering::Relaxed);
        let Ok(far) = TcpStream::connect((ip, PEERS)).await else {
            continue;
        };
        let (mut from_near, to_near) = near.into_split();
        let (from_far, mut to_far) = far.into_split();
        let link = Arc::clone(&link);
        tokio::spawn(async move {
            tokio::io::copy(&mut from_near, &mut to_far).await.ok();
        });
        tokio::spawn(async move {
            link.pass(control, from_far, to_near).await.ok();
        });
    }
}

impl Link {
    /// Passes bytes on at the link's bandwidth, which all its connections share.
    async fn pass(
        &self,
        control: u8,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let mut slice = vec![0; SLICE];
        loop {
            let count = from.read(&mut slice).await?;
            if count == 0 {
                return to.shutdown().await;
            }
            while *self.silent.lock().unwrap() == Some(control) {
                sleep(Duration::from_millis(20)).await;
            }
            sleep_until(self.reserve(count)).await;
            to.write_all(&slice[..count]).await?;
            self.bytes.fetch_add(count, Ordering::Relaxed);
        }
    }

    /// Reserves the link for `count` bytes, and returns when they have passed.
    fn reserve(&self, count: usize) -> Instant {
        let mut free = self.free.lock().unwrap();
        let now = Instant::now();
        let begin = free.unwrap_or(now).max(now);
        let end = begin + Duration::from_secs_f64(count as f64 / LINK_BYTES_PER_SECOND);
        *free = Some(end);
        end
    }
}

fn platform(no: u8) -> Platform {
    let seeds: Vec<_> = (1..=CONTROLS).map(|c| control_ip(no, c)).collect();
    Platform {
        header_names: Arc::new(header_names()),
        decode: Arc::new(decode),
        list_targets: Arc::new(|_| async { Some(Vec::new()) }.boxed()),
        send_order: Arc::new(|_| async { gateway::zone_owner::OrderOutcome::Refused }.boxed()),
        read_report: Arc::new(|_, _| async { None }.boxed()),
        read_seeds: Arc::new(move || Some(seeds.clone())),
        map_address: Arc::new(|addr| addr),
    }
}

/// Decodes an edition: one route per line, beginning with host and prefix.
fn decode(body: &str) -> Result<Decoded, String> {
    let mut table = RawTable::default();
    table
        .services
        .insert("s".to_owned(), Service { engine: None });
    for line in body.lines() {
        let mut words = line.split(' ');
        let (host, prefix) = (words.next(), words.next());
        table.routes.push(Route {
            name: line.to_owned(),
            host: host.unwrap_or_default().to_owned(),
            prefix: prefix.unwrap_or_default().to_owned(),
            kind: Kind::Safe,
            limit: Duration::from_secs(1),
            goal: None,
            priority: 1,
            split: vec![("s".to_owned(), 1)],
            attempts: 1,
            public: false,
        });
    }
    let table = Table::try_from(table).map_err(|bad| bad.to_string())?;
    Ok(Decoded { number: 0, table })
}
