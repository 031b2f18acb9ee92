//! Answers that tasks of a daemon are waiting for.

use std::{collections::HashMap, hash::Hash, sync::Mutex};

use tokio::sync::oneshot;

use crate::lock;

/// Answers that haven't arrived yet. `K` identifies what was asked, such as the number of
/// a call.
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
    /// Returns the channel on which the answer to `key` arrives.
    #[must_use]
    pub fn register(&self, key: K) -> oneshot::Receiver<T> {
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(key, tx);
        rx
    }

    /// Sends the answer to `key` to the task that waits for it, if it still does.
    pub fn complete(&self, key: &K, answer: T) {
        if let Some(tx) = lock(&self.waiting).remove(key) {
            tx.send(answer).ok();
        }
    }
}
