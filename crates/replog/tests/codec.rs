//! Decoding of bytes from disk or network, including malformed ones.

use base::{Incarnation, InstanceName};
use proptest::{collection::vec, prelude::*};
use replog::{
    Blob, Entry, FORMAT, Header, Index, Members, Message, Outcome, Payload, Position, Record,
    ReplicaId, Restored, Snapshot, Tail, Term, encode_frame, encode_header, encode_snapshot,
    recover, recover_snapshot,
};

fn replica() -> impl Strategy<Value = ReplicaId> {
    ("[a-z]{1,4}", 0..5_u64).prop_map(|(name, incarnation)| ReplicaId {
        instance: name.parse::<InstanceName>().expect("a name"),
        incarnation: Incarnation(incarnation),
    })
}

fn members() -> impl Strategy<Value = Members> {
    vec(replica(), 0..4).prop_map(Members::founding)
}

fn position() -> impl Strategy<Value = Position> {
    (0..9_u64, 1..9_u64).prop_map(|(term, index)| Position {
        term: Term(term),
        index: Index(index),
    })
}

fn blob() -> impl Strategy<Value = Blob> {
    vec(any::<u8>(), 0..40).prop_map(Blob::from)
}

fn record() -> impl Strategy<Value = Record> {
    let payload = prop_oneof![
        Just(Payload::Noop),
        blob().prop_map(Payload::Command),
        members().prop_map(Payload::Members),
    ];
    let entry = (position(), payload).prop_map(|(at, payload)| Entry { at, payload });
    let vote = (0..9_u64, proptest::option::of(replica()));
    prop_oneof![
        members().prop_map(Record::Found),
        entry.prop_map(Record::Entry),
        vote.prop_map(|(term, voted)| Record::Vote {
            term: Term(term),
            voted
        }),
    ]
}

/// Generates a log file as its frames, together with the records of each.
fn frames() -> impl Strategy<Value = (Vec<Vec<u8>>, Vec<Vec<Record>>)> {
    (replica(), vec(vec(record(), 0..4), 1..6)).prop_map(|(id, batches)| {
        let header = Header {
            format: FORMAT,
            id,
            base: None,
            sealed: 0,
        };
        let mut frames = vec![encode_header(&header)];
        for (batch, seq) in batches.iter().zip(1..) {
            frames.push(encode_frame(seq, batch));
        }
        (frames, batches)
    })
}

proptest! {
    #[test]
    fn records_round_trip((frames, batches) in frames()) {
        let found = recover(&frames.concat());
        prop_assert_eq!(found.tail, Tail::Intact);
        prop_assert_eq!(found.records, batches.concat());
    }

    /// A crash may interrupt a write at any byte: everything synced before is recovered,
    /// and nothing of the torn write is.
    #[test]
    fn a_torn_frame_is_cut((frames, batches) in frames(), at in any::<prop::sample::Index>()) {
        let (last, before) = frames.split_last().expect("a header at least");
        let mut raw = before.concat();
        let whole = raw.len();
        raw.extend(&last[..at.index(last.len())]);
        let found = recover(&raw);
        let tail = if raw.len() == whole { Tail::Intact } else { Tail::Torn };
        prop_assert_eq!(found.tail, tail);
        prop_assert_eq!(found.len, whole as u64);
        prop_assert_eq!(found.records, batches[..batches.len() - 1].concat());
    }

    /// A changed byte anywhere before the last frame is detected as corruption.
    #[test]
    fn a_changed_byte_is_damage(
        (frames, _) in frames(),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let last = frames.last().map_or(0, Vec::len);
        let mut raw = frames.concat();
        let at = at.index(raw.len() - last);
        raw[at] ^= 1 << bit;
        prop_assert_eq!(recover(&raw).tail, Tail::Damaged);
    }

    /// A missing frame before the last one is detected as corruption.
    #[test]
    fn a_missing_frame_is_damage((mut frames, _) in frames(), at in any::<prop::sample::Index>()) {
        prop_assume!(frames.len() > 2);
        let middle = 1 + at.index(frames.len() - 2);
        frames.remove(middle);
        prop_assert_eq!(recover(&frames.concat()).tail, Tail::Damaged);
    }

    #[test]
    fn a_changed_snapshot_is_refused(
        (at, members, data) in (position(), members(), blob()),
        (place, bit) in (any::<prop::sample::Index>(), 0..8_u8),
        cut in any::<prop::sample::Index>(),
    ) {
        let snapshot = Snapshot { at, members, data };
        let mut raw = encode_snapshot(&snapshot);
        prop_assert_eq!(recover_snapshot(&raw), Ok(snapshot));
        prop_assert!(recover_snapshot(&raw[..cut.index(raw.len())]).is_err());
        let place = place.index(raw.len());
        raw[place] ^= 1 << bit;
        prop_assert!(recover_snapshot(&raw).is_err());
    }

    #[test]
    fn any_bytes_never_panic(raw in vec(any::<u8>(), 0..200), records in vec(record(), 0..8)) {
        let _ = recover(&raw);
        let _ = recover_snapshot(&raw);
        let _ = Message::decode(&raw);
        let _ = Restored::replay(None, records);
    }
}

/// A frame that was synced before the file was renamed into place is unreadable. No crash
/// can have torn it, so this is corruption and not a torn write.
#[test]
fn a_sealed_frame_is_never_torn() {
    base::covers!(damaged_sealed);
    let header = Header {
        format: FORMAT,
        id: ReplicaId {
            instance: "a".parse().expect("a name"),
            incarnation: Incarnation(1),
        },
        base: None,
        sealed: 1,
    };
    let mut raw = encode_header(&header);
    raw.extend(encode_frame(1, &[Record::Found(Members::default())]));
    assert_eq!(recover(&raw).tail, Tail::Intact);
    raw.pop();
    assert_eq!(recover(&raw).tail, Tail::Damaged);
}

/// A control instance may send 2 KB a second to others. With seven replicas a leader
/// sends thirty heartbeats a second, so each has to stay well below 60 bytes, also with
/// the indexes and terms of a log that has run for years.
#[test]
fn a_heartbeat_is_small() {
    let at = Position {
        term: Term(100_000),
        index: Index(100_000_000),
    };
    let beat = Message::Append {
        term: at.term,
        incarnation: Incarnation(u64::MAX),
        round: 10_000_000,
        prev: at,
        entries: Vec::new(),
        commit: at.index,
    };
    let reply = Message::AppendReply {
        term: at.term,
        round: 10_000_000,
        outcome: Outcome::Matched { upto: at.index },
        full: false,
    };
    let sizes = [beat.encode().len(), reply.encode().len()];
    assert!(sizes.iter().all(|size| *size < 60), "{sizes:?}");
}
