//! Remote calls between entry instances, control instances and operators' tools.
//!
//! Calls are small and answered immediately. Bodies and streams of requests go over
//! separate HTTP connections, so that they never delay a call.
//!
//! A marked request is an at-most-once request: its caller gave it an idempotency key,
//! and an entry instance must claim the key at the leader before it sends the request
//! to a target.
//!
//! Enum variants are encoded by name. Some keep an older name in the encoding (by
//! `serde(rename)`), so that instances of different builds understand each other. Structs
//! are encoded by position.

use std::time::Duration;

use base::{
    AdapterName, BrandName, Fence, Incarnation, InstanceName, TargetName, TextVersion, Version,
    ZoneName, record,
};
use bytes::Bytes;

use crate::{
    account::{OthersUsage, Usage},
    admission::{AdmissionReport, AdmissionTold},
    fleet::{Part, Sync, Synced},
    helper::{EntryReport, Helper},
    limit::{LimitReport, Permit},
    list::{SyncedLists, SyncedStarts, ZoneList, ZoneStarts},
    operator::{Applied, Apply, Explain, Explained},
    patch::Patch,
    quarantine::{CrashReport, Quarantine},
    rest::RestReport,
    retry::{RetryAnswer, RetryReport},
    stream::{FindStream, FoundStream, ServiceSoftware, StreamSync, StreamSynced},
};

record! {
    /// A call from one process to another.
    pub enum Call {
        /// Entry to control: heartbeat, which also renews leases on engines.
        #[serde(rename = "Beat")]
        Heartbeat(Heartbeat),
        /// Any instance to any other: asks which version of the configuration text is in
        /// force there.
        Version,
        /// Any instance to any other: asks for the newest configuration text.
        Text {
            /// The version that the requester has.
            have: TextVersion,
        },
        /// Entry to control: claims a marked request before it is sent.
        Claim(Claim),
        /// Entry to control: reports the outcome of a claimed request.
        Settle(Settle),
        /// Control to control: an operator's change, forwarded to the leader.
        Apply(Apply),
        /// Control to control: an encoded message of the replicated log.
        ///
        /// The payload is [`Bytes`], which are encoded as one binary string. As a
        /// `Vec<u8>` they would be encoded as a list of numbers: encoding and decoding a
        /// message of a megabyte would then take longer than its timeout, so that it is
        /// sent again forever and no change is ever acknowledged.
        Log(Bytes),
        /// Entry to its zone peers: asks them to confirm ownership of an engine.
        Confirm(Confirm),
        /// Owner of an engine to entry instances: which adapters the engine has loaded.
        Residents(Residents),
        /// Owner to the next owner: hands over an engine.
        Handover(Handover),
        /// Control or operator to entry: finish running requests, then stop.
        Drain,
        /// Operator to entry: asks how requests of a service are routed.
        Explain(Explain),
        /// Entry to zone owner: reports requests under way and adapters that are needed.
        Sync(Box<Sync>),
        /// As [`Call::Sync`], with what limited accounts have used. A call of its own, so
        /// that instances of earlier builds can read the other one.
        SyncUsage {
            /// The exchange.
            sync: Box<Sync>,
            /// What accounts have used.
            usage: Usage,
        },
        /// As [`Call::SyncUsage`], and asks how old the lists of targets are. A call of its
        /// own, so that instances of earlier builds can read the others.
        SyncLists {
            /// The exchange.
            sync: Box<Sync>,
            /// What accounts have used.
            usage: Usage,
        },
        /// As [`Call::SyncLists`], and asks when targets started. A call of its own, so that
        /// instances of earlier builds can read the others.
        SyncStarts {
            /// The exchange.
            sync: Box<Sync>,
            /// What accounts have used.
            usage: Usage,
        },
        /// As [`Call::ZoneList`], and asks when the targets started.
        ZoneStarts(String),
        /// Entry to control: asks for the platform's list of this zone, which its owner
        /// doesn't send.
        ZoneList(String),
        /// Entry to control: asks for a part of an edition (a numbered configuration).
        Edition {
            /// The edition's number.
            number: u64,
            /// Offset of the part in the edition's text, in bytes.
            from: u64,
        },
        /// Entry to zone owner: the limits that targets name, and a request for a permit. A
        /// call of its own, as it is made for single requests of callers.
        Limits(LimitReport),
        /// Entry to control: whether the caller can reach targets for other entry instances,
        /// and which ones it may need itself.
        Entries(EntryReport),
        /// Entry to control: streams that have begun, and adapters that streams need to go on.
        Streams(StreamSync),
        /// Entry to control: asks where a stream began.
        FindStream(FindStream),
        /// Entry to control: retries that the caller wants, and those that it lends. A call of
        /// its own, made only where lending is on.
        Retries(RetryReport),
        /// Entry to control: work that was offered and that has ended. A call of its own, made
        /// only where admission is on.
        Admission(AdmissionReport),
        /// Control to leader: renews the caller's zone leases.
        Renew {
            /// The control instance that asks.
            instance: InstanceName,
            /// Its own zone.
            zone: String,
        },
        /// Entry to zone owner: targets that have asked the caller for rest. A call of its own,
        /// made only where some have.
        Rests(RestReport),
        /// Zone owner to leader: the software versions that are listed in the caller's zones,
        /// to be noted in the log.
        Software(Vec<ServiceSoftware>),
    }

