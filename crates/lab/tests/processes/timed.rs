//! Guarantees with a time limit, checked with real processes.
//!
//! Each limit is the guaranteed time, not a value derived from measurements.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result};
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Lab, Plan, until};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use web::Method;
use wire::header;

use crate::common::{KAZALISTE, TEXT, start};

/// Time after which a leaving target is given no more requests: the strictest
/// reading of the guarantee "a few seconds".
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Callers at each of two entry instances. With 1.3 s for a completion and eight at a
/// time, at least one of the two engines has a queue that lasts longer than the limit.
const CALLERS: usize = 48;

/// Load of such an engine, in percent of the requests that it runs at once.
const CROWDED_LOAD: u64 = 500;

/// Answers that have to come after the limit, to show that there still was load.
const MIN_ANSWERS: u64 = 24;

/// Pause of a caller after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// Counts of successful requests of all callers.
#[derive(Debug, Default)]
struct Tally {
    completions: AtomicU64,
    pages: AtomicU64,
}

/// Requests completions, or pages of the plain service, in an endless loop.
async fn send_load(caller: Caller, completions: bool, tally: Arc<Tally>) {
    loop {
        let mut chat = Chat::stream("drafting", "constant load");
        chat.tokens = 64;
        let reply = if completions {
            caller.chat(&chat).await
        } else {
            let path = "/kazaliste/listing/x";
            caller.send(Method::GET, path, Bytes::new(), &[]).await
        };
        if reply.is_ok_and(|reply| reply.status == 200 && reply.complete) {
            let count = if completions {
                &tally.completions
            } else {
                &tally.pages
            };
            count.fetch_add(1, Ordering::Relaxed);
        } else {
            sleep(REFUSED_PAUSE).await;
        }
    }
}

/// Returns how many requests a target has been given.
async fn requests_given(target: SocketAddr) -> Result<u64> {
    let stats = Caller::new(target, "").get("/admin/stats").await?;
    let count = |name: &str| stats[name].as_u64().unwrap_or_default();
    Ok(count("started") + count("executed") + count("refused"))
}

/// Returns the index of an engine whose queue lasts longer than the limit.
async fn crowded(lab: &Lab) -> Option<usize> {
    let entry = Caller::new(lab.entries[0].peer, "");
    let path = "/v1/explain?brand=kazaliste&service=drafting";
    let explained = entry.get(path).await.ok()?;
    let targets = explained["targets"].as_array()?;
    let full = targets
        .iter()
        .find(|t| t["load"].as_u64() >= Some(CROWDED_LOAD))?;
    lab.engines.iter().position(|e| full["target"] == *e.name)
}

/// Waits until a target is given another request.
async fn wait_for_request(target: SocketAddr) -> Result<()> {
    let before = requests_given(target).await?;
    let more = async || (requests_given(target).await.ok()? > before).then_some(());
    until("the target gets work", more).await
}

/// Guards against answers cut off when a machine is removed a few seconds after that
/// was announced. Callers of two entry instances keep an engine and a plain service's
/// replica busy; the platform lists both as leaving, and three seconds later neither
/// may be given any more requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_nothing_after_three_seconds() -> Result<()> {
    let plan = Plan {
        entries: 2,
        plain: [("portal".to_owned(), 2)].into(),
        engine_flags: vec!["--token-ms".to_owned(), "20".to_owned()],
        ..Plan::small()
    };
    let mut lab = start("seconds", &plan).await?;
    let tally = Arc::<Tally>::default();
    let mut tasks = JoinSet::new();
    for entry in 0..lab.entries.len() {
        for _ in 0..CALLERS {
            let caller = lab.caller(entry, KAZALISTE);
            tasks.spawn(send_load(caller, true, Arc::clone(&tally)));
        }
        let caller = lab.caller(entry, KAZALISTE);
        tasks.spawn(send_load(caller, false, Arc::clone(&tally)));
    }
    let found = async || crowded(&lab).await;
    let at = until("an engine has a long queue", found).await?;
    let (engine, service) = (&lab.engines[at], &lab.services[0]);
    let leaving = [engine.address, service.address];
    let names = [engine.name.clone(), service.name.clone()];
    for target in leaving {
        wait_for_request(target).await?;
    }
    lab.publish_leaving(&[&names[0], &names[1]]).await?;
    sleep_until(Instant::now() + LEAVING_LIMIT).await;
    let before = [
        requests_given(leaving[0]).await?,
        requests_given(leaving[1]).await?,
    ];
    let completions = tally.completions.load(Ordering::Relaxed) + MIN_ANSWERS;
    let pages = tally.pages.load(Ordering::Relaxed) + MIN_ANSWERS;
    let enough = async || {
        let some = tally.completions.load(Ordering::Relaxed) >= completions;
        (some && tally.pages.load(Ordering::Relaxed) >= pages).then_some(())
    };
    until("the others answer", enough).await?;
    let after = [
        requests_given(leaving[0]).await?,
        requests_given(leaving[1]).await?,
    ];
    assert_that!(after, eq(before));
    tasks.shutdown().await;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Time within which an accepted change is in force at all instances.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// Longest wait for a state; ample, so that only a failure takes that long.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two checks of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of changes applied one after the other.
const CHANGES: u64 = 6;

/// Shift of each change against the one before, so that the changes fall on different
/// points of the second between two heartbeats.
const CHANGE_SHIFT: Duration = Duration::from_millis(170);

