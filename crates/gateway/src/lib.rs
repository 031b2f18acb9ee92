//! Forwarding and adapter placement decisions for requests routed by host and path.
//! Nothing here reads a clock, opens a socket or starts a thread; the caller passes in
//! the time and carries out the results.
//!
//! An entry instance (the process that receives callers' requests) finds the route in the
//! [`table`], chooses a target from its [`view`] and asks the [`budget`] whether it may
//! retry. It gets newer route tables by [`download`] and newer adapter versions from
//! [`revisions`]. In each availability zone one control instance is the [`zone_owner`]
//! that gives orders to the engines while its [`zone_lease`] is valid: it collects which
//! requests run and which adapters are missing on all entry instances, and decides which
//! engine loads which adapter.

pub mod brittle;
pub mod budget;
pub mod download;
pub mod explain;
pub mod hedge;
pub mod helpers;
pub mod home;
pub mod known_versions;
pub mod list_fallback;
pub mod reach;
pub mod revisions;
pub mod silence;
pub mod stop;
pub mod streams;
pub mod table;
pub mod target_limit;
pub mod timing;
pub mod view;
pub mod warmup;
pub mod zone_lease;
pub mod zone_owner;
