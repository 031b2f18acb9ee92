//! Scripted scenarios; each file under `scenarios` starts with a description of the
//! failure.

use faults::script;

fn check(text: &str) {
    if let Err(reason) = script::run(text) {
        panic!("{reason}");
    }
}

base::cases! {
    /// One case for each script.
    scenario: check => {
        change_under_cut: include_str!("scenarios/change_under_cut.rhai"),
        cut_leader: include_str!("scenarios/cut_leader.rhai"),
        damaged_middle: include_str!("scenarios/damaged_middle.rhai"),
        failed_sync: include_str!("scenarios/failed_sync.rhai"),
        fault_in_repair: include_str!("scenarios/fault_in_repair.rhai"),
        flapping: include_str!("scenarios/flapping.rhai"),
        founding: include_str!("scenarios/founding.rhai"),
        frozen_leader: include_str!("scenarios/frozen_leader.rhai"),
        full_disk: include_str!("scenarios/full_disk.rhai"),
        hand_over: include_str!("scenarios/hand_over.rhai"),
        killed_together: include_str!("scenarios/killed_together.rhai"),
        lonely_follower: include_str!("scenarios/lonely_follower.rhai"),
        lost_twice: include_str!("scenarios/lost_twice.rhai"),
        one_way: include_str!("scenarios/one_way.rhai"),
        removed_behind_cut: include_str!("scenarios/removed_behind_cut.rhai"),
        restart_beside_leader: include_str!("scenarios/restart_beside_leader.rhai"),
        stalled_disk: include_str!("scenarios/stalled_disk.rhai"),
        torn_tail: include_str!("scenarios/torn_tail.rhai"),
    }
}
