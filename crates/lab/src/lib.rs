//! Starts the daemons, and stand-ins for the outside systems, as processes on the
//! loopback interface: for the demo, the load tool and process-level tests.
//!
//! Not part of the product. A [`Lab`] is a small but complete deployment; dropping
//! it kills every process that it started.

mod crowd;
mod deployment;
mod http;
mod links;
mod process;
mod usage;

pub use crate::{
    crowd::{Crowd, Script},
    deployment::{Engine, Instance, Lab, Plan, until},
    http::{Caller, Chat, Reply},
    links::Links,
    process::{Process, binary, free_port},
    usage::{Usage, Watch},
};
