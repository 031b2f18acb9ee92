//! One control instance in this process, entry instances as processes of their own, and
//! targets behind links that can be cut.

use std::{
    collections::BTreeMap,
    fs,
    io::Read,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use frontd::{CallOutcome, ControlSetup, Decoded, EntrySetup, Operators, Platform};
use futures::{FutureExt, future::join_all};
use gateway::{
    budget,
    zone_owner::{Held, ListedTarget, OrderOutcome, Report},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tokio::{
    process::{Child, ChildStdin, Command},
    runtime::Handle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use web::{
    body::{Body, ReadLimits, full, read},
    client::{Client, Send},
};
use wire::fleet::Edition;

use crate::{
    engines::{decoded, decoded_with},
    http::Connection,
    links::{Cut, Links},
    platform::{header_names, loopback_ip, retries, slack},
    target::Target,
};

/// Entry instances, and targets.
pub(crate) const ENTRIES: u8 = 3;
const TARGETS: usize = 6;

const PEERS: u16 = 17_680;
const OPERATORS: u16 = 17_681;
const CALLERS: u16 = 17_682;
const READY: u16 = 17_683;
const TARGET_PORTS: u16 = 17_690;

/// Time from the request to stop until an instance is killed.
const GRACE: Duration = Duration::from_secs(8);

/// How long before that it may cut what it still serves.
const EARLY: Duration = Duration::from_millis(300);

/// Time between two looks at what the platform shows.
const SHOWN: Duration = Duration::from_millis(30);

/// Interval at which it is checked whether this process is held up.
const PULSE: Duration = Duration::from_millis(20);

/// Variables of an entry instance's process.
const OWN: &str = "SOAK_OWN_IP";
const CONTROL: &str = "SOAK_CONTROL_IP";
const FOLDER: &str = "SOAK_FOLDER";

/// Number of the next fleet in this process.
static NEXT: AtomicU16 = AtomicU16::new(0);

pub(crate) struct Fleet {
    no: u16,
    folder: PathBuf,
    targets: Vec<Arc<Target>>,
    links: Vec<Arc<Links>>,
    children: Mutex<BTreeMap<u8, Child>>,
    inputs: Mutex<Vec<ChildStdin>>,
    edition: AtomicU64,
    /// Instances that were gone or cut off from targets, and when.
    gone: Mutex<Vec<(u8, Instant, Option<Instant>)>>,
    /// When this process was held up, and for how long.
    held_up: Arc<Mutex<Vec<(Instant, Duration)>>>,
    ended: CancellationToken,
    cut: Mutex<Vec<(u8, Instant, Option<Instant>)>>,
}

impl Fleet {
    /// Starts all instances and waits until each entry instance answers a request.
    pub(crate) async fn start() -> Fleet {
        let no = NEXT.fetch_add(1, Ordering::Relaxed) * u16::from(ENTRIES + 1);
        let name = format!("quetzal-soak-{}-{no}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let targets = (0..TARGETS).map(|at| {
            let port = TARGET_PORTS + u16::try_from(at).expect("few targets");
            Target::start(at, SocketAddr::new(loopback_ip(no), port))
        });
        let fleet = Fleet {
            no,
            folder,
            targets: join_all(targets).await,
            links: join_all((0..ENTRIES).map(|_| Links::new())).await,
            children: Mutex::default(),
            inputs: Mutex::default(),
            edition: AtomicU64::new(0),
            gone: Mutex::default(),
            held_up: Arc::default(),
            ended: CancellationToken::new(),
            cut: Mutex::default(),
        };
        fleet.watch();
        fleet.start_control();
        fleet.show();
        for entry in 1..=ENTRIES {
            fleet.start_entry(entry);
        }
        fleet.publish(0).await;
        for entry in 1..=ENTRIES {
            fleet.wait_ready(entry).await;
        }
        fleet
    }

    pub(crate) fn targets(&self) -> &[Arc<Target>] {
        &self.targets
    }

    /// Returns where an instance listens for callers.
    pub(crate) fn caller_addr(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.own_ip(entry), CALLERS)
    }

    fn own_ip(&self, instance: u8) -> IpAddr {
        loopback_ip(self.no + u16::from(instance))
    }

    fn start_control(&self) {
        let ip = self.own_ip(0);
        let targets = self.targets.clone();
        let list = move || targets.iter().map(|t| (t.listed(), t.addr())).collect();
        let setup = ControlSetup {
            ip,
            listen: SocketAddr::new(ip, OPERATORS),
            peer_port: PEERS,
            data_dir: self.folder.join("control"),
            bootstrap: true,
            zone: "za".to_owned(),
            zones: ["za".to_owned()].into(),
            takeover_delay: Duration::from_secs(3),
            list_lag: Duration::from_millis(2_300),
            machine: base::Machine::default(),
        };
        let served = frontd::serve_control(setup, platform(ip, Arc::new(list), |addr| addr), take);
        tokio::spawn(served);
    }

    /// Shows entry instances the list of targets and the ends of their links.
    fn show(&self) {
        let (targets, links) = (self.targets.clone(), self.links.clone());
        let folder = self.folder.clone();
        let show = move || {
            let list: Vec<_> = targets
                .iter()
                .map(|target| {
                    let ((id, up), addr) = (target.listed(), target.addr());
                    format!("{id} {up} {addr}\n")
                })
                .collect();
            write(&folder, "list", &list.concat());
            for (at, links) in links.iter().enumerate() {
                let ends: Vec<_> = targets
                    .iter()
                    .map(|target| format!("{} {}\n", target.addr(), links.address(target.addr())))
                    .collect();
                write(&folder, &format!("links-{}", at + 1), &ends.concat());
            }
        };
        show();
        // Files and connections block, which no task here may.
        let (runtime, ended) = (Handle::current(), self.ended.clone());
        std::thread::spawn(move || {
            let _entered = runtime.enter();
            while !ended.is_cancelled() {
                std::thread::sleep(SHOWN);
                show();
            }
        });
    }

    /// Notes when tasks of this process run late.
    fn watch(&self) {
        let (held_up, ended) = (Arc::clone(&self.held_up), self.ended.clone());
        tokio::spawn(async move {
            while !ended.is_cancelled() {
                let begun = Instant::now();
                sleep(PULSE).await;
                let late = begun.elapsed() - PULSE;
                if late > PULSE {
                    held_up.lock().unwrap().push((begun, late));
                }
            }
        });
    }

    /// Returns for how long this process was held up between these times, in all.
    pub(crate) fn held_up(&self, from: Instant, to: Instant) -> Duration {
        let held_up = self.held_up.lock().unwrap();
        let during = held_up
            .iter()
            .filter(|(at, late)| *at <= to && from <= *at + PULSE + *late);
        during.map(|(_, late)| *late).sum()
    }

    /// Starts an entry instance, as a process of this program.
    pub(crate) fn start_entry(&self, entry: u8) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("entry-{entry}.log")))
            .unwrap();
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "entry_instance", "--ignored", "--nocapture"])
            .env(OWN, self.own_ip(entry).to_string())
            .env(CONTROL, self.own_ip(0).to_string())
            .env(FOLDER, self.folder.join(format!("links-{entry}")))
            .stdin(Stdio::piped())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        // Closed only with the fleet: a wait for the process would close it before.
        self.inputs.lock().unwrap().extend(child.stdin.take());
        self.children.lock().unwrap().insert(entry, child);
        let mut gone = self.gone.lock().unwrap();
        for (_, _, until) in gone.iter_mut().filter(|(no, _, _)| *no == entry) {
            until.get_or_insert_with(Instant::now);
        }
    }

    /// Kills an entry instance.
    pub(crate) async fn kill_entry(&self, entry: u8) {
        self.gone
            .lock()
            .unwrap()
            .push((entry, Instant::now(), None));
        let child = self.children.lock().unwrap().remove(&entry);
        child.unwrap().kill().await.unwrap();
    }

    /// Stops an entry instance and waits until it is gone. It is killed after its grace.
    pub(crate) async fn stop_entry(&self, entry: u8) {
        let child = self.children.lock().unwrap().remove(&entry);
        let mut child = child.unwrap();
        let id = child.id().unwrap().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().await;
        assert!(sent.unwrap().success());
        let begun = Instant::now();
        let ended = tokio::time::timeout(GRACE, child.wait()).await;
        let now = Instant::now();
        // What is cut at the end of the grace period may be seen just before.
        let used_up = now - begun > GRACE - EARLY;
        let gone = if used_up { now - EARLY } else { now };
        self.gone.lock().unwrap().push((entry, gone, None));
        if ended.is_err() {
            child.kill().await.unwrap();
        }
    }

    /// Cuts or restores the links of an entry instance to all targets.
    pub(crate) fn cut(&self, entry: u8, how: Cut) {
        self.links[usize::from(entry) - 1].set(how);
        let mut cut = self.cut.lock().unwrap();
        match how {
            Cut::No => {
                for (_, _, until) in cut.iter_mut().filter(|(no, _, _)| *no == entry) {
                    until.get_or_insert_with(Instant::now);
                }
            }
            Cut::Hangs | Cut::Resets | Cut::RefusesNew => cut.push((entry, Instant::now(), None)),
        }
    }

    /// Returns whether an instance was gone for some of this time.
    pub(crate) fn was_gone(&self, entry: u8, from: Instant, to: Instant) -> bool {
        overlaps(&self.gone.lock().unwrap(), entry, from, to)
    }

    /// Returns whether the links of an instance were cut for some of this time.
    pub(crate) fn was_cut(&self, entry: u8, from: Instant, to: Instant) -> bool {
        overlaps(&self.cut.lock().unwrap(), entry, from, to)
    }

    /// Publishes another edition, with this many further routes.
    pub(crate) async fn publish(&self, further: usize) {
        let number = self.edition.fetch_add(1, Ordering::Relaxed) + 1;
        let addr = SocketAddr::new(self.own_ip(0), OPERATORS);
        let text = match further {
            0 => String::new(),
            further => further.to_string(),
        };
        loop {
            let mut send = Send::new(addr, Method::POST, format!("/{number}"));
            send.body = text.clone().into();
            let answer = Client::default().send(send).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_ready(&self, entry: u8) {
        let request = "POST /x HTTP/1.1\r\nhost: a.example\r\nattempt: ready\r\nmodel: m/a\r\n\
                       tokens: 100,50\r\ndeadline: 5000\r\ncontent-length: 0\r\n\r\n";
        loop {
            let open = Connection::open(self.caller_addr(entry)).await;
            if let Some(mut open) = open
                && open.ask(request).await.status == 200
            {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Keeps the logs of entry instances, and says where.
    pub(crate) fn keep_logs(&self) {
        let kept = self.folder.with_extension("kept");
        fs::create_dir_all(&kept).unwrap();
        for entry in 1..=ENTRIES {
            let name = format!("entry-{entry}.log");
            fs::copy(self.folder.join(&name), kept.join(&name)).unwrap();
        }
        println!("logs of entry instances: {}", kept.display());
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.ended.cancel();
        // What is left of it hinders no other test.
        fs::remove_dir_all(&self.folder).ok();
    }
}

fn overlaps(
    times: &[(u8, Instant, Option<Instant>)],
    entry: u8,
    from: Instant,
    to: Instant,
) -> bool {
    let mut times = times.iter().filter(|(no, _, _)| *no == entry);
    times.any(|(_, begun, ended)| *begun <= to && ended.is_none_or(|ended| from <= ended))
}

/// Replaces a file at once.
fn write(folder: &Path, name: &str, text: &str) {
    let part = folder.join(format!("{name}.part"));
    // The folder is removed at the end of the test.
    if fs::write(&part, text).is_ok() {
        fs::rename(part, folder.join(name)).ok();
    }
}

type List = Arc<dyn Fn() -> Vec<((String, bool), SocketAddr)> + std::marker::Send + Sync>;

/// Serves callers as the entry instance that this process is started as.
pub(crate) fn run_entry() {
    let Ok(links) = std::env::var(FOLDER).map(PathBuf::from) else {
        return;
    };
    // It doesn't outlive the soak.
    std::thread::spawn(|| {
        std::io::stdin().read_to_end(&mut Vec::new()).ok();
        std::process::exit(1);
    });
    let ip = |name| std::env::var(name).unwrap().parse::<IpAddr>().unwrap();
    let (own, control) = (ip(OWN), ip(CONTROL));
    let shown = links.with_file_name("list");
    let list = move || {
        let text = fs::read_to_string(&shown).unwrap_or_default();
        let lines = text.lines().map(|line| {
            let words: Vec<_> = line.split(' ').collect();
            let listed = (words[0].to_owned(), words[1] == "true");
            (listed, words[2].parse().unwrap())
        });
        lines.collect()
    };
    let end = move |target: SocketAddr| {
        let text = fs::read_to_string(&links).unwrap_or_default();
        let mut ends = text.lines().filter_map(|line| line.split_once(' '));
        let end = ends.find(|(of, _)| *of == target.to_string());
        end.map_or(target, |(_, end)| end.parse().unwrap())
    };
    let setup = EntrySetup {
        ip: own,
        zone: "za".to_owned(),
        zones: vec!["za".to_owned()],
        listen: SocketAddr::new(own, CALLERS),
        ready: SocketAddr::new(own, READY),
        operators: None,
        peer_port: PEERS,
        grace: GRACE,
        drain: Duration::from_secs(3),
        // Few are left where many targets crash, as for a large deployment.
        retries: budget::Limits {
            ratio: 0.2,
            ..retries()
        },
        hedge_limit: None,
        slack: slack(),
        machine: base::Machine::default(),
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let platform = platform(control, Arc::new(list), end);
    runtime
        .block_on(frontd::serve_entry(setup, platform))
        .unwrap();
}

/// Answers a request of an operator: the path is the number of an edition.
async fn take(operators: Operators, req: Request<Incoming>) -> Response<Body> {
    let number: u64 = req.uri().path()[1..].parse().unwrap();
    let body = read(req.into_body(), ReadLimits::default()).await.unwrap();
    let body = String::from_utf8_lossy(&body).into_owned();
    let outcome = operators.publish(Edition { number, body }).await;
    let mut resp = Response::new(full(""));
    if outcome != CallOutcome::Done {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    resp
}

fn held() -> Held {
    Held {
        models: BTreeMap::from([("m".to_owned(), Some(1))]),
        adapters: BTreeMap::from([("m/a".to_owned(), 1)]),
    }
}

fn listed_target(id: String, addr: SocketAddr) -> ListedTarget {
    ListedTarget {
        id,
        born: 1,
        service: "s".to_owned(),
        addr: addr.to_string(),
        zone: "za".to_owned(),
        software: Some("v1".parse().unwrap()),
        slots: 1_000,
        ready: true,
        held: Some(held()),
    }
}

fn decode(text: &str) -> Result<Decoded, String> {
    if text.is_empty() {
        return Ok(decoded());
    }
    let further = text.parse().map_err(|_| "not a number".to_owned())?;
    Ok(decoded_with(further, None))
}

fn platform(
    control: IpAddr,
    list: List,
    end: impl Fn(SocketAddr) -> SocketAddr + std::marker::Send + Sync + 'static,
) -> Platform {
    let ask = Arc::clone(&list);
    Platform {
        header_names: Arc::new(header_names()),
        decode: Arc::new(decode),
        list_targets: Arc::new(move |_| {
            let list = list().into_iter();
            let list = list
                .map(|((id, _), addr)| listed_target(id, addr))
                .collect();
            async { Some(list) }.boxed()
        }),
        send_order: Arc::new(|_| async { OrderOutcome::Refused }.boxed()),
        read_report: Arc::new(move |id, _| {
            let up = ask().iter().any(|((listed, up), _)| *listed == id && *up);
            let report = up.then(|| Report {
                born: 1,
                held: held(),
                ..Report::default()
            });
            async { report }.boxed()
        }),
        read_seeds: Arc::new(move || Some(vec![control])),
        map_address: Arc::new(end),
    }
}
