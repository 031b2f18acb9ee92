//! Control instances that are frozen and go on.

use std::time::Duration;

use anyhow::{Context, Result};
use googletest::prelude::*;
use lab::{Lab, Plan, Process};
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
        lab::until("the version at the thawed instance", caught_up).await?;
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
