//! The command line as a process, against fakes of control and entry
//! instances: what it prints and its exit code, also when answers get lost.

mod fake;

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use fake::{Fake, Say};
use googletest::prelude::*;
use serde_json::Value;

/// A text with nothing wrong.
const SIX: &str = "[store]\nrate = 6\n";

/// One run: its arguments and standard input, what the fakes say, and what
/// must come of it.
struct Row<'a> {
    args: &'a str,
    stdin: &'a str,
    says: &'a [(&'a str, &'a [Say])],
    exit: i32,
    shows: &'a [&'a str],
}

const USUAL: Row<'static> = Row {
    args: "",
    stdin: "",
    says: &[],
    exit: 0,
    shows: &[],
};

const STATUS: &str = r#"{"instance":"c1","leader":"c1","version":7,
    "instances":[{"name":"e1","zone":"blato","version":6,"silent_ms":40,"leaving":true}],
    "engines":[{"target":"draft-1","owner":"e1","fence":12},{"target":"draft-2","owner":null,"fence":0}]}"#;
const ALONE: &str = r#"{"instance":"c9","leader":"c9","version":3,"instances":[],"engines":[]}"#;
const CURRENT: &str = r#"{"version":7,"text":"[store]\nrate = 5\n"}"#;
const OLD: &str = r#"{"version":3,"text":"[store]\nrate = 3\n"}"#;
const ACCEPTED: &str = r#"{"outcome":"accepted","version":8}"#;
const UNKNOWN: &str = r#"{"outcome":"unknown","retry_ms":20}"#;
const ALONE_REFUSAL: &str = r#"{"outcome":"refused","why":{"why":"no-quorum","retry_ms":900}}"#;
const CONFLICT: &str =
    r#"{"outcome":"refused","why":{"why":"conflict","version":8,"winner":"w-1","by":"ana"}}"#;
const REUSED: &str = r#"{"outcome":"refused","why":{"why":"change-reused"}}"#;

