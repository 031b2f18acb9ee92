//! Macros for common sets of derives, and for table-driven tests.
//!
//! Derive lists written out at each type come to differ: one lacks `Ord`, another
//! `Hash`. These macros keep them the same.

/// Adds the derives of a small `Copy` value that can be used as a key.
#[macro_export]
macro_rules! value {
    ($($item:item)+) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                $crate::serde::Serialize, $crate::serde::Deserialize,
            )]
            #[serde(crate = "::base::serde")]
            $item
        )+
    };
}

/// Adds the derives of a record that is sent between processes.
#[macro_export]
macro_rules! record {
    ($($item:item)+) => {
        $(
            #[derive(
                Clone, Debug, PartialEq, Eq,
                $crate::serde::Serialize, $crate::serde::Deserialize,
            )]
            #[serde(crate = "::base::serde")]
            $item
        )+
    };
}

/// Generates a table-driven test with one named `#[test]` per row.
///
/// ```
/// fn check((raw, ok): (&str, bool)) {
///     assert_eq!(raw.parse::<u8>().is_ok(), ok);
/// }
///
/// base::cases! {
///     /// Only whole numbers below 256 are bytes.
///     bytes_are_checked: check => {
///         small: ("1", true),
///         large: ("256", false),
///     }
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($($(#[$doc:meta])* $table:ident: $check:path => { $($case:ident: $row:expr),+ $(,)? })+) => {
        $(
            $(#[$doc])*
            mod $table {
                use super::*;
                $(
                    #[test]
                    fn $case() {
                        $check($row);
                    }
                )+
            }
        )+
    };
}
