//! Links between instances that can be cut: each instance and target is
//! reached through a forwarder, which knows from whom a connection comes.

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

/// Bytes read at once.
const CHUNK: usize = 16 << 10;

/// Names of two that can't reach each other, the lesser first.
type Pair = (String, String);

/// The calling and the called end of a connection, as the system's table of
/// connections has them.
type Ends = (String, String);

/// All links of a deployment; clones share them.
///
/// What is sent over a cut link stays on its way and arrives once the link is
/// mended, on connections of before and during the cut alike.
#[derive(Clone, Debug)]
pub struct Links {
    cut: Arc<watch::Sender<BTreeSet<Pair>>>,
    /// Instances by process; this process has no name.
    names: Arc<Mutex<BTreeMap<u32, String>>>,
    seen: Arc<tokio::sync::Mutex<Seen>>,
}

/// Who had opened which connection at some time.
#[derive(Debug, Default)]
struct Seen {
    at: Option<Instant>,
    callers: HashMap<Ends, String>,
}

/// One connection through a forwarder.
struct Passing {
    links: Links,
    ends: Option<Ends>,
    target: String,
    /// Looked up once some link is cut; none if nobody known opened it.
    pair: OnceCell<Option<Pair>>,
}

impl Links {
    pub(crate) fn new() -> Self {
        let own = BTreeMap::from([(std::process::id(), String::new())]);
        Links {
            cut: Arc::default(),
            names: Arc::new(Mutex::new(own)),
            seen: Arc::default(),
        }
    }

    /// Opens a forwarder to `target`, which belongs to `name`, and returns
    /// where it listens.
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
                let passing = Passing {
                    links: links.clone(),
                    ends: shown(from).zip(shown(address)),
                    target: name.clone(),
                    pair: OnceCell::new(),
                };
                // Either end may break off at any time.
                tokio::spawn(async move { passing.run(near, target).await.ok() });
            }
        });
        Ok(address)
    }

    /// Notes which process an instance is.
    pub(crate) fn note(&self, process: u32, name: &str) {
        self.names().insert(process, name.to_owned());
    }

    /// Cuts each of `some` from each of `others`.
    pub fn cut(&self, some: &[String], others: &[String]) {
        self.cut.send_modify(|cut| {
            for one in some {
                cut.extend(others.iter().map(|other| pair(one.clone(), other.clone())));
            }
        });
    }

    /// Mends all links.
    pub fn restore(&self) {
        self.cut.send_modify(BTreeSet::clear);
    }

    fn names(&self) -> MutexGuard<'_, BTreeMap<u32, String>> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the instance that opened a connection, empty for this process.
    ///
    /// All who ask meanwhile share one look: it takes tens of milliseconds,
    /// and a link that is made anew is given up after 250.
    async fn caller(&self, ends: &Ends) -> Option<String> {
        let asked = Instant::now();
        let mut seen = self.seen.lock().await;
        if seen.at.is_none_or(|at| at < asked) {
            let (at, names) = (Some(Instant::now()), self.names().clone());
            let look = tokio::task::spawn_blocking(move || callers(&names));
            let callers = look.await.unwrap_or_default();
            *seen = Seen { at, callers };
        }
        seen.callers.get(ends).cloned()
    }
}

impl Passing {
    async fn run(&self, near: TcpStream, target: SocketAddr) -> Result<()> {
        self.mended().await?;
        let far = TcpStream::connect(target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::try_join!(
            self.pump(near_read, far_write),
            self.pump(far_read, near_write),
        )?;
        Ok(())
    }

    async fn pump(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> Result<()> {
        let mut chunk = vec![0; CHUNK];
        loop {
            let n = from.read(&mut chunk).await;
            // An end, too, is felt only over a link that is whole.
            self.mended().await?;
            match n? {
                0 => return Ok(to.shutdown().await?),
                n => to.write_all(&chunk[..n]).await?,
            }
        }
    }

    /// Waits until the link is whole.
    async fn mended(&self) -> Result<()> {
        let mut cut = self.links.cut.subscribe();
        if cut.borrow_and_update().is_empty() {
            return Ok(());
        }
        let pair = self.pair.get_or_init(|| self.look()).await;
        // Whoever opened it has gone again, or it would be found.
        let pair = pair.as_ref().context("nobody known opened it")?;
        cut.wait_for(|cut| !cut.contains(pair)).await?;
        Ok(())
    }

    async fn look(&self) -> Option<Pair> {
        let caller = self.links.caller(self.ends.as_ref()?).await?;
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

/// Returns who of the named holds the calling end of each connection.
fn callers(names: &BTreeMap<u32, String>) -> HashMap<Ends, String> {
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
        let ends = (words.next()?.to_owned(), words.next()?.to_owned());
        let socket = format!("socket:[{}]", words.nth(6)?);
        Some((ends, (*sockets.get(&socket)?).clone()))
    });
    known.collect()
}

/// Returns an address as the system's table of connections has it.
fn shown(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
