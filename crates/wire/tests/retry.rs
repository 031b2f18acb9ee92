//! Messages about retries that entry instances lend to each other.

use googletest::prelude::*;
use wire::{
    call::{Call, Reply},
    retry::{RetryAnswer, RetryReport},
};

/// Most bytes where nothing is wanted.
const REPORT_BYTES: usize = 64;
const ANSWER_BYTES: usize = 16;

#[gtest]
fn messages_are_small_where_nothing_is_wanted() {
    let report = RetryReport {
        instance: "i-2001-db8--10-200-30-40".try_into().unwrap(),
        ask: 0,
        lent: Vec::new(),
        wanted: Vec::new(),
    };
    let call = rmp_serde::to_vec(&Call::Retries(report)).unwrap();
    let reply = rmp_serde::to_vec(&Reply::Retries(RetryAnswer::default())).unwrap();
    expect_that!(call.len(), le(REPORT_BYTES));
    expect_that!(reply.len(), le(ANSWER_BYTES));
}
