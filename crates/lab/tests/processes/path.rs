//! Requests through separate processes: the right adapter and version, complete
//! answers, isolation of brands, and a clear error for every bad request.

use anyhow::Result;
use bytes::Bytes;
use googletest::prelude::*;
use lab::{Caller, Chat, Lab, Plan, until};
use web::Method;
use wire::header;

use crate::common::{FILM, KAZALISTE, expected, start};

fn two_zones() -> Plan {
    Plan {
        zones: vec!["dubrava".to_owned(), "blato".to_owned()],
        engines: [("drafting".to_owned(), 1)].into(),
        ..Plan::small()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_run_on_their_own_adapter_and_version() -> Result<()> {
    let mut lab = start("path", &two_zones()).await?;
    let brands = [
        (KAZALISTE, "drafting", "kazaliste-live", "1"),
        (FILM, "letters", "film-live", "3"),
    ];
    for (key, model, adapter, version) in brands {
        for entry in 0..lab.entries.len() {
            for stream in [true, false] {
                let prompt = format!("{model} {entry} {stream}");
                let mut chat = Chat::stream(model, &prompt);
                chat.stream = stream;
                let reply = lab.caller(entry, key).chat(&chat).await?;
                let resident = format!("{adapter}@{version}");
                assert_that!(reply.status, eq(200), "{prompt}");
                assert_that!(reply.complete, eq(true), "{prompt}");
                assert_that!(reply.header(header::ADAPTER), some(eq(adapter)), "{prompt}");
                assert_that!(reply.header(header::VERSION), some(eq(version)), "{prompt}");
                let want = expected(&resident, &prompt, 16);
                assert_that!(reply.text(), eq(&want), "{prompt}");
            }
        }
    }
    shares_are_shown(&lab).await?;
    brands_are_isolated(&lab.caller(0, KAZALISTE), &lab.caller(1, FILM)).await?;
    bad_requests_get_clear_errors(&lab.caller(0, KAZALISTE)).await?;
    assert_that!(lab.stop().await?, eq(true));
    lab.clean()
}

/// The status shows each brand's number of tokens and its share of them.
async fn shares_are_shown(lab: &Lab) -> Result<()> {
    let shown = async || {
        let leader = lab.wait_leader().await.ok()?;
        let status = lab.operator(leader).get("/v1/status").await.ok()?;
        let brands = status["brands"].as_array()?.clone();
        let some = brands
            .iter()
            .filter(|b| b["tokens"].as_u64() > Some(0) && b["part"].is_u64());
        (some.count() == 2).then_some(())
    };
    until("both brands' shares in the status", shown).await
}

async fn brands_are_isolated(kazaliste: &Caller, film: &Caller) -> Result<()> {
    let models = kazaliste.get("/v1/models").await?;
    let ids: Vec<_> = models["data"].as_array().into_iter().flatten().collect();
    assert_that!(ids.len(), eq(1));
    assert_that!(ids[0]["id"].as_str(), some(eq("drafting")));
    let theirs = film.chat(&Chat::stream("drafting", "x")).await?;
    assert_that!(theirs.status, eq(404));
    let path = "/kazaliste/listing/calls";
    let theirs = film.send(Method::GET, path, Bytes::new(), &[]).await?;
    assert_that!(theirs.status, eq(404));
    Ok(())
}

/// Caller, method, path, body and headers of a bad request; the expected status and
/// reason.
type Bad<'a> = (
    &'a Caller,
    Method,
    &'a str,
    &'a str,
    &'a [(&'a str, &'a str)],
    u16,
    &'a str,
);

/// Each bad request is refused with the right status and reason and the verdict that
/// it did not run.
async fn bad_requests_get_clear_errors(good: &Caller) -> Result<()> {
    let chat = "/v1/chat/completions";
    let once = "/kazaliste/submissions/apply";
    let hello = r#"{"model":"drafting","messages":[]}"#;
    let large = format!(
        "{{\"model\":\"drafting\",\"pad\":\"{}\"}}",
        "x".repeat(70_000)
    );
    let nobody = Caller::new(good.address, "nobody's key");
    let cases: [Bad<'_>; 10] = [
        (&nobody, Method::POST, chat, hello, &[], 401, "bad-key"),
        (good, Method::POST, chat, "{", &[], 400, "bad-request"),
        (
            good,
            Method::POST,
            chat,
            r#"{"messages":[]}"#,
            &[],
            400,
            "bad-request",
        ),
        (
            good,
            Method::POST,
            chat,
            r#"{"model":"nothing","messages":[]}"#,
            &[],
            404,
            "not-found",
        ),
        (
            good,
            Method::POST,
            chat,
            r#"{"model":"drafting@9","messages":[]}"#,
            &[],
            404,
            "not-found",
        ),
        (good, Method::POST, chat, &large, &[], 413, "too-large"),
        (
            good,
            Method::POST,
            chat,
            hello,
            &[(header::CLASS, "royal")],
            400,
            "bad-request",
        ),
        (
            good,
            Method::POST,
            chat,
            hello,
            &[(header::DEADLINE, "soon")],
            400,
            "bad-request",
        ),
        (good, Method::POST, once, "{}", &[], 400, "bad-request"),
        (
            good,
            Method::GET,
            "/kazaliste/nothing/x",
            "",
            &[],
            404,
            "not-found",
        ),
    ];
    for (caller, method, path, body, headers, status, reason) in cases {
        let headers: Vec<(&'static str, String)> = headers
            .iter()
            .map(|(name, value)| (header_name(name), (*value).to_owned()))
            .collect();
        let body = Bytes::from(body.to_owned());
        let reply = caller.send(method, path, body, &headers).await?;
        let shown = String::from_utf8_lossy(&reply.body).into_owned();
        assert_that!(reply.status, eq(status), "{path} {reason}: {shown}");
        assert_that!(
            reply.header(header::REASON),
            some(eq(reason)),
            "{path}: {shown}"
        );
        assert_that!(
            reply.header(header::VERDICT),
            some(eq("not-run")),
            "{path}: {shown}"
        );
    }
    Ok(())
}

fn header_name(name: &str) -> &'static str {
    [header::CLASS, header::DEADLINE]
        .into_iter()
        .find(|known| *known == name)
        .unwrap_or("x-other")
}
