//! What becomes of a request whose instance is being stopped.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use web::client::Answer;

use super::{ActiveRequest, InFlight};
use crate::entry::answer::{RequestError, Why};

/// Retry-After for a request that this instance has no time for, as others have.
pub(super) const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

impl ActiveRequest {
    /// Checks that the request can still end if it is sent now.
    ///
    /// # Errors
    ///
    /// Fails if this instance is expected to end before.
    pub(super) fn check_stop(&self) -> Result<(), RequestError> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if self.state.may_begin(&self.route.name, left) {
            return Ok(());
        }
        base::hit!(refused_in_a_stop);
        Err(self.give_up(Why::Stopping))
    }

    /// Sends the request until a target answers it, no further attempt is allowed, or this
    /// instance ends.
    pub(super) async fn send_until_ended(&mut self) -> Result<(Answer, InFlight), RequestError> {
        let state = Arc::clone(&self.state);
        let sent = tokio::select! {
            biased;
            sent = self.send_until_answered(None) => Some(sent),
            () = state.ended() => None,
        };
        sent.unwrap_or_else(|| {
            base::hit!(answered_at_the_end);
            Err(self.give_up(Why::Stopping))
        })
    }
}
