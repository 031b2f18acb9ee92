//! Draws the requests to send, and their times, from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of tokens of an answer: up to a short paragraph.
const TOKENS: std::ops::Range<u32> = 8..64;

/// One request to send.
#[derive(Clone, Debug)]
pub(crate) struct LoadRequest {
    pub(crate) kind: Kind,
    /// Number of the entry instance that gets it, modulo the number of instances.
    pub(crate) entry: usize,
    /// Its unique name, which is the idempotency key of a marked request.
    pub(crate) name: String,
    /// Number of tokens that a completion shall have.
    pub(crate) tokens: u32,
    /// Delay after which a marked request is also sent to the next entry instance.
    pub(crate) resend: Option<Duration>,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// A streamed completion.
    Stream,
    /// A completion without streaming.
    Single,
    /// A request to a plain service that may be retried.
    Listing,
    /// A marked request to a plain service, which must run at most once.
    Marked,
}

impl Kind {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Kind::Stream => "stream",
            Kind::Single => "whole",
            Kind::Listing => "listing",
            Kind::Marked => "marked",
        }
    }
}

/// Draws requests.
#[derive(Debug)]
pub(crate) struct Mix {
    rng: ChaCha8Rng,
    seed: u64,
    rate: f64,
    count: u64,
}

impl Mix {
    pub(crate) fn new(seed: u64, rate: u64) -> Self {
        Mix {
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            rate: rate as f64,
            count: 0,
        }
    }

    /// Draws the next request and the time until it.
    pub(crate) fn draw(&mut self) -> (Duration, LoadRequest) {
        // Callers are independent, so the gaps between requests are exponential.
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        let kind = match self.rng.random_range(0..100) {
            0..55 => Kind::Stream,
            55..65 => Kind::Single,
            65..85 => Kind::Listing,
            _ => Kind::Marked,
        };
        let resent = kind == Kind::Marked && self.rng.random_ratio(1, 3);
        let resend = resent.then(|| Duration::from_millis(self.rng.random_range(0..50)));
        self.count += 1;
        let request = LoadRequest {
            kind,
            entry: self.rng.random_range(0..1_000),
            name: format!("load-{}-{}-{}", std::process::id(), self.seed, self.count),
            tokens: self.rng.random_range(TOKENS),
            resend,
        };
        (Duration::from_secs_f64(gap), request)
    }
}
