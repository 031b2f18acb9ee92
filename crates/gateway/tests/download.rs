//! Download of newer editions, part by part.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use gateway::download::{BadPart, Download, PartResult};
use googletest::prelude::*;
use wire::{
    fleet::{Edition, PART_SIZE, Part},
    patch::digest,
};

const NOW: Time = Time(1_000_000);

/// Older editions that a source keeps besides its newest one.
const KEPT: usize = 3;

fn edition(number: u64, parts: usize) -> Edition {
    let line = format!("{number}: {:059}\n", number * 7);
    let body = line.repeat(parts * PART_SIZE / line.len());
    Edition { number, body }
}

fn part(edition: &Edition, from: u64) -> Part {
    Part::of(edition, digest(&edition.body), from).expect("a part of the text")
}

/// Requests and answers until no more is requested; returns the numbers of the complete
/// editions.
fn get(download: &mut Download<u8>, editions: &[Edition]) -> Vec<u64> {
    let mut whole = Vec::new();
    while let Some(ask) = download.next_request(NOW) {
        let held = editions.iter().find(|e| e.number == ask.number);
        let got = held.map_or(PartResult::Missing, |e| PartResult::Part(part(e, ask.from)));
        if let Some((number, text)) = download.handle_result(NOW, got).expect("sound parts") {
            assert_that!(Some(&text), eq(held.map(|e| &e.body)));
            whole.push(number);
        }
    }
    whole
}

#[gtest]
fn an_edition_arrives_complete() {
    let mut download = Download::default();
    download.announced(1, 7, 0);
    assert_that!(get(&mut download, &[edition(7, 4)]), elements_are![eq(&7)]);
    assert_that!(download.next_request(NOW), none());
}

#[gtest]
fn an_empty_edition_arrives() {
    let mut download = Download::default();
    download.announced(1, 7, 0);
    assert_that!(get(&mut download, &[edition(7, 0)]), elements_are![eq(&7)]);
}

#[gtest]
fn nothing_is_asked_for_twice_at_once() {
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.announced(2, 7, 1);
    assert_that!(download.next_request(NOW), some(anything()));
    assert_that!(download.next_request(NOW), none());
}

/// A control instance is cut off in the middle of an edition. The entry instance requests
/// the next part from another one; starting over would take the full time once more.
#[gtest]
fn what_has_come_is_kept_when_its_source_falls_silent() {
    let edition = edition(7, 4);
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.announced(2, 7, 1);
    let first = download.next_request(NOW).expect("a source");
    assert_that!(first.source, eq(1));
    let received = download.handle_result(NOW, PartResult::Part(part(&edition, 0)));
    assert_that!(received, ok(none()));
    download.next_request(NOW);
    assert_that!(download.handle_result(NOW, PartResult::Failed), ok(none()));
    let next = download.next_request(NOW).expect("another source");
    assert_that!((next.source, next.from), eq((2, PART_SIZE as u64)));
}

/// All exchanges are lost for a moment, as on a saturated link. The received parts were
/// dropped together with their sources, and the download started over each time.
#[gtest]
fn what_has_come_is_kept_while_nobody_is_heard() {
    let edition = edition(7, 4);
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.next_request(NOW);
    let received = download.handle_result(NOW, PartResult::Part(part(&edition, 0)));
    assert_that!(received, ok(none()));
    download.remove_source(1);
    assert_that!(download.next_request(NOW), none());
    download.announced(1, 7, 0);
    let next = download.next_request(NOW).expect("the source is back");
    assert_that!(next.from, eq(PART_SIZE as u64));
}

/// Operators change the configuration repeatedly. A download is finished before a newer
/// edition is started; otherwise each would be overtaken and none put into force.
#[gtest]
fn an_edition_that_was_begun_is_finished() {
    let editions = [edition(7, 3), edition(8, 3)];
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.next_request(NOW);
    let received = download.handle_result(NOW, PartResult::Part(part(&editions[0], 0)));
    assert_that!(received, ok(none()));
    download.announced(1, 8, 0);
    assert_that!(get(&mut download, &editions), elements_are![eq(&7), eq(&8)]);
}

/// No source keeps the started edition any more: the newest one is started instead of
/// requesting the old one forever.
#[gtest]
fn an_edition_that_is_gone_gives_way_to_the_newest() {
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.next_request(NOW);
    let received = download.handle_result(NOW, PartResult::Part(part(&edition(7, 3), 0)));
    assert_that!(received, ok(none()));
    download.announced(1, 9, 0);
    assert_that!(get(&mut download, &[edition(9, 2)]), elements_are![eq(&9)]);
}

/// All control instances are back without the edition that they announced, after losing
/// their disks. When they were asked for it again at once, as fast as messages travel,
/// they had no time to restore their state, and the edition that they do have was never
/// downloaded.
#[gtest]
fn a_source_without_its_announced_edition_is_not_asked_until_it_announces_again() {
    let mut download = Download::default();
    download.announced(1, 9, 0);
    download.announced(2, 9, 1);
    download.announced(3, 7, 2);
    let mut asked = 0;
    while let Some(ask) = download.next_request(NOW).filter(|ask| ask.number == 9) {
        asked += 1;
        assert_that!(asked, le(2), "asked {:?}", ask.source);
        assert_that!(download.handle_result(NOW, PartResult::Missing), ok(none()));
    }
    let received = download.handle_result(NOW, PartResult::Part(part(&edition(7, 1), 0)));
    assert_that!(received, ok(some(anything())));
    download.announced(1, 9, 0);
    assert_that!(get(&mut download, &[edition(9, 1)]), elements_are![eq(&9)]);
}

