//! Replicated log of the control instances, without clock, socket or disk.
//!
//! A [`Replica`] is a state machine without I/O. The embedder passes in received messages
//! and the current time, and carries out the outputs: messages to send, records to write,
//! commands to apply. Tests can therefore delay any message, timer or disk write.
//!
//! The algorithm is Raft with pre-vote, check-quorum, leases, learners and
//! single-replica membership changes; `docs/design/log.md` gives the reasons.

mod blob;
mod entry;
mod id;
mod io;
mod journal;
mod message;
mod record;
mod replica;
mod settings;

pub use crate::{
    blob::Blob,
    entry::{Entry, Members, Payload, Position, Snapshot},
    id::{Index, ReplicaId, Term, WriteNo},
    io::{HaltReason, Input, Output, Outputs, RejectReason, Rejected},
    message::{BadMessage, Message, Outcome, VoteKind},
    record::{
        BadSnapshot, FORMAT, Header, Record, Recovered, Tail, encode_first_log, encode_frame,
        encode_header, encode_next_log, encode_snapshot, recover, recover_snapshot,
    },
    replica::{Replica, Restored},
    settings::{BadSettings, RawSettings, Settings},
};