    /// The answer to a call.
    pub enum Reply {
        /// The call was carried out; there is nothing to return.
        Done,
        /// Answers [`Call::Heartbeat`].
        #[serde(rename = "Beat")]
        Heartbeat(HeartbeatReply),
        /// Answers [`Call::Version`].
        Version(TextVersion),
        /// Answers [`Call::Text`] with a newer text.
        Text {
            /// Its version.
            version: TextVersion,
            /// The full text.
            text: String,
        },
        /// Answers [`Call::Text`] with the changes since the requester's version.
        Patches {
            /// The version that the last patch leads to.
            version: TextVersion,
            /// Hash of the text that the last patch leads to; see
            /// [`crate::patch::digest`].
            digest: u64,
            /// One patch for each version, oldest first.
            patches: Vec<Patch>,
        },
        /// Answers [`Call::Claim`] and [`Call::Settle`].
        Claim(ClaimReply),
        /// Answers [`Call::Apply`].
        Applied(Applied),
        /// Answers [`Call::Confirm`].
        Confirm {
            /// Whether the requester may use the engine for the time it asked for.
            granted: bool,
        },
        /// Answers [`Call::Sync`].
        Sync(Box<Synced>),
        /// Answers [`Call::SyncUsage`].
        SyncUsage {
            /// The answer to the exchange.
            synced: Box<Synced>,
            /// What the others have used of the accounts that the requester named.
            others: Vec<OthersUsage>,
        },
        /// Answers [`Call::SyncLists`].
        SyncLists(Box<SyncedLists>),
        /// Answers [`Call::SyncStarts`].
        SyncStarts(Box<SyncedStarts>),
        /// Answers [`Call::ZoneStarts`]; `None` if the list can't be read.
        ZoneStarts(Option<ZoneStarts>),
        /// Answers [`Call::ZoneList`]; `None` if the list can't be read.
        ZoneList(Option<ZoneList>),
        /// Answers [`Call::Edition`]; `None` if that edition isn't kept.
        Edition(Option<Part>),
        /// Answers [`Call::Limits`]; `None` if it asked for no permit.
        Limits(Option<Permit>),
        /// Answers [`Call::Streams`].
        Streams(StreamSynced),
        /// Answers [`Call::FindStream`].
        FoundStream(FoundStream),
        /// Answers [`Call::Entries`].
        Entries(Vec<Helper>),
        /// Answers [`Call::Retries`].
        Retries(RetryAnswer),
        /// Answers [`Call::Admission`].
        Admission(AdmissionTold),
        /// Answers [`Call::Renew`]: the zones that the caller owns, with its fencing numbers.
        Renewed(Vec<(String, u64)>),
        /// Answers [`Call::Software`]: all versions in the log that may have begun a stream.
        Software(Vec<ServiceSoftware>),
        /// Answers [`Call::Explain`]; `None` if the text has no such service.
        Explained(Option<Explained>),
        /// The callee can't answer this call; ask the leader instead.
        #[serde(rename = "Elsewhere")]
        Redirect {
            /// The leader, if the callee knows one.
            leader: Option<InstanceName>,
        },
    }

