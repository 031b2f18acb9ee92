//! Links to other processes, one for each address.

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
    from: InstanceName,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl Links {
    /// Makes the links of the instance `from`.
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

/// Locks a map that is whole after every step, so a panic elsewhere does it no
/// harm.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
