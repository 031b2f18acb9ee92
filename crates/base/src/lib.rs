//! Types that every part of the system shares: names, sizes, times, request
//! classes and verdicts.
//!
//! Nothing here knows a clock, a socket or a thread. A value of [`Time`] is
//! always handed in by whoever drives the decisions.

extern crate self as base;

mod class;
mod derives;
mod marks;
mod name;
mod no;
mod size;
mod time;
mod verdict;

#[doc(hidden)]
pub use serde;

pub use crate::marks::{Expected as ExpectedMark, count as count_mark, hits as mark_hits};
pub use crate::{
    class::{BadClass, Class, Mark},
    name::{
        AdapterName, BadName, BaseName, BrandName, ChangeId, InstanceName, NAME_MAX, PoolName,
        ServiceName, StableHash, TargetName, ZoneName, stable_hash,
    },
    no::{AdapterKey, AdapterNo, BrandNo, InstanceNo, TargetNo, Ticket},
    size::{BadNumber, Bytes, Fence, Incarnation, PerSecond, Seed, TextVersion, Tokens, Version},
    time::{DriftMargin, Time},
    verdict::{BadVerdict, Failure, Refusal, Verdict},
};
