//! Starts the daemons, and stand-ins for the outside systems, as processes on the
//! loopback interface: for the demo, the load tool and process-level tests.
//!
//! Not part of the product. A [`Lab`] is a small but complete deployment; dropping
//! it kills every process that it started.

mod deployment;
mod http;
mod links;
mod process;

pub use crate::{
    deployment::{Engine, Instance, Lab, Plan, until},
    http::{Caller, Chat, Reply},
    links::Links,
    process::{Process, binary, free_port},
};
