//! Asks whether a request is let in, where the room of engines is shared.

use base::stable_hash;
use tokio::time::Instant;

use super::{ANSWERED_BODY_MAX, ActiveRequest};
use crate::entry::{
    admission::{self, Entrant},
    answer::RequestError,
};

impl ActiveRequest {
    /// Asks to be let in, if the request is a new one for engines and room is shared.
    ///
    /// # Errors
    ///
    /// Fails if too little room is left for it.
    pub(super) fn enter(&mut self) -> Result<(), RequestError> {
        let is_rest = self.stream.software().is_some();
        if is_rest || !admission::concerns(&self.state, &self.adapter) {
            return Ok(());
        }
        let tokens = self.prompt_tokens.saturating_add(self.max_answer_tokens);
        let entrant = Entrant {
            request: &self.id,
            service: &self.service,
            account: self.account.as_deref(),
            rank: self.route.priority,
            tokens: (tokens > 0).then_some(tokens),
            left: self.deadline.saturating_duration_since(Instant::now()),
        };
        let entered = admission::enter(&self.state, &entrant, || self.short_id())?;
        self.entered = Some(entered);
        Ok(())
    }

    /// Returns a number that is the same when the request comes back, unless its body is
    /// large.
    fn short_id(&self) -> u64 {
        if self.body.len() > ANSWERED_BODY_MAX {
            return rand::random();
        }
        stable_hash(&[self.fingerprint().to_string().as_bytes()])
    }
}
