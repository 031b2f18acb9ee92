//! Sends a request to another target while the first says nothing.
//!
//! A sound target may say nothing for a second or two and go on. Its run is given up only once
//! another target has answered; whichever answers first is taken.

use std::time::Duration;

use futures::future::{pending, select_all};
use tokio::time::{Instant, sleep_until};
use web::client::{Answer, Broken};

use super::{ActiveRequest, InFlight, MAX_REFUSALS, SendOutcome, Sending};
use crate::entry::answer::RequestError;

/// Pause after a search for another target that failed.
const SEARCH_PAUSE: Duration = Duration::from_millis(300);

/// The targets that a request was sent to and that may still answer.
pub(super) struct Race {
    /// Those that have said nothing for long, and the extra send of a hedged request.
    silent: Vec<Sending>,
    other: Option<Sending>,
    /// When another target is looked for.
    search_at: Instant,
    /// Why the last search failed.
    failed: Option<RequestError>,
    /// The first server error that a target has answered while others run.
    server_error: Option<(Answer, InFlight)>,
    /// Whether it began with an extra send.
    is_hedged: bool,
}

/// What happens next in a [`Race`].
enum Step {
    /// A silent one has ended.
    Ended(Box<Sending>, Result<Answer, Broken>),
    OtherEnded(Result<Answer, Broken>),
    OtherSilent,
    Found(Result<String, RequestError>),
}

impl Race {
    /// Begins a race with a silent target alone.
    fn beside(silent: Sending) -> Race {
        Race {
            silent: vec![silent],
            other: None,
            search_at: Instant::now(),
            failed: None,
            server_error: None,
            is_hedged: false,
        }
    }

    /// Begins a race of a target that isn't silent yet with an extra send.
    pub(super) fn hedged(first: Sending, extra: Sending) -> Race {
        Race {
            other: Some(first),
            is_hedged: true,
            ..Race::beside(extra)
        }
    }

    /// Returns the sends that may still be answered.
    fn running(&self) -> Vec<&Sending> {
        self.silent.iter().chain(&self.other).collect()
    }

    fn is_over(&self) -> bool {
        self.silent.is_empty() && self.other.is_none()
    }

    fn note_failed(&mut self, err: RequestError) {
        self.failed = Some(err);
        self.search_at = Instant::now() + SEARCH_PAUSE;
    }
}

impl ActiveRequest {
    /// Waits for the answer of a silent target, and sends the request to others meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if none of them answers and the request may not be sent again.
    pub(super) async fn outlast(
        &mut self,
        silent: Sending,
        last: Option<&str>,
    ) -> Result<(Answer, InFlight), RequestError> {
        self.note_silent(&silent);
        self.race(Race::beside(silent), last).await
    }

    /// Waits for the first answer of a race.
    ///
    /// # Errors
    ///
    /// As [`Self::outlast`].
    pub(super) async fn race(
        &mut self,
        mut race: Race,
        last: Option<&str>,
    ) -> Result<(Answer, InFlight), RequestError> {
        while !race.is_over() {
            let mut extra = false;
            let taken = match self.step(&mut race).await {
                Step::Ended(sending, result) if sending.is_extra => {
                    extra = true;
                    Ok(self.take_extra(*sending, result))
                }
                Step::Ended(sending, result) => self.take(*sending, result).await,
                Step::OtherEnded(result) => match race.other.take() {
                    Some(sending) => self.take(sending, result).await,
                    None => Ok(None),
                },
                Step::OtherSilent => {
                    let other = race.other.take();
                    other.iter().for_each(|other| self.note_silent(other));
                    race.silent.extend(other);
                    Ok(None)
                }
                Step::Found(Ok(target)) => {
                    race.failed = None;
                    race.other = self.dispatch(&target, last);
                    match race.other {
                        Some(_) => Ok(None),
                        None => self
                            .after_failed_send(target, &SendOutcome::Unreached)
                            .await
                            .map(|()| None),
                    }
                }
                Step::Found(Err(err)) => Err(err),
            };
            match taken {
                Ok(Some(answered)) if answered.0.status.is_server_error() && !race.is_over() => {
                    race.server_error.get_or_insert(answered);
                }
                Ok(Some(answered)) => {
                    self.note_race(&answered.1, extra, &race.running());
                    return Ok(answered);
                }
                Ok(None) => {}
                Err(err) => race.note_failed(err),
            }
        }
        // The extra send has failed and may not have run: the request is where it was without.
        let again = race.is_hedged && self.may_retry() && Instant::now() < self.deadline;
        match (race.server_error, race.failed) {
            (Some(answered), _) if !again => Ok(answered),
            (_, Some(err)) if !again => Err(err),
            _ => Box::pin(self.send_until_answered(last)).await,
        }
    }

    async fn step(&mut self, race: &mut Race) -> Step {
        let searches = race.other.is_none() && self.may_retry() && self.refusals < MAX_REFUSALS;
        let search_at = race.search_at;
        let found = async {
            sleep_until(search_at).await;
            self.next_target().await
        };
        tokio::select! {
            biased;
            (at, result) = first_ended(&mut race.silent) => {
                Step::Ended(Box::new(race.silent.remove(at)), result)
            }
            ended = ended_or_silent(&mut race.other) => {
                ended.map_or(Step::OtherSilent, Step::OtherEnded)
            }
            found = found, if searches => Step::Found(found),
        }
    }

    /// Notes that a target has said nothing for long.
    fn note_silent(&mut self, sending: &Sending) {
        let target = &sending.in_flight.id;
        self.log_silent_head(&sending.in_flight);
        self.state.view().unreachable(self.state.now(), target);
        self.tried.insert(target.clone());
        self.waiting_from = Instant::now();
    }
}

/// Waits until one of the targets has answered or failed, and returns which.
async fn first_ended(silent: &mut [Sending]) -> (usize, Result<Answer, Broken>) {
    if silent.is_empty() {
        return pending().await;
    }
    let ends = silent.iter_mut().map(|sending| Box::pin(sending.ended()));
    let (result, at, _) = select_all(ends).await;
    (at, result)
}

async fn ended_or_silent(other: &mut Option<Sending>) -> Option<Result<Answer, Broken>> {
    match other {
        Some(other) => other.ended_or_silent().await,
        None => pending().await,
    }
}
