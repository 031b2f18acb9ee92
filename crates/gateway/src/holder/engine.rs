//! One engine as its holder knows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;
use wire::fleet::{First, Resident, Weights};

use super::{Act, Config, Ended, Held, Listed, Report};

/// Dropped adapters that are remembered of an engine; what its memory still has
/// of them is learned, see [`Memory`](super::pace::Memory).
const PAST_MAX: usize = 256;

/// An adapter that an engine held recently loads ten times as fast.
const PAST_SPEED: u32 = 10;

/// Pause after an order without an answer, for an engine that is out of reach;
/// the next order is safe at once, as it says the same count.
const DOUBT_REST: Duration = Duration::from_millis(10);

/// An engine that answered so lately is alive, whatever others say.
const HEARD_LATELY: Duration = Duration::from_millis(200);

/// Loads for which the word of a first use counts are at most so old, in
/// expected times of a load; it may be an earlier one's that was dropped.
const FIRST_USE: u32 = 6;

/// Added to the time of a load before it counts as done; too early a request
/// is refused and sent again.
const LOAD_SLACK: Duration = Duration::from_millis(8);

/// How long after its load an adapter isn't dropped: those that waited for it send
/// their requests at once, and the next exchange tells of them.
const LOAD_SETTLES: Duration = Duration::from_millis(400);

/// One engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    born: u64,
    /// Orders accepted in this life, where known.
    pub(super) seq: Option<u64>,
    /// The order under way.
    pub(super) order: Option<Act>,
    /// The count that orders without answer expected; while the engine may still
    /// be at it, one of them may be carried out.
    doubt: Option<u64>,
    /// Why a report was asked for that hasn't come yet.
    pub(super) asked: Option<(Asked, Time)>,
    /// Whether somebody couldn't reach the engine, and it has to be asked
    /// whether it lives.
    pub(super) suspect: bool,
    /// When it last answered an order or a question.
    heard: Time,
    /// Until when nothing is asked or ordered.
    pub(super) rest: Time,
    /// Base models held, and when they can be used.
    pub(super) models: BTreeMap<String, Time>,
    /// Versions of their weights, as far as the engine has said.
    weights: BTreeMap<String, u32>,
    pub(super) adapters: BTreeMap<String, Slot>,
    /// The adapter that room is being made for.
    pub(super) goal: Option<String>,
    /// Adapters held before.
    past: BTreeMap<String, Past>,
    /// Adapters dropped so far.
    drops: usize,
    /// Adapters dropped by own order, and when.
    dropped: BTreeMap<String, Time>,
}

/// An adapter that an engine has dropped.
#[derive(Clone, Copy, Debug)]
struct Past {
    /// How many had been dropped when it was.
    at: usize,
    /// Its version; zero where none was named when it was loaded.
    version: u32,
}

/// Why an engine is asked for its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asked {
    /// The count of its orders isn't known.
    Count,
    /// Somebody couldn't reach it.
    Life,
}

/// A place taken by an adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    pub(super) version: u32,
    /// When it can be used.
    pub(super) ready: Time,
    /// When it was last ordered; zero if only reported.
    ordered: Option<Time>,
    /// Whether it was ordered away and goes once its requests have ended.
    pub(super) leaving: bool,
    /// Where the engine took it from by this holder's order; nothing if the
    /// order was another's.
    loaded: Option<Source>,
}

impl Slot {
    /// Tells whether it can be used, and whoever waited for it has had time to
    /// say so.
    pub(super) fn settled(&self, now: Time) -> bool {
        let rest = self.loaded.map_or(Duration::ZERO, |_| LOAD_SETTLES);
        now >= self.ready + rest
    }
}

/// Where an engine takes an adapter from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The weight store, shared by all engines.
    Store,
    /// Its own memory, as it held the adapter lately and has dropped so many
    /// others since.
    Memory {
        /// How many.
        depth: usize,
    },
}

