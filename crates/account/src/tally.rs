//! What all entry instances have used of each account, added up at a control instance.
//!
//! Pattern: some instances fall silent while others go on, since a zone is cut off. What
//! they use meanwhile isn't counted, so a tally says which part of an account's demand is
//! theirs, and the others leave that part of the limit alone.

use std::{collections::BTreeMap, time::Duration};

use base::{AccountName, InstanceName, Time};
use wire::account::{OthersUsage, Usage};

use crate::{DEMAND_MEMORY, rate::Rate};

/// An instance that wasn't heard from for this long is silent: it misses several
/// exchanges.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);

/// An instance that was heard from within this time is there: its share in the demand is
/// known.
const THERE_FOR: Duration = Duration::from_millis(600);

/// Interval at which shares are taken anew.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a silent instance's part of the demand is left to it.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Interval at which sums over all instances are made anew.
const SUM_INTERVAL: Duration = Duration::from_millis(200);

/// A tally that runs for less than this takes the first report of an instance for counts
/// of before.
const START_TIME: Duration = Duration::from_secs(2);

/// The use of all accounts, by the entry instances that report it.
#[derive(Clone, Debug)]
pub struct Tally {
    serial: u64,
    started: Time,
    heard: BTreeMap<InstanceName, Time>,
    accounts: BTreeMap<AccountName, Total>,
}

#[derive(Clone, Debug)]
struct Total {
    serial: u64,
    used: i64,
    asked: i64,
    last: Time,
    instances: BTreeMap<InstanceName, Part>,
    silent: u16,
    use_rate: f64,
    summed_at: Option<Time>,
    shared_at: Time,
}

/// The part of one instance.
#[derive(Clone, Copy, Debug)]
struct Part {
    epoch: u64,
    /// As last reported.
    reported: (u64, u64),
    /// As counted in the total.
    used: i64,
    asked: i64,
    demand: Rate,
    use_rate: Rate,
    /// Its share in the account's demand, one to two intervals before it was last there,
    /// and one interval later.
    share: f64,
    next_share: f64,
}

