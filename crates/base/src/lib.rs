//! Basic types shared by all crates: names, sizes, times, request classes and verdicts.
//!
//! This crate uses no clock, socket or thread. A [`Time`] is always passed in by the
//! caller, so that simulations can drive the decision logic with a clock of their own.

extern crate self as base;

mod account;
mod class;
mod derives;
mod fingerprint;
mod machine;
mod marks;
mod name;
mod number;
mod rate;
mod size;
mod software;
mod time;
mod verdict;

#[doc(hidden)]
pub use serde;

pub use crate::marks::{Expected as ExpectedMark, count as count_mark, hits as mark_hits};
pub use crate::{
    account::{AccountName, BadAccountName},
    class::{BadClass, Class, Mark},
    fingerprint::{BadFingerprint, Fingerprint},
    machine::{BadMachine, Machine, RawMachine},
    name::{
        AdapterName, BadName, BaseName, BrandName, ChangeId, InstanceName, NAME_MAX, PoolName,
        ServiceName, StableHash, TargetName, ZoneName, stable_hash,
    },
    number::{AdapterKey, AdapterNo, BrandNo, InstanceNo, TargetNo, Ticket},
    rate::{BadRequestRate, RequestRate},
    size::{
        BadNumber, Bytes, Descriptors, Fence, Incarnation, PerSecond, Seed, TextVersion, Tokens,
        Version,
    },
    software::{BadSoftwareVersion, SoftwareVersion},
    time::{DriftMargin, Time},
    verdict::{BadVerdict, Failure, Refusal, Verdict},
};
