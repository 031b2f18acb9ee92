//! Tests of how editions are split into compressed parts.

use std::io::Write;

use flate2::{Compression, write::DeflateEncoder};
use googletest::prelude::*;
use wire::fleet::{Edition, PART_SIZE, Part};

const DIGEST: u64 = 5;

fn edition(len: usize) -> Edition {
    let body = "host /prefix/ service\n".repeat(len / 22 + 1);
    Edition {
        number: 3,
        body: body[..len].to_owned(),
    }
}

fn check(len: usize) {
    let edition = edition(len);
    let mut text = Vec::new();
    while let Some(part) = Part::of(&edition, DIGEST, text.len() as u64) {
        assert_that!(part.size, eq(len as u64));
        text.extend(part.unpack().unwrap());
        if text.len() == len {
            break;
        }
    }
    assert_that!(String::from_utf8(text), ok(eq(&edition.body)));
    assert_that!(Part::of(&edition, DIGEST, len as u64 + 1), none());
}

base::cases! {
    /// The decompressed parts of a text, joined, are the text.
    parts_make_the_text: check => {
        empty: 0,
        small: 10,
        one_part: PART_SIZE,
        a_byte_more: PART_SIZE + 1,
        many: 5 * PART_SIZE + 17,
    }
}

/// Lists of routes are repetitive, so a part compresses to less than an eighth.
#[gtest]
fn routes_are_packed() {
    let part = Part::of(&edition(PART_SIZE), DIGEST, 0).unwrap();
    assert_that!(part.packed.len(), lt(PART_SIZE / 8));
}

#[gtest]
fn no_part_begins_inside_another() {
    assert_that!(Part::of(&edition(PART_SIZE), DIGEST, 1), none());
}

#[gtest]
fn a_part_that_was_cut_is_refused() {
    let mut part = Part::of(&edition(PART_SIZE), DIGEST, 0).unwrap();
    part.packed = part.packed.slice(..part.packed.len() / 2);
    assert_that!(part.unpack(), err(anything()));
}

/// A damaged part may decompress to far more than [`PART_SIZE`]; decompression stops at
/// that limit.
#[gtest]
fn a_part_that_is_longer_than_any_is_refused() {
    let mut part = Part::of(&edition(PART_SIZE), DIGEST, 0).unwrap();
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(&vec![b'x'; PART_SIZE + 1]).unwrap();
    part.packed = packed.finish().unwrap().into();
    assert_that!(part.unpack(), err(anything()));
}
