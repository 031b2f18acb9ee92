//! A marked request runs at most once, whoever fails and wherever it is sent
//! again.

use anyhow::Result;
use base::Verdict;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Lab, Plan, Reply, until};
use serde_json::{Value, json};
use web::Method;
use wire::header;

use crate::common::{KAZALISTE, answered, start};

const PATH: &str = "/kazaliste/submissions/apply";

fn two_entries() -> Plan {
    Plan {
        entries: 2,
        ..Plan::small()
    }
}

async fn apply(caller: &Caller, key: &str, body: &str) -> Result<Reply> {
    let headers = [(header::IDEMPOTENCY_KEY, key.to_owned())];
    let body = Bytes::from(body.to_owned());
    caller.send(Method::POST, PATH, body, &headers).await
}

/// Returns how often the service ran the request with this key.
async fn executions(lab: &Lab, key: &str) -> Result<u64> {
    let service = Caller::new(lab.services[0].address, "");
    let stats = service.get("/admin/stats").await?;
    Ok(stats["executions"][key].as_u64().unwrap_or_default())
}

async fn faults(lab: &Lab, faults: Value) -> Result<()> {
    let service = Caller::new(lab.services[0].address, "");
    let body = Bytes::from(faults.to_string());
    let reply = service
        .send(Method::POST, "/admin/faults", body, &[])
        .await?;
    anyhow::ensure!(reply.status < 300, "{:?}", reply.body);
    Ok(())
}

/// A user sees: "your application was handed in twice" after pressing the
/// button again, and the second press went to another instance. The first
/// answer is on its way or was lost; the cause would be a claim that only one
/// instance knows of.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_elsewhere_gets_the_first_answer() -> Result<()> {
    let mut lab = start("once", &two_entries()).await?;
    let (here, there) = (lab.caller(0, KAZALISTE), lab.caller(1, KAZALISTE));
    let first = apply(&here, "k-1", "dora").await?;
    assert_that!(first.status, eq(200));
    let again = apply(&there, "k-1", "dora").await?;
    assert_that!(again.status, eq(200));
    assert_that!(again.body, eq(&first.body));
    let other = apply(&there, "k-1", "another letter").await?;
    assert_that!(other.status, eq(422));
    assert_that!(other.verdict(), some(eq(Verdict::NotRun)));
    assert_that!(executions(&lab, "k-1").await?, eq(1));
    a_cut_answer_is_honest(&lab, &here, &there).await?;
    a_killed_instance_leaves_no_second_run(&mut lab).await?;
    lab.stop().await?;
    lab.clean()
}

/// The service runs the request and breaks off amid its answer: nobody may
/// say "not run", and nobody may run it again.
async fn a_cut_answer_is_honest(lab: &Lab, here: &Caller, there: &Caller) -> Result<()> {
    faults(lab, json!({"cut": 1})).await?;
    let cut = apply(here, "k-2", "dora").await?;
    let honest = !cut.complete || cut.verdict() == Some(Verdict::MayHaveRun);
    assert_that!(honest, eq(true), "{cut:?}");
    let again = apply(there, "k-2", "dora").await?;
    assert_that!(again.verdict(), some(ge(Verdict::MayHaveRun)), "{again:?}");
    assert_that!(executions(lab, "k-2").await?, eq(1));
    Ok(())
}

/// The entry instance is killed after it sent the request and before the
/// answer; the caller sends it again through another one.
async fn a_killed_instance_leaves_no_second_run(lab: &mut Lab) -> Result<()> {
    faults(lab, json!({"mute": 1})).await?;
    let (here, there) = (lab.caller(0, KAZALISTE), lab.caller(1, KAZALISTE));
    let first = tokio::spawn(async move { apply(&here, "k-3", "dora").await });
    let ran = async || (executions(lab, "k-3").await.ok()? == 1).then_some(());
    until("the service runs it", ran).await?;
    if let Some(mut process) = lab.entries[0].process.take() {
        process.kill().await?;
    }
    let lost = first.await?;
    assert_that!(
        lost.is_ok_and(|reply| reply.status == 200 && reply.complete),
        eq(false)
    );
    let again = apply(&there, "k-3", "dora").await?;
    assert_that!(again.verdict(), some(ge(Verdict::MayHaveRun)), "{again:?}");
    assert_that!(executions(lab, "k-3").await?, eq(1));
    Ok(())
}

/// A user sees: listing pages answer, an application is refused at once with
/// "it did not run" and when to come back, and works a moment later. Two of
/// three control instances are gone, so no claim can be made; the cause of a
/// wrong answer would be a claim taken without a majority.
#[tokio::test(flavor = "multi_thread")]
async fn without_quorum_marked_requests_certainly_do_not_run() -> Result<()> {
    let mut lab = start("quorum", &two_entries()).await?;
    let caller = lab.caller(0, KAZALISTE);
    for i in [0, 1] {
        if let Some(mut process) = lab.controls[i].process.take() {
            process.kill().await?;
        }
    }
    // The last one may still lead for the rest of its lease.
    let refused = async || {
        let reply = apply(&caller, "k-4", "dora").await.ok()?;
        (reply.header(header::REASON) == Some("no-quorum")).then_some(reply)
    };
    let refused = until("claims are refused", refused).await?;
    assert_that!(refused.verdict(), some(eq(Verdict::NotRun)));
    assert_that!(refused.header("retry-after"), some(anything()));
    let listed = caller
        .send(Method::GET, "/kazaliste/listing/x", Bytes::new(), &[])
        .await?;
    assert_that!(listed.status, eq(200));
    answered(&caller, "drafting").await?;
    for i in [0, 1] {
        lab.start_control(i)?;
    }
    let done = async || {
        let reply = apply(&caller, "k-5", "dora").await.ok()?;
        (reply.status == 200).then_some(())
    };
    until("claims work again", done).await?;
    assert_that!(executions(&lab, "k-4").await?, le(1));
    lab.stop().await?;
    lab.clean()
}