impl Tally {
    /// Creates an empty tally. `serial` has to differ between tallies.
    #[must_use]
    pub fn new(now: Time, serial: u64) -> Self {
        Tally {
            serial,
            started: now,
            heard: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// Notes that an instance was heard from.
    pub fn heard(&mut self, now: Time, instance: &InstanceName) {
        self.heard.insert(instance.clone(), now);
    }

    /// Adds the report of an instance.
    pub fn add(&mut self, now: Time, instance: &InstanceName, usage: &Usage) {
        let gap = self.heard.get(instance).map(|at| now.since(*at));
        let counted = counted_part(gap.unwrap_or_default());
        self.heard(now, instance);
        let starts = now.since(self.started) < START_TIME;
        for reported in &usage.accounts {
            let serial = &mut self.serial;
            let total = self.accounts.entry(reported.account.clone());
            let total = total.or_insert_with(|| {
                *serial = serial.wrapping_add(1);
                Total::new(*serial)
            });
            total.last = now;
            let known = total.instances.get(instance).copied();
            let mut part = known.unwrap_or(Part {
                epoch: usage.epoch,
                reported: match starts {
                    true => (reported.used, reported.asked),
                    false => (0, 0),
                },
                used: 0,
                asked: 0,
                demand: Rate::new(DEMAND_MEMORY),
                use_rate: Rate::new(DEMAND_MEMORY),
                share: 0.0,
                next_share: 0.0,
            });
            // What was asked for only grows while an instance counts on.
            let anew = part.epoch != usage.epoch || reported.asked < part.reported.1;
            if anew {
                part.epoch = usage.epoch;
                part.reported = (0, 0);
            }
            let used = scaled(difference(reported.used, part.reported.0), counted);
            let asked = scaled(difference(reported.asked, part.reported.1), counted);
            part.reported = (reported.used, reported.asked);
            part.used += used;
            part.asked += asked;
            part.demand.add(now, asked as f64);
            part.use_rate.add(now, used as f64);
            total.used += used;
            total.asked += asked;
            total.instances.insert(instance.clone(), part);
        }
    }

    /// Returns what all but `instance` have used of the accounts that it has reported.
    pub fn others(
        &mut self,
        now: Time,
        instance: &InstanceName,
        usage: &Usage,
    ) -> Vec<OthersUsage> {
        let heard = &self.heard;
        let known = now.since(self.started) >= DEMAND_MEMORY;
        let accounts = &mut self.accounts;
        let others = usage.accounts.iter().filter_map(|reported| {
            let total = accounts.get_mut(&reported.account)?;
            total.refresh_sums(now, heard);
            let own = total.instances.get(instance);
            let (used, asked) = own.map_or((0, 0), |own| (own.used, own.asked));
            Some(OthersUsage {
                account: reported.account.clone(),
                serial: total.serial,
                used: total.used - used,
                asked: total.asked - asked,
                rate: known.then_some(total.use_rate as u64),
                silent: total.silent,
            })
        });
        others.collect()
    }

    /// Forgets accounts and instances that were not heard from for long.
    pub fn expire(&mut self, now: Time) {
        self.heard.retain(|_, at| now.since(*at) < KEPT_FOR);
        self.accounts
            .retain(|_, total| now.since(total.last) < KEPT_FOR);
        for total in self.accounts.values_mut() {
            let heard = &self.heard;
            total.instances.retain(|name, _| heard.contains_key(name));
        }
    }

    /// Returns the number of accounts that are counted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether nothing is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

impl Total {
    fn new(serial: u64) -> Self {
        Total {
            serial,
            used: 0,
            asked: 0,
            last: Time::ZERO,
            instances: BTreeMap::new(),
            silent: 0,
            use_rate: 0.0,
            summed_at: None,
            shared_at: Time::ZERO,
        }
    }

    /// Adds up over all instances, unless that was done just before: it takes a step for each
    /// instance.
    fn refresh_sums(&mut self, now: Time, heard: &BTreeMap<InstanceName, Time>) {
        let recent = |at: Time| now.since(at) < SUM_INTERVAL;
        if self.summed_at.is_some_and(recent) {
            return;
        }
        self.summed_at = Some(now);
        let used = self.instances.values().map(|part| part.use_rate.at(now));
        self.use_rate = used.sum();
        let rates = self.instances.values().map(|part| part.demand.at(now));
        let all: f64 = rates.sum::<f64>().max(f64::MIN_POSITIVE);
        let due = now.since(self.shared_at) >= SHARE_INTERVAL;
        if due {
            self.shared_at = now;
        }
        let mut silent = 0.0;
        for (name, part) in &mut self.instances {
            let gone = now.since(heard.get(name).copied().unwrap_or(Time::ZERO));
            // The share of a silent instance stays as it was before: the demand of the others
            // may have grown since, and so may its own.
            if gone <= THERE_FOR {
                if due {
                    part.share = part.next_share;
                    part.next_share = part.demand.at(now) / all;
                }
            } else if gone > SILENT_AFTER {
                silent += part.share;
            }
        }
        self.silent = (silent.min(1.0) * 1_000.0).round() as u16;
    }
}

/// Returns the part that counts of what an instance has used since it was heard from.
///
/// While it was silent the others left it its part of the limit, which is used already.
fn counted_part(gap: Duration) -> f64 {
    if gap <= SILENT_AFTER {
        return 1.0;
    }
    SILENT_AFTER.as_secs_f64() / gap.as_secs_f64()
}

fn scaled(units: i64, part: f64) -> i64 {
    (units as f64 * part).round() as i64
}

fn difference(new: u64, old: u64) -> i64 {
    i64::try_from(i128::from(new) - i128::from(old)).unwrap_or(0)
}
