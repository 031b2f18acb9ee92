//! Which answers an entry instance goes by.

use googletest::prelude::*;

use super::*;

/// What is in force, what the asker had, whether all was told, the answer's number, and
/// whether it is taken.
fn check((held, known, whole, news, taken): (u64, u64, bool, u64, bool)) {
    let inner = Inner {
        news: held,
        ..Inner::default()
    };
    let synced = Synced {
        news,
        whole,
        ..Synced::default()
    };
    assert_that!(inner.takes(known, &synced), eq(taken));
}

base::cases! {
    /// Answers to questions that were under way at once arrive in another order, and the
    /// holder of a zone may have changed. An older word must not undo a newer one.
    an_answer_goes_by_its_number: check => {
        all_to_whoever_knew_nothing: (0, 0, true, 7, true),
        a_change_that_follows: (7, 7, false, 9, true),
        nothing_new: (7, 7, false, 7, true),
        a_change_overtaken_by_a_newer_one: (9, 7, false, 8, false),
        a_change_that_holds_more_than_is_held: (8, 7, false, 9, true),
        a_change_since_what_was_forgotten: (0, 7, false, 9, false),
        all_overtaken_by_a_newer_word: (9, 0, true, 8, false),
        all_from_another_life_with_lower_numbers: (9, 9, true, 3, true),
    }
}
