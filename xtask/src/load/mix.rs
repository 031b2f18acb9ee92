//! What is sent, and when: drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens of an answer: a short paragraph.
const TOKENS: std::ops::Range<u32> = 8..64;

/// One request to send.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) kind: Kind,
    /// Which entry instance takes it.
    pub(crate) entry: usize,
    /// Names it; the key of a marked request.
    pub(crate) name: String,
    /// Tokens wanted of a completion.
    pub(crate) tokens: u32,
    /// After how long a marked request is resent to the next entry instance.
    pub(crate) resend: Option<Duration>,
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// A streamed completion.
    Stream,
    /// A completion in one piece.
    Whole,
    /// A plain request that may be repeated.
    Listing,
    /// A plain request that may not.
    Marked,
}

impl Kind {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Kind::Stream => "stream",
            Kind::Whole => "whole",
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
    pub(crate) fn draw(&mut self) -> (Duration, Ask) {
        // Independent callers: exponential gaps.
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        let kind = match self.rng.random_range(0..100) {
            0..55 => Kind::Stream,
            55..65 => Kind::Whole,
            65..85 => Kind::Listing,
            _ => Kind::Marked,
        };
        let resent = kind == Kind::Marked && self.rng.random_ratio(1, 3);
        let resend = resent.then(|| Duration::from_millis(self.rng.random_range(0..50)));
        self.count += 1;
        let ask = Ask {
            kind,
            entry: self.rng.random_range(0..1_000),
            name: format!("load-{}-{}-{}", std::process::id(), self.seed, self.count),
            tokens: self.rng.random_range(TOKENS),
            resend,
        };
        (Duration::from_secs_f64(gap), ask)
    }
}
