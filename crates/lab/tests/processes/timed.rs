//! What has to happen within a stated time, measured at real processes.
//!
//! Each limit is the promise itself, not what was measured.

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

/// After this a target that leaves gets nothing: the least that "a few
/// seconds" can mean.
const LEFT: Duration = Duration::from_secs(3);

/// Callers at each of two entry instances: one of two engines, at least, has a
/// queue that outlasts the limit, at 1.3 s for a letter and eight at a time.
const CALLERS: usize = 48;

/// Load of such an engine in hundredths of its places.
const LONG: u64 = 500;

/// Answers that have to come after the limit, to show that there was work.
const ENOUGH: u64 = 24;

/// Pause of a caller who was refused.
const PAUSE: Duration = Duration::from_millis(100);

/// What callers who ask again and again came to.
#[derive(Debug, Default)]
struct Tally {
    letters: AtomicU64,
    pages: AtomicU64,
}

/// Sends letters, or pages of the plain service, without end.
async fn work(caller: Caller, letters: bool, tally: Arc<Tally>) {
    loop {
        let mut chat = Chat::stream("drafting", "constant load");
        chat.tokens = 64;
        let reply = if letters {
            caller.chat(&chat).await
        } else {
            let path = "/kazaliste/listing/x";
            caller.send(Method::GET, path, Bytes::new(), &[]).await
        };
        if reply.is_ok_and(|reply| reply.status == 200 && reply.complete) {
            let count = if letters {
                &tally.letters
            } else {
                &tally.pages
            };
            count.fetch_add(1, Ordering::Relaxed);
        } else {
            sleep(PAUSE).await;
        }
    }
}

/// Returns how much work a target has been given.
async fn given(target: SocketAddr) -> Result<u64> {
    let stats = Caller::new(target, "").get("/admin/stats").await?;
    let count = |name: &str| stats[name].as_u64().unwrap_or_default();
    Ok(count("started") + count("executed") + count("refused"))
}

/// Returns the place of an engine whose queue outlasts the limit.
async fn crowded(lab: &Lab) -> Option<usize> {
    let entry = Caller::new(lab.entries[0].peer, "");
    let path = "/v1/explain?brand=kazaliste&service=drafting";
    let explained = entry.get(path).await.ok()?;
    let targets = explained["targets"].as_array()?;
    let full = targets.iter().find(|t| t["load"].as_u64() >= Some(LONG))?;
    lab.engines.iter().position(|e| full["target"] == *e.name)
}

/// Waits until a target is given more than it was until now.
async fn works(target: SocketAddr) -> Result<()> {
    let before = given(target).await?;
    let more = async || (given(target).await.ok()? > before).then_some(());
    until("the target gets work", more).await
}

/// A user sees: a letter that is cut off when its machine is taken away, a few
/// seconds after that was announced. Callers of two entry instances keep an
/// engine and a plain service's replica busy; the platform calls both leaving,
/// and three seconds later neither may be given anything more.
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
            tasks.spawn(work(caller, true, Arc::clone(&tally)));
        }
        let caller = lab.caller(entry, KAZALISTE);
        tasks.spawn(work(caller, false, Arc::clone(&tally)));
    }
    let found = async || crowded(&lab).await;
    let at = until("an engine has a long queue", found).await?;
    let (engine, service) = (&lab.engines[at], &lab.services[0]);
    let leaving = [engine.address, service.address];
    let names = [engine.name.clone(), service.name.clone()];
    for target in leaving {
        works(target).await?;
    }
    lab.publish_leaving(&[&names[0], &names[1]]).await?;
    sleep_until(Instant::now() + LEFT).await;
    let before = [given(leaving[0]).await?, given(leaving[1]).await?];
    let letters = tally.letters.load(Ordering::Relaxed) + ENOUGH;
    let pages = tally.pages.load(Ordering::Relaxed) + ENOUGH;
    let enough = async || {
        let some = tally.letters.load(Ordering::Relaxed) >= letters;
        (some && tally.pages.load(Ordering::Relaxed) >= pages).then_some(())
    };
    until("the others answer", enough).await?;
    let after = [given(leaving[0]).await?, given(leaving[1]).await?];
    assert_that!(after, eq(before));
    tasks.shutdown().await;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// Within this a change that was accepted is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Longest wait for anything; only a failure waits this long.
