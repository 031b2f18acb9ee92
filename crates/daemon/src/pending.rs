//! Answers that tasks of a daemon wait for.

use std::{collections::HashMap, hash::Hash, sync::Mutex};

use tokio::sync::oneshot;

use crate::lock;

/// Answers still to come, by what names them.
#[derive(Debug)]
pub struct Pending<K, T> {
    waiting: Mutex<HashMap<K, oneshot::Sender<T>>>,
}

impl<K, T> Default for Pending<K, T> {
    fn default() -> Self {
        Pending {
            waiting: Mutex::default(),
        }
    }
}

impl<K: Eq + Hash, T> Pending<K, T> {
    /// Returns where the answer to `key` comes.
    #[must_use]
    pub fn expect(&self, key: K) -> oneshot::Receiver<T> {
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(key, tx);
        rx
    }

    /// Hands over the answer to `key`; whoever waited may have left.
    pub fn answer(&self, key: &K, answer: T) {
        if let Some(tx) = lock(&self.waiting).remove(key) {
            tx.send(answer).ok();
        }
    }
}