/// All parts have arrived, but the text does not have the announced hash: a part was
/// replaced by another valid one on its way. Nothing of it is put into force.
#[gtest]
fn parts_that_make_another_text_are_dropped() {
    let (one, other) = (edition(7, 1), edition(8, 1));
    let mut forged = part(&other, 0);
    forged.number = 7;
    forged.digest = part(&one, 0).digest;
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.next_request(NOW);
    let received = download.handle_result(NOW, PartResult::Part(forged));
    assert_that!(received, err(eq(&BadPart::HashMismatch)));
}

/// Two control instances hold different texts under one number. Joined they would make
/// routes that no operator wrote.
#[gtest]
fn parts_of_two_texts_are_not_joined() {
    let (one, mut other) = (edition(7, 3), edition(8, 3));
    other.number = 7;
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.next_request(NOW);
    let received = download.handle_result(NOW, PartResult::Part(part(&one, 0)));
    assert_that!(received, ok(none()));
    let next = download.next_request(NOW).expect("the second part");
    let received = download.handle_result(NOW, PartResult::Part(part(&other, next.from)));
    assert_that!(received, err(eq(&BadPart::OtherText)));
    let anew = download.next_request(NOW).expect("it is requested again");
    assert_that!(anew.from, eq(0));
}

#[gtest]
fn a_damaged_part_is_dropped() {
    let mut damaged = part(&edition(7, 1), 0);
    damaged.packed = damaged.packed.slice(..damaged.packed.len() / 2);
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.next_request(NOW);
    let received = download.handle_result(NOW, PartResult::Part(damaged));
    assert_that!(received, err(anything()));
}

/// A source refuses connections. The others are asked until it has had time to recover;
/// if there is no other, it is asked nevertheless.
#[gtest]
fn a_source_that_failed_comes_last_for_a_while() {
    let mut download = Download::default();
    download.announced(1, 7, 0);
    download.announced(2, 7, 9);
    let source = |download: &mut Download<u8>, now| {
        let ask = download.next_request(now).expect("a source");
        assert_that!(download.handle_result(now, PartResult::Failed), ok(none()));
        ask.source
    };
    assert_that!(source(&mut download, NOW), eq(1));
    assert_that!(source(&mut download, NOW), eq(2));
    assert_that!(source(&mut download, NOW), eq(1));
    let later = NOW + Duration::from_secs(5);
    assert_that!(source(&mut download, later), eq(1));
}

/// A pseudo-random generator, so that a failing run can be reproduced by its seed.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = base::stable_hash(&[&self.0.to_le_bytes()]);
        self.0 % bound
    }
}

/// Sources forget old editions, lag behind each other, refuse and do not answer, while
/// new editions are published. Every complete edition is as published, numbers only rise,
/// and in the end the newest one is there.
fn random(seed: u64) {
    let mut draw = Draw(seed);
    let mut published: Vec<Edition> = Vec::new();
    let mut at: BTreeMap<u8, usize> = (0..3).map(|source| (source, 0)).collect();
    let mut download = Download::default();
    let mut held = 0;
    let mut now = NOW;
    for step in 0..600 {
        now = now + Duration::from_millis(draw.below(200));
        let calm = step >= 400;
        if !calm && draw.below(4) == 0 {
            let number = published.last().map_or(0, |e| e.number) + 1 + draw.below(3);
            published.push(edition(number, draw.below(4) as usize));
        }
        let source = draw.below(3) as u8;
        if !calm && draw.below(5) == 0 {
            download.remove_source(source);
        } else {
            let known = at.get_mut(&source).unwrap();
            *known += draw.below((published.len() - *known + 1) as u64) as usize;
            if calm {
                *known = published.len();
            }
            let newest = known.checked_sub(1).map_or(0, |i| published[i].number);
            download.announced(source, newest, u64::from(source));
        }
        let Some(ask) = download.next_request(now) else {
            continue;
        };
        let kept = &published[..at[&ask.source]];
        let kept = &kept[kept.len().saturating_sub(KEPT)..];
        let found = kept.iter().find(|e| e.number == ask.number);
        let got = match (found, draw.below(4)) {
            (_, 0) if !calm => PartResult::Failed,
            (Some(found), _) => PartResult::Part(part(found, ask.from)),
            (None, _) => PartResult::Missing,
        };
        let received = download.handle_result(now, got).expect("sound parts");
        if let Some((number, text)) = received {
            assert!(number > held, "seed {seed}: {number} after {held}");
            let meant = published.iter().find(|e| e.number == number).unwrap();
            assert_eq!(text, meant.body, "seed {seed}");
            held = number;
        }
    }
    let newest = published.last().map_or(0, |e| e.number);
    assert_eq!(held, newest, "seed {seed}: the newest edition arrived");
}

#[gtest]
fn the_newest_edition_comes_through_random_trouble() {
    for seed in 0..200 {
        random(seed);
    }
}
