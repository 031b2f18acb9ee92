//! Calls between our own processes.
//!
//! Every call is small and answered at once; bulk (bodies and streams of
//! requests) goes over HTTP connections of its own and never waits here.

use std::time::Duration;

use base::{
    AdapterName, BrandName, Fence, Incarnation, InstanceName, TargetName, TextVersion, Version,
    ZoneName, record,
};
use bytes::Bytes;

use crate::{
    fleet::{Part, Sync, Synced},
    operator::{Applied, Apply, Explain, Explained},
    patch::Patch,
};

record! {
    /// A call from one process to another.
    pub enum Call {
        /// Entry to control: alive, and asks for leases.
        Beat(Beat),
        /// Anyone to anyone: asks which version of the text is in force there.
        Version,
        /// Anyone to anyone: asks for the newest text.
        Text {
            /// The version that the asker has.
            have: TextVersion,
        },
        /// Entry to control: claims a marked request before it is sent.
        Claim(Claim),
        /// Entry to control: what became of a claimed request.
        Settle(Settle),
        /// Control to control: a change passed on to the leader.
        Apply(Apply),
        /// Control to control: a message of the replicated log.
        ///
        /// Failure: as a list of numbers, a message of a megabyte takes longer to
        /// write and read than it may be on its way. It is lost and sent anew
        /// without end, and no change is acknowledged. [`Bytes`] are copied as one
        /// string.
        Log(Bytes),
        /// Entry to entry of the same zone: asks it to confirm ownership.
        Confirm(Confirm),
        /// Owner to entry instances: what its engines hold.
        Residents(Residents),
        /// Owner to owner: hands over an engine.
        Handover(Handover),
        /// Control or operator to entry: stop in order.
        Drain,
        /// Operator to entry: why requests go where they do.
        Explain(Explain),
        /// Entry to the holder of orders in a zone: what is under way here, and
        /// what is missing.
        Sync(Box<Sync>),
        /// Entry to control: asks for a part of an edition.
        Edition {
            /// The edition's number.
            number: u64,
            /// Where the part begins, in bytes of the text.
            from: u64,
        },
        /// Control to leader: renews the right to give orders in zones.
        Renew {
            /// Who asks.
            instance: InstanceName,
            /// Its own zone.
            zone: String,
        },
    }

    /// The answer to a call.
    pub enum Reply {
        /// Nothing to say.
        Done,
        /// Answers [`Call::Beat`].
        Beat(BeatReply),
        /// Answers [`Call::Version`].
        Version(TextVersion),
        /// Answers [`Call::Text`] with a newer text.
        Text {
            /// Its version.
            version: TextVersion,
            /// The whole text.
            text: String,
        },
        /// Answers [`Call::Text`] with what changed since the asker's version.
        Patches {
            /// The version that comes out.
            version: TextVersion,
            /// Hash of the text that comes out; see [`crate::patch::digest`].
            digest: u64,
            /// One patch a version, oldest first.
            patches: Vec<Patch>,
        },
        /// Answers [`Call::Claim`] and [`Call::Settle`].
        Claim(ClaimReply),
        /// Answers [`Call::Apply`].
        Applied(Applied),
        /// Answers [`Call::Confirm`].
        Confirm {
            /// Whether the asker may go on for the time it asked for.
            granted: bool,
        },
        /// Answers [`Call::Sync`].
        Sync(Box<Synced>),
        /// Answers [`Call::Edition`]; nothing where that edition isn't kept.
        Edition(Option<Part>),
        /// Answers [`Call::Renew`]: zones owned, with fencing numbers.
        Renewed(Vec<(String, u64)>),
        /// Answers [`Call::Explain`]; none if the text has no such service.
        Explained(Option<Explained>),
        /// The callee can't answer; the leader may.
        Elsewhere {
            /// The leader as far as the callee knows.
            leader: Option<InstanceName>,
        },
    }

    /// A sign of life of an entry instance.
    pub struct Beat {
        /// Who.
        pub instance: InstanceName,
        /// Where.
        pub zone: ZoneName,
        /// Which life of it.
        pub incarnation: Incarnation,
        /// IP and port of its peer listener.
        pub peer: String,
        /// The text in force there.
        pub text: TextVersion,
        /// Whether it is stopping and wants no more engines.
        pub leaving: bool,
        /// Counts the beats of one life; the reply repeats it.
        pub serial: u64,
        /// The greatest serial among the replies taken in so far.
        pub heard: u64,
        /// How much of the roster it has; see [`BeatReply::roster`].
        pub roster: u64,
        /// Engines of its own zone that it can reach, from the platform's
        /// list; sent when they change or the leader asks, else absent.
        pub engines: Option<Vec<TargetName>>,
        /// Engines that it lost and still has requests on, with the fencing
        /// number that it had.
        pub busy: Vec<(TargetName, Fence)>,
        /// Loads it waits to make, for its part of the store's budget.
        pub loads: u32,
        /// What each brand got at its engines, now and then.
        pub shares: Vec<Share>,
    }

