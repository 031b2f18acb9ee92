//! Which log lines belong to the timeline of a request.
//!
//! Each line of a case begins with the expected result (`own`, `near` for context,
//! `none` for left out), followed by its second, instance, event and fields.

use googletest::prelude::*;
use serde_json::{Map, Value, json};

use super::*;

const ID: &str = "r-1";

/// Returns the JSON of `second instance event key=value...`.
fn json_of(short: &str) -> String {
    let mut words = short.split_whitespace();
    let mut word = || words.next().unwrap();
    let (second, instance, event) = (word(), word(), word());
    let second: f64 = second.parse().unwrap();
    let time = DateTime::UNIX_EPOCH + TimeDelta::milliseconds((second * 1e3).round() as i64);
    let fields = words.map(|field| {
        let (key, value) = field.split_once('=').unwrap();
        let number = value.parse::<i64>().map(Value::from);
        (key.to_owned(), number.unwrap_or(value.into()))
    });
    let fields: Map<String, Value> = fields.collect();
    json!({"time": time.to_rfc3339(), "level": "info", "instance": instance, "event": event,
           "name": "N", "fields": fields})
    .to_string()
}

fn collector(lines: &[&str]) -> Collector {
    let mut collector = Collector::new(ID.parse().unwrap());
    for line in lines {
        collector.add(json_of(line).as_bytes());
    }
    collector
}

fn build(lines: &[&str], around: i64) -> Option<Timeline> {
    collector(lines).timeline(TimeDelta::seconds(around))
}

