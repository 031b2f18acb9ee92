//! Log and snapshot files of a control instance, under one data folder.
//!
//! | file | content |
//! | --- | --- |
//! | `lock` | locked while a process uses the folder |
//! | `log.N` | identity of the replica, then its records; `N` increases with each snapshot |
//! | `snapshot.N` | the snapshot that `log.N` continues, if it does |
//! | `streams.N` | where streams began; see [`Journal`] |
//! | `reserve` | reserved space, deleted so that votes can still be written to a full disk |
//! | `damaged.L` | corrupt files, moved aside when incarnation `L` started |
//!
//! A folder is opened once at startup ([`open()`]). From then on a thread writes to it
//! ([`Writer`]) and reports which writes are durable.

mod calls;
mod folder;
mod journal;
mod open;
mod writer;

pub use crate::{
    calls::SystemCalls,
    folder::Folder,
    journal::Journal,
    open::{OpenOutcome, Opened, open},
    writer::{Report, Writer},
};
