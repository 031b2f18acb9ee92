//! Passes retries that instances lend on to those that want them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{InstanceName, Time};
use wire::retry::{RetryAnswer, RetryGrant, RetryReport};

use super::LIFE;

/// How long an instance wants what it has last reported: several reports.
const WANTED_FOR: Duration = Duration::from_millis(500);

/// How long the answer to a request to lend is waited for until others are asked.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Retries with less left of their life aren't granted: they would end unused.
const LIFE_LEFT: Duration = Duration::from_millis(200);

/// Interval at which instances are forgotten that weren't heard from: it takes a step for each.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

/// What a control instance knows of retries that are wanted and lent.
///
/// It creates none: each that it grants was lent to it, and is granted once.
#[derive(Clone, Debug)]
pub struct Broker {
    last_ask: u64,
    /// The last request to lend to each instance, until it reports again.
    asks: BTreeMap<InstanceName, Ask>,
    seen: BTreeMap<InstanceName, Time>,
    services: BTreeMap<String, Pool>,
    expired: Time,
}

/// A request to lend.
#[derive(Clone, Debug)]
struct Ask {
    at: Time,
    number: u64,
    counts: Vec<(String, u32)>,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    /// Retries that were lent, by when the request to lend was made; later ones last.
    lent: VecDeque<(Time, u32)>,
    wanted: BTreeMap<InstanceName, (Time, u32)>,
}

impl Broker {
    /// Creates a broker that knows of nothing. `seed` has to differ between runs.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Broker {
            last_ask: seed >> 1,
            asks: BTreeMap::new(),
            seen: BTreeMap::new(),
            services: BTreeMap::new(),
            expired: Time::ZERO,
        }
    }

    /// Takes what an instance lends and wants, grants it what it gets of that, and asks it to
    /// lend what others want.
    pub fn report(&mut self, now: Time, report: &RetryReport) -> RetryAnswer {
        self.expire(now);
        self.seen.insert(report.instance.clone(), now);
        self.take_lent(now, report);
        for pool in self.services.values_mut() {
            pool.wanted.remove(&report.instance);
        }
        let mut answer = RetryAnswer::default();
        for (service, count) in &report.wanted {
            let pool = self.services.entry(service.clone()).or_default();
            let granted = pool.grant(now, *count, |count, life| RetryGrant {
                service: service.clone(),
                count,
                life,
            });
            let left = count.saturating_sub(granted.iter().map(|grant| grant.count).sum());
            answer.granted.extend(granted);
            pool.wanted.insert(report.instance.clone(), (now, left));
        }
        // One that has just answered isn't asked again at once: it would answer without end.
        if report.ask == 0 {
            answer.asked = self.needed(now, report);
        }
        if !answer.asked.is_empty() {
            self.last_ask += 1;
            answer.ask = self.last_ask;
            let ask = Ask {
                at: now,
                number: answer.ask,
                counts: answer.asked.clone(),
            };
            self.asks.insert(report.instance.clone(), ask);
        }
        answer
    }

    /// Takes what an instance lends in answer to a request.
    ///
    /// Guard: a message is late, comes twice or answers a request of a run before, and its
    /// retries would be used after the lender has stopped counting them.
    fn take_lent(&mut self, now: Time, report: &RetryReport) {
        let Some(ask) = self.asks.remove(&report.instance) else {
            return;
        };
        if ask.number != report.ask || now.since(ask.at) >= LIFE {
            return;
        }
        for (service, count) in &report.lent {
            let pool = self.services.entry(service.clone()).or_default();
            let place = pool.lent.partition_point(|(at, _)| *at <= ask.at);
            pool.lent.insert(place, (ask.at, *count));
        }
    }

    /// Returns what an instance is asked to lend: its part of what is wanted and isn't on its
    /// way.
    fn needed(&self, now: Time, report: &RetryReport) -> Vec<(String, u32)> {
        let pools = self.services.iter().filter_map(|(service, pool)| {
            if report.wanted.iter().any(|(own, _)| own == service) {
                return None;
            }
            let wanted: u32 = pool.wanted.values().map(|(_, count)| count).sum();
            let lent: u32 = pool.lent.iter().map(|(_, count)| count).sum();
            let left = wanted.saturating_sub(lent);
            let left = left.saturating_sub(self.on_its_way(now, service));
            let lenders = self.seen.len().saturating_sub(pool.wanted.len());
            let lenders = u32::try_from(lenders.max(1)).unwrap_or(u32::MAX);
            (left > 0).then(|| (service.clone(), left.div_ceil(lenders)))
        });
        pools.collect()
    }

    fn on_its_way(&self, now: Time, service: &str) -> u32 {
        let asks = self.asks.values();
        let asks = asks.filter(|ask| now.since(ask.at) < ANSWER_TIME);
        let counts = asks.flat_map(|ask| &ask.counts);
        let counts = counts.filter(|(asked, _)| asked == service);
        counts.map(|(_, count)| count).sum()
    }

    fn expire(&mut self, now: Time) {
        for pool in self.services.values_mut() {
            let ending = |at: Time| now.since(at) + LIFE_LEFT > LIFE;
            while pool.lent.front().is_some_and(|(at, _)| ending(*at)) {
                pool.lent.pop_front();
            }
        }
        if now.since(self.expired) < EXPIRE_INTERVAL {
            return;
        }
        self.expired = now;
        self.asks.retain(|_, ask| now.since(ask.at) < LIFE);
        self.seen.retain(|_, at| now.since(*at) < LIFE);
        self.services.retain(|_, pool| {
            pool.wanted
                .retain(|_, (at, count)| *count > 0 && now.since(*at) < WANTED_FOR);
            !(pool.lent.is_empty() && pool.wanted.is_empty())
        });
    }
}

impl Pool {
    /// Takes up to `wanted` retries from what was lent, in proportion to what others want.
    fn grant(
        &mut self,
        now: Time,
        wanted: u32,
        grant: impl Fn(u32, Duration) -> RetryGrant,
    ) -> Vec<RetryGrant> {
        let all: u32 = self.lent.iter().map(|(_, count)| count).sum();
        let others: u32 = self.wanted.values().map(|(_, count)| count).sum();
        let part = f64::from(wanted) / f64::from(wanted.saturating_add(others).max(1));
        let mut left = wanted.min((f64::from(all) * part).ceil() as u32);
        let mut granted = Vec::new();
        while left > 0 {
            let Some((at, count)) = self.lent.pop_front() else {
                break;
            };
            let taken = left.min(count);
            left -= taken;
            granted.push(grant(taken, LIFE.saturating_sub(now.since(at))));
            if count > taken {
                self.lent.push_front((at, count - taken));
            }
        }
        granted
    }
}
