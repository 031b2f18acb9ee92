//! Recent times to the first event, by size of the prompt.

use std::time::Duration;

use base::Time;

/// Number of bins of a histogram.
const BINS: usize = 116;

/// Ratio of the bounds of two bins. With the first at [`FIRST_SECONDS`], the last one is at a
/// minute.
const BIN_RATIO: f64 = 1.1;

/// Upper bound of the first bin, in seconds.
const FIRST_SECONDS: f64 = 0.001;

/// Time after which what was seen counts half: a minute's requests of a small instance are some
/// dozens of a route.
const HALF_LIFE: Duration = Duration::from_mins(2);

/// Weight of what has to be seen before anything is said of it. Of fewer, the slowest twentieth
/// is one or none.
const MIN_SEEN: f32 = 30.0;

/// Prompt tokens up to which a prompt is of each class but the last.
const CLASS_TOKENS: [u64; 3] = [256, 1_024, 4_096];

/// Recent times of one route, by size class of the prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteTimes {
    classes: [Times; CLASS_TOKENS.len() + 1],
    /// When a time was last noted.
    pub(super) noted: Time,
}

impl RouteTimes {
    /// Notes a time of a prompt with so many tokens.
    pub(super) fn note(&mut self, now: Time, tokens: u64, took: Duration) {
        self.noted = now;
        self.classes[class(tokens)].note(now, took);
    }

    /// Returns the times of prompts with about so many tokens.
    pub(super) fn of(&self, tokens: u64) -> &Times {
        &self.classes[class(tokens)]
    }
}

fn class(tokens: u64) -> usize {
    let above = CLASS_TOKENS.iter().filter(|most| tokens > **most);
    above.count()
}

/// A histogram of times, of which older ones count less.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    /// Empty until a time is noted.
    bins: Vec<f32>,
    halved: Time,
}

impl Times {
    fn note(&mut self, now: Time, took: Duration) {
        if self.bins.is_empty() {
            self.bins = vec![0.0; BINS];
            self.halved = now;
        }
        while now.since(self.halved) >= HALF_LIFE {
            self.bins.iter_mut().for_each(|bin| *bin /= 2.0);
            self.halved = self.halved + HALF_LIFE;
        }
        let no = (took.as_secs_f64() / FIRST_SECONDS).max(1.0).ln() / BIN_RATIO.ln();
        self.bins[(no.ceil() as usize).min(BINS - 1)] += 1.0;
    }

    /// Returns the time within which a part `q` of what was seen had its first event; none if
    /// too little was seen.
    pub(super) fn quantile(&self, q: f32) -> Option<Duration> {
        let sum: f32 = self.bins.iter().sum();
        if sum < MIN_SEEN {
            return None;
        }
        let mut below = 0.0;
        let at = self.bins.iter().position(|bin| {
            below += bin;
            below >= q * sum
        });
        let no = i32::try_from(at.unwrap_or(BINS - 1)).unwrap_or(0);
        Some(Duration::from_secs_f64(FIRST_SECONDS * BIN_RATIO.powi(no)))
    }
}