base::cases! {
    /// A line is one of the request's own, context, or left out.
    lines_are_selected: check_lines => {
        ids_match_exactly: &[
            "own  0 e1 E5009 request=r-1",
            "none 0 e1 E5009 request=r-10",
            "none 0 e1 E5009 request=R-1",
            "none 0 e1 E5009 request=",
            "none 0 e1 E5009 trace=r-1",
        ],
        adapter_within_the_window: &[
            "none -4.1 c1 E5009 adapter=a",
            "none -2.1 c1 E5009 adapter=a",
            "near -2   c1 E5009 adapter=a",
            "own   0   e1 E5009 request=r-1 adapter=a",
            "none  0   c1 E5009 adapter=b",
            "own   1   e1 E5002 request=r-1",
            "near  3   c1 E5009 adapter=a",
            "none  3.1 c1 E5009 adapter=a",
        ],
        adapter_of_a_failed_order: &[
            r#"near 0 c1 E4003 order=Evict("m/a1")"#,
            r#"near 0 c1 E4003 order=Load{adapter:"m/a1",version:None}"#,
            r#"none 0 c1 E4003 order=Evict("m/a10")"#,
            "own 1 e1 E5002 request=r-1 adapter=m/a1 why=Waited",
        ],
        no_adapter: &[
            "own  0 e1 E5002 request=r-1 adapter= target=",
            "none 0 c1 E4001 adapter= engine=",
            r#"none 0 c1 E4003 order=Evict("")"#,
        ],
        crashes_of_the_same_content: &[
            "near -90 e2 E5011 request=r-2 fingerprint=f1 target=i-1 fate=crashed",
            "none -90 e2 E5011 request=r-3 fingerprint=f2 target=i-1 fate=crashed",
            "near -60 c1 E5012 fingerprint=f1 crashes=3",
            "own  0   e1 E5015 request=r-1 fingerprint=f1",
            "own  0   e1 E5002 request=r-1 why=Held",
            "none 9   c1 E5012 fingerprint=f1 crashes=4",
        ],
        targets_of_each_field: &[
            "near 0 e2 E5002 request=r-2 target=i-1",
            "near 0 e2 E5005 request=r-3 from=i-1 target=i-9",
            "near 0 e2 E5005 request=r-4 from=i-9 target=i-2",
            "near 0 c1 E4006 engine=i-3",
            "none 0 c1 E4006 engine=i-9",
            "none 0 c1 E4001 adapter=i-1",
            "own  0 e1 E5005 request=r-1 from=i-1 target=i-2",
            "own  1 e1 E5002 request=r-1 engine=i-3",
        ],
        belief_of_the_entry_instance: &[
            "near -99 e1 E1001 listen=x",
            "none -90 e1 E7003 version=3",
            "near -80 e1 E7003 version=4",
            "none -80 e2 E7003 version=5",
            "none -80 e2 E1001 listen=y",
            "own    0 e1 E5002 request=r-1 why=no_route",
            "near   1 e1 E7003 version=5",
            "none   9 e1 E7003 version=6",
        ],
        belief_of_each_control_instance: &[
            "none -70 e1 E6001 control=c1",
            "near -60 e1 E6001 control=c1",
            "near -50 e1 E6002 control=c1",
            "near -40 e1 E6001 control=c2",
            "none -40 e2 E6001 control=c1",
            "own    0 e1 E5002 request=r-1 why=no_route",
            "near   1 e1 E6002 control=c2",
        ],
        belief_of_both_entry_instances: &[
            "near -30 e1 E7003 version=3",
            "near -20 e2 E7003 version=4",
            "none -20 e3 E7003 version=4",
            "own    0 e1 E5002 request=r-1 why=Queue",
            "own    5 e2 E5002 request=r-1 why=Queue",
        ],
        adapter_was_there_before: &[
            "none -90 c1 E4001 adapter=a engine=i-1",
            "near -80 c1 E4001 adapter=a engine=i-2",
            "near -70 c1 E4002 adapter=a engine=i-2",
            "near -60 c2 E4001 adapter=a engine=i-3",
            "none -50 c1 E4001 adapter=b engine=i-2",
            "near -40 c1 E4003 order=Evict(\"a\") engine=i-2",
            "own    0 e1 E5002 request=r-1 adapter=a",
        ],
        store_of_a_full_queue: &[
            "near -40 c1 E3001 zones=za",
            "none  -9 c1 E4013 waiting=4",
            "near   0 c1 E4013 waiting=9",
            "near   0 c2 E4003 engine=i-7 how=unknown",
            "own    0 e1 E5002 request=r-1 why=Queue",
            "none   9 c1 E4013 waiting=7",
        ],
        store_of_another_end: &[
            "none -40 c1 E3001 zones=za",
            "none   0 c1 E4013 waiting=9",
            "none   0 c2 E4003 engine=i-7 how=unknown",
            "own    0 e1 E5002 request=r-1 why=Refusals",
        ],
        nobody_gives_orders: &[
            "none -60 c1 E3001 zones=za",
            "near -50 c1 E3001 zones=zb",
            "near -45 c2 E3001 zones=za",
            "near -40 c1 E2001 term=4",
            "near -30 c1 E2002",
            "own    0 e1 E5002 request=r-1 why=NoOrders",
        ],
        its_adapter_did_not_come: &[
            "near -40 c1 E3001 zones=za",
            "near   0 c1 E4013 waiting=9",
            "none   0 c1 E4003 engine=i-7 how=unknown",
            "own    0 e1 E5002 request=r-1 why=Waited",
        ],
        too_many_repeats: &[
            "none -40 c1 E3001 zones=za",
            "near   0 c1 E4013 waiting=9",
            "own    0 e1 E5002 request=r-1 why=Repeats",
        ],
        no_target_takes_requests: &[
            "near -40 e1 E6006 why=x",
            "none -40 e2 E6006 why=x",
            "own    0 e1 E5002 request=r-1 why=NoTarget",
        ],
        its_time_was_over: &[
            "none -40 e1 E1006 late_ms=900",
            "near  -1 e1 E1006 late_ms=900",
            "none  -1 e2 E1006 late_ms=900",
            "own    0 e1 E5002 request=r-1 why=Deadline",
        ],
        answered_long_after_it_came: &[
            "none -7.1 c1 E4006 engine=i-1",
            "near -7   c1 E4006 engine=i-1",
            "own   0   e1 E5009 request=r-1 target=i-1 head_ms=5000",
        ],
        others_reasons_ask_for_nothing: &[
            "near 0 c1 E5002 request=r-2 why=Queue adapter=a",
            "none 0 c1 E4013 waiting=9",
            "own  0 e1 E5009 request=r-1 adapter=a",
        ],
        held_before_its_line: &[
            "none -12.1 e2 E5009 adapter=a",
            "near -12   e2 E5009 adapter=a",
            "near -11   e1 E7003 version=3",
            "near  -5   e1 E7003 version=4",
            "own    0   e1 E5002 request=r-1 adapter=a held_ms=10000",
        ],
        any_order_of_lines: &[
            "own  0 e1 E5002 request=r-1 adapter=a",
            "near -1 e2 E5009 adapter=a",
            "own -1.5 e1 E5009 request=r-1",
            "near -3 e2 E5009 adapter=a",
        ],
        lines_left_out: &[
            "near 1 e1 E1007 lines=4",
            "none 1 e2 E1007 lines=4",
            "own  0 e1 E5002 request=r-1",
        ],
    }
}

