//! Links between instances that can be cut, to simulate network partitions.
//!
//! Each instance and target is reached through a TCP forwarder. The forwarder finds
//! out which instance opened a connection, from the tables in `/proc`.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use anyhow::{Context, Result};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{OnceCell, watch},
    time::Instant,
};

/// Size of the buffer for forwarded bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// The names of the two ends of a link, in alphabetical order.
type Pair = (String, String);

/// The local and the remote address of the calling end of a connection, as
/// `/proc/net/tcp` shows them.
type Addresses = (String, String);

/// All links of a deployment; clones share them.
///
/// Bytes sent over a cut link are held back and delivered once the link is restored,
/// on connections opened before and during the cut alike.
#[derive(Clone, Debug)]
pub struct Links {
    cut: Arc<watch::Sender<BTreeSet<Pair>>>,
    /// Names of instances by process id; this process has the empty name.
    names: Arc<Mutex<BTreeMap<u32, String>>>,
    scan: Arc<tokio::sync::Mutex<Scan>>,
}

/// The callers of all connections at the time of the last scan of `/proc`.
#[derive(Debug, Default)]
struct Scan {
    at: Option<Instant>,
    callers: HashMap<Addresses, String>,
}

/// One connection through a forwarder.
struct Connection {
    links: Links,
    addresses: Option<Addresses>,
    target: String,
    /// Looked up when the first link is cut; `None` inside if the caller is unknown.
    pair: OnceCell<Option<Pair>>,
}

impl Links {
    pub(crate) fn new() -> Self {
        let own = BTreeMap::from([(std::process::id(), String::new())]);
        Links {
            cut: Arc::default(),
            names: Arc::new(Mutex::new(own)),
            scan: Arc::default(),
        }
    }

    /// Opens a forwarder to the address `target` of the instance or target `name`, and
    /// returns the forwarder's address.
    ///
    /// # Errors
    ///
    /// Fails when no listener can be opened.
    pub(crate) async fn open(&self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (links, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            while let Ok((near, from)) = listener.accept().await {
                let connection = Connection {
                    links: links.clone(),
                    addresses: proc_address(from).zip(proc_address(address)),
                    target: name.clone(),
                    pair: OnceCell::new(),
                };
                // Either end may close the connection at any time.
                tokio::spawn(async move { connection.run(near, target).await.ok() });
            }
        });
        Ok(address)
    }

    /// Registers the process of an instance.
    pub(crate) fn register(&self, process: u32, name: &str) {
        self.names().insert(process, name.to_owned());
    }

    /// Cuts the links between each of `some` and each of `others`.
    pub fn cut(&self, some: &[String], others: &[String]) {
        self.cut.send_modify(|cut| {
            for one in some {
                cut.extend(others.iter().map(|other| pair(one.clone(), other.clone())));
            }
        });
    }

    /// Restores all links.
    pub fn restore(&self) {
        self.cut.send_modify(BTreeSet::clear);
    }

    fn names(&self) -> MutexGuard<'_, BTreeMap<u32, String>> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of the instance that opened a connection, empty for this
    /// process.
    ///
    /// Concurrent calls share one scan: it takes tens of milliseconds, and instances
    /// give up a new connection after 250 ms.
    async fn caller(&self, addresses: &Addresses) -> Option<String> {
        let asked = Instant::now();
        let mut scan = self.scan.lock().await;
        if scan.at.is_none_or(|at| at < asked) {
            let (at, names) = (Some(Instant::now()), self.names().clone());
            let scanning = tokio::task::spawn_blocking(move || scan_callers(&names));
            let callers = scanning.await.unwrap_or_default();
            *scan = Scan { at, callers };
        }
        scan.callers.get(addresses).cloned()
    }
}

impl Connection {
    async fn run(&self, near: TcpStream, target: SocketAddr) -> Result<()> {
        self.wait_restored().await?;
        let far = TcpStream::connect(target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::try_join!(
            self.forward(near_read, far_write),
            self.forward(far_read, near_write),
        )?;
        Ok(())
    }

    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> Result<()> {
        let mut chunk = vec![0; BUFFER_SIZE];
        loop {
            let n = from.read(&mut chunk).await;
            // The end of the stream, too, is passed on only while the link isn't cut.
            self.wait_restored().await?;
            match n? {
                0 => return Ok(to.shutdown().await?),
                n => to.write_all(&chunk[..n]).await?,
            }
        }
    }

    /// Waits until the link is not cut.
    async fn wait_restored(&self) -> Result<()> {
        let mut cut = self.links.cut.subscribe();
        if cut.borrow_and_update().is_empty() {
            return Ok(());
        }
        let pair = self.pair.get_or_init(|| self.find_pair()).await;
        // The caller has closed the connection already, or it would be found.
        let pair = pair
            .as_ref()
            .context("the connection was opened by an unknown process")?;
        cut.wait_for(|cut| !cut.contains(pair)).await?;
        Ok(())
    }

    async fn find_pair(&self) -> Option<Pair> {
        let caller = self.links.caller(self.addresses.as_ref()?).await?;
        Some(pair(caller, self.target.clone()))
    }
}

fn pair(one: String, other: String) -> Pair {
    if one < other {
        (one, other)
    } else {
        (other, one)
    }
}

/// Returns the name of the process that holds the calling end of each connection.
fn scan_callers(names: &BTreeMap<u32, String>) -> HashMap<Addresses, String> {
    let mut sockets = HashMap::new();
    for (process, name) in names {
        let files = fs::read_dir(format!("/proc/{process}/fd"));
        for file in files.into_iter().flatten().flatten() {
            if let Ok(link) = fs::read_link(file.path()) {
                sockets.insert(link.to_string_lossy().into_owned(), name);
            }
        }
    }
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let known = table.lines().filter_map(|line| {
        let mut words = line.split_whitespace().skip(1);
        let addresses = (words.next()?.to_owned(), words.next()?.to_owned());
        let socket = format!("socket:[{}]", words.nth(6)?);
        Some((addresses, (*sockets.get(&socket)?).clone()))
    });
    known.collect()
}

/// Returns an address in the form of `/proc/net/tcp`; `None` for IPv6.
fn proc_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
