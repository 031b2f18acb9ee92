//! The language of the scenarios: Rhai with a few functions.
