//! State of one engine as its zone owner knows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;
use wire::fleet::{FirstUse, Resident, Weights};

use super::{Action, Config, Held, ListedTarget, OrderOutcome, Report};

/// Number of evicted adapters that are remembered per engine. How many of them the engine
/// still has in host memory is estimated by
/// [`MemoryEstimate`](super::estimate::MemoryEstimate).
const EVICTED_MAX: usize = 256;

/// An engine reloads an adapter from its host memory this many times as fast as from the
/// store.
const MEMORY_SPEEDUP: u32 = 10;

/// Pause after an order without an answer, so that an unreachable engine is not flooded.
/// The next order is safe at once, as it carries the same expected order count.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(10);

/// An engine that answered within this time is alive, whatever entry instances report.
const ALIVE_WITHIN: Duration = Duration::from_millis(200);

/// Maximum age of a load to which the outcome of a first use is attributed, in expected
/// load times; an older outcome may belong to an earlier load that was evicted since.
const FIRST_USE_MAX_LOADS: u32 = 6;

/// Margin on the expected duration of a load: a request that arrives too early is refused
/// and has to be retried.
const LOAD_SLACK: Duration = Duration::from_millis(8);

/// How long an adapter is not evicted after its load. Callers that waited for it send
/// their requests at once, and the next exchange reports them.
const KEEP_AFTER_LOAD: Duration = Duration::from_millis(400);

/// State of one engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Start time of this incarnation, as given by the platform.
    born: u64,
    /// Number of orders that the engine has accepted in this incarnation, if known.
    pub(super) seq: Option<u64>,
    /// The order without an answer so far.
    pub(super) order: Option<Action>,
    /// The order count expected by orders with an unknown outcome. While the engine may
    /// still be at this count, one of them may be executed.
    unknown_seq: Option<u64>,
    /// Why and when a report was requested that has not arrived yet.
    pub(super) report_asked: Option<(ReportReason, Time)>,
    /// Whether an entry instance could not reach the engine, so that its liveness has to
    /// be checked.
    pub(super) suspect: bool,
    /// When it last answered an order or a report request.
    answered_at: Time,
    /// Until when nothing is requested or ordered.
    pub(super) paused_until: Time,
    /// Base models held, and the times from which they can be used.
    pub(super) models: BTreeMap<String, Time>,
    /// The base model that is being loaded.
    pub(super) coming: Option<Coming>,
    /// Base models that the engine loads from a copy of its own, without the weight store.
    own_copies: BTreeSet<String>,
    /// Versions of their weights, as far as the engine has reported them.
    weights: BTreeMap<String, u32>,
    pub(super) adapters: BTreeMap<String, Slot>,
    /// The adapter to load once the ordered eviction has freed a slot.
    pub(super) next_load: Option<String>,
    /// Adapters that were evicted and may still be in host memory.
    evicted: BTreeMap<String, Evicted>,
    /// Number of evictions so far.
    evictions: usize,
    /// Adapters evicted by order of this zone owner, and when.
    own_evictions: BTreeMap<String, Time>,
}

/// An adapter that an engine has evicted.
#[derive(Clone, Copy, Debug)]
struct Evicted {
    /// Number of evictions at the engine up to and including this one.
    at: usize,
    /// Its version; zero if it was loaded without one.
    version: u32,
}

/// Why an engine's report is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportReason {
    /// Its order count is not known.
    OrderCount,
    /// An entry instance could not reach it.
    Liveness,
}

/// An adapter slot in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    pub(super) version: u32,
    /// When the adapter can be used, or, for an eviction, is expected to be gone.
    pub(super) ready: Time,
    /// When it was last ordered; `None` if only reported.
    ordered: Option<Time>,
    /// Whether its eviction is ordered, which takes effect once its requests have ended.
    pub(super) evicting: bool,
    /// Where the engine loaded it from by order of this zone owner; `None` if another one
    /// ordered it.
    source: Option<Source>,
}