/// Returns whether an instance serves a page.
async fn serves(caller: &Caller, page: &str) -> bool {
    let path = format!("/kazaliste/{page}/x");
    let reply = caller.send(Method::GET, &path, Bytes::new(), &[]).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Returns whether a control instance has a version.
async fn has_version(operator: &Caller, version: u64) -> bool {
    let status = operator.get("/v1/status").await.unwrap_or_default();
    status["version"].as_u64() >= Some(version)
}

/// Waits until an instance serves `page`, or has `version` if no page is given, and
/// returns how long after `since` that was.
async fn wait_in_force(
    at: Caller,
    page: Option<String>,
    version: u64,
    since: Instant,
) -> Result<(SocketAddr, Duration)> {
    loop {
        let there = match &page {
            Some(page) => serves(&at, page).await,
            None => has_version(&at, version).await,
        };
        if there {
            return Ok((at.address, since.elapsed()));
        }
        anyhow::ensure!(since.elapsed() < TIMEOUT, "never at {}", at.address);
        sleep(POLL_INTERVAL).await;
    }
}

/// Applies changes one after the other, each of which adds a page, and checks that
/// each is in force in time at all instances except the frozen one.
async fn changes(lab: &Lab, numbers: std::ops::Range<u64>, frozen: Option<usize>) -> Result<()> {
    for (nth, no) in (0..).zip(numbers) {
        sleep(CHANGE_SHIFT * nth).await;
        let page = format!("page-{no}");
        let service = format!(
            "{TEXT}\n[brands.kazaliste.services.{page}]\nkind = \"plain\"\npool = \"portal\"\n\
             class = \"critical\"\nmark = \"repeatable\"\n"
        );
        let version = lab.apply(&page, &service).await?;
        let since = Instant::now();
        let mut waits = JoinSet::new();
        for i in 0..lab.entries.len() {
            let entry = lab.caller(i, KAZALISTE);
            waits.spawn(wait_in_force(entry, Some(page.clone()), version, since));
        }
        for i in (0..lab.controls.len()).filter(|i| Some(*i) != frozen) {
            waits.spawn(wait_in_force(lab.operator(i), None, version, since));
        }
        while let Some(took) = waits.join_next().await {
            let (at, took) = took??;
            assert_that!(
                took,
                le(IN_FORCE_LIMIT),
                "{page} at {at}, frozen: {frozen:?}"
            );
        }
    }
    Ok(())
}

/// Guards against instances that still answer "no such page" for some time after the
/// operators were told that the change is accepted. A deployment of two zones, with
/// two entry instances each and three control instances, gets several changes, first
/// with all instances running, then with a control instance frozen that doesn't lead.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_three_seconds() -> Result<()> {
    let plan = Plan {
        zones: vec!["dubrava".to_owned(), "blato".to_owned()],
        entries: 2,
        ..Plan::small()
    };
    let mut lab = start("change", &plan).await?;
    changes(&lab, 0..CHANGES, None).await?;
    let leader = lab.wait_leader().await?;
    let frozen = (leader + 1) % lab.controls.len();
    signal(&lab, frozen, "STOP").await?;
    changes(&lab, CHANGES..CHANGES * 2, Some(frozen)).await?;
    signal(&lab, frozen, "CONT").await?;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

async fn signal(lab: &Lab, control: usize, signal: &str) -> Result<()> {
    let process = lab.controls[control].process.as_ref();
    process.context("not running")?.signal(signal).await
}

/// Time within which a request is cancelled after its caller disconnects. A token
/// takes far longer in the test, so the disconnection has to be noticed without a
/// failed write to the caller.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Waits until `want` requests are running or queued at the engines.
async fn wait_present(lab: &Lab, want: u64) -> Result<()> {
    let end = Instant::now() + TIMEOUT;
    loop {
        let mut count = 0;
        for engine in &lab.engines {
            let stats = Caller::new(engine.address, "").get("/admin/stats").await?;
            count += stats["present"].as_u64().unwrap_or_default();
        }
        if count == want {
            return Ok(());
        }
        anyhow::ensure!(Instant::now() < end, "{count} are present, not {want}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against engines that go on with requests whose caller has disconnected. A
/// caller disconnects between two tokens that are a minute apart; the request must be
/// gone from the engine within a second, also if it was forwarded by a second instance,
/// and if the answer isn't streamed but sent once it is complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_frees_its_place_within_a_second() -> Result<()> {
    let plan = Plan {
        entries: 2,
        engines: [("drafting".to_owned(), 1)].into(),
        engine_flags: vec!["--token-ms".to_owned(), "60000".to_owned()],
        ..Plan::small()
    };
    let mut lab = Lab::start("left", &plan).await?;
    let version = lab.apply("first", TEXT).await?;
    lab.wait_ready(version).await?;
    lab.wait_owned().await?;
    for (entry, stream) in [(0, true), (1, true), (0, false), (1, false)] {
        let caller = lab.caller(entry, KAZALISTE);
        let mut chat = Chat::stream("drafting", "left amid");
        chat.stream = stream;
        chat.headers.push((header::DEADLINE, "1200000".to_owned()));
        let ask = tokio::spawn(async move { caller.chat(&chat).await });
        wait_present(&lab, 1).await?;
        ask.abort();
        let disconnected = Instant::now();
        wait_present(&lab, 0).await?;
        let took = disconnected.elapsed();
        assert_that!(took, le(CANCEL_LIMIT), "entry {entry}, stream {stream}");
    }
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}
