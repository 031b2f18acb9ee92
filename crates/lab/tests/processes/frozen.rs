//! Control instances that are frozen and go on, and ends of processes that leave a line.

use std::{fs, time::Duration};

use anyhow::{Context, Result};
use googletest::prelude::*;
use lab::{Lab, Plan, Process, until};
use tokio::time::sleep;

use super::common::{TEXT, start};

/// Times that a control instance is frozen, and for how long.
const ROUNDS: u64 = 5;
const FREEZE: Duration = Duration::from_millis(1_500);

fn process(lab: &mut Lab, control: usize) -> Result<&mut Process> {
    let process = lab.controls[control].process.as_mut();
    process.context("it runs")
}

/// Guards against a control instance that ends without a line once it goes on after it was
/// frozen, or that fails at a planned stop after that.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_instance_that_was_frozen_goes_on_and_stops_in_order() -> Result<()> {
    let mut lab = start("thawed", &Plan::small()).await?;
    for round in 0..ROUNDS {
        let leader = lab.wait_leader().await?;
        let frozen = (leader + 1) % lab.controls.len();
        process(&mut lab, frozen)?.signal("STOP").await?;
        sleep(FREEZE).await;
        let text = format!("{TEXT}\n# round {round}\n");
        let version = lab.apply(&format!("round-{round}"), &text).await?;
        process(&mut lab, frozen)?.signal("CONT").await?;
        let operator = lab.operator(frozen);
        let caught_up = async || {
            let status = operator.get("/v1/status").await.ok()?;
            (status["version"].as_u64() >= Some(version)).then_some(())
        };
        until("the version at the thawed instance", caught_up).await?;
        sleep(Duration::from_millis(300 * round)).await;
        assert_that!(process(&mut lab, frozen)?.is_running()?, eq(true));
        process(&mut lab, frozen)?.signal("TERM").await?;
        let stopped = process(&mut lab, frozen)?.wait_exit().await?;
        assert_that!(stopped, eq(true), "round {round}");
        lab.start_control(frozen)?;
    }
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Returns whether the log of a process has a line of an event.
fn logged(lab: &Lab, process: &str, event: &str) -> Result<bool> {
    let log = fs::read_to_string(lab.folder.join(format!("{process}.log")))?;
    Ok(log.contains(&format!("\"event\":\"{event}\"")))
}

/// Guards against a daemon that ends at a SIGHUP, without a line and with all its requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_is_logged_and_ends_nothing() -> Result<()> {
    let mut lab = start("hangup", &Plan::small()).await?;
    let daemons = [lab.controls[0].name.clone(), lab.entries[0].name.clone()];
    process(&mut lab, 0)?.signal("HUP").await?;
    let entry = lab.entries[0].process.as_mut().context("it runs")?;
    entry.signal("HUP").await?;
    for daemon in daemons {
        let line = async || logged(&lab, &daemon, "E1012").ok()?.then_some(());
        until("the line of the hangup", line).await?;
    }
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Guards against a daemon that ends with a failure and without a numbered line.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_cannot_read_its_folder_says_why_it_ends() -> Result<()> {
    let mut lab = start("unreadable", &Plan::small()).await?;
    process(&mut lab, 0)?.signal("TERM").await?;
    assert_that!(process(&mut lab, 0)?.wait_exit().await?, eq(true));
    let name = lab.controls[0].name.clone();
    fs::remove_dir_all(lab.folder.join(&name))?;
    fs::write(lab.folder.join(&name), "no folder")?;
    lab.start_control(0)?;
    assert_that!(process(&mut lab, 0)?.wait_exit().await?, eq(false));
    assert_that!(logged(&lab, &name, "E1010")?, eq(true));
    lab.controls[0].process = None;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}
