//! Fields of an event.

use serde_json::{Map, Value};

/// Named values that go with an event.
pub type Fields = Map<String, Value>;

/// Makes [`Fields`] of anything that serialises:
/// `fields!(engine = target, fence = 7)`.
#[macro_export]
macro_rules! fields {
    ($($key:ident = $value:expr),* $(,)?) => {
        $crate::Fields::from_iter([
            $((stringify!($key).to_owned(), $crate::serde_json::json!($value))),*
        ])
    };
}

/// Logs an event with its fields, and builds them only if the event's level is
/// written: `event!(Event::EngineTaken, engine = target, fence = 7)`.
#[macro_export]
macro_rules! event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event = $event;
        if $crate::enabled(event) {
            $crate::event(event, $crate::fields!($($key = $value),*));
        }
    }};
}
