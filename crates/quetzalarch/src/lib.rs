//! Coordination parts of a serving layer for very many LoRA adapters, for
//! embedding.
//!
//! Every part is a state machine without I/O: it takes the current time and an
//! input, and appends the actions to carry out to a list of outputs. None has a
//! clock, a socket, a thread or a source of randomness of its own, so an embedding
//! program brings its own transport, and a test can delay or reorder any input.
//!
//! | part | job |
//! | --- | --- |
//! | [`Node`] | one entry instance: requests, queues, leases, text in force |
//! | [`Control`](control::Control) | one control instance: log, texts, claims, ownership |
//! | [`text`] | the operators' configuration text: parsing and validation |
//! | [`replog`] | the replicated log |
//! | [`owner`], [`member`] | leases on engines; membership of instances |
//! | [`place`], [`route`] | placement of adapters; routing and queueing of requests |
//! | [`request`] | one request from arrival to final answer |
//! | [`kernel`], [`wire`], [`base`] | service registry, messages, shared types |
//!
//! `examples/embed.rs` runs a node on a transport of its own; see also
//! `docs/embedding.md`.
//!
//! ```
//! use std::collections::BTreeMap;
//!
//! use quetzalarch::{Input, Node, Settings, base::{Incarnation, Seed, Time}};
//!
//! let settings = Settings {
//!     name: "dubrava-1".parse().unwrap(),
//!     zone: "dubrava".parse().unwrap(),
//!     incarnation: Incarnation(1),
//!     peer: "127.0.0.1:7001".parse().unwrap(),
//!     controls: BTreeMap::new(),
//!     seed: Seed(1),
//!     grace: std::time::Duration::from_secs(4),
//! };
//! let mut node = Node::new(settings, Time::ZERO);
//! let mut outputs = Vec::new();
//! node.handle(Time::ZERO, Input::Wake, &mut outputs);
//! assert!(!outputs.is_empty());
//! ```

pub use base;
pub use control;
pub use kernel;
pub use member;
pub use owner;
pub use place;
pub use replog;
pub use request;
pub use route;
pub use text;
pub use wire;

pub use node::{
    AnswerEnd, Arrival, Attempt, Ending, Event, Flow, Hop, IdempotencyKey, Input, Node, Order,
    OrderEnd, Output, Progress, Route, Settings,
};
