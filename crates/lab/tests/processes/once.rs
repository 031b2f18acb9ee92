//! A marked request (one with an idempotency key) runs at most once, whichever process
//! fails and whichever instance gets the retry.

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

/// Guards against a request that runs twice because its retry goes to another instance
/// while the first answer is on its way or lost, which would happen if only one
/// instance knew of the claim.
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
    a_broken_answer_has_no_false_verdict(&lab, &here, &there).await?;
    a_killed_instance_leaves_no_second_run(&mut lab).await?;
    lab.stop().await?;
    lab.clean()
}

/// The service runs the request and closes the connection during its answer: no
/// instance may give the verdict "not run", or run it again.
async fn a_broken_answer_has_no_false_verdict(
    lab: &Lab,
    here: &Caller,
    there: &Caller,
) -> Result<()> {
    faults(lab, json!({"cut": 1})).await?;
    let cut = apply(here, "k-2", "dora").await?;
    let true_verdict = !cut.complete || cut.verdict() == Some(Verdict::MayHaveRun);
    assert_that!(true_verdict, eq(true), "{cut:?}");
    let again = apply(there, "k-2", "dora").await?;
    assert_that!(again.verdict(), some(ge(Verdict::MayHaveRun)), "{again:?}");
    assert_that!(executions(lab, "k-2").await?, eq(1));
    Ok(())
}

/// Guards against a truncated answer that looks complete or is kept, and against sound answers
/// that count as failures: the service ends answers with their connection only.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_end_with_their_connection_are_served_if_they_are_complete() -> Result<()> {
    let mut lab = start("unframed", &two_entries()).await?;
    let (here, there) = (lab.caller(0, KAZALISTE), lab.caller(1, KAZALISTE));
    faults(&lab, json!({"unframed": 1})).await?;
    let sound = apply(&here, "u-1", "dora").await?;
    assert_that!(sound.status, eq(200));
    let again = apply(&there, "u-1", "dora").await?;
    assert_that!(again.body, eq(&sound.body));
    faults(&lab, json!({"unframed": 1, "cut": 1})).await?;
    let cut = apply(&here, "u-2", "dora").await?;
    assert_that!(cut.status == 200 && cut.complete, eq(false), "{cut:?}");
    let again = apply(&there, "u-2", "dora").await?;
    assert_that!(again.verdict(), some(ge(Verdict::MayHaveRun)), "{again:?}");
    assert_that!(executions(&lab, "u-2").await?, eq(1));
    // Nothing shows whether text is complete: it is passed on as it came, and isn't kept.
    faults(&lab, json!({"unframed": 1, "cut": 1, "text": true})).await?;
    let text = apply(&here, "u-3", "dora").await?;
    assert_that!(text.complete, eq(false), "{text:?}");
    let again = apply(&there, "u-3", "dora").await?;
    assert_that!(again.verdict(), some(ge(Verdict::MayHaveRun)), "{again:?}");
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// The entry instance is killed after it sent the request and before the answer; the
/// caller retries through another instance.
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

/// Guards against claims made without a majority. Two of three control instances are
/// killed: applications must be refused with the verdict "not run" and a time to
/// retry, pages that need no claim must still be served, and applications must work
/// again once the two are restarted.
#[tokio::test(flavor = "multi_thread")]
async fn without_quorum_marked_requests_certainly_do_not_run() -> Result<()> {
    let mut lab = start("quorum", &two_entries()).await?;
    let caller = lab.caller(0, KAZALISTE);
    for i in [0, 1] {
        if let Some(mut process) = lab.controls[i].process.take() {
            process.kill().await?;
        }
    }
    // The remaining one may still lead until its lease expires.
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