    /// A heartbeat of an entry instance.
    pub struct Heartbeat {
        /// The sender.
        pub instance: InstanceName,
        /// The sender's zone.
        pub zone: ZoneName,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// IP and port of the sender's peer listener.
        pub peer: String,
        /// Version of the configuration text in force at the sender.
        pub text: TextVersion,
        /// Whether the sender is stopping and takes no more engines.
        pub leaving: bool,
        /// Number of this heartbeat within the incarnation; the reply returns it.
        pub serial: u64,
        /// The greatest serial among the replies processed so far.
        pub heard: u64,
        /// The state of the roster that the sender has, from the last
        /// [`HeartbeatReply::roster`].
        pub roster: u64,
        /// Engines of its own zone that the sender can reach, from the platform's list.
        /// Sent when they change or when the leader asks for them, otherwise absent.
        pub engines: Option<Vec<TargetName>>,
        /// Engines that the sender no longer owns but still has requests on, with the
        /// fencing number that it had.
        pub busy: Vec<(TargetName, Fence)>,
        /// Number of adapter loads that wait for the sender's share of the load rate of
        /// the adapter store.
        pub loads: u32,
        /// Usage of the sender's engines by brand; not sent with every heartbeat.
        pub shares: Vec<Share>,
        /// Requests that crash targets. An empty one is left out, so that instances of
        /// earlier builds can read the message.
        #[serde(default, skip_serializing_if = "CrashReport::is_empty")]
        pub crashes: Box<CrashReport>,
    }

    /// Usage of one instance's engines by one brand, since the instance started.
    pub struct Share {
        /// The brand.
        pub brand: BrandName,
        /// Tokens generated in answers.
        pub tokens: u64,
        /// Requests queued now.
        pub queued: u32,
        /// Requests running now.
        pub running: u32,
        /// Requests refused because of overload.
        pub refused: u64,
        /// Requests sent to engines.
        pub sent: u64,
        /// Total time that the sent requests had waited in the queue, in milliseconds.
        pub waited_ms: u64,
    }

    /// The leader's answer to a heartbeat.
    pub struct HeartbeatReply {
        /// The serial of the heartbeat; leases count from the time it was sent.
        pub serial: u64,
        /// The newest accepted version of the configuration text.
        pub text: TextVersion,
        /// Leases on the engines that the requester owns.
        pub leases: Vec<Lease>,
        /// Loads from the adapter store that the requester may start each second, in
        /// thousandths.
        pub loads: u32,
        /// State of the roster (the list of entry instances and their engines): index of
        /// the last log entry that changed instances or owners.
        pub roster: u64,
        /// Whether `peers` lists all entry instances rather than the changes since the
        /// requester's roster.
        pub full: bool,
        /// Entry instances that are new or changed.
        pub peers: Vec<Peer>,
        /// Entry instances that were removed since the requester's roster.
        pub removed: Vec<InstanceName>,
        /// Whether the next heartbeat should contain [`Heartbeat::engines`].
        pub want_engines: bool,
        /// Requests that have to be refused. An empty one is left out, so that instances
        /// of earlier builds can read the message.
        #[serde(default, skip_serializing_if = "Quarantine::is_empty")]
        pub quarantine: Quarantine,
    }

    /// A lease on one engine.
    pub struct Lease {
        /// The engine.
        pub target: TargetName,
        /// The fencing number for orders to the engine.
        pub fence: Fence,
        /// Duration of the lease, from the time the heartbeat was sent.
        pub lasts: Duration,
        /// Fencing numbers of earlier owners that may still have requests
        /// running there.
        pub former: Vec<Fence>,
    }

    /// An entry instance other than the requester, as the leader knows it.
    pub struct Peer {
        /// Its name.
        pub instance: InstanceName,
        /// Its zone.
        pub zone: ZoneName,
        /// IP and port of its peer listener.
        pub address: String,
        /// Engines that it owns.
        pub owns: Vec<(TargetName, Fence)>,
    }

