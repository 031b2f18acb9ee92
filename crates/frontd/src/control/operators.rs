//! What operators may ask of a control instance.

use std::{net::IpAddr, time::Duration};

use control::What;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};
use wire::fleet::Edition;

use super::shell::Job;

/// How long an operator's change may take. A majority answers within
/// milliseconds; an operator turns to another instance after a second.
const LIMIT: Duration = Duration::from_secs(3);

/// What came of an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It is durable: in force, or overtaken by what was there before.
    Done,
    /// The leader may answer.
    NotLeader(Option<IpAddr>),
    /// Not now.
    Busy,
    /// Nobody knows whether it was taken; the same call may be made again.
    Unknown,
}

/// Hands operators' calls to the control instance.
#[derive(Clone, Debug)]
pub struct Operators {
    jobs: mpsc::UnboundedSender<Job>,
}

impl Operators {
    pub(super) fn new(jobs: mpsc::UnboundedSender<Job>) -> Self {
        Operators { jobs }
    }

    /// Publishes a checked edition.
    pub async fn publish(&self, edition: Edition) -> CallOutcome {
        self.name(What::Publish(edition)).await
    }

    /// Names an adapter's version.
    pub async fn set_version(&self, adapter: String, version: u32) -> CallOutcome {
        self.name(What::Revise { adapter, version }).await
    }

    /// Reads the newest edition.
    ///
    /// # Errors
    ///
    /// Fails where this instance can't be sure which one is the newest.
    pub async fn newest(&self) -> Result<Option<Edition>, CallOutcome> {
        let (to, answer) = oneshot::channel();
        self.jobs.send(Job::Newest(to)).ok();
        match timeout(LIMIT, answer).await {
            Ok(Ok(newest)) => newest,
            _ => Err(CallOutcome::Busy),
        }
    }

    async fn name(&self, what: What) -> CallOutcome {
        let (to, answer) = oneshot::channel();
        self.jobs.send(Job::Name { what, to }).ok();
        match timeout(LIMIT, answer).await {
            Ok(Ok(named)) => named,
            _ => CallOutcome::Unknown,
        }
    }
}