base::cases! {
    /// What needs no instance.
    local_commands: check => {
        sample_passes: Row {
            args: "check ../../samples/agency.toml",
            shows: &["ok: 3 brands, 3000 adapters, 3018 services"],
            ..USUAL
        },
        from_stdin: Row {
            args: "check - --json",
            stdin: "[store]\nrate = 5\n",
            shows: &[r#"{"adapters":0,"brands":0,"outcome":"ok","services":0}"#],
            ..USUAL
        },
        wrong_text: Row {
            args: "check -",
            stdin: "[stores]\n[limits]\nattempts = 0\n",
            exit: 1,
            shows: &["1:2: unknown key `stores`", "3:12: `attempts` must lie"],
            ..USUAL
        },
        wrong_text_json: Row {
            args: "check - --json",
            stdin: "[stores]\n",
            exit: 1,
            shows: &[r#""column":2,"line":1"#, r#""why":"bad-text""#],
            ..USUAL
        },
        no_such_file: Row {
            args: "check gone.toml",
            exit: 2,
            shows: &["can't read gone.toml"],
            ..USUAL
        },
        no_such_file_json: Row {
            args: "check gone.toml --json",
            exit: 2,
            shows: &[r#""outcome":"usage""#],
            ..USUAL
        },
        no_command: Row { exit: 2, shows: &["Usage"], ..USUAL },
        unknown_flag: Row { args: "check - --jsno", exit: 2, shows: &["--jsno"], ..USUAL },
        bad_version: Row {
            args: "apply - --base seven",
            exit: 2,
            shows: &["`seven` is not a number of the text's version"],
            ..USUAL
        },
        bad_change: Row {
            args: "apply - --change A!",
            exit: 2,
            shows: &["`A` may not stand in a name"],
            ..USUAL
        },
        bad_url: Row {
            args: "status --control control:80",
            exit: 2,
            shows: &["`control:80` is no http://ip:port"],
            ..USUAL
        },
        no_control: Row {
            args: "status",
            exit: 2,
            shows: &["give --control or set QUETZAL_CONTROL"],
            ..USUAL
        },
        difference: Row {
            args: "diff ../../samples/agency.toml -",
            stdin: SIX,
            shows: &["~ store (rate: 5 -> 6)", "- brand film"],
            ..USUAL
        },
        old_text_wrong: Row {
            args: "diff - ../../samples/agency.toml",
            stdin: "[x]\n",
            exit: 1,
            shows: &["unknown key `x`"],
            ..USUAL
        },
        key: Row {
            args: "key",
            stdin: "foo\n",
            shows: &["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"],
            ..USUAL
        },
        empty_key: Row { args: "key", stdin: "\n", exit: 2, shows: &["the key is empty"], ..USUAL },
        help: Row {
            args: "--help",
            shows: &["Exit codes: 0 done, 1 refused", "explain", "trace"],
            ..USUAL
        },
    }

    /// What asks instances; the next is asked where one doesn't answer.
    asking_commands: check => {
        status: Row {
            args: "status --control C",
            says: &[("c/v1/status", &[Say::Ok(STATUS)])],
            shows: &[
                "text 7, leader c1",
                "e1        blato  6     40 ms  leaving",
                "draft-2  none   0",
            ],
            ..USUAL
        },
        status_next: Row {
            args: "status --control X,C",
            says: &[("c/v1/status", &[Say::Ok(STATUS)])],
            shows: &["text 7", "no answer from"],
            ..USUAL
        },
        status_json: Row {
            args: "status --json --control C",
            says: &[("c/v1/status", &[Say::Ok(STATUS)])],
            shows: &[r#""leader":"c1""#, r#""silent":[]"#],
            ..USUAL
        },
        status_isolated: Row {
            args: "status --control D,C",
            says: &[("c/v1/status", &[Say::Ok(STATUS)]), ("d/v1/status", &[Say::Ok(ALONE)])],
            shows: &["as c1 sees it", "c9 sees otherwise: leader c9, text 3"],
            ..USUAL
        },
        status_nobody: Row {
            args: "status --control X",
            exit: 3,
            shows: &["no instance answers"],
            ..USUAL
        },
        status_nonsense: Row {
            args: "status --control C",
            says: &[("c/v1/status", &[Say::Ok("<html>")])],
            exit: 3,
            shows: &["answer not understood"],
            ..USUAL
        },
        history: Row {
            args: "history --control C",
            says: &[
                (
                    "c/v1/history",
                    &[Say::Ok(r#"[{"version":7,"change":"c-7","by":"ana","added":2,"removed":1}]"#)],
                ),
            ],
            shows: &["7        +2 -1  ana  c-7"],
            ..USUAL
        },
        history_next: Row {
            args: "history --control C,D",
            says: &[
                ("c/v1/history", &[Say::Status(503, "starting")]),
                ("d/v1/history", &[Say::Ok("[]")]),
            ],
            shows: &["VERSION"],
            ..USUAL
        },
        text_newest: Row {
            args: "text --control D,C",
            says: &[("c/v1/text", &[Say::Ok(CURRENT)]), ("d/v1/text", &[Say::Ok(OLD)])],
            shows: &["rate = 5"],
            ..USUAL
        },
        diff_in_force: Row {
            args: "diff - --control C",
            stdin: "[store]\nrate = 9\n",
            says: &[("c/v1/text", &[Say::Ok(CURRENT)])],
            shows: &["~ store (rate: 5 -> 9)"],
            ..USUAL
        },
        diff_same: Row {
            args: "diff - --json --control C",
            stdin: "[store]\nrate = 5\n",
            says: &[("c/v1/text", &[Say::Ok(CURRENT)])],
            shows: &[r#"{"changes":[]}"#],
            ..USUAL
        },
        explain: Row {
            args: "explain --brand film --service drafting --entry C",
            says: &[
                ("c/v1/explain?brand=film&service=drafting", &[Say::Ok(r#"{"target":"draft-3"}"#)]),
            ],
            shows: &["\"target\": \"draft-3\""],
            ..USUAL
        },
        explain_adapter: Row {
            args: "explain --brand film --adapter a --entry C",
            says: &[("c/v1/explain?brand=film&adapter=a", &[Say::Ok("{}")])],
            shows: &["{}"],
            ..USUAL
        },
        explain_nothing: Row {
            args: "explain --brand film --service x --entry C",
            says: &[("c/v1/explain?brand=film&service=x", &[Say::Status(404, "no such service")])],
            exit: 1,
            shows: &["404 no such service"],
            ..USUAL
        },
        explain_what: Row {
            args: "explain --brand film --entry C",
            exit: 2,
            shows: &["--service"],
            ..USUAL
        },
        drain: Row {
            args: "drain e1 --control X,C",
            says: &[("c/v1/drain", &[Say::Ok("{}")])],
            shows: &["e1 drains"],
            ..USUAL
        },
        drain_unknown: Row {
            args: "drain e9 --control C",
            says: &[("c/v1/drain", &[Say::Status(404, "no instance e9")])],
            exit: 1,
            shows: &["no instance e9"],
            ..USUAL
        },
        drain_cut: Row {
            args: "drain e1 --control C,D",
            says: &[("c/v1/drain", &[Say::Cut]), ("d/v1/drain", &[Say::Ok("{}")])],
            shows: &["e1 drains"],
            ..USUAL
        },
    }

    /// Each end that a change can come to.
    apply_ends: check => {
        accepted: Row {
            args: "apply - --base 7 --change c-1 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Ok(ACCEPTED)])],
            shows: &["accepted as version 8"],
            ..USUAL
        },
        accepted_json: Row {
            args: "apply - --base 7 --change c-1 --json --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Ok(ACCEPTED)])],
            shows: &[r#"{"base":7,"change":"c-1","result":{"outcome":"accepted","version":8}}"#],
            ..USUAL
        },
        base_in_force: Row {
            args: "apply - --control D,C",
            stdin: SIX,
            says: &[
                ("c/v1/text", &[Say::Ok(CURRENT)]),
                ("d/v1/text", &[Say::Ok(OLD)]),
                ("d/v1/apply", &[Say::Ok(ACCEPTED)]),
            ],
            shows: &["based on version 7, which is in force", "accepted as version 8"],
            ..USUAL
        },
        unchanged: Row {
            args: "apply - --control C",
            stdin: "[store]\nrate = 5\n",
            says: &[("c/v1/text", &[Say::Ok(CURRENT)])],
            shows: &["unchanged: version 7"],
            ..USUAL
        },
        conflict: Row {
            args: "apply - --base 7 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Status(409, CONFLICT)])],
            exit: 1,
            shows: &["refused: version 8 is in force, made by ana (change w-1)"],
        },
        reused: Row {
            args: "apply - --base 7 --change c-1 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Status(409, REUSED)])],
            exit: 1,
            shows: &["used with another text"],
        },
        wrong_text: Row {
            args: "apply - --base 7 --control X",
            stdin: "[stores]\n",
            exit: 1,
            shows: &["1:2: unknown key"],
            ..USUAL
        },
        too_large: Row {
            args: "apply - --base 7 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Status(413, "too large")])],
            exit: 1,
            shows: &["413 too large"],
        },
        alone: Row {
            args: "apply - --base 7 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Status(503, ALONE_REFUSAL)])],
            exit: 1,
            shows: &["certainly not accepted, come back in 900 ms"],
        },
        alone_then_not: Row {
            args: "apply - --base 7 --control C,D",
            stdin: SIX,
            says: &[
                ("c/v1/apply", &[Say::Status(503, ALONE_REFUSAL)]),
                ("d/v1/apply", &[Say::Ok(ACCEPTED)]),
            ],
            shows: &["accepted as version 8"],
            ..USUAL
        },
        nobody: Row {
            args: "apply - --base 7 --control X",
            stdin: SIX,
            exit: 3,
            shows: &["no instance answers"],
            ..USUAL
        },
        unknown_then_known: Row {
            args: "apply - --base 7 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Ok(UNKNOWN), Say::Cut, Say::Ok(ACCEPTED)])],
            shows: &["accepted as version 8"],
            ..USUAL
        },
        unknown: Row {
            args: "apply - --base 7 --change c-1 --wait 0 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Ok(UNKNOWN)])],
            exit: 4,
            shows: &["may have been accepted: run it again with --base 7 --change c-1"],
        },
        broken: Row {
            args: "apply - --base 7 --wait 0 --json --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Status(500, "oops")])],
            exit: 4,
            shows: &[r#""outcome":"unknown""#],
        },
        not_run: Row {
            args: "apply - --base 7 --wait 0 --control C",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::NotRun])],
            exit: 3,
            shows: &["no instance answers"],
        },
        silent: Row {
            args: "apply - --base 7 --wait 0 --timeout 1 --control C,D",
            stdin: SIX,
            says: &[("c/v1/apply", &[Say::Silent]), ("d/v1/apply", &[Say::Ok(ACCEPTED)])],
            exit: 0,
            shows: &["accepted as version 8"],
        },
        cut_then_alone: Row {
            args: "apply - --base 7 --wait 0 --control C,D",
            stdin: SIX,
            says: &[
                ("c/v1/apply", &[Say::Cut]),
                ("d/v1/apply", &[Say::Status(503, ALONE_REFUSAL)]),
            ],
            exit: 4,
            shows: &["may have been accepted"],
        },
    }
}

fn check(row: Row<'_>) {
    let (c, d) = (Fake::start("c", row.says), Fake::start("d", row.says));
    let out = run(row.args, row.stdin, &c, &d);
    let shown = shown(&out);
    assert_that!(out.status.code(), some(eq(row.exit)), "{shown}");
    for part in row.shows {
        assert_that!(shown, contains_substring(*part));
    }
    if row.args.contains("--json") {
        let json = serde_json::from_slice::<Value>(&out.stdout);
        assert_that!(json, ok(anything()), "{shown}");
    }
}

fn shown(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

/// Runs the command line; `C` and `D` stand for the fakes, `X` for an address
/// where nobody listens.
fn run(args: &str, stdin: &str, c: &Fake, d: &Fake) -> Output {
    let urls = [("C", c.url()), ("D", d.url()), ("X", fake::nobody())];
    let args = args.split_whitespace().map(|arg| {
        let parts = arg.split(',').map(|part| {
            let url = urls.iter().find(|(name, _)| *name == part);
            url.map_or(part.to_owned(), |(_, url)| url.clone())
        });
        parts.collect::<Vec<_>>().join(",")
    });
    let mut child = Command::new(env!("CARGO_BIN_EXE_quetzalarch"))
        .args(args)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that reads no input may have ended already.
    let _ = child.stdin.take().unwrap().write_all(stdin.as_bytes());
    child.wait_with_output().unwrap()
}

/// An operator sees the connection break after a change was sent, and runs the
/// same command again. The control instance had accepted the change and lost
/// only the answer. Under a fresh id the second run would lose against the
/// first; under the same id it is the same change.
#[test]
fn a_command_run_again_is_the_same_change() {
    let says: &[(&str, &[Say])] = &[("c/v1/apply", &[Say::Cut, Say::Ok(ACCEPTED)])];
    let (c, d) = (Fake::start("c", says), Fake::start("d", &[]));
    let apply = |rate: &str| {
        let text = SIX.replace('6', rate);
        run("apply - --base 7 --wait 0 --control C", &text, &c, &d)
            .status
            .code()
    };
    assert_that!(apply("6"), some(eq(4)));
    assert_that!(apply("6"), some(eq(0)));
    assert_that!(apply("7"), some(eq(0)));
    let changes: Vec<Value> = c
        .bodies()
        .iter()
        .map(|body| body["change"].clone())
        .collect();
    assert_that!(changes.len(), eq(3));
    assert_that!(changes[0], eq(&changes[1]));
    assert_that!(changes[0], not(eq(&changes[2])));
}
