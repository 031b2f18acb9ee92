//! Messages about streams and the software of targets.

use base::{BadSoftwareVersion, Fingerprint, SoftwareVersion};
use googletest::prelude::*;
use wire::stream::{BegunStreams, SoftwareWant, StreamOrigin, StreamSync};

/// Most bytes of a report for each of many streams.
const BYTES_PER_STREAM: usize = 34;

#[gtest]
fn a_report_of_streams_arrives_as_sent_and_is_small() {
    let software: SoftwareVersion = "v1.2".parse().unwrap();
    let keys = (0_u8..100).map(|no| Fingerprint::of(&[&[no]]));
    let sync = StreamSync {
        revision: 7,
        begun: vec![BegunStreams {
            origin: StreamOrigin {
                service: "s".to_owned(),
                software: software.clone(),
            },
            keys: keys.collect(),
        }],
        wants: vec![SoftwareWant {
            adapter: "m/x".to_owned(),
            software,
        }],
    };
    let raw = rmp_serde::to_vec(&sync).unwrap();
    expect_that!(raw.len(), lt(100 * BYTES_PER_STREAM));
    expect_that!(rmp_serde::from_slice::<StreamSync>(&raw), ok(eq(&sync)));
}

fn check_version((raw, expected): (String, std::result::Result<(), BadSoftwareVersion>)) {
    let parsed = raw.parse::<SoftwareVersion>();
    assert_that!(
        parsed.map(|version| assert_eq!(version.to_string(), raw)),
        eq(&expected)
    );
}

base::cases! {
    /// Guards against versions that name nothing or fill the memory.
    software_versions_are_checked: check_version => {
        usual: ("v1.2-rc.1+7".to_owned(), Ok(())),
        other_letters: ("versión 2".to_owned(), Ok(())),
        empty: (String::new(), Err(BadSoftwareVersion::Empty)),
        a_megabyte: ("v".repeat(1 << 20), Err(BadSoftwareVersion::TooLong(1 << 20))),
    }
}
