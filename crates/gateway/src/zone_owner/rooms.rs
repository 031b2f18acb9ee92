//! The room that engine services have in the zones of an owner.

use std::collections::BTreeMap;

use base::Time;
use wire::admission::Room;

use super::ZoneOwner;

impl ZoneOwner {
    /// Returns the room of each engine service in each zone of this owner, by the engines that
    /// take requests.
    #[must_use]
    pub fn rooms(&self, now: Time) -> Vec<Room> {
        let mut rooms: BTreeMap<(&str, &str), Room> = BTreeMap::new();
        let open = self.owned_targets(now).filter(|listed| listed.ready);
        for listed in open.filter(|listed| self.specs.contains_key(&listed.service)) {
            let place = (listed.service.as_str(), listed.zone.as_str());
            let room = rooms.entry(place).or_insert_with(|| Room {
                service: listed.service.clone(),
                zone: listed.zone.clone(),
                slots: 0,
                running: 0,
                queued: 0,
            });
            let running = self.traffic.at(&listed.id);
            room.slots += listed.slots;
            room.running += running;
            room.queued += running.saturating_sub(listed.slots);
        }
        rooms.into_values().collect()
    }
}
