//! Some instances that hear the same reports and each choose a target.

use std::{collections::BTreeMap, time::Duration};

use base::{Seed, Time};
use gateway::view::{Choice, View};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::fleet::{Resident, Target};

pub(crate) const SERVICE: &str = "s";
pub(crate) const PLAIN: &str = "p";
pub(crate) const ADAPTER: &str = "m/x";
pub(crate) const NOW: Time = Time(1_000_000);

const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Returns an engine with twelve slots that holds [`ADAPTER`].
pub(crate) fn engine(id: &str, zone: &str) -> Target {
    Target {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: format!("{id}:1"),
        zone: zone.to_owned(),
        slots: 12,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: vec![Resident {
            adapter: ADAPTER.to_owned(),
            version: 1,
            ready_in: Duration::ZERO,
        }],
        limit: None,
    }
}

/// Returns a target of a plain service with six slots.
pub(crate) fn plain(id: &str, zone: &str) -> Target {
    Target {
        service: PLAIN.to_owned(),
        slots: 6,
        residents: Vec::new(),
        ..engine(id, zone)
    }
}

/// The views of instances in the zones by turns.
pub(crate) struct Fleet {
    views: Vec<View>,
    now: Time,
    ids: Vec<String>,
}

impl Fleet {
    pub(crate) fn new(instances: u64) -> Fleet {
        let view = |seed| {
            let mut view = View::new(ZONES[seed as usize % 3], Seed(seed));
            view.set_tight(true);
            view
        };
        Fleet {
            views: (0..instances).map(view).collect(),
            now: NOW,
            ids: Vec::new(),
        }
    }

    pub(crate) fn set_tight(&mut self, tight: bool) {
        self.views.iter_mut().for_each(|view| view.set_tight(tight));
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    pub(crate) fn list(&mut self, targets: &[Target]) {
        let zones = ZONES.map(str::to_owned);
        self.ids = targets.iter().map(|t| t.id.clone()).collect();
        for view in &mut self.views {
            view.set_targets(self.now, &zones, targets.to_vec());
        }
    }

    /// Reports what runs at the targets of all zones, heard from all instances.
    pub(crate) fn report(&mut self, running: &[(&str, u32)]) {
        let zones = ZONES.map(str::to_owned);
        self.heard(&zones, running, 60);
    }

    /// Reports what runs in one zone, heard from as many `instances`.
    pub(crate) fn report_zone(&mut self, zone: &str, running: &[(&str, u32)], instances: u32) {
        self.heard(&[zone.to_owned()], running, instances);
    }

    fn heard(&mut self, zones: &[String], running: &[(&str, u32)], instances: u32) {
        for view in &mut self.views {
            let others = running.iter().map(|(id, count)| ((*id).to_owned(), *count));
            view.set_other_running(zones, others);
            view.heard_load(self.now, zones, instances);
        }
    }

    /// Lets requests end that have lasted for `hold`, one at each target.
    pub(crate) fn lasted(&mut self, hold: Duration) {
        for view in &mut self.views {
            for id in &self.ids {
                view.add_hold_sample(id, 0, hold);
            }
        }
    }

    /// Has a target refuse a request of each instance for want of room.
    pub(crate) fn refuse(&mut self, id: &str) {
        for view in &mut self.views {
            view.no_room(self.now, id);
        }
    }

    /// Returns how many instances send to each target, if each has one request.
    pub(crate) fn sent(&self, service: &str, adapter: &str) -> BTreeMap<String, usize> {
        let mut sent = BTreeMap::new();
        for view in &self.views {
            let choice = view.choose(self.now, service, adapter, &Default::default(), None);
            if let Choice::Send(id) = choice {
                *sent.entry(id).or_default() += 1;
            }
        }
        sent
    }

    pub(crate) fn choose(&self, service: &str, adapter: &str) -> Choice {
        self.views[0].choose(self.now, service, adapter, &Default::default(), None)
    }

    pub(crate) fn zone_for_copy(&self) -> Option<String> {
        let load = Duration::from_millis(250);
        let zone = self.views[0].zone_for_copy(self.now, SERVICE, ADAPTER, load);
        zone.map(str::to_owned)
    }
}

/// Returns a view of drawn targets, loads and prompts.
pub(crate) fn drawn(seed: u64) -> View {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let zones = ["za".to_owned(), "zb".to_owned()];
    let mut view = View::new("za", Seed(seed));
    let targets: Vec<_> = (0..8)
        .map(|n| {
            let mut target = engine(&format!("e{n}"), if n % 2 == 0 { "za" } else { "zb" });
            target.slowness = [0, 100, 150, 300][rng.random_range(0..4)];
            if rng.random_bool(0.3) {
                target.residents[0].adapter = "m/y".to_owned();
            }
            target.residents[0].ready_in =
                Duration::from_millis([0, 0, 200][rng.random_range(0..3)]);
            target
        })
        .collect();
    view.set_targets(NOW, &zones, targets);
    let mut others = Vec::new();
    for n in 0..8 {
        others.push((format!("e{n}"), rng.random_range(0..20)));
        for _ in 0..rng.random_range(0..4) {
            view.begin(&format!("e{n}"), "m/x", rng.random_range(0..4_000));
        }
    }
    view.set_other_running(&zones, others);
    view
}
