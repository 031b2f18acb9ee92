//! Read-only queries of operators, answered by any control instance.

use std::collections::BTreeMap;

use base::{BrandName, TextVersion, Time};
use wire::operator::{BrandStatus, Current, EngineStatus, Entry, InstanceStatus, Status};

use super::{Control, millis};

impl Control {
    /// Returns the status of the whole system as seen here. Only the leader knows the
    /// entry instances.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let leader = self.replica.leader().map(|id| id.instance.clone());
        let instances = self.grantor.instances();
        let instances = instances.map(|(name, zone, version, last, leaving)| InstanceStatus {
            name: name.clone(),
            zone: zone.to_string(),
            version,
            silent_ms: millis(now.since(last)),
            leaving,
        });
        let engines = self.state.table().engines().iter();
        let engines = engines.map(|(target, engine)| EngineStatus {
            target: target.clone(),
            owner: Some(engine.owner.instance.clone()),
            fence: engine.fence.get(),
        });
        Status {
            instance: self.replica.id().instance.clone(),
            leader,
            version: self.state.texts().version(),
            instances: instances.collect(),
            engines: engines.collect(),
            brands: self.brands(),
        }
    }

    /// Adds up the shares of each brand, as reported by the instances that are heard
    /// from.
    fn brands(&self) -> Vec<BrandStatus> {
        let heard = self.grantor.instances().map(|(name, ..)| name);
        let reported = heard.filter_map(|name| self.shares.get(name)).flatten();
        let mut sums: BTreeMap<&BrandName, (BrandStatus, u64, u64)> = BTreeMap::new();
        for share in reported {
            let fresh = || (BrandStatus::none(&share.brand), 0, 0);
            let (sum, sent, waited) = sums.entry(&share.brand).or_insert_with(fresh);
            sum.tokens += share.tokens;
            sum.queued += share.queued;
            sum.running += share.running;
            sum.refused += share.refused;
            *sent += share.sent;
            *waited += share.waited_ms;
        }
        let all: u64 = sums.values().map(|(sum, ..)| sum.tokens).sum();
        let brands = sums.into_values().map(|(sum, sent, waited)| BrandStatus {
            part: u32::try_from(sum.tokens * 1_000 / all.max(1)).unwrap_or(u32::MAX),
            wait_ms: waited / sent.max(1),
            ..sum
        });
        brands.collect()
    }

    /// Returns the accepted changes after version `from`, oldest first.
    #[must_use]
    pub fn history(&self, from: TextVersion) -> Vec<Entry> {
        self.state.texts().history(from).cloned().collect()
    }

    /// Returns the text in force here.
    #[must_use]
    pub fn text(&self) -> Current {
        Current {
            version: self.state.texts().version(),
            text: self.state.texts().text().to_owned(),
        }
    }
}
