//! The platform's lists of zones: read for the zone owner, and for entry instances whose
//! lists are old.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use gateway::{
    timing::{LIST_REUSE, LIST_TIMEOUT, OWNER_LIST_TIMEOUT},
    zone_owner::{self, ListedTarget},
};
use telemetry::event;
use tokio::{sync::oneshot, time::Instant};
use web::timeout::answer_by;
use wire::{
    call::Reply,
    list::{ZoneList, ZoneStarts},
};

use super::{Job, Shell};

/// Lists that were read, and who waits for them.
#[derive(Debug, Default)]
pub(super) struct ZoneLists {
    zones: BTreeMap<String, Zone>,
}

#[derive(Debug, Default)]
struct Zone {
    /// The last list, and when it was requested.
    last: Option<(Time, Vec<ListedTarget>)>,
    waiting: Vec<Asker>,
}

/// An entry instance that waits for a list.
#[derive(Debug)]
pub(super) struct Asker {
    pub(super) to: oneshot::Sender<Reply>,
    /// Whether it asks when the targets started.
    pub(super) starts: bool,
}

impl Asker {
    fn answer(self, list: Option<ZoneList>) {
        let reply = match self.starts {
            true => Reply::ZoneStarts(list.map(ZoneStarts::from)),
            false => Reply::ZoneList(list),
        };
        self.to.send(reply).ok();
    }
}

impl Zone {
    fn list(&self, now: Time) -> Option<ZoneList> {
        let (asked, list) = self.last.as_ref()?;
        Some(ZoneList {
            age: now.since(*asked),
            targets: list.iter().map(ListedTarget::outline).collect(),
            software: list.iter().map(ListedTarget::software).collect(),
            starts: list.iter().map(ListedTarget::start).collect(),
        })
    }
}

impl Shell {
    /// Reads the list of a zone that this instance owns.
    pub(super) fn read_list(&self, zone: String) {
        self.read_within(zone, OWNER_LIST_TIMEOUT);
    }

    fn read_within(&self, zone: String, limit: Duration) {
        let list = (self.platform.list_targets)(Some(zone.clone()));
        let (jobs, asked) = (self.jobs.clone(), self.clock.now());
        let until = Instant::now() + limit;
        tokio::spawn(async move {
            let list = answer_by(until, list).await.flatten();
            jobs.send(Job::Listed { zone, asked, list }).ok();
        });
    }

    /// Answers an entry instance that asks for the list of a zone. All that ask while it is
    /// read get the same one.
    pub(super) fn zone_list(&mut self, name: String, asker: Asker) {
        let now = self.clock.now();
        let zone = self.lists.zones.entry(name.clone()).or_default();
        let last = zone.last.as_ref();
        if last.is_some_and(|(asked, _)| now.since(*asked) <= LIST_REUSE) {
            asker.answer(zone.list(now));
            return;
        }
        zone.waiting.push(asker);
        if zone.waiting.len() > 1 {
            return;
        }
        self.read_within(name, LIST_TIMEOUT);
    }

    pub(super) fn listed(&mut self, name: String, asked: Time, list: Option<Vec<ListedTarget>>) {
        let now = self.clock.now();
        let zone = self.lists.zones.entry(name.clone()).or_default();
        let waiting = std::mem::take(&mut zone.waiting);
        let Some(list) = list else {
            event!(telemetry::Event::ListStale);
            waiting.into_iter().for_each(|asker| asker.answer(None));
            return;
        };
        let later = zone.last.as_ref().is_none_or(|(last, _)| *last < asked);
        if later {
            zone.last = Some((asked, list.clone()));
        }
        for asker in waiting {
            asker.answer(zone.list(now));
        }
        if self.zone_lease.fence(now, &name).is_some() {
            let zones = vec![name];
            self.owner_input(zone_owner::Input::Listed { asked, zones, list });
        }
    }
}