    /// A claim of a marked request: asks for the right to send it once.
    pub struct Claim {
        /// The brand whose key it is.
        pub brand: BrandName,
        /// Hash of the idempotency key; the key itself is never sent.
        pub key: [u8; 16],
        /// Hash of the request's method, path and body.
        pub body: [u8; 16],
        /// The entry instance that claims.
        pub instance: InstanceName,
        /// Number that differs between attempts of one instance.
        pub attempt: u64,
        /// The date that the key itself contains, in milliseconds since 1970, if any.
        pub dated: Option<u64>,
    }

    /// The answer to a claim.
    pub enum ClaimReply {
        /// The requester, and nobody else, may send the request.
        #[serde(rename = "Yours")]
        Granted,
        /// Another attempt has claimed the key and is under way.
        Running,
        /// The request ran; contains its answer if that was kept.
        Ran(Option<Answer>),
        /// The request may have run: its outcome is unknown.
        MayHaveRun,
        /// The key was used with another body.
        OtherBody,
        /// The key is dated before the oldest remembered one, so it can never be claimed.
        TooOld,
        /// The key was certainly not claimed; retry later.
        #[serde(rename = "NotNow")]
        Deferred {
            /// When to retry, counted from the answer.
            retry: Duration,
        },
    }

    /// The answer of a marked request, kept for retries of that request.
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content: String,
        /// The body.
        pub body: Vec<u8>,
    }

    /// Reports the outcome of a claimed request.
    pub struct Settle {
        /// The brand whose key it is.
        pub brand: BrandName,
        /// Hash of the idempotency key.
        pub key: [u8; 16],
        /// The entry instance that had claimed the key.
        pub instance: InstanceName,
        /// The attempt that had claimed the key; see [`Claim::attempt`].
        pub attempt: u64,
        /// The outcome.
        pub outcome: ClaimOutcome,
    }

    /// The outcome of a claimed request.
    pub enum ClaimOutcome {
        /// It certainly did not run: the key can be claimed again.
        NotRun,
        /// It ran; contains its answer if that is small enough to keep.
        Ran(Option<Answer>),
        /// Unknown outcome.
        MayHaveRun,
    }

    /// Asks a zone peer to confirm ownership of an engine while the leader is unreachable.
    pub struct Confirm {
        /// The owner that asks.
        pub instance: InstanceName,
        /// The engine.
        pub target: TargetName,
        /// The owner's fencing number.
        pub fence: Fence,
        /// Requested duration, from the time of the call.
        pub lasts: Duration,
    }

    /// The adapters that an engine has loaded and its load, as its owner knows them.
    pub struct Residents {
        /// The engine's owner.
        pub owner: InstanceName,
        /// The engine.
        pub target: TargetName,
        /// The owner's fencing number; messages with an older one are dropped.
        pub fence: Fence,
        /// Number of the message under this fencing number; a receiver that sees a gap
        /// asks for the full state.
        pub serial: u64,
        /// Whether `added` is the full state rather than a delta.
        pub full: bool,
        /// Adapters loaded since the previous message.
        pub added: Vec<(AdapterName, Version)>,
        /// Adapters unloaded since the previous message.
        pub removed: Vec<(AdapterName, Version)>,
        /// Critical and live requests that were admitted and haven't ended.
        pub in_flight: u32,
        /// Batch requests that were admitted and haven't ended. More urgent requests
        /// preempt them.
        pub queued: u32,
        /// Cost of the next load there: how often the adapter that it would evict is
        /// used by live requests, in thousandths of a use a second. Zero if a slot is
        /// free.
        pub evict_cost: u32,
    }

    /// A planned handover of an engine to its next owner.
    pub struct Handover {
        /// The engine.
        pub target: TargetName,
        /// The fencing number of the old owner.
        pub fence: Fence,
        /// Adapters that requests of the old owner still use; the new owner must not
        /// unload them yet.
        pub in_use: Vec<(AdapterName, Version)>,
    }
}
