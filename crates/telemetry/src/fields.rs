//! Fields of an event, and the macros that build them and log events.

use serde_json::{Map, Value};

/// Named values that are logged with an event.
pub type Fields = Map<String, Value>;

/// Builds [`Fields`] from values that implement `Serialize`:
/// `fields!(engine = target, fence = 7)`.
#[macro_export]
macro_rules! fields {
    ($($key:ident = $value:expr),* $(,)?) => {
        $crate::Fields::from_iter([
            $((stringify!($key).to_owned(), $crate::serde_json::json!($value))),*
        ])
    };
}

/// Logs an event with its fields, which are built only if the event's level is
/// enabled: `event!(Event::EngineTaken, engine = target, fence = 7)`.
#[macro_export]
macro_rules! event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event = $event;
        if $crate::enabled(event) {
            $crate::event(event, $crate::fields!($($key = $value),*));
        }
    }};
}
