//! The common sets of derives, written once.
//!
//! A plain derive list drifts between types: one forgets `Ord`, the next
//! `Hash`. These macros keep the sets equal.

/// Gives each type the derives of a small value that may serve as a key.
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

/// Gives each type the derives of a record that travels between processes.
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

/// Names each case of a table-driven test: one `#[test]` per row.
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