impl Engine {
    /// Takes the platform's word about the engine.
    pub(super) fn listed(&mut self, now: Time, asked: Time, listed: &Listed, times: &Config) {
        if listed.born > self.born {
            self.reborn(listed.born);
        }
        if listed.born < self.born {
            return;
        }
        if let Some(held) = &listed.held {
            self.believe(now, asked, held, times.list_lag, times.list_lag);
        }
    }

    /// Failure: an engine restarts under its old id. It holds nothing and
    /// counts orders anew, while its holder goes on sending requests for what
    /// it held. The time of its start tells its lives apart.
    fn reborn(&mut self, born: u64) {
        *self = Engine {
            born,
            ..Engine::default()
        };
    }

    /// Takes the word of an entry instance that couldn't reach the engine.
    ///
    /// Failure: one entry instance is cut off from an engine, or an engine
    /// breaks off answers. When that alone took the engine out of use for
    /// everybody, what it held was loaded again elsewhere and the last engine of
    /// a zone was left with more adapters in use than it has room for. The
    /// holder's own question decides.
    pub(super) fn accused(&mut self, now: Time) {
        self.suspect |= now.since(self.heard) >= HEARD_LATELY;
    }

    pub(super) fn ended(&mut self, now: Time, ended: Ended, times: &Config) {
        let lag = times.report_lag;
        let Some(act) = self.order.take() else {
            return;
        };
        if ended == Ended::Unknown {
            self.suspect = true;
        } else {
            self.heard = now;
        }
        match ended {
            Ended::Accepted | Ended::Done => {
                if self.counts(&act, ended) {
                    self.doubt = None;
                    self.seq = self.seq.map(|seq| seq + 1);
                } else {
                    self.seq = None;
                    self.rest = now + lag;
                }
                self.accepted(now, act, ended, times);
            }
            Ended::Refused => {
                self.goal = None;
                self.rest = now + lag;
            }
            // Failure: an order without an answer may have been carried out, or
            // may be later. The next one says the same count: the engine takes
            // it only if the one in doubt was not carried out before, and will
            // then refuse that one. So nothing waits for the truth, and no
            // place is filled twice.
            Ended::Unknown => {
                base::hit!(order_in_doubt);
                self.doubt = self.seq;
                self.goal = None;
                self.rest = now + DOUBT_REST;
            }
            // The engine has taken an order that its holder doesn't know of.
            // Its report is read once it can show that.
            Ended::Conflict => {
                self.goal = None;
                self.seq = None;
                self.rest = now + lag;
            }
        }
    }

    /// Tells whether an engine that agreed to an order has certainly counted it.
    ///
    /// Failure: an order to load gets no answer and is carried out seconds later.
    /// The next one drops an adapter that is long gone; the engine agrees without
    /// counting, and its holder is one ahead. The late load then makes the
    /// counts equal again, and one more load is taken that there is no room
    /// for. Only what this holder has loaded itself is known to be there.
    fn counts(&self, act: &Act, ended: Ended) -> bool {
        match act {
            _ if ended == Ended::Accepted => true,
            Act::Evict(adapter) => {
                let loaded = self
                    .adapters
                    .get(adapter)
                    .is_some_and(|slot| slot.loaded.is_some());
                loaded || self.doubt.is_none()
            }
            Act::Load { .. } => false,
            Act::LoadModel(_) => true,
        }
    }

