//! The operators' text: from raw TOML to a checked model.

pub mod model;