fn check_lines(rows: &[&str]) {
    let rows = rows.iter().map(|row| row.split_once(' ').unwrap());
    let (expected, lines): (Vec<&str>, Vec<&str>) = rows.unzip();
    let timeline = build(&lines, 2).unwrap();
    assert_that!(
        timeline.lines.is_sorted_by_key(|row| row.line.time),
        eq(true)
    );
    for (line, want) in lines.iter().zip(expected) {
        let parsed = Line::try_from(&*json_of(line)).unwrap();
        let row = timeline.lines.iter().find(|row| row.line == parsed);
        let got = row.map_or("none", |row| if row.own { "own" } else { "near" });
        assert_that!(got, eq(want), "{line}");
    }
}

base::cases! {
    /// The ending comes from the last own line.
    ends_are_named: check_end => {
        refused: (
            &["1 e1 E5002 request=r-1 why=Queue how=NotRun sends=0"],
            "E5002 given up why=Queue how=NotRun",
        ),
        broke_off: (
            &["1 e1 E5002 request=r-1 target=i-1 how=broke"],
            "E5002 given up how=broke target=i-1",
        ),
        went_on: (
            &["1 e1 E5005 request=r-1 from=i-1 target=i-2", "0 e1 E5009 request=r-1"],
            "E5005 its stream went on elsewhere from=i-1 target=i-2",
        ),
        went_on_and_its_target_was_checked: (
            &[
                "1 e1 E5005 request=r-1 from=i-1 target=i-2",
                "2 e1 E5011 request=r-1 target=i-1 fate=crashed",
            ],
            "E5005 its stream went on elsewhere from=i-1 target=i-2",
        ),
        late: (
            &["1 e1 E5009 request=r-1 head_ms=4000 place_ms=3900 target=i-1"],
            "E5009 answered late head_ms=4000 place_ms=3900 target=i-1",
        ),
        done: (&["1 e1 E5001 request=r-1 adapter=a"], "E5001 done adapter=a"),
        not_told: (&["1 e1 E5004 request=r-1 target=i-1"], "E5004 its end isn't told"),
        by_the_newest: (
            &["2 e2 E5009 request=r-1 head_ms=5", "1 e1 E5002 request=r-1"],
            "E5009 answered late head_ms=5",
        ),
    }

    /// Plain and simulated lines are parsed, all else is rejected.
    line_forms: check_form => {
        plain: (r#"{"time":"2026-06-16T12:25:39.02+00:00","instance":"e","event":"E1"}"#, Some("e")),
        simulated: (
            r#"  33.0217   e9  {"time":"2026-06-16T12:25:39Z","instance":"e","event":"E1"}"#,
            Some("33.0217 e"),
        ),
        before_the_traffic: (
            r#"-9.7 e9 {"time":"2026-06-16T12:25:39Z","event":"E1"}"#,
            Some("-9.7 e9"),
        ),
        carriage_return: ("{\"time\":\"2026-06-16T12:25:39Z\",\"instance\":\"e\",\"event\":\"E1\"}\r", Some("e")),
        without_instance: (r#"{"time":"2026-06-16T12:25:39Z","event":"E1"}"#, None),
        without_time: (r#"{"instance":"e","event":"E1"}"#, None),
        wrong_time: (r#"{"time":"yesterday","instance":"e","event":"E1"}"#, None),
        without_event: (r#"{"time":"2026-06-16T12:25:39Z","instance":"e"}"#, None),
        fields_of_another_kind: (
            r#"{"time":"2026-06-16T12:25:39Z","instance":"e","event":"E1","fields":[1]}"#,
            None,
        ),
        truncated: (r#"{"time":"2026-06-16T12:25:39Z","instance":"e","ev"#, None),
        trailing_text: (r#"{"time":"2026-06-16T12:25:39Z","instance":"e","event":"E1"} x"#, None),
        seconds_without_end: (r#"inf e {"time":"2026-06-16T12:25:39Z","event":"E1"}"#, None),
        seconds_are_a_word: (r#"at e {"time":"2026-06-16T12:25:39Z","event":"E1"}"#, None),
        without_json: ("33.0217 e9 alert", None),
        one_word: ("33.0217", None),
        a_list: ("[]", None),
    }

    /// An id is any string that a header's value can hold.
    ids: check_id => {
        usual: ("r-1", Ok(())),
        odd: (r#"a b/"c"\{é}%00=*"#, Ok(())),
        empty: ("", Err(BadId::Empty)),
        blank: (" ", Err(BadId::Blank)),
        line_end: ("r-1\n", Err(BadId::Blank)),
        escape: ("r\u{1b}[2J", Err(BadId::BadChar('\u{1b}'))),
    }
}

fn check_end((lines, end): (&[&str], &str)) {
    let ending = build(lines, 2).unwrap().ending;
    let fields = ending
        .fields
        .iter()
        .map(|(key, value)| format!(" {key}={value}"));
    let shown = format!(
        "{} {}{}",
        ending.event,
        ending.what,
        fields.collect::<String>()
    );
    assert_that!(shown, eq(end));
}

fn check_form((raw, want): (&str, Option<&str>)) {
    let line = Line::try_from(raw);
    let shown = line.as_ref().ok().map(|line| match &line.seconds {
        Some(seconds) => format!("{seconds} {}", line.instance),
        None => line.instance.clone(),
    });
    assert_that!(shown.as_deref(), eq(want));
}

fn check_id((raw, read): (&str, std::result::Result<(), BadId>)) {
    assert_that!(raw.parse::<RequestId>().map(drop), eq(&read));
}

/// A request's only line was truncated as its instance crashed: the output must not
/// say that nothing about the request was found, but count the line as containing
/// the id.
#[test]
fn a_truncated_line_is_counted_wherever_it_ends() {
    let whole = json_of("0 e1 E5002 request=r-1 why=Queue");
    let end = whole.find(ID).unwrap() + ID.len();
    for cut in 1..whole.len() {
        let mut collector = Collector::new(ID.parse().unwrap());
        collector.add(&whole.as_bytes()[..cut]);
        let holding = usize::from(cut >= end);
        let skipped = Skipped { lines: 1, holding };
        assert_that!(collector.counts(), eq((0, skipped)), "{cut}");
    }
}

/// An id that JSON escapes is found in its line and in a truncated one.
#[test]
fn an_id_with_escapes_is_found() {
    let id = r#"a"b\c"#;
    let line = json!({"time": "2026-06-16T12:25:39Z", "instance": "e", "event": "E5009",
                      "fields": {"request": id}});
    let mut collector = Collector::new(id.parse().unwrap());
    collector.add(line.to_string().as_bytes());
    collector.add(&line.to_string().as_bytes()[1..]);
    let skipped = Skipped {
        lines: 1,
        holding: 1,
    };
    assert_that!(collector.counts(), eq((1, skipped)));
    assert_that!(collector.timeline(TimeDelta::zero()).unwrap().own, eq(1));
}

/// Invalid UTF-8, and times and durations out of range, cause no failure.
#[test]
fn odd_values_cause_no_failure() {
    let mut collector = collector(&[
        "0 e1 E5002 request=r-1 held_ms=9223372036854775807",
        "1 e1 E5009 request=r-1 head_ms=-5",
    ]);
    collector.add(b"\xff\xfe r-1\n");
    collector.add(b" \t\r\n");
    for year in [
        "+262142-12-31T23:59:59Z",
        "9999-12-31T23:59:60Z",
        "0000-01-01T00:00:00Z",
    ] {
        let line = json!({"time": year, "instance": "e", "event": "E5009",
                          "fields": {"request": ID}});
        collector.add(line.to_string().as_bytes());
    }
    let (lines, skipped) = collector.counts();
    assert_that!(lines + skipped.lines, eq(6));
    assert_that!(
        collector.timeline(TimeDelta::seconds(3_600)).is_some(),
        eq(true)
    );
}

/// A request id that no line has gives no timeline.
#[test]
fn an_unknown_request_has_no_timeline() {
    assert_that!(build(&["0 e1 E5002 request=r-2"], 2), none());
    assert_that!(build(&[], 2), none());
}
