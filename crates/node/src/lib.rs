//! Node.
