//! Operators ask an entry instance where a request would go.

use std::net::SocketAddr;

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use web::client::{Client, Send};
use wire::explain::{Explained, Next, PATH, Problem, Question, Unexplained};

use crate::deployment::Deployment;

const ENGINES: usize = 4;

async fn post(addr: SocketAddr, path: &str, body: Vec<u8>) -> (StatusCode, Vec<u8>) {
    let send = Send {
        body: body.into(),
        ..Send::new(addr, Method::POST, path)
    };
    let answer = Client::default().send(send).await.unwrap();
    let status = answer.status;
    (status, answer.read_all(1 << 20).await.unwrap().to_vec())
}

async fn ask(deployment: &Deployment, host: &str) -> (StatusCode, Vec<u8>) {
    let question = Question {
        host: host.to_owned(),
        path: "/x".to_owned(),
        model: Some("m/a".to_owned()),
        tokens: Some((100, 50)),
        account: None,
        parts: None,
    };
    let body = serde_json::to_vec(&question).unwrap();
    post(deployment.operators_addr(1), PATH, body).await
}

fn begun(deployment: &Deployment) -> Vec<usize> {
    let engines = (0..ENGINES).map(|no| deployment.engine(no).begun().len());
    engines.collect()
}

/// Guards against an operator who is told another target than the one that gets the request,
/// and against requests that are sent, or counted, as somebody asks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_target_that_is_told_gets_the_next_request() {
    let deployment = Deployment::start(1, ENGINES).await;
    for no in 0..30 {
        let before = begun(&deployment);
        let (status, told) = ask(&deployment, "a.example").await;
        assert_that!(status, eq(StatusCode::OK));
        let told: Explained = serde_json::from_slice(&told).unwrap();
        assert_that!(begun(&deployment), eq(&before));
        let Next::Send { target } = &told.ways[0].next else {
            panic!("no target is told: {told:?}");
        };
        let answered = deployment.ask(1, &format!("request {no}")).await;
        assert_that!(answered.status, eq(200));
        let after = begun(&deployment);
        let taken = (0..ENGINES).find(|no| after[*no] > before[*no]).unwrap();
        assert_that!(&deployment.engine(taken).id(), eq(target));
    }
}

/// Guards against an answer that tools of the version before would misread, and against metrics
/// that are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_cannot_be_explained_is_told_apart() {
    let deployment = Deployment::start(1, 1).await;
    let (status, told) = ask(&deployment, "b.example").await;
    let told: Unexplained = serde_json::from_slice(&told).unwrap();
    assert_that!(status, eq(StatusCode::NOT_FOUND));
    assert_that!(told.unexplained, eq(Problem::NoRoute));
    let operators = deployment.operators_addr(1);
    let (status, told) = post(operators, PATH, b"no question".to_vec()).await;
    let told: Unexplained = serde_json::from_slice(&told).unwrap();
    assert_that!(status, eq(StatusCode::BAD_REQUEST));
    assert_that!(told.unexplained, eq(Problem::BadQuestion));
    let (status, metrics) = post(operators, "/metrics", Vec::new()).await;
    assert_that!(status, eq(StatusCode::OK));
    let metrics = String::from_utf8(metrics).unwrap();
    assert_that!(metrics, contains_substring("# TYPE"));
}
