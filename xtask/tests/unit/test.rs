//! Which failed tests are let pass.

use super::*;

fn check((entry, name): (&str, Option<&str>)) {
    assert_eq!(known_name(entry), name);
}

base::cases! {
    /// A failed test must not pass because its name is part of another entry's text.
    an_entry_names_one_test: check => {
        plain: ("a_small_account_is_served: cargo test -p account", Some("a_small_account_is_served")),
        in_a_module: ("faults::a_stream: cargo test -p lab", Some("a_stream")),
        not_a_test: ("play, seen once: sites/x.toml", Some("play, seen once")),
        without_a_colon: ("small", None),
    }
}
