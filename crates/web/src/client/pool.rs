//! Pool of idle connections, each kept for a short time.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, timeout};

use super::link::Link;

/// Maximum number of idle connections to one address; more would be closed unused.
const MAX_PER_ADDRESS: usize = 32;

/// Time that the connection's task has to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

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
    /// Takes the most recently used connection, unless it was idle for `reuse` or longer.
    pub(crate) async fn take(&self, addr: SocketAddr, reuse: Duration) -> Option<Link> {
        while let Some(mut idle) = self.pop(addr) {
            if idle.since.elapsed() >= reuse {
                base::hit!(stale_pooled_connection);
                self.forget(addr);
                return None;
            }
            if let Ok(true) = timeout(READY_TIMEOUT, idle.link.ready()).await {
                return Some(idle.link);
            }
        }
        None
    }

    /// Returns a connection to the pool whose last answer was complete.
    pub(crate) fn keep(&self, addr: SocketAddr, link: Link) {
        if link.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain(|i| i.since.elapsed() < IDLE_TIMEOUT);
            !list.is_empty()
        });
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_PER_ADDRESS {
            list.push(Idle { link, since });
        }
    }

    /// Closes all idle connections to `addr`: if one of them is dead, the others most
    /// likely are too.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&addr);
    }

    /// Closes all idle connections.
    pub(crate) fn forget_all(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    fn pop(&self, addr: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&addr)?.pop()
    }
}
