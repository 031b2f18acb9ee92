//! The requests that operators can make of a control instance.

use std::{net::IpAddr, sync::Arc, time::Duration};

use control::What;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};
use wire::fleet::Edition;

use super::shell::Job;

/// Time-out of an operator's change. A majority answers within milliseconds; an operator
/// tries another instance after a second.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// The outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The change is durable: it is in force, or something newer was in force before.
    Done,
    /// This instance doesn't lead the log; the leader's address is given where it is
    /// known.
    NotLeader(Option<IpAddr>),
    /// This instance can't accept the request now.
    Busy,
    /// The outcome is unknown; the same request may be made again.
    Unknown,
}

/// Passes requests of operators to the control instance.
#[derive(Clone, Debug)]
pub struct Operators {
    jobs: mpsc::UnboundedSender<Job>,
}

impl Operators {
    pub(super) fn new(jobs: mpsc::UnboundedSender<Job>) -> Self {
        Operators { jobs }
    }

    /// Publishes an edition, which the caller has checked.
    pub async fn publish(&self, edition: Edition) -> CallOutcome {
        self.submit(What::Publish(edition)).await
    }

    /// Sets the version that requests for an adapter have to run on.
    pub async fn set_version(&self, adapter: String, version: u32) -> CallOutcome {
        self.submit(What::Revise { adapter, version }).await
    }

    /// Reads the newest edition.
    ///
    /// # Errors
    ///
    /// Fails where this instance doesn't lead the log, as it may lack the newest edition.
    pub async fn newest(&self) -> Result<Option<Arc<Edition>>, CallOutcome> {
        let (to, answer) = oneshot::channel();
        self.jobs.send(Job::Newest(to)).ok();
        match timeout(CHANGE_TIMEOUT, answer).await {
            Ok(Ok(newest)) => newest,
            _ => Err(CallOutcome::Busy),
        }
    }

    async fn submit(&self, change: What) -> CallOutcome {
        let (to, answer) = oneshot::channel();
        self.jobs.send(Job::Change { change, to }).ok();
        match timeout(CHANGE_TIMEOUT, answer).await {
            Ok(Ok(outcome)) => outcome,
            _ => CallOutcome::Unknown,
        }
    }
}
