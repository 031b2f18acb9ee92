//! What operators may read, from any control instance.

use base::{TextVersion, Time};
use wire::operator::{Current, EngineStatus, Entry, InstanceStatus, Status};

use super::{Control, millis};

impl Control {
    /// Returns the state of the whole system as seen here; instances are
    /// known to the leader only.
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
        }
    }

    /// Returns accepted changes after `from`, oldest first.
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
