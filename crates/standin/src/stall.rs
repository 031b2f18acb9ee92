//! Silence of a target for a bounded time, at the head of its answers or amid them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

/// Silence of a target, as `POST /admin/stall` orders it; the target goes on afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stall {
    /// Duration in milliseconds.
    pub ms: u64,
    /// Whether heads of answers are held back as well; otherwise only what follows a head.
    #[serde(default)]
    pub head: bool,
}

/// Until when a target is silent; not at all by default.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stalled {
    until: Option<Instant>,
    head: bool,
}

impl From<Stall> for Stalled {
    /// Begins a silence now.
    fn from(Stall { ms, head }: Stall) -> Self {
        let until = Some(Instant::now() + Duration::from_millis(ms));
        Stalled { until, head }
    }
}

impl Stalled {
    /// Waits until the head of an answer may be sent.
    pub(crate) async fn before_head(self) {
        if self.head {
            self.before_body().await;
        }
    }

    /// Waits until the next part of an answer may be sent.
    pub(crate) async fn before_body(self) {
        if let Some(until) = self.until.filter(|&until| until > Instant::now()) {
            sleep_until(until).await;
        }
    }

    /// Returns whether a target sends heads but nothing more now.
    pub(crate) fn amid(self) -> bool {
        !self.head && self.until.is_some_and(|until| until > Instant::now())
    }
}
