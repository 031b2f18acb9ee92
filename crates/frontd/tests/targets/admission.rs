//! Accounts that ask for more than the engines have places for.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use account::{KeyDigest, Limit, RawAccount, Unit};
use base::Tokens;
use frontd::Decoded;
use futures::future::join_all;
use gateway::table::{Kind, Route};
use googletest::prelude::*;
use tokio::time::sleep;

use crate::{
    deployment::{Deployment, Told},
    engines::{checked, raw_table},
};

/// Entry instances, engines and places at each.
const ENTRIES: u8 = 3;
const ENGINES: usize = 2;
const PLACES: u32 = 4;

/// Requests a second at each rank that one account usually asks for; the places serve 20 a
/// second, as a run takes 400 ms.
const USUAL: u32 = 1;

/// How many times its usual the other account asks for: three times what there is.
const MANY: u32 = 20;

/// Time in which instances find out that too little room is left.
const NOTICED: Duration = Duration::from_secs(2);

/// Time until old parts are forgotten.
const FORGOTTEN: Duration = Duration::from_secs(11);

/// Returns a configuration with a goal of half a second, a route `/rank/N/` of each of three ranks, and
/// two accounts with the same limit, whose keys are `a` and `b`. Other routes are public.
fn decoded_with_accounts() -> Decoded {
    let mut table = raw_table(0, Some(Duration::from_millis(500)));
    table
        .routes
        .iter_mut()
        .for_each(|route| route.public = true);
    let like = table.routes[0].clone();
    let ranks = (0..3).map(|rank| Route {
        name: format!("rank{rank}"),
        prefix: format!("/rank/{rank}/"),
        kind: Kind::Safe,
        priority: rank,
        public: false,
        ..like.clone()
    });
    table.routes.extend(ranks);
    let accounts = ["a", "b"].map(|name| RawAccount {
        name: name.to_owned(),
        keys: vec![KeyDigest::of(name.as_bytes())],
        priority: None,
        limit: Some(Limit {
            rate: 100_000.0,
            burst: 100_000.0,
            unit: Unit::Tokens { unknown: Tokens(1) },
        }),
    });
    table.accounts = Some(accounts.to_vec());
    checked(table)
}

/// A request, and what became of it.
struct Asked {
    account: &'static str,
    rank: u32,
    body: String,
    sent: Duration,
    told: Told,
}

impl Asked {
    fn is_refused(&self) -> bool {
        self.told.status == 503
    }
}

/// Sends requests of both accounts at all ranks and instances for `time`: `a` asks for `times`
/// its usual.
async fn ask(deployment: &Deployment, times: u32, time: Duration) -> Vec<Asked> {
    let begun = Instant::now();
    let streams = [("a", USUAL * times), ("b", USUAL)].map(|(account, rate)| {
        let each = (0..3).flat_map(move |rank| {
            (0..rate * time.as_secs() as u32).map(move |no| (account, rank, rate, no))
        });
        each.map(|(account, rank, rate, no)| async move {
            sleep((Duration::from_secs(no.into()) + Duration::from_millis(300) * rank) / rate)
                .await;
            let sent = begun.elapsed();
            let body = format!("{account} {rank} {no} {begun:?}");
            let (entry, path) = (
                1 + (no % u32::from(ENTRIES)) as u8,
                format!("/rank/{rank}/x"),
            );
            let told = deployment
                .ask_at(entry, &path, &body, ("key", account))
                .await;
            Asked {
                account,
                rank,
                body,
                sent,
                told,
            }
        })
    });
    join_all(streams.into_iter().flatten()).await
}

/// Returns the part that is served of what was sent once a shortage is known.
fn served(asked: &[Asked], account: &str, ranks: &[u32]) -> f64 {
    let own = asked.iter().filter(|asked| {
        asked.account == account && ranks.contains(&asked.rank) && asked.sent >= NOTICED
    });
    let served: Vec<bool> = own.map(|asked| asked.told.status == 200).collect();
    served.iter().filter(|served| **served).count() as f64 / served.len() as f64
}

async fn start() -> Deployment {
    let config = Arc::new(decoded_with_accounts);
    Deployment::start_small(ENTRIES, ENGINES, PLACES, config).await
}

/// Guards against one account's requests that take the places of another's, against less
/// urgent ones that take those of urgent ones, and against refused ones that run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_account_that_asks_for_too_much_is_refused_and_no_other() {
    let deployment = start().await;
    let calm = ask(&deployment, 1, Duration::from_secs(3)).await;
    assert_that!(
        calm.iter().filter(|asked| asked.told.status != 200).count(),
        eq(0)
    );
    let asked = ask(&deployment, MANY, Duration::from_secs(8)).await;
    let all = [0, 1, 2].map(|rank| served(&asked, "a", &[rank]));
    println!("a: {all:?}, b: {:?}", served(&asked, "b", &[0, 1, 2]));
    assert_that!(served(&asked, "b", &[0, 1, 2]), ge(0.9));
    assert_that!(all[0], ge(all[1].max(all[2]) + 0.2));
    let refused: Vec<_> = asked.iter().filter(|asked| asked.is_refused()).collect();
    assert_that!(refused.len(), ge(50));
    for asked in refused {
        assert_that!(asked.told.again, some(gt(Duration::ZERO)));
        assert_that!(deployment.runs(&asked.body).len(), eq(0));
    }
}

/// Guards against refusals by what a lost control instance said, long after there is room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_control_instance_nobody_is_refused_for_long() {
    let deployment = start().await;
    let asked = ask(&deployment, MANY, Duration::from_secs(4)).await;
    assert_that!(
        asked.iter().filter(|asked| asked.is_refused()).count(),
        ge(10)
    );
    deployment.kill_control();
    sleep(FORGOTTEN).await;
    let calm = ask(&deployment, 1, Duration::from_secs(3)).await;
    assert_that!(
        calm.iter().filter(|asked| asked.told.status != 200).count(),
        eq(0)
    );
}
