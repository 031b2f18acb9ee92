//! Whether work that isn't needed yet has to give way.

use base::Time;

use super::Gate;

impl<S> Gate<S> {
    /// Returns whether a request for `service` of this rank or a more urgent one waits for a place
    /// or is refused somewhere: more are under way than there are places in all zones, or only
    /// a part of those is let in. While nothing is known of it, nobody does.
    #[must_use]
    pub fn is_pressed(&self, now: Time, service: &str, rank: u8) -> bool {
        let rooms = self.rooms.values().map(|(_, room)| room);
        let rooms = rooms.filter(|room| room.service == service);
        let sums = rooms.fold((0, 0), |(running, slots), room| {
            let running = running + u64::from(room.running);
            (running, slots + u64::from(room.slots))
        });
        let short = self.short.get(service).and_then(Option::as_ref);
        sums.0 > sums.1 || short.is_some_and(|parts| parts.refuses(now, rank))
    }
}
