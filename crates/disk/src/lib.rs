//! Log and snapshot files of a control instance, under one data folder.
//!
//! | file | content |
//! | --- | --- |
//! | `lock` | locked while a process uses the folder |
//! | `log.N` | identity of the replica, then its records; `N` grows by each snapshot |
//! | `snapshot.N` | the snapshot that `log.N` continues, if it does |
//! | `reserve` | space that lets a full disk still take votes |
//! | `damaged.L` | files that were moved aside when life `L` began |
//!
//! A folder is opened once at the start ([`open()`]); from then on a thread
//! writes to it ([`Writer`]) and reports what is durable.

mod calls;
mod folder;
mod open;
mod writer;

pub use crate::{
    calls::Calls,
    folder::Folder,
    open::{Fate, Opened, open},
    writer::{Done, Writer},
};