impl Slot {
    /// Returns whether the adapter can be used and the callers that waited for it have
    /// had time to send their requests.
    pub(super) fn settled(&self, now: Time) -> bool {
        let pause = self.source.map_or(Duration::ZERO, |_| KEEP_AFTER_LOAD);
        now >= self.ready + pause
    }
}

/// A base model that is being loaded.
#[derive(Clone, Debug)]
pub(super) struct Coming {
    /// Its name; empty if another instance ordered it.
    model: String,
    ordered: Time,
    /// When it is expected to be loaded, or a while after the last report that it isn't.
    due: Time,
    /// Whether it comes from the weight store, with how many others over all zones,
    /// itself included.
    pub(super) store: Option<usize>,
}

/// A load of a base model from the weight store that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreLoad {
    /// How many ran when it began, itself included.
    pub(super) together: usize,
    /// How long it took at the most; the report that shows its end is late by a fraction
    /// of a second.
    pub(super) took: Duration,
}

/// Where an engine loads an adapter from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The weight store, shared by all engines.
    Store,
    /// Its host memory, as it evicted the adapter recently.
    Memory {
        /// Number of adapters evicted since.
        depth: usize,
    },
}

impl Engine {
    /// Applies the engine's entry in the platform's target list.
    pub(super) fn listed(&mut self, now: Time, asked: Time, listed: &ListedTarget, times: &Config) {
        if listed.born > self.born {
            self.restarted(listed.born);
        }
        if listed.born < self.born {
            return;
        }
        if let Some(held) = &listed.held {
            self.merge_held(now, asked, held, times.list_lag, times.list_lag);
        }
    }

    /// Resets the state for a new incarnation of the engine.
    ///
    /// Failure: an engine restarts under its old id. It holds nothing and counts orders
    /// from zero, while requests for what it held are still sent to it. Its start time
    /// distinguishes incarnations.
    fn restarted(&mut self, born: u64) {
        *self = Engine {
            born,
            ..Engine::default()
        };
    }

    /// Notes that an entry instance could not reach the engine.
    ///
    /// Failure: one entry instance is cut off from an engine, or an engine breaks off
    /// answers. When that alone took the engine out of use for all instances, the
    /// adapters it held were loaded again elsewhere, and the last engine of a zone was
    /// left with more adapters in use than it has room for. So the zone owner checks with
    /// a request of its own.
    pub(super) fn unreachable(&mut self, now: Time) {
        self.suspect |= now.since(self.answered_at) >= ALIVE_WITHIN;
    }