const CEILING: Duration = Duration::from_secs(60);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Changes in a row.
const CHANGES: u64 = 6;

/// How much later each change comes in the second between two heartbeats.
const PHASE: Duration = Duration::from_millis(170);

/// Returns whether an instance serves a page.
async fn serves(caller: &Caller, page: &str) -> bool {
    let path = format!("/kazaliste/{page}/x");
    let reply = caller.send(Method::GET, &path, Bytes::new(), &[]).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Returns whether a control instance has a version.
async fn holds(operator: &Caller, version: u64) -> bool {
    let status = operator.get("/v1/status").await.unwrap_or_default();
    status["version"].as_u64() >= Some(version)
}

/// Waits until a page is served, or a version held where no page is named, and
/// returns how long after `since` that was.
async fn told(
    at: Caller,
    page: Option<String>,
    version: u64,
    since: Instant,
) -> Result<(SocketAddr, Duration)> {
    loop {
        let there = match &page {
            Some(page) => serves(&at, page).await,
            None => holds(&at, version).await,
        };
        if there {
            return Ok((at.address, since.elapsed()));
        }
        anyhow::ensure!(since.elapsed() < CEILING, "never at {}", at.address);
        sleep(LOOK).await;
    }
}

/// Applies one change after the other, each of them a new page, and checks
/// that each is in force in time at all instances but one that is frozen.
async fn changes(lab: &Lab, numbers: std::ops::Range<u64>, frozen: Option<usize>) -> Result<()> {
    for (nth, no) in (0..).zip(numbers) {
        sleep(PHASE * nth).await;
        let page = format!("page-{no}");
        let service = format!(
            "{TEXT}\n[brands.kazaliste.services.{page}]\nkind = \"plain\"\npool = \"portal\"\n\
             class = \"critical\"\nmark = \"repeatable\"\n"
        );
        let version = lab.apply(&page, &service).await?;
        let since = Instant::now();
        let mut looks = JoinSet::new();
        for i in 0..lab.entries.len() {
            let entry = lab.caller(i, KAZALISTE);
            looks.spawn(told(entry, Some(page.clone()), version, since));
        }
        for i in (0..lab.controls.len()).filter(|i| Some(*i) != frozen) {
            looks.spawn(told(lab.operator(i), None, version, since));
        }
        while let Some(took) = looks.join_next().await {
            let (at, took) = took??;
            assert_that!(took, le(IN_FORCE), "{page} at {at}, frozen: {frozen:?}");
        }
    }
    Ok(())
}

/// A user sees: "no such page" a while after the operators were told that it
/// is there, and only through some instances. Two zones of two entry instances
/// and three control instances take changes in a row, first all of them, then
/// with a control instance frozen that doesn't lead.
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

/// What "at once" means for a caller's leaving. A token takes far longer here, so
/// that no piece of the answer has to be written to find it out.
const AT_ONCE: Duration = Duration::from_secs(1);

/// Waits until this many requests hold or await a place at the engines.
async fn present(lab: &Lab, want: u64) -> Result<()> {
    let end = Instant::now() + CEILING;
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
        sleep(LOOK).await;
    }
}

/// A user sees: engines busy with letters that nobody reads any more. A caller
/// leaves between two tokens that are a minute apart; the engine's place has to
/// be free within a second, also where the request passes a second instance,
/// and where the answer is held back until it is whole.
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
        present(&lab, 1).await?;
        ask.abort();
        let left = Instant::now();
        present(&lab, 0).await?;
        let took = left.elapsed();
        assert_that!(took, le(AT_ONCE), "entry {entry}, stream {stream}");
    }
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}
