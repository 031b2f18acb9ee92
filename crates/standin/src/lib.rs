//! Stand-ins of the outside systems, for demos and tests; no part of what
//! ships.
//!
//! Each is a process of its own by the binary `standin`, and a function here,
//! so that a test may start it on its own runtime. All answer
//! `GET /admin/stats` and take faults by `POST /admin/...`.

pub mod engine;
pub mod gate;
pub mod platform;
pub mod service;
mod site;
pub mod store;

pub use site::{Running, listen};
