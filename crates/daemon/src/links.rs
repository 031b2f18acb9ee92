//! Links for RPC calls to other processes, one for each address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use base::InstanceName;
use peer::Link;

/// The links of one process.
#[derive(Debug)]
pub struct Links {
    /// Name of the own instance, sent with each call.
    from: InstanceName,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl Links {
    /// Creates the links of the instance `from`; each is added at its first use.
    #[must_use]
    pub fn new(from: InstanceName) -> Self {
        Links {
            from,
            links: Mutex::default(),
        }
    }

    /// Returns the link to the peer at `address`.
    #[must_use]
    pub fn to(&self, address: SocketAddr) -> Link {
        let mut links = lock(&self.links);
        let make = || Link::new(self.from.clone(), address.to_string());
        links.entry(address).or_insert_with(make).clone()
    }
}

/// Locks a mutex, also after a panic while it was locked. Only for values that are
/// consistent after each single operation, such as a map.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