    fn accepted(&mut self, now: Time, act: Act, ended: Ended, times: &Config) {
        let load = times.adapter_load;
        match act {
            Act::LoadModel(model) => {
                let wait = if ended == Ended::Done {
                    Duration::ZERO
                } else {
                    times.model_load
                };
                self.models.insert(model, now + wait);
                self.rest = now + wait;
            }
            Act::Load { adapter, version } => {
                let source = match self.depth(&adapter, version) {
                    Some(depth) if depth < times.memory => Source::Memory { depth },
                    _ => Source::Store,
                };
                let wait = match (ended, source) {
                    (Ended::Done, _) => Duration::ZERO,
                    (_, Source::Memory { .. }) => load / PAST_SPEED + LOAD_SLACK,
                    (_, Source::Store) => load + LOAD_SLACK,
                };
                self.past.remove(&adapter);
                self.dropped.remove(&adapter);
                if self.goal.as_ref() == Some(&adapter) {
                    self.goal = None;
                }
                let slot = Slot {
                    version: version.unwrap_or(0),
                    ready: now + wait,
                    ordered: Some(now),
                    leaving: false,
                    loaded: (ended == Ended::Accepted).then_some(source),
                };
                self.adapters.insert(adapter, slot);
            }
            Act::Evict(adapter) if ended == Ended::Done => self.drop_adapter(now, adapter),
            // It waits for its requests to end; the place is taken until the
            // engine says otherwise.
            Act::Evict(adapter) => {
                if let Some(slot) = self.adapters.get_mut(&adapter) {
                    slot.leaving = true;
                    slot.ordered = Some(now);
                    slot.ready = now + times.list_lag;
                }
                self.goal = None;
            }
        }
    }

    /// Takes what came of the first request after a load, and returns where the
    /// load came from and when it was ordered, if that was by this holder and not long
    /// ago.
    ///
    /// Failure: a load takes longer than told. Every instance that waits for the
    /// adapter sends its requests and is refused, each again and again. The first
    /// refusal moves the time for all.
    pub(super) fn first_use(
        &mut self,
        now: Time,
        first: &First,
        load: Duration,
    ) -> Option<(Source, Time)> {
        let slot = self.adapters.get_mut(&first.adapter)?;
        let source = slot.loaded?;
        let ordered = slot.ordered?;
        if now.since(ordered) > load * FIRST_USE {
            return None;
        }
        if !first.held {
            let due = match source {
                Source::Memory { .. } => ordered + load,
                Source::Store => now + load / PAST_SPEED,
            };
            slot.ready = slot.ready.max(due);
        }
        Some((source, ordered))
    }

    fn drop_adapter(&mut self, now: Time, adapter: String) {
        let slot = self.adapters.remove(&adapter);
        self.drops += 1;
        let past = Past {
            at: self.drops,
            version: slot.map_or(0, |slot| slot.version),
        };
        self.past.insert(adapter.clone(), past);
        if self.past.len() > PAST_MAX {
            let oldest = self.drops.saturating_sub(PAST_MAX / 2);
            self.past.retain(|_, past| past.at > oldest);
        }
        self.dropped.insert(adapter, now);
    }

    pub(super) fn reported(&mut self, now: Time, report: Option<Report>, times: &Config) {
        let (load, lag) = (times.adapter_load, times.report_lag);
        let (why, asked) = self.asked.take().unwrap_or((Asked::Count, now));
        self.suspect = false;
        let Some(report) = report else {
            self.rest = now + lag;
            return;
        };
        self.heard = now;
        if report.born > self.born {
            self.reborn(report.born);
        }
        // A late report of the life before says nothing of this one; zero says no life.
        if report.born > 0 && report.born < self.born {
            self.rest = now + lag;
            return;
        }
        // A report is some hundred milliseconds old. Where the count is known, the
        // holder knows more than the report, and a count that was lost since it
        // was asked for may be newer than what it says.
        if why == Asked::Life {
            return;
        }
        if report.busy {
            self.rest = now + lag;
            return;
        }
        self.seq = Some(report.seq);
        // An order of this holder, or of the one before it, may still be carried
        // out late at this count.
        self.doubt = self.seq;
        self.believe(now, asked, &report.held, lag, times.list_lag);
        // What the report doesn't name, though it is older than the last
        // order, is not there.
        for (adapter, version) in report.pending {
            let slot = Slot {
                version,
                ready: now + load,
                ordered: Some(now),
                leaving: false,
                loaded: None,
            };
            self.adapters.entry(adapter).or_insert(slot);
        }
    }

