//! Planned restarts interrupt no request.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Plan, until};
use tokio::task::JoinSet;
use web::Method;
use wire::header;

use crate::common::{KAZALISTE, answered, expected, start};

/// Counts of one caller's requests, and descriptions of its unexpected answers.
#[derive(Debug, Default)]
struct Results {
    sent: u32,
    answered: u32,
    refused: u32,
    unexpected: Vec<String>,
}

/// Sends streams and marked requests in turn to entry instances that are ready, as a
/// load balancer does, until `stop` is set.
async fn load(callers: Vec<Caller>, id: usize, stop: Arc<AtomicBool>) -> Results {
    let mut results = Results::default();
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let Some(caller) = ready(&callers, id + n).await else {
            continue;
        };
        let prompt = format!("caller {id} request {n}");
        stream(&caller, &prompt, &mut results).await;
        // The instance may have started to drain during the stream.
        if let Some(caller) = ready(&callers, id + n + 1).await {
            marked(&caller, &prompt, &mut results).await;
        }
    }
    results
}

async fn ready(callers: &[Caller], turn: usize) -> Option<Caller> {
    let caller = &callers[turn % callers.len()];
    let look = caller.send(Method::GET, "/readyz", Bytes::new(), &[]).await;
    let up = look.is_ok_and(|reply| reply.status == 200);
    if !up {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    up.then(|| caller.clone())
}

async fn stream(caller: &Caller, prompt: &str, results: &mut Results) {
    results.sent += 1;
    let chat = Chat::stream("drafting", prompt);
    match caller.chat(&chat).await {
        Ok(reply) if reply.status == 200 && reply.complete => {
            results.answered += 1;
            if reply.text() != expected("kazaliste-live@1", prompt, 16) {
                results.unexpected.push(format!("{prompt}: other tokens"));
            }
        }
        Ok(reply) => results
            .unexpected
            .push(format!("{prompt}: {} {:?}", reply.status, reply.body)),
        Err(err) => results.unexpected.push(format!("{prompt}: {err:#}")),
    }
}

async fn marked(caller: &Caller, key: &str, results: &mut Results) {
    results.sent += 1;
    let path = "/kazaliste/submissions/apply";
    let headers = [(header::IDEMPOTENCY_KEY, key.to_owned())];
    let body = Bytes::from(key.to_owned());
    match caller.send(Method::POST, path, body, &headers).await {
        Ok(reply) if reply.status == 200 && reply.complete => results.answered += 1,
        // While leadership is handed over, a claim may be refused with a time to
        // retry: the request certainly did not run.
        Ok(reply) if reply.header(header::REASON) == Some("no-quorum") => {
            results.answered += 1;
            results.refused += 1;
        }
        Ok(reply) => results
            .unexpected
            .push(format!("{key}: {} {:?}", reply.status, reply.body)),
        Err(err) => results.unexpected.push(format!("{key}: {err:#}")),
    }
}

/// Guards against answers cut off, and applications that run twice, when operators
/// restart an instance: by a stop that closes connections, drops a queue or forgets a
/// claim. Every entry and control instance is stopped by SIGTERM and started again,
/// one after the other, under constant load.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() -> Result<()> {
    let plan = Plan {
        entries: 2,
        ..Plan::small()
    };
    let mut lab = start("rolling", &plan).await?;
    let callers: Vec<_> = (0..2).map(|i| lab.caller(i, KAZALISTE)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    for id in 0..6 {
        tasks.spawn(load(callers.clone(), id, Arc::clone(&stop)));
    }
    for (i, caller) in callers.iter().enumerate() {
        restart(lab.entries[i].process.take()).await?;
        lab.start_entry(i)?;
        lab.wait_ready(1).await?;
        answered(caller, "drafting").await?;
    }
    for i in 0..lab.controls.len() {
        restart(lab.controls[i].process.take()).await?;
        lab.start_control(i)?;
        lab.wait_leader().await?;
        let operator = lab.operator(i);
        let back = async || {
            let status = operator.get("/v1/status").await.ok()?;
            (status["version"] == 1).then_some(())
        };
        until("the control instance is back", back).await?;
    }
    stop.store(true, Ordering::Relaxed);
    let all = tasks.join_all().await;
    let unexpected: Vec<_> = all.iter().flat_map(|results| &results.unexpected).collect();
    let sent: u32 = all.iter().map(|results| results.sent).sum();
    let done: u32 = all.iter().map(|results| results.answered).sum();
    assert_that!(unexpected, is_empty());
    assert_that!(done, eq(sent));
    assert_that!(sent, gt(50));
    let twice = executed_twice(&lab.services).await?;
    assert_that!(twice, is_empty());
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

async fn restart(process: Option<lab::Process>) -> Result<()> {
    let Some(mut process) = process else {
        return Ok(());
    };
    process.signal("TERM").await?;
    assert_that!(process.wait_exit().await?, eq(true), "{}", process.name);
    Ok(())
}

/// Returns the marked requests that ran more than once.
async fn executed_twice(services: &[lab::Engine]) -> Result<Vec<String>> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for service in services {
        let stats = Caller::new(service.address, "").get("/admin/stats").await?;
        for (key, n) in stats["executions"].as_object().into_iter().flatten() {
            *counts.entry(key.clone()).or_default() += n.as_u64().unwrap_or_default();
        }
    }
    Ok(counts
        .into_iter()
        .filter(|(_, n)| *n > 1)
        .map(|(key, _)| key)
        .collect())
}
