//! Stand-ins for outside systems, used by demos and tests and not shipped.
//!
//! Each stand-in can run as a process of the program `standin`, or on the runtime of a
//! test by a function of this crate. Engine, service, store and gate answer
//! `GET /admin/stats`; engine, service and gate take faults by `POST /admin/...`, and the
//! platform takes changes by `POST /admin`.

pub mod engine;
pub mod gate;
pub mod platform;
mod server;
pub mod service;
mod stall;
pub mod store;

pub use server::{Running, listen};
pub use stall::Stall;