    pub(super) fn order_ended(&mut self, now: Time, outcome: OrderOutcome, times: &Config) {
        let lag = times.report_lag;
        let Some(action) = self.order.take() else {
            return;
        };
        if outcome == OrderOutcome::Unknown {
            self.suspect = true;
        } else {
            self.answered_at = now;
        }
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Done => {
                if self.is_counted(&action, outcome) {
                    self.unknown_seq = None;
                    self.seq = self.seq.map(|seq| seq + 1);
                } else {
                    self.seq = None;
                    self.paused_until = now + lag;
                }
                self.confirmed(now, action, outcome, times);
            }
            OrderOutcome::Refused => {
                self.next_load = None;
                self.paused_until = now + lag;
            }
            OrderOutcome::Resting(rest) => {
                self.next_load = None;
                self.paused_until = now + rest.min(rest::LONGEST);
            }
            // Failure: an order without an answer may have been executed, or may be
            // later. The next order carries the same expected count: the engine accepts
            // it only if the earlier one was not executed before, and will then refuse
            // the earlier one. So orders go on without waiting for the outcome, and no
            // slot is filled twice.
            OrderOutcome::Unknown => {
                base::hit!(order_outcome_unknown);
                self.unknown_seq = self.seq;
                self.next_load = None;
                self.paused_until = now + UNKNOWN_PAUSE;
            }
            // The engine has accepted an order that this zone owner doesn't know of. The
            // report is requested once it is recent enough to show that order.
            OrderOutcome::Conflict => {
                self.next_load = None;
                self.seq = None;
                self.paused_until = now + lag;
            }
        }
    }

    /// Returns whether an engine that confirmed an order has certainly counted it.
    ///
    /// Failure: an order to load gets no answer and is executed seconds later. The next
    /// order evicts an adapter that is already gone; the engine confirms it without
    /// counting it, and the zone owner's count is one too high. The late load then makes
    /// the counts equal again, and one more load is accepted for which there is no room.
    /// Only adapters that this zone owner has loaded itself are known to be there.
    fn is_counted(&self, action: &Action, outcome: OrderOutcome) -> bool {
        match action {
            _ if outcome == OrderOutcome::Accepted => true,
            Action::Evict(adapter) => {
                let loaded = self
                    .adapters
                    .get(adapter)
                    .is_some_and(|slot| slot.source.is_some());
                loaded || self.unknown_seq.is_none()
            }
            Action::Load { .. } => false,
            Action::LoadModel(_) => true,
        }
    }

    fn confirmed(&mut self, now: Time, action: Action, outcome: OrderOutcome, times: &Config) {
        let load = times.adapter_load;
        match action {
            Action::LoadModel(model) => {
                if outcome == OrderOutcome::Done {
                    self.coming = None;
                    self.models.insert(model, now);
                    return;
                }
                self.expect_model(now, model, times);
            }
            Action::Load { adapter, version } => {
                let source = match self.depth(&adapter, version) {
                    Some(depth) if depth < times.memory => Source::Memory { depth },
                    _ => Source::Store,
                };
                let wait = match (outcome, source) {
                    (OrderOutcome::Done, _) => Duration::ZERO,
                    (_, Source::Memory { .. }) => load / MEMORY_SPEEDUP + LOAD_SLACK,
                    (_, Source::Store) => load + LOAD_SLACK,
                };
                self.evicted.remove(&adapter);
                self.own_evictions.remove(&adapter);
                if self.next_load.as_ref() == Some(&adapter) {
                    self.next_load = None;
                }
                let slot = Slot {
                    version: version.unwrap_or(0),
                    ready: now + wait,
                    ordered: Some(now),
                    evicting: false,
                    source: (outcome == OrderOutcome::Accepted).then_some(source),
                };
                self.adapters.insert(adapter, slot);
            }
            Action::Evict(adapter) if outcome == OrderOutcome::Done => self.evict(now, adapter),
            // The eviction waits for the adapter's requests to end; the slot stays taken
            // until a report or list shows that the adapter is gone.
            Action::Evict(adapter) => {
                if let Some(slot) = self.adapters.get_mut(&adapter) {
                    slot.evicting = true;
                    slot.ordered = Some(now);
                    slot.ready = now + times.list_lag;
                }
                self.next_load = None;
            }
        }
    }

    /// Notes that the engine has begun to load a base model. Until a report shows the end,
    /// it takes no other order.
    ///
    /// Failure: weights took 4 to 35 s to load where two were expected. Engines counted as
    /// loaded were chosen for adapters that callers waited for, as they were empty, and
    /// refused each of them; and as loads that counted as done left the limit of concurrent
    /// ones, all engines without weights loaded at once, each for longer.
    fn expect_model(&mut self, now: Time, model: String, times: &Config) {
        let store = self.coming.as_ref().and_then(|coming| coming.store);
        self.model_ordered(now, &model, store, times);
        self.paused_until = self.coming.as_ref().map_or(now, |coming| coming.due);
    }

    /// Notes where an ordered base model comes from: the weight store, with how many
    /// others over all zones, or a copy of its own.
    pub(super) fn model_ordered(
        &mut self,
        now: Time,
        model: &str,
        store: Option<usize>,
        times: &Config,
    ) {
        let wait = store.map_or(times.report_lag, |_| times.model_load);
        self.coming = Some(Coming {
            model: model.to_owned(),
            ordered: now,
            due: now + wait,
            store,
        });
    }

    /// Returns whether the engine has a copy of a base model of its own.
    pub(super) fn has_copy(&self, model: &str) -> bool {
        self.own_copies.contains(model)
    }

    /// Returns whether the engine is loading a base model from the weight store.
    pub(super) fn uses_store(&self) -> bool {
        self.coming
            .as_ref()
            .is_some_and(|coming| coming.store.is_some())
    }

    /// Applies what a report says of base models. Returns the load from the weight store
    /// that it shows to have ended.
    fn models_reported(&mut self, now: Time, report: &Report, lag: Duration) -> Option<StoreLoad> {
        self.own_copies.clone_from(&report.own_copies);
        if !report.busy {
            let ended = self.coming.take()?;
            let there = report.held.models.contains_key(&ended.model);
            return ended.store.filter(|_| there).map(|together| StoreLoad {
                together,
                took: now.since(ended.ordered),
            });
        }
        if report.held.models.is_empty() {
            let coming = self.coming.get_or_insert(Coming {
                model: String::new(),
                ordered: now,
                due: now,
                store: Some(1),
            });
            coming.due = coming.due.max(now + lag * 2);
        }
        None
    }

    /// Applies the outcome of the first request after a load. Returns where the load came
    /// from and when it was ordered, if this zone owner ordered it recently.
    ///
    /// Failure: a load takes longer than announced. Every instance that waits for the
    /// adapter sends its requests and is refused, each of them repeatedly. So the first
    /// refusal postpones the announced time for all instances.
    pub(super) fn first_use(
        &mut self,
        now: Time,
        first: &FirstUse,
        load: Duration,
    ) -> Option<(Source, Time)> {
        let slot = self.adapters.get_mut(&first.adapter)?;
        let source = slot.source?;
        let ordered = slot.ordered?;
        if now.since(ordered) > load * FIRST_USE_MAX_LOADS {
            return None;
        }
        if !first.held {
            let due = match source {
                Source::Memory { .. } => ordered + load,
                Source::Store => now + load / MEMORY_SPEEDUP,
            };
            slot.ready = slot.ready.max(due);
        }
        Some((source, ordered))
    }

    fn evict(&mut self, now: Time, adapter: String) {
        let slot = self.adapters.remove(&adapter);
        self.evictions += 1;
        let evicted = Evicted {
            at: self.evictions,
            version: slot.map_or(0, |slot| slot.version),
        };
        self.evicted.insert(adapter.clone(), evicted);
        if self.evicted.len() > EVICTED_MAX {
            let oldest = self.evictions.saturating_sub(EVICTED_MAX / 2);
            self.evicted.retain(|_, evicted| evicted.at > oldest);
        }
        self.own_evictions.insert(adapter, now);
    }

    /// Applies a report, or its absence. Returns the load of a base model from the weight
    /// store that it shows to have ended.
    pub(super) fn reported(
        &mut self,
        now: Time,
        report: Option<Report>,
        times: &Config,
    ) -> Option<StoreLoad> {
        let (load, lag) = (times.adapter_load, times.report_lag);
        let (why, asked) = self
            .report_asked
            .take()
            .unwrap_or((ReportReason::OrderCount, now));
        self.suspect = false;
        let Some(report) = report else {
            self.paused_until = now + lag;
            return None;
        };
        self.answered_at = now;
        if report.born > self.born {
            self.restarted(report.born);
        }
        // A late report of the previous incarnation says nothing about this one; a start
        // time of zero means that it is not reported.
        if report.born > 0 && report.born < self.born {
            self.paused_until = now + lag;
            return None;
        }
        // A report is a few hundred milliseconds old. If the order count is known, the
        // state here is newer than the report; and if the count was lost after the report
        // was requested, the report may predate that.
        if why == ReportReason::Liveness {
            return None;
        }
        let ended = self.models_reported(now, &report, lag);
        if report.busy {
            self.paused_until = now + lag;
            return None;
        }
        self.seq = Some(report.seq);
        // An order of this zone owner, or of its predecessor, may still be executed late
        // at this count.
        self.unknown_seq = self.seq;
        self.merge_held(now, asked, &report.held, lag, times.list_lag);
        // Adapters that the report doesn't list as held were removed above, unless
        // ordered too recently to show in it; those that it lists as being loaded are
        // added here.
        for (adapter, version) in report.pending {
            let slot = Slot {
                version,
                ready: now + load,
                ordered: Some(now),
                evicting: false,
                source: None,
            };
            self.adapters.entry(adapter).or_insert(slot);
        }
        ended
    }

    /// Merges what the engine says it holds, except where an order was given so shortly
    /// before the report or list was requested (`asked`) that it can't show the effect
    /// yet.
    ///
    /// Failure: this process is frozen for seconds while a list is on its way to it. With
    /// the list's age counted from its arrival, orders given before the freeze seemed old
    /// enough to show in it; their slots were taken for free, and the engine was ordered
    /// to load more than it can hold, which crashes it.
    fn merge_held(
        &mut self,
        now: Time,
        asked: Time,
        held: &Held,
        lag: Duration,
        list_lag: Duration,
    ) {
        let recent = |at: &Time| asked < *at + lag;
        self.models
            .retain(|model, ready| held.models.contains_key(model) || asked < *ready + lag);
        for model in held.models.keys() {
            self.models.entry(model.clone()).or_insert(now);
        }
        let weights = held.models.iter();
        let weights = weights.filter_map(|(model, version)| Some((model.clone(), (*version)?)));
        self.weights = weights.collect();
        // Failure: an engine's report arrives just after an eviction, and then a list
        // from before it. If the report made the eviction forgotten, the list would bring
        // the adapter back: requests are refused there, and the next order to evict it
        // isn't counted by the engine. So the maximum ages of reports and lists apply
        // independently.
        self.own_evictions.retain(|_, at| asked < *at + list_lag);
        let own_evictions = &self.own_evictions;
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
            if own_evictions.get(adapter).is_some_and(recent) {
                continue;
            }
            let slot = Slot {
                version: *version,
                ready: now,
                ordered: None,
                evicting: false,
                source: None,
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

    /// Returns the number of adapters being loaded.
    pub(super) fn loads_in_flight(&self, now: Time) -> usize {
        self.adapters
            .values()
            .filter(|slot| slot.ready > now && !slot.evicting)
            .count()
    }

    /// Returns how many adapters the engine has evicted since `adapter`, if it evicted
    /// that in `version`, or in any version if that is `None`.
    pub(super) fn depth(&self, adapter: &str, version: Option<u32>) -> Option<usize> {
        let evicted = self.evicted.get(adapter)?;
        let alike = version.is_none_or(|version| evicted.version == version);
        alike.then(|| self.evictions - evicted.at)
    }

    /// Returns the versions of its base models' weights.
    pub(super) fn weights(&self) -> Vec<Weights> {
        let weights = self.weights.iter();
        let weights = weights.map(|(model, version)| Weights {
            model: model.clone(),
            version: *version,
        });
        weights.collect()
    }

    /// Returns the models and adapters that requests may use, each with the time from
    /// which they can be used; `ready_in` of the residents is left at zero.
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
        let coming = self.coming.iter().filter(|coming| !coming.model.is_empty());
        let coming = coming.filter(|coming| !self.models.contains_key(&coming.model));
        let coming = coming.map(|coming| resident(&coming.model, 0, coming.due));
        let evicting: BTreeSet<_> = match &self.order {
            Some(Action::Evict(adapter)) => BTreeSet::from([adapter]),
            _ => BTreeSet::new(),
        };
        let adapters = self.adapters.iter();
        let adapters =
            adapters.filter(|(adapter, slot)| !slot.evicting && !evicting.contains(adapter));
        let adapters = adapters.map(|(adapter, slot)| resident(adapter, slot.version, slot.ready));
        models.chain(coming).chain(adapters).collect()
    }
}
