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

use anyhow::Result;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Lab, Plan, until};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use web::Method;

use crate::common::{KAZALISTE, start};

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
        if reply.is_ok_and(|reply| reply.status == 200 && reply.whole) {
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
    lab.publish_without(&[&names[0], &names[1]]).await?;
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
