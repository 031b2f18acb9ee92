//! Thin daemon.

fn main() {}
