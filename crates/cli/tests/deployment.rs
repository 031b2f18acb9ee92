//! The command line against real daemons on the loopback interface.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Output,
};

use googletest::prelude::*;
use lab::{Chat, Lab, Plan, until};
use serde_json::Value;
use tokio::process::Command;

struct Operator {
    control: String,
    folder: PathBuf,
}

impl Operator {
    fn new(lab: &Lab) -> Self {
        let urls: Vec<String> = lab
            .controls
            .iter()
            .map(|c| format!("http://{}", c.listen))
            .collect();
        Operator {
            control: urls.join(","),
            folder: lab.folder.clone(),
        }
    }

    /// Writes a text to a new file and returns its path.
    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    async fn run(&self, args: &str) -> (i32, String) {
        let out: Output = Command::new(env!("CARGO_BIN_EXE_quetzalarch"))
            .args(args.split_whitespace())
            .env("QUETZAL_CONTROL", &self.control)
            .output()
            .await
            .unwrap();
        let shown = [out.stdout, out.stderr].concat();
        (
            out.status.code().unwrap(),
            String::from_utf8(shown).unwrap(),
        )
    }

    async fn expect(&self, args: &str, exit: i32, shows: &str) {
        let (code, shown) = self.run(args).await;
        assert_that!(code, eq(exit), "{args}: {shown}");
        assert_that!(shown, contains_substring(shows), "{args}");
    }
}

fn agency() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join("samples/agency.toml")).unwrap()
}

/// A command that is run twice, as after a lost answer, must be in the history once.
/// Two operators then edit the same version at the same time: exactly one change may
/// be accepted, and the refusal of the other must name it.
#[tokio::test(flavor = "multi_thread")]
async fn texts_are_applied_once_and_races_have_one_winner() {
    let mut lab = Lab::start("operator", &Plan::small()).await.unwrap();
    lab.wait_leader().await.unwrap();
    let operator = Operator::new(&lab);
    let text = agency();
    let first = operator.file("first.toml", &text);
    let apply = format!("apply {first} --by ana --base 0");
    operator.expect(&apply, 0, "accepted as version 1").await;
    operator.expect(&apply, 0, "accepted as version 1").await;
    operator
        .expect(&format!("apply {first}"), 0, "unchanged: version 1")
        .await;
    lab.wait_ready(1).await.unwrap();

    let files = ["6", "7"].map(|rate| {
        let text = text.replace("rate = 5", &format!("rate = {rate}"));
        operator.file(&format!("rate-{rate}.toml"), &text)
    });
    let race = files
        .each_ref()
        .map(|file| format!("apply {file} --by race --base 1"));
    let (one, two) = tokio::join!(operator.run(&race[0]), operator.run(&race[1]));
    let mut codes = [one.0, two.0];
    codes.sort_unstable();
    assert_that!(codes, eq([0, 1]), "{one:?} {two:?}");
    let loser = if one.0 == 1 { &one.1 } else { &two.1 };
    assert_that!(
        loser,
        contains_substring("version 2 is in force, made by race")
    );
    lab.wait_ready(2).await.unwrap();

    let winner = if one.0 == 0 { &files[0] } else { &files[1] };
    operator
        .expect(&format!("diff {winner}"), 0, "no change")
        .await;
    operator
        .expect(&format!("diff {first}"), 0, "~ store (rate:")
        .await;
    let (_, history) = operator.run("history").await;
    assert_that!(history.matches(" ana ").count(), eq(1), "{history}");
    assert_that!(history.lines().count(), eq(3), "{history}");
    let bad = operator.file("bad.toml", &text.replace("rate = 5", "rate = 0"));
    operator
        .expect(&format!("apply {bad}"), 1, "`rate` must lie between")
        .await;
    let (_, shown) = operator.run("text").await;
    assert_that!(shown.trim(), eq(fs::read_to_string(winner).unwrap().trim()));
    assert!(lab.stop().await.unwrap());
    lab.clean().unwrap();
}

/// `explain` names the engine that a brand's next request runs on, and reveals nothing
/// about the adapter of another brand.
#[tokio::test(flavor = "multi_thread")]
async fn an_explanation_names_the_engine_that_answers() {
    let mut lab = Lab::start("explain", &Plan::small()).await.unwrap();
    let operator = Operator::new(&lab);
    let version = lab.apply("explain-1", &agency()).await.unwrap();
    lab.wait_ready(version).await.unwrap();
    lab.wait_owned().await.unwrap();
    let caller = lab.caller(0, "sample-key-film");
    let chat = Chat::stream("drafting", "A note, please.");
    let answered = async || {
        caller
            .chat(&chat)
            .await
            .ok()
            .filter(|reply| reply.status == 200)
    };
    until("an engine that answers", answered).await.unwrap();
    let explain = format!(
        "explain --entry http://{} --json --brand",
        lab.entries[0].peer
    );
    let held = async || {
        let (_, shown) = operator
            .run(&format!("{explain} film --service drafting"))
            .await;
        let explained: Value = serde_json::from_str(&shown).ok()?;
        (explained["why"] == "holds").then_some(explained)
    };
    let explained = until("a holder", held).await.unwrap();
    assert_that!(explained["resident"], eq("film-live@1"));
    assert_that!(explained["targets"].as_array().unwrap().len(), eq(2));
    let next = explained["targets"]
        .as_array()
        .unwrap()
        .iter()
        .find(|t| t["target"] == explained["next"]);
    assert_that!(next.unwrap()["holds"], eq(true));
    operator
        .expect(
            &format!("{explain} film --adapter film-live"),
            0,
            "film-live@1",
        )
        .await;
    operator
        .expect(
            &format!("{explain} film --service listing"),
            0,
            "least-loaded",
        )
        .await;
    operator
        .expect(&format!("{explain} film --adapter folklor-live"), 1, "404")
        .await;
    operator
        .expect(&format!("{explain} nobody --service drafting"), 1, "404")
        .await;
    assert!(lab.stop().await.unwrap());
    lab.clean().unwrap();
}

/// A planned stop: an instance that is asked to drain exits by itself, with success.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_instance_ends_by_itself() {
    let plan = Plan {
        entries: 2,
        ..Plan::small()
    };
    let mut lab = Lab::start("drain", &plan).await.unwrap();
    let operator = Operator::new(&lab);
    let first = operator.file("first.toml", &agency());
    operator
        .expect(&format!("apply {first}"), 0, "based on version 0")
        .await;
    lab.wait_ready(1).await.unwrap();
    let name = lab.entries[0].name.clone();
    let seen = async || operator.run("status").await.1.contains(&name).then_some(());
    until("the instance in the status", seen).await.unwrap();
    operator.expect("drain nobody", 1, "404").await;
    operator.expect(&format!("drain {name}"), 0, "drains").await;
    let mut process = lab.entries[0].process.take().unwrap();
    assert_that!(process.wait_exit().await, ok(eq(&true)));
    assert!(lab.stop().await.unwrap());
    lab.clean().unwrap();
}
