//! Which software version began a stream, and which one targets run: what entry instances
//! tell control instances, and ask them.
//!
//! The calls are of their own, so that instances of earlier builds can read all others.

use std::time::Duration;

use base::{Fingerprint, SoftwareVersion, record};

record! {
    /// Entry to control: streams that have begun, and what streams that go on need.
    #[derive(Default)]
    pub struct StreamSync {
        /// Revision of the software of targets that the entry instance has from this control
        /// instance; see [`StreamSynced::revision`].
        pub revision: u64,
        /// Streams that have begun since the last report.
        pub begun: Vec<BegunStreams>,
        /// Adapters that streams need to go on.
        pub wants: Vec<SoftwareWant>,
    }

    /// Streams of one origin that have begun.
    pub struct BegunStreams {
        /// Where they began.
        pub origin: StreamOrigin,
        /// Keys of the streams.
        pub keys: Vec<Fingerprint>,
    }

    /// Where a stream began and can go on.
    #[derive(PartialOrd, Ord)]
    pub struct StreamOrigin {
        /// The service.
        pub service: String,
        /// The software version of the target that made its first event.
        pub software: SoftwareVersion,
    }

    /// A software version that targets of a service run.
    #[derive(PartialOrd, Ord)]
    pub struct ServiceSoftware {
        /// The service.
        pub service: String,
        /// The version; `None` for targets that name none.
        pub software: Option<SoftwareVersion>,
    }

    /// A question about a stream whose caller has part of it.
    pub struct FindStream {
        /// Names the stream; absent if its caller names no attempt that began it.
        pub key: Option<Fingerprint>,
        /// The only service that it may have come from; absent if there are several.
        pub service: Option<String>,
    }

    /// What a control instance knows of a stream.
    #[derive(Default)]
    pub struct FoundStream {
        /// Where it began, if that is known.
        pub origin: Option<StreamOrigin>,
        /// Software versions of the service that this control instance knows of and that may
        /// have begun a stream; `None` for targets that name none.
        pub listed: Vec<Option<SoftwareVersion>>,
        /// Zones all of whose versions are in `listed`. Of other zones it may know too few.
        pub covered: Vec<String>,
        /// Targets whose process was reported to have ended lately, and how long ago.
        pub ended: Vec<(String, Duration)>,
    }

    /// An adapter that a stream needs at a target of one software version.
    #[derive(PartialOrd, Ord)]
    pub struct SoftwareWant {
        /// The adapter.
        pub adapter: String,
        /// The software version.
        pub software: SoftwareVersion,
    }

    /// The answer to [`StreamSync`].
    #[derive(Default)]
    pub struct StreamSynced {
        /// Targets whose software was learned after [`StreamSync::revision`].
        pub software: Vec<TargetSoftware>,
        /// Number of the last of these changes, counted within one incarnation of the
        /// control instance, of which the upper half is the number.
        pub revision: u64,
    }

    /// The software of a target.
    pub struct TargetSoftware {
        /// The target, by id.
        pub target: String,
        /// The version; `None` if the platform's list names none.
        pub software: Option<SoftwareVersion>,
    }
}

/// Bits of a revision that count changes within one incarnation.
const CHANGE_BITS: u32 = 32;

/// Returns the revision before the first change of an incarnation.
#[must_use]
pub fn first_revision(incarnation: u32) -> u64 {
    u64::from(incarnation) << CHANGE_BITS
}

impl StreamSynced {
    /// Returns the number of the control instance's incarnation, which differs between them:
    /// what an earlier one was told may be lost.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.revision >> CHANGE_BITS
    }
}