    /// What one brand got at one instance's engines since the instance started.
    pub struct Share {
        /// Whose.
        pub brand: BrandName,
        /// Tokens of answers.
        pub tokens: u64,
        /// Requests queued now.
        pub queued: u32,
        /// Requests running now.
        pub running: u32,
        /// Requests refused for load.
        pub refused: u64,
        /// Requests sent to engines.
        pub sent: u64,
        /// What those waited before, together, in milliseconds.
        pub waited_ms: u64,
    }

    /// The leader's answer to a beat.
    pub struct BeatReply {
        /// The beat's serial: a lease counts from when that beat was sent.
        pub serial: u64,
        /// The newest accepted version.
        pub text: TextVersion,
        /// Engines that the asker owns.
        pub leases: Vec<Lease>,
        /// Loads from the store that the asker may start each second, in
        /// thousandths.
        pub loads: u32,
        /// Index of the last log entry that changed instances or owners.
        pub roster: u64,
        /// Whether `peers` is everybody rather than what changed since the
        /// asker's roster.
        pub whole: bool,
        /// Entry instances that are new or changed.
        pub peers: Vec<Peer>,
        /// Entry instances that were taken off since the asker's roster.
        pub gone: Vec<InstanceName>,
        /// Whether the next beat should name the engines in reach.
        pub tell: bool,
    }

    /// A lease on one engine.
    pub struct Lease {
        /// The engine.
        pub target: TargetName,
        /// The fencing number for its orders.
        pub fence: Fence,
        /// How long it holds, from when the beat was sent.
        pub lasts: Duration,
        /// Fencing numbers of earlier owners that may still have requests
        /// running there.
        pub former: Vec<Fence>,
    }

    /// Another entry instance, as the leader knows it.
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

    /// A claim of a marked request.
    pub struct Claim {
        /// Whose key.
        pub brand: BrandName,
        /// Hash of the idempotency key; the key itself never travels.
        pub key: [u8; 16],
        /// Hash of method, path and body.
        pub body: [u8; 16],
        /// Who claims.
        pub instance: InstanceName,
        /// Tells two tries of one instance apart.
        pub attempt: u64,
        /// The key's own date in milliseconds since 1970, where it has one.
        pub dated: Option<u64>,
    }

    /// The answer to a claim.
    pub enum ClaimReply {
        /// The asker may send it, nobody else may.
        Yours,
        /// Somebody else has it under way.
        Running,
        /// It ran; its answer, where kept.
        Ran(Option<Answer>),
        /// Nobody can tell whether it ran.
        MayHaveRun,
        /// The key was used with another body.
        OtherBody,
        /// The key is older than what is remembered: refused for good.
        TooOld,
        /// Not claimed, and certainly not: come back later.
        NotNow {
            /// When.
            retry: Duration,
        },
    }

    /// A kept answer.
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content: String,
        /// The body.
        pub body: Vec<u8>,
    }

    /// What became of a claimed request.
    pub struct Settle {
        /// Whose key.
        pub brand: BrandName,
        /// Hash of the idempotency key.
        pub key: [u8; 16],
        /// Who had claimed it.
        pub instance: InstanceName,
        /// Under which attempt.
        pub attempt: u64,
        /// What became of it.
        pub fate: Fate,
    }

    /// What became of a claimed request.
    pub enum Fate {
        /// It certainly did not run: the key is free again.
        NotRun,
        /// It ran; its answer, where small enough to keep.
        Ran(Option<Answer>),
        /// Nobody can tell.
        MayHaveRun,
    }

    /// Asks a zone-mate to confirm ownership while the leader is away.
    pub struct Confirm {
        /// Who asks.
        pub instance: InstanceName,
        /// For which engine.
        pub target: TargetName,
        /// Under which fencing number.
        pub fence: Fence,
        /// For how long, from when it was asked.
        pub lasts: Duration,
    }

    /// What an owner's engine holds and how busy it is.
    pub struct Residents {
        /// The owner.
        pub owner: InstanceName,
        /// The engine.
        pub target: TargetName,
        /// The owner's fencing number; older news is dropped.
        pub fence: Fence,
        /// Counts messages under one fencing number; a hole asks for all.
        pub serial: u64,
        /// Whether `added` is everything rather than a change.
        pub whole: bool,
        /// Newly resident.
        pub added: Vec<(AdapterName, Version)>,
        /// No longer resident.
        pub removed: Vec<(AdapterName, Version)>,
        /// Critical and live requests admitted and not ended.
        pub in_flight: u32,
        /// Batch requests admitted and not ended; they wait or give way.
        pub queued: u32,
        /// Thousandths of a live use a second that the next load there would
        /// evict; zero with a free slot.
        pub worth: u32,
    }

    /// A planned handover of an engine.
    pub struct Handover {
        /// The engine.
        pub target: TargetName,
        /// The fencing number of the owner that leaves it.
        pub fence: Fence,
        /// Adapters with requests still running, which stay with the old owner.
        pub in_use: Vec<(AdapterName, Version)>,
    }
}