    /// Takes what the engine says it holds, but for what was ordered so shortly
    /// before it was `asked` that it can't show yet.
    ///
    /// Failure: this process is frozen for seconds with a list on its way to it.
    /// Counted from its arrival, what was ordered meanwhile seemed long enough
    /// ago to have shown; the places were taken for free, and the engine was
    /// ordered to load more than it holds, which crashes it.
    fn believe(&mut self, now: Time, asked: Time, held: &Held, lag: Duration, keep: Duration) {
        let recent = |at: &Time| asked < *at + lag;
        self.models
            .retain(|model, ready| held.models.contains_key(model) || asked < *ready + lag);
        for model in held.models.keys() {
            self.models.entry(model.clone()).or_insert(now);
        }
        let weights = held.models.iter();
        let weights = weights.filter_map(|(model, version)| Some((model.clone(), (*version)?)));
        self.weights = weights.collect();
        // Failure: an engine's report comes a moment after a drop, and then a list
        // from before it. Had the report made the drop forgotten, the list would
        // bring the adapter back: requests are refused there, and the next order
        // to drop it isn't counted by the engine. Both ages apply on their own.
        self.dropped.retain(|_, at| asked < *at + keep);
        let dropped = &self.dropped;
        let gone: Vec<_> = self
            .adapters
            .iter()
            .filter(|(name, slot)| {
                let ordered = slot.ordered.is_some_and(|at| recent(&at.max(slot.ready)));
                !held.adapters.contains_key(*name) && !ordered
            })
            .map(|(name, _)| name.clone())
            .collect();
        for (adapter, version) in &held.adapters {
            if dropped.get(adapter).is_some_and(recent) {
                continue;
            }
            let slot = Slot {
                version: *version,
                ready: now,
                ordered: None,
                leaving: false,
                loaded: None,
            };
            let known = self.adapters.entry(adapter.clone()).or_insert(slot);
            if known.version <= *version {
                known.version = *version;
            }
        }
        for adapter in gone {
            self.adapters.remove(&adapter);
        }
    }

    /// Returns adapters on their way.
    pub(super) fn transit(&self, now: Time) -> usize {
        self.adapters
            .values()
            .filter(|slot| slot.ready > now && !slot.leaving)
            .count()
    }

    /// Returns how many adapters this engine has dropped since `adapter`, if it
    /// has dropped that in `version`, or in any where none is named.
    pub(super) fn depth(&self, adapter: &str, version: Option<u32>) -> Option<usize> {
        let past = self.past.get(adapter)?;
        let alike = version.is_none_or(|version| past.version == version);
        alike.then(|| self.drops - past.at)
    }

    /// Returns the versions of the weights of its base models.
    pub(super) fn weights(&self) -> Vec<Weights> {
        let weights = self.weights.iter();
        let weights = weights.map(|(model, version)| Weights {
            model: model.clone(),
            version: *version,
        });
        weights.collect()
    }

    /// Returns what requests may use, and from when; the residents themselves name no
    /// time.
    pub(super) fn residents(&self) -> Vec<(Resident, Time)> {
        let resident = |adapter: &String, version, ready| {
            let resident = Resident {
                adapter: adapter.clone(),
                version,
                ready_in: Duration::ZERO,
            };
            (resident, ready)
        };
        let models = self.models.iter();
        let models = models.map(|(model, ready)| resident(model, 0, *ready));
        let leaving: BTreeSet<_> = match &self.order {
            Some(Act::Evict(adapter)) => BTreeSet::from([adapter]),
            _ => BTreeSet::new(),
        };
        let adapters = self.adapters.iter();
        let adapters =
            adapters.filter(|(adapter, slot)| !slot.leaving && !leaving.contains(adapter));
        let adapters = adapters.map(|(adapter, slot)| resident(adapter, slot.version, slot.ready));
        models.chain(adapters).collect()
    }
}
