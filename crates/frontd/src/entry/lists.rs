//! The platform's lists of targets that don't come from the owners of their zones: from other
//! control instances, or from the platform itself.

use std::{sync::Arc, time::Duration};

use base::Time;
use futures::future::join_all;
use gateway::{
    list_fallback::Due,
    timing::{LIST_TIMEOUT, LOOK_INTERVAL, LOOK_PAUSE},
    view::ListedStart,
    zone_owner::ListedTarget,
};
use telemetry::{event, prom_metrics};
use tokio::time::{Instant, sleep};
use web::timeout::answer_by;
use wire::{
    call::{Call, Reply},
    fleet::TargetStart,
    list::{ListAge, ZoneList},
};

use super::{state::State, streams};

/// Gets lists from elsewhere when they are old, for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    loop {
        let now = state.now();
        let left = state.lists().next_due().since(now);
        sleep(left.clamp(LOOK_PAUSE, LOOK_INTERVAL)).await;
        // Without a configuration no request is sent anywhere.
        if state.table().is_none() {
            continue;
        }
        let now = state.now();
        let due = state.lists().due(now);
        gauge_ages(&state, now);
        for due in due {
            let state = Arc::clone(&state);
            tokio::spawn(async move { get(&state, due).await });
        }
    }
}

/// Notes the ages of the lists by which a zone owner has answered a question sent at `asked`.
/// Returns the zones for which a later list is known from elsewhere.
pub(super) fn note_sent(state: &State, asked: Time, ages: &[ListAge]) -> Vec<String> {
    let mut lists = state.lists();
    let overtaken = ages
        .iter()
        .filter(|list| lists.sent(&list.zone, asked - list.age));
    overtaken.map(|list| list.zone.clone()).collect()
}

/// Logs the targets that have begun to leave, or are gone, by a list.
pub(super) fn log_left(state: &State, source: &str, as_of: Time) {
    let left = state.view().take_left();
    let age = state.now().since(as_of);
    for target in left {
        event!(
            telemetry::Event::TargetLeaving,
            target = target,
            source = source,
            age_ms = age.as_millis()
        );
    }
}

/// Takes over when targets started, by lists as they were at the time that `as_of` gives for a
/// zone. What a process has asked for ends with it.
pub(super) fn note_starts(state: &State, starts: Vec<TargetStart>, as_of: impl Fn(&str) -> Time) {
    let now = state.now();
    let mut view = state.view();
    let told = starts.into_iter().filter_map(|start| {
        let as_of = as_of(view.zone_of(&start.target)?);
        Some(ListedStart {
            target: start.target,
            born: start.born,
            as_of,
        })
    });
    let told: Vec<_> = told.collect();
    let anew = view.set_starts(now, told);
    drop(view);
    for target in anew {
        event!(telemetry::Event::TargetRestarted, target = target);
    }
}

fn gauge_ages(state: &State, now: Time) {
    let oldest = state.lists().ages(now).map(|(_, age)| age).max();
    prom_metrics().list_age(oldest.unwrap_or_default());
}

async fn get(state: &Arc<State>, due: Due) {
    match due {
        Due::Ask(zone) => ask(state, &zone).await,
        Due::Read(zones) => {
            let reads = zones.iter().map(|zone| read(state, Some(zone), &zones));
            let read = join_all(reads).await;
            note_read(state, read.into_iter().all(|read| read));
        }
        Due::ReadAll(zones) => {
            let read = read(state, None, &zones).await;
            note_read(state, read);
        }
    }
}

fn note_read(state: &State, read: bool) {
    let now = state.now();
    match read {
        true => state.lists().read(),
        false => state.lists().read_failed(now),
    }
}

/// Asks a control instance that doesn't own the zone for its list.
async fn ask(state: &Arc<State>, zone: &str) {
    let Some(peer) = state.controls.reader(state.now(), zone) else {
        return;
    };
    let asked = state.now();
    let link = state.links.to(peer.address);
    let call = Call::ZoneStarts(zone.to_owned());
    // Without an answer the next step is due soon.
    if let Ok(Reply::ZoneStarts(Some(told))) = link.call(call, LIST_TIMEOUT).await {
        let source = peer.address.to_string();
        let list = ZoneList::from(told);
        apply(state, zone, asked - list.age, &source, list);
    }
}

/// Reads the platform's list of `zone`, or of all zones, and applies what it says of `wanted`.
/// Returns whether it could be read.
async fn read(state: &Arc<State>, zone: Option<&String>, wanted: &[String]) -> bool {
    let asked = state.now();
    let list = (state.platform.list_targets)(zone.cloned());
    let list = answer_by(Instant::now() + LIST_TIMEOUT, list).await;
    let Some(list) = list.flatten() else {
        event!(telemetry::Event::ListStale);
        return false;
    };
    for zone in zone.map_or(wanted, std::slice::from_ref) {
        let own = list.iter().filter(|listed| listed.zone == *zone);
        let list = ZoneList {
            age: Duration::ZERO,
            targets: own.clone().map(ListedTarget::target).collect(),
            software: own.clone().map(ListedTarget::software).collect(),
            starts: own.map(ListedTarget::start).collect(),
        };
        apply(state, zone, asked, "platform", list);
    }
    true
}

fn apply(state: &Arc<State>, zone: &str, as_of: Time, source: &str, list: ZoneList) {
    let now = state.now();
    let age = state.lists().age(now, zone);
    if !state.lists().found(zone, as_of) {
        return;
    }
    event!(
        telemetry::Event::ListFound,
        zone = zone,
        source = source,
        before_ms = age.unwrap_or_default().as_millis(),
        age_ms = now.since(as_of).as_millis()
    );
    streams::set_software(state, list.software.into_iter());
    let mut view = state.view();
    view.relist(now, zone, list.targets);
    if state.controls.owner(now, zone).is_none() {
        // Nobody says any more what other instances run there.
        let zones = [zone.to_owned()];
        view.set_other_running(&zones, []);
        view.set_unread(&zones, []);
    }
    drop(view);
    note_starts(state, list.starts, |_| as_of);
    log_left(state, source, as_of);
    state.controls.reset_updates(zone);
    state.changed.notify_waiters();
}
