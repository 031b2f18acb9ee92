//! Tests of how long servers ask their senders to stay away.

use std::time::Duration;

use googletest::prelude::*;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use web::rest::asked_rest;

const NOW: &str = "Sun, 06 Nov 1994 08:49:37 GMT";

fn headers(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("date", NOW.parse().unwrap());
    for value in values {
        let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
        headers.append("retry-after", value);
    }
    headers
}

/// Checks the time in milliseconds that `values` ask for.
fn check((values, expected): (&[&str], Option<u64>)) {
    let asked = asked_rest(StatusCode::SERVICE_UNAVAILABLE, &headers(values));
    assert_that!(asked, eq(expected.map(Duration::from_millis)));
}

base::cases! {
    /// Guards against rests that are misread: targets get requests within them, or are lost.
    rests_are_read: check => {
        whole: (&["3"], Some(3_000)),
        fraction: (&["0.25"], Some(250)),
        spaces: (&[" 2 "], Some(2_000)),
        zero: (&["0"], Some(0)),
        negative: (&["-1"], None),
        no_number: (&["soon"], None),
        not_a_number: (&["NaN"], None),
        infinite: (&["inf"], None),
        infinity: (&["Infinity"], None),
        empty: (&[""], None),
        date: (&["Sun, 06 Nov 1994 08:49:40 GMT"], Some(3_000)),
        past_date: (&["Sun, 06 Nov 1994 08:49:30 GMT"], Some(0)),
        two: (&["2", "5"], Some(5_000)),
        one_of_two: (&["soon", "5"], Some(5_000)),
        not_ascii: (&["\u{e9}"], None),
        absent: (&[], None),
    }
}

/// Guards against values beyond all numbers, which have to mean a long time and no panic.
#[test]
fn a_huge_value_is_a_long_time() {
    for huge in ["1e9", &"9".repeat(400)] {
        let asked = asked_rest(StatusCode::SERVICE_UNAVAILABLE, &headers(&[huge]));
        assert_that!(asked, some(ge(Duration::from_secs(1_000_000_000))));
    }
}

/// Guards against a date that is taken for a time of this machine's clock.
#[test]
fn a_date_without_the_date_of_the_answer_says_nothing() {
    let mut headers = headers(&[NOW]);
    headers.remove("date");
    let asked = asked_rest(StatusCode::SERVICE_UNAVAILABLE, &headers);
    assert_that!(asked, none());
}

/// Guards against other answers that are taken for the word of a whole server.
#[test]
fn only_a_server_that_turns_requests_away_asks_for_rest() {
    for status in [200, 301, 421, 429, 500, 502] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_that!(asked_rest(status, &headers(&["3"])), none());
    }
}
