//! Which target updates an entry instance accepts.

use googletest::prelude::*;

use super::*;

/// Takes the update in force, the update that the request said was in force, whether the
/// answer is a full update, its number, and whether it is accepted.
fn check((held, known, full, update, accepted): (u64, u64, bool, u64, bool)) {
    let inner = Inner {
        update: held,
        ..Inner::default()
    };
    let synced = Synced {
        update,
        full,
        ..Synced::default()
    };
    assert_that!(inner.accepts(known, &synced), eq(accepted));
}

base::cases! {
    /// Answers to concurrent requests arrive in another order, and the owner of a zone
    /// may have changed. An older update must not undo a newer one.
    a_target_update_is_accepted_by_its_number: check => {
        full_update_where_nothing_is_known: (0, 0, true, 7, true),
        the_next_changes: (7, 7, false, 9, true),
        no_changes: (7, 7, false, 7, true),
        changes_overtaken_by_newer_ones: (9, 7, false, 8, false),
        changes_since_an_older_update: (8, 7, false, 9, true),
        changes_since_an_update_that_was_reset: (0, 7, false, 9, false),
        full_update_overtaken_by_newer_changes: (9, 0, true, 8, false),
        full_update_of_another_incarnation_with_lower_numbers: (9, 9, true, 3, true),
    }
}
