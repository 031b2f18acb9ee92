//! Idle connections, kept for a short time.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, timeout};

use super::link::Link;

/// Idle connections kept to one address; more would only age.
const PER_ADDRESS: usize = 32;

/// How long the hand-back of a connection by its own task may take.
const READY_TIME: Duration = Duration::from_millis(20);

/// How long an idle connection is kept at all.
const KEEP: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Instant,
}

impl Pool {
    /// Takes the connection used last, unless it lay idle longer than `reuse`.
    pub(crate) async fn take(&self, addr: SocketAddr, reuse: Duration) -> Option<Link> {
        while let Some(mut idle) = self.pop(addr) {
            if idle.since.elapsed() >= reuse {
                base::hit!(stale_pooled_connection);
                self.forget(addr);
                return None;
            }
            if let Ok(true) = timeout(READY_TIME, idle.link.ready()).await {
                return Some(idle.link);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was whole.
    pub(crate) fn keep(&self, addr: SocketAddr, link: Link) {
        if link.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain(|i| i.since.elapsed() < KEEP);
            !list.is_empty()
        });
        let list = idle.entry(addr).or_default();
        if list.len() < PER_ADDRESS {
            list.push(Idle { link, since });
        }
    }

    /// Closes all idle connections to `addr`: what made one silent has most
    /// likely lost the others too.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&addr);
    }

    fn pop(&self, addr: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&addr)?.pop()
    }
}
