//! Sends a request to a second target while the first one may still answer; see
//! [`gateway::hedge`]. The race between them is that of [`super::silent`].

use std::time::Duration;

use gateway::{
    hedge::{Due, Plan, Withheld},
    view::Second,
};
use telemetry::{event, prom_metrics};
use tokio::time::Instant;
use web::client::{Answer, Broken};

use super::{
    ActiveRequest, InFlight, SendOutcome, Sending, millis, sending::Outlived, silent::Race,
};
use crate::entry::answer::RequestError;

/// When an extra send is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct HedgeAt {
    pub(super) at: Instant,
    typical: Duration,
}

impl ActiveRequest {
    /// Waits for the answer of the first target, and sends the request to others as well if it
    /// is late.
    ///
    /// # Errors
    ///
    /// Fails if none of them answers and the request may not be sent again.
    pub(super) async fn await_late(
        &mut self,
        mut first: Sending,
        late: Outlived,
        last: Option<&str>,
    ) -> Result<Option<(Answer, InFlight)>, RequestError> {
        if let Outlived::Due(at) = late {
            match self.hedge(&first.in_flight, at).await {
                Ok(extra) => return self.race(Race::hedged(first, extra), last).await.map(Some),
                Err(why) => self.note_withheld(&first.in_flight, why),
            }
            if let Some(result) = first.ended_or_silent().await {
                return self.take(first, result).await;
            }
        }
        self.outlast(first, last).await.map(Some)
    }

    /// Returns when a second target is tried for a request that is sent to its first one now.
    pub(super) fn hedge_at(&self, last: Option<&str>) -> Option<HedgeAt> {
        if self.possible_runs != 1 || last.is_some() || !self.may_retry() {
            return None;
        }
        let held = self.arrived.elapsed();
        let hedging = self.state.hedging();
        let Plan { delay, typical } = hedging.plan(&self.route, self.prompt_tokens, held)?;
        let at = Instant::now() + delay;
        Some(HedgeAt { at, typical })
    }

    /// Begins the extra send of a request.
    ///
    /// # Errors
    ///
    /// Fails with the reason if none goes out; then nothing has changed for the request.
    async fn hedge(&mut self, first: &InFlight, at: HedgeAt) -> Result<Sending, Withheld> {
        let target = self.decide_hedge(first, at)?;
        if self.permit(&target).await.is_err() {
            return Err(Withheld::Permit);
        }
        let mut extra = self.dispatch(&target, None).ok_or_else(|| {
            self.forget_send();
            Withheld::Room
        })?;
        extra.is_extra = true;
        prom_metrics().hedge("sent");
        event!(
            telemetry::Event::HedgeSent,
            request = self.id,
            first = first.id,
            target = target,
            waited_ms = millis(first.ran())
        );
        Ok(extra)
    }

    fn decide_hedge(&self, first: &InFlight, at: HedgeAt) -> Result<String, Withheld> {
        let (state, now) = (&self.state, self.state.now());
        let suspect = self.is_suspect();
        let pressed = state.is_pressed(&self.service, self.route.priority);
        let second = Second {
            service: &self.service,
            adapter: &self.adapter,
            first: &first.id,
            tried: &self.tried,
            software: self.stream.software(),
        };
        let mut hedging = state.hedging();
        let due = Due {
            service: &self.service,
            typical: at.typical,
            waited: first.ran(),
            left: self.deadline.saturating_duration_since(Instant::now()),
            may_repeat: self.may_retry(),
            suspect,
            pressed,
        };
        hedging.decide(
            now,
            &due,
            |wanted| state.view().second(now, &second, wanted),
            || state.may_hedge(&self.service),
        )
    }

    /// Returns whether anything speaks against the request or a part of its prompt.
    fn is_suspect(&self) -> bool {
        let guard = self.state.guard();
        if !guard.watches_parts() {
            return false;
        }
        let whole = self.fingerprint();
        guard.is_suspect(&whole) || self.parts().iter().any(|part| guard.is_suspect(part))
    }

    /// Takes what came of an extra send: the answer, if it is to be passed on. One that failed
    /// counts as a run if it may have been one, and changes nothing else.
    pub(super) fn take_extra(
        &mut self,
        extra: Sending,
        result: Result<Answer, Broken>,
    ) -> Option<(Answer, InFlight)> {
        let ran = extra.in_flight.ran();
        let sent = self.outcome(extra.in_flight, result);
        prom_metrics().send(sent.label());
        let outcome = sent.label();
        match sent {
            SendOutcome::Answered(answer, in_flight) if !answer.status.is_server_error() => {
                return Some((*answer, in_flight));
            }
            SendOutcome::Answered(..) | SendOutcome::Unknown => {}
            SendOutcome::NotRun { .. } | SendOutcome::NoPath => self.possible_runs -= 1,
            SendOutcome::Unreached => self.forget_send(),
        }
        self.note_loser(outcome, ran);
        None
    }

    /// Notes which of two targets has answered, and what became of the other one, which is left.
    pub(super) fn note_race(&self, taken: &InFlight, extra: bool, others: &[&Sending]) {
        if extra {
            prom_metrics().hedge("won");
            event!(
                telemetry::Event::HedgeWon,
                request = self.id,
                target = taken.id,
                took_ms = millis(taken.ran())
            );
        }
        for other in others {
            let (state, ran) = (&self.state, other.in_flight.ran());
            if other.is_extra {
                self.note_loser("cancelled", ran);
            } else if extra {
                prom_metrics().vain(ran);
                let now = state.now();
                state.view().outrun(now, &other.in_flight.id);
                let mut hedging = state.hedging();
                hedging.answered(now, &self.route, self.prompt_tokens, ran);
            }
        }
    }

    fn note_loser(&self, outcome: &str, ran: Duration) {
        prom_metrics().hedge(outcome);
        prom_metrics().vain(ran);
        event!(
            telemetry::Event::HedgeLost,
            request = self.id,
            outcome = outcome,
            ran_ms = millis(ran)
        );
    }

    fn note_withheld(&self, first: &InFlight, why: Withheld) {
        prom_metrics().hedge_withheld(why.as_str());
        event!(
            telemetry::Event::HedgeWithheld,
            request = self.id,
            first = first.id,
            why = why.as_str()
        );
    }

    /// Takes back that a send may have reached a target.
    fn forget_send(&mut self) {
        self.possible_sends -= 1;
        self.possible_runs -= 1;
    }
}
